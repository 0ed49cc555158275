"""The operators' door: one HTTP call to a connection, answered at once."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import cast

import httptools

from flaxstep.proxy.config import Address
from flaxstep.proxy.connection_close import STATUS_LINES, close_after_response

MAX_CALLERS = 8  # connections at once
CALL_TIME = 2.0  # s from its opening in which a caller must finish its call
MAX_CALL = 4096  # bytes of request line and headers
MAX_ID = 256  # bytes of a body: a job server's id

log = logging.getLogger("flaxstep.proxy")

Reply = tuple[int, str]  # status and text
Call = Callable[[bytes], Reply]  # takes the body
Calls = Mapping[bytes, tuple[bytes, Call]]  # by path: the method, and what is called


class AdminServer:
    """The listener, and the callers that have not finished their calls, in the order in which they came."""

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: Calls) -> None:
        self.loop = loop
        self.calls = calls
        self.callers: dict[AdminConnection, None] = {}

    async def start(self, address: Address) -> asyncio.Server:
        return await self.loop.create_server(lambda: AdminConnection(self), *address)

    def opened(self, caller: AdminConnection) -> None:
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            next(iter(self.callers)).give_up()

    def reply(self, method: bytes, path: bytes, body: bytes) -> tuple[int, str, bytes]:
        """Status, text and further header lines for one call."""
        if path not in self.calls:
            return 404, "no such call", b""
        wanted, call = self.calls[path]
        if method != wanted:
            return 405, f"{wanted.decode()} is wanted", b"Allow: %b\r\n" % wanted
        if body and wanted == b"GET":
            return 400, "this call takes no body", b""
        try:
            return *call(body), b""
        except Exception:  # staff are told no; the log says why
            log.exception("the call %s failed", path.decode("latin-1"))
            return 500, "failed; the log says why", b""


class AdminConnection(asyncio.Protocol):
    """One connection of a caller."""

    transport: asyncio.Transport

    def __init__(self, door: AdminServer) -> None:
        self.door = door
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.body = b""
        self.size = self.unread = 0  # bytes of the head: as parsed, and as they came
        self.timer: asyncio.TimerHandle | None = None
        self.headed = self.whole = self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.door.loop.call_later(CALL_TIME, self.give_up)
        self.door.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.end()

    def end(self) -> None:
        self.ended = True
        self.door.callers.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def give_up(self) -> None:
        self.answer(408, "the call did not come in time")

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return
        self.unread += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.answer(400, "no upgrade is offered")
        except httptools.HttpParserError:
            self.answer(400, "not a proper request")
        if self.size > MAX_CALL or (self.unread > MAX_CALL and not self.headed):
            self.answer(431, "the head is too long")
        elif len(self.body) > MAX_ID:
            self.answer(413, "the body is too long")
        elif self.whole:
            self.answer(*self.door.reply(self.parser.get_method(), self.url.partition(b"?")[0], self.body))

    # What the parser finds. What follows the first call is passed over.

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.url += url
            self.size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.whole:
            self.size += len(name) + len(value)

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, body: bytes) -> None:
        if not self.whole and len(self.body) <= MAX_ID:
            self.body += body

    def on_message_complete(self) -> None:
        self.whole = True

    def answer(self, status: int, text: str, extra: bytes = b"") -> None:
        if self.ended:
            return
        self.end()
        body = text.encode() + b"\n"
        head = b"%b%d\r\n%bContent-Type: text/plain\r\n" % (STATUS_LINES[status], len(body), extra)
        self.transport.write(b"%bConnection: close\r\n\r\n%b" % (head, body))
        close_after_response(self.door.loop, self.transport)
