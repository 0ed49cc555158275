"""Clients that leave: nothing of theirs begins after that, and an id that began does not begin again."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import pytest
import uvloop

from tests.net import FakeServer, RawClient, build_request, header_value, respond_ok, run_node
from tests.test_admin import wait_until
from tests.test_bodies import upload_request
from tests.test_node import run
from tests.test_process import running_process
from tests.test_upgrade import prepare, wait_for_line

BEGINS_WITHIN_S = 0.1 + 0.05  # STANDING: after the close of the client; PROTOCOL: limits are 50 ms longer


class SlowReadingServer(FakeServer):
    """A job server that takes bodies at a steady rate and records when the last byte of each has come."""

    def __init__(self, bytes_per_s: int, work_s: float) -> None:
        super().__init__()
        self.bytes_per_s, self.work_s = bytes_per_s, work_s
        self.begun: list[tuple[bytes, float]] = []

    async def start(self) -> FakeServer:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 16)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                left = int(header_value(head, b"Content-Length") or 0)
                while left:
                    left -= len(await reader.readexactly(min(left, self.bytes_per_s // 100)))
                    await asyncio.sleep(0.01 if left else 0.0)
                self.begun.append((header_value(head, b"Request-Id") or b"", time.monotonic()))
                await asyncio.sleep(self.work_s)
                await respond_ok(self, head, writer)
        writer.close()


LEAVING_CLIENTS = {
    "requests at once": (b"".join(build_request("pay", body=b"job") for _ in range(200)), 0.05),
    "long bodies": (b"".join(build_request("pay", body=b"b" * 60_000) for _ in range(30)), 0.05),
    "a very long body": (upload_request(bytes(20 << 20)), 0.02),
    "requests and a very long body": (
        b"".join(build_request("pay", body=b"b" * 3000) for _ in range(30)) + upload_request(bytes(8 << 20)),
        0.02,
    ),
}


# Guards against: what a client sent before it closed is read and sent on afterwards.
@pytest.mark.parametrize("name", LEAVING_CLIENTS)
def test_nothing_begins_after_its_client_has_closed(name: str) -> None:
    data, work_s = LEAVING_CLIENTS[name]

    async def test() -> None:
        servers = [SlowReadingServer(40_000_000, work_s) for _ in range(3)]
        for server in servers:
            await server.start()
        async with run_node(*servers) as fixture:
            client = await fixture.connect_client()
            client.writer.write(data)
            # All of it is written before the close, so that the rest of it lies unread at the node.
            while client.writer.transport.get_write_buffer_size():
                await asyncio.sleep(0.001)
            client.writer.close()
            closed_at = time.monotonic()
            await asyncio.sleep(1.0)
            late = [
                begun
                for server in servers
                for begun in server.begun
                if begun[1] > closed_at + BEGINS_WITHIN_S
            ]
            assert not late
            await wait_until(
                lambda: not fixture.node.listener.connections and not fixture.node.pending_requests
            )

    run(test())


# Guards against: an id that began runs a second time when its client leaves and sends it again.
@pytest.mark.parametrize(("cls", "statuses"), [("pay", {502}), ("book", {502, 503}), ("find", {503})])
@pytest.mark.parametrize("leaves_after_s", [0.01, 0.05, 0.12])
def test_id_that_began_does_not_begin_again(cls: str, statuses: set[int], leaves_after_s: float) -> None:
    async def test() -> None:
        server = SlowReadingServer(40_000_000, 0.08)
        await server.start()
        async with run_node(server) as fixture:
            request = build_request(cls, body=b"" if cls == "find" else b"job")
            client = await fixture.connect_client()
            client.writer.write(request)
            await wait_until(lambda: server.begun)
            await asyncio.sleep(leaves_after_s)
            client.writer.close()
            again = await fixture.connect_client()
            assert (await again.send_request(request))[0] in statuses
            assert len(server.begun) == 1
            other = build_request(cls, body=b"" if cls == "find" else b"job")
            assert (await again.send_request(other))[0] == 200

    run(test())


# Guards against: the other process of an upgrade does not know the ids that began.
def test_id_that_began_does_not_begin_again_at_the_other_process_of_an_upgrade(tmp_path: Path) -> None:
    async def test() -> None:
        path, port, environ = await prepare(tmp_path)
        async with AsyncExitStack() as stack:
            old, _ = await stack.enter_async_context(running_process(path, environ))
            requests = [build_request() for _ in range(40)]
            clients = [RawClient(*await asyncio.open_connection("127.0.0.1", port)) for _ in requests]
            for client, request in zip(clients, requests, strict=True):
                assert (await client.send_request(request))[0] == 200
            await stack.enter_async_context(running_process(path, environ))
            await wait_for_line(old, "another process of this node is running")
            # Both processes accept connections now: some of these reach the new one.
            again = [RawClient(*await asyncio.open_connection("127.0.0.1", port)) for _ in requests]
            fresh = [build_request() for _ in requests]
            for client, request in zip(again, requests, strict=True):
                assert (await client.send_request(request))[0] == 503
            for client, request in zip(again, fresh, strict=True):
                assert (await client.send_request(request))[0] == 200
            for client, request in zip(clients, fresh, strict=True):
                assert (await client.send_request(request))[0] == 503

    uvloop.run(test())
