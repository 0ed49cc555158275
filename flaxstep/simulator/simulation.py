"""The simulated farm: clients, the load balancer in front of the nodes, discovery, peer datagrams."""

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
from flaxstep.simulator.engine import Engine, RandomStreams
from flaxstep.simulator.job_servers import UPDATE_INTERVAL_MS, Attempt, Server, WorkTotals
from flaxstep.simulator.sampling import Happening, Plan, draw_plan
from flaxstep.simulator.scenario import Scenario
from flaxstep.simulator.scoring import Breach, Scorer, Verdict
from flaxstep.simulator.simulated_node import ClientTry, RoutingPolicy, SimulatedNode

SAMPLE_INTERVAL_MS = 250.0
RUN_ON_MS = 3000.0  # the run goes on for this long after the last arrival, so that open requests end
ALL_PEERS = 0xFFFF  # destination of a broadcast
PolicyFactory = Callable[[Settings, int], RoutingPolicy]


class Sample(msgspec.Struct, frozen=True):
    """The farm at one moment: the requests that servers hold, and the estimates of each node's policy."""

    at: float  # s
    held: list[int]  # requests held, by server
    choked: list[int]  # numbers of the throttled servers
    cold: list[int]  # numbers of the servers that are not warm
    capacity: float  # requests of mean work per ms that the servers can do now, without cordoned ones
    nodes: list[dict[str, float]]  # by node, see policy_figures


class Outcomes(msgspec.Struct):
    """Outcomes of the tries, counted by class.

    `in_time` (before the aim), `late` and `unserved` count clients, one each; `refused`, `failed` and
    `given_up` (client time-out) count every try.
    """

    in_time: list[int]
    late: list[int]
    unserved: list[int]
    refused: list[int]
    failed: list[int]
    given_up: list[int]


class Run(msgspec.Struct, frozen=True):
    """The result of a run, written as JSON to the result file."""

    scenario: str
    seed: int
    policy: str
    seconds: int
    first_tries: int
    tries: int
    verdict: Verdict
    outcomes: Outcomes
    asked: list[float]  # worth requested, by second of the first try
    earned: list[float]  # worth served, by second of the first try
    refused: list[int]  # responses, by second
    failed: list[int]  # likewise
    choked: int  # servers that were ever throttled
    fallen: list[tuple[float, int]]  # crashes of cold servers: time in ms, server number
    happenings: list[tuple[str, float, float]]  # name, start and end in s
    breaches: list[Breach]
    samples: list[Sample]
    logs: list[tuple[float, int, str]]


class FrontBalancer:
    """The load balancer before the nodes: spreads tries over the nodes of a zone that it believes are up."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.believed_up = [True] * len(simulation.plan.node_zones)
        self.nodes_by_zone: dict[int, list[int]] = {}
        self.rebuild_targets()

    def rebuild_targets(self) -> None:
        zones = self.simulation.plan.node_zones
        self.nodes_by_zone = {z: [] for z in range(self.simulation.scenario.fleet.zones)}
        self.nodes_up = [i for i, is_up in enumerate(self.believed_up) if is_up]
        for i in self.nodes_up:
            self.nodes_by_zone[zones[i]].append(i)

    def set_node_up(self, node: int, is_up: bool) -> None:
        """Change what the balancer believes of a node."""
        if self.believed_up[node] != is_up:
            self.believed_up[node] = is_up
            self.rebuild_targets()

    def pick_process(self, request: ClientTry) -> SimulatedNode | None:
        nodes = self.nodes_by_zone[request.zone] or self.nodes_up
        if not nodes:
            return None
        # By the index of the first try, so that the spread is the same under any policy.
        spread = (request.first_try * 2654435761 + request.number * 40503) >> 7
        processes = [p for p in self.simulation.processes[nodes[spread % len(nodes)]] if not p.stopping]
        return processes[spread % len(processes)] if processes else None


class Clients:
    """Sends the first tries of the run (open loop) and the retries of the clients."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        figures = simulation.plan.figures
        self.try_share, self.backoff_ms = figures["clients.try_share"], figures["clients.backoff_ms"]
        self.max_retries, self.honour_share = figures["clients.retries"], figures["clients.honour"]
        self.next_first_try = 0
        self.bucket_levels = [0.0] * len(simulation.plan.quotas)  # a leaky bucket per tenant, 1 s deep
        self.bucket_updated_at = [0.0] * len(simulation.plan.quotas)
        self.within_quota: dict[int, bool] = {}  # by first try, while its client has no final outcome
        none = [0] * len(simulation.scenario.classes)
        self.outcomes = Outcomes(*(none[:] for _ in range(6)))

    def schedule_first_try(self) -> None:
        tries = self.simulation.plan.tries
        if self.next_first_try < len(tries.at):
            self.simulation.engine.call_at(tries.at[self.next_first_try], self.send_first_try)

    def send_first_try(self) -> None:
        first_try, tries, simulation = self.next_first_try, self.simulation.plan.tries, self.simulation
        if first_try == len(tries.at):  # stop_first_tries was called meanwhile
            return
        self.next_first_try += 1
        self.schedule_first_try()
        cls, tenant, now = tries.cls[first_try], tries.tenant[first_try], simulation.engine.now
        within_quota = True
        if self.bucket_levels:
            leaked = (
                self.bucket_levels[tenant]
                - (now - self.bucket_updated_at[tenant]) / 1000 * simulation.plan.quotas[tenant]
            )
            self.bucket_levels[tenant], self.bucket_updated_at[tenant] = max(0.0, leaked), now
            within_quota = self.bucket_levels[tenant] <= simulation.plan.quotas[tenant]
            self.bucket_levels[tenant] += within_quota
        self.within_quota[first_try] = within_quota
        simulation.scorer.record_request(int(now / 1000), cls, tenant, self.worth_of(first_try), within_quota)
        simulation.scorer.counters.requested_work_ms += tries.work[first_try]
        self.begin_try(first_try, 0, now)

    def stop_first_tries(self) -> None:
        """Send no further first tries."""
        self.next_first_try = len(self.simulation.plan.tries.at)

    def worth_of(self, first_try: int) -> float:
        scenario = self.simulation.scenario
        part = 1.0 if self.within_quota[first_try] else scenario.load.over_share_worth
        return part * scenario.classes[self.simulation.plan.tries.cls[first_try]].worth

    def begin_try(self, first_try: int, number: int, first_try_at: float) -> None:
        simulation, tries = self.simulation, self.simulation.plan.tries
        request_class, now = simulation.scenario.classes[tries.cls[first_try]], simulation.engine.now
        due = min(now + self.try_share * request_class.deadline_ms, first_try_at + request_class.deadline_ms)
        request = ClientTry(
            first_try,
            number,
            tries.cls[first_try],
            tries.tenant[first_try],
            tries.zone[first_try],
            first_try_at,
            due,
        )
        simulation.scorer.tries += 1
        simulation.engine.call_at(due, self.on_try_timeout, request)
        process = simulation.front.pick_process(request)
        if process is None:
            simulation.engine.call_after(simulation.client_latency_ms, self.on_unreachable, request)
        else:
            simulation.engine.call_after(simulation.client_latency_ms, process.on_request, request)

    def on_try_timeout(self, request: ClientTry) -> None:
        if request.finished:
            return
        request.finished = True
        self.outcomes.given_up[request.cls] += 1
        simulation = self.simulation
        if request.process is not None:
            slack = simulation.scenario.rules.answer_slack_ms
            simulation.engine.call_after(
                slack + 2 * simulation.client_latency_ms, request.process.on_client_gone, request
            )
        self.record_unserved(request)

    def on_served(self, request: ClientTry) -> None:
        if request.finished:
            return
        request.finished = True
        simulation, first_try = self.simulation, request.first_try
        request_class, now = simulation.scenario.classes[request.cls], simulation.engine.now
        elapsed_ms = now - request.first_try_at
        part = (
            1.0
            if elapsed_ms <= request_class.aim_ms
            else request_class.late_worth
            if elapsed_ms <= request_class.deadline_ms
            else 0.0
        )
        (self.outcomes.in_time if elapsed_ms <= request_class.aim_ms else self.outcomes.late)[
            request.cls
        ] += 1
        second, within_quota = int(request.first_try_at / 1000), self.within_quota.pop(first_try)
        worth = request_class.worth * (1.0 if within_quota else simulation.scenario.load.over_share_worth)
        simulation.scorer.record_served(second, request.cls, request.tenant, part * worth, within_quota)

    def on_refused(self, request: ClientTry, wait_ms: float, process: SimulatedNode) -> None:
        if request.finished:
            return
        simulation = self.simulation
        self.outcomes.refused[request.cls] += 1
        simulation.scorer.refused[min(int(simulation.engine.now / 1000), simulation.seconds - 1)] += 1
        honours_header = simulation.honours_retry_after(request.first_try, self.honour_share)
        self.schedule_retry(request, max(self.backoff_ms, wait_ms) if honours_header else self.backoff_ms)

    def on_failed(self, request: ClientTry) -> None:
        """Clients retry a failed request only where a repeat does no harm."""
        if request.finished:
            return
        simulation, request_class = self.simulation, self.simulation.scenario.classes[request.cls]
        self.outcomes.failed[request.cls] += 1
        simulation.scorer.failed[min(int(simulation.engine.now / 1000), simulation.seconds - 1)] += 1
        if request_class.effect == "safe" or (
            request_class.effect == "keyed" and request_class.group == "all"
        ):
            self.schedule_retry(request, self.backoff_ms)
        else:
            request.finished = True
            self.record_unserved(request)

    def on_unreachable(self, request: ClientTry) -> None:
        if not request.finished:
            self.schedule_retry(request, self.backoff_ms)

    on_cut_off = on_failed

    def schedule_retry(self, request: ClientTry, wait_ms: float) -> None:
        """Schedule a client's next try, unless its retries or its deadline are used up."""
        simulation, request_class = self.simulation, self.simulation.scenario.classes[request.cls]
        request.finished = True
        if (
            request.number < int(self.max_retries)
            and simulation.engine.now + wait_ms < request.first_try_at + request_class.deadline_ms
        ):
            simulation.engine.call_after(
                wait_ms, self.begin_try, request.first_try, request.number + 1, request.first_try_at
            )
        else:
            self.record_unserved(request)

    def record_unserved(self, request: ClientTry) -> None:
        """The client gives up for good."""
        simulation, request_class = self.simulation, self.simulation.scenario.classes[request.cls]
        self.outcomes.unserved[request.cls] += 1
        if simulation.engine.now > request.first_try_at + request_class.aim_ms:
            simulation.scorer.counters.late_unserved_worth += self.worth_of(request.first_try)
        self.within_quota.pop(request.first_try, None)


class Discovery:
    """The discovery service: one for all nodes. It learns of changes late and answers few calls at once."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.uniform = simulation.streams.uniform("discovery")
        self.figures = simulation.plan.figures
        self.entries: dict[int, ServerEntry] = {s.id: self.make_entry(s) for s in simulation.servers}
        self.version = 1
        self.watchers: list[SimulatedNode] = []
        self.worker_free_at = [0.0] * max(
            1, int(self.figures["discovery.capacity"])
        )  # when each of its hands is free

    @staticmethod
    def make_entry(server: Server, state: State | None = None) -> ServerEntry:
        plan = server.plan
        return ServerEntry(
            server.id, plan.zone, plan.kind, plan.cell, state or server.state, 1.0, server.started_at
        )

    def request_list(self, process: SimulatedNode) -> None:
        """A node asks for the list and for later changes. The call waits for a free worker, or times out."""
        engine, listing = self.simulation.engine, self.simulation.scenario.discovery
        worker = min(range(len(self.worker_free_at)), key=self.worker_free_at.__getitem__)
        starts_at = max(self.worker_free_at[worker], engine.now)
        if starts_at - engine.now > listing.timeout_ms:
            engine.call_after(listing.timeout_ms, process.on_server_list, ListKind.FAILED, self.version, [])
            return
        self.worker_free_at[worker] = starts_at + self.figures["discovery.call_ms"]
        engine.call_at(self.worker_free_at[worker], self.send_full_list, process)

    def send_full_list(self, process: SimulatedNode) -> None:
        if process.alive:
            if process not in self.watchers:
                self.watchers.append(process)
            process.on_server_list(ListKind.FULL, self.version, list(self.entries.values()))

    def schedule_update(self, server: Server, state: State, delay_ms: float) -> None:
        """A server's state has changed; discovery notices it after a delay."""
        self.simulation.engine.call_after(delay_ms, self.publish_update, self.make_entry(server, state))

    def publish_update(self, entry: ServerEntry) -> None:
        self.version += 1
        if entry.state is State.GONE:
            self.entries.pop(entry.id, None)
        else:
            self.entries[entry.id] = entry
        self.watchers = [process for process in self.watchers if process.alive]
        for process in self.watchers:
            delay = self.figures["discovery.spread_ms"] * self.uniform()
            self.simulation.engine.call_after(
                delay, process.on_server_list, ListKind.DELTA, self.version, [entry]
            )


class PeerNetwork:
    """Datagrams between nodes, delayed or lost."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.uniform = simulation.streams.uniform("peers")

    def send(self, sender: SimulatedNode, peer: int, data: bytes) -> None:
        simulation, peers = self.simulation, self.simulation.scenario.peers
        if len(data) > 256:
            raise ValueError(f"a datagram has {len(data)} bytes, at most 256 are allowed")
        targets = range(len(simulation.processes)) if peer == ALL_PEERS else (peer,)
        for target in targets:
            if target == sender.node and peer == ALL_PEERS:
                continue
            lost = self.uniform() < peers.lost
            delay_ms = self.uniform.between(*peers.delay_ms)
            if lost or simulation.is_partitioned(sender.zone, simulation.plan.node_zones[target]):
                continue
            simulation.scorer.counters.peer_bytes += len(data)
            for process in simulation.processes[target]:
                simulation.engine.call_after(
                    delay_ms, process.dispatch_if_alive, PeerMessage(sender.node, data)
                )


class Simulation:
    """One run of a scenario, ready to be run once."""

    def __init__(
        self, scenario: Scenario, seed: int, policy_factory: PolicyFactory, knows_event: Callable[[str], bool]
    ) -> None:
        self.scenario, self.policy_factory, self._knows_event = scenario, policy_factory, knows_event
        self.plan: Plan = draw_plan(scenario, seed)
        self.engine, self.streams = Engine(), RandomStreams(seed)
        plan, figures = self.plan, self.plan.figures
        self.seconds = int(plan.length / 1000) + 1
        self.scorer, self.work_totals = Scorer(scenario, self.seconds), WorkTotals()
        self.client_latency_ms = figures["net.client_ms"]
        self.dial_timeout_ms, self.connection_idle_ms = (
            scenario.conn.dial_timeout_ms,
            1000.0 * scenario.conn.idle_s,
        )
        self.handshake_rtts = figures["conn.handshake_rtts"]
        self.handshake_work_ms = figures["conn.handshake_us"] / 1000
        self.cancel_running = bool(figures["cancel_running"])
        self.uniform_jitter = self.streams.uniform("jitter")
        self.partitioned_zones: set[int] = set()
        self.mean_work_ms = sum(plan.tries.work) / max(1, len(plan.tries.work))
        self.logs: list[tuple[float, int, str]] = []
        self.on_attempt: Callable[[SimulatedNode, Attempt, Result, float], None] | None = None
        self.on_request_finished: Callable[[SimulatedNode, int, int], None] | None = None
        self.samples: list[Sample] = []
        self.happened: list[tuple[str, float, float]] = []
        rules = scenario.rules
        crash_limits = (rules.tip_multiple, rules.tip_ms, rules.ramp_ms)
        faults = self.streams.uniform("faults")
        self.servers = [
            Server(
                self.engine,
                server_plan,
                plan.choke,
                crash_limits,
                self.work_totals,
                faults,
                self.deliver_result,
            )
            for server_plan in plan.servers
        ]
        ids = self.streams.generator("ids").choice(1 << 31, len(self.servers), replace=False).tolist()
        for server, number in zip(self.servers, ids, strict=True):
            server.id = number
        self.servers_by_id = {server.id: server for server in self.servers}
        self.discovery, self.peers = Discovery(self), PeerNetwork(self)
        seeds = self.streams.generator("nodes")
        self.seeds = [int(x) for x in seeds.integers(1 << 62, size=64 * len(plan.node_zones))]
        self.processes: list[list[SimulatedNode]] = [[] for _ in plan.node_zones]
        self.front, self.clients = FrontBalancer(self), Clients(self)
        for node in range(len(self.processes)):
            self.start_process(node)

    # What the parts of the simulation use of each other.

    def policy_settings(self, node: int) -> Settings:
        """The settings of a node's policy, limited to those that its revision knows."""
        scenario, rules = self.scenario, self.scenario.rules
        values: dict[str, Any] = {
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
        return Settings(**{name: value for name, value in values.items() if name in names})

    def knows_event(self, event: str) -> bool:
        """Whether the policy knows an event of this name; older revisions lack some."""
        return self._knows_event(event)

    def make_policy(self, node: int, seed: int) -> RoutingPolicy:
        policy = self.policy_factory(self.policy_settings(node), seed)
        if hasattr(policy, "view"):
            policy.view = self
        return policy

    def true_state(self) -> dict[int, tuple[float, float, float]]:
        """The true state, for the omniscient baseline; see TrueStateView."""
        return {
            s.id: (
                s.requests_held,
                s.plan.cores,
                self.mean_work_ms * s.plan.cores / max(self.current_capacity(s), 1e-9),
            )
            for s in self.servers
        }

    @staticmethod
    def current_capacity(server: Server) -> float:
        """ms of standard work per ms that a server can do now."""
        if not server.up or server.paused:
            return 0.0
        slower = server.throttling.slower if server.is_throttled else 1.0
        return server.capacity * server.warm_share() * (1.0 - server.taken) / server.slow / slower

    def one_way_delay(self, zone: int, other: int) -> float:
        figures = self.plan.figures
        one_way_ms = figures["net.same_ms" if zone == other else "net.cross_ms"]
        return one_way_ms * (1.0 + figures["net.jitter"] * (2.0 * self.uniform_jitter() - 1.0))

    def is_partitioned(self, zone: int, other: int) -> bool:
        return (
            bool(self.partitioned_zones)
            and zone != other
            and (zone in self.partitioned_zones or other in self.partitioned_zones)
        )

    def deliver_result(self, attempt: Attempt, result: Result) -> None:
        """Send a result back to the node, unless a partition drops it."""
        owner, plan = attempt.owner, self.servers[attempt.server].plan
        one_way_ms = self.one_way_delay(owner.zone, plan.zone)
        if not self.is_partitioned(owner.zone, plan.zone):
            self.engine.call_after(one_way_ms, owner.on_attempt_outcome, attempt, result)

    def honours_retry_after(self, first_try: int, part: float) -> bool:
        """Whether the client of a first try honours Retry-After; the same under any policy."""
        return (first_try * 2246822519 >> 5) % 1000 < 1000 * part

    def record_breach(self, rule: str, node: int, request: ClientTry, server: int, what: str) -> None:
        self.scorer.record_breach(rule, self.engine.now, node, request.request_id, server, what)

    # Processes of nodes.

    def start_process(self, node: int) -> SimulatedNode:
        """Start a process of a node, with a cached list; the policy asks discovery for a new one."""
        process = SimulatedNode(
            self, node, self.seeds[len(self.processes[node]) + 61 * node % len(self.seeds)]
        )
        self.processes[node].append(process)
        process.on_server_list(ListKind.CACHED, 1, list(self.discovery.entries.values()))
        return process

    def end_process(self, process: SimulatedNode) -> None:
        process.kill()
        if process in self.processes[process.node]:
            self.processes[process.node].remove(process)

    # The run.

    def run(self, start_happening: Callable[[Happening], None]) -> None:
        """Runs from the first try to the last response; `start_happening` starts each trouble or act."""
        for happening in self.plan.acts + self.plan.troubles:
            self.engine.call_at(happening.at, self.record_happening, happening)
            self.engine.call_at(happening.at, start_happening, happening)
        for i, server in enumerate(self.servers):
            self.engine.call_at(UPDATE_INTERVAL_MS * (i + 1) / len(self.servers), self.update_server, server)
        self.engine.call_at(0.0, self.take_sample)
        self.clients.schedule_first_try()
        self.engine.run(self.plan.length + RUN_ON_MS)
        for server in self.servers:
            server.advance_work()

    def update_server(self, server: Server) -> None:
        server.update_state()
        self.engine.call_after(UPDATE_INTERVAL_MS, self.update_server, server)

    def record_happening(self, happening: Happening) -> None:
        begin = happening.at / 1000
        self.happened.append((happening.name, begin, begin + happening.length / 1000))

    def take_sample(self) -> None:
        cordoned = {i for group in self.processes for process in group for i in process.cordoned_since}
        capacity = (
            sum(self.current_capacity(s) for s in self.servers if s.id not in cordoned) / self.mean_work_ms
        )
        self.samples.append(
            Sample(
                at=round(self.engine.now / 1000, 3),
                held=[s.requests_held for s in self.servers],
                choked=[s.plan.number for s in self.servers if s.is_throttled],
                cold=[s.plan.number for s in self.servers if s.up and s.warm_share() < 1.0],
                capacity=round(capacity, 6),
                nodes=[policy_figures(group[-1]) if group else {} for group in self.processes],
            )
        )
        if self.engine.now < self.plan.length:
            self.engine.call_after(SAMPLE_INTERVAL_MS, self.take_sample)

    def build_result(self, policy: str) -> Run:
        choked = len(self.work_totals.throttled_servers)
        for at, number in self.work_totals.crashes:
            self.scorer.record_breach(
                "cold server", at, -1, -1, number, "sent more than it can bear, it fell over"
            )
        verdict = self.scorer.compute_verdict(
            self.work_totals.useful_ms, self.work_totals.done_ms, choked / len(self.servers)
        )
        return Run(
            scenario=self.scenario.name,
            seed=self.plan.seed,
            policy=policy,
            seconds=self.seconds,
            first_tries=self.scorer.first_tries,
            tries=self.scorer.tries,
            verdict=verdict,
            outcomes=self.clients.outcomes,
            asked=[round(x, 3) for x in self.scorer.asked],
            earned=[round(x, 3) for x in self.scorer.earned],
            refused=self.scorer.refused,
            failed=self.scorer.failed,
            choked=choked,
            fallen=self.work_totals.crashes,
            happenings=self.happened,
            breaches=self.scorer.breaches,
            samples=self.samples,
            logs=self.logs,
        )


def policy_figures(process: SimulatedNode) -> dict[str, float]:
    """The estimates of a node's policy, those that it has, and the requests that the node holds."""
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
    return figures | {"held": float(len(process.open_requests))}
