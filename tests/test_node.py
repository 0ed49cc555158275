"""The node over loopback sockets: forwarding, responses, connection handling, and events for the policy."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from flaxstep.proxy import (
    client_connections,
    client_listener,
    connection_pool,
    discovery,
    node,
    server_connections,
)
from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.idle_limit import IdleLimit
from flaxstep.proxy.node import CLIENT_TIMEOUT_MARGIN_MS
from flaxstep.proxy.server_connections import ServerConnection
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import (
    Effect,
    Outcome,
    Reach,
    Request,
    RequestClass,
    Result,
    Send,
    ServerList,
    Settings,
    State,
    Withdrawn,
)
from tests.net import (
    OK_RESPONSE,
    TIMEOUT_S,
    WATCH_TARGET,
    FakeServer,
    ResponseScript,
    abort_connection,
    build_request,
    header_value,
    never_respond,
    repeat_requests,
    respond_ok,
    respond_with,
    run_node,
)

SAFE = RequestClass(aim=5000.0, deadline=9000.0, worth=1.0, effect=Effect.SAFE)


def run(test: Coroutine[Any, Any, None]) -> None:
    uvloop.run(test)


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def test() -> None:
        typed_response = OK_RESPONSE.replace(b"\r\n\r\n", b"\r\nContent-Type: x/y\r\n\r\n")
        server = await FakeServer(respond_with(typed_response)).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            data = build_request("book", body=b"\x00ride", Tenant="acme").replace(
                b"/cab7", b"/cab7?a=1&b=%20"
            )
            status, head, body = await client.send_request(data)
            assert (status, body, header_value(head, b"Content-Type")) == (200, b"done", b"x/y")
            forwarded = await server.requests.get()
            assert forwarded.startswith(b"POST /book/cab7?a=1&b=%20 HTTP/1.1\r\n") and forwarded.endswith(
                b"\r\n\r\n\x00ride"
            )
            for name in (b"Request-Id", b"Idempotency-Key", b"Tenant", b"Host"):
                assert header_value(forwarded, name) == header_value(data, name)
            left = header_value(forwarded, b"Request-Timeout")
            assert left is not None and left.endswith(b"m") and 0 < int(left[:-1]) <= 5000

    run(test())


def test_absolute_form_target_is_forwarded_as_path() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            for target in (b"http://backend.local/find/cab7?a=1", b"HTTPS://h:80/find/cab7?a=1"):
                assert (await client.send_request(build_request().replace(b"/find/cab7", target)))[0] == 200
                assert (await server.requests.get()).startswith(b"GET /find/cab7?a=1 HTTP/1.1\r\n")
            assert (await client.send_request(build_request().replace(b"/find/cab7", b"ftp://h/find/cab7")))[
                0
            ] == 400

    run(test())


def test_stable_id_does_not_depend_on_node_or_start() -> None:
    assert stable_id(b"s-5be2a07c") == 0x850D21AD14919D0C


@pytest.mark.parametrize(
    ("script", "result"),
    [
        (respond_ok, Result.OK),
        (respond_with(b"HTTP/1.1 100 Continue\r\n\r\n" + OK_RESPONSE), Result.OK),
        (respond_with(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (respond_with(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (respond_with(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (respond_with(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), Result.FULL),
        (respond_with(b"HTTP/1.1 503 No\r\nNot-Started:\t1 \t\r\nContent-Length: 0 \r\n\r\n"), Result.FULL),
        (respond_with(b"HTTP/1.1 504 No\r\nnot-started: 1\r\nContent-Length: 0\r\n\r\n"), Result.FULL),
        (respond_with(b"HTTP/1.1 500 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (respond_with(b"no HTTP at all\r\n\r\n"), Result.ERROR),
        (
            respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\ndone"),
            Result.ERROR,
        ),
        (
            respond_with(OK_RESPONSE.replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n")),
            Result.ERROR,
        ),
        (respond_with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ndone"), Result.ERROR),
        (respond_with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"), Result.ERROR),
        (respond_with(b"HTTP/1.1 500 No\r\nContent-Length: 999999\r\n\r\n" + bytes(70000)), Result.ERROR),
        (abort_connection, Result.RESET),
    ],
)
def test_attempt_results_and_response_statuses(script: ResponseScript, result: Result) -> None:
    async def test() -> None:
        async with run_node(await FakeServer(script).start()) as fixture:
            client = await fixture.connect_client()
            status, head, _ = await client.send_request(build_request())
            assert (await fixture.next_outcome()).result == result
            assert status == (200 if result is Result.OK else 503)
            assert (header_value(head, b"Retry-After") is None) == (
                status == 200
            )  # a refusal says when to retry
            assert not fixture.node.pending_requests and not fixture.node.pool.attempts

    run(test())


def test_refused_connection_makes_server_unreachable() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        server.server.close()
        async with run_node(server) as fixture:
            status, _, _ = await (await fixture.connect_client()).send_request(build_request("pay"))
            assert (status, (await fixture.next_outcome()).result) == (503, Result.UNREACHABLE)

    run(test())


def test_invalid_address_makes_server_unreachable() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            fixture.node.pool.servers[stable_id(b"s-1")].address = ("a" * 70 + ".\udc80", 9)
            status, _, _ = await (await fixture.connect_client()).send_request(build_request())
            assert (status, (await fixture.next_outcome()).result) == (503, Result.UNREACHABLE)

    run(test())


def test_silent_server_times_out_and_connection_is_closed() -> None:
    async def test() -> None:
        server = await FakeServer(never_respond).start()
        async with run_node(server, aim_ms=1000.0) as fixture:
            status, _, _ = await (await fixture.connect_client()).send_request(build_request())
            assert (status, (await fixture.next_outcome()).result) == (503, Result.TIMEOUT)
            await asyncio.wait_for(server.closed_connections.get(), TIMEOUT_S)

    run(test())


def test_unsafe_request_that_may_have_run_is_neither_retried_nor_refused() -> None:
    async def test() -> None:
        servers = [await FakeServer(abort_connection).start(), await FakeServer(abort_connection).start()]
        async with run_node(*servers, max_attempts=4) as fixture:
            status, _, _ = await (await fixture.connect_client()).send_request(build_request("pay"))
            assert status == 502
            assert sum(server.requests.qsize() for server in servers) == 1

    run(test())


def test_server_that_drains_during_dial_gets_no_request() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            node, client = fixture.node, await fixture.connect_client()
            send = node.send_attempt

            def send_then_drain(action: Send) -> None:
                send(action)
                fixture.node.on_list(
                    {"generation": 2, "reset": False, "instances": [server.list_entry("s-1", "leaving")]},
                    False,
                )

            node.action_handlers[Send] = send_then_drain
            status, _, _ = await client.send_request(build_request())
            assert (status, (await fixture.next_outcome()).result) == (503, Result.UNREACHABLE)
            async with asyncio.timeout(TIMEOUT_S):
                while node.pool.pending_connects:
                    await asyncio.sleep(0.01)
            assert server.requests.empty() and not node.pool.connections and not node.pool.attempts

    run(test())


def test_connections_from_before_server_restart_are_not_reused() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(build_request()))[0] == 200
            fixture.discovery.push_update(2, [server.list_entry("s-1", started_at_ms=1_000)])
            while (await fixture.next_event(ServerList)).version != 2:
                pass
            await asyncio.wait_for(server.closed_connections.get(), TIMEOUT_S)
            assert not fixture.node.pool.servers[stable_id(b"s-1")].idle

    run(test())


def test_removed_servers_are_forgotten_and_can_be_listed_again() -> None:
    async def test() -> None:
        server, other = await FakeServer().start(), await FakeServer().start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(build_request()))[0] == 200
            fixture.discovery.push_update(
                2,
                [other.list_entry("s-2"), server.list_entry("s-1", "left"), server.list_entry("s-9", "left")],
            )
            while (await fixture.next_event(ServerList)).version != 2:
                pass
            assert set(fixture.node.pool.servers) == {stable_id(b"s-2")}
            fixture.discovery.push_update(3, [server.list_entry("s-1"), other.list_entry("s-2", "left")])
            while (await fixture.next_event(ServerList)).version != 3:
                pass
            assert (await client.send_request(build_request()))[0] == 200
            assert (server.requests.qsize(), other.requests.qsize()) == (2, 0)

    run(test())


def test_connection_with_extra_bytes_after_response_is_not_reused() -> None:
    async def test() -> None:
        server = await FakeServer(respond_with(OK_RESPONSE + OK_RESPONSE)).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            for _ in range(3):
                assert (await client.send_request(build_request()))[2] == b"done"
            assert server.connection_count == 3

    run(test())


def test_server_connection_is_reused() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            for _ in range(3):
                assert (await client.send_request(build_request()))[0] == 200
            assert server.connection_count == 1

    run(test())


def test_disconnected_client_leaves_no_state_behind() -> None:
    async def test() -> None:
        server = await FakeServer(never_respond).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            client.writer.write(build_request())
            await asyncio.wait_for(server.requests.get(), TIMEOUT_S)
            client.writer.close()
            await fixture.next_event(Withdrawn)
            assert (await fixture.next_outcome()).result == Result.CANCELLED
            await asyncio.wait_for(server.closed_connections.get(), TIMEOUT_S)
            node = fixture.node
            assert not node.pending_requests and not node.pool.attempts and not node.listener.connections

    run(test())


def test_cancelled_dial_leaves_no_connection_behind() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            pool, client = fixture.node.pool, await fixture.connect_client()
            send = fixture.node.send_attempt

            def send_then_cancel(action: Send) -> None:
                send(action)
                asyncio.get_running_loop().call_soon(pool.cancel, action.id, 0)

            fixture.node.action_handlers[Send] = send_then_cancel
            assert (await client.send_request(build_request()))[0] == 503
            assert (await fixture.next_outcome()).result == Result.CANCELLED
            fixture.node.action_handlers[Send] = send
            assert (await client.send_request(build_request()))[0] == 200
            assert pool.pending_connects == 0 and len(pool.connections) == 1 and not pool.attempts

    run(test())


def test_cancel_at_connection_made_closes_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    connection_made = ServerConnection.connection_made

    def cancel_when_made(self: ServerConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(self, transport)
        for request_id, number in list(self.pool.attempts):
            self.pool.cancel(request_id, number)

    monkeypatch.setattr(ServerConnection, "connection_made", cancel_when_made)

    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            assert (await (await fixture.connect_client()).send_request(build_request()))[0] == 503
            assert (await fixture.next_outcome()).result == Result.CANCELLED
            await asyncio.wait_for(server.closed_connections.get(), TIMEOUT_S)
            assert server.requests.empty() and not fixture.node.pool.connections

    run(test())


def test_bytes_on_idle_server_connection_close_it(caplog: pytest.LogCaptureFixture) -> None:
    writers: list[asyncio.StreamWriter] = []

    async def keep_writer(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        writer.write(OK_RESPONSE)

    async def test() -> None:
        server = await FakeServer(keep_writer).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(build_request()))[0] == 200
            writers[0].write(OK_RESPONSE.replace(b"done", b"late"))
            await asyncio.wait_for(server.closed_connections.get(), TIMEOUT_S)
            assert not caplog.records  # closed on purpose, not by an exception
            assert (await client.send_request(build_request()))[2] == b"done"
            assert server.connection_count == 2

    run(test())


def test_upgrade_request_is_served_and_its_connection_is_kept() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            client = await fixture.connect_client()
            data = build_request() + build_request(Connection="upgrade", Upgrade="websocket")
            assert (await client.send_request(data))[0] == 200
            assert (await client.read_response())[0] == 200
            assert (await client.send_request(build_request()))[0] == 200

    run(test())


def test_policy_gets_class_tenant_key_hint_and_retry_mark() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start(), tenants={b"acme": 0, b"ajax": 1}) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(build_request(Tenant="nobody")))[0] == 400
            data = build_request("book", key="ride/42", Tenant="ajax", Work_Hint="2500", Client_Retry="1")
            assert (await client.send_request(data))[0] == 200
            event = await fixture.next_event(Request)
            assert (event.cls, event.tenant, event.key) == (1, 1, stable_id(b"42"))
            assert (event.hint, event.repeat) == (2.5, True)
            assert (await client.send_request(build_request(Tenant="acme", Work_Hint="much")))[0] == 200
            event = await fixture.next_event(Request)
            assert (event.cls, event.tenant, event.hint, event.repeat) == (0, 0, 0.0, False)

    run(test())


def test_white_space_around_header_values_is_removed() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server, tenants={b"acme": 0}) as fixture:
            data = build_request(
                "book", Tenant="acme \t", Request_Timeout=" 8000m ", Idempotency_Key="\t5c0f "
            )
            assert (
                await (await fixture.connect_client()).send_request(
                    data.replace(b"Request-Timeout: 8000m\r\n", b"")
                )
            )[0] == 200
            forwarded = await server.requests.get()
            assert (header_value(forwarded, b"Tenant"), header_value(forwarded, b"Idempotency-Key")) == (
                b"acme",
                b"5c0f",
            )

    run(test())


def test_forwarded_timeout_leaves_margin_for_response() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            assert (await (await fixture.connect_client()).send_request(build_request(timeout="3000m")))[
                0
            ] == 200
            left = header_value(await server.requests.get(), b"Request-Timeout")
            assert left is not None and int(left[:-1]) <= 3000 - CLIENT_TIMEOUT_MARGIN_MS

    run(test())


def test_margin_is_small_for_short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connections, "now_ms", lambda: 1000.0)

    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            client = await fixture.connect_client()
            client.writer.write(build_request(timeout="45m"))
            due = (await fixture.next_event(Request)).due
            assert 1035.0 <= due < 1045.0

    run(test())


def test_pipelined_requests_get_responses_in_order() -> None:
    async def echo(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        name = head.split(b" ")[1].rpartition(b"/")[2]
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(name), name))

    async def test() -> None:
        async with run_node(await FakeServer(echo).start()) as fixture:
            client = await fixture.connect_client()
            client.writer.write(b"".join(build_request(key=f"k{i}") for i in range(40)))
            for i in range(40):
                assert (await client.read_response())[2] == b"k%d" % i

    run(test())


def test_pipelined_requests_all_get_responses_when_node_stops() -> None:
    release = asyncio.Event()

    async def delayed_response(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(OK_RESPONSE)

    async def test() -> None:
        server = await FakeServer(delayed_response).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            client.writer.write(repeat_requests(build_request(), 3))
            await asyncio.wait_for(server.requests.get(), TIMEOUT_S)
            fixture.node.stopping = True
            release.set()
            for connection in (None, None, b"close"):
                status, head, _ = await client.read_response()
                assert (status, header_value(head, b"Connection")) == (200, connection)
            assert await client.read_until_close() == b""

    run(test())


def test_many_immediate_responses_do_not_nest_calls() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            await asyncio.wait_for(
                fixture.node.list_confirmed.wait(), TIMEOUT_S
            )  # before that the node is not ready
            client = await fixture.connect_client()
            client.writer.write(b"GET /_health HTTP/1.1\r\n\r\n" * 3000)
            for _ in range(3000):
                assert (await client.read_response())[0] == 200

    run(test())


INVALID_REQUESTS = [
    (b"nonsense\r\n\r\n", 400, True),
    (build_request().replace(b"Request-Id", b"X-Id"), 400, False),
    (build_request().replace(b"Request-Timeout", b"X-Timeout"), 400, False),
    (build_request(timeout="soon"), 400, False),
    (build_request(timeout="-5m"), 400, False),
    (build_request(Request_ID="twice"), 400, False),
    (build_request("book").replace(b"Idempotency-Key", b"X-Key"), 400, False),
    (build_request("pay", Idempotency_Key="5c0f"), 400, False),
    (build_request(Content_Length="1") + b"x", 400, False),
    (build_request("unknown"), 404, False),
    (build_request().replace(b"GET", b"PUT"), 405, False),
    (build_request("pay").replace(b"POST", b"GET"), 405, False),
    (build_request("pay", Content_Length="33554433") + bytes(70000), 413, True),
    (build_request("pay", Content_Length="33554433", Expect="100-continue"), 413, True),
    (build_request("pay", Content_Length="4", Transfer_Encoding="chunked") + b"0\r\n\r\n", 400, True),
    (
        build_request("pay", Content_Length="4").replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\n")
        + b"ride",
        400,
        True,
    ),
    (build_request(Transfer_Encoding="gzip, chunked") + b"0\r\n\r\n", 501, True),
    (build_request(Transfer_Encoding="chunked, gzip") + b"0\r\n\r\n", 400, True),
    (build_request(Transfer_Encoding="chunked").replace(b"HTTP/1.1", b"HTTP/1.0") + b"0\r\n\r\n", 400, True),
    (build_request().replace(b"HTTP/1.1", b"HTTP/2.0"), 505, True),
    (build_request("pay", Content_Length="70000").replace(b"Request-Id", b"X-Id") + bytes(70000), 400, True),
    (build_request(X="y" * 20000), 431, True),
    (b"GET /" + b"a" * 20000, 431, True),
    (b"GET /find/1 HTTP/1.1\r\nX: " + b"a" * 20000, 431, True),
]


@pytest.mark.parametrize(("data", "status", "ends"), INVALID_REQUESTS, ids=range(len(INVALID_REQUESTS)))
def test_invalid_request_is_rejected_and_not_forwarded(data: bytes, status: int, ends: bool) -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(data))[0] == status
            assert server.requests.empty()
            if ends:
                assert await client.read_until_close() == b""
                client = await fixture.connect_client()
            assert (await client.send_request(build_request()))[0] == 200

    run(test())


def test_policy_exception_fails_only_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            client = await fixture.connect_client()
            handle = fixture.node.policy.handle

            def raise_error(now: float, event: object) -> Any:
                raise RuntimeError("broken on purpose")

            fixture.node.policy.handle = raise_error  # type: ignore[method-assign]
            assert (await client.send_request(build_request()))[0] == 500
            fixture.node.policy.handle = handle  # type: ignore[method-assign]
            assert (await client.send_request(build_request()))[0] == 200
            assert not fixture.node.pending_requests

    run(test())
    assert "broken on purpose" in caplog.text


@pytest.mark.parametrize(
    "line",
    [
        b'{"generation": 2, "reset": true, "instances": [{}]}',
        b'{"generation": 2, "reset": true, "instances": 7}',
        b'{"generation": 1e999, "reset": true, "instances": []}',
        b"[" * 100_000,
        b"[]",
        b"{",
    ],
    ids=range(6),
)
def test_malformed_watch_line_keeps_list_and_fetches_full_list(line: bytes) -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            client, calls = await fixture.connect_client(), fixture.discovery.request_targets
            assert await calls.get() == WATCH_TARGET
            fixture.discovery.watch_lines.put_nowait(line + b"\n")
            assert await asyncio.wait_for(calls.get(), TIMEOUT_S) == "/catalog/members"
            assert await asyncio.wait_for(calls.get(), TIMEOUT_S) == WATCH_TARGET
            # Only after the full list has arrived: a change in the malformed line counts as known.
            assert (await client.send_request(build_request()))[0] == 200

    run(test())


def test_ended_watch_resumes_at_its_version() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            calls = fixture.discovery.request_targets
            assert await calls.get() == WATCH_TARGET
            fixture.discovery.push_update(5, [server.list_entry("s-1", "leaving")])
            fixture.discovery.watch_lines.put_nowait(None)
            assert await asyncio.wait_for(calls.get(), TIMEOUT_S) == "/catalog/members?watch=1&from=5"
            assert fixture.node.pool.servers[stable_id(b"s-1")].state is State.DRAINING

    run(test())


def test_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "WATCH_IDLE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            for _ in range(3):
                call = await asyncio.wait_for(fixture.discovery.request_targets.get(), TIMEOUT_S)
                assert call == WATCH_TARGET
            listed = fixture.node.endpoint_updates.listed
            assert fixture.node.healthy and not fixture.node.pool.servers.keys() - listed

    run(test())


def test_expect_continue_gets_100_response() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            client = await fixture.connect_client()
            head, body = build_request("book", body=b"ride", Expect="100-continue")[:-4], b"ride"
            assert (await client.send_request(head))[0] == 100
            assert (await client.send_request(body))[0] == 200

    run(test())


def test_health_check_fails_without_list() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server, known_list={}) as fixture:
            client = await fixture.connect_client()
            await fixture.next_event(ServerList)
            assert (await client.send_request(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
            fixture.node.healthy = False
            assert (await client.send_request(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 503

    run(test())


@pytest.mark.parametrize("asks", [False, True], ids=["pushed", "asked for"])
def test_restarted_node_with_pushed_lists_waits_for_first_list(
    asks: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    health = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"

    async def test() -> None:
        server = await FakeServer().start()
        # Where lists are pushed, the list may be used for half the grace after discovery is known to be down.
        # This test sets a grace.
        rules = Settings(classes=(SAFE,) * 3, max_attempts=1, ask_for_list=asks, drain_grace=4000 * TIMEOUT_S)
        async with run_node(server, settings=rules) as fixture:
            await asyncio.wait_for(
                fixture.node.list_confirmed.wait(), TIMEOUT_S
            )  # confirmed by an empty line: no changes
        # From here on discovery stays silent.
        monkeypatch.setattr(discovery.Discovery, "run", lambda self: asyncio.Event().wait())
        async with run_node(server, settings=rules, wait_for_list=False) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(health))[0] == (200 if asks else 503)
            # Pushed changes since the list from before the restart count as known.
            assert (await client.send_request(build_request()))[0] == (200 if asks else 503)
            fixture.node.on_list(
                {"generation": 2, "reset": True, "instances": [server.list_entry("s-1")]}, True
            )
            fixture.node.on_reach(Reach.CONFIRMED, now_ms())
            assert (await client.send_request(health))[0] == 200
            assert (await client.send_request(build_request()))[0] == 200
        monkeypatch.setattr(node, "CACHED_LIST_WAIT_S", 0.0)
        async with run_node(server, settings=rules, wait_for_list=False) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(health))[0] == (200 if asks else 503)
            fixture.node.on_reach(Reach.UNREACHABLE, now_ms())  # discovery is down: the earlier list is used
            assert (await client.send_request(health))[0] == 200
            assert (await client.send_request(build_request()))[0] == 200

    run(test())


def test_late_outcome_reaches_policy_but_not_client() -> None:
    async def test() -> None:
        server = await FakeServer(never_respond).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            client.writer.write(build_request())
            await asyncio.wait_for(server.requests.get(), TIMEOUT_S)
            fixture.node.send_final_response(fixture.node.last_id, 502)
            fixture.node.pool.cancel(fixture.node.last_id, 0)
            assert (await client.read_response())[0] == 502
            outcome: Outcome = await fixture.next_outcome()
            assert outcome.over and outcome.result == Result.CANCELLED

    run(test())


def test_request_with_too_short_timeout_is_refused_at_once() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            assert (await (await fixture.connect_client()).send_request(build_request(timeout="20m")))[
                0
            ] == 503
            assert server.requests.empty()

    run(test())


def test_keyed_request_that_may_have_run_is_retried_with_its_key() -> None:
    async def test() -> None:
        servers = [await FakeServer(abort_connection).start(), await FakeServer(abort_connection).start()]
        async with run_node(*servers, max_attempts=4) as fixture:
            fixture.node.policy.random.random = lambda: 0.99  # type: ignore[method-assign]  # no draw prevents a retry
            data = build_request("book")
            assert (await (await fixture.connect_client()).send_request(data))[0] == 503
            for server in servers:
                forwarded = await asyncio.wait_for(server.requests.get(), TIMEOUT_S)
                assert header_value(forwarded, b"Idempotency-Key") == b"5c0f"
                assert header_value(forwarded, b"Request-Id") == header_value(data, b"Request-Id")

    run(test())


def test_server_connection_idle_for_too_long_is_not_reused() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server, idle_timeout_ms=0.0) as fixture:
            client = await fixture.connect_client()
            for _ in range(2):
                assert (await client.send_request(build_request()))[0] == 200
            assert server.connection_count == 2

    run(test())


def test_idle_limit_shrinks_when_servers_close_earlier(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = [1000.0]
    for module in (client_connections, connection_pool, node, server_connections):
        monkeypatch.setattr(module, "now_ms", lambda: clock[0])
    last: dict[asyncio.StreamWriter, float] = {}

    async def short_lived(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        if clock[0] - last.get(writer, clock[0]) > 100:
            writer.transport.abort()
        last[writer] = clock[0]
        writer.write(OK_RESPONSE)

    async def test() -> None:
        async with run_node(await FakeServer(short_lived).start()) as fixture:
            client, answers = await fixture.connect_client(), []
            for _ in range(8):
                for _ in range(8):
                    clock[0] += connection_pool.CONNECTION_REUSE_DELAY_MS
                    answers.append((await client.send_request(build_request("pay")))[0])
                clock[0] += 500
            assert answers.count(502) == 3
            assert answers[-24:] == [200] * 24

    run(test())


def test_resets_at_every_idle_time_keep_idle_limit_and_old_ones_expire() -> None:
    limit = IdleLimit(28000.0)
    for step in range(400):
        limit.record_use(10.0 if step % 2 else 70.0, reset=step % 20 < 2)
    assert limit.limit_ms == 28000.0
    for _ in range(100):
        limit.record_use(120.0, reset=True)
    assert limit.limit_ms <= 100.0
    for _ in range(60):
        limit.on_sweep()
    assert limit.limit_ms == 28000.0


def test_longest_idle_client_is_evicted_at_descriptor_limit() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start(), sockets=96) as fixture:
            limit = fixture.node.listener.max_connections
            clients = [await fixture.connect_client() for _ in range(limit)]
            for client in clients:
                assert (await client.send_request(build_request()))[0] == 200
            newest = await fixture.connect_client()
            assert (await newest.send_request(build_request()))[0] == 200
            assert await clients[0].read_until_close() == b""
            assert (await clients[1].send_request(build_request()))[0] == 200
            assert len(fixture.node.listener.connections) == limit

    run(test())


@pytest.mark.parametrize("ask", [False, True])
def test_lingering_connections_count_against_descriptor_limit(ask: bool) -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start(), sockets=96) as fixture:
            listener, max_open = fixture.node.listener, 0
            clients = []
            for _ in range(2 * listener.max_connections):
                clients.append(await fixture.connect_client())
                if ask:
                    assert (await clients[-1].send_request(build_request()))[0] == 200
                max_open = max(max_open, len(listener.connections) + len(listener.lingering))
            assert max_open <= listener.max_connections
            assert (await (await fixture.connect_client()).send_request(build_request()))[0] == 200

    run(test())


def test_server_connections_stay_under_their_limit() -> None:
    async def test() -> None:
        servers = [await FakeServer(never_respond).start() for _ in range(3)]
        async with run_node(*servers) as fixture:
            fixture.node.pool.max_connections = 0
            assert (await (await fixture.connect_client()).send_request(build_request()))[0] == 503
            assert (
                await fixture.next_outcome()
            ).result == Result.NOT_SENT  # it says nothing about the server
            assert not any(server.connection_count for server in servers)

    run(test())


def test_request_that_never_completes_gets_408(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connections, "REQUEST_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(b"GET /find/1 HTTP/1.1\r\nHost:"))[0] == 408
            assert await client.read_until_close() == b""

    run(test())


class TimerCountingLoop:
    """The event loop, with a count of the timers for requests that have not arrived completely."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.request_timers = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    def call_later(self, delay_s: float, callback: Any, *arguments: Any) -> asyncio.TimerHandle:
        self.request_timers += callback.__name__ == "on_request_timeout"
        return self.loop.call_later(delay_s, callback, *arguments)


# Guards against: a flood of requests takes memory for a timer each until the loop's iteration ends.
def test_request_that_arrives_whole_starts_no_timer() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            loop = TimerCountingLoop(asyncio.get_running_loop())
            fixture.node.listener.loop = loop  # type: ignore[assignment]
            client = await fixture.connect_client()
            assert (await client.send_request(build_request("pay", body=b"job")))[0] == 200
            assert loop.request_timers == 0
            data = b"GET /_health HTTP/1.1\r\n\r\n" * 1000
            client.writer.write(data)
            for _ in range(1000):
                assert (await client.read_response())[0] == 200
            # A read may end within a request. Small segments may make reads smaller than they could be.
            assert loop.request_timers <= 4 * len(data) // client_connections.HEAD_READ_BYTES

    run(test())


@pytest.mark.parametrize(
    "data",
    [b"", b"GET /find/1 HTTP/1.1\r\nHost:", b"GET /_health HTTP/1.1\r\n\r\n", build_request("unknown")],
    ids=["nothing", "part", "health", "improper"],
)
def test_connection_without_valid_request_is_closed(data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_listener, "FIRST_REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_S", 0.02)

    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            valid, invalid = await fixture.connect_client(), await fixture.connect_client()
            assert (await valid.send_request(build_request()))[0] == 200
            invalid.writer.write(data)
            await invalid.read_until_close()
            assert (await valid.send_request(build_request()))[0] == 200

    run(test())


def test_connections_without_valid_request_are_evicted_first() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start(), sockets=96) as fixture:
            limit = fixture.node.listener.max_connections
            valid = await fixture.connect_client()
            assert (await valid.send_request(build_request()))[0] == 200
            clients = [await fixture.connect_client() for _ in range(limit)]
            for client in clients[-5:]:
                assert (await client.send_request(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            assert await clients[0].read_until_close() == b""
            assert (await valid.send_request(build_request()))[0] == 200
            assert len(fixture.node.listener.connections) <= limit

    run(test())


def test_slow_first_request_is_evicted_after_silent_stalled_and_idle_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_listener, "FIRST_REQUEST_STALL_S", 1.0)

    async def test() -> None:
        async with run_node(await FakeServer().start(), sockets=96) as fixture:
            limit = fixture.node.listener.max_connections
            idle = await fixture.connect_client()
            assert (await idle.send_request(build_request()))[0] == 200
            stopped, slow, silent = [await fixture.connect_client() for _ in range(3)]
            stopped.writer.write(build_request()[:20])
            data = build_request()
            for i in range(0, len(data), 16):
                slow.writer.write(data[i : i + 16])
                await asyncio.sleep(0.15)
                if i == 128:  # the stalled client is over the limit by now
                    clients = [await fixture.connect_client() for _ in range(limit - 4)]
                    for client in clients:
                        assert (await client.send_request(build_request()))[0] == 200
                    for first in (silent, stopped, idle):
                        assert not first.reader.at_eof()
                        newest = await fixture.connect_client()
                        assert (await newest.send_request(build_request()))[0] == 200
                        assert await first.read_until_close() == b""
            assert (await slow.read_response())[0] == 200

    run(test())


def test_connections_use_tcp_nodelay() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start()) as fixture:
            assert (await (await fixture.connect_client()).send_request(build_request()))[0] == 200
            (client,) = fixture.node.listener.connections
            (server,) = fixture.node.pool.servers[stable_id(b"s-1")].idle
            for connection in (client, server):
                connection_socket = connection.transport.get_extra_info("socket")
                assert connection_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(test())


@settings(max_examples=40, derandomize=True, database=None, deadline=None)
@given(data=st.lists(st.sampled_from([b"GET ", b"/find/a", b" HTTP/1.1", b"\r\n", b"\r\n\r\n", b"Host: x",
                                      b"Content-Length: 3", b"Request-Id: 1", b"\x00", b"a", b"Upgrade: x",
                                      b"Connection: upgrade", b"Transfer-Encoding: chunked"])
                     | st.binary(max_size=20), max_size=30).map(b"".join))  # fmt: skip
def test_node_survives_any_client_input(data: bytes) -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            invalid = await fixture.connect_client()
            invalid.writer.write(data)
            invalid.writer.write_eof()
            with suppress(ConnectionError):  # a reset is allowed too
                await invalid.read_until_close()
            assert server.requests.empty()
            assert (await (await fixture.connect_client()).send_request(build_request()))[0] == 200
            assert not fixture.node.pending_requests

    run(test())


@settings(max_examples=20, derandomize=True, database=None, deadline=None)
@given(cuts=st.lists(st.integers(min_value=1, max_value=200), max_size=8))
def test_request_may_arrive_in_parts(cuts: list[int]) -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            client, data = await fixture.connect_client(), build_request("book", body=b"x" * 40)
            offsets = [0, *sorted(cuts), len(data)]
            for start, end in zip(offsets, offsets[1:], strict=False):
                client.writer.write(data[start:end])
                await asyncio.sleep(0)
            assert (await client.read_response())[0] == 200
            assert (await server.requests.get()).endswith(b"x" * 40)

    run(test())
