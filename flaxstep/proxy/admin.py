"""The operators' door: one HTTP call to a connection, answered at once."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import cast

import httptools

from flaxstep.proxy.config import Address
from flaxstep.proxy.connection_close import STATUS_LINES, close_after_response

MAX_CONNECTIONS = 8  # connections at once
CALL_TIMEOUT_S = 2.0  # s from its opening in which a caller must finish its call
MAX_HEAD_BYTES = 4096  # bytes of request line and headers
MAX_BODY_BYTES = 256  # bytes of a body: a job server's id

log = logging.getLogger("flaxstep.proxy")

Reply = tuple[int, str]  # status and text
AdminCall = Callable[[bytes], Reply]  # takes the body
AdminCalls = Mapping[bytes, tuple[bytes, AdminCall]]  # by path: the method, and what is called


class AdminServer:
    """The listener, and the callers that have not finished their calls, in the order in which they came."""

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: AdminCalls) -> None:
        self.loop = loop
        self.calls = calls
        self.connections: dict[AdminConnection, None] = {}

    async def start(self, address: Address) -> asyncio.Server:
        return await self.loop.create_server(lambda: AdminConnection(self), *address)

    def on_connection_opened(self, connection: AdminConnection) -> None:
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            next(iter(self.connections)).on_timeout()

    def handle_call(self, method: bytes, path: bytes, body: bytes) -> tuple[int, str, bytes]:
        """Status, text and further header lines for one call."""
        if path not in self.calls:
            return 404, "no such call", b""
        allowed_method, call = self.calls[path]
        if method != allowed_method:
            return 405, f"{allowed_method.decode()} is wanted", b"Allow: %b\r\n" % allowed_method
        if body and allowed_method == b"GET":
            return 400, "this call takes no body", b""
        try:
            return *call(body), b""
        except Exception:  # staff are told no; the log says why
            log.exception("the call %s failed", path.decode("latin-1"))
            return 500, "failed; the log says why", b""


class AdminConnection(asyncio.Protocol):
    """One connection of a caller."""

    transport: asyncio.Transport

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body = b""
        self.head_bytes = self.bytes_received = 0  # bytes of the head: as parsed, and as they came
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.head_complete = self.request_complete = self.call_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timeout_timer = self.server.loop.call_later(CALL_TIMEOUT_S, self.on_timeout)
        self.server.on_connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.end_call()

    def end_call(self) -> None:
        self.call_ended = True
        self.server.connections.pop(self, None)
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()

    def on_timeout(self) -> None:
        self.send_response(408, "the call did not come in time")

    def data_received(self, data: bytes) -> None:
        if self.call_ended:
            return
        self.bytes_received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.send_response(400, "no upgrade is offered")
        except httptools.HttpParserError:
            self.send_response(400, "not a proper request")
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

    # What the parser finds. What follows the first call is passed over.

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
        if self.call_ended:
            return
        self.end_call()
        body = text.encode() + b"\n"
        head = b"%b%d\r\n%bContent-Type: text/plain\r\n" % (STATUS_LINES[status], len(body), extra_headers)
        self.transport.write(b"%bConnection: close\r\n\r\n%b" % (head, body))
        close_after_response(self.server.loop, self.transport)
