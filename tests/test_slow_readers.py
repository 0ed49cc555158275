"""Clients that do not take their responses: the node holds a bounded part, and loses none of it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from flaxstep.proxy import connection_close
from flaxstep.proxy.client_connections import HEAD_READ_BYTES, MAX_UNSENT_BYTES, ClientConnection
from tests.net import (
    OK_RESPONSE,
    TIMEOUT_S,
    FakeServer,
    NodeFixture,
    RawClient,
    build_request,
    header_value,
    repeat_requests,
    respond_with,
    run_node,
)
from tests.test_admin import wait_until
from tests.test_node import run

KERNEL_BUFFER_BYTES = 4096  # of each socket between client and node, so that little is enough to fill them
STABLE_S = 0.3
LONG_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + bytes(60_000)
UNSIZED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nea60\r\n" + bytes(60_000) + b"\r\n0\r\n\r\n"
)

# Requests that a client sends at once, their number, the job server's response, and the expected status.
FLOODS: dict[str, tuple[bytes, int, bytes, int]] = {
    "no headers": (b"GET / HTTP/1.1\r\n\r\n", 20_000, OK_RESPONSE, 404),
    "no timeout": (build_request().replace(b"Request-Timeout", b"X-Timeout"), 3000, OK_RESPONSE, 400),
    "wrong method": (b"PUT /find/cab7 HTTP/1.1\r\n\r\n", 10_000, OK_RESPONSE, 405),
    "health checks": (b"GET /_health HTTP/1.1\r\n\r\n", 10_000, OK_RESPONSE, 200),
    "refused at once": (build_request(timeout="1m"), 2000, OK_RESPONSE, 503),
    "short responses": (build_request("book", body=b"job"), 400, OK_RESPONSE, 200),
    "long responses": (build_request(), 60, LONG_RESPONSE, 200),
    "chunked responses": (build_request(), 60, UNSIZED_RESPONSE, 200),
    "unknown tenant, offers an upgrade": (
        build_request(Connection="upgrade", Upgrade="h2c", Tenant="x"), 3000, OK_RESPONSE, 400
    ),
}  # fmt: skip


@asynccontextmanager
async def slow_client(fixture: NodeFixture) -> AsyncIterator[tuple[RawClient, ClientConnection]]:
    """Connects a client that reads only what the test reads; yields it and the node's side of it."""
    fixture.node.listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
    client_socket = socket.socket()
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    client_socket.setblocking(False)
    assert fixture.node.client_listener is not None
    address = fixture.node.client_listener.sockets[0].getsockname()
    await asyncio.get_running_loop().sock_connect(client_socket, address)
    client = RawClient(*await asyncio.open_connection(sock=client_socket, limit=1))
    await wait_until(lambda: fixture.node.listener.connections)
    (connection,) = fixture.node.listener.connections
    try:
        yield client, connection
    finally:
        client.writer.transport.abort()


async def wait_until_stable(read: Callable[[], object]) -> None:
    """Waits until a value has not changed for some time."""
    loop = asyncio.get_running_loop()
    value, since = read(), loop.time()
    async with asyncio.timeout(TIMEOUT_S):
        while loop.time() - since < STABLE_S:
            await asyncio.sleep(0.01)
            if read() != value:
                value, since = read(), loop.time()


async def read_status(client: RawClient, buffer_bytes: int = 1 << 17) -> int:
    """Reads one response, with a reader that buffers twice so much, and returns its status."""
    client.reader._limit = buffer_bytes  # type: ignore[attr-defined]
    status, head, _ = await client.read_response()
    if header_value(head, b"Transfer-Encoding"):
        while size := int(await client.reader.readline(), 16):
            await client.reader.readexactly(size + 2)
        await client.reader.readline()
    return status


# Guards against: a client that sends much and reads nothing takes the node over its memory limit.
@pytest.mark.parametrize("flood", FLOODS)
def test_responses_that_are_not_read_take_bounded_memory_and_are_not_lost(flood: str) -> None:
    data, count, response, status = FLOODS[flood]

    async def test() -> None:
        server = await FakeServer(respond_with(response)).start()
        async with (
            run_node(server, tenants={b"": 0}, sockets=64) as fixture,
            slow_client(fixture) as (
                client,
                connection,
            ),
        ):
            client.writer.write(repeat_requests(data, count))
            await wait_until_stable(
                lambda: (
                    client.writer.transport.get_write_buffer_size(),
                    connection.transport.get_write_buffer_size(),
                    len(connection.queued_requests),
                )
            )
            assert connection.transport.get_write_buffer_size() <= MAX_UNSENT_BYTES + len(response) + 200
            assert len(connection.queued_requests) <= HEAD_READ_BYTES // len(data) + 17
            async with asyncio.timeout(TIMEOUT_S):
                for _ in range(count):
                    assert await read_status(client) == status
            assert not connection.queued_requests and not fixture.node.listener.slow_readers

    run(test())


# Guards against: such a connection holds its descriptor for ever.
@pytest.mark.parametrize("reads", [False, True])
def test_client_that_takes_no_response_for_long_is_reset(
    reads: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_close, "WRITE_STALL_TIMEOUT_S", 0.5)

    async def test() -> None:
        async with (
            run_node(await FakeServer().start()) as fixture,
            slow_client(fixture) as (client, connection),
        ):
            client.writer.write(build_request())
            assert await read_status(client, buffer_bytes=512) == 200
            client.writer.write(b"GET / HTTP/1.1\r\n\r\n" * 20_000)
            await wait_until(lambda: connection in fixture.node.listener.slow_readers)
            if reads:
                for _ in range(15):  # for three times as long; each read makes room for a further write
                    for _ in range(200):
                        assert await read_status(client, buffer_bytes=512) == 404
                    await asyncio.sleep(0.1)
                assert not connection.transport.is_closing()
            await wait_until(lambda: not fixture.node.listener.connections)
            assert not fixture.node.listener.slow_readers and not fixture.node.listener.lingering

    run(test())


# Guards against: such a client holds the connection to its server too, for as long as it likes.
def test_client_that_takes_nothing_of_a_streamed_response_frees_the_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_close, "WRITE_STALL_TIMEOUT_S", 0.5)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n"

    async def test() -> None:
        server = await FakeServer(respond_with(head + bytes(20_000_000))).start()
        async with run_node(server) as fixture, slow_client(fixture) as (client, _):
            client.writer.write(build_request())
            await wait_until(lambda: fixture.node.listener.slow_readers)
            await wait_until(lambda: not fixture.node.pool.connections)
            assert not fixture.node.listener.connections and not fixture.node.pending_requests

    run(test())


# Guards against: a shutdown drops requests that were read and wait for their client.
def test_waiting_requests_of_a_slow_reader_are_served_when_the_node_stops() -> None:
    async def test() -> None:
        server = await FakeServer(respond_with(LONG_RESPONSE)).start()
        async with run_node(server) as fixture, slow_client(fixture) as (client, connection):
            client.writer.write(repeat_requests(build_request(), 12))
            await wait_until(lambda: connection in fixture.node.listener.slow_readers)
            stopping = asyncio.create_task(fixture.node.drain())
            await wait_until(lambda: not fixture.node.listener.server.is_serving())
            await asyncio.sleep(0.3)  # unfinished requests are rejected in this time
            for _ in range(12):
                assert await read_status(client) == 200
            assert await client.read_until_close() == b""
            await asyncio.wait_for(stopping, TIMEOUT_S)

    run(test())
