"""The admin port for operators: an HTTP server with one call per connection."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import cast

import httptools

from flaxstep.proxy.config import Address
from flaxstep.proxy.connection_close import STATUS_LINES, close_after_response

MAX_CONNECTIONS = 8  # with one more, the oldest gets a timeout response
CALL_TIMEOUT_S = 2.0  # from the opening of a connection to the end of its request
MAX_HEAD_BYTES = 4096  # of the request line and all headers
MAX_BODY_BYTES = 256  # a body is the id of a job server
MAX_CALL_BYTES = 8192  # of a whole call: room for a body in chunks of one byte, and for short trailers

log = logging.getLogger("flaxstep.proxy")

Reply = tuple[int, str]  # status and text
AdminCall = Callable[[bytes], Reply]  # from the body of the request
AdminCalls = Mapping[bytes, tuple[bytes, AdminCall]]  # path to method and function


class AdminServer:
    """Listens on the admin port and dispatches calls.

    `connections` holds the connections without a complete request, in the order in which they opened.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: AdminCalls) -> None:
        self.loop = loop
        self.calls = calls
        self.connections: dict[AdminConnection, None] = {}

    async def start(self, address: Address) -> asyncio.Server:
        """Listen on the address."""
        return await self.loop.create_server(lambda: AdminConnection(self), *address)

    def on_connection_opened(self, connection: AdminConnection) -> None:
        """Add a connection, and end the oldest one if there are too many."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            next(iter(self.connections)).on_timeout()

    def handle_call(self, method: bytes, path: bytes, body: bytes) -> tuple[int, str, bytes]:
        """Carry out a call; return the status, the text and extra header lines of its response."""
        if path not in self.calls:
            return 404, "unknown path", b""
        allowed_method, call = self.calls[path]
        if method != allowed_method:
            return 405, f"{allowed_method.decode()} is required", b"Allow: %b\r\n" % allowed_method
        if body and allowed_method == b"GET":
            return 400, "this call takes no body", b""
        try:
            return *call(body), b""
        except Exception:  # the response says that it failed, the log why
            log.exception("admin call %s failed", path.decode("latin-1"))
            return 500, "failed: see the log", b""


class AdminConnection(asyncio.Protocol):
    """One connection to the admin port. Only its first request is read."""

    transport: asyncio.Transport

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body = b""
        # The size of the parsed request line and headers, and all bytes received.
        self.head_bytes = self.bytes_received = 0
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.head_complete = self.request_complete = self.call_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timeout_timer = self.server.loop.call_later(CALL_TIMEOUT_S, self.on_timeout)
        self.server.on_connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.end_call()

    def end_call(self) -> None:
        """Stop the timer, and read no more of the request."""
        self.call_ended = True
        self.server.connections.pop(self, None)
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()

    def on_timeout(self) -> None:
        """Respond with 408 to a request that is still incomplete."""
        self.send_response(408, "the request was not complete in time")

    def data_received(self, data: bytes) -> None:
        if self.call_ended:
            return
        self.bytes_received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.send_response(400, "upgrades are not supported")
        except httptools.HttpParserError:
            self.send_response(400, "malformed request")
        if self.head_bytes > MAX_HEAD_BYTES or (
            self.bytes_received > MAX_HEAD_BYTES and not self.head_complete
        ):
            self.send_response(431, "the head is too long")
        elif len(self.body) > MAX_BODY_BYTES:
            self.send_response(413, "the body is too long")
        elif self.request_complete:
            self.send_response(
                *self.server.handle_call(self.parser.get_method(), self.url.partition(b"?")[0], self.body)
            )
        elif self.bytes_received > MAX_CALL_BYTES:
            self.send_response(431, "the trailers are too long")

    # Callbacks of the parser. Requests after the first are ignored.

    def on_url(self, url: bytes) -> None:
        if not self.request_complete:
            self.url += url
            self.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.request_complete:
            self.head_bytes += len(name) + len(value)

    def on_headers_complete(self) -> None:
        self.head_complete = True

    def on_body(self, body: bytes) -> None:
        if not self.request_complete and len(self.body) <= MAX_BODY_BYTES:
            self.body += body

    def on_message_complete(self) -> None:
        self.request_complete = True

    def send_response(self, status: int, text: str, extra_headers: bytes = b"") -> None:
        """Send the only response of this connection and close it."""
        if self.call_ended:
            return
        self.end_call()
        body = text.encode() + b"\n"
        head = b"%b%d\r\n%bContent-Type: text/plain\r\n" % (STATUS_LINES[status], len(body), extra_headers)
        self.transport.write(b"%bConnection: close\r\n\r\n%b" % (head, body))
        close_after_response(self.server.loop, self.transport)
