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


class Objects:
    """Takes the objects out of a watch: each on a line of its own or, indented, on several."""

    def __init__(self) -> None:
        self.lines = b""  # whole lines of an object that is not whole
        self.rest = b""  # of a line

    @property
    def begun(self) -> bool:
        return bool(self.lines or self.rest)

    def feed(self, data: bytes) -> Iterator[Any]:
        """What has become whole; ValueError at what never can."""
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            if line.strip():
                yield from self.add(line)
            elif self.lines:
                raise ValueError("an empty line within an object")
        if self.rest.rstrip().endswith(b"}"):  # what has come counts, also before its line ends
            with suppress(ValueError):
                value = json.loads(self.lines + self.rest)
                self.lines = self.rest = b""
                yield value

    def add(self, line: bytes) -> Iterator[Any]:
        first, self.lines = not self.lines, self.lines + line + b"\n"
        if not first and not line.rstrip().endswith((b"}", b"]")):
            return  # nothing ends with it
        text = self.lines.decode()
        try:
            value = json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text.rstrip()):
                raise
            return  # nothing but its end is missing
        self.lines = b""
        yield value


class Body:
    """The body of one answer, taken out of its framing."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.data = bytearray()
        self.complete = False

    def on_body(self, body: bytes) -> None:
        self.data += body

    def on_message_complete(self) -> None:
        self.complete = True

    async def more(self, reader: asyncio.StreamReader, within: float) -> None:
        """Read on; TimeoutError if nothing comes within so many seconds."""
        async with asyncio.timeout(within):
            chunk = await reader.read(65536)
        if not chunk:
            raise ConnectionEndedError("the connection ended")
        self.parser.feed_data(chunk)
        if self.parser.get_status_code() not in (0, 200):
            raise StatusError(f"status {self.parser.get_status_code()}")
        if len(self.data) > MAX_LIST_BYTES:
            raise MalformedListError("a line over the limit")


class Call:
    """One call: a whole list, or a watch until it ends. What it shows of discovery goes to `client`."""

    def __init__(self, client: Discovery, whole: bool) -> None:
        self.client = client
        self.address = client.address  # the client may move while the call is under way
        self.whole = whole
        self.path = MEMBERS_PATH if whole else f"{MEMBERS_PATH}?watch=1&from={client.version}"
        self.begun = now_ms()
        self.connected = False
        self.unfinished = False  # a part of a list has come
        self.answered_at: float | None = None  # ms, when the first list or empty line came
        self.waiting: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """DiscoveryError says how it ended, unless it was a whole list that came."""
        ended = "cancelled"
        try:
            await self.exchange()
            ended = "complete"
            self.client.on_reach(Reach.UNWATCHED, self.begun)
        except (OSError, DiscoveryError, httptools.HttpParserError) as error:
            ended = str(error) or type(error).__name__
            reach = self.reach_at_end(error)
            self.client.on_reach(reach, self.begun)
            self.client.unanswered = reach in (Reach.RESET, Reach.UNREACHABLE)
            raise DiscoveryError(ended) from None
        finally:
            if self.waiting is not None:
                self.waiting.cancel()
            self.log_end(ended)

    def reach_at_end(self, error: Exception) -> Reach:
        """What the end of a call tells of discovery, and no more than that."""
        timed_out = isinstance(error, TimeoutError)
        if not self.connected:
            if timed_out or isinstance(error, ConnectionRefusedError):
                return Reach.UNREACHABLE
            return Reach.RESET if isinstance(error, ConnectionError) else Reach.OWN_FAILURE
        if self.unfinished or isinstance(error, UPDATE_LOST_ERRORS):
            return Reach.NEWS_LOST
        if self.answered_at is not None:
            if self.whole:
                return Reach.UNWATCHED
            if timed_out:
                return Reach.SILENT
            return Reach.CLOSED if isinstance(error, DiscoveryError) else Reach.BROKEN
        if isinstance(error, StatusError):
            return Reach.REFUSED
        return Reach.WAITING if timed_out else Reach.RESET

    def log_end(self, ended: str) -> None:
        """When a call began and what became of it: the age of the list in force follows from these lines."""
        answered = self.answered_at
        first = "never" if answered is None else f"after {(answered - self.begun) / 1000:.3f} s"
        log.info(
            "discovery: GET %s at %s:%d ended (%s) after %.3f s, first answered %s",
            self.path,
            *self.address,
            ended,
            (now_ms() - self.begun) / 1000,
            first,
        )

    async def exchange(self) -> None:
        host, port = self.address
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
        self.connected = True
        self.waiting = self.client.loop.call_later(
            WAITING_NOTICE_DELAY_S, self.client.on_reach, Reach.WAITING, self.begun
        )
        try:
            writer.write(f"GET {self.path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            await (self.read_whole(reader) if self.whole else self.read_watch(reader))
        finally:
            writer.close()

    async def read_whole(self, reader: asyncio.StreamReader) -> None:
        body = Body()
        while not body.complete:
            await body.more(reader, RESPONSE_TIMEOUT_S)
            self.unfinished = bool(body.data)
        self.unfinished = False
        with self.malformed():
            self.take(json.loads(body.data))

    async def read_watch(self, reader: asyncio.StreamReader) -> None:
        body, objects, within = Body(), Objects(), RESPONSE_TIMEOUT_S
        while not body.complete:
            try:
                await body.more(reader, within)
            except TimeoutError:
                if objects.begun:
                    self.client.version = None  # what the rest would have told is missed
                raise
            with self.malformed():
                for value in objects.feed(bytes(body.data)):
                    self.take(value)
            if len(objects.lines) + len(objects.rest) > MAX_LIST_BYTES:
                raise MalformedListError("a list over the limit")
            self.unfinished = objects.begun
            if objects.begun:
                within = PARTIAL_LIST_TIMEOUT_S
            elif body.data:
                within = WATCH_IDLE_TIMEOUT_S
                self.confirmed()  # also by an empty line: nothing has changed
            body.data.clear()
        raise DiscoveryError("the watch ended")

    def take(self, value: Any) -> None:
        client = self.client
        client.version = client.on_list(value, self.whole)
        if self.whole or client.version is not None:
            self.confirmed()
        if client.version is None:
            raise (
                DiscoveryError("no version") if self.whole else IncompleteListError("the list is incomplete")
            )

    def confirmed(self) -> None:
        """What the node has is what discovery has."""
        if self.answered_at is None:
            self.answered_at = now_ms()
            if self.waiting is not None:
                self.waiting.cancel()
            self.client.answered(self)
        if self.client.version is not None:
            self.client.retry, self.client.failing = MIN_RETRY_DELAY_S, False
        self.client.on_reach(Reach.CONFIRMED, self.begun)

    @contextmanager
    def malformed(self) -> Iterator[None]:
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
        self.random = rng
        self.loop = loop
        self.version: int | None = None  # of the list in force; None: the whole list is wanted
        self.retry = MIN_RETRY_DELAY_S
        self.failing = False
        self.unanswered = False  # the latest call: refused or reset
        self.calls: dict[asyncio.Task[None], Call] = {}  # under way
        self.one_answers = False

    def move(self, address: Address) -> None:
        """The next call goes there. What failed at the old address is no reason to wait."""
        self.address, self.retry, self.failing = address, MIN_RETRY_DELAY_S, False
        for task in self.calls:
            task.cancel()  # what still comes from the old address confirms nothing

    async def run(self) -> None:
        while True:
            try:
                await self.follow()
                continue
            except DiscoveryError as error:
                if not self.failing:  # one line for each stretch of failures
                    log.warning("discovery: %s; the list stays as it is", error)
                self.failing = True
            except Exception:
                # Whatever it was: a watch that dies of it would leave the node with its old list for ever.
                log.exception("discovery: unforeseen failure; the whole list is fetched")
                self.version = None
            # Nodes that lost discovery together must not come back together.
            await asyncio.sleep(self.retry * (0.5 + self.random.random()))
            most = MAX_RETRY_DELAY_PUSHED_S if self.pushed and self.unanswered else MAX_RETRY_DELAY_S
            self.retry = min(2 * self.retry, most)

    async def follow(self) -> None:
        """Fetch the whole list, or watch until the watch ends; with a second call beside one that hangs."""
        self.one_answers = False
        self.begin_call()
        second = False
        failure: BaseException | None = None
        try:
            while self.calls:
                within = None if second or self.one_answers else SECOND_CALL_DELAY_S
                done, _ = await asyncio.wait(self.calls, timeout=within, return_when=asyncio.FIRST_COMPLETED)
                if not done and not self.one_answers:
                    second = True
                    self.begin_call()
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

    def begin_call(self) -> None:
        call = Call(self, self.version is None)
        self.calls[self.loop.create_task(call.run())] = call

    def answered(self, answering: Call) -> None:
        """One call is answered: the others are of no more use."""
        self.one_answers = True
        for task, call in self.calls.items():
            if call is not answering:
                task.cancel()
