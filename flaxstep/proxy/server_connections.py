"""The way to the servers: pooled connections, attempts on them, and how each attempt ended."""

from __future__ import annotations

import asyncio
import logging
from bisect import bisect, insort
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from flaxstep.proxy.config import Address
from flaxstep.proxy.connection_close import abort_immediately, poll_unread_input
from flaxstep.proxy.event_log import log_event
from flaxstep.proxy.metrics import Metrics
from flaxstep.proxy.request_bodies import BUFFERED_BODY_BYTES, MIN_BODY_SHARE_BYTES, BodyBudget, Upload
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import Result, State

HOLD = 0.025  # s for which an answer of unknown length is held, in case that it is short
STALL_TIME = 5.0  # s without taking a byte of a request after which a server gets no more of it
SILENCE = 15.0  # s without a byte of an answer that is passed on after which it is given up
IDLE_MARGIN = 2000.0  # ms before the server's own limit: its close must not cross a request of ours
# ms before a connection is used again: a second answer to the request before, which some servers send some
# milliseconds late, would pass for the next one's. Seen up to 4.6 ms late, so twice that.
REST = 10.0
SWEEP = 1.0  # s between looks for connections that have been idle for too long
IDLE_STEPS = (50.0, 75.0, 100.0, 150.0, 200.0, 300.0, 400.0, 800.0, 1600.0)  # ms idle, to tell resets by
STALE_LEAST, STALE_SHARE = (
    3.0,
    0.2,
)  # resets, and how much more often than others, that tell
# Why a connection is closed at once, whatever its buffer holds.
RESET_CAUSES = frozenset({"bytes_unasked", "makes_room", "came_up_late", "endpoint_changed_while_connecting"})
FORGET = 5  # sweeps after which what was seen counts half

log = logging.getLogger("flaxstep.proxy")


@dataclass(slots=True)
class ForwardedRequest:
    """A request as it goes on: all but its time-out, which each attempt writes anew."""

    head: bytes  # request line and header lines, but for the length
    body: bytes
    post: bool = False  # has a body, maybe an empty one
    upload: Upload | None = None  # what the body comes from where it is not held whole
    request_id: bytes = b""  # the client's, for the log


@dataclass(slots=True)
class ServerResponse:
    """A server's whole answer."""

    status: int
    body: bytes
    content_type: bytes = b""


@dataclass(slots=True, eq=False)
class Attempt:
    request_id: int
    number: int
    server: EndpointConnections
    version: int  # of the server's entry when the attempt was decided
    message: ForwardedRequest
    started: float
    deadline: float
    latest: float  # clock time from which it may not go out any more
    timer: asyncio.TimerHandle | None = None
    dial: asyncio.Task[None] | asyncio.TimerHandle | None = None  # until it has its connection
    resting: ServerConnection | None = None  # the one that it waits for
    connection: ServerConnection | None = None
    written: bool = False  # whole: from now on it may have run
    streaming: bool = False  # its answer is passed on as it comes


@dataclass(slots=True, eq=False)
class EndpointConnections:
    """A server at its address. The version counts changes after which old connections are not used."""

    id: int
    address: Address
    state: State
    started: float
    version: int = 0
    idle: list[ServerConnection] = field(default_factory=list)  # the most recently used last


class IdleLimit:
    """How long a connection may stand idle and still be used: servers may end it sooner than they say.

    Where connections that stood idle for longer than a step are reset clearly more often than the others,
    they are not used again until that has been forgotten.
    """

    def __init__(self, most: float) -> None:
        self.most = self.ms = most
        self.used = [0.0] * (len(IDLE_STEPS) + 1)  # by the idle time before
        self.reset = self.used[:]
        self.sweeps = 0

    def note(self, idle: float, reset: bool) -> None:
        """How an attempt on a used connection ended."""
        step = bisect(IDLE_STEPS, idle)
        self.used[step] += 1
        if reset:
            self.reset[step] += 1
            self.learn()

    def learn(self) -> None:
        for i, step in enumerate(IDLE_STEPS, 1):
            resets, uses = sum(self.reset[i:]), sum(self.used[i:])
            others = sum(self.reset[:i]) / max(sum(self.used[:i]), 1.0)
            if resets >= STALE_LEAST and resets / uses > others + STALE_SHARE:
                self.ms = min(step, self.most)
                return
        self.ms = self.most

    def swept(self) -> None:
        self.sweeps += 1
        if self.sweeps % FORGET == 0:
            self.used = [count / 2 for count in self.used]
            self.reset = [count / 2 for count in self.reset]
            self.learn()


class ServerConnection(asyncio.BufferedProtocol):
    """One connection; it carries one attempt at a time."""

    transport: asyncio.Transport

    def __init__(self, pool: ServerPool, server: EndpointConnections) -> None:
        self.pool = pool
        self.server = server
        self.version = server.version
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.idled: float | None = None  # ms before the attempt under way; None: it is the first
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []  # of the answer's body, as far as they are held
        self.size = 0
        self.length: int | None = None  # of the answer's body, if a header tells it
        self.coding = b""  # its transfer coding
        self.counted = False  # among the bodies in hand
        self.not_started = False
        self.content_type = b""
        self.headed = False  # the final answer's head has come
        self.complete = False
        self.answering = False  # a byte of the answer has come
        self.heard = 0.0  # when the latest bytes came
        self.held = False  # the client takes no more for now
        self.keep = False
        self.stray = False  # bytes came after the answer
        self.hold: asyncio.TimerHandle | None = None
        self.stall: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self.unread = poll_unread_input(transport.get_extra_info("socket").fileno())

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.connections.discard(self)
        if self in self.server.idle:
            self.server.idle.remove(self)
        if self.attempt is None:
            return
        if exc is None and self.headed and self.length is None and not self.coding:
            self.complete = True  # an answer that only the end of its connection ends
            self.finish()
            return
        # A request that was given whole to the transport may have run: what its buffer held is no proof that
        # the server did not get it.
        self.note_idle(reset=not self.answering)
        self.give_up(Result.RESET if self.attempt.written else Result.UNREACHABLE)

    def give_up(self, result: Result) -> None:
        """No answer, or no more of it, is waited for here."""
        attempt = self.leave()
        # Before the module hears of it: what it sends next must not be a second one out.
        abort_immediately(self.transport)
        if attempt is not None:
            self.pool.end(attempt, result)

    def close(self, cause: str) -> None:
        log_event("upstream_closed", endpoint=self.server.id, cause=cause)
        if cause in RESET_CAUSES:
            self.transport.abort()
        else:
            self.transport.close()

    def leave(self) -> Attempt | None:
        """Nothing is under way here from now on."""
        attempt, self.attempt = self.attempt, None
        for timer in (self.hold, self.stall):
            if timer is not None:
                timer.cancel()
        self.hold = self.stall = None
        self.parts.clear()
        if self.counted:
            self.counted = False
            self.pool.body_budget.body_count -= 1
        if attempt is not None and attempt.message.upload is not None:
            attempt.message.upload.detach()
        return attempt

    # The request.

    def start(self, attempt: Attempt) -> None:
        self.attempt = attempt
        attempt.connection = self
        log_event(
            "attempt_sent",
            request=attempt.message.request_id,
            attempt=attempt.number,
            endpoint=self.server.id,
            reused=self.idled is not None,
        )
        self.complete = self.answering = self.headed = self.held = False
        self.size, self.length, self.coding = 0, None, b""
        left = max(1, int(attempt.deadline - now_ms()))
        message, upload = attempt.message, attempt.message.upload
        if upload is None:
            length = b"Content-Length: %d\r\n" % len(message.body) if message.post else b""
        elif upload.length is None:
            length = b"Transfer-Encoding: chunked\r\n"
        else:
            length = b"Content-Length: %d\r\n" % upload.length
        head = b"%b%bRequest-Timeout: %dm\r\n\r\n" % (message.head, length, left)
        if upload is None:
            self.transport.write(head + message.body)
            self.written()
        else:
            self.transport.write(head)
            self.transport.set_write_buffer_limits(0)  # nothing is held here: what is not taken waits
            upload.attach(self)

    def written(self) -> None:
        assert self.attempt is not None
        self.attempt.written = True
        if self.attempt.message.upload is not None:
            self.attempt.started = now_ms()  # only now can the server begin
        self.pool.figures.forwards += 1

    def write_chunk(self, data: bytes) -> None:
        assert self.attempt is not None and self.attempt.message.upload is not None
        chunked = self.attempt.message.upload.length is None
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)

    def finish_body(self) -> None:
        assert self.attempt is not None and self.attempt.message.upload is not None
        if self.attempt.message.upload.length is None:
            self.transport.write(b"0\r\n\r\n")
        self.transport.set_write_buffer_limits()
        self.written()

    def abort_body(self) -> None:
        self.give_up(Result.CANCELLED)

    def pause_writing(self) -> None:
        if self.attempt is not None and self.attempt.message.upload is not None:
            self.attempt.message.upload.source.pause_upload(True)
            self.stall = self.pool.loop.call_later(STALL_TIME, self.stalled)

    def resume_writing(self) -> None:
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None
        if self.attempt is not None and self.attempt.message.upload is not None:
            self.attempt.message.upload.source.pause_upload(False)

    def stalled(self) -> None:
        if self.attempt is not None and not self.attempt.written:
            self.give_up(Result.UNREACHABLE)

    # The answer.

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.body_budget.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        if self.attempt is None:  # nothing was asked: what comes next on it could pass for an answer
            self.close("bytes_unasked")
            return
        self.answering = True
        self.heard = now_ms()
        try:
            self.parser.feed_data(self.pool.body_budget.read_buffer()[:nbytes])
        except httptools.HttpParserError as error:
            if self.attempt is None:  # given up while it was read
                return
            if not self.complete:
                self.malformed(str(error.__context__ or error))
                return
            self.stray = True
        except httptools.HttpParserUpgrade:
            self.malformed("an upgrade")
            return
        if self.complete and self.attempt is not None:
            self.finish()

    def note_idle(self, reset: bool) -> None:
        if self.idled is not None:
            self.pool.keep_idle.note(self.idled, reset)

    def malformed(self, what: str) -> None:
        log.warning("server %s:%d: malformed answer: %s", *self.server.address, what)
        self.give_up(Result.ERROR)

    def finish(self) -> None:
        """The answer is whole, or as much of it as is of use."""
        assert self.attempt is not None
        whole, body = self.attempt.written, b"".join(self.parts)
        attempt = self.leave()
        assert attempt is not None
        self.note_idle(reset=False)
        status = self.parser.get_status_code()
        if self.complete and self.keep and whole and not self.stray:
            self.pool.park(self, now_ms())
        else:
            self.close("answer_ends_connection" if whole else "answered_early")
        if status == 200:
            result = Result.OK
        elif status in (503, 504) and self.not_started:
            result = Result.FULL
        else:
            result = Result.ERROR
        self.pool.end(attempt, result, ServerResponse(status, body, self.content_type))

    def hold_answer(self, hold: bool) -> None:
        """The client takes no more for now, or takes more again."""
        self.held, self.heard = hold, now_ms()
        if self.transport.is_closing():
            return
        if hold:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def begin(self) -> None:
        """From here on the answer is passed on as it comes."""
        attempt = self.attempt
        if attempt is None or attempt.streaming:
            return
        attempt.streaming = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.count()
        self.pool.on_begin(attempt, self.length, self.content_type)
        parts, self.parts = self.parts, []
        for part in parts:
            if self.attempt is attempt:
                self.pool.on_part(attempt, part)

    def count(self) -> None:
        if not self.counted:
            self.counted = True
            self.pool.body_budget.body_count += 1

    # What the parser finds.

    def on_message_begin(self) -> None:
        if self.complete:
            self.stray = True
            return
        self.parts.clear()
        self.size, self.length, self.coding = 0, None, b""
        self.not_started = False
        self.content_type = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete or self.headed:  # stray, or a trailer
            return
        lower, value = name.lower(), value.strip(b" \t")  # white space round a value is no part of it
        if lower == b"not-started":
            self.not_started = value == b"1"
        elif lower == b"content-type":
            self.content_type = value
        elif lower == b"content-length":
            self.length = int(value)  # the parser has refused all but digits
        elif lower == b"transfer-encoding":
            self.coding = value.lower()

    def on_headers_complete(self) -> None:
        if self.complete or self.parser.get_status_code() < 200:
            return
        if self.coding not in (b"", b"chunked"):
            raise ValueError(f"transfer coding {self.coding!r}")  # reaches buffer_updated as a parser error
        self.headed = True
        if self.parser.get_status_code() != 200:
            return
        if self.length is None:
            self.hold = self.pool.loop.call_later(HOLD, self.begin)
        elif self.length > BUFFERED_BODY_BYTES:
            self.begin()

    def on_body(self, body: bytes) -> None:
        attempt = self.attempt
        if self.complete or attempt is None:
            return
        self.size += len(body)
        if self.parser.get_status_code() != 200:  # its body is of no use; one that goes on is not waited for
            if self.size > BUFFERED_BODY_BYTES:
                self.keep = False
                self.finish()
        elif attempt.streaming:
            self.pool.on_part(attempt, body)
        else:
            self.parts.append(body)
            if self.size > MIN_BODY_SHARE_BYTES:
                self.count()
            if self.size > self.pool.body_budget.share_bytes:
                self.begin()

    def on_message_complete(self) -> None:
        if self.complete or self.parser.get_status_code() < 200:  # an interim answer
            return
        self.complete = True
        self.keep = self.parser.should_keep_alive()


class AttemptHandler(Protocol):
    """What the answers go to."""

    def attempt_ended(self, attempt: Attempt, result: Result, answer: ServerResponse | None) -> None:
        """An attempt has ended, with the answer if one came whole."""

    def response_started(self, attempt: Attempt, length: int | None, content_type: bytes) -> None:
        """An answer is passed on as it comes."""

    def response_chunk(self, attempt: Attempt, part: bytes) -> None:
        """A part of its body."""


class ServerPool:
    """All servers that a list has named, and all attempts that are out."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dial_timeout: float,
        idle_timeout: float,
        max_connections: int,
        taker: AttemptHandler,
        figures: Metrics,
        body_budget: BodyBudget,
    ) -> None:
        self.loop = loop
        self.dial_timeout = dial_timeout
        self.keep_idle = IdleLimit(max(idle_timeout - IDLE_MARGIN, idle_timeout / 2))
        self.max_connections = max_connections
        self.on_end, self.on_begin, self.on_part = (
            taker.attempt_ended,
            taker.response_started,
            taker.response_chunk,
        )
        self.figures = figures
        self.body_budget = body_budget
        self.servers: dict[int, EndpointConnections] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.connections: set[ServerConnection] = set()
        self.dials = 0
        self.loop.call_later(SWEEP, self.sweep)

    def update(self, server_id: int, address: Address, state: State, started: float) -> None:
        """Take over a line of the server list."""
        server = self.servers.get(server_id)
        if server is None:
            self.servers[server_id] = EndpointConnections(server_id, address, state, started)
        elif (server.address, server.state, server.started) != (address, state, started):
            # Connections from before a restart are dead, and a server that drains gets nothing new.
            server.address, server.state, server.started = address, state, started
            self.part_with(server)
        if state is State.GONE:  # attempts under way know it; where servers come and go, nobody else must
            self.servers.pop(server_id, None)

    def part_with(self, server: EndpointConnections) -> None:
        """Use no connection to it that is open or on its way: what was decided before goes elsewhere."""
        server.version += 1
        for connection in server.idle:
            connection.close("endpoint_changed")
        server.idle.clear()
        for attempt in list(self.attempts.values()):
            if attempt.server is server and attempt.connection is None:
                self.drop(attempt, Result.UNREACHABLE)

    def cordon(self, server_id: int) -> None:
        """Nothing that was decided before reaches the server from now on."""
        server = self.servers.get(server_id)
        if server is not None:
            self.part_with(server)

    def send(
        self,
        request_id: int,
        number: int,
        server_id: int,
        limit: float,
        within: float,
        message: ForwardedRequest,
    ) -> None:
        """Begin an attempt: it goes out within so many ms or not at all, and ends after `limit` ms."""
        server = self.servers[server_id]
        now = now_ms()
        attempt = Attempt(request_id, number, server, server.version, message, now, now + limit, now + within)
        self.attempts[request_id, number] = attempt
        attempt.timer = self.loop.call_later(max(0.0, limit) / 1000, self.expire, attempt)
        idle, rested = server.idle, len(server.idle)
        while rested and now - idle[rested - 1].idle_since < REST:
            rested -= 1
        while rested:
            rested -= 1
            if self.start_on(idle.pop(rested), attempt, now):
                return
        if not idle:
            attempt.dial = self.loop.create_task(self.connect(attempt))
            return
        # What is left of its rest is far less than it takes to open another.
        attempt.resting = idle.pop(0)
        left = attempt.resting.idle_since + REST - now
        attempt.dial = self.loop.call_later(left / 1000, self.rested, attempt)

    def start_on(self, connection: ServerConnection, attempt: Attempt, now: float) -> bool:
        """Use a connection that has been idle, if it still can be."""
        idled = now - connection.idle_since
        fresh = connection.version == attempt.version == attempt.server.version and idled < self.keep_idle.ms
        closing = connection.transport.is_closing()
        if not fresh or closing or now >= attempt.latest or connection.unread.poll(0):
            connection.close("stale")
            return False
        connection.idled = idled
        connection.start(attempt)
        return True

    def rested(self, attempt: Attempt) -> None:
        """The connection that an attempt has waited for may be used."""
        connection, attempt.resting, attempt.dial = attempt.resting, None, None
        assert connection is not None
        if not self.start_on(connection, attempt, now_ms()):
            attempt.dial = self.loop.create_task(self.connect(attempt))

    async def connect(self, attempt: Attempt) -> None:
        """Open a connection for an attempt; no byte has been sent where this fails."""
        server = attempt.server
        if len(self.connections) + self.dials >= self.max_connections and not self.close_an_idle_one():
            log.warning("no descriptors left for a connection to %s:%d", *server.address)
            self.end(attempt, Result.UNREACHABLE)
            return
        self.dials += 1
        connection = ServerConnection(self, server)
        try:
            async with asyncio.timeout(min(self.dial_timeout, attempt.latest - now_ms()) / 1000):
                await self.loop.create_connection(lambda: connection, *server.address)
        except (OSError, UnicodeError):  # no connection in time, or an address that is none
            self.end(attempt, Result.UNREACHABLE)
            return
        finally:
            self.dials -= 1
        attempt.dial = None
        # Meanwhile the server may have begun to drain or come back elsewhere: then it gets nothing.
        changed = attempt.version != server.version
        if changed or connection.transport.is_closing() or now_ms() >= attempt.latest:
            connection.close("endpoint_changed_while_connecting" if changed else "came_up_late")
            self.end(attempt, Result.UNREACHABLE)
        else:
            # Counted from here, not from connection_made: a dial that is cancelled just as it comes up is
            # closed by uvloop without connection_lost, and would count against the limit for ever.
            self.connections.add(connection)
            connection.start(attempt)

    def set_limit(self, limit: int) -> None:
        self.max_connections = limit
        while len(self.connections) + self.dials > limit and self.close_an_idle_one():
            pass

    def close_an_idle_one(self) -> bool:
        for server in self.servers.values():
            if server.idle:
                connection = server.idle.pop(0)
                connection.close("makes_room")
                self.connections.discard(connection)
                return True
        return False

    def park(self, connection: ServerConnection, since: float) -> None:
        """Keep a connection for the next attempt, if its server still is the one it was opened to."""
        server = connection.server
        if connection.version != server.version or server.state is not State.READY:
            connection.close("endpoint_changed")
            return
        connection.idle_since = since
        idle = server.idle
        if not idle or idle[-1].idle_since <= since:
            idle.append(connection)
        else:  # it was only held for an attempt that did not use it
            insort(idle, connection, key=lambda other: other.idle_since)

    def sweep(self) -> None:
        self.loop.call_later(SWEEP, self.sweep)
        self.keep_idle.swept()
        before = now_ms() - self.keep_idle.ms
        for server in self.servers.values():
            while server.idle and server.idle[0].idle_since < before:
                server.idle.pop(0).close("idle")
        silent = now_ms() - 1000 * SILENCE
        for connection in [attempt.connection for attempt in self.attempts.values() if attempt.streaming]:
            if connection is not None and not connection.held and connection.heard < silent:
                connection.give_up(Result.RESET)

    def expire(self, attempt: Attempt) -> None:
        # Where no connection came up in the whole time, or took not all, nothing has run.
        self.drop(attempt, Result.TIMEOUT if attempt.written else Result.UNREACHABLE)

    def limit(self, request_id: int, number: int, limit: float) -> None:
        """Set the time-out of an attempt anew."""
        attempt = self.attempts.get((request_id, number))
        if attempt is None or attempt.streaming:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.deadline = now_ms() + limit
        attempt.timer = self.loop.call_later(max(0.0, limit) / 1000, self.expire, attempt)

    def cancel(self, request_id: int, number: int) -> None:
        attempt = self.attempts.get((request_id, number))
        if attempt is not None:
            self.drop(attempt, Result.CANCELLED)

    def unsend(self, request_id: int, number: int) -> None:
        """The request is over: an attempt whose connection is not up yet does not go out."""
        attempt = self.attempts.get((request_id, number))
        if attempt is not None and attempt.connection is None:
            self.drop(attempt, Result.NOT_SENT)

    def drop(self, attempt: Attempt, result: Result) -> None:
        """Stop waiting: the connection is of no more use, an answer may still come on it."""
        if attempt.dial is not None:
            attempt.dial.cancel()
        if attempt.resting is not None:
            self.park(attempt.resting, attempt.resting.idle_since)
            attempt.resting = None
        if attempt.connection is not None:
            attempt.connection.give_up(result)
        else:
            self.end(attempt, result)

    def end(self, attempt: Attempt, result: Result, answer: ServerResponse | None = None) -> None:
        if self.attempts.pop((attempt.request_id, attempt.number), None) is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.dial = attempt.connection = None
        self.on_end(attempt, result, answer)
