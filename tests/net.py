"""Runs a node against fake job servers and a fake discovery on loopback, with a raw client."""

from __future__ import annotations

import asyncio
import json
import re
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from flaxstep.proxy.client_connections import ClientConnection
from flaxstep.proxy.config import Config
from flaxstep.proxy.memory_account import CLIENT_CONNECTION_BYTES, ENDPOINT_BYTES, SERVER_CONNECTION_BYTES
from flaxstep.proxy.node import Node
from flaxstep.proxy.server_connections import ServerConnection
from flaxstep.routing.interface import Effect, Outcome, RequestClass, Settings

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
EFFECT_BY_CLASS = {"find": Effect.SAFE, "book": Effect.KEYED, "pay": Effect.UNSAFE}
WATCH_TARGET = "/catalog/members?watch=1&from=1"  # the watch request of a node that has list 1
TIMEOUT_S = 10.0

# Writes the response to one request: gets the server, the head of the request and the connection's writer.
ResponseScript = Callable[["FakeServer", bytes, asyncio.StreamWriter], Awaitable[None]]


async def respond_ok(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(OK_RESPONSE)


def respond_with(data: bytes) -> ResponseScript:
    async def script(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)

    return script


async def abort_connection(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def never_respond(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
    pass


class FakeServer:
    """A job server that handles each request with a script.

    `requests` gets the bytes of each request, and `closed_connections` one item for each closed connection.
    """

    def __init__(self, script: ResponseScript = respond_ok) -> None:
        self.script = script
        self.requests: asyncio.Queue[bytes] = asyncio.Queue()
        self.closed_connections: asyncio.Queue[int] = asyncio.Queue()
        self.connection_count = 0

    async def start(self) -> FakeServer:
        self.server = await asyncio.start_server(self.serve_connection, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = header_value(head, b"Content-Length")
                body = await reader.readexactly(int(length)) if length else b""
                self.requests.put_nowait(head + body)
                await self.script(self, head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_connections.put_nowait(1)
            writer.close()

    def list_entry(
        self, name: str = "s-1", lifecycle: str = "active", started_at_ms: int = 0
    ) -> dict[str, Any]:
        return {
            "instanceId": name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_at_ms,
        }


async def body_counting_server(header_lines: bytes = b"") -> FakeServer:
    """Starts a job server that responds with the length of the body that came, and with these headers."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, size = await reader.readuntil(b"\r\n\r\n"), 0
                if b"Transfer-Encoding" in head:
                    while length := int(await reader.readline(), 16):
                        await reader.readexactly(length + 2)
                        size += length
                    await reader.readline()
                else:
                    size = int(header_value(head, b"Content-Length") or 0)
                    await reader.readexactly(size)
                body = b"%d" % size
                writer.write(
                    b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (header_lines, len(body), body)
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = FakeServer()
    server.server = await asyncio.start_server(serve, "127.0.0.1", 0)
    server.port = server.server.sockets[0].getsockname()[1]
    return server


class FakeDiscovery:
    """A discovery service that serves one full list and sends changes to it on the watch.

    Each line put into `watch_lines` is sent on the open watch, and None closes the watch. `request_targets`
    gets the target of each request.
    """

    def __init__(self, instances: list[dict[str, Any]], generation: int = 1) -> None:
        self.full_list = {"generation": generation, "reset": True, "instances": instances}
        self.indent: int | None = None  # of the JSON that it sends
        self.watch_lines: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.request_targets: asyncio.Queue[str] = asyncio.Queue()

    async def start(self) -> FakeDiscovery:
        self.server = await asyncio.start_server(self.serve_connection, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    def push_update(self, generation: int, instances: list[dict[str, Any]], reset: bool = False) -> None:
        line = {"generation": generation, "reset": reset, "instances": instances}
        self.watch_lines.put_nowait(json.dumps(line, indent=self.indent).encode() + b"\n")

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            self.request_targets.put_nowait(target)
            if "watch" not in target:
                body = json.dumps(self.full_list, indent=self.indent).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
            while (line := await self.watch_lines.get()) is not None:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class RawClient:
    """One client connection to the node, on which a test sends raw bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def read_response(self) -> tuple[int, bytes, bytes]:
        """Returns status, head and body of the next response."""
        async with asyncio.timeout(TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            body = await self.reader.readexactly(int(header_value(head, b"Content-Length") or 0))
        return int(head.split(b" ")[1]), head, body

    async def send_request(self, data: bytes) -> tuple[int, bytes, bytes]:
        self.writer.write(data)
        return await self.read_response()

    async def read_until_close(self) -> bytes:
        """Returns the bytes that arrive until the node closes the connection."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.read()


def header_value(head: bytes, name: bytes) -> bytes | None:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b": ")
        if key.lower() == name.lower():
            return value
    return None


_request_numbers = iter(range(1, 1 << 30))


def build_request(
    cls: str = "find", timeout: str = "8000m", key: str = "cab7", body: bytes = b"", **headers: str
) -> bytes:
    effect = EFFECT_BY_CLASS.get(cls, Effect.SAFE)
    method = "GET" if effect is Effect.SAFE else "POST"
    lines = {
        "Host": "backend.local",
        "Request-Id": f"{next(_request_numbers):016x}",
        "Request-Timeout": timeout,
    }
    if effect is Effect.KEYED:
        lines["Idempotency-Key"] = "5c0f"
    if method == "POST":
        lines["Content-Length"] = str(len(body))
    lines |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} /{cls}/{key} HTTP/1.1\r\n{head}\r\n".encode() + body


def repeat_requests(data: bytes, count: int) -> bytes:
    """These requests several times, each with an id of its own: a node sends no id twice."""
    return b"".join(
        re.sub(rb"Request-Id: \w+", lambda _: b"Request-Id: %016x" % next(_request_numbers), data)
        for _ in range(count)
    )


def make_config(discovery_port: int, aim_ms: float = 5000.0, max_attempts: int = 1, **changes: Any) -> Config:
    classes = tuple(
        RequestClass(aim=aim_ms, deadline=9000.0, worth=1.0, effect=effect, window=9000.0)
        for effect in EFFECT_BY_CLASS.values()
    )
    values: dict[str, Any] = {
        "name": "n0",
        "listen": ("127.0.0.1", 0),
        "discovery": ("127.0.0.1", discovery_port),
        "admin": None,
        "shared_folder": None,
        "seed": 1,
        "sockets": 1024,
        "memory_mb": 128,
        "known_list": {},
        "settings": Settings(
            classes=classes, may_cancel=True, max_attempts=max_attempts, max_retry_after=600.0
        ),
        "classes": {name.encode(): i for i, name in enumerate(EFFECT_BY_CLASS)},
        "tenants": {},
        "kinds": {"m": 0},
        "zones": {"a": 0},
        "dial_timeout_ms": 5000.0,
        "idle_timeout_ms": 15000.0,
    }
    return Config(**values | changes)


class NodeFixture:
    """A running node that records each event its policy handles."""

    def __init__(self, node: Node, discovery: FakeDiscovery) -> None:
        self.node = node
        self.discovery = discovery
        self.events: asyncio.Queue[object] = asyncio.Queue()
        handle = node.policy.handle

        def record_event(now: float, event: Any) -> Any:
            actions = handle(now, event)
            self.events.put_nowait(event)
            return actions

        node.policy.handle = record_event  # type: ignore[method-assign]

    @property
    def held_beyond_connections(self) -> int:
        """The bytes in the node's account but for those that each open connection costs."""
        kinds = Counter(type(holder) for holder in self.node.account.holders)
        connection_bytes = kinds[ClientConnection] * CLIENT_CONNECTION_BYTES
        connection_bytes += kinds[ServerConnection] * SERVER_CONNECTION_BYTES
        endpoint_bytes = len(self.node.endpoint_updates.listed) * ENDPOINT_BYTES
        return self.node.account.held_bytes - connection_bytes - endpoint_bytes

    async def next_event(self, kind: type) -> Any:
        """Waits for the next event of this type and returns it."""
        async with asyncio.timeout(TIMEOUT_S):
            while not isinstance(event := await self.events.get(), kind):
                pass
        return event

    async def next_outcome(self) -> Outcome:
        event: Outcome = await self.next_event(Outcome)
        return event

    async def call_admin(self, method: str, path: str, body: bytes = b"") -> tuple[int, str]:
        """Sends one request to the admin port and returns status and body."""
        caller = await self.connect_admin()
        head = f"{method} /admin/{path} HTTP/1.1\r\nHost: n0\r\nContent-Length: {len(body)}\r\n\r\n"
        status, _, text = await caller.send_request(head.encode() + body)
        return status, text.decode()

    async def connect_admin(self) -> RawClient:
        assert self.node.admin_listener is not None
        return RawClient(*await asyncio.open_connection(*self.node.admin_listener.sockets[0].getsockname()))

    async def connect_client(self) -> RawClient:
        assert self.node.client_listener is not None
        return RawClient(*await asyncio.open_connection(*self.node.client_listener.sockets[0].getsockname()))


@asynccontextmanager
async def run_node(
    *servers: FakeServer, wait_for_list: bool = True, **changes: Any
) -> AsyncIterator[NodeFixture]:
    """Runs a node whose last known list has these servers as s-1, s-2 and so on.

    Unless `wait_for_list` is False, it waits until discovery has confirmed that list.
    """
    entries = [server.list_entry(f"s-{i}") for i, server in enumerate(servers, 1)]
    discovery = await FakeDiscovery(entries).start()
    known = {"generation": 1, "reset": True, "instances": entries}
    node = Node(make_config(discovery.port, **{"known_list": known} | changes), asyncio.get_running_loop())
    fixture = NodeFixture(node, discovery)
    await node.start()
    try:
        async with asyncio.timeout(TIMEOUT_S if wait_for_list else None):
            await (node.list_confirmed.wait() if wait_for_list else asyncio.sleep(0))
        yield fixture
    finally:
        node.close()
