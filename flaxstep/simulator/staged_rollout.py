"""A staged release in a day of the model: the real course, with looks and acts in virtual time.

What `flaxstep/rollout/io` does with doors and commands, this does with calls into the world. A version
differs by the figures that the rig's versions have.
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
from flaxstep.routing.interface import Result as Ended
from flaxstep.routing.interface import State as Lifecycle
from flaxstep.simulator.engine import Chance
from flaxstep.simulator.fault_config import Figures
from flaxstep.simulator.job_servers import Attempt
from flaxstep.simulator.simulated_node import SimulatedNode
from flaxstep.simulator.simulation import Simulation

CALL_MS = 5.0  # a call at a door


class SimulatedRollout:
    """A release of the world's job servers; `to` is how the version differs, `chance` when commands end."""

    def __init__(self, world: Simulation, plan: Plan, to: Figures, chance: Chance) -> None:
        self.world, self.plan, self.to, self.chance = world, plan, to, chance
        self.servers = {str(server.plan.number): server for server in world.servers}
        self.whole = {name: server.plan for name, server in self.servers.items()}
        self.runs = dict.fromkeys(self.servers, plan.from_)
        self.classes = [c.name for c in world.scenario.classes]
        self.figures: dict[SimulatedNode, ServerMetrics] = {}
        self.results: dict[SimulatedNode, list[list[int]]] = {}
        members = [
            Member(name, str(s.plan.zone), s.plan.cores * s.plan.speed) for name, s in self.servers.items()
        ]
        self.release, self.standings = Release(), assign_waves(plan, members)
        doors = {str(node): (str(node),) for node in range(len(world.processes))}
        self.state_machine = ReleaseStateMachine(plan, self.release, self.standings, doors)
        self.ended_at = float("inf")
        self.most_out = 0
        self.halted_with = 0  # members that had the version when it was found bad
        self.at_over: Callable[[], None] = lambda: None  # called when the release is over
        world.on_attempt, world.on_answer = self.attempt_ended, self.answered
        world.engine.at(0.0, self.look)

    # What nodes count.

    def known(self, process: SimulatedNode) -> ServerMetrics:
        """A process's figures of job servers, which begin anew where its list tells of a new start."""
        figures = self.figures.get(process)
        if figures is None:
            figures = self.figures[process] = ServerMetrics(self.classes)
        return figures

    def attempt_ended(self, process: SimulatedNode, attempt: Attempt, result: Ended, took: float) -> None:
        server = self.world.servers[attempt.server]
        figures = self.known(process)
        if attempt.server not in figures.servers:
            figures.listed(attempt.server, str(attempt.server), server.started)
        figures.ended(attempt.server, attempt.cls, result, took)

    def answered(self, process: SimulatedNode, cls: int, which: int) -> None:
        """A request was served (0), refused (1) or failed (2)."""
        counts = self.results.setdefault(process, [[0, 0, 0] for _ in self.classes])
        counts[cls][which] += 1

    # A look.

    def look(self) -> None:
        now = self.world.engine.now / 1000
        rolling = self.release.state is State.IN_PROGRESS
        actions = self.state_machine.tick(now, self.view(now))
        if rolling and self.release.state is State.ROLLING_BACK:
            self.halted_with = sum(version == self.plan.to for version in self.runs.values())
        self.most_out = max(self.most_out, sum(member.out_of_service for member in self.standings.values()))
        if self.state_machine.finished:
            self.ended_at = now
            self.at_over()
            return
        for action in actions:
            self.standings[action.member].open = -1
            self.perform(action)
        self.world.engine.after(1000 * self.plan.watch.look_s, self.look)

    def view(self, now: float) -> Snapshot:
        entries = self.world.discovery.entries.values()
        started = {self.world.by_id[e.id].plan.number: round(e.started) for e in entries}
        listed = {
            str(number): ListedServer(str(number), "", str(s.plan.zone), 1.0, "active", started[number])
            for s in self.world.servers
            if (number := s.plan.number) in started
        }
        nodes = {}
        for node, group in enumerate(self.world.processes):
            told = tuple(self.told(process, started) for process in group if process.alive)
            nodes[str(node)] = NodeView(str(node), told, "" if told else "connection refused")
        return Snapshot(now, nodes, listed)

    def told(self, process: SimulatedNode, started: dict[int, int]) -> ProcessView:
        figures, held = self.known(process), Counter(a.server for a in process.attempts.values())
        out = {self.world.by_id[i].plan.number for i in process.cordoned}
        servers = {}
        for number, at in started.items():
            known = figures.servers.get(number)
            if known is not None and round(known.started) != at:
                figures.listed(number, str(number), float(at))
                known = None
            classes = {}
            for cls, name in enumerate(self.classes):
                if known is None:
                    classes[name] = ResponseCounters()
                    continue
                took = Counter({b: n for b, n in enumerate(known.took[cls]) if n})
                classes[name] = ResponseCounters(took.total(), known.failed[cls], known.unstarted[cls], took)
            servers[str(number)] = ServerCounters(held.get(number, 0), number in out, at, classes)
        counts = self.results.get(process, [[0, 0, 0] for _ in self.classes])
        results = {n: (c[0], c[1], c[2]) for n, c in zip(self.classes, counts, strict=True)}
        return ProcessView(f"{process.node}-{id(process)}", "ready", servers, results)

    # Acts.

    def perform(self, action: Action) -> None:
        engine, server = self.world.engine, self.servers[action.member]
        if action.kind in (ActionKind.CORDON, ActionKind.UNCORDON):
            silent = [node for node, group in enumerate(self.world.processes) if not group]
            for group in self.world.processes:
                for process in group:
                    call = process.cordon if action.kind is ActionKind.CORDON else process.uncordon
                    engine.after(CALL_MS * self.chance(), call, server.id)
            why = f"{silent[0]}: connection refused" if silent else ""
            engine.after(CALL_MS, self.done, action, ActionResult(not silent, why))
        elif action.kind is ActionKind.RESTART:
            down = 1000 * self.chance.between(0.5, 3.0)
            server.stop()
            server.state = Lifecycle.GONE
            self.world.discovery.hear(server, Lifecycle.GONE, 500.0)
            engine.after(down, self.boot, action)
        else:
            up = server.up
            said = (
                self.runs[action.member]
                if action.kind is ActionKind.VERSION
                else ""
                if up
                else "connection refused"
            )
            engine.after(CALL_MS, self.done, action, ActionResult(up, said))

    def boot(self, action: Action) -> None:
        """The new process: what its version differs in it has from its start, or some time after."""
        server, whole = self.servers[action.member], self.whole[action.member]
        self.runs[action.member] = action.version
        server.plan, server.capacity = whole, whole.cores * whole.speed
        server.boot()
        self.world.discovery.hear(server, Lifecycle.READY, 1000 * self.world.plan.figures["discovery.add_s"])
        if action.version == self.plan.to:
            self.world.engine.after(1000 * self.to.after_s, self.differ, action.member, server.started)
        self.done(action, ActionResult(True))

    def differ(self, name: str, started: float) -> None:
        server, to = self.servers[name], self.to
        if server.started != started:
            return
        server.advance()
        plan = replace(server.plan, error_rate=min(1.0, server.plan.error_rate + to.errors))
        if to.slow_over:  # it holds badly: each multiple of that costs so much of its pace
            plan = replace(plan, thrash=to.slow, thrash_at=to.slow_over)
        else:
            plan = replace(plan, speed=plan.speed / to.slow)
        server.plan, server.capacity = plan, plan.cores * plan.speed
        server.changed()

    def done(self, action: Action, result: ActionResult) -> None:
        self.standings[action.member].open = 0
        self.state_machine.on_action_ended(action, result, self.world.engine.now / 1000)
