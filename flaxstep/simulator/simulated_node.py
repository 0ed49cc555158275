"""A simulated node: hosts an unmodified routing policy and carries out its actions in virtual time.

It stands in for `flaxstep/proxy/node.py`: scheduled calls replace sockets, and all routing decisions are the
policy's. It also checks from the outside that the policy keeps the rules, and records each breach.
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

PROBE_TIMEOUT_MS = 120.0


class RoutingPolicy(Protocol):
    """What the simulator needs from a routing policy: `Policy` of any revision, or a baseline."""

    def handle(self, now: float, event: Any) -> list[Any]: ...


@dataclass(slots=True, eq=False)
class ClientTry:
    """One try of a client: the first request or one of its retries."""

    first_try: int  # index of the client's first try in FirstTries
    number: int  # 0 is the first try
    cls: int
    tenant: int
    zone: int
    first_try_at: float  # ms
    due: float  # ms; the client gives up this try then
    process: SimulatedNode | None = None  # that received it
    request_id: int = 0  # unique within the process
    attempts_sent: int = 0
    finished: bool = False  # the client has a response or has given up
    open_attempts: dict[int, Attempt] = field(default_factory=dict)  # by attempt number
    # Attempts not proven never to have run, by attempt number: send time and attempt.
    may_have_run: dict[int, tuple[float, Attempt]] = field(default_factory=dict)


class ClientCallbacks(Protocol):
    """Callbacks through which a node process reports to the clients."""

    def on_served(self, request: ClientTry) -> None: ...
    def on_refused(self, request: ClientTry, wait_ms: float, process: SimulatedNode) -> None: ...
    def on_failed(self, request: ClientTry) -> None: ...
    def on_unreachable(self, request: ClientTry) -> None: ...
    def on_cut_off(self, request: ClientTry) -> None: ...


class ListService(Protocol):
    """The discovery service as a node process sees it."""

    def request_list(self, process: SimulatedNode) -> None: ...


class PeerChannel(Protocol):
    """Sends datagrams to other nodes."""

    def send(self, sender: SimulatedNode, peer: int, data: bytes) -> None: ...


class SimulationContext(Protocol):
    """What a node process uses of the simulation: scenario, servers, network, clients, discovery."""

    scenario: Scenario
    plan: Plan
    engine: Engine
    scorer: Scorer
    work_totals: WorkTotals
    servers: list[Server]
    servers_by_id: dict[int, Server]
    logs: list[tuple[float, int, str]]
    # Observers, set when a staged release is simulated.
    on_attempt: Callable[[SimulatedNode, Attempt, Result, float], None] | None
    on_request_finished: Callable[[SimulatedNode, int, int], None] | None
    client_latency_ms: float
    dial_timeout_ms: float
    connection_idle_ms: float
    handshake_rtts: float
    handshake_work_ms: float
    cancel_running: bool

    @property
    def clients(self) -> ClientCallbacks: ...
    @property
    def discovery(self) -> ListService: ...
    @property
    def peers(self) -> PeerChannel: ...

    def make_policy(self, node: int, seed: int) -> RoutingPolicy: ...
    def knows_event(self, event: str) -> bool: ...
    def one_way_delay(self, zone: int, other: int) -> float: ...
    def is_partitioned(self, zone: int, other: int) -> bool: ...
    def record_breach(self, rule: str, node: int, request: ClientTry, server: int, what: str) -> None: ...


class SimulatedNode:
    """One process of a node. A node has two of them while it is upgraded."""

    def __init__(self, simulation: SimulationContext, node: int, seed: int) -> None:
        self.simulation, self.node, self.zone = simulation, node, simulation.plan.node_zones[node]
        self.alive, self.stopping = True, False
        self.open_requests: dict[int, ClientTry] = {}
        self.open_attempts: dict[tuple[int, int], Attempt] = {}  # by request id and attempt number
        self.last_request_id = 0
        self.subscribed = False
        # By server id: the state that the list last gave, and since when.
        self.listed_states: dict[int, tuple[State, float]] = {}
        self.cordoned_since: dict[int, float] = {}  # by server id
        self.policy: RoutingPolicy = simulation.make_policy(node, seed)
        self.action_handlers: dict[str, Callable[[Any], None]] = {
            "Send": self.send_attempt,
            "Refuse": self.refuse_request,
            "Fail": self.fail_request,
            "Cancel": self.cancel_attempt,
            "Wake": self.set_timer,
            "Probe": self.send_probe,
            "Subscribe": self.subscribe_to_list,
            "Tell": self.send_to_peer,
            "Log": self.append_log,
        }

    # Events to the policy, actions from it.

    def dispatch_event(self, event: Any) -> None:
        for action in self.policy.handle(self.simulation.engine.now, event):
            self.action_handlers[type(action).__name__](action)

    def dispatch_if_alive(self, event: Any) -> None:
        if self.alive:
            self.dispatch_event(event)

    def dispatch_if_known(self, name: str, *values: Any) -> None:
        """Dispatch an event of interface.py by name, unless the policy is of a revision that lacks it."""
        event_type = getattr(interface, name, None)
        if event_type is not None and self.alive and self.simulation.knows_event(name):
            self.dispatch_event(event_type(*values))

    def on_request(self, request: ClientTry) -> None:
        """A request has been received completely."""
        simulation = self.simulation
        if not self.alive:
            simulation.engine.call_after(
                simulation.client_latency_ms, simulation.clients.on_unreachable, request
            )
            return
        if request.finished:
            return
        self.last_request_id += 1
        request.request_id, request.process = self.last_request_id, self
        self.open_requests[request.request_id] = request
        due = request.due - simulation.scenario.margin_ms
        self.dispatch_event(Request(request.request_id, request.cls, due, 0, request.tenant))

    def on_client_gone(self, request: ClientTry) -> None:
        """The client has disconnected or no longer waits."""
        if not self.alive or self.open_requests.pop(request.request_id, None) is None:
            return
        simulation = self.simulation
        if simulation.engine.now > request.due + simulation.scenario.rules.answer_slack_ms:
            simulation.record_breach("lost request", self.node, request, -1, "no final answer in time")
        self.dispatch_event(Withdrawn(request.request_id))

    # Actions.

    def send_attempt(self, action: Any) -> None:
        simulation, now = self.simulation, self.simulation.engine.now
        request = self.open_requests.get(action.id)
        if request is None:
            return
        number, request.attempts_sent = request.attempts_sent, request.attempts_sent + 1
        if number >= simulation.scenario.rules.max_attempts:  # not sent, as WIRE requires
            outcome = Outcome(request.request_id, action.server, False, Result.NOT_SENT, number, 0.0)
            simulation.engine.call_after(simulation.scenario.tick_ms, self.dispatch_if_alive, outcome)
            return
        server = simulation.servers_by_id[action.server]
        self.check_send_rules(request, action.server)
        first_try, plan = request.first_try, simulation.plan
        noise = plan.noise[request.cls]
        work_ms = (
            plan.tries.work[first_try]
            * noise[(first_try * 61 + request.number * 17 + number * 5) % len(noise)]
        )
        attempt = Attempt(
            self, request.request_id, number, request.cls, server.plan.number, work_ms, now, server.plan.cell,
            server.plan.zone,
        )  # fmt: skip
        request.open_attempts[number] = attempt
        request.may_have_run[number] = (now, attempt)
        self.open_attempts[request.request_id, number] = attempt
        counters = simulation.scorer.counters
        counters.attempts += 1
        counters.cross_zone_attempts += server.plan.zone != self.zone
        timeout_ms = request.due - simulation.scenario.margin_ms - now
        if action.limit:
            timeout_ms = min(timeout_ms, action.limit)
        one_way_ms = simulation.one_way_delay(self.zone, server.plan.zone)
        attempt.times_out_at = now + timeout_ms
        simulation.engine.call_at(attempt.times_out_at, self.on_attempt_timeout, attempt)
        if simulation.is_partitioned(self.zone, server.plan.zone):
            simulation.engine.call_after(
                simulation.dial_timeout_ms, self.on_attempt_outcome, attempt, Result.UNREACHABLE
            )
            return
        if not server.up:
            simulation.engine.call_after(2 * one_way_ms, self.on_attempt_outcome, attempt, Result.UNREACHABLE)
            return
        is_new_connection = server.acquire_connection(self.node, simulation.connection_idle_ms)
        if is_new_connection is None:
            simulation.engine.call_after(2 * one_way_ms, self.on_attempt_outcome, attempt, Result.FULL)
            return
        if is_new_connection:
            one_way_ms += simulation.handshake_rtts * 2 * one_way_ms
            attempt.work_ms += simulation.handshake_work_ms
        simulation.engine.call_after(one_way_ms, server.on_arrival, attempt)

    def check_send_rules(self, request: ClientTry, server_id: int) -> None:
        """Record a breach if this send breaks a rule: second copy, drain, cordon or duplicate."""
        simulation, now = self.simulation, self.simulation.engine.now
        rules = simulation.scenario.rules
        if request.open_attempts:
            simulation.record_breach(
                "second copy", self.node, request, server_id, "an attempt is out already"
            )
        state, since = self.listed_states.get(server_id, (State.GONE, NEVER))
        if state is not State.READY and now - since > rules.drain_grace_ms:
            simulation.record_breach(
                "drain", self.node, request, server_id, f"{now - since:.0f} ms after it was told"
            )
        if now > self.cordoned_since.get(server_id, NEVER):
            simulation.record_breach("cordon", self.node, request, server_id, "taken out by hand")
        if not request.may_have_run:
            return
        request_class, target = (
            simulation.scenario.classes[request.cls],
            simulation.servers_by_id[server_id].plan,
        )
        if request_class.effect == "safe":
            return
        for sent_at, attempt in request.may_have_run.values():
            shares_group = {
                "all": True,
                "zone": attempt.zone == target.zone,
                "cell": attempt.cell == target.cell,
            }
            if (
                request_class.effect == "unsafe"
                or now - sent_at >= request_class.window_ms
                or not shares_group[request_class.group]
            ):
                simulation.record_breach(
                    "duplicate", self.node, request, server_id, f"{request_class.name} may have run"
                )
                return

    def refuse_request(self, action: Any) -> None:
        request = self.open_requests.pop(action.id, None)
        if request is None:
            return
        request_class = self.simulation.scenario.classes[request.cls]
        repeat_is_safe = request_class.effect == "safe" or (
            request_class.effect == "keyed" and request_class.group == "all"
        )
        if request.may_have_run and not repeat_is_safe:
            self.simulation.record_breach(
                "duplicate", self.node, request, -1, "refused though it may have run"
            )
        self.report_request_end(request, 1)
        self.simulation.engine.call_after(
            self.simulation.client_latency_ms, self.simulation.clients.on_refused, request, action.wait, self
        )

    def fail_request(self, action: Any) -> None:
        request = self.open_requests.pop(action.id, None)
        if request is not None:
            self.report_request_end(request, 2)
            self.simulation.engine.call_after(
                self.simulation.client_latency_ms, self.simulation.clients.on_failed, request
            )

    def report_request_end(self, request: ClientTry, result_index: int) -> None:
        """Tell the observer that a request was served (0), refused (1) or failed (2)."""
        if self.simulation.on_request_finished is not None:
            self.simulation.on_request_finished(self, request.cls, result_index)

    def cancel_attempt(self, action: Any) -> None:
        attempt = self.open_attempts.get((action.id, action.attempt))
        if attempt is not None and not attempt.has_outcome:
            self.abandon_attempt(attempt, Result.CANCELLED)

    def set_timer(self, action: Any) -> None:
        self.simulation.engine.call_after(action.delay, self.dispatch_if_alive, Timer(action.token))

    def send_probe(self, action: Any) -> None:
        simulation, server = self.simulation, self.simulation.servers_by_id[action.server]
        simulation.scorer.counters.probes += 1
        one_way_ms = simulation.one_way_delay(self.zone, server.plan.zone)
        partitioned = simulation.is_partitioned(self.zone, server.plan.zone)
        if partitioned or not server.up:
            elapsed_ms = PROBE_TIMEOUT_MS if partitioned else 2 * one_way_ms
            simulation.engine.call_after(
                elapsed_ms, self.dispatch_if_alive, ProbeResult(action.server, Result.UNREACHABLE, elapsed_ms)
            )
            return
        report = (float(server.requests_held),)
        simulation.engine.call_after(
            2 * one_way_ms,
            self.dispatch_if_alive,
            ProbeResult(action.server, Result.OK, 2 * one_way_ms, report),
        )

    def subscribe_to_list(self, _: Any) -> None:
        self.simulation.discovery.request_list(self)

    def send_to_peer(self, action: Any) -> None:
        self.simulation.peers.send(self, action.peer, action.data)

    def append_log(self, action: Any) -> None:
        if len(self.simulation.logs) < 2000:
            self.simulation.logs.append((round(self.simulation.engine.now, 3), self.node, action.text))

    # Outcomes.

    def on_attempt_timeout(self, attempt: Attempt) -> None:
        if not attempt.has_outcome:
            self.abandon_attempt(attempt, Result.TIMEOUT)

    def abandon_attempt(self, attempt: Attempt, result: Result) -> None:
        """Stop waiting for an attempt, and tell its server."""
        server = self.simulation.servers[attempt.server]
        server.abandon_attempt(attempt, self.simulation.cancel_running)
        self.on_attempt_outcome(attempt, result)

    def on_attempt_outcome(self, attempt: Attempt, result: Result) -> None:
        """An attempt has ended with this result, as the node sees it."""
        if attempt.has_outcome:
            return
        attempt.has_outcome = True
        simulation = self.simulation
        self.open_attempts.pop((attempt.request_id, attempt.number), None)
        server = simulation.servers[attempt.server]
        if result is not Result.UNREACHABLE:
            server.release_connection(self.node, result in (Result.OK, Result.ERROR, Result.FULL))
        if not self.alive:
            return
        request = self.open_requests.get(attempt.request_id)
        if request is not None:
            request.open_attempts.pop(attempt.number, None)
            if result in NEVER_RAN:
                request.may_have_run.pop(attempt.number, None)
            if result is Result.OK:
                del self.open_requests[attempt.request_id]
                simulation.work_totals.useful_ms += attempt.work_ms
                self.report_request_end(request, 0)
                simulation.engine.call_after(
                    simulation.client_latency_ms, simulation.clients.on_served, request
                )
        elapsed = simulation.engine.now - attempt.sent_at
        if simulation.on_attempt is not None:
            simulation.on_attempt(self, attempt, result, elapsed)
        request_over = attempt.request_id not in self.open_requests
        self.dispatch_event(
            Outcome(attempt.request_id, server.id, request_over, result, attempt.number, elapsed)
        )

    # Server lists, operator calls, and the end of the process.

    def on_server_list(self, kind: ListKind, version: int, entries: list[ServerEntry]) -> None:
        """A server list, or changes to it, have come from discovery."""
        if not self.alive:
            return
        now = self.simulation.engine.now
        if kind is ListKind.FULL:
            listed_ids = {entry.id for entry in entries}
            for missing in [
                i
                for i, (state, _) in self.listed_states.items()
                if state is State.READY and i not in listed_ids
            ]:
                self.listed_states[missing] = State.GONE, now
        for entry in entries:
            if self.listed_states.get(entry.id, (None, 0.0))[0] is not entry.state:
                self.listed_states[entry.id] = entry.state, now
        self.dispatch_event(ServerList(kind, version, entries))

    def cordon(self, server: int) -> None:
        if self.alive:
            if self.simulation.knows_event("Cordon"):
                self.cordoned_since[server] = self.simulation.engine.now
            self.dispatch_if_known("Cordon", server)

    def uncordon(self, server: int) -> None:
        if self.alive:
            self.cordoned_since.pop(server, None)
            self.dispatch_if_known("Uncordon", server, self.simulation.engine.now)

    def kill(self) -> None:
        """The process is killed: clients see their connections reset, job servers see theirs closed."""
        self.alive = False
        simulation = self.simulation
        for attempt in self.open_attempts.values():
            attempt.has_outcome = True
            simulation.servers[attempt.server].abandon_attempt(attempt, simulation.cancel_running)
        self.open_attempts.clear()
        for request in self.open_requests.values():
            simulation.engine.call_after(simulation.client_latency_ms, simulation.clients.on_cut_off, request)
        self.open_requests.clear()
