"""The server list: the first whole list, then a watch, opened anew whenever it ends."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

import httptools

from flaxstep.proxy.config import Address
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import Reach

MEMBERS_PATH = "/catalog/members"
HEARTBEAT_INTERVAL_S = 2.0  # s between the empty lines of a watch that has nothing to tell
# A change counts as told 6 s after its watch fell silent, though it never arrived. So a watch that has said
# nothing for this long, in s, is opened anew: not for a line that comes a little late, and in time for a call
# that waits 3 s for its turn.
WATCH_IDLE_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 0.5
# s for the first of an answer. Calls of many nodes wait for one another, and who gives one up waits from the
# end of the line again.
RESPONSE_TIMEOUT_S = 10.0
SECOND_CALL_DELAY_S = (
    3.5  # s without an answer after which a second call is made beside the first: that may be lost
)
WAITING_NOTICE_DELAY_S = (
    0.3  # s without an answer after which discovery, which has taken the connection, lets the call wait
)
CONNECT_TIMEOUT_S = 2.0  # s for a connection to come up
PARTIAL_LIST_TIMEOUT_S = (
    2.0  # s without a byte of a list that has come in part after which it is fetched whole
)
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0  # s between tries
# The longest while nobody answers and lists are pushed: what discovery has at its return counts at once.
MAX_RETRY_DELAY_PUSHED_S = 0.1
MAX_LIST_BYTES = 8 << 20  # bytes

log = logging.getLogger("flaxstep.proxy")


class DiscoveryError(Exception):
    """A call that gave no list, or a watch that ended: what came instead."""


class MalformedListError(DiscoveryError):
    """What came can't be read as a list."""


class IncompleteListError(DiscoveryError):
    """A line of a watch that may leave out what it meant to tell."""


class StatusError(DiscoveryError):
    """An answer that is no list: discovery is down, or the call has waited too long."""


class ConnectionEndedError(DiscoveryError):
    """Discovery has ended the connection."""


UPDATE_LOST_ERRORS = (MalformedListError, IncompleteListError, httptools.HttpParserError)


class JsonObjectReader:
    """Takes the objects out of a watch: each on a line of its own or, indented, on several."""

    def __init__(self) -> None:
        self.complete_lines = b""  # whole lines of an object that is not whole
        self.partial_line = b""  # of a line

    @property
    def has_partial_object(self) -> bool:
        return bool(self.complete_lines or self.partial_line)

    def feed(self, data: bytes) -> Iterator[Any]:
        """What has become whole; ValueError at what never can."""
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            if line.strip():
                yield from self.add_line(line)
            elif self.complete_lines:
                raise ValueError("an empty line within an object")
        if self.partial_line.rstrip().endswith(b"}"):  # what has come counts, also before its line ends
            with suppress(ValueError):
                value = json.loads(self.complete_lines + self.partial_line)
                self.complete_lines = self.partial_line = b""
                yield value

    def add_line(self, line: bytes) -> Iterator[Any]:
        first, self.complete_lines = not self.complete_lines, self.complete_lines + line + b"\n"
        if not first and not line.rstrip().endswith((b"}", b"]")):
            return  # nothing ends with it
        text = self.complete_lines.decode()
        try:
            value = json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text.rstrip()):
                raise
            return  # nothing but its end is missing
        self.complete_lines = b""
        yield value


class ResponseBody:
    """The body of one answer, taken out of its framing."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.data = bytearray()
        self.complete = False

    def on_body(self, body: bytes) -> None:
        self.data += body

    def on_message_complete(self) -> None:
        self.complete = True

    async def read_more(self, reader: asyncio.StreamReader, timeout_s: float) -> None:
        """Read on; TimeoutError if nothing comes within so many seconds."""
        async with asyncio.timeout(timeout_s):
            chunk = await reader.read(65536)
        if not chunk:
            raise ConnectionEndedError("the connection ended")
        self.parser.feed_data(chunk)
        if self.parser.get_status_code() not in (0, 200):
            raise StatusError(f"status {self.parser.get_status_code()}")
        if len(self.data) > MAX_LIST_BYTES:
            raise MalformedListError("a line over the limit")


class DiscoveryCall:
    """One call: a whole list, or a watch until it ends. What it shows of discovery goes to `client`."""

    def __init__(self, client: Discovery, full_list: bool) -> None:
        self.client = client
        self.address = client.address  # the client may move while the call is under way
        self.full_list = full_list
        self.path = MEMBERS_PATH if full_list else f"{MEMBERS_PATH}?watch=1&from={client.version}"
        self.started_ms = now_ms()
        self.connected = False
        self.partial_received = False  # a part of a list has come
        self.answered_at_ms: float | None = None  # ms, when the first list or empty line came
        self.waiting_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """DiscoveryError says how it ended, unless it was a whole list that came."""
        outcome = "cancelled"
        try:
            await self.fetch_list()
            outcome = "complete"
            self.client.on_reach(Reach.UNWATCHED, self.started_ms)
        except (OSError, DiscoveryError, httptools.HttpParserError) as error:
            outcome = str(error) or type(error).__name__
            reach = self.reach_at_end(error)
            self.client.on_reach(reach, self.started_ms)
            self.client.last_call_unanswered = reach in (Reach.RESET, Reach.UNREACHABLE)
            raise DiscoveryError(outcome) from None
        finally:
            if self.waiting_timer is not None:
                self.waiting_timer.cancel()
            self.log_end(outcome)

    def reach_at_end(self, error: Exception) -> Reach:
        """What the end of a call tells of discovery, and no more than that."""
        timed_out = isinstance(error, TimeoutError)
        if not self.connected:
            if timed_out or isinstance(error, ConnectionRefusedError):
                return Reach.UNREACHABLE
            return Reach.RESET if isinstance(error, ConnectionError) else Reach.OWN_FAILURE
        if self.partial_received or isinstance(error, UPDATE_LOST_ERRORS):
            return Reach.NEWS_LOST
        if self.answered_at_ms is not None:
            if self.full_list:
                return Reach.UNWATCHED
            if timed_out:
                return Reach.SILENT
            return Reach.CLOSED if isinstance(error, DiscoveryError) else Reach.BROKEN
        if isinstance(error, StatusError):
            return Reach.REFUSED
        return Reach.WAITING if timed_out else Reach.RESET

    def log_end(self, outcome: str) -> None:
        """When a call began and what became of it: the age of the list in force follows from these lines."""
        answered_at_ms = self.answered_at_ms
        first_response = (
            "never" if answered_at_ms is None else f"after {(answered_at_ms - self.started_ms) / 1000:.3f} s"
        )
        log.info(
            "discovery: GET %s at %s:%d ended (%s) after %.3f s, first answered %s",
            self.path,
            *self.address,
            outcome,
            (now_ms() - self.started_ms) / 1000,
            first_response,
        )

    async def fetch_list(self) -> None:
        host, port = self.address
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
        self.connected = True
        self.waiting_timer = self.client.loop.call_later(
            WAITING_NOTICE_DELAY_S, self.client.on_reach, Reach.WAITING, self.started_ms
        )
        try:
            writer.write(f"GET {self.path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            await (self.read_full_list(reader) if self.full_list else self.read_watch(reader))
        finally:
            writer.close()

    async def read_full_list(self, reader: asyncio.StreamReader) -> None:
        body = ResponseBody()
        while not body.complete:
            await body.read_more(reader, RESPONSE_TIMEOUT_S)
            self.partial_received = bool(body.data)
        self.partial_received = False
        with self.wrap_malformed():
            self.apply_list(json.loads(body.data))

    async def read_watch(self, reader: asyncio.StreamReader) -> None:
        body, objects, timeout_s = ResponseBody(), JsonObjectReader(), RESPONSE_TIMEOUT_S
        while not body.complete:
            try:
                await body.read_more(reader, timeout_s)
            except TimeoutError:
                if objects.has_partial_object:
                    self.client.version = None  # what the rest would have told is missed
                raise
            with self.wrap_malformed():
                for value in objects.feed(bytes(body.data)):
                    self.apply_list(value)
            if len(objects.complete_lines) + len(objects.partial_line) > MAX_LIST_BYTES:
                raise MalformedListError("a list over the limit")
            self.partial_received = objects.has_partial_object
            if objects.has_partial_object:
                timeout_s = PARTIAL_LIST_TIMEOUT_S
            elif body.data:
                timeout_s = WATCH_IDLE_TIMEOUT_S
                self.on_confirmed()  # also by an empty line: nothing has changed
            body.data.clear()
        raise DiscoveryError("the watch ended")

    def apply_list(self, value: Any) -> None:
        client = self.client
        client.version = client.on_list(value, self.full_list)
        if self.full_list or client.version is not None:
            self.on_confirmed()
        if client.version is None:
            raise (
                DiscoveryError("no version")
                if self.full_list
                else IncompleteListError("the list is incomplete")
            )

    def on_confirmed(self) -> None:
        """What the node has is what discovery has."""
        if self.answered_at_ms is None:
            self.answered_at_ms = now_ms()
            if self.waiting_timer is not None:
                self.waiting_timer.cancel()
            self.client.on_call_answered(self)
        if self.client.version is not None:
            self.client.retry_delay_s, self.client.failure_logged = MIN_RETRY_DELAY_S, False
        self.client.on_reach(Reach.CONFIRMED, self.started_ms)

    @contextmanager
    def wrap_malformed(self) -> Iterator[None]:
        """A change may have been missed with what can't be taken: only the whole list brings it back."""
        try:
            yield
        except (ValueError, RecursionError) as error:
            self.client.version = None
            raise MalformedListError(f"malformed list: {error}") from None


class Discovery:
    """Keeps the list fresh.

    `on_list` gets each list, raw, and whether it was asked for as a whole one. It returns the list's version,
    None if that can't be read, and raises ValueError at what is no list. `on_reach` hears how the connection
    to discovery stands, and when the call that shows it began, in ms of the monotonic clock.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[Any, bool], int | None],
        on_reach: Callable[[Reach, float], None],
        rng: random.Random,
        loop: asyncio.AbstractEventLoop,
        pushed: bool,
    ) -> None:
        self.address = address
        self.pushed = pushed
        self.on_list = on_list
        self.on_reach = on_reach
        self.rng = rng
        self.loop = loop
        self.version: int | None = None  # of the list in force; None: the whole list is wanted
        self.retry_delay_s = MIN_RETRY_DELAY_S
        self.failure_logged = False
        self.last_call_unanswered = False  # the latest call: refused or reset
        self.calls: dict[asyncio.Task[None], DiscoveryCall] = {}  # under way
        self.call_answered = False

    def change_address(self, address: Address) -> None:
        """The next call goes there. What failed at the old address is no reason to wait."""
        self.address, self.retry_delay_s, self.failure_logged = address, MIN_RETRY_DELAY_S, False
        for task in self.calls:
            task.cancel()  # what still comes from the old address confirms nothing

    async def run(self) -> None:
        while True:
            try:
                await self.run_calls()
                continue
            except DiscoveryError as error:
                if not self.failure_logged:  # one line for each stretch of failures
                    log.warning("discovery: %s; the list stays as it is", error)
                self.failure_logged = True
            except Exception:
                # Whatever it was: a watch that dies of it would leave the node with its old list for ever.
                log.exception("discovery: unforeseen failure; the whole list is fetched")
                self.version = None
            # Nodes that lost discovery together must not come back together.
            await asyncio.sleep(self.retry_delay_s * (0.5 + self.rng.random()))
            max_delay_s = (
                MAX_RETRY_DELAY_PUSHED_S if self.pushed and self.last_call_unanswered else MAX_RETRY_DELAY_S
            )
            self.retry_delay_s = min(2 * self.retry_delay_s, max_delay_s)

    async def run_calls(self) -> None:
        """Fetch the whole list, or watch until the watch ends; with a second call beside one that hangs."""
        self.call_answered = False
        self.start_call()
        second_started = False
        failure: BaseException | None = None
        try:
            while self.calls:
                timeout_s = None if second_started or self.call_answered else SECOND_CALL_DELAY_S
                done, _ = await asyncio.wait(
                    self.calls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                if not done and not self.call_answered:
                    second_started = True
                    self.start_call()
                for task in done:
                    del self.calls[task]
                    if not task.cancelled():
                        failure = task.exception()
        finally:
            for task in self.calls:
                task.cancel()
            self.calls.clear()
        if failure is not None:
            raise failure

    def start_call(self) -> None:
        call = DiscoveryCall(self, self.version is None)
        self.calls[self.loop.create_task(call.run())] = call

    def on_call_answered(self, answered_call: DiscoveryCall) -> None:
        """One call is answered: the others are of no more use."""
        self.call_answered = True
        for task, call in self.calls.items():
            if call is not answered_call:
                task.cancel()
