"""The schedule of a play: the scenario's troubles, acts and faults as timed steps, drawn from the seed.

A step names a method of Farm and its arguments; nothing here touches a process. Times are ms since the play
began.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import numpy as np

from flaxstep.simulator.engine import RandomStreams
from flaxstep.simulator.fault_config import LINK_FAULTS, Fault
from flaxstep.simulator.sampling import Happening, Plan, draw_value
from flaxstep.simulator.scenario import Scenario
from flaxstep.simulator.scheduled_events import ACCEPT_AFTER_TERM_MS, RESTART_DELAY_MS

DRAIN_MS = 3000.0  # from `leaving` to the end of the process when servers are replaced


@dataclass(frozen=True, slots=True)
class Step:
    """A call of a method of Farm at a time of the play."""

    at: float
    do: str  # the name of a method of Farm
    arguments: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Band:
    """The period of a trouble, act or fault, as a report shows it. An `end` of 0 is the end of the play."""

    name: str
    start: float
    end: float


class Schedule:
    """The steps of a play in order of time, and the bands of its troubles, acts and faults.

    Methods that bear the name of a trouble or act of the scenario are looked up by that name.
    """

    def __init__(self, scenario: Scenario, plan: Plan) -> None:
        self.scenario, self.plan = scenario, plan
        self.steps: list[Step] = []
        self.bands: list[Band] = []
        self.link_fault_count = 0
        self.notice_ms = 1000 * plan.figures["discovery.notice_s"]
        for happening in plan.acts + plan.troubles:
            end = happening.at + happening.length
            self.bands.append(Band(happening.name, happening.at, end))
            getattr(self, happening.name)(happening)
        streams = RandomStreams(plan.seed)
        for i, fault in enumerate(scenario.rig.faults):
            self.add_fault(fault, streams.generator(f"fault {i}"))
        self.steps.sort(key=lambda step: step.at)

    def add_step(self, at: float, do: str, **arguments: Any) -> None:
        self.steps.append(Step(at, do, arguments))

    # Troubles of servers: figures of the simulator's server that differ for a while.

    def choose_servers(self, happening: Happening) -> list[int]:
        """The servers that a trouble affects, at least one; the same as in the simulator."""
        generator = np.random.Generator(np.random.PCG64(happening.seed))
        servers = len(self.plan.servers)
        count = max(1, round(happening.part * servers))
        return sorted(generator.choice(servers, min(count, servers), replace=False).tolist())

    def set_figure_during(self, happening: Happening, name: str, value: float, normal: float) -> None:
        for server in self.choose_servers(happening):
            self.add_step(happening.at, "set_server", server=server, **{name: value})
            self.add_step(happening.at + happening.length, "set_server", server=server, **{name: normal})

    def slow(self, happening: Happening) -> None:
        self.set_figure_during(happening, "slow", max(1.0, happening.size), 1.0)

    def fast_errors(self, happening: Happening) -> None:
        self.set_figure_during(happening, "errors", happening.size, 0.0)

    def lost(self, happening: Happening) -> None:
        self.set_figure_during(happening, "lost", happening.size, 0.0)

    def resets(self, happening: Happening) -> None:
        self.set_figure_during(happening, "resets", happening.size, 0.0)

    def toggle_figure(
        self, happening: Happening, name: str, value: float, normal: float, on_ms: float | None
    ) -> None:
        """Switches a figure on and off at random times that differ by server.

        It stays on for `on_ms`, or, if that is None, for as long as off on average.
        """
        random = RandomStreams(self.plan.seed).uniform(f"{happening.name} {happening.seed}")
        for server in self.choose_servers(happening):
            at, end = happening.at + 1000 * happening.extra * random(), happening.at + happening.length
            while at < end:
                off_at = at + (
                    on_ms if on_ms is not None else 1000 * happening.extra * random.between(0.5, 1.5)
                )
                self.add_step(at, "set_server", server=server, **{name: value})
                self.add_step(min(off_at, end), "set_server", server=server, **{name: normal})
                at = off_at + 1000 * happening.extra * random.between(0.5, 1.5)

    def pauses(self, happening: Happening) -> None:
        self.toggle_figure(happening, "paused", True, False, happening.size)

    def neighbour(self, happening: Happening) -> None:
        self.toggle_figure(happening, "taken", happening.size, 0.0, None)

    def burst(self, happening: Happening) -> None:
        """No step: the plan's arrivals contain it already."""

    # Links.

    def cut(self, happening: Happening) -> None:
        """Cuts a zone off from the others. Its front and discovery are in no zone, as in the simulator."""
        zones = self.scenario.fleet.zones
        zone = happening.seed % zones
        for other in range(zones):
            if other != zone:
                spec = {"name": "silent", "between": [f"zone:{zone}", f"zone:{other}"], "way": "both"}
                self.add_link_fault(
                    spec | {"size": 1.0, "jitter": 0.0}, happening.at, happening.at + happening.length
                )

    def add_link_fault(self, spec: dict[str, Any], at: float, end: float | None) -> None:
        self.link_fault_count += 1
        self.add_step(at, "fault", number=self.link_fault_count, spec=spec)
        if end is not None:
            self.add_step(end, "heal", number=self.link_fault_count, spec=spec)

    # Processes.

    def replace(self, happening: Happening) -> None:
        servers = self.choose_servers(happening)
        for i, server in enumerate(servers):
            at = happening.at + happening.length * (i * happening.steps // len(servers)) / happening.steps
            self.add_step(at, "leave_server", server=server, late_s=min(self.notice_ms, 500.0) / 1000)
            drain = max(DRAIN_MS, 1000 * happening.extra)
            self.add_step(at + drain, "restart_server", server=server, down_s=1.0)

    def kill(self, happening: Happening) -> None:
        generator = np.random.Generator(np.random.PCG64(happening.seed))
        nodes = len(self.plan.node_zones)
        count = max(1, round(happening.part * nodes))
        chosen_nodes = sorted(generator.choice(nodes, count, replace=False).tolist())
        for i, node in enumerate(chosen_nodes):
            at = (
                happening.at + happening.length * (i * happening.steps // len(chosen_nodes)) / happening.steps
            )
            self.add_step(at, "kill", name=f"node:{node}")
            self.add_step(at + 1000 * happening.extra, "start", name=f"node:{node}", keep=False)

    def cordon(self, happening: Happening) -> None:
        for server in range(happening.first, happening.first + happening.count):
            self.add_step(happening.at, "cordon", server=server)
            down_s = min(happening.extra, happening.length / 2 - 10) / 1000
            self.add_step(
                happening.at + min(RESTART_DELAY_MS, happening.length / 2),
                "restart_server",
                server=server,
                down_s=down_s,
            )
            self.add_step(happening.at + happening.length, "uncordon", server=server)

    def quiesce(self, happening: Happening) -> None:
        for node in range(happening.first, happening.first + happening.count):
            self.add_step(happening.at, "quiesce", node=node)
            self.add_step(happening.at + happening.length, "resume", node=node)

    def upgrade(self, happening: Happening) -> None:
        for node in range(happening.first, happening.first + happening.count):
            self.add_step(happening.at, "upgrade", node=node)

    def restart(self, happening: Happening) -> None:
        for i in range(happening.count):
            node, at = happening.first + i, happening.at + happening.length * i / happening.count
            self.add_step(at, "term", name=f"node:{node}")
            longest_deadline_ms = max(c.deadline_ms for c in self.scenario.classes)
            self.add_step(
                at + ACCEPT_AFTER_TERM_MS + longest_deadline_ms + happening.extra,
                "start",
                name=f"node:{node}",
                keep=False,
            )

    def add_fault(self, fault: Fault, generator: np.random.Generator) -> None:
        """Adds the steps of a fault that only the rig has."""
        at, length = 1000 * draw_value(generator, fault.at_s), 1000 * draw_value(generator, fault.for_s)
        size = draw_value(generator, fault.size)
        end = at + length if length else None
        target = " - ".join(fault.between) if fault.between else f"{fault.of} {fault.how}".strip()
        self.bands.append(Band(f"{fault.name} {target}", at, end or 0.0))
        if fault.name in LINK_FAULTS:
            spec = msgspec.structs.asdict(fault) | {"size": size, "between": list(fault.between or ())}
            link_spec = {key: spec[key] for key in ("name", "between", "way", "size", "jitter")}
            self.add_link_fault(link_spec, at, end)
        elif fault.name == "clock":
            self.add_step(at, "clock", name=fault.of, offset_s=-size if fault.way == "back" else size)
            if end is not None:
                self.add_step(end, "clock", name=fault.of, offset_s=0.0)
        elif fault.name == "disk":
            self.add_step(at, "disk", name=fault.of, state="failing" if size else "full")
            if end is not None:
                self.add_step(end, "disk", name=fault.of, state="")
        elif fault.name == "down":
            self.add_step(at, "list_service", up=False)
            self.add_step(end if end is not None else at + 1000.0, "list_service", up=True)
        elif fault.name == "listing":
            self.add_step(at, "misbehave", how=fault.how, size=size)
            self.add_step(end if end is not None else at + 1000.0, "misbehave", how="", size=0.0)
        elif fault.name == "stop":
            self.add_step(at, "stop", name=fault.of)
            self.add_step(end if end is not None else at + 1000.0, "go_on", name=fault.of)
        else:
            self.add_step(at, "kill" if fault.name == "kill" else "term", name=fault.of)
            if end is not None or fault.name == "restart":
                restart_at = end if end is not None else at + 1000.0
                self.add_step(restart_at, "start", name=fault.of, keep=fault.keep)
