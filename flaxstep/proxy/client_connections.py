"""The side of the clients: the listener, request parsing, and final answers."""

from __future__ import annotations

import asyncio
import re
import select
import socket
from collections import OrderedDict, deque
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Protocol, cast

import httptools

from flaxstep.proxy.config import Config
from flaxstep.proxy.connection_close import STATUS_LINES, close_after_response, reset_connection
from flaxstep.proxy.event_log import log_event
from flaxstep.proxy.request_bodies import (
    BUFFERED_BODY_BYTES,
    MAX_REQUEST_BODY_BYTES,
    MIN_BODY_SHARE_BYTES,
    BodyBudget,
    Upload,
)
from flaxstep.proxy.server_connections import ForwardedRequest
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import Effect

MAX_HEAD = 16384  # bytes of request line and headers
MAX_WAITING = 16  # requests sent ahead on one connection, after which it is read no further
REQUEST_TIME = 2.6  # s that a client may take to send one request; some take 2 s for the head
PROVE_TIME = 2.6  # s from its opening in which a connection must bring a proper request; 3 s are owed at most
# Of a body, for which a client gets more time; slow ones send twice as much.
MIN_UPLOAD_BYTES_PER_S = 32768
BACKLOG = 4096  # connections that the kernel may queue; it takes off what is over its own limit
STOPPED = 0.5  # s without a byte of its first request after which a connection makes room before idle ones
LOOK = 0.1  # s between looks for connections that bring nothing
FRESH = 0.3  # s from its opening in which a connection may bring its first request though the node drains
HEALTH_PATH = b"/_health"

_TIMEOUT = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")
_ABSOLUTE = re.compile(rb"https?://[^/?#]+", re.IGNORECASE)
_DIGITS = re.compile(rb"\d{1,9}")
_OWN = frozenset(  # headers that concern one connection only, or that each attempt writes anew
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"expect", b"content-length", b"request-timeout")
)  # fmt: skip


def stable_id(name: bytes) -> int:
    """A number for a name, never 0, and the same at every node and after every start."""
    return int.from_bytes(blake2b(name, digest_size=8).digest()) or 1


class BadRequest(Exception):
    """A request that can't be taken: the status that says why, and header lines that go with it."""

    def __init__(self, status: int, extra: bytes = b"") -> None:
        self.status = status
        self.extra = extra


@dataclass(slots=True)
class ClientRequest:
    """A checked request."""

    message: ForwardedRequest
    cls: int
    tenant: int
    key: int
    sent: float  # as near as the node can tell
    timeout: float  # ms from then until the client gives up
    hint: float  # the client's guess at the work in ms, 0: none
    repeat: bool  # marked as the client's retry
    expects: bool = False  # the client waits for a go-ahead before it sends the body


class HealthCheck:
    """The front asks whether the node can serve."""


class RequestHandler(Protocol):
    """What takes the requests."""

    @property
    def ready(self) -> bool:
        """Whether the front may send clients here."""

    @property
    def draining(self) -> bool:
        """Whether each connection ends with its last answer."""

    def accept_request(self, client: ClientConnection, request: ClientRequest) -> None:
        """Take on a request and give the connection its number."""

    def upload_complete(self, client: ClientConnection, request_id: int) -> None:
        """The last byte of a body that was passed on as it came has come."""

    def client_gone(self, request_id: int) -> None:
        """The client has gone away."""

    def pause_response(self, request_id: int, hold: bool) -> None:
        """The client takes no more for now, or takes more again."""


class Listener:
    """All connections of clients."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        handler: RequestHandler,
        limit: int,
        body_budget: BodyBudget,
    ) -> None:
        self.loop = loop
        self.body_budget = body_budget
        self.config = config
        self.handler = handler
        self.limit = limit
        self.connections: set[ClientConnection] = set()
        self.lingering: OrderedDict[ClientConnection, None] = OrderedDict()  # shut, until they close too
        self.paused: dict[int, ClientConnection] = {}  # by descriptor: those that are not read now
        # Where each connection stands that serves nothing now, and since when, the longest first.
        self.silent: OrderedDict[ClientConnection, float] = OrderedDict()  # has sent nothing
        self.partial: OrderedDict[ClientConnection, float] = OrderedDict()  # is in its first request
        self.idle: OrderedDict[ClientConnection, float] = OrderedDict()  # between requests
        self.adopting: set[asyncio.Task[Any]] = set()  # of connections that came before the listener closed
        self.unproven: OrderedDict[ClientConnection, float] = OrderedDict()  # no proper request yet: opened

    async def start(self) -> asyncio.Server:
        self.socket = self.bind()
        try:
            self.server = await self.loop.create_server(self.connection, sock=self.socket, backlog=BACKLOG)
        except OSError:
            self.socket.close()
            raise
        self.loop.call_later(LOOK, self.look)
        return self.server

    def bind(self) -> socket.socket:
        host, port = self.config.listen
        family, kind, protocol, _, address = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
        bound = socket.socket(family, kind, protocol)
        try:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if self.config.admin is not None:  # a successor may listen beside this process
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            bound.setblocking(False)
            bound.bind(address)
        except OSError:
            bound.close()
            raise
        return bound

    def connection(self) -> ClientConnection:
        return ClientConnection(self)

    def stop(self) -> None:
        """No new connections from now on. Those that the kernel has queued would be reset: they are taken."""
        while True:
            try:
                accepted, _ = self.socket.accept()
            except OSError:  # none is left, or no descriptor for it
                break
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            adopting = self.loop.create_task(self.loop.connect_accepted_socket(self.connection, accepted))
            self.adopting.add(adopting)
            adopting.add_done_callback(self.adopting.discard)
        self.server.close()

    @property
    def occupied(self) -> bool:
        """Whether a client is here still, also one that is just being taken or has yet to close."""
        return bool(self.connections or self.lingering or self.adopting)

    def set_limit(self, limit: int) -> None:
        self.limit = limit
        self.keep_to_limit(None)

    def opened(self, client: ClientConnection) -> None:
        log_event("client_connected", connection=client.descriptor)
        self.connections.add(client)
        self.silent[client] = self.unproven[client] = self.loop.time()
        self.keep_to_limit(client)

    def keep_to_limit(self, newest: ClientConnection | None) -> None:
        """Who is told of its end still holds its descriptor: it makes room in the step after that."""
        while len(self.connections) + len(self.lingering) > self.limit and self.make_room(newest):
            pass

    def make_room(self, newest: ClientConnection | None) -> bool:
        """One makes room: who was told of its end, who has brought nothing of use, else, as a close does no
        harm, who is idle."""
        for shut in self.lingering:
            if not shut.transport.get_write_buffer_size():
                del self.lingering[shut]
                shut.transport.abort()
                return True
        stopped = next(iter(self.partial), None)
        if stopped is not None and self.partial[stopped] > self.loop.time() - STOPPED:
            stopped = None
        ways = (
            next(iter(self.silent), None),
            stopped,
            next(iter(self.idle), None),
            next(iter(self.partial), None),
        )
        for client in ways:
            if client is not None and client is not newest:
                client.close("makes_room")
                return True
        return False

    def heard(self, client: ClientConnection) -> None:
        """Bytes have come."""
        if client in self.unproven:
            self.silent.pop(client, None)
            self.partial[client] = self.loop.time()
            self.partial.move_to_end(client)

    def proven(self, client: ClientConnection) -> None:
        self.unproven.pop(client, None)
        self.partial.pop(client, None)

    def shut(self, client: ClientConnection) -> None:
        """Its last answer is written: it counts until it is closed, and nothing more is taken on it."""
        self.closed(client)
        self.lingering[client] = None

    def closed(self, client: ClientConnection) -> None:
        self.connections.discard(client)
        self.lingering.pop(client, None)
        self.left(client)

    def left(self, client: ClientConnection) -> None:
        """It can make no room any more. Its descriptor counts until its transport closes, a turn later."""
        for where in (self.silent, self.partial, self.idle, self.unproven):
            where.pop(client, None)

    def look_for_the_gone(self) -> None:
        """A connection that is not read tells of its end only when asked."""
        if not self.paused:
            return
        asked = select.poll()
        for descriptor in self.paused:
            asked.register(descriptor, select.POLLRDHUP)
        for descriptor, _ in asked.poll(0):
            if (client := self.paused.get(descriptor)) is not None:  # one that goes may let another read on
                client.gone()

    def look(self) -> None:
        """Who connects and brings no proper request must not hold a descriptor."""
        self.loop.call_later(LOOK, self.look)
        self.look_for_the_gone()
        before = self.loop.time() - PROVE_TIME
        for client, opened in [item for item in self.unproven.items() if item[1] < before]:
            client.give_up(before - opened)
        if self.handler.draining:
            self.close_idle()

    def close_idle(self) -> None:
        """A client that sees its connection close comes back elsewhere. One just opened may yet ask."""
        fresh = self.loop.time() - FRESH
        for client in [*self.idle, *(client for client, opened in self.silent.items() if opened < fresh)]:
            client.close("draining")

    def turn_away(self) -> None:
        """Who has not sent its whole request by now is told that the node ends."""
        for client in list(self.connections):
            if client.reading and not client.ended:
                client.stop_reading(BadRequest(503))
                client.next()
            elif not client.busy:
                client.close("stopping")

    def waiting(self) -> int:
        """Requests that have come whole and wait behind others on their connections."""
        items = [item for client in self.connections for item, _ in client.waiting]
        requests = [item.message for item in items if isinstance(item, ClientRequest)]
        return sum(message.upload is None or message.upload.complete for message in requests)

    def check(
        self, parser: httptools.HttpRequestParser, url: bytes, headers: Headers
    ) -> tuple[int, int, int]:
        """Class, tenant and key of a request, or BadRequest."""
        parts = url.partition(b"?")[0].split(b"/")
        if parts[0] or len(parts) < 2:
            raise BadRequest(400)  # no path from the root
        cls = self.config.classes.get(parts[1])
        if cls is None:
            raise BadRequest(404)
        effect = self.config.settings.classes[cls].effect
        method = b"GET" if effect is Effect.SAFE else b"POST"
        if parser.get_method() != method:
            raise BadRequest(405, b"Allow: %b\r\n" % method)
        tenant = self.config.tenants.get(headers.tenant or b"") if self.config.tenants else 0
        if headers.bad or not headers.request_id or tenant is None:
            raise BadRequest(400)
        if effect is not Effect.SAFE and (headers.key is None) == (effect is Effect.KEYED):
            raise BadRequest(400)  # keyed with no key, or a key where a repeat can't be told
        key = stable_id(parts[-1]) if len(parts) > 2 and parts[-1] else 0
        return cls, tenant, key


class Headers:
    """The headers of one request: what the node reads of them, and the lines that go on."""

    __slots__ = (
        "bad", "chunked", "expects", "hint", "key", "length", "lines", "repeat", "request_id", "size",
        "tenant", "timeout", "whole",
    )  # fmt: skip

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.size = self.length = 0
        self.bad = self.chunked = self.expects = self.whole = False
        self.request_id: bytes | None = None
        self.tenant: bytes | None = None
        self.key: bytes | None = None
        self.timeout: float | None = None
        self.hint, self.repeat = 0.0, False

    def add(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"request-id":
            self.bad = self.bad or self.request_id is not None
            self.request_id = value
        elif lower == b"tenant":
            self.bad = self.bad or self.tenant is not None
            self.tenant = value
        elif lower == b"idempotency-key":
            self.bad = self.bad or self.key is not None or not value
            self.key = value
        elif lower == b"request-timeout":
            match = _TIMEOUT.fullmatch(value)
            self.bad = self.bad or self.timeout is not None or match is None
            if match is not None:
                self.timeout = float(match[1]) / (1 if match[2] == b"m" else 1000)
        elif lower == b"content-length":
            self.length = int(value)  # the parser has refused all but digits
        elif lower == b"transfer-encoding":
            if value.lower() != b"chunked":  # no other coding is undone here
                raise BadRequest(501)
            self.chunked = True
        elif lower == b"work-hint":
            self.hint = int(value) / 1000 if _DIGITS.fullmatch(value) else 0.0  # a guess may be left out
        elif lower == b"client-retry":
            self.repeat = value == b"1"
        elif lower == b"expect":
            self.expects = value.lower() == b"100-continue"
        if lower not in _OWN:
            self.lines.append(b"%b: %b\r\n" % (name, value))


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client. Requests on it are answered one after the other."""

    transport: asyncio.Transport

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.parser = httptools.HttpRequestParser(self)
        # What has come and has not had its turn, and whether to keep the connection alive after it.
        self.waiting: deque[tuple[ClientRequest | BadRequest | HealthCheck, bool]] = deque()
        self.request_id = 0  # of the request that is being served; 0: none
        self.busy = self.advancing = False
        self.keep = True  # the connection, after the answer under way
        self.ended = False  # nothing further is read, or the last answer has been written
        self.shut = False  # no answer can go out any more
        self.crowded = self.held = False  # why it is read no further: requests wait, a server takes no more
        self.reading = False  # a request has come in part
        self.timer: asyncio.TimerHandle | None = None  # runs while a request is on its way in
        self.begun = 0.0  # when it began, later by the time for which it was held
        self.held_at = 0.0
        self.url = b""
        self.headers = Headers()
        self.body = bytearray()
        self.came = 0  # bytes of the body
        self.counted = False  # among the bodies in hand
        self.upload: Upload | None = None  # what the body goes to where it is not held whole
        self.uploader = False  # the request being served is the one that is being uploaded
        self.chunks = False  # the answer under way goes out in chunks
        self.answering = False  # a part of it has gone out
        self.unread = 0  # bytes since the last whole head

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Not isinstance: uvloop's transports do not derive from asyncio's. They come with TCP_NODELAY set.
        self.transport = cast(asyncio.Transport, transport)
        self.descriptor: int = transport.get_extra_info("socket").fileno()
        self.listener.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.closed(self)
        self.leave()

    def eof_received(self) -> None:
        """The client has closed, so it has gone and waits for no answer. The transport closes too."""
        self.leave()

    def gone(self) -> None:
        """The same, seen while nothing is read."""
        self.leave()
        self.transport.abort()

    def leave(self) -> None:
        """Nothing more comes or goes."""
        if not self.shut:
            log_event("client_left", connection=self.descriptor, request=self.request_id)
        self.ended = self.shut = True
        self.listener.left(self)
        self.listener.paused.pop(self.descriptor, None)
        self.waiting.clear()
        self.withdraw()
        self.stop_body()

    def withdraw(self) -> None:
        if self.request_id:
            request_id, self.request_id = self.request_id, 0
            self.listener.handler.client_gone(request_id)

    def close(self, cause: str) -> None:
        """End it between requests, or in one that will never be whole."""
        self.stop_body()
        self.hang_up(cause)

    def hang_up(self, cause: str) -> None:
        """No answer goes out from here on. What still comes can get none, so none of it is taken."""
        if self.shut:
            return
        log_event("client_closed", connection=self.descriptor, cause=cause)
        self.ended = self.shut = True
        self.waiting.clear()
        self.crowded = self.held = False
        self.read_or_not()
        self.listener.shut(self)
        close_after_response(self.listener.loop, self.transport)

    # Requests in.

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.listener.body_budget.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        if self.shut or (self.ended and not self.reading):
            return
        self.unread += nbytes
        self.listener.heard(self)
        try:
            self.parser.feed_data(self.listener.body_budget.read_buffer()[:nbytes])
        except httptools.HttpParserUpgrade:
            # No upgrade is offered: the request is served as any other, and the last on its connection.
            self.ended = True
            if self.waiting:
                self.waiting[-1] = (self.waiting[-1][0], False)
            else:
                self.keep = False
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.stop_reading(cause if isinstance(cause, BadRequest) else BadRequest(400))
        else:
            if self.unread > MAX_HEAD and not self.headers.whole:
                self.stop_reading(BadRequest(431))
        if not self.crowded and self.enough():
            self.crowded = True
            self.read_or_not()
        self.next()

    def enough(self) -> bool:
        """Whether as much waits here as may."""
        waiting = self.waiting
        if len(waiting) < 2:
            return False
        bodies = sum(len(item.message.body) for item, _ in waiting if isinstance(item, ClientRequest))
        return len(waiting) > MAX_WAITING or bodies > self.listener.body_budget.share_bytes

    def read_or_not(self) -> None:
        if self.transport.is_closing():
            return
        if self.crowded or self.held:
            self.listener.paused[self.descriptor] = self
            self.transport.pause_reading()
        else:
            self.listener.paused.pop(self.descriptor, None)
            self.transport.resume_reading()

    def pause_upload(self, hold: bool) -> None:
        if hold == self.held:
            return
        self.held = hold
        now = self.listener.loop.time()
        if hold:
            self.held_at = now
        else:
            self.begun += now - self.held_at  # the client could send nothing meanwhile
        self.read_or_not()

    def stop_reading(self, error: BadRequest) -> None:
        """Nothing further on this connection can be told apart: answer what came before, then this."""
        self.listener.idle.pop(self, None)
        upload = self.upload
        if self.uploader:
            self.withdraw()  # first: a body that breaks off is no failure of a server
        self.stop_body()
        if self.ended:  # what is wrong came after the last answer
            self.hang_up("malformed_after_last_answer")
            return
        self.ended = True
        if upload is not None and upload.response_sent:
            self.end()
        elif self.uploader:  # the request under way is the one that is broken
            self.keep = False
            if self.answering:
                self.abort_response()
            else:
                self.answer(error.status, extra=error.extra)
        else:
            if upload is not None:
                self.waiting.pop()  # it has not had its turn
            self.waiting.append((error, False))

    def stop_body(self) -> None:
        """No more of a request's body comes, whole or not."""
        self.reading = False
        if self.timer is not None:
            self.timer.cancel()
        if self.counted:
            self.counted = False
            self.listener.body_budget.body_count -= 1
        if self.upload is not None:
            upload, self.upload = self.upload, None
            upload.abort()

    def on_message_begin(self) -> None:
        self.listener.idle.pop(self, None)
        self.headers = Headers()
        self.body = bytearray()
        self.came = 0
        self.url = b""
        self.reading = True
        self.begun = self.listener.loop.time()
        self.timer = self.listener.loop.call_later(REQUEST_TIME, self.too_slow)

    def too_slow(self) -> None:
        """A client that never finishes its request must not hold a descriptor for ever."""
        loop = self.listener.loop
        left = self.begun + REQUEST_TIME + self.came / MIN_UPLOAD_BYTES_PER_S - loop.time()
        if self.held or left > 0:
            self.timer = loop.call_later(max(left, LOOK), self.too_slow)
            return
        self.stop_reading(BadRequest(408))
        self.next()

    def give_up(self, late: float) -> None:
        """No proper request has come in time, unless its body is on its way as fast as need be."""
        if self.headers.whole and late < self.came / MIN_UPLOAD_BYTES_PER_S:
            return
        if self.reading and not self.ended:
            self.stop_reading(BadRequest(408))
            self.next()
        else:
            self.close("no_request_in_time")

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > MAX_HEAD:
            raise BadRequest(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        headers = self.headers
        headers.size += len(name) + len(value) + 4
        if headers.size > MAX_HEAD:
            raise BadRequest(431)
        if not headers.whole:  # else it is a trailer: of those none goes on, and none is believed
            headers.add(name, value.strip(b" \t"))  # white space round a value is no part of it

    def on_headers_complete(self) -> None:
        headers = self.headers
        headers.whole = True
        version = self.parser.get_http_version()
        if version not in ("1.1", "1.0"):
            raise BadRequest(505)
        if headers.chunked and version == "1.0":
            raise BadRequest(400)  # who sent it can't have meant it
        if headers.length > MAX_REQUEST_BODY_BYTES:
            raise BadRequest(413)  # before the body has come
        if headers.length > BUFFERED_BODY_BYTES:
            self.start_upload(headers.length)
        elif headers.expects and not self.busy and not self.waiting:
            self.go_ahead()

    def go_ahead(self) -> None:
        self.headers.expects = False
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def start_upload(self, length: int | None) -> None:
        """The body is more than is held whole: the request goes on its way while it still comes."""
        request = self.whole_request()
        if isinstance(request, HealthCheck):
            raise BadRequest(400)
        self.count_body()
        self.upload = Upload(self, self.listener.body_budget, length, bytes(self.body))
        self.body = bytearray()
        request.message.upload, request.message.body = self.upload, b""
        request.expects = self.headers.expects
        self.waiting.append((request, self.parser.should_keep_alive()))

    def count_body(self) -> None:
        if not self.counted:
            self.counted = True
            self.listener.body_budget.body_count += 1

    def on_body(self, body: bytes) -> None:
        self.came += len(body)
        if self.came > MAX_REQUEST_BODY_BYTES:
            raise BadRequest(413)
        if self.upload is not None:
            self.upload.feed(body)
            return
        self.body += body
        if len(self.body) > MIN_BODY_SHARE_BYTES:
            self.count_body()
        if len(self.body) > self.listener.body_budget.share_bytes:
            # Where many bodies are in hand, less of each is held, also of those with a length.
            self.start_upload(None if self.headers.chunked else self.headers.length)

    def on_message_complete(self) -> None:
        upload, self.upload = self.upload, None
        self.stop_body()
        self.unread = 0
        if upload is not None:
            self.end_upload(upload)
            return
        keep = self.parser.should_keep_alive()
        try:
            self.waiting.append((self.whole_request(), keep))
        except BadRequest as error:
            self.waiting.append((error, keep))

    def end_upload(self, upload: Upload) -> None:
        upload.finish()
        self.pause_upload(False)
        if upload.response_sent:
            if self.ended:
                self.hang_up("last_answer")
            elif not self.busy and not self.waiting:
                self.rest()
        elif self.uploader:
            self.uploader = False
            if self.request_id:
                self.listener.handler.upload_complete(self, self.request_id)

    def whole_request(self) -> ClientRequest | HealthCheck:
        headers, url = self.headers, self.url
        if not url.startswith(b"/") and (form := _ABSOLUTE.match(url)):
            url = b"/" + url[form.end() :].removeprefix(b"/")  # as a proxy is asked; the server gets the path
        if url == HEALTH_PATH:
            if self.parser.get_method() != b"GET":
                raise BadRequest(405, b"Allow: GET\r\n")
            return HealthCheck()
        cls, tenant, key = self.listener.check(self.parser, url, headers)
        method = self.parser.get_method()
        if headers.timeout is None or ((self.body or headers.length) and method == b"GET"):
            raise BadRequest(400)
        head = b"%b %b HTTP/1.1\r\n%b" % (method, url, b"".join(headers.lines))
        self.listener.proven(self)
        return ClientRequest(
            message=ForwardedRequest(
                head, bytes(self.body), method == b"POST", request_id=headers.request_id or b""
            ),
            cls=cls,
            tenant=tenant,
            key=key,
            sent=now_ms(),
            timeout=headers.timeout,
            hint=headers.hint,
            repeat=headers.repeat,
        )

    def next(self) -> None:
        """Begin with the next request that has come in whole, or that is more than can be held."""
        if self.advancing:  # an answer given at once comes back here: a loop, or many would nest too deep
            return
        self.advancing = True
        handler = self.listener.handler
        while self.waiting and not self.busy and not self.shut:
            item, self.keep = self.waiting.popleft()
            self.busy = True
            if isinstance(item, ClientRequest):
                self.take(item)
            elif isinstance(item, BadRequest):
                self.answer(item.status, extra=item.extra)
            elif handler.ready:
                self.answer(200, b"ok\n", b"text/plain")
            else:
                self.answer(503)
        self.advancing = False
        if self.headers.expects and self.reading and self.upload is None and not self.busy and not self.ended:
            self.go_ahead()  # its turn has come

    def take(self, request: ClientRequest) -> None:
        upload = request.message.upload
        self.uploader = upload is not None and not upload.complete
        self.listener.handler.accept_request(self, request)
        if self.uploader and request.expects and self.busy:
            self.go_ahead()

    # Answers out.

    def answer(self, status: int, body: bytes = b"", content_type: bytes = b"", extra: bytes = b"") -> None:
        """Write the final answer to the request under way."""
        self.request_id = 0
        keep = self.keep_after()
        lines = b"%b%d\r\n%b" % (STATUS_LINES[status], len(body), extra)
        if content_type:
            lines += b"Content-Type: %b\r\n" % content_type
        self.transport.write(b"%b%b\r\n%b" % (lines, b"" if keep else b"Connection: close\r\n", body))
        self.answered(keep)

    def keep_after(self) -> bool:
        """Whether the connection outlives the answer under way."""
        if self.uploader and self.headers.expects:
            return False  # never told to go ahead: nobody can tell whether the body will come
        # A node that drains still owes an answer to what it has read, also in part: the connection ends with
        # the last.
        further = bool(self.waiting) or (self.reading and not self.uploader)
        return self.keep and (further or not self.listener.handler.draining)

    def begin_response(self, length: int | None, content_type: bytes) -> None:
        """The answer goes out as it comes."""
        if length is None and self.parser.get_http_version() == "1.0":
            self.keep = False  # it ends with the connection
        elif length is None:
            self.chunks = True
        self.answering = True
        self.keep = self.keep_after()
        lines = b"HTTP/1.1 200 OK\r\n"
        if length is not None:
            lines += b"Content-Length: %d\r\n" % length
        elif self.chunks:
            lines += b"Transfer-Encoding: chunked\r\n"
        if content_type:
            lines += b"Content-Type: %b\r\n" % content_type
        self.transport.set_write_buffer_limits(0)  # nothing is held here: what the kernel does not take waits
        self.transport.write(b"%b%b\r\n" % (lines, b"" if self.keep else b"Connection: close\r\n"))

    def write_response_chunk(self, data: bytes) -> None:
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunks else data)

    def end_response(self) -> None:
        self.request_id = 0
        if self.chunks:
            self.transport.write(b"0\r\n\r\n")
        self.chunks = self.answering = False
        self.transport.set_write_buffer_limits()
        # A drain may have begun meanwhile; nobody was told, but between requests a close is harmless.
        self.answered(self.keep)

    def abort_response(self) -> None:
        """The rest of the answer never comes, and the client has to see that."""
        self.request_id = 0
        self.ended = True
        log_event("client_reset", connection=self.descriptor, cause="answer_broke_off")
        reset_connection(self.transport)

    def pause_writing(self) -> None:
        if self.answering:
            self.listener.handler.pause_response(self.request_id, True)

    def resume_writing(self) -> None:
        if self.answering:
            self.listener.handler.pause_response(self.request_id, False)

    def answered(self, keep: bool) -> None:
        """The final answer has been written."""
        self.busy = False
        if self.uploader and self.upload is not None:
            self.upload.discard_rest()
        self.uploader = False
        if not keep:
            self.end()
            return
        self.next()
        if self.waiting or self.busy:
            return
        if self.crowded:
            self.crowded = False
            self.read_or_not()
        if not self.reading and not self.ended:
            self.rest()

    def rest(self) -> None:
        """Nothing is under way: the connection is idle."""
        self.listener.partial.pop(self, None)
        if self.listener.handler.draining:
            self.close("draining")
        else:
            self.listener.idle[self] = self.listener.loop.time()

    def end(self) -> None:
        """After the last answer."""
        self.ended = True
        self.waiting.clear()
        self.crowded = False
        self.read_or_not()
        if self.upload is None:  # else once what still comes of a body is read, so that the answer is seen
            self.stop_body()
            self.hang_up("last_answer")
