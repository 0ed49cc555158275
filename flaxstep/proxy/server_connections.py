"""Connections to job servers: the attempts that are sent on them, and their responses."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from flaxstep.proxy.block_buffer import BlockBuffer
from flaxstep.proxy.config import Address
from flaxstep.proxy.connection_close import abort_immediately, poll_unread_input
from flaxstep.proxy.event_log import log_event
from flaxstep.proxy.forwarded_messages import ForwardedRequest, ServerResponse
from flaxstep.proxy.header_limit import HeaderLimit, HeadersTooLong
from flaxstep.proxy.idle_limit import IdleLimit
from flaxstep.proxy.memory_account import SERVER_CONNECTION_BYTES, MemoryAccount, MemoryHolder
from flaxstep.proxy.metrics import Metrics
from flaxstep.proxy.read_turns import TurnLimitedProtocol, TurnScheduler
from flaxstep.proxy.request_bodies import BUFFERED_BODY_BYTES, JOINED_BODY_BYTES
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import Result, State

# A response without a length is buffered for this long: if it ends in that time, it is sent with its length.
UNSIZED_BODY_DELAY_S = 0.025
REQUEST_WRITE_TIMEOUT_S = 5.0  # for a server that reads no more of a request's body
# Causes for which a connection is aborted at once, without sending what is left in its write buffer.
ABORT_CAUSES = frozenset(
    {"answered_early", "bytes_unasked", "makes_room", "came_up_late", "endpoint_changed_while_connecting"}
)

log = logging.getLogger("flaxstep.proxy")


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to get a response to a request from one server. Times are in ms of the monotonic clock."""

    request_id: int
    number: int
    server: EndpointConnections
    version: int  # of `server` when the attempt was created
    message: ForwardedRequest
    started: float
    deadline: float
    send_before: float  # the request must not be sent at this time or later
    timeout_timer: asyncio.TimerHandle | None = None
    connection_wait: asyncio.Task[None] | asyncio.TimerHandle | None = (
        None  # what it waits for until it has a connection
    )
    reserved_connection: ServerConnection | None = None  # idle, and to be used after the reuse delay
    connection: ServerConnection | None = None
    request_written: bool = False  # completely: the server may have run it
    streaming: bool = False  # its response is streamed to the client


@dataclass(slots=True, eq=False)
class EndpointConnections:
    """A server's address, state and idle connections.

    `version` is incremented by each change that makes connections opened before it unusable.
    """

    id: int
    address: Address
    state: State
    started: float
    version: int = 0
    idle: list[ServerConnection] = field(default_factory=list)  # ordered by idle_since


class ConnectionPool(Protocol):
    """What a connection needs of the pool that it belongs to; `connections` holds all that are open."""

    loop: asyncio.AbstractEventLoop
    metrics: Metrics
    account: MemoryAccount
    turns: TurnScheduler
    idle_limit: IdleLimit
    connections: set[ServerConnection]

    def return_to_pool(self, connection: ServerConnection, idle_since: float) -> None:
        """Keep a connection for the next attempt, unless its server has changed since it was opened."""

    def finish_attempt(
        self, attempt: Attempt, result: Result, response: ServerResponse | None = None
    ) -> None:
        """Report the end of an attempt; `response` is set if it was received completely and not streamed."""

    def on_response_started(self, attempt: Attempt, content_length: int | None, content_type: bytes) -> None:
        """A response is streamed from now on."""

    def on_response_chunk(self, attempt: Attempt, chunk: bytes) -> None:
        """A chunk of the body of a streamed response was received."""


class ServerConnection(TurnLimitedProtocol, MemoryHolder):
    """One connection to a server. It serves one attempt at a time."""

    def __init__(self, pool: ConnectionPool, server: EndpointConnections) -> None:
        self.pool = pool
        self.turns = pool.turns
        self.server = server
        self.version = server.version
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.idle_before_ms: float | None = None  # None: its first attempt
        self.parser = httptools.HttpResponseParser(self)
        self.header_limit = HeaderLimit()
        self.buffered_body = BlockBuffer()  # not yet passed on
        self.body_size = 0
        self.content_length: int | None = None  # None: not given by the server
        self.transfer_coding = b""
        self.not_started = False
        self.content_type = b""
        self.head_received = False  # of the final response, not of an interim one
        self.response_complete = False
        self.bytes_received = 0  # of the response
        self.last_read_ms = 0.0
        self.reading_paused = False  # while the client reads nothing
        self.keep_alive = False
        self.unexpected_bytes = False  # received after the end of the response
        self.connected = False  # once; a connection that is being opened is held too
        self.unsized_body_timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # No isinstance check: uvloop's transports don't derive from asyncio's. They have TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self.descriptor: int = transport.get_extra_info("socket").fileno()
        self.socket_poll = poll_unread_input(self.descriptor)
        self.connected = True

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.connections.discard(self)
        self.pool.account.remove(self)
        if self in self.server.idle:
            self.server.idle.remove(self)
        if self.attempt is not None:
            self.end_attempt_at_close(exc)
        del self.parser  # they refer to each other, and would wait for the collector

    def end_attempt_at_close(self, exc: Exception | None) -> None:
        """End the attempt whose connection has closed, with its response if that ends so."""
        assert self.attempt is not None
        if exc is None and self.head_received and self.content_length is None and not self.transfer_coding:
            self.response_complete = True  # such a response ends with its connection
            self.finish_response()
            return
        # A request that was written completely to the transport may have run: bytes left in the transport's
        # buffer don't prove that the server did not receive it.
        self.record_idle_use(reset=not self.bytes_received)
        self.abort_attempt(Result.RESET if self.attempt.request_written else Result.UNREACHABLE)

    def abort_attempt(self, result: Result) -> None:
        """End the attempt with this result and abort the connection, without waiting for the response."""
        log_event(
            "upstream_aborted",
            endpoint=self.server.id,
            upstream=self.descriptor,
            result=result.name.lower(),
            head_received=self.head_received,
            body=self.body_size,
            received=self.bytes_received,
        )
        attempt = self.detach_attempt()
        # Before the result is reported: the policy may retry at once, and this attempt must be over by then.
        abort_immediately(self.transport)
        if attempt is not None:
            self.pool.finish_attempt(attempt, result)

    def close(self, cause: str) -> None:
        log_event("upstream_closed", endpoint=self.server.id, upstream=self.descriptor, cause=cause)
        if cause in ABORT_CAUSES:
            self.transport.abort()
        else:
            self.transport.close()

    def detach_attempt(self) -> Attempt | None:
        """Separate the attempt from this connection, and release the timers and buffers that it used."""
        attempt, self.attempt = self.attempt, None
        for timer in (self.unsized_body_timer, self.write_timer):
            if timer is not None:
                timer.cancel()
        self.unsized_body_timer = self.write_timer = None
        if self.buffered_body:
            self.buffered_body = BlockBuffer()
        if self.reading_paused:
            # The client of this attempt reads slowly; the response to the next one must be read all the same.
            self.pause_reading_response(False)
        if attempt is not None and attempt.message.upload is not None:
            attempt.message.upload.detach()
        return attempt

    # Sending the request.

    def send_request(self, attempt: Attempt) -> None:
        """Write the request; a streamed body follows as the client sends it."""
        self.attempt = attempt
        attempt.connection = self
        log_event(
            "attempt_sent",
            request=attempt.message.request_id,
            attempt=attempt.number,
            endpoint=self.server.id,
            upstream=self.descriptor,
            reused=self.idle_before_ms is not None,
        )
        self.response_complete = self.head_received = False
        self.bytes_received = self.body_size = 0
        self.content_length, self.transfer_coding = None, b""
        # Until the last byte of the body has come, the deadline is an upper bound.
        timeout_ms = max(1, int(min(attempt.deadline - now_ms(), attempt.message.timeout_ms)))
        message, upload = attempt.message, attempt.message.upload
        if upload is None:
            length_header = b"Content-Length: %d\r\n" % len(message.body) if message.has_body else b""
        elif upload.length is None:
            length_header = b"Transfer-Encoding: chunked\r\n"
        else:
            length_header = b"Content-Length: %d\r\n" % upload.length
        head = b"%b%bRequest-Timeout: %dm\r\n\r\n" % (message.head, length_header, timeout_ms)
        if upload is None:
            if len(message.body) <= JOINED_BODY_BYTES:
                self.transport.write(head + bytes(message.body))
            else:
                self.transport.writelines([head, *message.body.blocks])
            self.on_request_written()
        else:
            self.transport.write(head)
            self.transport.set_write_buffer_limits(0)  # buffer no body here: pause the client instead
            upload.attach(self)
        self.pool.account.update(self)

    def count_held_bytes(self) -> int:
        """What the process holds for the server: of the request what it has not taken, of its response."""
        unsent_bytes = self.transport.get_write_buffer_size() if self.connected else 0
        return SERVER_CONNECTION_BYTES + self.buffered_body.count_held_bytes() + unsent_bytes

    def on_request_written(self) -> None:
        assert self.attempt is not None
        self.attempt.request_written = True
        if self.attempt.message.upload is not None:
            self.attempt.started = now_ms()  # the server can't start before this
        self.pool.metrics.forwards += 1

    def write_part(self, blocks: Sequence[bytearray], size: int) -> None:
        assert self.attempt is not None and self.attempt.message.upload is not None
        if self.attempt.message.upload.length is None:
            self.transport.writelines([b"%x\r\n" % size, *blocks, b"\r\n"])
        else:
            self.transport.writelines(blocks)

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

    # Receiving the response.

    @property
    def reading_blocked(self) -> bool:
        return self.reading_paused

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.limit_buffer(self.pool.account.read_buffer())

    def buffer_updated(self, nbytes: int) -> None:
        self.take_turn(nbytes)
        self.pool.account.update(self)

    def take_input(self, nbytes: int) -> None:
        """Parse the bytes that were read, and pass on what has come of a streamed response."""
        if self.attempt is None:  # with no request sent, these bytes could be taken for the next response
            self.close("bytes_unasked")
            return
        self.bytes_received += nbytes
        self.last_read_ms = now_ms()
        buffer = self.pool.account.read_memory
        try:
            self.parser.feed_data(memoryview(buffer)[:nbytes])
            self.header_limit.check_unfinished_line(buffer, nbytes)
        except (httptools.HttpParserError, HeadersTooLong) as error:
            if self.attempt is None:  # aborted while the bytes were parsed
                return
            if not self.response_complete:
                self.fail_malformed(str(error.__context__ or error))
                return
            self.unexpected_bytes = True
        except httptools.HttpParserUpgrade:
            self.fail_malformed("protocol upgrade")
            return
        self.flush_response()
        if self.response_complete and self.attempt is not None:
            self.finish_response()

    def record_idle_use(self, reset: bool) -> None:
        if self.idle_before_ms is not None:
            self.pool.idle_limit.record_use(self.idle_before_ms, reset)

    def fail_malformed(self, reason: str) -> None:
        log.warning("server %s:%d: malformed response: %s", *self.server.address, reason)
        self.abort_attempt(Result.ERROR)

    def finish_response(self) -> None:
        """End the attempt with its response, which is complete or as complete as it needs to be."""
        assert self.attempt is not None
        # If the transport still holds bytes of the request, the next one would wait behind them.
        request_sent = self.attempt.request_written and not self.transport.get_write_buffer_size()
        body = bytes(self.buffered_body)
        attempt = self.detach_attempt()
        assert attempt is not None
        self.record_idle_use(reset=False)
        status = self.parser.get_status_code()
        content_type, self.content_type = self.content_type, b""  # a connection at rest keeps nothing
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
        self.pool.finish_attempt(attempt, result, ServerResponse(status, body, content_type))

    def pause_reading_response(self, paused: bool) -> None:
        """Stop reading the response while the client reads nothing, or read on."""
        self.reading_paused, self.last_read_ms = paused, now_ms()
        if self.transport.is_closing():
            return
        log_event("upstream_read_paused" if paused else "upstream_read_resumed", upstream=self.descriptor)
        self.update_reading()

    def begin_streaming(self) -> None:
        """Stream the response to the client from now on, starting with what is buffered."""
        attempt = self.attempt
        if attempt is None or attempt.streaming:
            return
        attempt.streaming = True
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        self.pool.on_response_started(attempt, self.content_length, self.content_type)
        self.flush_response()

    def flush_response(self) -> None:
        """Pass on what has arrived of a response that is streamed to its client."""
        if self.attempt is not None and self.attempt.streaming and self.buffered_body:
            chunk = b"".join(self.buffered_body.take_blocks())
            self.pool.on_response_chunk(self.attempt, chunk)

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        self.header_limit.on_message_begin()
        if self.response_complete:
            self.unexpected_bytes = True
            return
        if self.buffered_body:
            self.buffered_body = BlockBuffer()
        self.body_size, self.content_length, self.transfer_coding = 0, None, b""
        self.not_started = False
        self.content_type = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_limit.on_header(name, value)
        if self.response_complete or self.head_received:  # unexpected, or a trailer
            return
        lower_name, value = name.lower(), value.strip(b" \t")  # optional white space
        if lower_name == b"not-started":
            self.not_started = value == b"1"
        elif lower_name == b"content-type":
            self.content_type = value
        elif lower_name == b"content-length":
            self.content_length = int(value)  # the parser accepts digits only
        elif lower_name == b"transfer-encoding":
            self.transfer_coding = value.lower()

    def on_headers_complete(self) -> None:
        if self.response_complete or self.parser.get_status_code() < 200:
            return
        if self.transfer_coding not in (b"", b"chunked"):
            raise ValueError(
                f"transfer coding {self.transfer_coding!r}"
            )  # raised in buffer_updated as a parser error
        self.head_received = True
        if self.parser.get_status_code() != 200:
            return
        if self.content_length is None:
            self.unsized_body_timer = self.pool.loop.call_later(UNSIZED_BODY_DELAY_S, self.begin_streaming)
        elif self.content_length > BUFFERED_BODY_BYTES:
            self.begin_streaming()

    def on_chunk_header(self) -> None:
        self.header_limit.on_chunk_boundary()

    def on_chunk_complete(self) -> None:
        self.header_limit.on_chunk_boundary()

    def on_body(self, body: bytes) -> None:
        self.header_limit.on_body(body)
        attempt = self.attempt
        if self.response_complete or attempt is None:
            return
        self.body_size += len(body)
        if self.parser.get_status_code() != 200:  # its body is not used, so a long one is not read to its end
            if self.body_size > BUFFERED_BODY_BYTES:
                self.keep_alive = False
                self.finish_response()
            return
        self.buffered_body.append(body)
        if not attempt.streaming and self.body_size > self.pool.account.share_bytes:
            self.begin_streaming()

    def on_message_complete(self) -> None:
        self.header_limit.on_message_complete()
        if self.response_complete or self.parser.get_status_code() < 200:  # interim response
            return
        self.response_complete = True
        self.keep_alive = self.parser.should_keep_alive()
