"""Client of service discovery: fetches the full server list, then watches it for changes."""

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
from flaxstep.proxy.header_limit import HeaderLimit, HeadersTooLong
from flaxstep.proxy.memory_account import (
    LIST_BYTES_PER_BYTE,
    MAX_LIST_BYTES,
    CountedHolder,
    MemoryAccount,
)
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import Reach

MEMBERS_PATH = "/catalog/members"
HEARTBEAT_INTERVAL_S = 2.0  # of the empty lines that discovery sends on a watch without changes
# A change counts as notified 6 s after its watch fell silent, even if it never arrived. A silent watch is
# opened again after this time: late enough for a slightly delayed line, and in time for a call that is queued
# for 3 s.
WATCH_IDLE_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 0.5
# For the first byte of a response. Discovery queues the calls of many nodes, and a call that is given up goes
# to the end of the queue when it is repeated.
RESPONSE_TIMEOUT_S = 10.0
SECOND_CALL_DELAY_S = 3.5  # a second call is made beside one without a response, which may be lost
WAITING_NOTICE_DELAY_S = 0.3  # then a call that is connected, but has no response, is reported as waiting
CONNECT_TIMEOUT_S = 2.0
PARTIAL_LIST_TIMEOUT_S = 2.0  # without a byte of the rest of a list; then the full list is requested
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0
# The maximum if lists are pushed and discovery does not respond: its changes count from its return on.
MAX_RETRY_DELAY_PUSHED_S = 0.1

log = logging.getLogger("flaxstep.proxy")


class DiscoveryError(Exception):
    """A call returned no list, or a watch has ended."""


class MalformedListError(DiscoveryError):
    """A response that is not a valid list."""


class IncompleteListError(DiscoveryError):
    """A line of a watch that may lack some of its changes."""


class StatusError(DiscoveryError):
    """Another status than 200: discovery is not available, or the call was queued for too long."""


class ConnectionEndedError(DiscoveryError):
    """Discovery has closed the connection."""


UPDATE_LOST_ERRORS = (MalformedListError, IncompleteListError, httptools.HttpParserError)


class JsonObjectReader:
    """Splits a watch into JSON objects: each is one line or, if it is indented, several."""

    def __init__(self) -> None:
        self.complete_lines = b""  # of an incomplete object
        self.partial_line = b""

    @property
    def has_partial_object(self) -> bool:
        return bool(self.complete_lines or self.partial_line)

    @property
    def partial_bytes(self) -> int:
        """The length of what has come of an object that is not complete."""
        return len(self.complete_lines) + len(self.partial_line)

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield the objects that these bytes complete; ValueError if they can't become valid JSON."""
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            if line.strip():
                yield from self.add_line(line)
            elif self.complete_lines:
                raise ValueError("an empty line within an object")
        if self.partial_line.rstrip().endswith(b"}"):  # complete, although its line has not ended
            with suppress(ValueError):
                value = json.loads(self.complete_lines + self.partial_line)
                self.complete_lines = self.partial_line = b""
                yield value

    def add_line(self, line: bytes) -> Iterator[Any]:
        is_first_line, self.complete_lines = not self.complete_lines, self.complete_lines + line + b"\n"
        if not is_first_line and not line.rstrip().endswith((b"}", b"]")):
            return  # the object can't end here
        text = self.complete_lines.decode()
        try:
            value = json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text.rstrip()):
                raise
            return  # incomplete, but valid so far
        self.complete_lines = b""
        yield value


class ResponseBody:
    """Decodes the body of one HTTP response."""

    def __init__(self, max_bytes: int = MAX_LIST_BYTES) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.header_limit = HeaderLimit()
        self.max_bytes = max_bytes
        self.data = bytearray()
        self.complete = False

    def on_message_begin(self) -> None:
        self.header_limit.on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_limit.on_header(name, value)

    def on_chunk_header(self) -> None:
        self.header_limit.on_chunk_boundary()

    def on_body(self, body: bytes) -> None:
        self.header_limit.on_body(body)
        self.data += body

    def on_chunk_complete(self) -> None:
        self.header_limit.on_chunk_boundary()

    def on_message_complete(self) -> None:
        self.header_limit.on_message_complete()
        self.complete = True

    async def read_more(self, reader: asyncio.StreamReader, timeout_s: float) -> None:
        """Read the next bytes of the response; TimeoutError if there are none in time."""
        async with asyncio.timeout(timeout_s):
            chunk = await reader.read(65536)
        if not chunk:
            raise ConnectionEndedError("discovery closed the connection")
        self.parser.feed_data(chunk)
        try:
            self.header_limit.check_unfinished_line(chunk, len(chunk))
        except HeadersTooLong as error:
            raise MalformedListError(str(error)) from None
        if self.parser.get_status_code() not in (0, 200):
            raise StatusError(f"status {self.parser.get_status_code()}")
        if len(self.data) > self.max_bytes:
            raise MalformedListError(f"the response exceeds the limit of {self.max_bytes} bytes")


class DiscoveryCall:
    """One call: a request for the full list, or a watch until it ends.

    It reports to `client` what it shows about the state of discovery.
    """

    def __init__(self, client: Discovery, full_list: bool) -> None:
        self.client = client
        self.address = client.address  # the client's address may change during the call
        self.full_list = full_list
        self.path = MEMBERS_PATH if full_list else f"{MEMBERS_PATH}?watch=1&from={client.version}"
        self.started_ms = now_ms()
        self.connected = False
        self.partial_received = False  # the start of a list has been received
        self.answered_at_ms: float | None = None  # the time of the first list or empty line
        self.waiting_timer: asyncio.TimerHandle | None = None
        self.held_text = CountedHolder(client.account, LIST_BYTES_PER_BYTE)

    async def run(self) -> None:
        """Make the call. DiscoveryError says how it ended, unless it returned the full list."""
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
            self.client.account.remove(self.held_text)
            self.log_end(outcome)

    def reach_at_end(self, error: Exception) -> Reach:
        """What the end of this call proves about the state of discovery."""
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
        """Log when the call was made and how it ended; the age of the list in force follows from that."""
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
        body = ResponseBody(self.client.account.max_list_bytes)
        while not body.complete:
            await body.read_more(reader, RESPONSE_TIMEOUT_S)
            self.partial_received = bool(body.data)
            self.held_text.set_count(len(body.data))
        self.partial_received = False
        with self.wrap_malformed():
            self.apply_list(json.loads(body.data))

    async def read_watch(self, reader: asyncio.StreamReader) -> None:
        max_bytes = self.client.account.max_list_bytes
        body, objects, timeout_s = ResponseBody(max_bytes), JsonObjectReader(), RESPONSE_TIMEOUT_S
        while not body.complete:
            try:
                await body.read_more(reader, timeout_s)
            except TimeoutError:
                if objects.has_partial_object:
                    self.client.version = None  # the changes in the missing rest are lost
                raise
            with self.wrap_malformed():
                for value in objects.feed(bytes(body.data)):
                    self.apply_list(value)
            self.held_text.set_count(objects.partial_bytes)
            if objects.partial_bytes > max_bytes:
                raise MalformedListError(f"a list exceeds the limit of {max_bytes} bytes")
            self.partial_received = objects.has_partial_object
            if objects.has_partial_object:
                timeout_s = PARTIAL_LIST_TIMEOUT_S
            elif body.data:
                timeout_s = WATCH_IDLE_TIMEOUT_S
                self.on_confirmed()  # an empty line confirms the list too: nothing has changed
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
        """The node's list is the current one of discovery."""
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
        """Request the full list after a malformed one, as a change in it may have been lost."""
        try:
            yield
        except (ValueError, RecursionError) as error:
            self.client.version = None
            raise MalformedListError(f"malformed list: {error}") from None


class Discovery:
    """Keeps the server list current.

    `on_list` is called with each list, decoded from JSON, and whether it was requested as the full list. It
    returns the version of the list, or None if that can't be read, and raises ValueError if it is not a list.
    `on_reach` is called with each state of the connection to discovery, and with the start of the call that
    shows it, in ms of the monotonic clock.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[Any, bool], int | None],
        on_reach: Callable[[Reach, float], None],
        rng: random.Random,
        loop: asyncio.AbstractEventLoop,
        pushed: bool,
        account: MemoryAccount,
    ) -> None:
        self.address = address
        self.account = account
        self.pushed = pushed
        self.on_list = on_list
        self.on_reach = on_reach
        self.rng = rng
        self.loop = loop
        self.version: int | None = None  # of the list in force; None: the full list is needed
        self.retry_delay_s = MIN_RETRY_DELAY_S
        self.failure_logged = False
        self.last_call_unanswered = False  # it was reset, or never connected
        self.calls: dict[asyncio.Task[None], DiscoveryCall] = {}
        self.call_answered = False

    def change_address(self, address: Address) -> None:
        """Use another address from the next call on, without the retry delay of the old one."""
        self.address, self.retry_delay_s, self.failure_logged = address, MIN_RETRY_DELAY_S, False
        self.cancel_calls()  # the old address can't confirm the list any more

    def cancel_calls(self) -> None:
        """End the open calls: nothing more is read from them."""
        for task in self.calls:
            task.cancel()

    async def run(self) -> None:
        """Fetch and watch the list for ever, with a growing delay between failed calls."""
        while True:
            try:
                await self.run_calls()
                continue
            except DiscoveryError as error:
                if not self.failure_logged:  # only the first of several failures in a row
                    log.warning("discovery: %s; the server list is kept", error)
                self.failure_logged = True
            except Exception:
                # An unexpected error must not end the watch: the node would keep its old list for ever.
                log.exception("discovery: unexpected error; the full list is requested")
                self.version = None
            # Random, so that nodes that lost discovery at the same time don't reconnect at the same time.
            await asyncio.sleep(self.retry_delay_s * (0.5 + self.rng.random()))
            max_delay_s = (
                MAX_RETRY_DELAY_PUSHED_S if self.pushed and self.last_call_unanswered else MAX_RETRY_DELAY_S
            )
            self.retry_delay_s = min(2 * self.retry_delay_s, max_delay_s)

    async def run_calls(self) -> None:
        """Fetch the full list, or watch it until the watch ends; a second call is made if the first hangs."""
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
        """Cancel the other calls once one has a response."""
        self.call_answered = True
        for task, call in self.calls.items():
            if call is not answered_call:
                task.cancel()
