"""A node of the model: hosts the module, unchanged, and turns its actions into what happens in the farm.

What the real node does in `flaxstep/proxy/node.py` with sockets, this does with calls in virtual time. It
decides nothing. It also watches the rules from outside, as the bench does.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from flaxstep.routing import interface
from flaxstep.routing.interface import (
    NEVER_RAN,
    ListKind,
    Outcome,
    ProbeResult,
    Request,
    Result,
    ServerEntry,
    ServerList,
    State,
    Timer,
    Withdrawn,
)
from flaxstep.simulator.engine import Engine
from flaxstep.simulator.job_servers import NEVER, Attempt, Server, WorkTotals
from flaxstep.simulator.sampling import Plan
from flaxstep.simulator.scenario import Scenario
from flaxstep.simulator.scoring import Scorer

PROBE_TIME = 120.0  # ms after which a probe has failed


class Module(Protocol):
    """What the lab needs of a module: `Policy` of any revision, or a baseline."""

    def handle(self, now: float, event: Any) -> list[Any]: ...


@dataclass(slots=True, eq=False)
class ClientTry:
    """One try of a client."""

    first: int  # its first try's place among the day's
    number: int
    cls: int
    tenant: int
    zone: int
    began: float  # of the first try
    due: float
    process: SimulatedNode | None = None
    id: int = 0  # the process's number for it
    sends: int = 0
    over: bool = False  # answered or given up, for the client
    out: dict[int, Attempt] = field(default_factory=dict)
    maybe_ran: dict[int, tuple[float, Attempt]] = field(default_factory=dict)


class Callers(Protocol):
    """What a process tells the clients."""

    def served(self, request: ClientTry) -> None: ...
    def refused(self, request: ClientTry, wait: float, process: SimulatedNode) -> None: ...
    def failed(self, request: ClientTry) -> None: ...
    def unreachable(self, request: ClientTry) -> None: ...
    def cut_off(self, request: ClientTry) -> None: ...


class Lists(Protocol):
    """Discovery, as a process calls it."""

    def call(self, process: SimulatedNode) -> None: ...


class Datagrams(Protocol):
    """The way to other nodes."""

    def send(self, sender: SimulatedNode, peer: int, data: bytes) -> None: ...


class Farm(Protocol):
    """What a process meets round it: the day, the servers, the network, and those that it talks to."""

    scenario: Scenario
    plan: Plan
    engine: Engine
    judge: Scorer
    tally: WorkTotals
    servers: list[Server]
    by_id: dict[int, Server]
    logs: list[tuple[float, int, str]]
    # A release counts what nodes see.
    on_attempt: Callable[[SimulatedNode, Attempt, Result, float], None] | None
    on_answer: Callable[[SimulatedNode, int, int], None] | None
    client_ms: float
    dial_ms: float
    idle_ms: float
    handshake_rtts: float
    handshake_work: float
    cancel_running: bool

    @property
    def clients(self) -> Callers: ...
    @property
    def discovery(self) -> Lists: ...
    @property
    def peers(self) -> Datagrams: ...

    def make_policy(self, node: int, seed: int) -> Module: ...
    def knows(self, event: str) -> bool: ...
    def one_way(self, zone: int, other: int) -> float: ...
    def is_cut(self, zone: int, other: int) -> bool: ...
    def breach(self, rule: str, node: int, request: ClientTry, server: int, what: str) -> None: ...


class SimulatedNode:
    """One process of a node."""

    def __init__(self, world: Farm, node: int, seed: int) -> None:
        self.world, self.node, self.zone = world, node, world.plan.node_zones[node]
        self.alive, self.stopping = True, False
        self.held: dict[int, ClientTry] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # out, by request and number
        self.last_id = 0
        self.subscribed = False
        self.told: dict[int, tuple[State, float]] = {}  # by server: what it was told last, and when
        self.cordoned: dict[int, float] = {}  # server: since when
        self.policy: Module = world.make_policy(node, seed)
        self.perform: dict[str, Callable[[Any], None]] = {
            "Send": self.send,
            "Refuse": self.refuse,
            "Fail": self.fail,
            "Cancel": self.cancel,
            "Wake": self.wake,
            "Probe": self.probe,
            "Subscribe": self.subscribe,
            "Tell": self.tell_peers,
            "Log": self.log,
        }

    # Events in, actions out.

    def tell(self, event: Any) -> None:
        for action in self.policy.handle(self.world.engine.now, event):
            self.perform[type(action).__name__](action)

    def tell_alive(self, event: Any) -> None:
        if self.alive:
            self.tell(event)

    def tell_if_known(self, name: str, *values: Any) -> None:
        """An event that older revisions' modules don't know is not for them."""
        kind = getattr(interface, name, None)
        if kind is not None and self.alive and self.world.knows(name):
            self.tell(kind(*values))

    def take(self, request: ClientTry) -> None:
        """A request has come whole."""
        world = self.world
        if not self.alive:
            world.engine.after(world.client_ms, world.clients.unreachable, request)
            return
        if request.over:
            return
        self.last_id += 1
        request.id, request.process = self.last_id, self
        self.held[request.id] = request
        due = request.due - world.scenario.margin_ms
        self.tell(Request(request.id, request.cls, due, 0, request.tenant))

    def leave(self, request: ClientTry) -> None:
        """The client has gone, or waits no longer."""
        if not self.alive or self.held.pop(request.id, None) is None:
            return
        world = self.world
        if world.engine.now > request.due + world.scenario.rules.answer_slack_ms:
            world.breach("lost request", self.node, request, -1, "no final answer in time")
        self.tell(Withdrawn(request.id))

    # Actions.

    def send(self, action: Any) -> None:
        world, now = self.world, self.world.engine.now
        request = self.held.get(action.id)
        if request is None:
            return
        number, request.sends = request.sends, request.sends + 1
        if number >= world.scenario.rules.max_attempts:  # moot, as WIRE has it: never sent
            outcome = Outcome(request.id, action.server, False, Result.NOT_SENT, number, 0.0)
            world.engine.after(world.scenario.tick_ms, self.tell_alive, outcome)
            return
        server = world.by_id[action.server]
        self.judge_send(request, action.server)
        first, plan = request.first, world.plan
        noise = plan.noise[request.cls]
        work = plan.tries.work[first] * noise[(first * 61 + request.number * 17 + number * 5) % len(noise)]
        attempt = Attempt(
            self, request.id, number, request.cls, server.plan.number, work, now, server.plan.cell,
            server.plan.zone,
        )  # fmt: skip
        request.out[number] = attempt
        request.maybe_ran[number] = (now, attempt)
        self.attempts[request.id, number] = attempt
        bill = world.judge.bill
        bill.attempts += 1
        bill.across += server.plan.zone != self.zone
        limit = request.due - world.scenario.margin_ms - now
        if action.limit:
            limit = min(limit, action.limit)
        way = world.one_way(self.zone, server.plan.zone)
        attempt.limit = now + limit
        world.engine.at(attempt.limit, self.time_out, attempt)
        if world.is_cut(self.zone, server.plan.zone):
            world.engine.after(world.dial_ms, self.ended, attempt, Result.UNREACHABLE)
            return
        if not server.up:
            world.engine.after(2 * way, self.ended, attempt, Result.UNREACHABLE)
            return
        new = server.connect(self.node, world.idle_ms)
        if new is None:
            world.engine.after(2 * way, self.ended, attempt, Result.FULL)
            return
        if new:
            way += world.handshake_rtts * 2 * way
            attempt.work += world.handshake_work
        world.engine.after(way, server.arrive, attempt)

    def judge_send(self, request: ClientTry, server_id: int) -> None:
        world, now = self.world, self.world.engine.now
        rules = world.scenario.rules
        if request.out:
            world.breach("second copy", self.node, request, server_id, "an attempt is out already")
        state, since = self.told.get(server_id, (State.GONE, NEVER))
        if state is not State.READY and now - since > rules.drain_grace_ms:
            world.breach("drain", self.node, request, server_id, f"{now - since:.0f} ms after it was told")
        if now > self.cordoned.get(server_id, NEVER):
            world.breach("cordon", self.node, request, server_id, "taken out by hand")
        if not request.maybe_ran:
            return
        wanted, place = world.scenario.classes[request.cls], world.by_id[server_id].plan
        if wanted.effect == "safe":
            return
        for sent, attempt in request.maybe_ran.values():
            alike = {"all": True, "zone": attempt.zone == place.zone, "cell": attempt.cell == place.cell}
            if wanted.effect == "unsafe" or now - sent >= wanted.window_ms or not alike[wanted.group]:
                world.breach("duplicate", self.node, request, server_id, f"{wanted.name} may have run")
                return

    def refuse(self, action: Any) -> None:
        request = self.held.pop(action.id, None)
        if request is None:
            return
        wanted = self.world.scenario.classes[request.cls]
        harmless = wanted.effect == "safe" or (wanted.effect == "keyed" and wanted.group == "all")
        if request.maybe_ran and not harmless:
            self.world.breach("duplicate", self.node, request, -1, "refused though it may have run")
        self.count(request, 1)
        self.world.engine.after(self.world.client_ms, self.world.clients.refused, request, action.wait, self)

    def fail(self, action: Any) -> None:
        request = self.held.pop(action.id, None)
        if request is not None:
            self.count(request, 2)
            self.world.engine.after(self.world.client_ms, self.world.clients.failed, request)

    def count(self, request: ClientTry, which: int) -> None:
        """A request was served (0), refused (1) or failed (2)."""
        if self.world.on_answer is not None:
            self.world.on_answer(self, request.cls, which)

    def cancel(self, action: Any) -> None:
        attempt = self.attempts.get((action.id, action.attempt))
        if attempt is not None and not attempt.over:
            self.stop_waiting(attempt, Result.CANCELLED)

    def wake(self, action: Any) -> None:
        self.world.engine.after(action.delay, self.tell_alive, Timer(action.token))

    def probe(self, action: Any) -> None:
        world, server = self.world, self.world.by_id[action.server]
        world.judge.bill.probes += 1
        way = world.one_way(self.zone, server.plan.zone)
        cut = world.is_cut(self.zone, server.plan.zone)
        if cut or not server.up:
            late = PROBE_TIME if cut else 2 * way
            world.engine.after(late, self.tell_alive, ProbeResult(action.server, Result.UNREACHABLE, late))
            return
        report = (float(server.held),)
        world.engine.after(2 * way, self.tell_alive, ProbeResult(action.server, Result.OK, 2 * way, report))

    def subscribe(self, _: Any) -> None:
        self.world.discovery.call(self)

    def tell_peers(self, action: Any) -> None:
        self.world.peers.send(self, action.peer, action.data)

    def log(self, action: Any) -> None:
        if len(self.world.logs) < 2000:
            self.world.logs.append((round(self.world.engine.now, 3), self.node, action.text))

    # Outcomes.

    def time_out(self, attempt: Attempt) -> None:
        if not attempt.over:
            self.stop_waiting(attempt, Result.TIMEOUT)

    def stop_waiting(self, attempt: Attempt, result: Result) -> None:
        server = self.world.servers[attempt.server]
        server.drop(attempt, self.world.cancel_running)
        self.ended(attempt, result)

    def ended(self, attempt: Attempt, result: Result) -> None:
        """An attempt has its outcome, as the node sees it."""
        if attempt.over:
            return
        attempt.over = True
        world = self.world
        self.attempts.pop((attempt.request, attempt.number), None)
        server = world.servers[attempt.server]
        if result is not Result.UNREACHABLE:
            server.release(self.node, result in (Result.OK, Result.ERROR, Result.FULL))
        if not self.alive:
            return
        request = self.held.get(attempt.request)
        if request is not None:
            request.out.pop(attempt.number, None)
            if result in NEVER_RAN:
                request.maybe_ran.pop(attempt.number, None)
            if result is Result.OK:
                del self.held[attempt.request]
                world.tally.useful += attempt.work
                self.count(request, 0)
                world.engine.after(world.client_ms, world.clients.served, request)
        elapsed = world.engine.now - attempt.sent
        if world.on_attempt is not None:
            world.on_attempt(self, attempt, result, elapsed)
        over = attempt.request not in self.held
        self.tell(Outcome(attempt.request, server.id, over, result, attempt.number, elapsed))

    # Lists, operators and the end.

    def list(self, kind: ListKind, version: int, entries: list[ServerEntry]) -> None:
        if not self.alive:
            return
        now = self.world.engine.now
        if kind is ListKind.FULL:
            named = {entry.id for entry in entries}
            for gone in [i for i, (state, _) in self.told.items() if state is State.READY and i not in named]:
                self.told[gone] = State.GONE, now
        for entry in entries:
            if self.told.get(entry.id, (None, 0.0))[0] is not entry.state:
                self.told[entry.id] = entry.state, now
        self.tell(ServerList(kind, version, entries))

    def cordon(self, server: int) -> None:
        if self.alive:
            if self.world.knows("Cordon"):
                self.cordoned[server] = self.world.engine.now
            self.tell_if_known("Cordon", server)

    def uncordon(self, server: int) -> None:
        if self.alive:
            self.cordoned.pop(server, None)
            self.tell_if_known("Uncordon", server, self.world.engine.now)

    def die(self) -> None:
        """Killed: clients see their connections reset, job servers see them closed."""
        self.alive = False
        world = self.world
        for attempt in self.attempts.values():
            attempt.over = True
            world.servers[attempt.server].drop(attempt, world.cancel_running)
        self.attempts.clear()
        for request in self.held.values():
            world.engine.after(world.client_ms, world.clients.cut_off, request)
        self.held.clear()
