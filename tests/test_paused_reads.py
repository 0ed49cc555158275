"""A pause for one request must not outlive it: what follows on the same connection is read in time."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import cast

import pytest

from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.server_connections import ServerConnection
from tests.net import OK_RESPONSE, TIMEOUT_S, FakeServer, RawClient, build_request, run_node
from tests.test_admin import wait_until
from tests.test_bodies import LARGE_BODY, read_response
from tests.test_node import run
from tests.test_slow_readers import KERNEL_BUFFER_BYTES, slow_client

FIRST_PART = bytes(range(256)) * 256  # taken by the client
LAST_PART = bytes(30_000) + b"last bytes"  # read by the node at once, and more than its client takes
LENGTH = len(FIRST_PART) + len(LAST_PART)


class TwoPartServer(FakeServer):
    """A job server whose first response comes in two parts. Later ones come at once."""

    def __init__(self, framing: str) -> None:
        super().__init__(self.respond)
        self.framing = framing
        self.send_last_part = asyncio.Event()

    async def respond(self, server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        if self.send_last_part.is_set():
            writer.write(OK_RESPONSE)
            return
        first, last = FIRST_PART, LAST_PART
        if self.framing == "length":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (LENGTH, first))
        else:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(b"%b%x\r\n%b\r\n" % (head, len(first), first))
            last = b"%x\r\n%b\r\n0\r\n\r\n" % (len(last), last)
        await self.send_last_part.wait()
        writer.write(last)


async def read_while(client: RawClient, received: bytearray, end: bytes = b"", size: int = 0) -> None:
    """Reads until `received` has this end or size; the reader buffers no more than one read of its socket."""
    client.reader._limit = 1  # type: ignore[attr-defined]
    async with asyncio.timeout(TIMEOUT_S):
        while not received.endswith(end) or len(received) < size:
            received += await client.reader.read(1024)


async def decode_body(received: bytes) -> bytes:
    """Returns the body of a response that was received whole."""
    reader = asyncio.StreamReader()
    reader.feed_data(received)
    return (await read_response(RawClient(reader, cast(asyncio.StreamWriter, None))))[1]


# Guards against: a connection goes back to the pool with its reading paused for a slow client, so the next
# request on it runs and its response is not read.
@pytest.mark.parametrize("client_resumes", ["before the next request", "after the next request", "never"])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_response_that_ends_while_its_client_reads_slowly_leaves_a_usable_connection(
    framing: str, client_resumes: str
) -> None:
    async def test() -> None:
        server = TwoPartServer(framing)
        await server.start()
        async with run_node(server) as fixture, slow_client(fixture) as (slow, connection):
            received, end = bytearray(), b"last bytes" if framing == "length" else b"\r\n0\r\n\r\n"
            slow.writer.write(build_request())
            await read_while(slow, received, size=len(FIRST_PART))
            server.send_last_part.set()
            idle = fixture.node.pool.servers[stable_id(b"s-1")].idle
            await wait_until(lambda: idle)
            assert connection.writing_paused  # the response is over, but the client has not taken it
            if client_resumes == "before the next request":
                await read_while(slow, received, end)
            other = await fixture.connect_client()
            for _ in range(2):
                assert (await other.send_request(build_request("pay")))[::2] == (200, b"done")
            assert server.connection_count == 1
            if client_resumes != "never":
                await read_while(slow, received, end)
                assert await decode_body(bytes(received)) == FIRST_PART + LAST_PART

    run(test())


# Guards against: bytes of one request that its server has not taken delay the next one on the connection.
def test_connection_with_unsent_bytes_of_an_answered_request_is_not_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connection_made = ServerConnection.connection_made

    def shrink_buffer(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(self, transport)
        upstream_socket = transport.get_extra_info("socket")
        upstream_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)

    monkeypatch.setattr(ServerConnection, "connection_made", shrink_buffer)
    connections: list[asyncio.StreamWriter] = []

    async def answer_without_reading_body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(writer)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK_RESPONSE)
            await asyncio.Event().wait()

    async def test() -> None:
        server = FakeServer()
        listening_socket = socket.create_server(("127.0.0.1", 0))
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        server.server = await asyncio.start_server(
            answer_without_reading_body, sock=listening_socket, limit=1024
        )
        server.port = listening_socket.getsockname()[1]
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            for _ in range(2):
                data = build_request("pay", body=bytes(60_000))
                assert (await client.send_request(data))[::2] == (200, b"done")
            assert len(connections) == 2
            await wait_until(lambda: not fixture.node.pool.connections)

    run(test())


# Guards against: a body that waits behind a request whose response ends the connection is never read to its
# end, and the connection is never closed.
def test_body_that_waits_behind_the_last_response_does_not_keep_the_connection_open() -> None:
    release = asyncio.Event()

    async def respond_by_close(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + FIRST_PART)
        await writer.drain()
        await asyncio.sleep(0.1)  # longer than a response without a length is buffered
        writer.close()

    async def test() -> None:
        async with run_node(await FakeServer(respond_by_close).start()) as fixture:
            client = await fixture.connect_client()
            old_version = [
                data.replace(b"HTTP/1.1", b"HTTP/1.0", 1)
                for data in (
                    build_request(Connection="keep-alive"),
                    build_request("pay", body=LARGE_BODY, Connection="keep-alive"),
                )
            ]
            client.writer.write(b"".join(old_version))
            (connection,) = fixture.node.listener.connections
            await wait_until(lambda: connection.paused_for_upload)
            release.set()
            assert (await client.read_until_close()).endswith(FIRST_PART)
            client.writer.close()
            await wait_until(lambda: not fixture.node.listener.has_clients)
            assert fixture.held_beyond_connections == 0

    run(test())
