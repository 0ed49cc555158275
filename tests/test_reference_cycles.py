"""Connections and requests that are over are freed at once: the garbage collector comes late for them."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from tests.net import (
    FakeServer,
    NodeFixture,
    abort_connection,
    body_counting_server,
    build_request,
    never_respond,
    respond_with,
    run_node,
)
from tests.test_admin import wait_until
from tests.test_bodies import LARGE_BODY, upload_request
from tests.test_node import run

LONG_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + bytes(300_000)
Server = Callable[[], Awaitable[FakeServer]]


async def counting() -> FakeServer:
    return await body_counting_server()


async def aborting() -> FakeServer:
    return await FakeServer(abort_connection).start()


async def hanging() -> FakeServer:
    return await FakeServer(never_respond).start()


async def long_responding() -> FakeServer:
    return await FakeServer(respond_with(LONG_RESPONSE)).start()


# What a client sends before it leaves, the job server, and whether the client waits for a response.
CONNECTIONS: dict[str, tuple[bytes, Server, bool]] = {
    "nothing": (b"", counting, False),
    "request": (build_request("pay", body=b"job"), counting, True),
    "rejected": (b"GET /unknown HTTP/1.1\r\n\r\n", counting, True),
    "malformed": (b"GET\r\n\r\n", counting, True),
    "half a head": (build_request()[:40], counting, False),
    "half a body": (build_request("pay", body=b"job")[:-1], counting, False),
    "upload": (upload_request(LARGE_BODY), counting, True),
    "half an upload": (upload_request(LARGE_BODY)[:-1], counting, False),
    "offer of an upgrade": (build_request("pay", Connection="Upgrade", Upgrade="h2c"), counting, True),
    "failed": (build_request("pay", body=b"job"), aborting, True),
    "left": (build_request("pay", body=b"job"), hanging, False),
    "timed out": (build_request("pay", timeout="50m", body=b"job"), hanging, True),
    "streamed response": (build_request("pay", body=b"job"), long_responding, True),
    "streamed response, left": (build_request("pay", body=b"job"), long_responding, False),
}  # fmt: skip


async def connect_and_leave(fixture: NodeFixture, data: bytes, waits: bool) -> None:
    client = await fixture.connect_client()
    client.writer.write(data)
    if waits:
        await client.read_response()
    else:
        await asyncio.sleep(0.05)
    client.writer.transport.abort()
    await wait_until(lambda: not fixture.node.listener.connections and not fixture.node.listener.lingering)
    for server in fixture.node.pool.servers.values():
        for connection in list(server.idle):
            connection.close("test")
        server.idle.clear()
    await wait_until(lambda: not fixture.node.pool.connections and not fixture.node.pool.attempts)
    await asyncio.sleep(0.01)


# Guards against: connections that have closed stay in memory until the collector comes, by the hundred, and a
# crowd whose connections are renewed takes the node over its memory limit.
@pytest.mark.parametrize("name", CONNECTIONS)
def test_connection_that_is_over_leaves_no_reference_cycles(name: str) -> None:
    data, start_server, waits = CONNECTIONS[name]

    async def test() -> None:
        async with run_node(await start_server()) as fixture:
            await connect_and_leave(fixture, b"GET /unknown HTTP/1.1\r\n\r\n", waits=True)
            gc.collect()
            gc.disable()
            try:
                await connect_and_leave(fixture, data, waits)
                gc.set_debug(gc.DEBUG_SAVEALL)
                gc.collect()
                kinds = Counter(f"{type(item).__module__}.{type(item).__name__}" for item in gc.garbage)
                left = {kind: count for kind, count in kinds.items() if kind.startswith("flaxstep.")}
            finally:
                gc.set_debug(0)
                gc.garbage.clear()
                gc.enable()
            assert not left
            assert fixture.held_beyond_connections == 0

    run(test())
