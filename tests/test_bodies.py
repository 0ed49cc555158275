"""Large request and response bodies: forwarded while they arrive, bounded in memory, visibly aborted."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import cast

import pytest

from flaxstep.proxy import (
    client_connections,
    client_listener,
    connection_pool,
    incoming_request,
    server_connections,
)
from flaxstep.proxy.connection_close import reset_connection
from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.memory_account import (
    BODY_PART_DENOMINATOR,
    BODY_PART_NUMERATOR,
    MAX_SHARE_BYTES,
    MIN_SHARE_BYTES,
    SHARE_DIVISOR,
    CountedHolder,
    MemoryAccount,
)
from flaxstep.proxy.request_bodies import BUFFERED_BODY_BYTES
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import Began, Outcome, Request, Result, Uploaded
from tests.net import (
    OK_RESPONSE,
    TIMEOUT_S,
    FakeServer,
    NodeFixture,
    RawClient,
    build_request,
    header_value,
    never_respond,
    repeat_requests,
    respond_with,
    run_node,
)
from tests.test_admin import ADMIN_ADDRESS, wait_until
from tests.test_metrics import stats
from tests.test_node import run

LARGE_BODY = bytes(range(256)) * 8192  # 2 MiB
CHUNK_BYTES = 50_000
LAST_CHUNK = b"0\r\nX-Sum: 1\r\n\r\n"


def chunked(body: bytes, size: int = CHUNK_BYTES) -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x;part=1\r\n%b\r\n" % (len(part), part) for part in parts) + LAST_CHUNK


def upload_request(body: bytes, framing: str = "length", **headers: str) -> bytes:
    """A request with a large body, with Content-Length or chunked."""
    if framing == "length":
        return build_request("pay", body=body, **headers)
    head = build_request("pay", Transfer_Encoding="chunked", **headers).replace(b"Content-Length: 0\r\n", b"")
    return head + chunked(body)


class ControlledServer:
    """A server for one request. The test sees what has arrived and decides when the server reads on."""

    def __init__(self, response: bytes = OK_RESPONSE) -> None:
        self.response = response
        self.head: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.body = bytearray()
        self.may_read = asyncio.Event()  # set while the server reads
        self.may_read.set()
        self.ended = asyncio.Event()

    async def start(self) -> FakeServer:
        server = FakeServer()
        server.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        server.port = server.server.sockets[0].getsockname()[1]
        return server

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.head.set_result(head)
            await self.may_read.wait()
            if length := header_value(head, b"Content-Length"):
                while len(self.body) < int(length):
                    self.body += await reader.readexactly(min(65536, int(length) - len(self.body)))
                    await self.may_read.wait()
            elif header_value(head, b"Transfer-Encoding"):
                while size := int(await reader.readline(), 16):
                    self.body += (await reader.readexactly(size + 2))[:-2]
                    await self.may_read.wait()
                await reader.readline()
            writer.write(self.response)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.ended.set()
            writer.close()


@asynccontextmanager
async def running_controlled_server(
    response: bytes = OK_RESPONSE, **changes: object
) -> AsyncIterator[tuple[NodeFixture, ControlledServer]]:
    server = ControlledServer(response)
    async with run_node(await server.start(), **changes) as fixture:
        yield fixture, server


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_large_request_body_is_forwarded_unchanged_while_it_arrives(framing: str) -> None:
    async def test() -> None:
        async with running_controlled_server() as (fixture, server):
            client = await fixture.connect_client()
            data = upload_request(LARGE_BODY, framing)
            client.writer.write(data[: len(data) // 2])
            event = await fixture.next_event(Request)
            assert event.uploading
            head = await asyncio.wait_for(server.head, TIMEOUT_S)
            assert (header_value(head, b"Content-Length") is None) == (framing == "chunked")
            await wait_until(lambda: len(server.body) > len(LARGE_BODY) // 3)  # before the rest is sent
            client.writer.write(data[len(data) // 2 :])
            assert (await client.read_response())[2] == b"done"
            assert bytes(server.body) == LARGE_BODY
            due = (await fixture.next_event(Uploaded)).due  # the timeout starts at the last byte
            assert 0 < due - now_ms() < 8000.0
            assert (await fixture.next_outcome()).result == Result.OK
            assert fixture.held_beyond_connections == 0 and not fixture.node.pending_requests
            assert (await client.send_request(b"GET /_health HTTP/1.1\r\n\r\n"))[
                0
            ] == 200  # the connection stays open

    run(test())


RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: x/y\r\n\r\n" % len(LARGE_BODY)
    + LARGE_BODY,
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: x/y\r\n\r\n"
    + chunked(LARGE_BODY),
    "close": b"HTTP/1.1 200 OK\r\nContent-Type: x/y\r\nConnection: close\r\n\r\n" + LARGE_BODY,
}


async def read_response(client: RawClient) -> tuple[bytes, bytes]:
    """Return head and body of a response with any framing."""
    async with asyncio.timeout(TIMEOUT_S):
        head = await client.reader.readuntil(b"\r\n\r\n")
        if length := header_value(head, b"Content-Length"):
            return head, await client.reader.readexactly(int(length))
        if not header_value(head, b"Transfer-Encoding"):
            return head, await client.reader.read()
        body = bytearray()
        while size := int(await client.reader.readline(), 16):
            body += (await client.reader.readexactly(size + 2))[:-2]
        assert await client.reader.readline() == b"\r\n"
        return head, bytes(body)


@pytest.mark.parametrize("framing", RESPONSES)
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_large_response_is_forwarded_unchanged(framing: str, version: bytes) -> None:
    async def end_after(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(RESPONSES[framing])
        if framing == "close":
            writer.close()

    async def test() -> None:
        async with run_node(await FakeServer(end_after).start()) as fixture:
            client = await fixture.connect_client()
            client.writer.write(build_request().replace(b"HTTP/1.1", version))
            head, body = await read_response(client)
            assert body == LARGE_BODY and header_value(head, b"Content-Type") == b"x/y"
            assert isinstance(await fixture.next_event(Began), Began)
            outcome = await fixture.next_outcome()
            assert (outcome.result, outcome.over) == (Result.OK, True)
            assert (
                fixture.held_beyond_connections == 0
                and not fixture.node.pending_requests
                and not fixture.node.pool.attempts
            )
            if version == b"HTTP/1.1":
                assert header_value(head, b"Connection") is None
                client.writer.write(build_request())
                assert (await read_response(client))[1] == LARGE_BODY
            else:
                assert await client.read_until_close() == b""

    run(test())


def test_short_response_ended_by_close_is_complete() -> None:
    async def close(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\ndone")
        writer.close()

    async def test() -> None:
        server = await FakeServer(close).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(build_request()))[2] == b"done"
            assert (await fixture.next_outcome()).result == Result.OK

    run(test())


def test_first_response_bytes_are_not_delayed_until_the_end() -> None:
    may_finish = asyncio.Event()

    async def respond_in_two_parts(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        if b"/chunked" in head:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
            await may_finish.wait()
            writer.write(b"4\r\nlast\r\n0\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\nfirst")
            await may_finish.wait()
            writer.write(bytes(70000 - 5))

    async def test() -> None:
        async with run_node(await FakeServer(respond_in_two_parts).start()) as fixture:
            for key in ("chunked", "length"):
                may_finish.clear()
                client = await fixture.connect_client()
                client.writer.write(build_request(key=key))
                async with asyncio.timeout(TIMEOUT_S):
                    await client.reader.readuntil(b"first")
                may_finish.set()
                async with asyncio.timeout(TIMEOUT_S):
                    await client.reader.readuntil(b"last\r\n0\r\n\r\n" if key == "chunked" else bytes(60000))
                client.writer.close()

    run(test())


@pytest.mark.parametrize("framing", RESPONSES)
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_client_sees_truncated_response(framing: str, version: bytes) -> None:
    async def reset_half_way(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(RESPONSES[framing][: len(LARGE_BODY) // 2])
        await asyncio.sleep(0.1)  # let it be sent: the reset discards what is still unsent
        reset_connection(cast(asyncio.Transport, writer.transport))

    async def test() -> None:
        async with run_node(await FakeServer(reset_half_way).start(), admin=ADMIN_ADDRESS) as fixture:
            client = await fixture.connect_client()
            client.writer.write(build_request("book").replace(b"HTTP/1.1", version))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                assert len((await read_response(client))[1]) < 0  # not reached: it raises
            statistics = await stats(fixture)
            assert (
                statistics["results.book.aborted"],
                statistics["outstanding"],
                statistics["forwards"],
            ) == (1, 0, 1)
            assert not fixture.node.pending_requests and fixture.held_beyond_connections == 0

    run(test())


def test_slow_client_pauses_its_server_and_node_buffers_little() -> None:
    written = [0]

    async def stream_response(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 << 20))
        for _ in range(32 << 20 >> 16):
            writer.write(bytes(65536))
            written[0] += 65536
            await writer.drain()

    async def test() -> None:
        async with run_node(await FakeServer(stream_response).start(), admin=ADMIN_ADDRESS) as fixture:
            client = await fixture.connect_client()
            client.reader._limit = 1  # type: ignore[attr-defined]  # read little
            client.writer.write(build_request())
            async with asyncio.timeout(TIMEOUT_S):
                assert await client.reader.read(1) == b"H"
            before = -1
            while before != written[0]:  # until all buffers are full
                before = written[0]
                await asyncio.sleep(0.2)
            assert before < 32 << 20
            (pending,) = fixture.node.pending_requests.values()
            assert pending.client.transport.get_write_buffer_size() <= BUFFERED_BODY_BYTES
            assert (await stats(fixture))["outstanding"] == 1
            client.reader._limit = 1 << 20  # type: ignore[attr-defined]
            left = 32 << 20
            async with asyncio.timeout(TIMEOUT_S):
                while left > 0:
                    left -= len(await client.reader.read(1 << 20))
                    if not fixture.node.pending_requests:
                        break
            await wait_until(lambda: not fixture.node.pending_requests)
            assert (await stats(fixture))["results.find.succeeded"] == 1

    run(test())


def test_slow_server_pauses_its_client_and_node_buffers_little() -> None:
    async def test() -> None:
        async with running_controlled_server() as (fixture, server):
            server.may_read.clear()
            client = await fixture.connect_client()
            client.writer.write(upload_request(bytes(30 << 20)))
            await asyncio.wait_for(server.head, TIMEOUT_S)
            before = -1
            while before != client.writer.transport.get_write_buffer_size():
                before = client.writer.transport.get_write_buffer_size()
                await asyncio.sleep(0.2)
            assert before > 10 << 20  # still unsent at the client
            (connection,) = fixture.node.pool.connections
            assert connection.transport.get_write_buffer_size() <= BUFFERED_BODY_BYTES + 100
            server.may_read.set()
            assert (await client.read_response())[0] == 200
            assert len(server.body) == 30 << 20

    run(test())


def test_server_that_stops_reading_body_is_unreachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server_connections, "REQUEST_WRITE_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with running_controlled_server(max_attempts=3) as (fixture, server):
            server.may_read.clear()
            client = await fixture.connect_client()
            client.writer.write(upload_request(bytes(30 << 20)))
            status, head, _ = await client.read_response()  # although the body is incomplete
            assert status == 503 and header_value(head, b"Retry-After")
            outcome = await fixture.next_outcome()
            assert (outcome.result, outcome.spent) == (Result.UNREACHABLE, True)
            # The node reads and discards the rest.
            await wait_until(lambda: client.writer.transport.get_write_buffer_size() == 0)
            assert (await client.send_request(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            assert fixture.held_beyond_connections == 0

    run(test())


def test_server_that_closes_during_upload_is_unreachable() -> None:
    async def test() -> None:
        async with running_controlled_server(max_attempts=3) as (fixture, server):
            client = await fixture.connect_client()
            data = upload_request(LARGE_BODY)
            client.writer.write(data[:-10])
            await wait_until(lambda: len(server.body) > 100_000)
            fixture.node.pool.attempts.copy().popitem()[1].connection.transport.abort()  # type: ignore[union-attr]
            status, _, _ = await client.read_response()
            outcome = await fixture.next_outcome()
            assert (status, outcome.result, outcome.spent) == (503, Result.UNREACHABLE, True)

    run(test())


def test_early_rejection_reaches_client_and_rest_of_body_is_discarded() -> None:
    async def reject_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            await reader.read()
        writer.close()

    async def test() -> None:
        server = FakeServer()
        server.server = await asyncio.start_server(reject_early, "127.0.0.1", 0)
        server.port = server.server.sockets[0].getsockname()[1]
        async with run_node(server, max_attempts=3) as fixture:
            client = await fixture.connect_client()
            data = upload_request(LARGE_BODY)
            client.writer.write(data[: len(data) // 2])
            assert (await client.read_response())[0] == 503
            client.writer.write(data[len(data) // 2 :])
            assert (await client.send_request(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200

    run(test())


def test_aborted_upload_does_not_count_against_server() -> None:
    async def test() -> None:
        async with running_controlled_server() as (fixture, server):
            client = await fixture.connect_client()
            client.writer.write(upload_request(LARGE_BODY)[: len(LARGE_BODY) // 2])
            await wait_until(lambda: len(server.body) > 100_000)
            client.writer.transport.abort()
            assert (await fixture.next_outcome()).result == Result.CANCELLED
            await asyncio.wait_for(server.ended.wait(), TIMEOUT_S)
            assert (
                not fixture.node.pending_requests
                and not fixture.node.pool.attempts
                and fixture.held_beyond_connections == 0
            )
            record = fixture.node.policy.endpoints[stable_id(b"s-1")]
            assert not any(health.failure_share for health in record.health)
            assert (
                not record.open_attempts
                and not record.uploading_attempts
                and fixture.node.policy.in_flight_now == 0
            )

    run(test())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_malformed_chunked_body_gets_400_and_cancels_attempt(may_cancel: bool) -> None:
    async def test() -> None:
        async with running_controlled_server() as (fixture, server):
            object.__setattr__(fixture.node.policy.settings, "may_cancel", may_cancel)
            client = await fixture.connect_client()
            data = upload_request(LARGE_BODY, "chunked")
            client.writer.write(data.removesuffix(LAST_CHUNK) + b"nothing of the kind\r\n")
            assert (await client.read_response())[0] == 400
            assert await client.read_until_close() == b""
            await asyncio.wait_for(server.ended.wait(), TIMEOUT_S)
            assert (await fixture.next_outcome()).result == Result.CANCELLED
            assert not fixture.node.pool.attempts and fixture.node.metrics.forwards == 0

    run(test())


def test_stalled_body_gets_408_and_slow_body_does_not(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connections, "REQUEST_TIMEOUT_S", 0.4)
    monkeypatch.setattr(client_connections, "MIN_UPLOAD_BYTES_PER_S", 400_000)

    async def test() -> None:
        async with running_controlled_server() as (fixture, server):
            client, data = await fixture.connect_client(), upload_request(bytes(400_000))
            for i in range(0, len(data), 40_000):  # 1 s at the minimum rate, and the timeout of 0.4 s
                client.writer.write(data[i : i + 40_000])
                await asyncio.sleep(0.08)
            assert (await client.read_response())[0] == 200
        async with running_controlled_server() as (fixture, server):
            client = await fixture.connect_client()
            client.writer.write(upload_request(LARGE_BODY)[:100_000])
            assert (await client.read_response())[0] == 408
            assert (await fixture.next_outcome()).result == Result.CANCELLED

    run(test())


@pytest.mark.parametrize("stalls", [False, True])
def test_body_rate_extends_timeout_of_first_request(monkeypatch: pytest.MonkeyPatch, stalls: bool) -> None:
    monkeypatch.setattr(client_connections, "REQUEST_TIMEOUT_S", 0.4)
    monkeypatch.setattr(client_listener, "FIRST_REQUEST_TIMEOUT_S", 0.4)
    monkeypatch.setattr(client_connections, "MIN_UPLOAD_BYTES_PER_S", 20_000)

    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            client, data = await fixture.connect_client(), build_request("pay", body=bytes(30_000))
            for i in range(0, 3_000 if stalls else len(data), 3_000):  # buffered whole
                client.writer.write(data[i : i + 3_000])
                await asyncio.sleep(0.08)
            assert (await client.read_response())[0] == (408 if stalls else 200)

    run(test())


def test_large_pipelined_body_waits_for_earlier_request() -> None:
    release = asyncio.Event()

    async def delayed_response(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        if head.startswith(b"GET"):
            await release.wait()
        writer.write(OK_RESPONSE)

    async def test() -> None:
        server = await FakeServer(delayed_response).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            client.writer.write(build_request() + upload_request(LARGE_BODY) + build_request())
            await asyncio.wait_for(server.requests.get(), TIMEOUT_S)
            assert len(fixture.node.pending_requests) == 1
            (connection,) = fixture.node.listener.connections
            await wait_until(lambda: connection.paused_for_upload)  # reading is paused meanwhile
            release.set()
            for _ in range(3):
                assert (await client.read_response())[0] == 200
            assert len(await server.requests.get()) > len(LARGE_BODY)

    run(test())


def test_100_continue_is_sent_when_accepted_but_not_when_refused() -> None:
    async def test() -> None:
        async with running_controlled_server() as (fixture, server):
            client = await fixture.connect_client()
            data = upload_request(LARGE_BODY, Expect="100-continue")
            head, body = data[: -len(LARGE_BODY)], data[-len(LARGE_BODY) :]
            assert (await client.send_request(head))[0] == 100
            assert (await client.send_request(body))[0] == 200
            late = await fixture.connect_client()
            fixture.node.cordons.cordon(b"s-1")  # no server is left
            status, headers, _ = await late.send_request(
                upload_request(LARGE_BODY, Expect="100-continue")[: -len(LARGE_BODY)]
            )
            assert (status, header_value(headers, b"Connection")) == (503, b"close")

    run(test())


def test_chunked_body_over_limit_gets_413(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(incoming_request, "MAX_REQUEST_BODY_BYTES", 300_000)

    async def test() -> None:
        async with running_controlled_server() as (fixture, server):
            client = await fixture.connect_client()
            client.writer.write(upload_request(LARGE_BODY, "chunked"))
            assert (await client.read_response())[0] == 413
            await asyncio.wait_for(server.ended.wait(), TIMEOUT_S)
            assert (await fixture.next_outcome()).result == Result.CANCELLED

    run(test())


def test_failed_dial_leaves_body_for_next_attempt() -> None:
    async def test() -> None:
        unreachable = await FakeServer().start()
        unreachable.server.close()
        server = ControlledServer()
        async with run_node(unreachable, await server.start(), max_attempts=3) as fixture:
            fixture.node.policy.random.seed(3)
            outcomes = []
            for _ in range(12):
                client = await fixture.connect_client()
                if (await client.send_request(upload_request(LARGE_BODY)))[0] == 200:
                    break
            while not fixture.events.empty():
                event = fixture.events.get_nowait()
                if isinstance(event, Outcome):
                    outcomes.append((event.result, event.spent))
            assert outcomes[-1] == (Result.OK, True) and bytes(server.body) == LARGE_BODY
            assert all(outcome == (Result.UNREACHABLE, False) for outcome in outcomes[:-1])

    run(test())


def test_timeout_of_request_starts_after_upload() -> None:
    async def test() -> None:
        server = await FakeServer(never_respond).start()
        async with run_node(server, aim_ms=9000.0) as fixture:
            client = await fixture.connect_client()
            client.writer.write(upload_request(LARGE_BODY).replace(b"8000m", b"300m"))
            status, _, _ = await client.read_response()
            # An unsafe request that may have run gets 502.
            assert (status, (await fixture.next_outcome()).result) == (
                502,
                Result.TIMEOUT,
            )

    run(test())


def test_body_share_shrinks_as_the_account_fills_up() -> None:
    account = MemoryAccount(32 << 20)
    holder, shares = CountedHolder(account, 1), []
    for_bodies = account.total_bytes * BODY_PART_NUMERATOR // BODY_PART_DENOMINATOR
    for left in (for_bodies, SHARE_DIVISOR * MAX_SHARE_BYTES, SHARE_DIVISOR * 30_000, 1000, 0, -5000):
        holder.set_count(for_bodies - left)
        shares.append(account.share_bytes)
        assert len(account.read_buffer()) == account.share_bytes
    assert shares == [MAX_SHARE_BYTES, MAX_SHARE_BYTES, 30_000] + [MIN_SHARE_BYTES] * 3


def test_many_concurrent_bodies_stay_within_budget() -> None:
    """With too many bodies to buffer each one whole, even bodies under 64 KiB are forwarded in parts."""

    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server, memory_mb=16) as fixture:  # an account of 1 MiB
            senders = [await fixture.connect_client() for _ in range(60)]
            data = build_request("pay", body=bytes(60_000))
            for sender in senders:
                sender.writer.write(repeat_requests(data[:-1], 1))

            def buffered_bytes() -> int:
                connections = fixture.node.listener.connections
                whole = sum(len(connection.incoming.body) for connection in connections)
                return whole + sum(len(c.upload.buffered) for c in connections if c.upload is not None)

            await wait_until(lambda: fixture.node.account.share_bytes < 20_000)
            await asyncio.sleep(0.1)
            assert buffered_bytes() <= 1 << 20 and fixture.node.account.held_bytes <= 1 << 20
            for sender in senders:
                sender.writer.write(data[-1:])
            for sender in senders:
                assert (await sender.read_response())[0] in (200, 503)
            assert fixture.held_beyond_connections == 0

    run(test())


def test_response_that_stops_half_way_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "RESPONSE_READ_TIMEOUT_S", 0.2)
    monkeypatch.setattr(connection_pool, "IDLE_SWEEP_INTERVAL_S", 0.05)

    async def test() -> None:
        async with run_node(await FakeServer(respond_with(RESPONSES["length"][:500_000])).start()) as fixture:
            client = await fixture.connect_client()
            client.writer.write(build_request())
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_response(client)
            assert (await fixture.next_outcome()).result == Result.RESET

    run(test())


def test_client_that_disconnects_during_response_leaves_no_state_behind() -> None:
    async def stream_response(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 << 20))
        with suppress(ConnectionError):
            for _ in range(32 << 20 >> 16):
                writer.write(bytes(65536))
                await writer.drain()

    async def test() -> None:
        server = await FakeServer(stream_response).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            client.writer.write(build_request())
            async with asyncio.timeout(TIMEOUT_S):
                await client.reader.read(1000)
            client.writer.transport.abort()
            await asyncio.wait_for(server.closed_connections.get(), TIMEOUT_S)
            await wait_until(lambda: not fixture.node.pool.attempts and not fixture.node.pool.connections)
            assert not fixture.node.pending_requests and fixture.held_beyond_connections == 0

    run(test())
