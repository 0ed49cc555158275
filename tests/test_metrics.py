"""The metrics at the admin port, compared with what clients and servers saw."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from flaxstep.proxy.metrics import Metrics, ServerMetrics
from flaxstep.routing.interface import ListKind, Result, ServerList
from flaxstep.routing.policy import Policy
from tests.net import (
    EFFECT_BY_CLASS,
    OK_RESPONSE,
    FakeServer,
    NodeFixture,
    abort_connection,
    build_request,
    never_respond,
    repeat_requests,
    respond_ok,
    respond_with,
    run_node,
)
from tests.support import make_server_entry, make_settings
from tests.test_admin import ADMIN_ADDRESS, wait_until
from tests.test_node import run


async def stats(stand: NodeFixture) -> dict[str, int]:
    status, text = await stand.call_admin("GET", "stats")
    assert status == 200
    found = {}
    for line in text.splitlines():
        name, _, value = line.partition(":")
        value, _, kind = value.partition("|")
        assert kind == ("g" if name.split(".")[-1] in ("outstanding", "discovered", "ejected") else "c")
        assert name.startswith("edge_router.") and name not in found
        found[name.removeprefix("edge_router.")] = int(value)
    return found


def test_every_documented_metric_is_reported_from_the_start() -> None:
    async def test() -> None:
        async with run_node(
            await FakeServer().start(), await FakeServer().start(), admin=ADMIN_ADDRESS
        ) as stand:
            zero = {
                f"results.{c}.{o}": 0 for c in EFFECT_BY_CLASS for o in ("succeeded", "declined", "aborted")
            }
            gauges = {"outstanding": 0, "discovered": 2, "ejected": 0}
            assert await stats(stand) == zero | gauges | {"forwards": 0}

    run(test())


def test_lines_have_the_statsd_format() -> None:
    metrics = Metrics(["find"])
    for status in (200, 503, 429, 502, 500):
        metrics.record_outcome(0, status)
    assert metrics.to_statsd({"outstanding": 14}).splitlines() == [
        "edge_router.results.find.succeeded:1|c",
        "edge_router.results.find.declined:2|c",
        "edge_router.results.find.aborted:2|c",
        "edge_router.forwards:0|c",
        "edge_router.outstanding:14|g",
    ]


def test_an_outcome_is_counted_once_for_its_class_and_each_attempt_as_a_forward() -> None:
    full = respond_with(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        peers = [await FakeServer().start(), await FakeServer(full).start()]
        async with run_node(*peers, max_attempts=3, admin=ADMIN_ADDRESS) as stand:
            client = await stand.connect_client()
            for _ in range(8):
                assert (await client.send_request(build_request("book")))[0] == 200
            for peer in peers:
                peer.script = abort_connection
            assert (await client.send_request(build_request("pay")))[0] == 502
            for peer in peers:
                peer.script = full
            assert (await client.send_request(build_request("find")))[0] == 503
            assert (await client.send_request(build_request(Request_ID="twice")))[
                0
            ] == 400  # malformed: not counted
            found = await stats(stand)
            assert found["results.book.succeeded"] == 8
            assert found["results.pay.aborted"] == 1
            assert found["results.find.declined"] == 1
            assert sum(n for name, n in found.items() if name.startswith("results.")) == 10
            assert found["forwards"] == sum(peer.requests.qsize() for peer in peers) > 10

    run(test())


def test_pending_and_pipelined_requests_are_outstanding_until_they_end() -> None:
    release = asyncio.Event()

    async def held_back(peer: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(OK_RESPONSE)

    async def test() -> None:
        peer = await FakeServer(held_back).start()
        async with run_node(peer, admin=ADMIN_ADDRESS) as stand:
            client, leaver = await stand.connect_client(), await stand.connect_client()
            client.writer.write(repeat_requests(build_request(), 3))
            leaver.writer.write(build_request())
            await wait_until(lambda: len(stand.node.pending_requests) == 2)
            assert (await stats(stand))["outstanding"] == 4
            leaver.writer.close()
            await wait_until(lambda: len(stand.node.pending_requests) == 1)
            assert (await stats(stand))["outstanding"] == 3
            release.set()
            for _ in range(3):
                assert (await client.read_response())[0] == 200
            found = await stats(stand)
            assert (found["outstanding"], found["results.find.succeeded"]) == (0, 3)

    run(test())


def test_servers_count_as_discovered_while_listed() -> None:
    async def test() -> None:
        peers = [await FakeServer().start() for _ in range(3)]
        async with run_node(*peers, admin=ADMIN_ADDRESS) as stand:
            stand.discovery.push_update(
                2, [peers[0].list_entry("s-1", "leaving"), peers[1].list_entry("s-2", "left")]
            )
            while (await stand.next_event(ServerList)).version != 2:
                pass
            assert (await stats(stand))["discovered"] == 2

    run(test())


def test_a_server_is_avoided_only_while_it_is_ejected_for_every_class() -> None:
    policy = Policy(make_settings(), 1)
    policy.handle(0.0, ServerList(ListKind.CACHED, 1, [make_server_entry(i) for i in range(8)]))
    for cls, health in enumerate(policy.endpoints[3].health):
        assert not policy.find_avoided_servers(10.0)
        health.ejected_until = 100.0 + cls
    assert policy.find_avoided_servers(10.0) == {3}
    assert not policy.find_avoided_servers(100.0)


async def by_server(stand: NodeFixture) -> dict[str, Any]:
    status, text = await stand.call_admin("GET", "servers")
    assert status == 200
    found: dict[str, Any] = json.loads(text)
    return found


def test_results_are_reported_by_server_and_class_with_cordons() -> None:
    full = respond_with(b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        peers = [
            await FakeServer().start(),
            await FakeServer(full).start(),
            await FakeServer(abort_connection).start(),
        ]
        async with run_node(*peers, admin=ADMIN_ADDRESS) as stand:
            client = await stand.connect_client()
            codes = [(await client.send_request(build_request("book")))[0] for _ in range(30)]
            found = await by_server(stand)
            assert list(found) == ["s-1", "s-2", "s-3"]
            got = {name: found[name]["classes"]["book"] for name in found}
            assert sum(count for _, count in got["s-1"]["took"]) == got["s-1"]["ok"] == codes.count(200)
            assert (got["s-2"]["ok"], got["s-2"]["failed"]) == (0, 0) and got["s-2"]["unstarted"] > 0
            assert (got["s-3"]["ok"], got["s-3"]["unstarted"]) == (0, 0) and got["s-3"]["failed"] > 0
            assert found["s-1"]["classes"]["pay"] == {"ok": 0, "failed": 0, "unstarted": 0, "took": []}
            assert all(line["out"] == 0 for line in found.values())
            for call, out in (("cordon", [False, True, False]), ("uncordon", [False] * 3)):
                assert (await stand.call_admin("POST", call, b"s-2"))[0] == 200
                assert [line["cordoned"] for line in (await by_server(stand)).values()] == out

    run(test())


def test_attempts_in_flight_are_reported_and_a_restart_resets_the_counts() -> None:
    async def test() -> None:
        peer = await FakeServer(never_respond).start()
        async with run_node(peer, admin=ADMIN_ADDRESS) as stand:
            client = await stand.connect_client()
            client.writer.write(build_request())
            await peer.requests.get()
            assert (await by_server(stand))["s-1"]["out"] == 1
            peer.script = respond_ok
            other = await stand.connect_client()
            while (await other.send_request(build_request()))[0] != 200:
                pass
            before = (await by_server(stand))["s-1"]
            assert before["started"] == 0 and before["classes"]["find"]["ok"] == 1
            started = 1_700_000_000_000
            stand.discovery.push_update(2, [peer.list_entry(started_at_ms=started)])
            await stand.next_event(ServerList)
            while (after := (await by_server(stand))["s-1"])["started"] == 0:
                pass
            assert abs(after["started"] - started) <= 1 and after["classes"]["find"]["ok"] == 0
            stand.discovery.push_update(3, [peer.list_entry(lifecycle="left")])
            while await by_server(stand):
                pass

    run(test())


def test_four_buckets_double_the_response_time_and_the_last_has_the_rest() -> None:
    metrics = ServerMetrics(["find"])
    metrics.add_server(1, "s-1", 0.0)
    for took in (0.0, 1.0, 3.0, 100.0, 1e9):
        metrics.record_attempt(1, 0, Result.OK, took)
    metrics.record_attempt(2, 0, Result.OK, 1.0)  # not listed, so not counted
    buckets = json.loads(metrics.report({}, set()))["s-1"]["classes"]["find"]["took"]
    assert buckets == [[0, 1], [4, 1], [8, 1], [26, 1], [63, 1]]
    for took, (bucket, _) in zip((0.0, 1.0, 3.0, 100.0), buckets, strict=False):
        assert 2 ** (bucket / 4) - 1 <= took < 2 ** ((bucket + 1) / 4) - 1
