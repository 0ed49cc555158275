"""The admin port over loopback sockets: request handling, quiesce and resume."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from flaxstep.proxy import admin, client_listener
from tests.net import TIMEOUT_S, FakeServer, build_request, header_value, respond_ok, run_node
from tests.test_node import run

ADMIN_ADDRESS = ("127.0.0.1", 0)
HEALTH = b"GET /_health HTTP/1.1\r\n\r\n"


async def wait_until(condition: Any) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_no_admin_port_without_address() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            assert fixture.node.admin_listener is None

    run(test())


def build_admin_request(start: bytes, *lines: bytes, body: bytes = b"") -> bytes:
    return b"\r\n".join((start, b"Host: n0", *lines, b"", body))


INVALID_CALLS = [
    (build_admin_request(b"GET /admin/nothing HTTP/1.1"), 404),
    (build_admin_request(b"GET /find/1 HTTP/1.1"), 404),
    (build_admin_request(b"DELETE /admin/health HTTP/1.1"), 405),
    (build_admin_request(b"GET /admin/quiesce HTTP/1.1"), 405),
    (build_admin_request(b"GET /admin/health HTTP/1.1", b"Content-Length: 1", body=b"x"), 400),
    (
        build_admin_request(
            b"POST /admin/quiesce HTTP/1.1", b"Content-Length: 1", b"Transfer-Encoding: chunked"
        ),
        400,
    ),
    (build_admin_request(b"GET /admin/health HTTP/1.1", b"Connection: upgrade", b"Upgrade: h2c"), 400),
    (build_admin_request(b"POST /admin/quiesce HTTP/1.1", b"Content-Length: 9000", body=bytes(9000)), 413),
    (build_admin_request(b"GET /admin/health HTTP/1.1", b"X: " + b"a" * 9000), 431),
    (b"GET /" + b"a" * 9000, 431),
    (b"nonsense\r\n\r\n", 400),
]


@pytest.mark.parametrize(("data", "status"), INVALID_CALLS, ids=range(len(INVALID_CALLS)))
def test_invalid_call_is_rejected(data: bytes, status: int) -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start(), admin=ADMIN_ADDRESS) as fixture:
            caller = await fixture.connect_admin()
            received_status, head, body = await caller.send_request(data)
            assert (received_status, header_value(head, b"Connection")) == (status, b"close")
            assert body.endswith(b"\n") and b"Traceback" not in body
            assert await caller.read_until_close() == b""
            assert await fixture.call_admin("GET", "health") == (200, "ready\n")

    run(test())


def test_exception_in_call_gets_500_and_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    def failing_call(_: bytes) -> admin.Reply:
        raise RuntimeError("broken on purpose")

    status, text, _ = admin.AdminServer(
        asyncio.new_event_loop(), {b"/admin/x": (b"POST", failing_call)}
    ).handle_call(b"POST", b"/admin/x", b"")
    assert status == 500 and "broken" not in text
    assert "broken on purpose" in caplog.text


def test_stalled_callers_get_408_and_block_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin, "CALL_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with run_node(await FakeServer().start(), admin=ADMIN_ADDRESS) as fixture:
            stalled = [await fixture.connect_admin() for _ in range(3 * admin.MAX_CONNECTIONS)]
            for caller in stalled[::2]:
                caller.writer.write(b"POST /admin/quiesce HTTP/1.1\r\nContent-Le")
            assert await fixture.call_admin("GET", "health") == (200, "ready\n")
            for caller in stalled:
                assert (await caller.read_response())[0] == 408
                assert await caller.read_until_close() == b""

    run(test())


def test_call_may_arrive_in_parts_and_only_first_is_served() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start(), admin=ADMIN_ADDRESS) as fixture:
            caller = await fixture.connect_admin()
            data = build_admin_request(b"GET /admin/health HTTP/1.1") + build_admin_request(
                b"POST /admin/quiesce HTTP/1.1"
            )
            for i in range(len(data)):
                caller.writer.write(data[i : i + 1])
                await asyncio.sleep(0)
            assert (await caller.read_response())[0] == 200
            assert await caller.read_until_close() == b""
            assert not fixture.node.quiesced

    run(test())


def test_admin_health_fails_without_list() -> None:
    async def test() -> None:
        async with run_node(admin=ADMIN_ADDRESS, known_list={}) as fixture:
            fixture.node.healthy = False  # the state before the first list
            assert (await fixture.call_admin("GET", "health"))[0] == 503

    run(test())


def test_quiesce_drains_node_without_losing_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_listener, "DRAIN_GRACE_FOR_NEW_S", 0.1)
    release = asyncio.Event()

    async def delayed_response(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await respond_ok(server, head, writer)

    async def test() -> None:
        server = await FakeServer(delayed_response).start()
        async with run_node(server, admin=ADMIN_ADDRESS) as fixture:
            idle, pending = await fixture.connect_client(), await fixture.connect_client()
            release.set()
            assert (await idle.send_request(build_request()))[0] == 200
            release.clear()
            pending.writer.write(build_request())
            await wait_until(lambda: len(fixture.node.pending_requests) == 1)
            assert (await fixture.call_admin("POST", "quiesce"))[0] == 200
            assert (await fixture.call_admin("POST", "quiesce"))[0] == 200
            assert await idle.read_until_close() == b""  # closed without a request on it
            newcomer = await fixture.connect_client()  # the client has not switched to another node yet
            newcomer.writer.write(build_request())
            await wait_until(lambda: len(fixture.node.pending_requests) == 2)
            silent = await fixture.connect_client()
            assert (await (await fixture.connect_client()).send_request(HEALTH))[0] == 503
            assert (await fixture.call_admin("GET", "health"))[0] == 503
            assert await silent.read_until_close() == b""  # a connection without a request is closed
            release.set()
            for waiting in (pending, newcomer):
                status, head, _ = await waiting.read_response()
                assert (status, header_value(head, b"Connection")) == (200, b"close")
                assert await waiting.read_until_close() == b""
            await wait_until(lambda: not fixture.node.listener.connections)
            assert (await fixture.call_admin("POST", "resume"))[0] == 200
            assert (await fixture.call_admin("POST", "resume"))[0] == 200
            assert await fixture.call_admin("GET", "health") == (200, "ready\n")
            back = await fixture.connect_client()
            assert (await back.send_request(HEALTH))[0] == 200
            assert header_value((await back.send_request(build_request()))[1], b"Connection") is None

    run(test())


def test_drain_ends_quiesced_node_and_rejects_resume(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("flaxstep.proxy.node.ACCEPT_AFTER_SIGTERM_S", 0.3)

    async def test() -> None:
        async with run_node(await FakeServer().start(), admin=ADMIN_ADDRESS) as fixture:
            assert (await fixture.call_admin("POST", "quiesce"))[0] == 200
            drain = asyncio.ensure_future(fixture.node.drain())
            await wait_until(lambda: fixture.node.stopping)
            assert (await fixture.call_admin("POST", "resume"))[0] == 409
            assert (await fixture.call_admin("GET", "health"))[0] == 503
            await asyncio.wait_for(drain, TIMEOUT_S)

    run(test())
