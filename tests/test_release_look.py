"""Snapshots of the farm from valid, incomplete and invalid responses."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

import pytest

from flaxstep.rollout.farm import Farm, NodeConfig
from flaxstep.rollout.io import http_client
from flaxstep.rollout.io.snapshot_collector import collect_snapshot
from flaxstep.rollout.snapshot import Snapshot

STATS = "edge_router.results.build.succeeded:7|c\nedge_router.results.build.declined:2|c\n"
STATS += "edge_router.results.build.aborted:1|c\nedge_router.outstanding:3|g"
SERVER = {"out": 2, "cordoned": True, "started": 5, "classes": {}}
BUILD = {"ok": 3, "failed": 1, "unstarted": 0, "took": [[8, 2], [9, 1]]}
LIST = {"instances": [{"instanceId": "s-1", "hostPort": "h:1", "zone": "a", "lifecycle": "active"}]}
GOOD = {
    "/admin/health": (200, "ready"),
    "/admin/stats": (200, STATS),
    "/admin/servers": (200, json.dumps({"s-1": SERVER | {"classes": {"build": BUILD}}})),
    "/catalog/members": (200, json.dumps(LIST)),
}
Responses = dict[str, tuple[int, str] | bytes]


async def snapshot_of(responses: Responses) -> Snapshot:
    """Collect a snapshot of a node and a list service with these responses; bytes are sent unchanged."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
        response = responses[path]
        if isinstance(response, tuple):
            status, body = response
            response = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body.encode())
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with server:
        return await collect_snapshot(Farm("farm", address, "state", (NodeConfig("n0", (address,)),)), 3.0)


def test_a_snapshot_holds_the_counters_and_the_list() -> None:
    snapshot = asyncio.run(snapshot_of(dict(GOOD)))
    [process] = snapshot.nodes["n0"].processes
    held = process.servers["s-1"]
    assert process.ready and process.reports_servers and process.results == {"build": (7, 2, 1)}
    assert (held.in_flight, held.cordoned, held.started_ms) == (2, True, 5)
    assert held.classes["build"].latencies == Counter({8: 2, 9: 1})
    assert (
        snapshot.in_flight("s-1") == 2
        and snapshot.cordoned_anywhere("s-1")
        and snapshot.cordoned_everywhere("s-1")
    )
    assert snapshot.listed is not None and snapshot.listed["s-1"].address == "h:1"


BEFORE = {"s-1": {name: value for name, value in SERVER.items() if name != "cordoned"}}


@pytest.mark.parametrize(
    ("changed", "health", "why"),
    [
        ({"/admin/health": (503, "quiesced")}, "quiesced", ""),
        ({"/admin/servers": (404, "no such call")}, "ready", ""),  # of an older version
        ({"/admin/servers": (200, json.dumps(BEFORE))}, "ready", ""),
        ({"/admin/stats": (500, "failed")}, "", "status 500"),
        ({"/admin/servers": (200, "{")}, "", "cannot parse"),
        ({"/admin/servers": (200, '{"s-1": 3}')}, "", "cannot parse"),
        ({"/admin/servers": b"what?\r\n\r\n"}, "", "invalid response"),
        ({"/admin/health": b""}, "", "ended without a response"),
        (
            {"/admin/servers": b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\n{}"},
            "",
            "ended in the middle of its response",
        ),
    ],
)
def test_incomplete_and_invalid_responses_of_an_admin_port(
    changed: dict[str, Any], health: str, why: str
) -> None:
    snapshot = asyncio.run(snapshot_of(GOOD | changed))
    node = snapshot.nodes["n0"]
    assert [process.health for process in node.processes] == ([health] if health else [])
    assert why in node.error
    if health == "ready":  # it can't tell what is in flight, so nothing may be restarted
        assert not node.processes[0].reports_servers and snapshot.in_flight("s-1") is None


@pytest.mark.parametrize("answer", [(503, "late"), (200, "[]"), (200, '{"instances": [{}]}'), b""])
def test_a_failed_list_call_yields_none_and_not_an_empty_list(answer: Any) -> None:
    assert asyncio.run(snapshot_of(GOOD | {"/catalog/members": answer})).listed is None


def test_a_silent_admin_port_is_waited_for_no_longer_than_the_timeout() -> None:
    async def silent() -> tuple[int, str]:
        server = await asyncio.start_server(lambda *_: asyncio.sleep(5), "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            return await http_client.call_text(address, "GET", "/admin/health", seconds=0.05)
        finally:
            server.close()

    assert asyncio.run(silent()) == (0, "no response within 0.05 s")
