"""The way to the servers: pooled connections, attempts on them, and how each attempt ended."""

from __future__ import annotations

import asyncio
import logging
from bisect import bisect, insort
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from flaxstep.proxy.config import Address
from flaxstep.proxy.connection_close import abort_now, unread_poll
from flaxstep.proxy.event_log import event
from flaxstep.proxy.metrics import Metrics
from flaxstep.proxy.request_bodies import BUFFERED_BODY_BYTES, MIN_BODY_SHARE_BYTES, BodyBudget, Upload
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import Result, State

UNSIZED_BODY_DELAY_S = 0.025  # s for which an answer of unknown length is held, in case that it is short
REQUEST_WRITE_TIMEOUT_S = 5.0  # s without taking a byte of a request after which a server gets no more of it
RESPONSE_READ_TIMEOUT_S = 15.0  # s without a byte of an answer that is passed on after which it is given up
IDLE_TIMEOUT_MARGIN_MS = (
    2000.0  # ms before the server's own limit: its close must not cross a request of ours
)
# ms before a connection is used again: a second answer to the request before, which some servers send some
# milliseconds late, would pass for the next one's. Seen up to 4.6 ms late, so twice that.
CONNECTION_REUSE_DELAY_MS = 10.0
IDLE_SWEEP_INTERVAL_S = 1.0  # s between looks for connections that have been idle for too long
IDLE_BUCKETS_MS = (50.0, 75.0, 100.0, 150.0, 200.0, 300.0, 400.0, 800.0, 1600.0)  # ms idle, to tell resets by
MIN_IDLE_RESETS, IDLE_RESET_RATE_MARGIN = (
    3.0,
    0.2,
)  # resets, and how much more often than others, that tell
# Why a connection is closed at once, whatever its buffer holds.
ABORT_CAUSES = frozenset({"bytes_unasked", "makes_room", "came_up_late", "endpoint_changed_while_connecting"})
IDLE_STATS_HALF_LIFE_SWEEPS = 5  # sweeps after which what was seen counts half

log = logging.getLogger("flaxstep.proxy")


@dataclass(slots=True)
class ForwardedRequest:
    """A request as it goes on: all but its time-out, which each attempt writes anew."""

    head: bytes  # request line and header lines, but for the length
    body: bytes
    has_body: bool = False  # has a body, maybe an empty one
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
    send_before: float  # clock time from which it may not go out any more
    timeout_timer: asyncio.TimerHandle | None = None
    connection_wait: asyncio.Task[None] | asyncio.TimerHandle | None = None  # until it has its connection
    reserved_connection: ServerConnection | None = None  # the one that it waits for
    connection: ServerConnection | None = None
    request_written: bool = False  # whole: from now on it may have run
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

    def __init__(self, max_ms: float) -> None:
        self.max_ms = self.limit_ms = max_ms
        self.uses = [0.0] * (len(IDLE_BUCKETS_MS) + 1)  # by the idle time before
        self.resets = self.uses[:]
        self.sweeps = 0

    def record_use(self, idle_ms: float, reset: bool) -> None:
        """How an attempt on a used connection ended."""
        bucket = bisect(IDLE_BUCKETS_MS, idle_ms)
        self.uses[bucket] += 1
        if reset:
            self.resets[bucket] += 1
            self.update_limit()

    def update_limit(self) -> None:
        for i, bucket_ms in enumerate(IDLE_BUCKETS_MS, 1):
            resets, uses = sum(self.resets[i:]), sum(self.uses[i:])
            others = sum(self.resets[:i]) / max(sum(self.uses[:i]), 1.0)
            if resets >= MIN_IDLE_RESETS and resets / uses > others + IDLE_RESET_RATE_MARGIN:
                self.limit_ms = min(bucket_ms, self.max_ms)
                return
        self.limit_ms = self.max_ms

    def on_sweep(self) -> None:
        self.sweeps += 1
        if self.sweeps % IDLE_STATS_HALF_LIFE_SWEEPS == 0:
            self.uses = [count / 2 for count in self.uses]
            self.resets = [count / 2 for count in self.resets]
            self.update_limit()


class ServerConnection(asyncio.BufferedProtocol):
    """One connection; it carries one attempt at a time."""

    transport: asyncio.Transport

    def __init__(self, pool: ServerPool, server: EndpointConnections) -> None:
        self.pool = pool
        self.server = server
        self.version = server.version
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.idle_before_ms: float | None = None  # ms before the attempt under way; None: it is the first
        self.parser = httptools.HttpResponseParser(self)
        self.buffered_body: list[bytes] = []  # of the answer's body, as far as they are held
        self.body_size = 0
        self.content_length: int | None = None  # of the answer's body, if a header tells it
        self.transfer_coding = b""  # its transfer coding
        self.counted_in_budget = False  # among the bodies in hand
        self.not_started = False
        self.content_type = b""
        self.head_received = False  # the final answer's head has come
        self.response_complete = False
        self.response_begun = False  # a byte of the answer has come
        self.last_read_ms = 0.0  # when the latest bytes came
        self.reading_paused = False  # the client takes no more for now
        self.keep_alive = False
        self.unexpected_bytes = False  # bytes came after the answer
        self.unsized_body_timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self.socket_poll = unread_poll(transport.get_extra_info("socket").fileno())

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.connections.discard(self)
        if self in self.server.idle:
            self.server.idle.remove(self)
        if self.attempt is None:
            return
        if exc is None and self.head_received and self.content_length is None and not self.transfer_coding:
            self.response_complete = True  # an answer that only the end of its connection ends
            self.finish_response()
            return
        # A request that was given whole to the transport may have run: what its buffer held is no proof that
        # the server did not get it.
        self.record_idle_use(reset=not self.response_begun)
        self.abort_attempt(Result.RESET if self.attempt.request_written else Result.UNREACHABLE)

    def abort_attempt(self, result: Result) -> None:
        """No answer, or no more of it, is waited for here."""
        attempt = self.detach_attempt()
        # Before the module hears of it: what it sends next must not be a second one out.
        abort_now(self.transport)
        if attempt is not None:
            self.pool.finish_attempt(attempt, result)

    def close(self, cause: str) -> None:
        event("upstream_closed", endpoint=self.server.id, cause=cause)
        if cause in ABORT_CAUSES:
            self.transport.abort()
        else:
            self.transport.close()

    def detach_attempt(self) -> Attempt | None:
        """Nothing is under way here from now on."""
        attempt, self.attempt = self.attempt, None
        for timer in (self.unsized_body_timer, self.write_timer):
            if timer is not None:
                timer.cancel()
        self.unsized_body_timer = self.write_timer = None
        self.buffered_body.clear()
        if self.counted_in_budget:
            self.counted_in_budget = False
            self.pool.body_budget.bodies -= 1
        if attempt is not None and attempt.message.upload is not None:
            attempt.message.upload.leave()
        return attempt

    # The request.

    def send_request(self, attempt: Attempt) -> None:
        self.attempt = attempt
        attempt.connection = self
        event(
            "attempt_sent",
            request=attempt.message.request_id,
            attempt=attempt.number,
            endpoint=self.server.id,
            reused=self.idle_before_ms is not None,
        )
        self.response_complete = self.response_begun = self.head_received = self.reading_paused = False
        self.body_size, self.content_length, self.transfer_coding = 0, None, b""
        timeout_ms = max(1, int(attempt.deadline - now_ms()))
        message, upload = attempt.message, attempt.message.upload
        if upload is None:
            length_header = b"Content-Length: %d\r\n" % len(message.body) if message.has_body else b""
        elif upload.length is None:
            length_header = b"Transfer-Encoding: chunked\r\n"
        else:
            length_header = b"Content-Length: %d\r\n" % upload.length
        head = b"%b%bRequest-Timeout: %dm\r\n\r\n" % (message.head, length_header, timeout_ms)
        if upload is None:
            self.transport.write(head + message.body)
            self.on_request_written()
        else:
            self.transport.write(head)
            self.transport.set_write_buffer_limits(0)  # nothing is held here: what is not taken waits
            upload.join(self)

    def on_request_written(self) -> None:
        assert self.attempt is not None
        self.attempt.request_written = True
        if self.attempt.message.upload is not None:
            self.attempt.started = now_ms()  # only now can the server begin
        self.pool.metrics.forwards += 1

    def write_chunk(self, data: bytes) -> None:
        assert self.attempt is not None and self.attempt.message.upload is not None
        chunked = self.attempt.message.upload.length is None
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)

    def finish_body(self) -> None:
        assert self.attempt is not None and self.attempt.message.upload is not None
        if self.attempt.message.upload.length is None:
            self.transport.write(b"0\r\n\r\n")
        self.transport.set_write_buffer_limits()
        self.on_request_written()

    def abort_body(self) -> None:
        self.abort_attempt(Result.CANCELLED)

    def pause_writing(self) -> None:
        if self.attempt is not None and self.attempt.message.upload is not None:
            self.attempt.message.upload.source.pause_upload(True)
            self.write_timer = self.pool.loop.call_later(REQUEST_WRITE_TIMEOUT_S, self.on_write_timeout)

    def resume_writing(self) -> None:
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None
        if self.attempt is not None and self.attempt.message.upload is not None:
            self.attempt.message.upload.source.pause_upload(False)

    def on_write_timeout(self) -> None:
        if self.attempt is not None and not self.attempt.request_written:
            self.abort_attempt(Result.UNREACHABLE)

    # The answer.

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.body_budget.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        if self.attempt is None:  # nothing was asked: what comes next on it could pass for an answer
            self.close("bytes_unasked")
            return
        self.response_begun = True
        self.last_read_ms = now_ms()
        try:
            self.parser.feed_data(self.pool.body_budget.read_buffer()[:nbytes])
        except httptools.HttpParserError as error:
            if self.attempt is None:  # given up while it was read
                return
            if not self.response_complete:
                self.fail_malformed(str(error.__context__ or error))
                return
            self.unexpected_bytes = True
        except httptools.HttpParserUpgrade:
            self.fail_malformed("an upgrade")
            return
        if self.response_complete and self.attempt is not None:
            self.finish_response()

    def record_idle_use(self, reset: bool) -> None:
        if self.idle_before_ms is not None:
            self.pool.idle_limit.record_use(self.idle_before_ms, reset)

    def fail_malformed(self, reason: str) -> None:
        log.warning("server %s:%d: malformed answer: %s", *self.server.address, reason)
        self.abort_attempt(Result.ERROR)

    def finish_response(self) -> None:
        """The answer is whole, or as much of it as is of use."""
        assert self.attempt is not None
        request_sent, body = self.attempt.request_written, b"".join(self.buffered_body)
        attempt = self.detach_attempt()
        assert attempt is not None
        self.record_idle_use(reset=False)
        status = self.parser.get_status_code()
        if self.response_complete and self.keep_alive and request_sent and not self.unexpected_bytes:
            self.pool.return_to_pool(self, now_ms())
        else:
            self.close("answer_ends_connection" if request_sent else "answered_early")
        if status == 200:
            result = Result.OK
        elif status in (503, 504) and self.not_started:
            result = Result.FULL
        else:
            result = Result.ERROR
        self.pool.finish_attempt(attempt, result, ServerResponse(status, body, self.content_type))

    def pause_reading_response(self, paused: bool) -> None:
        """The client takes no more for now, or takes more again."""
        self.reading_paused, self.last_read_ms = paused, now_ms()
        if self.transport.is_closing():
            return
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def begin_streaming(self) -> None:
        """From here on the answer is passed on as it comes."""
        attempt = self.attempt
        if attempt is None or attempt.streaming:
            return
        attempt.streaming = True
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        self.count_in_budget()
        self.pool.on_response_started(attempt, self.content_length, self.content_type)
        chunks, self.buffered_body = self.buffered_body, []
        for chunk in chunks:
            if self.attempt is attempt:
                self.pool.on_response_chunk(attempt, chunk)

    def count_in_budget(self) -> None:
        if not self.counted_in_budget:
            self.counted_in_budget = True
            self.pool.body_budget.bodies += 1

    # What the parser finds.

    def on_message_begin(self) -> None:
        if self.response_complete:
            self.unexpected_bytes = True
            return
        self.buffered_body.clear()
        self.body_size, self.content_length, self.transfer_coding = 0, None, b""
        self.not_started = False
        self.content_type = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.response_complete or self.head_received:  # stray, or a trailer
            return
        lower_name, value = name.lower(), value.strip(b" \t")  # white space round a value is no part of it
        if lower_name == b"not-started":
            self.not_started = value == b"1"
        elif lower_name == b"content-type":
            self.content_type = value
        elif lower_name == b"content-length":
            self.content_length = int(value)  # the parser has refused all but digits
        elif lower_name == b"transfer-encoding":
            self.transfer_coding = value.lower()

    def on_headers_complete(self) -> None:
        if self.response_complete or self.parser.get_status_code() < 200:
            return
        if self.transfer_coding not in (b"", b"chunked"):
            raise ValueError(
                f"transfer coding {self.transfer_coding!r}"
            )  # reaches buffer_updated as a parser error
        self.head_received = True
        if self.parser.get_status_code() != 200:
            return
        if self.content_length is None:
            self.unsized_body_timer = self.pool.loop.call_later(UNSIZED_BODY_DELAY_S, self.begin_streaming)
        elif self.content_length > BUFFERED_BODY_BYTES:
            self.begin_streaming()

    def on_body(self, body: bytes) -> None:
        attempt = self.attempt
        if self.response_complete or attempt is None:
            return
        self.body_size += len(body)
        if self.parser.get_status_code() != 200:  # its body is of no use; one that goes on is not waited for
            if self.body_size > BUFFERED_BODY_BYTES:
                self.keep_alive = False
                self.finish_response()
        elif attempt.streaming:
            self.pool.on_response_chunk(attempt, body)
        else:
            self.buffered_body.append(body)
            if self.body_size > MIN_BODY_SHARE_BYTES:
                self.count_in_budget()
            if self.body_size > self.pool.body_budget.share:
                self.begin_streaming()

    def on_message_complete(self) -> None:
        if self.response_complete or self.parser.get_status_code() < 200:  # an interim answer
            return
        self.response_complete = True
        self.keep_alive = self.parser.should_keep_alive()


class AttemptHandler(Protocol):
    """What the answers go to."""

    def attempt_ended(self, attempt: Attempt, result: Result, response: ServerResponse | None) -> None:
        """An attempt has ended, with the answer if one came whole."""

    def response_started(self, attempt: Attempt, content_length: int | None, content_type: bytes) -> None:
        """An answer is passed on as it comes."""

    def response_chunk(self, attempt: Attempt, chunk: bytes) -> None:
        """A part of its body."""


class ServerPool:
    """All servers that a list has named, and all attempts that are out."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dial_timeout: float,
        idle_timeout: float,
        max_connections: int,
        handler: AttemptHandler,
        metrics: Metrics,
        body_budget: BodyBudget,
    ) -> None:
        self.loop = loop
        self.dial_timeout = dial_timeout
        self.idle_limit = IdleLimit(max(idle_timeout - IDLE_TIMEOUT_MARGIN_MS, idle_timeout / 2))
        self.max_connections = max_connections
        self.on_attempt_ended, self.on_response_started, self.on_response_chunk = (
            handler.attempt_ended,
            handler.response_started,
            handler.response_chunk,
        )
        self.metrics = metrics
        self.body_budget = body_budget
        self.servers: dict[int, EndpointConnections] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.connections: set[ServerConnection] = set()
        self.pending_connects = 0
        self.loop.call_later(IDLE_SWEEP_INTERVAL_S, self.sweep_connections)

    def update(self, server_id: int, address: Address, state: State, started: float) -> None:
        """Take over a line of the server list."""
        server = self.servers.get(server_id)
        if server is None:
            self.servers[server_id] = EndpointConnections(server_id, address, state, started)
        elif (server.address, server.state, server.started) != (address, state, started):
            # Connections from before a restart are dead, and a server that drains gets nothing new.
            server.address, server.state, server.started = address, state, started
            self.discard_connections(server)
        if state is State.GONE:  # attempts under way know it; where servers come and go, nobody else must
            self.servers.pop(server_id, None)

    def discard_connections(self, server: EndpointConnections) -> None:
        """Use no connection to it that is open or on its way: what was decided before goes elsewhere."""
        server.version += 1
        for connection in server.idle:
            connection.close("endpoint_changed")
        server.idle.clear()
        for attempt in list(self.attempts.values()):
            if attempt.server is server and attempt.connection is None:
                self.abort_attempt(attempt, Result.UNREACHABLE)

    def cordon(self, server_id: int) -> None:
        """Nothing that was decided before reaches the server from now on."""
        server = self.servers.get(server_id)
        if server is not None:
            self.discard_connections(server)

    def send(
        self,
        request_id: int,
        number: int,
        server_id: int,
        timeout_ms: float,
        send_within_ms: float,
        message: ForwardedRequest,
    ) -> None:
        """Begin an attempt: it goes out within so many ms or not at all, and ends after `limit` ms."""
        server = self.servers[server_id]
        now = now_ms()
        attempt = Attempt(
            request_id, number, server, server.version, message, now, now + timeout_ms, now + send_within_ms
        )
        self.attempts[request_id, number] = attempt
        attempt.timeout_timer = self.loop.call_later(max(0.0, timeout_ms) / 1000, self.on_timeout, attempt)
        idle, reusable = server.idle, len(server.idle)
        while reusable and now - idle[reusable - 1].idle_since < CONNECTION_REUSE_DELAY_MS:
            reusable -= 1
        while reusable:
            reusable -= 1
            if self.send_on_idle(idle.pop(reusable), attempt, now):
                return
        if not idle:
            attempt.connection_wait = self.loop.create_task(self.connect(attempt))
            return
        # What is left of its rest is far less than it takes to open another.
        attempt.reserved_connection = idle.pop(0)
        wait_ms = attempt.reserved_connection.idle_since + CONNECTION_REUSE_DELAY_MS - now
        attempt.connection_wait = self.loop.call_later(wait_ms / 1000, self.on_reuse_delay_over, attempt)

    def send_on_idle(self, connection: ServerConnection, attempt: Attempt, now: float) -> bool:
        """Use a connection that has been idle, if it still can be."""
        idle_before_ms = now - connection.idle_since
        fresh = (
            connection.version == attempt.version == attempt.server.version
            and idle_before_ms < self.idle_limit.limit_ms
        )
        closing = connection.transport.is_closing()
        if not fresh or closing or now >= attempt.send_before or connection.socket_poll.poll(0):
            connection.close("stale")
            return False
        connection.idle_before_ms = idle_before_ms
        connection.send_request(attempt)
        return True

    def on_reuse_delay_over(self, attempt: Attempt) -> None:
        """The connection that an attempt has waited for may be used."""
        connection, attempt.reserved_connection, attempt.connection_wait = (
            attempt.reserved_connection,
            None,
            None,
        )
        assert connection is not None
        if not self.send_on_idle(connection, attempt, now_ms()):
            attempt.connection_wait = self.loop.create_task(self.connect(attempt))

    async def connect(self, attempt: Attempt) -> None:
        """Open a connection for an attempt; no byte has been sent where this fails."""
        server = attempt.server
        if (
            len(self.connections) + self.pending_connects >= self.max_connections
            and not self.close_idle_connection()
        ):
            log.warning("no descriptors left for a connection to %s:%d", *server.address)
            self.finish_attempt(attempt, Result.UNREACHABLE)
            return
        self.pending_connects += 1
        connection = ServerConnection(self, server)
        try:
            async with asyncio.timeout(min(self.dial_timeout, attempt.send_before - now_ms()) / 1000):
                await self.loop.create_connection(lambda: connection, *server.address)
        except (OSError, UnicodeError):  # no connection in time, or an address that is none
            self.finish_attempt(attempt, Result.UNREACHABLE)
            return
        finally:
            self.pending_connects -= 1
        attempt.connection_wait = None
        # Meanwhile the server may have begun to drain or come back elsewhere: then it gets nothing.
        changed = attempt.version != server.version
        if changed or connection.transport.is_closing() or now_ms() >= attempt.send_before:
            connection.close("endpoint_changed_while_connecting" if changed else "came_up_late")
            self.finish_attempt(attempt, Result.UNREACHABLE)
        else:
            # Counted from here, not from connection_made: a dial that is cancelled just as it comes up is
            # closed by uvloop without connection_lost, and would count against the limit for ever.
            self.connections.add(connection)
            connection.send_request(attempt)

    def set_limit(self, limit: int) -> None:
        self.max_connections = limit
        while len(self.connections) + self.pending_connects > limit and self.close_idle_connection():
            pass

    def close_idle_connection(self) -> bool:
        for server in self.servers.values():
            if server.idle:
                connection = server.idle.pop(0)
                connection.close("makes_room")
                self.connections.discard(connection)
                return True
        return False

    def return_to_pool(self, connection: ServerConnection, idle_since: float) -> None:
        """Keep a connection for the next attempt, if its server still is the one it was opened to."""
        server = connection.server
        if connection.version != server.version or server.state is not State.READY:
            connection.close("endpoint_changed")
            return
        connection.idle_since = idle_since
        idle = server.idle
        if not idle or idle[-1].idle_since <= idle_since:
            idle.append(connection)
        else:  # it was only held for an attempt that did not use it
            insort(idle, connection, key=lambda other: other.idle_since)

    def sweep_connections(self) -> None:
        self.loop.call_later(IDLE_SWEEP_INTERVAL_S, self.sweep_connections)
        self.idle_limit.on_sweep()
        idle_before = now_ms() - self.idle_limit.limit_ms
        for server in self.servers.values():
            while server.idle and server.idle[0].idle_since < idle_before:
                server.idle.pop(0).close("idle")
        read_before = now_ms() - 1000 * RESPONSE_READ_TIMEOUT_S
        for connection in [attempt.connection for attempt in self.attempts.values() if attempt.streaming]:
            if (
                connection is not None
                and not connection.reading_paused
                and connection.last_read_ms < read_before
            ):
                connection.abort_attempt(Result.RESET)

    def on_timeout(self, attempt: Attempt) -> None:
        # Where no connection came up in the whole time, or took not all, nothing has run.
        self.abort_attempt(attempt, Result.TIMEOUT if attempt.request_written else Result.UNREACHABLE)

    def set_timeout(self, request_id: int, number: int, timeout_ms: float) -> None:
        """Set the time-out of an attempt anew."""
        attempt = self.attempts.get((request_id, number))
        if attempt is None or attempt.streaming:
            return
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        attempt.deadline = now_ms() + timeout_ms
        attempt.timeout_timer = self.loop.call_later(max(0.0, timeout_ms) / 1000, self.on_timeout, attempt)

    def cancel(self, request_id: int, number: int) -> None:
        attempt = self.attempts.get((request_id, number))
        if attempt is not None:
            self.abort_attempt(attempt, Result.CANCELLED)

    def cancel_unsent(self, request_id: int, number: int) -> None:
        """The request is over: an attempt whose connection is not up yet does not go out."""
        attempt = self.attempts.get((request_id, number))
        if attempt is not None and attempt.connection is None:
            self.abort_attempt(attempt, Result.NOT_SENT)

    def abort_attempt(self, attempt: Attempt, result: Result) -> None:
        """Stop waiting: the connection is of no more use, an answer may still come on it."""
        if attempt.connection_wait is not None:
            attempt.connection_wait.cancel()
        if attempt.reserved_connection is not None:
            self.return_to_pool(attempt.reserved_connection, attempt.reserved_connection.idle_since)
            attempt.reserved_connection = None
        if attempt.connection is not None:
            attempt.connection.abort_attempt(result)
        else:
            self.finish_attempt(attempt, result)

    def finish_attempt(
        self, attempt: Attempt, result: Result, response: ServerResponse | None = None
    ) -> None:
        if self.attempts.pop((attempt.request_id, attempt.number), None) is None:
            return
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        attempt.connection_wait = attempt.connection = None
        self.on_attempt_ended(attempt, result, response)
