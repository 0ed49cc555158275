"""Bodies that a job server does not take: the client's time runs, whether the node reads the body or not."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from flaxstep.proxy.client_connections import HEAD_READ_BYTES
from tests.crowds import LATE_AFTER_S
from tests.net import OK_RESPONSE, FakeServer, RawClient, build_request, header_value, run_node
from tests.test_bodies import upload_request
from tests.test_node import run

BODY = bytes(8 << 20)  # more than all kernel buffers on the way hold
TIMEOUT_S = 0.7
TOLD_SLACK_S = 0.15  # STANDING: of the time that an attempt tells its job server
ANSWER_WITHIN_S = 3.0  # STANDING: for clients that stop in a request; TERMS: from connecting
SERVER_BUFFER_BYTES = 8192


class ReluctantServer(FakeServer):
    """A job server that reads some bytes of each body, then reads on at a rate; 0: nothing more."""

    def __init__(self, first_bytes: int, bytes_per_s: int) -> None:
        super().__init__()
        self.first_bytes, self.bytes_per_s = first_bytes, bytes_per_s
        self.told_ms: list[int] = []

    async def start(self) -> FakeServer:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SERVER_BUFFER_BYTES)
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=SERVER_BUFFER_BYTES)
        self.port = listener.getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.told_ms.append(int((header_value(head, b"Request-Timeout") or b"0m")[:-1]))
            await reader.readexactly(self.first_bytes)
            if not self.bytes_per_s:
                await asyncio.sleep(20.0)
            received, length = self.first_bytes, int(header_value(head, b"Content-Length") or len(BODY))
            while received < length:
                received += len(await reader.readexactly(min(length - received, self.bytes_per_s // 50)))
                await asyncio.sleep(0.02)
            writer.write(OK_RESPONSE)
        writer.close()


@asynccontextmanager
async def timed_client(fixture_port: int) -> AsyncIterator[RawClient]:
    reader, writer = await asyncio.open_connection("127.0.0.1", fixture_port)
    try:
        yield RawClient(reader, writer)
    finally:
        writer.transport.abort()


def client_port(node: object) -> int:
    port: int = node.client_listener.sockets[0].getsockname()[1]  # type: ignore[attr-defined]
    return port


# Guards against: the wait for a job server that takes no more of a body, or little, has no deadline of the
# client's, and the final answer comes seconds after its time.
@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize(
    ("first_bytes", "bytes_per_s"),
    [(8_000, 0), (0, 90_000), (200_000, 0)],
    ids=["stops", "slow", "stops later"],
)
def test_answer_comes_in_time_although_the_server_reads_slowly(
    framing: str, first_bytes: int, bytes_per_s: int
) -> None:
    async def test() -> None:
        server = ReluctantServer(first_bytes, bytes_per_s)
        await server.start()
        async with run_node(server) as fixture, timed_client(client_port(fixture.node)) as client:
            request = upload_request(BODY, framing).replace(
                b"Request-Timeout: 8000m", b"Request-Timeout: %dm" % (TIMEOUT_S * 1000)
            )
            started = time.monotonic()
            client.writer.write(request)
            status, _, _ = await client.read_response()
            assert status in (502, 503)
            assert time.monotonic() - started <= TIMEOUT_S + LATE_AFTER_S

    run(test())


# Guards against: the time that passes while a body comes is added to what the job server is told.
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_server_is_told_no_more_time_than_the_client_has(framing: str) -> None:
    async def test() -> None:
        server = ReluctantServer(0, 50_000_000)
        await server.start()
        async with run_node(server) as fixture, timed_client(client_port(fixture.node)) as client:
            client.writer.write(upload_request(bytes(1 << 20), framing))
            await client.read_response()
            assert server.told_ms[0] <= 8000 + TOLD_SLACK_S * 1000

    run(test())


# Guards against: a client that stops in a body and stays gets its error late, as what it has sent extends
# its time.
@pytest.mark.parametrize(
    ("sent", "length"),
    [(32_000, 65_536), (199_000, 200_000), (1 << 20, 2 << 20), (100, 200)],
)
def test_client_that_stops_in_a_body_gets_its_error_in_time(sent: int, length: int) -> None:
    async def test() -> None:
        server = ReluctantServer(0, 50_000_000)
        await server.start()
        async with run_node(server) as fixture, timed_client(client_port(fixture.node)) as client:
            head = build_request("pay").replace(b"Content-Length: 0", b"Content-Length: %d" % length)
            started = time.monotonic()
            client.writer.write(head + bytes(sent))
            status, _, _ = await client.read_response()
            assert 400 <= status < 600 and time.monotonic() - started <= ANSWER_WITHIN_S

    run(test())


# Guards against: a read that took all there was counts as one that left something, and the time of the next
# request counts from it.
def test_time_of_a_request_does_not_count_from_a_read_before_it_was_sent() -> None:
    async def test() -> None:
        server = ReluctantServer(0, 50_000_000)
        await server.start()
        async with run_node(server) as fixture, timed_client(client_port(fixture.node)) as client:
            request = build_request("pay", body=b"job")
            padding = "v" * (HEAD_READ_BYTES - len(request) - len("X-Padding: \r\n"))
            assert (await client.send_request(build_request("pay", body=b"job", X_Padding=padding)))[0] == 200
            await asyncio.sleep(TIMEOUT_S + 0.1)
            request = build_request("pay", f"{TIMEOUT_S * 1000:.0f}m", body=b"job")
            assert (await client.send_request(request))[0] == 200

    run(test())


# Guards against: requests that are sent at once and a long body behind them wait for each other.
@pytest.mark.parametrize("before", [2, 20, 60])
def test_long_body_behind_many_requests_is_read_and_answered(before: int) -> None:
    async def test() -> None:
        server = ReluctantServer(0, 50_000_000)
        await server.start()
        async with run_node(server) as fixture, timed_client(client_port(fixture.node)) as client:
            requests = [build_request("pay", body=b"b" * 3000) for _ in range(before)]
            client.writer.write(b"".join(requests) + upload_request(BODY))
            for _ in range(before + 1):
                assert (await client.read_response())[0] == 200

    run(test())
