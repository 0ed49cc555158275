"""Client connections: the requests that arrive on them, in order, and the responses to their clients."""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict, deque
from typing import Protocol, cast

import httptools

from flaxstep.proxy.arrival_clock import ArrivalClock
from flaxstep.proxy.block_buffer import BlockBuffer
from flaxstep.proxy.client_requests import (
    BadRequest,
    ClientRequest,
    HealthCheck,
    Rejection,
)
from flaxstep.proxy.config import Config
from flaxstep.proxy.connection_close import (
    STATUS_LINES,
    WriteProgress,
    close_after_response,
    closed_by_peer,
    poll_unread_input,
    reset_connection,
)
from flaxstep.proxy.event_log import log_event
from flaxstep.proxy.header_limit import MAX_HEADER_BYTES, HeadersTooLong
from flaxstep.proxy.incoming_request import IncomingRequest
from flaxstep.proxy.memory_account import (
    CLIENT_CONNECTION_BYTES,
    QUEUED_REQUEST_BYTES,
    REQUEST_BYTES,
    MemoryAccount,
    MemoryHolder,
)
from flaxstep.proxy.read_turns import TurnLimitedProtocol, TurnScheduler
from flaxstep.proxy.request_bodies import BUFFERED_BODY_BYTES, JOINED_BODY_BYTES, Upload
from flaxstep.proxy.request_parser import RequestParser, UnsupportedConnect
from flaxstep.proxy.wall_clock import now_ms

MAX_PIPELINED_REQUESTS = 16  # queued on one connection; with more, reading from it pauses
HEAD_READ_BYTES = 1024  # in one read outside of bodies; all requests in it are queued, however many
# Of responses that the client does not take; with more, its next requests wait. One response may exceed this.
MAX_UNSENT_BYTES = 4096
# For a client to send one request, and from one byte of it to the next; some take 2 s for the head alone.
REQUEST_TIMEOUT_S = 2.6
# A body that arrives at this rate extends the timeouts of its request; slow clients send twice as fast.
MIN_UPLOAD_BYTES_PER_S = 32768
DEPARTURE_LOOK_INTERVAL_MS = 1.0  # a request and its first attempt begin within it
REQUEST_TIMER_PAUSE_S = 0.1  # before a request is looked at again that was held up or is nearly overdue


class RequestHandler(Protocol):
    """Receives valid requests and events of their clients; the node implements it."""

    @property
    def ready(self) -> bool:
        """Whether the health check succeeds, so that clients are sent here."""

    @property
    def draining(self) -> bool:
        """Whether the node drains: each connection is closed after its last response."""

    def accept_request(self, client: ClientConnection, request: ClientRequest) -> None:
        """Start to serve a request and set the connection's `request_id` to its number."""

    def upload_held_up(self, request_id: int, since_ms: float | None) -> None:
        """The rest of a body may lie unread since then, as no server takes it; None: all of it is read."""

    def upload_complete(self, request_id: int, sent_at_ms: float) -> None:
        """The last byte of a body that is forwarded while it arrives has been received; it was sent then."""

    def client_gone(self, request_id: int) -> None:
        """The client has disconnected or broken off its request: no response can be sent."""

    def pause_response(self, request_id: int, pause: bool) -> None:
        """Pause the response while the client does not read it fast enough, or resume it."""


class ConnectionSupervisor(Protocol):
    """Keeps the client connections within their limits; the listener implements it.

    Connections enter and leave `idle` (between requests), `read_paused` (by descriptor) and `slow_readers`
    (whose client does not take its responses as fast as they are written) by themselves.
    """

    loop: asyncio.AbstractEventLoop
    config: Config
    handler: RequestHandler
    account: MemoryAccount
    turns: TurnScheduler
    idle: OrderedDict[ClientConnection, float]
    read_paused: dict[int, ClientConnection]
    receiving_first_request: OrderedDict[ClientConnection, float]
    slow_readers: dict[ClientConnection, WriteProgress]

    def on_connection_opened(self, client: ClientConnection) -> None:
        """Supervise a new connection, and evict another if it is one too many."""

    def on_bytes_received(self, client: ClientConnection) -> None:
        """Note that a connection without a valid request so far makes progress."""

    def on_valid_request(self, client: ClientConnection) -> None:
        """End the supervision of a connection that has sent a valid request."""

    def add_slow_reader(self, client: ClientConnection) -> None:
        """Watch whether a client takes its responses at all."""

    def start_lingering(self, client: ClientConnection) -> None:
        """Note that the last response is written. The connection counts against the limit until it closes."""

    def on_connection_closed(self, client: ClientConnection) -> None:
        """Forget a connection whose transport has closed, or that lingers from now on."""

    def exclude_from_eviction(self, client: ClientConnection) -> None:
        """Neither evict nor time out this connection, which is about to close."""


class ClientConnection(TurnLimitedProtocol, MemoryHolder):
    """One connection of a client. Pipelined requests are served one after the other."""

    def __init__(self, listener: ConnectionSupervisor) -> None:
        self.listener = listener
        self.turns = listener.turns
        self.parser = RequestParser(self)
        # Requests that wait for their turn, each with whether to keep the connection open after its response.
        self.queued_requests: deque[tuple[ClientRequest | Rejection | HealthCheck, bool]] = deque()
        self.request_id = 0  # the node's number of the request that is being served; 0: none
        self.serving_request = self.serving_queue = False
        self.served_bytes = 0  # kept of the request that is being served, for a retry
        self.next_request_waits = False  # for the next turn, in which it is served
        self.keep_alive = True  # after the current response
        self.input_finished = False  # no further request is read, or the last response has been written
        self.output_finished = False  # no further response can be sent
        self.writing_paused = False  # the client takes less than is written
        # Why reading is paused: enough requests are queued, or no server reads the body as fast.
        self.paused_for_queue = self.paused_for_upload = False
        self.receiving_request = False  # a request has arrived in part
        self.request_timer: asyncio.TimerHandle | None = None  # runs while a request arrives
        # Loop times of its first and its last byte, moved on by the times in which the node did not read.
        self.request_started_at = self.last_byte_at = 0.0
        self.blocked_at: float | None = None  # loop time; reading is paused since then
        self.arrival_clock = ArrivalClock()
        self.departure_looked_for_ms = -math.inf
        self.upload_held_up = False  # as reported to the handler
        self.incoming = IncomingRequest()  # empty between requests
        self.upload: Upload | None = None  # forwards the body that arrives, unless it is buffered whole
        self.serving_upload = False  # the request that is being served still uploads its body
        self.response_chunked = False  # the current response is sent with chunked coding
        self.response_streaming = False  # a part of the current response has been sent
        self.bytes_since_request = 0  # received since the end of the last complete request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast, as uvloop's transports are no subclasses of asyncio's. uvloop sets TCP_NODELAY on them.
        self.transport = cast(asyncio.Transport, transport)
        self.descriptor: int = transport.get_extra_info("socket").fileno()
        self.transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        self.listener.on_connection_opened(self)
        self.listener.account.update(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.on_connection_closed(self)
        self.abandon()
        self.listener.account.remove(self)
        self.parser.close()

    def eof_received(self) -> None:
        """Treat a half-close as the client's departure: it waits for no response. The transport closes."""
        self.abandon()

    def detect_departure(self) -> bool:
        """Whether the client has closed the connection; it is aborted then, with what it sent before.

        The transport reports a close only once all bytes before it are read.
        """
        if self.transport.is_closing():
            return True
        now = now_ms()
        if now - self.departure_looked_for_ms < DEPARTURE_LOOK_INTERVAL_MS:
            return False
        self.departure_looked_for_ms = now
        if closed_by_peer(self.descriptor):
            self.abandon()
            self.transport.abort()
            return True
        return False

    def abandon(self) -> None:
        """Stop reading and writing, and withdraw the request that is being served."""
        if not self.output_finished:
            log_event("client_left", connection=self.descriptor, request=self.request_id)
        self.input_finished = self.output_finished = True
        self.listener.exclude_from_eviction(self)
        self.listener.read_paused.pop(self.descriptor, None)
        self.queued_requests.clear()
        self.withdraw_request()
        self.stop_receiving_request()

    def withdraw_request(self) -> None:
        """Tell the handler that nobody waits for the response to the current request."""
        if self.request_id:
            request_id, self.request_id = self.request_id, 0
            self.listener.handler.client_gone(request_id)

    def close(self, cause: str) -> None:
        """Close the connection between requests, or in the middle of one that will never be complete."""
        self.stop_receiving_request()
        self.half_close(cause)

    def half_close(self, cause: str) -> None:
        """Close the sending side. Input that still arrives can get no response, so it is discarded."""
        if self.output_finished:
            return
        log_event("client_closed", connection=self.descriptor, cause=cause)
        self.input_finished = self.output_finished = True
        self.queued_requests.clear()
        self.paused_for_queue = self.paused_for_upload = False
        self.update_reading()
        self.listener.start_lingering(self)
        close_after_response(self.listener.loop, self.transport)

    # The memory that is held for the client.

    def count_held_bytes(self) -> int:
        """What the process holds for the client: requests that arrive, wait or are served, and responses."""
        held_bytes = CLIENT_CONNECTION_BYTES + self.transport.get_write_buffer_size() + self.served_bytes
        if self.receiving_request:
            held_bytes += self.incoming.count_held_bytes() + self.parser.unfinished_line_bytes
        if self.upload is not None:
            held_bytes += self.upload.buffered.count_held_bytes()
        for item, _ in self.queued_requests:
            held_bytes += QUEUED_REQUEST_BYTES
            if isinstance(item, ClientRequest):
                held_bytes += item.message.count_held_bytes()
        return held_bytes

    def release_memory(self) -> int:
        """Refuse what has not begun; end a connection that owes no answer, or whose answers are not read."""
        held_bytes = self.held_bytes
        if self.transport.is_closing():
            return 0
        if self.writing_paused:
            self.reset("memory")
            return held_bytes
        if self.input_finished:
            return 0
        if self.receiving_request:
            self.stop_reading(BadRequest(503))
            self.refuse_queued_requests()
            self.serve_next_requests()
        elif self.queued_requests:
            self.refuse_queued_requests()
        elif not self.serving_request:
            self.close("memory")
            return held_bytes
        self.listener.account.update(self)
        return held_bytes - self.held_bytes

    def refuse_queued_requests(self) -> None:
        """Answer the requests that wait for their turn with 503: none of them has been sent to a server."""
        refusal = BadRequest(503).rejection
        self.queued_requests = deque(
            (refusal if isinstance(item, ClientRequest) else item, keep_alive)
            for item, keep_alive in self.queued_requests
        )

    # Reading requests.

    def get_buffer(self, sizehint: int) -> memoryview:
        receiving_body = self.receiving_request and self.incoming.headers.complete
        max_bytes = BUFFERED_BODY_BYTES if receiving_body or self.input_finished else HEAD_READ_BYTES
        return self.limit_buffer(self.listener.account.read_buffer(max_bytes))

    def buffer_updated(self, nbytes: int) -> None:
        self.last_byte_at = self.listener.loop.time()
        buffer_filled = nbytes == self.read_size
        if buffer_filled:
            self.arrival_clock.on_read(now_ms(), nbytes, more_may_wait=True)
        self.take_turn(nbytes)
        if not buffer_filled and not self.reading_blocked:
            self.on_caught_up()
        self.listener.account.update(self)

    def take_input(self, nbytes: int) -> None:
        """Parse the bytes that were read, and serve what they complete."""
        if self.output_finished or (self.input_finished and not self.receiving_request):
            return
        self.bytes_since_request += nbytes
        self.listener.on_bytes_received(self)
        try:
            self.parser.feed(self.listener.account.read_memory, nbytes)
        except UnsupportedConnect:
            self.input_finished = True  # its rejection is the last response
            if self.queued_requests:
                self.queued_requests[-1] = (self.queued_requests[-1][0], False)
            else:
                self.keep_alive = False
        except HeadersTooLong:
            self.stop_reading(BadRequest(431))
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.stop_reading(cause if isinstance(cause, BadRequest) else BadRequest(400))
        else:
            if self.bytes_since_request > MAX_HEADER_BYTES and not self.incoming.headers.complete:
                self.stop_reading(BadRequest(431))
        if self.upload is not None:
            self.upload.flush()
        if not self.paused_for_queue and self.queue_is_full():
            self.paused_for_queue = True
            self.update_reading()
        if self.receiving_request and self.request_timer is None:
            # Not in on_message_begin: requests that arrive whole need none, and a cancelled timer takes
            # memory until the end of the loop's iteration, in which many requests may be read.
            self.request_timer = self.listener.loop.call_later(REQUEST_TIMEOUT_S, self.on_request_timeout)
        self.serve_next_requests()

    def queue_is_full(self) -> bool:
        """Whether the queue holds as many requests or body bytes as it may."""
        queued = self.queued_requests
        if len(queued) < 2:
            return False
        bodies = sum(len(item.message.body) for item, _ in queued if isinstance(item, ClientRequest))
        return len(queued) > MAX_PIPELINED_REQUESTS or bodies > self.listener.account.share_bytes

    @property
    def reading_blocked(self) -> bool:
        return self.paused_for_queue or self.paused_for_upload

    def update_reading(self) -> None:
        """Pause or resume reading from the client."""
        super().update_reading()
        if self.transport.is_closing():
            self.listener.read_paused.pop(self.descriptor, None)
        elif self.reading_blocked and self.blocked_at is None:
            self.blocked_at = self.listener.loop.time()
            self.listener.read_paused[self.descriptor] = self
            self.arrival_clock.on_held_up(now_ms())
        elif not self.reading_blocked and self.blocked_at is not None:
            self.last_byte_at = self.listener.loop.time()
            self.request_started_at += self.last_byte_at - self.blocked_at  # not the client's delay
            self.blocked_at = None
            self.listener.read_paused.pop(self.descriptor, None)
            self.detect_unread_input()

    def detect_unread_input(self) -> None:
        """Note if all that the client has sent is read: the next bytes may come much later."""
        if not poll_unread_input(self.descriptor).poll(0):
            self.on_caught_up()

    def on_caught_up(self) -> None:
        """All that the client has sent is read."""
        self.arrival_clock.on_caught_up()
        if self.upload_held_up:
            self.upload_held_up = False
            if self.request_id:
                self.listener.handler.upload_held_up(self.request_id, None)

    def pause_upload(self, pause: bool) -> None:
        """Stop reading the body while no server accepts more of it, or read on."""
        if pause == self.paused_for_upload:
            return
        self.paused_for_upload = pause
        self.update_reading()
        self.listener.account.update(self)
        if pause:
            self.report_held_up_upload()

    def report_held_up_upload(self) -> None:
        """Tell the handler since when the client's time may run, if the upload is being served."""
        if self.serving_upload and self.request_id:
            self.upload_held_up = True
            self.listener.handler.upload_held_up(self.request_id, self.arrival_clock.written_at(now_ms()))

    def stop_reading(self, error: BadRequest) -> None:
        """Read no more after an error in the input: serve the requests before it, then send the error."""
        log_event(
            "request_rejected",
            connection=self.descriptor,
            status=error.rejection.status,
            head_received=self.incoming.headers.complete,
            body=self.incoming.body_bytes_received,
            received=self.bytes_since_request,
        )
        self.listener.idle.pop(self, None)
        upload = self.upload
        if self.serving_upload:
            self.withdraw_request()  # before the upload ends, or the server would be blamed for it
        self.stop_receiving_request()
        if self.input_finished:  # the error came after the last request
            self.half_close("malformed_after_last_answer")
            return
        self.input_finished = True
        if upload is not None and upload.response_sent:
            self.finish_connection()
        elif self.serving_upload:  # the error is in the request that is being served
            self.keep_alive = False
            if self.response_streaming:
                self.abort_response()
            else:
                self.reject(error.rejection)
        else:
            if upload is not None:
                self.queued_requests.pop()  # the error replaces it
            self.queued_requests.append((error.rejection, False))

    def stop_receiving_request(self) -> None:
        """End the timer, the upload and all kept parts of the request that was arriving, complete or not."""
        self.receiving_request = False
        self.incoming = IncomingRequest()
        if self.request_timer is not None:
            self.request_timer.cancel()
            self.request_timer = None
        if self.upload is not None:
            upload, self.upload = self.upload, None
            upload.abort()

    def on_message_begin(self) -> None:
        self.listener.idle.pop(self, None)
        self.receiving_request = True
        self.request_started_at = self.listener.loop.time()

    def on_request_timeout(self) -> None:
        """Respond with 408 unless the body arrives fast enough: no request may hold a descriptor for ever."""
        loop = self.listener.loop
        upload_s = self.incoming.body_bytes_received / MIN_UPLOAD_BYTES_PER_S
        timeout_at = min(self.request_started_at + upload_s, self.last_byte_at) + REQUEST_TIMEOUT_S
        time_left_s = timeout_at - loop.time()
        if self.reading_blocked or self in self.listener.slow_readers or time_left_s > 0:
            self.request_timer = loop.call_later(
                max(time_left_s, REQUEST_TIMER_PAUSE_S), self.on_request_timeout
            )
            return
        self.stop_reading(BadRequest(408))
        self.serve_next_requests()

    def on_first_request_timeout(self, overdue_s: float) -> None:
        """Close a connection without a valid request, unless its first body arrives fast enough."""
        upload_s = self.incoming.body_bytes_received / MIN_UPLOAD_BYTES_PER_S
        stopped = self.listener.loop.time() >= self.last_byte_at + REQUEST_TIMEOUT_S
        if self.incoming.headers.complete and overdue_s < upload_s and not stopped:
            return
        if self.receiving_request and not self.input_finished:
            self.stop_reading(BadRequest(408))
            self.serve_next_requests()
        else:
            self.close("no_request_in_time")

    def on_url(self, url: bytes) -> None:
        self.incoming.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.incoming.add_header(name, value)

    def on_headers_complete(self) -> None:
        self.incoming.complete_headers(self.parser.get_http_version())
        headers = self.incoming.headers
        if headers.content_length > BUFFERED_BODY_BYTES:
            self.start_upload(headers.content_length)
        elif headers.awaits_continue and not self.serving_request and not self.queued_requests:
            self.send_continue()

    def framing_header(self) -> bytes:
        """The header line that says how the body of the current request is framed; empty without a body."""
        return self.incoming.framing_header()

    def send_continue(self) -> None:
        """Ask for the body of a request with `Expect: 100-continue`."""
        self.incoming.headers.awaits_continue = False
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def start_upload(self, length: int | None) -> None:
        """Serve a request while its body arrives, as the body is too large to be buffered whole."""
        request = self.build_request()
        if isinstance(request, HealthCheck):
            raise BadRequest(400)
        self.upload = Upload(self, self.listener.account, length, request.message.body)
        request.message.upload, request.message.body = self.upload, BlockBuffer()
        request.awaits_continue = self.incoming.headers.awaits_continue
        self.queued_requests.append((request, self.parser.should_keep_alive()))

    def on_body(self, body: bytes) -> None:
        incoming = self.incoming
        incoming.count_body(len(body))
        if self.upload is not None:
            self.upload.feed(body)
            return
        incoming.body.append(body)
        if len(incoming.body) > self.listener.account.share_bytes:
            # With much in memory each body may buffer less, even one with a short Content-Length.
            headers = incoming.headers
            self.start_upload(None if headers.chunked else headers.content_length)

    def on_message_complete(self) -> None:
        log_event(
            "request_received",
            connection=self.descriptor,
            declared=self.incoming.headers.content_length,
            chunked=self.incoming.headers.chunked,
            received=self.incoming.body_bytes_received,
        )
        upload, self.upload = self.upload, None
        if upload is None:
            self.queue_request()
        self.stop_receiving_request()
        self.bytes_since_request = 0
        if upload is not None:
            self.finish_upload(upload)

    def queue_request(self) -> None:
        """Queue the request that has arrived whole, or its rejection."""
        keep_alive = self.parser.should_keep_alive()
        try:
            self.queued_requests.append((self.build_request(), keep_alive))
        except BadRequest as error:
            self.queued_requests.append((error.rejection, keep_alive))

    def finish_upload(self, upload: Upload) -> None:
        """Forward the end of a body, or finish with the connection if the response is already sent."""
        if self.detect_departure():
            upload.abort()
            return
        upload.sent_at_ms = self.arrival_clock.written_at(now_ms())
        upload.finish()
        self.pause_upload(False)
        if upload.response_sent:
            if self.input_finished:
                self.half_close("last_answer")
            elif not self.serving_request and not self.queued_requests:
                self.enter_idle()
        elif self.serving_upload:
            self.serving_upload = False
            if self.request_id:
                self.listener.handler.upload_complete(self.request_id, upload.sent_at_ms)

    def build_request(self) -> ClientRequest | HealthCheck:
        """Return the request that has arrived; raise BadRequest if it is invalid."""
        sent_at_ms = self.arrival_clock.written_at(now_ms())
        request = self.incoming.build(self.listener.config, self.parser, sent_at_ms)
        if isinstance(request, ClientRequest):
            self.listener.on_valid_request(self)
            if self.listener.account.is_exhausted:
                raise BadRequest(503)
        return request

    def serve_next_requests(self) -> None:
        """Serve the next queued request, and those behind it one in each turn of the loop."""
        if self.serving_queue or self.next_request_waits:
            return  # called on a response that was sent at once, or while other connections have their turn
        self.serving_queue = True
        if self.can_serve_next():
            self.serve_next_request()
        self.serving_queue = False
        if self.paused_for_queue and not self.queued_requests and not self.input_finished:
            self.paused_for_queue = False  # also while one is served: its body may still be unread
            self.update_reading()
        if self.can_serve_next():
            self.next_request_waits = True
            self.end_turn()
        if (
            self.incoming.headers.awaits_continue
            and self.receiving_request
            and self.upload is None
            and not self.serving_request
            and not self.queued_requests
            and not self.input_finished
        ):
            self.send_continue()  # all earlier requests have their responses

    def begin_turn(self) -> None:
        super().begin_turn()
        if not self.reading_blocked and not self.transport.is_closing():
            self.detect_unread_input()
        if self.next_request_waits:
            self.next_request_waits = False
            self.serve_next_requests()

    def serve_next_request(self) -> None:
        """Serve the first queued request."""
        item, self.keep_alive = self.queued_requests.popleft()
        self.serving_request = True
        if isinstance(item, ClientRequest):
            self.serve_request(item)
        elif isinstance(item, Rejection):
            self.reject(item)
        elif self.listener.handler.ready:
            self.send_response(200, b"ok\n", b"text/plain")
        else:
            self.send_response(503)

    def can_serve_next(self) -> bool:
        """Whether a request waits, and its response can be sent.

        While the client does not take earlier responses, none is added to them: it could take any amount of
        memory.
        """
        waiting = bool(self.queued_requests) and not self.serving_request
        return waiting and not self.output_finished and not self.writing_paused

    def reject(self, rejection: Rejection) -> None:
        """Respond to an invalid request."""
        self.send_response(rejection.status, extra_headers=rejection.extra_headers)

    def serve_request(self, request: ClientRequest) -> None:
        """Pass a request to the handler, and ask for its body if the client waits for that."""
        if self.detect_departure():
            return
        request.message.source = self
        self.served_bytes = REQUEST_BYTES + request.message.count_held_bytes()
        upload = request.message.upload
        self.serving_upload = upload is not None and not upload.complete
        self.listener.handler.accept_request(self, request)
        if self.paused_for_upload:
            self.report_held_up_upload()
        if self.serving_upload and request.awaits_continue and self.serving_request:
            self.send_continue()

    # Writing responses.

    def send_response(
        self, status: int, body: bytes = b"", content_type: bytes = b"", extra_headers: bytes = b""
    ) -> None:
        """Write a complete response to the current request."""
        self.request_id = 0
        keep_alive = self.keep_alive_after_response()
        lines = b"%b%d\r\n%b" % (STATUS_LINES[status], len(body), extra_headers)
        if content_type:
            lines += b"Content-Type: %b\r\n" % content_type
        lines += b"\r\n" if keep_alive else b"Connection: close\r\n\r\n"
        if len(body) <= JOINED_BODY_BYTES:
            self.transport.write(lines + body)
        else:
            self.transport.writelines([lines, body])
        self.on_response_sent(keep_alive)

    def keep_alive_after_response(self) -> bool:
        """Whether the connection stays open after the current response."""
        if self.serving_upload and self.incoming.headers.awaits_continue:
            return False  # without 100 (Continue) the client may send the body or the next request
        # A draining node still responds to every request that it has read, even in part, and closes the
        # connection after the last one.
        further = bool(self.queued_requests) or (self.receiving_request and not self.serving_upload)
        return self.keep_alive and (further or not self.listener.handler.draining)

    def begin_response(self, length: int | None, content_type: bytes) -> None:
        """Write the head of a 200 response whose body follows while it arrives from the server."""
        if length is None and self.parser.get_http_version() == "1.0":
            self.keep_alive = False  # the close marks the end of the body
        elif length is None:
            self.response_chunked = True
        self.response_streaming = True
        self.keep_alive = self.keep_alive_after_response()
        lines = b"HTTP/1.1 200 OK\r\n"
        if length is not None:
            lines += b"Content-Length: %d\r\n" % length
        elif self.response_chunked:
            lines += b"Transfer-Encoding: chunked\r\n"
        if content_type:
            lines += b"Content-Type: %b\r\n" % content_type
        self.transport.set_write_buffer_limits(0)  # pause as soon as the kernel's buffer is full
        self.transport.write(b"%b%b\r\n" % (lines, b"" if self.keep_alive else b"Connection: close\r\n"))

    def write_response_chunk(self, data: bytes) -> None:
        """Write a part of the response's body."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.response_chunked else data)

    def end_response(self) -> None:
        """Write the end of a response whose body is complete."""
        self.request_id = 0
        if self.response_chunked:
            self.transport.write(b"0\r\n\r\n")
        self.response_chunked = self.response_streaming = False
        self.transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        # If a drain has begun since the head was sent, the connection closes without `Connection: close`.
        # Between requests that is harmless.
        self.on_response_sent(self.keep_alive)

    def abort_response(self) -> None:
        """Reset the connection, so that the client sees that the response is incomplete."""
        self.request_id = 0
        self.reset("answer_broke_off")

    def reset(self, cause: str) -> None:
        """Reset the connection, with all that the client has not taken."""
        self.input_finished = True
        log_event("client_reset", connection=self.descriptor, cause=cause)
        reset_connection(self.transport)

    def pause_writing(self) -> None:
        self.writing_paused = True
        self.log_flow("client_reads_slowly")
        self.listener.add_slow_reader(self)
        self.listener.account.update(self)
        if self.response_streaming:
            self.listener.handler.pause_response(self.request_id, True)

    def resume_writing(self) -> None:
        self.writing_paused = False
        self.log_flow("client_reads_again")
        self.listener.account.update(self)
        if self.response_streaming:
            self.listener.handler.pause_response(self.request_id, False)
        if (progress := self.listener.slow_readers.pop(self, None)) is not None:
            held_up_since = max(progress.started_at, self.request_started_at)
            self.request_started_at += self.listener.loop.time() - held_up_since
            self.serve_next_requests()

    def log_flow(self, name: str) -> None:
        """Log that the client takes less than is written, or takes it again."""
        log_event(
            name,
            connection=self.descriptor,
            unsent=self.transport.get_write_buffer_size(),
            queued=len(self.queued_requests),
        )

    def on_response_sent(self, keep_alive: bool) -> None:
        """Finish with the current request and continue with the next one."""
        self.serving_request = False
        self.served_bytes = 0
        if self.serving_upload and self.upload is not None:
            self.upload.discard_rest()
        self.serving_upload = False
        self.listener.account.update(self)
        if not keep_alive:
            self.finish_connection()
            return
        self.serve_next_requests()
        if self.queued_requests or self.serving_request:
            return
        if not self.receiving_request and not self.input_finished:
            self.enter_idle()

    def enter_idle(self) -> None:
        """Mark the connection as idle, or close it if the node drains."""
        self.listener.receiving_first_request.pop(self, None)
        if self.listener.handler.draining:
            self.close("draining")
        else:
            self.listener.idle[self] = self.listener.loop.time()

    def finish_connection(self) -> None:
        """Close the connection after its last response."""
        self.input_finished = True
        self.queued_requests.clear()
        self.paused_for_queue = False
        self.update_reading()
        if self.upload is None:
            self.stop_receiving_request()
            self.half_close("last_answer")
        else:  # finish_upload closes it once the body is read
            self.upload.discard_rest()
