"""Settings and configuration of the processes of a play: nodes, job servers, discovery, front and links."""

from __future__ import annotations

import time
from typing import Any

from flaxstep.faultbench.fake_service import Address
from flaxstep.simulator.config_types import Range
from flaxstep.simulator.fault_config import FaultConfig
from flaxstep.simulator.sampling import Plan
from flaxstep.simulator.scenario import Scenario

IDEMPOTENCY_BY_EFFECT = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
# First ports of the listeners of each kind, at the loopback address that the rig has to itself.
(
    FIRST_SERVER_PORT,
    FIRST_NODE_PORT,
    FIRST_ADMIN_PORT,
    FIRST_DISCOVERY_PORT,
    FIRST_FRONT_PORT,
    FIRST_LINK_PORT,
) = 2000, 5000, 10000, 7500, 8500, 20000
# A node's processes use these in turn: one that is terminating keeps its admin port for seconds.
ADMIN_PORTS_PER_NODE = 4


def node_settings(scenario: Scenario, plan: Plan, node: int) -> dict[str, Any]:
    """The settings object of a node, under the names that the platform uses."""
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
                "Idempotency": IDEMPOTENCY_BY_EFFECT[c.effect],
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


def list_entry(
    scenario: Scenario, plan: Plan, server: int, lifecycle: str, started_ms: int
) -> dict[str, Any]:
    """A server's entry in the discovery list, without its address, which differs by node."""
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


def process_names(name: str, plan: Plan, regions: dict[str, list[int]]) -> list[str]:
    """All names by which a fault can refer to a process: its own, and those of its kind, zone and regions."""
    kind, _, number = name.partition(":")
    matching_names = [name, "*"]
    if number:
        matching_names.append(f"{kind}s")
        zone = plan.node_zones[int(number)] if kind == "node" else plan.servers[int(number)].zone
        matching_names.append(f"zone:{zone}")
        matching_names += [f"region:{region}" for region, zones in regions.items() if zone in zones]
    return matching_names


class FarmLinks:
    """Every link of a farm: caller, callee, the address that the caller connects to, and the callee's."""

    def __init__(self, scenario: Scenario, plan: Plan, host: str) -> None:
        self.plan, self.fault_config, self.host = plan, scenario.rig, host
        self.cross_zone_delay_s = plan.figures["net.cross_ms"] / 1000
        self.cross_zone_jitter_s = plan.figures["net.jitter"] * self.cross_zone_delay_s
        self.links: list[dict[str, Any]] = []
        nodes, servers = range(len(plan.node_zones)), range(len(plan.servers))
        self.front_to_nodes = [self.add_link("front", f"node:{n}", FIRST_NODE_PORT + n) for n in nodes]
        self.nodes_to_discovery = [
            self.add_link(f"node:{n}", "discovery", FIRST_DISCOVERY_PORT + n) for n in nodes
        ]
        self.server_addresses = [(host, FIRST_SERVER_PORT + s) for s in servers]
        # Links of a release's controller.
        self.controller_to_admin = [
            [
                self.add_link("controller", f"node:{n}", FIRST_ADMIN_PORT + n * ADMIN_PORTS_PER_NODE + k)
                for k in range(ADMIN_PORTS_PER_NODE)
            ]
            for n in nodes
        ]
        self.controller_to_discovery = self.add_link(
            "controller", "discovery", FIRST_DISCOVERY_PORT + len(nodes)
        )
        self.controller_to_servers = [
            self.add_link("controller", f"server:{s}", FIRST_SERVER_PORT + s) for s in servers
        ]
        self.nodes_to_servers = [
            [
                self.add_link(f"node:{n}", f"server:{s}", FIRST_SERVER_PORT + s, record_turns=True)
                for s in servers
            ]
            for n in nodes
        ]

    def add_link(self, caller: str, callee: str, port: int, record_turns: bool = False) -> Address:
        fault_config: FaultConfig = self.fault_config
        listen_address = (self.host, FIRST_LINK_PORT + len(self.links))
        end_names = [process_names(name, self.plan, fault_config.regions) for name in (caller, callee)]
        zones = [{name for name in end if name.startswith("zone:")} for end in end_names]
        crosses_zones = all(zones) and zones[0] != zones[1]
        self.links.append(
            {
                "caller": caller,
                "callee": callee,
                "caller_names": end_names[0],
                "callee_names": end_names[1],
                "listen": listen_address,
                "target": (self.host, port),
                "noted": record_turns,
                "delay": self.cross_zone_delay_s if crosses_zones else 0.0,
                "jitter": self.cross_zone_jitter_s if crosses_zones else 0.0,
            }
        )
        return listen_address


def server_config(scenario: Scenario, plan: Plan, host: str, server: int) -> dict[str, Any]:
    """A job server's configuration, without its version, whether it is cold, and its record file."""
    line, rules = plan.servers[server], scenario.rules
    return {
        "name": server_id(server),
        "host": host,
        "port": FIRST_SERVER_PORT + server,
        "server": {name: getattr(line, name) for name in line.__slots__},
        "choke": {name: getattr(plan.choke, name) for name in plan.choke.__slots__},
        "tip": (rules.tip_multiple, rules.tip_ms, rules.ramp_ms),
        "cancel_running": bool(plan.figures["cancel_running"]),
        "idle_s": scenario.conn.idle_s,
        "classes": [c.name for c in scenario.classes],
        "noise": [midpoint(c.attempt_noise) for c in scenario.classes],
        "windows": [c.window_ms if c.effect == "keyed" else 0.0 for c in scenario.classes],
        "rack": [
            (host, FIRST_SERVER_PORT + rack_mate.number)
            for rack_mate in plan.servers
            if rack_mate.cell == line.cell and rack_mate.number != server
        ],
    }


def midpoint(value: Range) -> float:
    return sum(value) / 2 if isinstance(value, tuple) else value


def node_config(
    scenario: Scenario, plan: Plan, farm_links: FarmLinks, node: int, seed: int
) -> dict[str, Any]:
    """The content of the configuration file that a node reads at its start."""
    rig = scenario.rig
    host, port = farm_links.nodes_to_discovery[node]
    return {
        "name": f"n{node}",
        "listen": f"{farm_links.host}:{FIRST_NODE_PORT + node}",
        "discovery": f"{host}:{port}",
        "seed": f"{seed:016x}",
        "limits": {"cores": rig.cores, "memory_mb": rig.memory_mb, "sockets": int(rig.sockets)},
        "known": {
            "generation": 1,
            "reset": True,
            "instances": listed_instances(scenario, plan, farm_links, node),
        },
        "settings": node_settings(scenario, plan, node),
    }


def listed_instances(
    scenario: Scenario, plan: Plan, farm_links: FarmLinks, node: int
) -> list[dict[str, Any]]:
    return [
        list_entry(scenario, plan, server, "active", 0) | {"hostPort": f"{host}:{port}"}
        for server, (host, port) in enumerate(farm_links.nodes_to_servers[node])
    ]


def discovery_config(scenario: Scenario, plan: Plan, farm_links: FarmLinks) -> dict[str, Any]:
    figures = plan.figures
    return {
        "host": farm_links.host,
        "ports": [
            FIRST_DISCOVERY_PORT + node for node in range(len(plan.node_zones) + 1)
        ],  # the last is the controller's
        "addresses": [
            [f"{host}:{port}" for host, port in addresses]
            for addresses in [*farm_links.nodes_to_servers, farm_links.controller_to_servers]
        ],
        "entries": {s: list_entry(scenario, plan, s, "active", 0) for s in range(len(plan.servers))},
        "version": 1,
        "capacity": figures["discovery.capacity"],
        "call_s": figures["discovery.call_ms"] / 1000,
        "spread_s": figures["discovery.spread_ms"] / 1000,
        "timeout_s": scenario.discovery.timeout_ms / 1000,
    }


def frontend_config(scenario: Scenario, plan: Plan, farm_links: FarmLinks) -> dict[str, Any]:
    return {
        "host": farm_links.host,
        "ports": [FIRST_FRONT_PORT + zone for zone in range(scenario.fleet.zones)],
        "nodes": farm_links.front_to_nodes,
        "node_zones": plan.node_zones,
        "notice_s": plan.figures["front.notice_s"],
        "health_s": min(scenario.front.health_s, 0.2),
    }


def unix_time_ms() -> int:
    return int(time.time() * 1000)
