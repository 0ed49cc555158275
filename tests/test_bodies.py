"""Large bodies, both ways: passed on as they come, bounded in memory, and broken off where all can see it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import cast

import pytest

from flaxstep.proxy import client_connections, server_connections
from flaxstep.proxy.client_connections import stable_id
from flaxstep.proxy.connection_close import reset_connection
from flaxstep.proxy.request_bodies import BUFFERED_BODY_BYTES, MIN_BODY_SHARE_BYTES, BodyBudget
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import Began, Outcome, Request, Result, Uploaded
from tests.net import OK, WAIT, Client, Peer, Stand, answer, field, request, running, stay_silent
from tests.test_admin import ADMIN_ADDRESS, wait_until
from tests.test_metrics import stats
from tests.test_node import run

BIG = bytes(range(256)) * 8192  # 2 MiB
PART = 50_000
LAST = b"0\r\nX-Sum: 1\r\n\r\n"


def chunked(body: bytes, size: int = PART) -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x;part=1\r\n%b\r\n" % (len(part), part) for part in parts) + LAST


def upload(body: bytes, form: str = "length", **headers: str) -> bytes:
    """A request with a large body, framed in either way."""
    if form == "length":
        return request("pay", body=body, **headers)
    head = request("pay", Transfer_Encoding="chunked", **headers).replace(b"Content-Length: 0\r\n", b"")
    return head + chunked(body)


class Taker:
    """A server that gives its test the reins over one request: what came, when to read on, what to answer."""

    def __init__(self, reply: bytes = OK) -> None:
        self.reply = reply
        self.head: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.body = bytearray()
        self.go = asyncio.Event()  # read on
        self.go.set()
        self.ended = asyncio.Event()

    async def start(self) -> Peer:
        peer = Peer()
        peer.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        peer.port = peer.server.sockets[0].getsockname()[1]
        return peer

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.head.set_result(head)
            await self.go.wait()
            if length := field(head, b"Content-Length"):
                while len(self.body) < int(length):
                    self.body += await reader.readexactly(min(65536, int(length) - len(self.body)))
                    await self.go.wait()
            elif field(head, b"Transfer-Encoding"):
                while size := int(await reader.readline(), 16):
                    self.body += (await reader.readexactly(size + 2))[:-2]
                    await self.go.wait()
                await reader.readline()
            writer.write(self.reply)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.ended.set()
            writer.close()


@asynccontextmanager
async def taking(reply: bytes = OK, **changes: object) -> AsyncIterator[tuple[Stand, Taker]]:
    taker = Taker(reply)
    async with running(await taker.start(), **changes) as stand:
        yield stand, taker


@pytest.mark.parametrize("form", ["length", "chunked"])
def test_large_request_body_is_forwarded_unchanged_while_it_arrives(form: str) -> None:
    async def test() -> None:
        async with taking() as (stand, taker):
            client = await stand.client()
            data = upload(BIG, form)
            client.writer.write(data[: len(data) // 2])
            told = await stand.event(Request)
            assert told.uploading
            head = await asyncio.wait_for(taker.head, WAIT)
            assert (field(head, b"Content-Length") is None) == (form == "chunked")
            await wait_until(lambda: len(taker.body) > len(BIG) // 3)  # with half of it not written yet
            client.writer.write(data[len(data) // 2 :])
            assert (await client.answer())[2] == b"done"
            assert bytes(taker.body) == BIG
            due = (await stand.event(Uploaded)).due  # its time runs from the last byte
            assert 0 < due - now_ms() < 8000.0
            assert (await stand.outcome()).result == Result.OK
            assert stand.node.body_budget.body_count == 0 and not stand.node.held
            assert (await client.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200  # the connection goes on

    run(test())


ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: x/y\r\n\r\n" % len(BIG) + BIG,
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: x/y\r\n\r\n" + chunked(BIG),
    "close": b"HTTP/1.1 200 OK\r\nContent-Type: x/y\r\nConnection: close\r\n\r\n" + BIG,
}


async def read_answer(client: Client) -> tuple[bytes, bytes]:
    """Head and body, in whatever framing."""
    async with asyncio.timeout(WAIT):
        head = await client.reader.readuntil(b"\r\n\r\n")
        if length := field(head, b"Content-Length"):
            return head, await client.reader.readexactly(int(length))
        if not field(head, b"Transfer-Encoding"):
            return head, await client.reader.read()
        body = bytearray()
        while size := int(await client.reader.readline(), 16):
            body += (await client.reader.readexactly(size + 2))[:-2]
        assert await client.reader.readline() == b"\r\n"
        return head, bytes(body)


@pytest.mark.parametrize("form", ANSWERS)
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_large_response_is_forwarded_unchanged(form: str, version: bytes) -> None:
    async def end_after(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(ANSWERS[form])
        if form == "close":
            writer.close()

    async def test() -> None:
        async with running(await Peer(end_after).start()) as stand:
            client = await stand.client()
            client.writer.write(request().replace(b"HTTP/1.1", version))
            head, body = await read_answer(client)
            assert body == BIG and field(head, b"Content-Type") == b"x/y"
            assert isinstance(await stand.event(Began), Began)
            outcome = await stand.outcome()
            assert (outcome.result, outcome.over) == (Result.OK, True)
            assert (
                stand.node.body_budget.body_count == 0
                and not stand.node.held
                and not stand.node.pool.attempts
            )
            if version == b"HTTP/1.1":
                assert field(head, b"Connection") is None
                client.writer.write(request())
                assert (await read_answer(client))[1] == BIG
            else:
                assert await client.end() == b""

    run(test())


def test_short_response_ended_by_close_is_complete() -> None:
    async def close(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\ndone")
        writer.close()

    async def test() -> None:
        peer = await Peer(close).start()
        async with running(peer) as stand:
            client = await stand.client()
            assert (await client.ask(request()))[2] == b"done"
            assert (await stand.outcome()).result == Result.OK

    run(test())


def test_first_response_bytes_are_not_delayed_until_the_end() -> None:
    rest = asyncio.Event()

    async def slowly(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        if b"/chunked" in head:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
            await rest.wait()
            writer.write(b"4\r\nlast\r\n0\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\nfirst")
            await rest.wait()
            writer.write(bytes(70000 - 5))

    async def test() -> None:
        async with running(await Peer(slowly).start()) as stand:
            for key in ("chunked", "length"):
                rest.clear()
                client = await stand.client()
                client.writer.write(request(key=key))
                async with asyncio.timeout(WAIT):
                    await client.reader.readuntil(b"first")
                rest.set()
                async with asyncio.timeout(WAIT):
                    await client.reader.readuntil(b"last\r\n0\r\n\r\n" if key == "chunked" else bytes(60000))
                client.writer.close()

    run(test())


@pytest.mark.parametrize("form", ANSWERS)
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_client_sees_truncated_response(form: str, version: bytes) -> None:
    async def break_off(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(ANSWERS[form][: len(BIG) // 2])
        await asyncio.sleep(0.1)  # it goes out before the reset throws away what has not
        reset_connection(cast(asyncio.Transport, writer.transport))

    async def test() -> None:
        async with running(await Peer(break_off).start(), admin=ADMIN_ADDRESS) as stand:
            client = await stand.client()
            client.writer.write(request("book").replace(b"HTTP/1.1", version))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                assert len((await read_answer(client))[1]) < 0  # not reached: it raises
            found = await stats(stand)
            assert (found["results.book.aborted"], found["outstanding"], found["forwards"]) == (1, 0, 1)
            assert not stand.node.held and stand.node.body_budget.body_count == 0

    run(test())


def test_slow_client_pauses_its_server_and_node_buffers_little() -> None:
    written = [0]

    async def pour(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 << 20))
        for _ in range(32 << 20 >> 16):
            writer.write(bytes(65536))
            written[0] += 65536
            await writer.drain()

    async def test() -> None:
        async with running(await Peer(pour).start(), admin=ADMIN_ADDRESS) as stand:
            client = await stand.client()
            client.reader._limit = 1  # type: ignore[attr-defined]  # reads no further than its first bytes
            client.writer.write(request())
            async with asyncio.timeout(WAIT):
                assert await client.reader.read(1) == b"H"
            before = -1
            while before != written[0]:  # until the pipe is full
                before = written[0]
                await asyncio.sleep(0.2)
            assert before < 32 << 20
            (held,) = stand.node.held.values()
            assert held.client.transport.get_write_buffer_size() <= BUFFERED_BODY_BYTES
            assert (await stats(stand))["outstanding"] == 1
            client.reader._limit = 1 << 20  # type: ignore[attr-defined]
            left = 32 << 20
            async with asyncio.timeout(WAIT):
                while left > 0:
                    left -= len(await client.reader.read(1 << 20))
                    if not stand.node.held:
                        break
            await wait_until(lambda: not stand.node.held)
            assert (await stats(stand))["results.find.succeeded"] == 1

    run(test())


def test_slow_server_pauses_its_client_and_node_buffers_little() -> None:
    async def test() -> None:
        async with taking() as (stand, taker):
            taker.go.clear()
            client = await stand.client()
            client.writer.write(upload(bytes(30 << 20)))
            await asyncio.wait_for(taker.head, WAIT)
            before = -1
            while before != client.writer.transport.get_write_buffer_size():
                before = client.writer.transport.get_write_buffer_size()
                await asyncio.sleep(0.2)
            assert before > 10 << 20  # the client still has it
            (connection,) = stand.node.pool.connections
            assert connection.transport.get_write_buffer_size() <= BUFFERED_BODY_BYTES + 100
            taker.go.set()
            assert (await client.answer())[0] == 200
            assert len(taker.body) == 30 << 20

    run(test())


def test_server_that_stops_reading_body_is_unreachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server_connections, "STALL_TIME", 0.3)

    async def test() -> None:
        async with taking(attempts=3) as (stand, taker):
            taker.go.clear()
            client = await stand.client()
            client.writer.write(upload(bytes(30 << 20)))
            status, head, _ = await client.answer()  # though the body has not come whole
            assert status == 503 and field(head, b"Retry-After")
            outcome = await stand.outcome()
            assert (outcome.result, outcome.spent) == (Result.UNREACHABLE, True)
            await wait_until(
                lambda: client.writer.transport.get_write_buffer_size() == 0
            )  # it is read to its end
            assert (await client.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            assert stand.node.body_budget.body_count == 0

    run(test())


def test_server_that_closes_during_upload_is_unreachable() -> None:
    async def test() -> None:
        async with taking(attempts=3) as (stand, taker):
            client = await stand.client()
            data = upload(BIG)
            client.writer.write(data[:-10])
            await wait_until(lambda: len(taker.body) > 100_000)
            stand.node.pool.attempts.copy().popitem()[1].connection.transport.abort()  # type: ignore[union-attr]
            status, _, _ = await client.answer()
            outcome = await stand.outcome()
            assert (status, outcome.result, outcome.spent) == (503, Result.UNREACHABLE, True)

    run(test())


def test_early_rejection_reaches_client_and_rest_of_body_is_discarded() -> None:
    async def full(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            await reader.read()
        writer.close()

    async def test() -> None:
        peer = Peer()
        peer.server = await asyncio.start_server(full, "127.0.0.1", 0)
        peer.port = peer.server.sockets[0].getsockname()[1]
        async with running(peer, attempts=3) as stand:
            client = await stand.client()
            data = upload(BIG)
            client.writer.write(data[: len(data) // 2])
            assert (await client.answer())[0] == 503
            client.writer.write(data[len(data) // 2 :])
            assert (await client.ask(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200

    run(test())


def test_aborted_upload_does_not_count_against_server() -> None:
    async def test() -> None:
        async with taking() as (stand, taker):
            client = await stand.client()
            client.writer.write(upload(BIG)[: len(BIG) // 2])
            await wait_until(lambda: len(taker.body) > 100_000)
            client.writer.transport.abort()
            assert (await stand.outcome()).result == Result.CANCELLED
            await asyncio.wait_for(taker.ended.wait(), WAIT)
            assert (
                not stand.node.held
                and not stand.node.pool.attempts
                and stand.node.body_budget.body_count == 0
            )
            server = stand.node.policy.servers[stable_id(b"s-1")]
            assert not any(health.fails for health in server.health)
            assert not server.open and not server.uploads and stand.node.policy.flying == 0

    run(test())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_malformed_chunked_body_gets_400_and_cancels_attempt(may_cancel: bool) -> None:
    async def test() -> None:
        async with taking() as (stand, taker):
            object.__setattr__(stand.node.policy.settings, "may_cancel", may_cancel)
            client = await stand.client()
            data = upload(BIG, "chunked")
            client.writer.write(data.removesuffix(LAST) + b"nothing of the kind\r\n")
            assert (await client.answer())[0] == 400
            assert await client.end() == b""
            await asyncio.wait_for(taker.ended.wait(), WAIT)
            assert (await stand.outcome()).result == Result.CANCELLED
            assert not stand.node.pool.attempts and stand.node.figures.forwards == 0

    run(test())


def test_stalled_body_gets_408_and_slow_body_does_not(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connections, "REQUEST_TIMEOUT_S", 0.4)
    monkeypatch.setattr(client_connections, "MIN_UPLOAD_BYTES_PER_S", 400_000)

    async def test() -> None:
        async with taking() as (stand, taker):
            client, data = await stand.client(), upload(bytes(400_000))
            for i in range(0, len(data), 40_000):  # a second at the least rate, and 0.4 s before
                client.writer.write(data[i : i + 40_000])
                await asyncio.sleep(0.08)
            assert (await client.answer())[0] == 200
        async with taking() as (stand, taker):
            client = await stand.client()
            client.writer.write(upload(BIG)[:100_000])
            assert (await client.answer())[0] == 408
            assert (await stand.outcome()).result == Result.CANCELLED

    run(test())


@pytest.mark.parametrize("stalls", [False, True])
def test_body_rate_extends_timeout_of_first_request(monkeypatch: pytest.MonkeyPatch, stalls: bool) -> None:
    for name in ("REQUEST_TIMEOUT_S", "FIRST_REQUEST_TIMEOUT_S"):
        monkeypatch.setattr(client_connections, name, 0.4)
    monkeypatch.setattr(client_connections, "MIN_UPLOAD_BYTES_PER_S", 20_000)

    async def test() -> None:
        async with running(await Peer().start()) as stand:
            client, data = await stand.client(), request("pay", body=bytes(30_000))
            for i in range(0, 3_000 if stalls else len(data), 3_000):  # held whole
                client.writer.write(data[i : i + 3_000])
                await asyncio.sleep(0.08)
            assert (await client.answer())[0] == (408 if stalls else 200)

    run(test())


def test_large_pipelined_body_waits_for_earlier_request() -> None:
    release = asyncio.Event()

    async def held_back(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        if head.startswith(b"GET"):
            await release.wait()
        writer.write(OK)

    async def test() -> None:
        peer = await Peer(held_back).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request() + upload(BIG) + request())
            await asyncio.wait_for(peer.requests.get(), WAIT)
            assert len(stand.node.held) == 1
            (connection,) = stand.node.listener.connections
            await wait_until(lambda: connection.paused_for_upload)  # read no further meanwhile
            release.set()
            for _ in range(3):
                assert (await client.answer())[0] == 200
            assert len(await peer.requests.get()) > len(BIG)

    run(test())


def test_100_continue_is_sent_when_accepted_but_not_when_refused() -> None:
    async def test() -> None:
        async with taking() as (stand, taker):
            client = await stand.client()
            data = upload(BIG, Expect="100-continue")
            head, body = data[: -len(BIG)], data[-len(BIG) :]
            assert (await client.ask(head))[0] == 100
            assert (await client.ask(body))[0] == 200
            late = await stand.client()
            stand.node.cordon(b"s-1")  # nobody can serve it
            status, headers, _ = await late.ask(upload(BIG, Expect="100-continue")[: -len(BIG)])
            assert (status, field(headers, b"Connection")) == (503, b"close")

    run(test())


def test_chunked_body_over_limit_gets_413(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connections, "MAX_REQUEST_BODY_BYTES", 300_000)

    async def test() -> None:
        async with taking() as (stand, taker):
            client = await stand.client()
            client.writer.write(upload(BIG, "chunked"))
            assert (await client.answer())[0] == 413
            await asyncio.wait_for(taker.ended.wait(), WAIT)
            assert (await stand.outcome()).result == Result.CANCELLED

    run(test())


def test_failed_dial_leaves_body_for_next_attempt() -> None:
    async def test() -> None:
        gone = await Peer().start()
        gone.server.close()
        taker = Taker()
        async with running(gone, await taker.start(), attempts=3) as stand:
            stand.node.policy.random.seed(3)
            outcomes = []
            for _ in range(12):
                client = await stand.client()
                if (await client.ask(upload(BIG)))[0] == 200:
                    break
            while not stand.events.empty():
                event = stand.events.get_nowait()
                if isinstance(event, Outcome):
                    outcomes.append((event.result, event.spent))
            assert outcomes[-1] == (Result.OK, True) and bytes(taker.body) == BIG
            assert all(outcome == (Result.UNREACHABLE, False) for outcome in outcomes[:-1])

    run(test())


def test_timeout_of_request_starts_after_upload() -> None:
    async def test() -> None:
        peer = await Peer(stay_silent).start()
        async with running(peer, aim=9000.0) as stand:
            client = await stand.client()
            client.writer.write(upload(BIG).replace(b"8000m", b"300m"))
            status, _, _ = await client.answer()
            assert (status, (await stand.outcome()).result) == (502, Result.TIMEOUT)  # it may have run

    run(test())


def test_body_share_shrinks_with_number_of_bodies() -> None:
    body_budget = BodyBudget(1 << 20)
    shares = []
    for bodies in (0, 1, 16, 32, 1000):
        body_budget.body_count = bodies
        shares.append(body_budget.share_bytes)
        assert len(body_budget.read_buffer()) == body_budget.share_bytes
    assert shares == [
        BUFFERED_BODY_BYTES,
        BUFFERED_BODY_BYTES,
        BUFFERED_BODY_BYTES,
        32768,
        MIN_BODY_SHARE_BYTES,
    ]


def test_many_concurrent_bodies_stay_within_budget() -> None:
    """Bodies under 64 KiB too are passed on in part where there are too many to hold them whole."""

    async def test() -> None:
        peer = await Peer().start()
        async with running(peer, memory_mb=8) as stand:  # a budget of 1 MiB
            senders = [await stand.client() for _ in range(60)]
            data = request("pay", body=bytes(60_000))
            for sender in senders:
                sender.writer.write(data[:-1])

            def held() -> int:
                connections = stand.node.listener.connections
                whole = sum(len(connection.body) for connection in connections)
                return whole + sum(c.upload.buffered_bytes for c in connections if c.upload is not None)

            await wait_until(lambda: stand.node.body_budget.body_count == 60)
            await asyncio.sleep(0.1)
            assert held() < 4 << 20 and stand.node.body_budget.share_bytes < 20_000
            for sender in senders:
                sender.writer.write(data[-1:])
            for sender in senders:
                assert (await sender.answer())[0] in (200, 503)
            assert stand.node.body_budget.body_count == 0

    run(test())


def test_response_that_stops_half_way_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_connections, "SILENCE", 0.2)
    monkeypatch.setattr(server_connections, "SWEEP", 0.05)

    async def test() -> None:
        async with running(await Peer(answer(ANSWERS["length"][:500_000])).start()) as stand:
            client = await stand.client()
            client.writer.write(request())
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_answer(client)
            assert (await stand.outcome()).result == Result.RESET

    run(test())


def test_client_that_disconnects_during_response_leaves_no_state_behind() -> None:
    async def pour(peer: Peer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 << 20))
        with suppress(ConnectionError):
            for _ in range(32 << 20 >> 16):
                writer.write(bytes(65536))
                await writer.drain()

    async def test() -> None:
        peer = await Peer(pour).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request())
            async with asyncio.timeout(WAIT):
                await client.reader.read(1000)
            client.writer.transport.abort()
            await asyncio.wait_for(peer.ended.get(), WAIT)
            await wait_until(lambda: not stand.node.pool.attempts and not stand.node.pool.connections)
            assert not stand.node.held and stand.node.body_budget.body_count == 0

    run(test())
