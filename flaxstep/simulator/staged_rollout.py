"""A staged release in a simulated run: the real release state machine, in virtual time.

It stands in for `flaxstep/rollout/io`: calls into the simulation replace admin ports and commands. How a
version differs is described by the same VersionBehaviour as in the rig.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from flaxstep.proxy.metrics import ServerMetrics
from flaxstep.rollout.actions import Action, ActionKind, ActionResult
from flaxstep.rollout.plan import Member, Plan
from flaxstep.rollout.release import Release, State, assign_waves
from flaxstep.rollout.snapshot import (
    ListedServer,
    NodeView,
    ProcessView,
    ResponseCounters,
    ServerCounters,
    Snapshot,
)
from flaxstep.rollout.state_machine import ReleaseStateMachine
from flaxstep.routing.interface import Result as AttemptResult
from flaxstep.routing.interface import State as Lifecycle
from flaxstep.simulator.engine import UniformStream
from flaxstep.simulator.fault_config import VersionBehaviour
from flaxstep.simulator.job_servers import Attempt
from flaxstep.simulator.simulated_node import SimulatedNode
from flaxstep.simulator.simulation import Simulation

ADMIN_CALL_MS = 5.0


class SimulatedRollout:
    """A release to the simulated job servers.

    `new_behaviour` is how the new version differs; `uniform` is the random stream for durations of commands.
    """

    def __init__(
        self, simulation: Simulation, plan: Plan, new_behaviour: VersionBehaviour, uniform: UniformStream
    ) -> None:
        self.simulation, self.plan, self.new_behaviour, self.uniform = (
            simulation,
            plan,
            new_behaviour,
            uniform,
        )
        self.servers = {str(server.plan.number): server for server in simulation.servers}
        self.original_plans = {name: server.plan for name, server in self.servers.items()}
        self.running_versions = dict.fromkeys(self.servers, plan.from_)
        self.classes = [c.name for c in simulation.scenario.classes]
        self.metrics: dict[SimulatedNode, ServerMetrics] = {}
        self.request_counts: dict[SimulatedNode, list[list[int]]] = {}
        members = [
            Member(name, str(s.plan.zone), s.plan.cores * s.plan.speed) for name, s in self.servers.items()
        ]
        self.release, self.standings = Release(), assign_waves(plan, members)
        admin_addresses = {str(node): (str(node),) for node in range(len(simulation.processes))}
        self.state_machine = ReleaseStateMachine(plan, self.release, self.standings, admin_addresses)
        self.ended_at = float("inf")
        self.max_members_out = 0
        self.members_at_halt = 0  # members on the new version when it was found bad
        self.on_release_over: Callable[[], None] = lambda: None
        simulation.on_attempt, simulation.on_request_finished = (
            self.on_attempt_finished,
            self.on_request_finished,
        )
        simulation.engine.call_at(0.0, self.tick)

    # Metrics of the nodes.

    def metrics_of(self, process: SimulatedNode) -> ServerMetrics:
        """A process's metrics of job servers; those of a server are reset when the list shows a new start."""
        metrics = self.metrics.get(process)
        if metrics is None:
            metrics = self.metrics[process] = ServerMetrics(self.classes)
        return metrics

    def on_attempt_finished(
        self, process: SimulatedNode, attempt: Attempt, result: AttemptResult, elapsed_ms: float
    ) -> None:
        server = self.simulation.servers[attempt.server]
        metrics = self.metrics_of(process)
        if attempt.server not in metrics.servers:
            metrics.add_server(attempt.server, str(attempt.server), server.started_at)
        metrics.record_attempt(attempt.server, attempt.cls, result, elapsed_ms)

    def on_request_finished(self, process: SimulatedNode, cls: int, result_index: int) -> None:
        """A request was served (0), refused (1) or failed (2)."""
        counts = self.request_counts.setdefault(process, [[0, 0, 0] for _ in self.classes])
        counts[cls][result_index] += 1

    # Ticks and snapshots.

    def tick(self) -> None:
        now = self.simulation.engine.now / 1000
        was_rolling = self.release.state is State.IN_PROGRESS
        actions = self.state_machine.tick(now, self.take_snapshot(now))
        if was_rolling and self.release.state is State.ROLLING_BACK:
            self.members_at_halt = sum(version == self.plan.to for version in self.running_versions.values())
        self.max_members_out = max(
            self.max_members_out, sum(member.out_of_service for member in self.standings.values())
        )
        if self.state_machine.finished:
            self.ended_at = now
            self.on_release_over()
            return
        for action in actions:
            self.standings[action.member].open = -1
            self.perform_action(action)
        self.simulation.engine.call_after(1000 * self.plan.watch.look_s, self.tick)

    def take_snapshot(self, now: float) -> Snapshot:
        entries = self.simulation.discovery.entries.values()
        started = {self.simulation.servers_by_id[e.id].plan.number: round(e.started) for e in entries}
        listed = {
            str(number): ListedServer(str(number), "", str(s.plan.zone), 1.0, "active", started[number])
            for s in self.simulation.servers
            if (number := s.plan.number) in started
        }
        nodes = {}
        for node, node_processes in enumerate(self.simulation.processes):
            processes = tuple(
                self.observe_process(process, started) for process in node_processes if process.alive
            )
            nodes[str(node)] = NodeView(str(node), processes, "" if processes else "connection refused")
        return Snapshot(now, nodes, listed)

    def observe_process(self, process: SimulatedNode, started: dict[int, int]) -> ProcessView:
        metrics, held = self.metrics_of(process), Counter(a.server for a in process.open_attempts.values())
        cordoned = {self.simulation.servers_by_id[i].plan.number for i in process.cordoned_since}
        servers = {}
        for number, started_at in started.items():
            server_metrics = metrics.servers.get(number)
            if server_metrics is not None and round(server_metrics.started_at) != started_at:
                metrics.add_server(number, str(number), float(started_at))
                server_metrics = None
            classes = {}
            for cls, name in enumerate(self.classes):
                if server_metrics is None:
                    classes[name] = ResponseCounters()
                    continue
                duration_counts = Counter(
                    {b: n for b, n in enumerate(server_metrics.latency_counts[cls]) if n}
                )
                classes[name] = ResponseCounters(
                    duration_counts.total(),
                    server_metrics.failed[cls],
                    server_metrics.not_started[cls],
                    duration_counts,
                )
            servers[str(number)] = ServerCounters(
                held.get(number, 0), number in cordoned, started_at, classes
            )
        counts = self.request_counts.get(process, [[0, 0, 0] for _ in self.classes])
        results = {n: (c[0], c[1], c[2]) for n, c in zip(self.classes, counts, strict=True)}
        return ProcessView(f"{process.node}-{id(process)}", "ready", servers, results)

    # Actions.

    def perform_action(self, action: Action) -> None:
        engine, server = self.simulation.engine, self.servers[action.member]
        if action.kind in (ActionKind.CORDON, ActionKind.UNCORDON):
            unreachable = [
                node for node, node_processes in enumerate(self.simulation.processes) if not node_processes
            ]
            for node_processes in self.simulation.processes:
                for process in node_processes:
                    call = process.cordon if action.kind is ActionKind.CORDON else process.uncordon
                    engine.call_after(ADMIN_CALL_MS * self.uniform(), call, server.id)
            error = f"{unreachable[0]}: connection refused" if unreachable else ""
            engine.call_after(ADMIN_CALL_MS, self.report_result, action, ActionResult(not unreachable, error))
        elif action.kind is ActionKind.RESTART:
            down = 1000 * self.uniform.between(0.5, 3.0)
            server.stop_process()
            server.state = Lifecycle.GONE
            self.simulation.discovery.schedule_update(server, Lifecycle.GONE, 500.0)
            engine.call_after(down, self.finish_restart, action)
        else:
            is_up = server.up
            output = (
                self.running_versions[action.member]
                if action.kind is ActionKind.VERSION
                else ""
                if is_up
                else "connection refused"
            )
            engine.call_after(ADMIN_CALL_MS, self.report_result, action, ActionResult(is_up, output))

    def finish_restart(self, action: Action) -> None:
        """Start the new process. The differences of its version take effect `after_s` after its start."""
        server, original_plan = self.servers[action.member], self.original_plans[action.member]
        self.running_versions[action.member] = action.version
        server.plan, server.capacity = original_plan, original_plan.cores * original_plan.speed
        server.start_process()
        self.simulation.discovery.schedule_update(
            server, Lifecycle.READY, 1000 * self.simulation.plan.figures["discovery.add_s"]
        )
        if action.version == self.plan.to:
            self.simulation.engine.call_after(
                1000 * self.new_behaviour.after_s,
                self.apply_version_behaviour,
                action.member,
                server.started_at,
            )
        self.report_result(action, ActionResult(True))

    def apply_version_behaviour(self, name: str, started: float) -> None:
        server, new_behaviour = self.servers[name], self.new_behaviour
        if server.started_at != started:
            return
        server.advance_work()
        plan = replace(server.plan, error_rate=min(1.0, server.plan.error_rate + new_behaviour.errors))
        # Loses efficiency under load: `slow` for each multiple of `slow_over` that it holds beyond it.
        if new_behaviour.slow_over:
            plan = replace(plan, thrash=new_behaviour.slow, thrash_at=new_behaviour.slow_over)
        else:
            plan = replace(plan, speed=plan.speed / new_behaviour.slow)
        server.plan, server.capacity = plan, plan.cores * plan.speed
        server.reschedule_completion()

    def report_result(self, action: Action, result: ActionResult) -> None:
        self.standings[action.member].open = 0
        self.state_machine.on_action_ended(action, result, self.simulation.engine.now / 1000)
