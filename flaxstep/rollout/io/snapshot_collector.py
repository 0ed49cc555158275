"""Collects a snapshot of the farm: all admin ports and the list service, concurrently."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

from flaxstep.rollout.farm import Farm, NodeConfig
from flaxstep.rollout.io.http_client import CallError, call, call_text
from flaxstep.rollout.snapshot import (
    ListedServer,
    NodeView,
    ProcessView,
    ResponseCounters,
    ServerCounters,
    Snapshot,
)

MEMBERS_PATH = "/catalog/members"
LIST_TIMEOUT_S = 2.0
RESULTS_PREFIX = "edge_router.results."
OUTCOMES = ("succeeded", "declined", "aborted")


async def collect_snapshot(farm: Farm, at: float) -> Snapshot:
    nodes, listed = await asyncio.gather(
        asyncio.gather(*(collect_node(node) for node in farm.nodes)), fetch_server_list(farm.discovery)
    )
    return Snapshot(at, {node.name: node for node in nodes}, listed)


async def collect_node(node: NodeConfig) -> NodeView:
    found = await asyncio.gather(*(collect_process(admin_address) for admin_address in node.doors))
    processes = tuple(process for process in found if isinstance(process, ProcessView))
    errors = [why for why in found if isinstance(why, str)]
    return NodeView(node.name, processes, "" if processes else errors[0])


async def collect_process(admin_address: str) -> ProcessView | str:
    """The process at an admin address, or why there is no response."""
    status, health = await call_text(admin_address, "GET", "/admin/health")
    if not status:
        return health
    try:
        (servers_status, servers), (stats_status, stats) = await asyncio.gather(
            call(admin_address, "GET", "/admin/servers"), call(admin_address, "GET", "/admin/stats")
        )
        if servers_status not in (200, 404) or stats_status != 200:
            return f"counters: status {stats_status if servers_status == 200 else servers_status}, not 200"
        lines = json.loads(servers) if servers_status == 200 else {}
        server_counters = {name: parse_server_counters(line) for name, line in lines.items()}
        # Older versions of the node lack this call, or do not report cordons.
        reports_servers = servers_status == 200 and all("cordoned" in line for line in lines.values())
        health_state = "ready" if status == 200 else health
        return ProcessView(
            admin_address, health_state, server_counters, parse_results(stats), reports_servers
        )
    except CallError as error:
        return str(error)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return f"cannot parse its counters: {type(error).__name__}: {error}"


def parse_server_counters(line: dict[str, Any]) -> ServerCounters:
    classes = {
        cls: ResponseCounters(
            counters["ok"],
            counters["failed"],
            counters["unstarted"],
            Counter(dict(map(tuple, counters["took"]))),
        )
        for cls, counters in line["classes"].items()
    }
    return ServerCounters(line["out"], line.get("cordoned", False), line["started"], classes)


def parse_results(body: bytes) -> dict[str, tuple[int, int, int]]:
    """Requests served, refused and failed, by class; other metrics are ignored."""
    found: dict[str, dict[str, int]] = {}
    for line in body.decode().splitlines():
        name, _, value = line.partition(":")
        if name.startswith(RESULTS_PREFIX):
            cls, _, outcome = name.removeprefix(RESULTS_PREFIX).rpartition(".")
            found.setdefault(cls, {})[outcome] = int(value.partition("|")[0])
    return {
        cls: (counters[OUTCOMES[0]], counters[OUTCOMES[1]], counters[OUTCOMES[2]])
        for cls, counters in found.items()
    }


async def fetch_server_list(address: str) -> dict[str, ListedServer] | None:
    """The complete list; None if the list service did not respond."""
    try:
        status, body = await call(address, "GET", MEMBERS_PATH, seconds=LIST_TIMEOUT_S)
        if status != 200:
            return None
        lines = [parse_listed_server(line) for line in json.loads(body)["instances"]]
    except (CallError, ValueError, KeyError, TypeError):
        return None
    return {line.id: line for line in lines}


def parse_listed_server(line: dict[str, Any]) -> ListedServer:
    return ListedServer(
        str(line["instanceId"]),
        str(line["hostPort"]),
        str(line["zone"]),
        float(line.get("weight", 1.0)),
        str(line["lifecycle"]),
        int(line.get("startedAtMs", 0)),
    )
