"""What the processes of a play are told: settings and configuration of nodes, servers, discovery and
links."""

from __future__ import annotations

import time
from typing import Any

from flaxstep.faultbench.fake_service import Address
from flaxstep.simulator.config_types import Range
from flaxstep.simulator.fault_config import FaultConfig
from flaxstep.simulator.sampling import Plan
from flaxstep.simulator.scenario import Scenario

EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
# Where the rig's processes listen, at the address that is this rig's alone.
SERVERS, NODES, DOORS, LISTS, FRONTS, LINKS = 2000, 5000, 10000, 7500, 8500, 20000
DOORS_EACH = 4  # places for the doors of a node's processes, in turn: who leaves keeps its own for seconds


def settings(scenario: Scenario, plan: Plan, node: int) -> dict[str, Any]:
    """The settings object of a node, in the platform's names."""
    rules, clients = scenario.rules, scenario.clients
    return {
        "Allowed": {
            "ConnIdle": 1000.0 * scenario.conn.idle_s,
            "DialTimeout": scenario.conn.dial_timeout_ms,
            "MaxAttempts": rules.max_attempts,
            "MaxRetryAfter": clients.max_retry_after_ms,
            "MayCancel": True,
            "RetryAfter": True,
            "SecondCopies": False,
        },
        "Azs": [f"zone-{zone}" for zone in range(scenario.fleet.zones)],
        "Classes": [
            {
                "Aim": c.aim_ms,
                "Deadline": c.deadline_ms,
                "Group": c.group,
                "Idempotency": EFFECTS[c.effect],
                "LateValue": c.late_worth,
                "Name": c.name,
                "Window": c.window_ms,
                "Worth": c.worth,
            }
            for c in scenario.classes
        ],
        "Customers": [
            {"Name": t.name, "Portion": t.share, "QuotaPerS": quota}
            for t, quota in zip(scenario.tenants, plan.quotas, strict=True)
        ],
        "Discovery": scenario.discovery.mode,
        "GroupSize": len(plan.node_zones),
        "Kinds": [kind.name for kind in scenario.kinds],
        "Me": node,
        "MyZone": plan.node_zones[node],
        "Obligations": {
            "ColdFrom": rules.cold_from,
            "DrainGrace": rules.drain_grace_ms,
            "OverloadFor": rules.tip_ms,
            "RampTime": rules.ramp_ms,
            "TipMultiple": rules.tip_multiple,
        },
        "OverShareWorth": scenario.load.over_share_worth,
        "Tick": scenario.tick_ms,
    }


def entry(scenario: Scenario, plan: Plan, server: int, lifecycle: str, started_ms: int) -> dict[str, Any]:
    """A server in discovery's form, but for its address, which is each node's own."""
    line = plan.servers[server]
    return {
        "instanceId": server_id(server),
        "zone": f"zone-{line.zone}",
        "machineType": scenario.kinds[line.kind].name,
        "cell": line.cell,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


def server_id(server: int) -> str:
    return f"s-{server:04d}"


def names(name: str, plan: Plan, regions: dict[str, list[int]]) -> list[str]:
    """All names that an end goes by: its own, its kind's, its zone's, its region's."""
    kind, _, number = name.partition(":")
    found = [name, "*"]
    if number:
        found.append(f"{kind}s")
        zone = plan.node_zones[int(number)] if kind == "node" else plan.servers[int(number)].zone
        found.append(f"zone:{zone}")
        found += [f"region:{region}" for region, zones in regions.items() if zone in zones]
    return found


class FarmLinks:
    """Every link of a farm: who calls whom, where the caller finds it, and where it leads."""

    def __init__(self, scenario: Scenario, plan: Plan, host: str) -> None:
        self.plan, self.rig, self.host = plan, scenario.rig, host
        self.cross = plan.figures["net.cross_ms"] / 1000
        self.jitter = plan.figures["net.jitter"] * self.cross
        self.links: list[dict[str, Any]] = []
        nodes, servers = range(len(plan.node_zones)), range(len(plan.servers))
        self.to_nodes = [self.link("front", f"node:{n}", NODES + n) for n in nodes]
        self.to_lists = [self.link(f"node:{n}", "discovery", LISTS + n) for n in nodes]
        self.servers = [(host, SERVERS + s) for s in servers]
        # The way of a release's controller.
        self.to_doors = [
            [self.link("controller", f"node:{n}", DOORS + n * DOORS_EACH + k) for k in range(DOORS_EACH)]
            for n in nodes
        ]
        self.to_list = self.link("controller", "discovery", LISTS + len(nodes))
        self.to_pings = [self.link("controller", f"server:{s}", SERVERS + s) for s in servers]
        self.to_servers = [
            [self.link(f"node:{n}", f"server:{s}", SERVERS + s, noted=True) for s in servers] for n in nodes
        ]

    def link(self, caller: str, callee: str, port: int, noted: bool = False) -> Address:
        rig: FaultConfig = self.rig
        listens = (self.host, LINKS + len(self.links))
        ends = [names(name, self.plan, rig.regions) for name in (caller, callee)]
        zones = [{name for name in end if name.startswith("zone:")} for end in ends]
        far = all(zones) and zones[0] != zones[1]
        self.links.append(
            {
                "caller": caller,
                "callee": callee,
                "caller_names": ends[0],
                "callee_names": ends[1],
                "listen": listens,
                "target": (self.host, port),
                "noted": noted,
                "delay": self.cross if far else 0.0,
                "jitter": self.jitter if far else 0.0,
            }
        )
        return listens


def server_config(scenario: Scenario, plan: Plan, host: str, server: int) -> dict[str, Any]:
    """A job server's, but for its version, whether it is cold, and its record."""
    line, rules = plan.servers[server], scenario.rules
    return {
        "name": server_id(server),
        "host": host,
        "port": SERVERS + server,
        "server": {name: getattr(line, name) for name in line.__slots__},
        "choke": {name: getattr(plan.choke, name) for name in plan.choke.__slots__},
        "tip": (rules.tip_multiple, rules.tip_ms, rules.ramp_ms),
        "cancel_running": bool(plan.figures["cancel_running"]),
        "idle_s": scenario.conn.idle_s,
        "classes": [c.name for c in scenario.classes],
        "noise": [middle(c.attempt_noise) for c in scenario.classes],
        "windows": [c.window_ms if c.effect == "keyed" else 0.0 for c in scenario.classes],
        "rack": [
            (host, SERVERS + mate.number)
            for mate in plan.servers
            if mate.cell == line.cell and mate.number != server
        ],
    }


def middle(value: Range) -> float:
    return sum(value) / 2 if isinstance(value, tuple) else value


def node_config(scenario: Scenario, plan: Plan, ways: FarmLinks, node: int, seed: int) -> dict[str, Any]:
    """The file that a node reads at its start."""
    rig = scenario.rig
    host, port = ways.to_lists[node]
    return {
        "name": f"n{node}",
        "listen": f"{ways.host}:{NODES + node}",
        "discovery": f"{host}:{port}",
        "seed": f"{seed:016x}",
        "limits": {"cores": rig.cores, "memory_mb": rig.memory_mb, "sockets": int(rig.sockets)},
        "known": {"generation": 1, "reset": True, "instances": instances(scenario, plan, ways, node)},
        "settings": settings(scenario, plan, node),
    }


def instances(scenario: Scenario, plan: Plan, ways: FarmLinks, node: int) -> list[dict[str, Any]]:
    return [
        entry(scenario, plan, server, "active", 0) | {"hostPort": f"{host}:{port}"}
        for server, (host, port) in enumerate(ways.to_servers[node])
    ]


def list_config(scenario: Scenario, plan: Plan, ways: FarmLinks) -> dict[str, Any]:
    figures = plan.figures
    return {
        "host": ways.host,
        "ports": [LISTS + node for node in range(len(plan.node_zones) + 1)],  # the last is a controller's
        "addresses": [
            [f"{host}:{port}" for host, port in addresses] for addresses in [*ways.to_servers, ways.to_pings]
        ],
        "entries": {s: entry(scenario, plan, s, "active", 0) for s in range(len(plan.servers))},
        "version": 1,
        "capacity": figures["discovery.capacity"],
        "call_s": figures["discovery.call_ms"] / 1000,
        "spread_s": figures["discovery.spread_ms"] / 1000,
        "timeout_s": scenario.discovery.timeout_ms / 1000,
    }


def front_config(scenario: Scenario, plan: Plan, ways: FarmLinks) -> dict[str, Any]:
    return {
        "host": ways.host,
        "ports": [FRONTS + zone for zone in range(scenario.fleet.zones)],
        "nodes": ways.to_nodes,
        "node_zones": plan.node_zones,
        "notice_s": plan.figures["front.notice_s"],
        "health_s": min(scenario.front.health_s, 0.2),
    }


def unix_ms() -> int:
    return int(time.time() * 1000)
