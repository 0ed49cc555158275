"""A farm in memory for tests of releases: what actions change, and its snapshots. Tests set the time."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from flaxstep.rollout.actions import MUTATING_ACTIONS, Action, ActionKind, ActionResult
from flaxstep.rollout.io.controller import RESULT_LOST
from flaxstep.rollout.io.store import Store
from flaxstep.rollout.plan import Member, Plan, parse_plan
from flaxstep.rollout.release import END_STATES, Release, assign_waves
from flaxstep.rollout.snapshot import (
    ListedServer,
    NodeView,
    ProcessView,
    ResponseCounters,
    ServerCounters,
    Snapshot,
)
from flaxstep.rollout.state_machine import ReleaseStateMachine

PLAN = """
name = "v2"
what = "{what}"
from = "v1"
to = "v2"
[commands]
restart = ["restart", "{{id}}", "{{version}}"]
stop = ["stop", "{{id}}", "{{door}}"]
version = ["version", "{{id}}"]
check = ["check", "{{id}}"]
time_limit_s = 5
ready_s = 10
[waves]
canary = 1
shares = [0.5, 1]
[room]
capacity = 0.6
worth = 0.8
[watch]
before_s = 3
warm_s = 2
bake_s = 4
doubt_s = 3
empty_s = 5
wait_s = 30
{watch}
"""


def plan(what: str = "servers", watch: str = "") -> Plan:
    text = PLAN.format(what=what, watch=watch)
    return parse_plan(text if what == "nodes" else text.replace('stop = ["stop", "{id}", "{door}"]\n', ""))


@dataclass
class Server:
    version: str = "v1"
    started: int = 1000
    up: bool = True
    restarts: list[str] = field(default_factory=list)


class FakeFarm:
    """A farm in memory.

    `slowdown`, `failure_share` and the sets of versions say what is wrong with a version; `silent_nodes` do
    not respond.
    """

    def __init__(self, servers: int = 4, nodes: int = 3, seed: int = 1) -> None:
        self.chance = random.Random(seed)
        self.servers = {f"s-{i}": Server() for i in range(servers)}
        self.cordons: dict[str, set[str]] = {f"n{i}": set() for i in range(nodes)}
        self.doors: dict[str, dict[str, str]] = {n: {f"{n}a": "v1"} for n in self.cordons}  # door: version
        self.silent_nodes: set[str] = set()
        self.failure_share: dict[str, float] = {}  # share of failed responses, by version
        self.slowdown: dict[str, float] = {}
        self.never_ready_versions: set[str] = set()
        self.wrong_versions: set[str] = set()
        self.hanging_versions: set[str] = set()  # versions that the restart command hangs on
        self.served = 1.0
        self.now, self.done = 0.0, 0
        self.counts: dict[tuple[str, str], tuple[int, int, Counter[int]]] = {}
        self.results = {n: (0, 0, 0) for n in self.cordons}
        self.most_out = 0

    # Traffic and snapshots.

    def pass_second(self) -> None:
        """Simulate a second of traffic at every server in use."""
        self.now += 1.0
        self.most_out = max(self.most_out, sum(not self.in_use(s) for s in self.servers))
        for node in self.cordons:
            bad = 0
            for name, server in self.servers.items():
                if name in self.cordons[node] or not server.up:
                    continue
                failed = sum(
                    self.chance.random() < self.failure_share.get(server.version, 0.002) for _ in range(15)
                )
                long = self.slowdown.get(server.version, 1.0)
                took = Counter(
                    int(4 * math.log2(1 + 40 * long * math.exp(self.chance.gauss(0, 0.4)))) for _ in range(15)
                )
                key = node, name
                ok, bads, bins = self.counts.get(key, (0, 0, Counter()))
                self.counts[key] = ok + 15 - failed, bads + failed, bins + took
                bad += failed
            served, refused, aborted = self.results[node]
            whole = round(60 * self.served)
            self.results[node] = served + whole, refused + 60 - whole, aborted + bad

    def in_use(self, name: str) -> bool:
        return self.servers[name].up and not any(name in out for out in self.cordons.values())

    def snapshot(self) -> Snapshot:
        nodes = {n: self.node_view(n) for n in self.cordons}
        lines = {
            name: ListedServer(name, name, "z", 1.0, "active", s.started)
            for name, s in self.servers.items()
            if s.up
        }
        return Snapshot(self.now, nodes, lines)

    def node_view(self, node: str) -> NodeView:
        if node in self.silent_nodes:
            return NodeView(node, (), "no response within 1 s")
        servers = {}
        for name, server in self.servers.items():
            ok, bad, bins = self.counts.get((node, name), (0, 0, Counter()))
            answers = {"build": ResponseCounters(ok, bad, 0, Counter(bins))}
            servers[name] = ServerCounters(0, name in self.cordons[node], server.started, answers)
        found = [
            ProcessView(door, self.health(door, version), servers, {"build": self.results[node]})
            for door, version in self.doors[node].items()
        ]
        return NodeView(node, tuple(found))

    def health(self, door: str, version: str) -> str:
        return "starting" if door.endswith("b") and version in self.never_ready_versions else "ready"

    # Actions.

    def perform(self, action: Action) -> ActionResult:
        self.done += 1
        if action.kind in (ActionKind.CORDON, ActionKind.UNCORDON):
            silent = sorted(self.silent_nodes)
            for node in set(self.cordons) - self.silent_nodes:
                if action.kind is ActionKind.CORDON:
                    self.cordons[node].add(action.member)
                else:
                    self.cordons[node].discard(action.member)
            return ActionResult(not silent, f"{silent[0]}: no answer" if silent else "")
        if action.member in self.cordons:
            return self.perform_at_node(action)
        server = self.servers[action.member]
        if action.kind is ActionKind.RESTART:
            assert all(action.member in out for out in self.cordons.values()), "restarted while in use"
            server.restarts.append(action.version)
            if action.version in self.hanging_versions:
                return ActionResult(False, "restart: not done after 5 s", outcome_known=False)
            server.version, server.started = action.version, int(1000 * (2 + self.now))
            server.up = action.version not in self.never_ready_versions
            for node in self.cordons:
                self.counts.pop((node, action.member), None)
        if action.kind is ActionKind.PING:
            return ActionResult(server.up, "" if server.up else "connection refused")
        if action.kind is ActionKind.CHECK:
            return ActionResult(server.version not in self.wrong_versions, "41 is not 42")
        return ActionResult(True, server.version)

    def perform_at_node(self, action: Action) -> ActionResult:
        doors = self.doors[action.member]
        if action.kind is ActionKind.RESTART and action.version not in self.hanging_versions:
            assert action.admin_address not in doors, "started twice"
            doors[action.admin_address] = action.version
        elif action.kind is ActionKind.STOP:
            doors.pop(action.admin_address, None)
        elif action.kind is ActionKind.VERSION:
            return ActionResult(action.admin_address in doors, doors.get(action.admin_address, "no answer"))
        elif action.kind is ActionKind.CHECK:
            return ActionResult(action.version not in self.wrong_versions, "41 is not 42")
        hung = action.kind is ActionKind.RESTART and action.version in self.hanging_versions
        return ActionResult(not hung, "start: not done after 5 s" if hung else "", outcome_known=not hung)


class Killed(Exception):
    """The controller was killed at this point."""


class Run:
    """Carries out a release on a fake farm as the controller does; tests can kill it at any kill point."""

    def __init__(self, farm: FakeFarm, wanted: Plan, path: Path) -> None:
        self.farm, self.plan, self.path = farm, wanted, path
        self.kill_points = 0  # points passed at which a controller may be killed
        self.kill_at: set[int] = set()
        self.start()

    def start(self) -> None:
        self.store = Store(self.path)
        self.store.acquire_claim()
        kept = self.store.newest_release()
        nodes = {n: (f"{n}a", f"{n}b") for n in self.farm.cordons}
        if kept is None:
            names = nodes if self.plan.what == "nodes" else self.farm.servers
            members = assign_waves(self.plan, [Member(name, "z", 1.0) for name in names])
            self.number = self.store.create_release(self.plan, Release(), members)
            kept = self.store.newest_release()
        assert kept is not None
        self.number, self.release, self.members = kept.id, kept.release, kept.members
        self.state_machine = ReleaseStateMachine(kept.plan, kept.release, kept.members, nodes)
        self.state_machine.recover(kept.unfinished_actions.values(), self.farm.now)
        for number in kept.unfinished_actions:
            self.store.write_result(self.number, self.release, self.members, number, RESULT_LOST)

    def pass_kill_point(self) -> None:
        self.kill_points += 1
        if self.kill_points in self.kill_at:
            raise Killed

    def run_second(self) -> None:
        """Run one cycle of the controller; restart the controller if it is killed."""
        self.farm.pass_second()
        try:
            actions = self.state_machine.tick(self.farm.now, self.farm.snapshot())
            changing = any(action.kind in MUTATING_ACTIONS for action in actions)
            if changing:
                self.pass_kill_point()
            ids = self.store.write_intents(self.number, self.release, self.members, actions)
            for number, action in zip(ids, actions, strict=True):
                if number:
                    self.pass_kill_point()
                result = self.farm.perform(action)
                if number:
                    self.pass_kill_point()
                self.members[action.member].open = 0
                self.state_machine.on_action_ended(action, result, self.farm.now)
                self.store.write_result(self.number, self.release, self.members, number, result)
        except Killed:
            self.store.release_claim()  # as if its lease had run out
            self.store.close()
            self.start()

    def run(self, seconds: int = 900) -> Release:
        """Run until the release is over."""
        for _ in range(seconds):
            if self.state_machine.finished:
                break
            self.run_second()
        return self.release

    @property
    def ended(self) -> bool:
        return self.release.state in END_STATES and self.state_machine.finished
