"""The farm of the model, joined: clients and their front, discovery, datagrams between nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from flaxstep.routing.interface import (
    Effect,
    Group,
    ListKind,
    PeerMessage,
    RequestClass,
    Result,
    ServerEntry,
    Settings,
    State,
)
from flaxstep.simulator.engine import Engine, Streams
from flaxstep.simulator.job_servers import TICK, Attempt, Server, WorkTotals
from flaxstep.simulator.sampling import Happening, Plan, draw_plan
from flaxstep.simulator.scenario import Scenario
from flaxstep.simulator.scoring import Breach, Scorer, Verdict
from flaxstep.simulator.simulated_node import ClientTry, Module, SimulatedNode

LOOK = 250.0  # ms between samples of what nodes believe and what is true
AFTER = 3000.0  # ms for which a day runs on, until all is answered
ALL = 0xFFFF  # every peer
MakePolicy = Callable[[Settings, int], Module]


class Sample(msgspec.Struct, frozen=True):
    """The farm at one moment: what servers hold, and what each node believes."""

    at: float  # s
    held: list[int]  # by server
    choked: list[int]  # servers in the sticky slowdown
    cold: list[int]
    capacity: float  # requests of mean work a ms that the servers can do now, those out by hand left out
    nodes: list[dict[str, float]]


class Outcomes(msgspec.Struct):
    """What came of the tries, by class: of first tries the first four, of all tries the rest."""

    in_time: list[int]
    late: list[int]
    unserved: list[int]
    refused: list[int]
    failed: list[int]
    given_up: list[int]


class Run(msgspec.Struct, frozen=True):
    """What a play came to; its file is this, as JSON."""

    scenario: str
    seed: int
    policy: str
    seconds: int
    first_tries: int
    tries: int
    verdict: Verdict
    outcomes: Outcomes
    asked: list[float]  # worth by second of the first try
    earned: list[float]
    refused: list[int]
    failed: list[int]
    choked: int
    fallen: list[tuple[float, int]]
    happenings: list[tuple[str, float, float]]  # what, from s, to s
    breaches: list[Breach]
    samples: list[Sample]
    logs: list[tuple[float, int, str]]


class Front:
    """Deals tries out over the nodes of a zone that it thinks are there."""

    def __init__(self, world: Simulation) -> None:
        self.world = world
        self.believed = [True] * len(world.plan.node_zones)
        self.by_zone: dict[int, list[int]] = {}
        self.settle()

    def settle(self) -> None:
        zones = self.world.plan.node_zones
        self.by_zone = {z: [] for z in range(self.world.scenario.fleet.zones)}
        self.anywhere = [i for i, there in enumerate(self.believed) if there]
        for i in self.anywhere:
            self.by_zone[zones[i]].append(i)

    def learn(self, node: int, there: bool) -> None:
        if self.believed[node] != there:
            self.believed[node] = there
            self.settle()

    def pick(self, request: ClientTry) -> SimulatedNode | None:
        nodes = self.by_zone[request.zone] or self.anywhere
        if not nodes:
            return None
        # By its place in the day, so that two policies meet the same traffic.
        mixed = (request.first * 2654435761 + request.number * 40503) >> 7
        processes = [p for p in self.world.processes[nodes[mixed % len(nodes)]] if not p.stopping]
        return processes[mixed % len(processes)] if processes else None


class Clients:
    """Sends the day's first tries, open loop, and tries again as clients do."""

    def __init__(self, world: Simulation) -> None:
        self.world = world
        figures = world.plan.figures
        self.share, self.backoff = figures["clients.try_share"], figures["clients.backoff_ms"]
        self.retries, self.honour = figures["clients.retries"], figures["clients.honour"]
        self.next = 0
        self.levels = [0.0] * len(world.plan.quotas)  # buckets of the tenants' shares, 1 s deep
        self.levels_at = [0.0] * len(world.plan.quotas)
        self.inside: dict[int, bool] = {}
        none = [0] * len(world.scenario.classes)
        self.counts = Outcomes(*(none[:] for _ in range(6)))

    def schedule(self) -> None:
        tries = self.world.plan.tries
        if self.next < len(tries.at):
            self.world.engine.at(tries.at[self.next], self.first)

    def first(self) -> None:
        i, tries, world = self.next, self.world.plan.tries, self.world
        if i == len(tries.at):  # stopped meanwhile
            return
        self.next += 1
        self.schedule()
        cls, tenant, now = tries.cls[i], tries.tenant[i], world.engine.now
        inside = True
        if self.levels:
            leaked = self.levels[tenant] - (now - self.levels_at[tenant]) / 1000 * world.plan.quotas[tenant]
            self.levels[tenant], self.levels_at[tenant] = max(0.0, leaked), now
            inside = self.levels[tenant] <= world.plan.quotas[tenant]
            self.levels[tenant] += inside
        self.inside[i] = inside
        world.judge.ask(int(now / 1000), cls, tenant, self.worth(i), inside)
        world.judge.bill.asked_work += tries.work[i]
        self.begin(i, 0, now)

    def stop(self) -> None:
        """No further first tries."""
        self.next = len(self.world.plan.tries.at)

    def worth(self, i: int) -> float:
        scenario = self.world.scenario
        part = 1.0 if self.inside[i] else scenario.load.over_share_worth
        return part * scenario.classes[self.world.plan.tries.cls[i]].worth

    def begin(self, i: int, number: int, began: float) -> None:
        world, tries = self.world, self.world.plan.tries
        wanted, now = world.scenario.classes[tries.cls[i]], world.engine.now
        due = min(now + self.share * wanted.deadline_ms, began + wanted.deadline_ms)
        request = ClientTry(i, number, tries.cls[i], tries.tenant[i], tries.zone[i], began, due)
        world.judge.tries += 1
        world.engine.at(due, self.give_up, request)
        process = world.front.pick(request)
        if process is None:
            world.engine.after(world.client_ms, self.unreachable, request)
        else:
            world.engine.after(world.client_ms, process.take, request)

    def give_up(self, request: ClientTry) -> None:
        if request.over:
            return
        request.over = True
        self.counts.given_up[request.cls] += 1
        world = self.world
        if request.process is not None:
            slack = world.scenario.rules.answer_slack_ms
            world.engine.after(slack + 2 * world.client_ms, request.process.leave, request)
        self.lose(request)

    def served(self, request: ClientTry) -> None:
        if request.over:
            return
        request.over = True
        world, i = self.world, request.first
        wanted, now = world.scenario.classes[request.cls], world.engine.now
        took = now - request.began
        part = 1.0 if took <= wanted.aim_ms else wanted.late_worth if took <= wanted.deadline_ms else 0.0
        (self.counts.in_time if took <= wanted.aim_ms else self.counts.late)[request.cls] += 1
        second, inside = int(request.began / 1000), self.inside.pop(i)
        worth = wanted.worth * (1.0 if inside else world.scenario.load.over_share_worth)
        world.judge.earn(second, request.cls, request.tenant, part * worth, inside)

    def refused(self, request: ClientTry, wait: float, process: SimulatedNode) -> None:
        if request.over:
            return
        world = self.world
        self.counts.refused[request.cls] += 1
        world.judge.refused[min(int(world.engine.now / 1000), world.seconds - 1)] += 1
        heeds = world.honours(request.first, self.honour)
        self.again(request, max(self.backoff, wait) if heeds else self.backoff)

    def failed(self, request: ClientTry) -> None:
        """Clients try a failed request again only where a repeat does no harm."""
        if request.over:
            return
        world, wanted = self.world, self.world.scenario.classes[request.cls]
        self.counts.failed[request.cls] += 1
        world.judge.failed[min(int(world.engine.now / 1000), world.seconds - 1)] += 1
        if wanted.effect == "safe" or (wanted.effect == "keyed" and wanted.group == "all"):
            self.again(request, self.backoff)
        else:
            request.over = True
            self.lose(request)

    def unreachable(self, request: ClientTry) -> None:
        if not request.over:
            self.again(request, self.backoff)

    cut_off = failed

    def again(self, request: ClientTry, wait: float) -> None:
        """The next try of a client whose last one proves that it never ran."""
        world, wanted = self.world, self.world.scenario.classes[request.cls]
        request.over = True
        if (
            request.number < int(self.retries)
            and world.engine.now + wait < request.began + wanted.deadline_ms
        ):
            world.engine.after(wait, self.begin, request.first, request.number + 1, request.began)
        else:
            self.lose(request)

    def lose(self, request: ClientTry) -> None:
        world, wanted = self.world, self.world.scenario.classes[request.cls]
        self.counts.unserved[request.cls] += 1
        if world.engine.now > request.began + wanted.aim_ms:
            world.judge.bill.late_lost += self.worth(request.first)
        self.inside.pop(request.first, None)


class Discovery:
    """The server list: late, and one service for all nodes."""

    def __init__(self, world: Simulation) -> None:
        self.world = world
        self.chance = world.streams.chance("discovery")
        self.figures = world.plan.figures
        self.entries: dict[int, ServerEntry] = {s.id: self.entry(s) for s in world.servers}
        self.version = 1
        self.watching: list[SimulatedNode] = []
        self.free = [0.0] * max(1, int(self.figures["discovery.capacity"]))  # when each of its hands is free

    @staticmethod
    def entry(server: Server, state: State | None = None) -> ServerEntry:
        plan = server.plan
        return ServerEntry(
            server.id, plan.zone, plan.kind, plan.cell, state or server.state, 1.0, server.started
        )

    def call(self, process: SimulatedNode) -> None:
        """A node asks for the list and its changes."""
        engine, listing = self.world.engine, self.world.scenario.discovery
        hand = min(range(len(self.free)), key=self.free.__getitem__)
        begins = max(self.free[hand], engine.now)
        if begins - engine.now > listing.timeout_ms:
            engine.after(listing.timeout_ms, process.list, ListKind.FAILED, self.version, [])
            return
        self.free[hand] = begins + self.figures["discovery.call_ms"]
        engine.at(self.free[hand], self.answer, process)

    def answer(self, process: SimulatedNode) -> None:
        if process.alive:
            if process not in self.watching:
                self.watching.append(process)
            process.list(ListKind.FULL, self.version, list(self.entries.values()))

    def hear(self, server: Server, state: State, late: float) -> None:
        """Something has become of a server's process; discovery notices later."""
        self.world.engine.after(late, self.notice, self.entry(server, state))

    def notice(self, entry: ServerEntry) -> None:
        self.version += 1
        if entry.state is State.GONE:
            self.entries.pop(entry.id, None)
        else:
            self.entries[entry.id] = entry
        self.watching = [process for process in self.watching if process.alive]
        for process in self.watching:
            delay = self.figures["discovery.spread_ms"] * self.chance()
            self.world.engine.after(delay, process.list, ListKind.DELTA, self.version, [entry])


class Peers:
    """Datagrams between nodes, late or lost."""

    def __init__(self, world: Simulation) -> None:
        self.world = world
        self.chance = world.streams.chance("peers")

    def send(self, sender: SimulatedNode, peer: int, data: bytes) -> None:
        world, peers = self.world, self.world.scenario.peers
        if len(data) > 256:
            raise ValueError(f"a datagram of {len(data)} bytes")
        targets = range(len(world.processes)) if peer == ALL else (peer,)
        for target in targets:
            if target == sender.node and peer == ALL:
                continue
            lost = self.chance() < peers.lost
            late = self.chance.between(*peers.delay_ms)
            if lost or world.is_cut(sender.zone, world.plan.node_zones[target]):
                continue
            world.judge.bill.peer_bytes += len(data)
            for process in world.processes[target]:
                world.engine.after(late, process.tell_alive, PeerMessage(sender.node, data))


class Simulation:
    """A day of the farm, ready to be played once."""

    def __init__(self, scenario: Scenario, seed: int, make: MakePolicy, knows: Callable[[str], bool]) -> None:
        self.scenario, self.make, self._knows = scenario, make, knows
        self.plan: Plan = draw_plan(scenario, seed)
        self.engine, self.streams = Engine(), Streams(seed)
        plan, figures = self.plan, self.plan.figures
        self.seconds = int(plan.length / 1000) + 1
        self.judge, self.tally = Scorer(scenario, self.seconds), WorkTotals()
        self.client_ms = figures["net.client_ms"]
        self.dial_ms, self.idle_ms = scenario.conn.dial_timeout_ms, 1000.0 * scenario.conn.idle_s
        self.handshake_rtts = figures["conn.handshake_rtts"]
        self.handshake_work = figures["conn.handshake_us"] / 1000
        self.cancel_running = bool(figures["cancel_running"])
        self.jitter = self.streams.chance("jitter")
        self.cut: set[int] = set()  # zones cut off from the others
        self.mean_work = sum(plan.tries.work) / max(1, len(plan.tries.work))
        self.logs: list[tuple[float, int, str]] = []
        self.on_attempt: Callable[[SimulatedNode, Attempt, Result, float], None] | None = None
        self.on_answer: Callable[[SimulatedNode, int, int], None] | None = None
        self.samples: list[Sample] = []
        self.happened: list[tuple[str, float, float]] = []
        rules = scenario.rules
        tip = (rules.tip_multiple, rules.tip_ms, rules.ramp_ms)
        faults = self.streams.chance("faults")
        self.servers = [
            Server(self.engine, line, plan.choke, tip, self.tally, faults, self.answer)
            for line in plan.servers
        ]
        numbers = self.streams.generator("ids").choice(1 << 31, len(self.servers), replace=False).tolist()
        for server, number in zip(self.servers, numbers, strict=True):
            server.id = number
        self.by_id = {server.id: server for server in self.servers}
        self.discovery, self.peers = Discovery(self), Peers(self)
        seeds = self.streams.generator("nodes")
        self.seeds = [int(x) for x in seeds.integers(1 << 62, size=64 * len(plan.node_zones))]
        self.processes: list[list[SimulatedNode]] = [[] for _ in plan.node_zones]
        self.front, self.clients = Front(self), Clients(self)
        for node in range(len(self.processes)):
            self.start(node)

    # What the parts need of each other.

    def settings(self, node: int) -> Settings:
        """What the module is told, as the platform would."""
        scenario, rules = self.scenario, self.scenario.rules
        known: dict[str, Any] = {
            "classes": tuple(
                RequestClass(
                    aim=c.aim_ms,
                    deadline=c.deadline_ms,
                    worth=c.worth,
                    effect=Effect(c.effect),
                    group=Group(c.group),
                    window=c.window_ms,
                    late_value=c.late_worth,
                )
                for c in scenario.classes
            ),
            "zone": self.plan.node_zones[node],
            "group_size": len(self.plan.node_zones),
            "me": node,
            "quotas": tuple(self.plan.quotas),
            "over_quota_worth": scenario.load.over_share_worth,
            "ask_for_list": scenario.discovery.mode == "ask",
            "tick": scenario.tick_ms,
            "may_cancel": True,
            "max_attempts": rules.max_attempts,
            "max_retry_after": scenario.clients.max_retry_after_ms,
            "cold_from": rules.cold_from,
            "ramp_time": rules.ramp_ms,
            "tip_multiple": rules.tip_multiple,
            "tip_time": rules.tip_ms,
            "peers": scenario.peers.allowed,
            "probes": True,
        }
        names = Settings.__dataclass_fields__
        return Settings(**{name: value for name, value in known.items() if name in names})

    def knows(self, event: str) -> bool:
        """Whether the module that plays knows an event."""
        return self._knows(event)

    def make_policy(self, node: int, seed: int) -> Module:
        policy = self.make(self.settings(node), seed)
        if hasattr(policy, "view"):
            policy.view = self
        return policy

    def expected(self) -> dict[int, tuple[float, float, float]]:
        """The true state, for the baseline that sees: held, cores, ms for a request of mean work alone."""
        return {
            s.id: (s.held, s.plan.cores, self.mean_work * s.plan.cores / max(self.capacity_of(s), 1e-9))
            for s in self.servers
        }

    @staticmethod
    def capacity_of(server: Server) -> float:
        """ms of standard work a ms that a server can do as it is now."""
        if not server.up or server.paused:
            return 0.0
        slower = server.choke.slower if server.choked else 1.0
        return server.capacity * server.warmth() * (1.0 - server.taken) / server.slow / slower

    def one_way(self, zone: int, other: int) -> float:
        figures = self.plan.figures
        way = figures["net.same_ms" if zone == other else "net.cross_ms"]
        return way * (1.0 + figures["net.jitter"] * (2.0 * self.jitter() - 1.0))

    def is_cut(self, zone: int, other: int) -> bool:
        return bool(self.cut) and zone != other and (zone in self.cut or other in self.cut)

    def answer(self, attempt: Attempt, result: Result) -> None:
        """A server has answered, or its connection broke."""
        owner, plan = attempt.owner, self.servers[attempt.server].plan
        way = self.one_way(owner.zone, plan.zone)
        if not self.is_cut(owner.zone, plan.zone):
            self.engine.after(way, owner.ended, attempt, result)

    def honours(self, first: int, part: float) -> bool:
        """Whether the client of a first try heeds Retry-After; the same under any policy."""
        return (first * 2246822519 >> 5) % 1000 < 1000 * part

    def breach(self, rule: str, node: int, request: ClientTry, server: int, what: str) -> None:
        self.judge.breach(rule, self.engine.now, node, request.id, server, what)

    # Processes of nodes.

    def start(self, node: int) -> SimulatedNode:
        """A process of a node starts with the list as it stood long ago, and asks for it."""
        process = SimulatedNode(
            self, node, self.seeds[len(self.processes[node]) + 61 * node % len(self.seeds)]
        )
        self.processes[node].append(process)
        process.list(ListKind.CACHED, 1, list(self.discovery.entries.values()))
        return process

    def end(self, process: SimulatedNode) -> None:
        process.die()
        if process in self.processes[process.node]:
            self.processes[process.node].remove(process)

    # The day.

    def play(self, begin: Callable[[Happening], None]) -> None:
        """From the first try to the last answer; `begin` makes what goes wrong, or is done, happen."""
        for happening in self.plan.acts + self.plan.troubles:
            self.engine.at(happening.at, self.note, happening)
            self.engine.at(happening.at, begin, happening)
        for i, server in enumerate(self.servers):
            self.engine.at(TICK * (i + 1) / len(self.servers), self.look_at, server)
        self.engine.at(0.0, self.sample)
        self.clients.schedule()
        self.engine.run(self.plan.length + AFTER)
        for server in self.servers:
            server.advance()

    def look_at(self, server: Server) -> None:
        server.look()
        self.engine.after(TICK, self.look_at, server)

    def note(self, happening: Happening) -> None:
        begin = happening.at / 1000
        self.happened.append((happening.name, begin, begin + happening.length / 1000))

    def sample(self) -> None:
        out = {i for group in self.processes for process in group for i in process.cordoned}
        capacity = sum(self.capacity_of(s) for s in self.servers if s.id not in out) / self.mean_work
        self.samples.append(
            Sample(
                at=round(self.engine.now / 1000, 3),
                held=[s.held for s in self.servers],
                choked=[s.plan.number for s in self.servers if s.choked],
                cold=[s.plan.number for s in self.servers if s.up and s.warmth() < 1.0],
                capacity=round(capacity, 6),
                nodes=[believed(group[-1]) if group else {} for group in self.processes],
            )
        )
        if self.engine.now < self.plan.length:
            self.engine.after(LOOK, self.sample)

    def result(self, policy: str) -> Run:
        choked = len(self.tally.choked)
        for at, number in self.tally.fallen:
            self.judge.breach("cold server", at, -1, -1, number, "sent more than it can bear, it fell over")
        verdict = self.judge.verdict(self.tally.useful, self.tally.done, choked / len(self.servers))
        return Run(
            scenario=self.scenario.name,
            seed=self.plan.seed,
            policy=policy,
            seconds=self.seconds,
            first_tries=self.judge.first_tries,
            tries=self.judge.tries,
            verdict=verdict,
            outcomes=self.clients.counts,
            asked=[round(x, 3) for x in self.judge.asked],
            earned=[round(x, 3) for x in self.judge.earned],
            refused=self.judge.refused,
            failed=self.judge.failed,
            choked=choked,
            fallen=self.tally.fallen,
            happenings=self.happened,
            breaches=self.judge.breaches,
            samples=self.samples,
            logs=self.logs,
        )


def believed(process: SimulatedNode) -> dict[str, float]:
    """What a node's module believes, where it has such figures."""
    policy = process.policy
    attributes = {  # by the names under which they are written out, which modules of older revisions use
        "in_flight": "in_flight_average",
        "need": "needed_in_flight",
        "x": "overload",
        "cut": "cut",
        "errors": "error_share",
        "rate": "timely_rate",
        "best_rate": "best_timely_rate",
        "mean": "mean_response_ms",
        "least": "fastest_mean_ms",
        "warm": "warm_servers",
    }
    found = {
        name: getattr(policy, attribute, getattr(policy, name, None))
        for name, attribute in attributes.items()
    }
    figures = {name: round(float(value), 4) for name, value in found.items() if value is not None}
    return figures | {"held": float(len(process.held))}
