"""What happens in a play and when: the scenario's troubles, acts and faults as steps, drawn from the seed.

A step names what the stage does and with what; nothing here touches a process. Times are ms since the play
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

DRAIN_TIME = 3000.0  # ms from `leaving` to the end of the process, where servers are replaced


@dataclass(frozen=True, slots=True)
class Step:
    at: float
    do: str  # a method of the stage
    arguments: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Band:
    """Something that lasts, as a report shows it; an end of 0 is that of the play."""

    name: str
    start: float
    end: float


class Schedule:
    """The steps of a play in order of time, and what lasts meanwhile."""

    def __init__(self, scenario: Scenario, plan: Plan) -> None:
        self.scenario, self.plan = scenario, plan
        self.steps: list[Step] = []
        self.bands: list[Band] = []
        self.faults = 0
        self.notice = 1000 * plan.figures["discovery.notice_s"]
        for what in plan.acts + plan.troubles:
            end = what.at + what.length
            self.bands.append(Band(what.name, what.at, end))
            getattr(self, what.name)(what)
        streams = RandomStreams(plan.seed)
        for i, fault in enumerate(scenario.rig.faults):
            self.fault(fault, streams.generator(f"fault {i}"))
        self.steps.sort(key=lambda step: step.at)

    def add(self, at: float, do: str, **arguments: Any) -> None:
        self.steps.append(Step(at, do, arguments))

    # Troubles of servers: figures of the lab's server for a while.

    def chosen(self, what: Happening) -> list[int]:
        """The part of the servers that a trouble meets, at least one: the lab's choice."""
        generator = np.random.Generator(np.random.PCG64(what.seed))
        servers = len(self.plan.servers)
        count = max(1, round(what.part * servers))
        return sorted(generator.choice(servers, min(count, servers), replace=False).tolist())

    def figure(self, what: Happening, name: str, value: float, normal: float) -> None:
        for server in self.chosen(what):
            self.add(what.at, "set_server", server=server, **{name: value})
            self.add(what.at + what.length, "set_server", server=server, **{name: normal})

    def slow(self, what: Happening) -> None:
        self.figure(what, "slow", max(1.0, what.size), 1.0)

    def fast_errors(self, what: Happening) -> None:
        self.figure(what, "errors", what.size, 0.0)

    def lost(self, what: Happening) -> None:
        self.figure(what, "lost", what.size, 0.0)

    def resets(self, what: Happening) -> None:
        self.figure(what, "resets", what.size, 0.0)

    def on_and_off(
        self, what: Happening, name: str, value: float, normal: float, lasts: float | None
    ) -> None:
        """A figure that comes and goes, at times of each server's own; `lasts` ms, or as long as it stays
        away."""
        chance = RandomStreams(self.plan.seed).uniform(f"{what.name} {what.seed}")
        for server in self.chosen(what):
            at, end = what.at + 1000 * what.extra * chance(), what.at + what.length
            while at < end:
                off = at + (lasts if lasts is not None else 1000 * what.extra * chance.between(0.5, 1.5))
                self.add(at, "set_server", server=server, **{name: value})
                self.add(min(off, end), "set_server", server=server, **{name: normal})
                at = off + 1000 * what.extra * chance.between(0.5, 1.5)

    def pauses(self, what: Happening) -> None:
        self.on_and_off(what, "paused", True, False, what.size)

    def neighbour(self, what: Happening) -> None:
        self.on_and_off(what, "taken", what.size, 0.0, None)

    def burst(self, what: Happening) -> None:
        """In the arrivals already."""

    # Links.

    def cut(self, what: Happening) -> None:
        """A zone from the others; its front and discovery are in no zone, as in the lab."""
        zones = self.scenario.fleet.zones
        zone = what.seed % zones
        for other in range(zones):
            if other != zone:
                spec = {"name": "silent", "between": [f"zone:{zone}", f"zone:{other}"], "way": "both"}
                self.link_fault(spec | {"size": 1.0, "jitter": 0.0}, what.at, what.at + what.length)

    def link_fault(self, spec: dict[str, Any], at: float, end: float | None) -> None:
        self.faults += 1
        self.add(at, "fault", number=self.faults, spec=spec)
        if end is not None:
            self.add(end, "heal", number=self.faults, spec=spec)

    # Processes.

    def replace(self, what: Happening) -> None:
        servers = self.chosen(what)
        for i, server in enumerate(servers):
            at = what.at + what.length * (i * what.steps // len(servers)) / what.steps
            self.add(at, "leave_server", server=server, late_s=min(self.notice, 500.0) / 1000)
            drain = max(DRAIN_TIME, 1000 * what.extra)
            self.add(at + drain, "restart_server", server=server, down_s=1.0)

    def kill(self, what: Happening) -> None:
        generator = np.random.Generator(np.random.PCG64(what.seed))
        nodes = len(self.plan.node_zones)
        count = max(1, round(what.part * nodes))
        chosen = sorted(generator.choice(nodes, count, replace=False).tolist())
        for i, node in enumerate(chosen):
            at = what.at + what.length * (i * what.steps // len(chosen)) / what.steps
            self.add(at, "kill", name=f"node:{node}")
            self.add(at + 1000 * what.extra, "start", name=f"node:{node}", keep=False)

    def cordon(self, what: Happening) -> None:
        for server in range(what.first, what.first + what.count):
            self.add(what.at, "cordon", server=server)
            down = min(what.extra, what.length / 2 - 10) / 1000
            self.add(
                what.at + min(RESTART_DELAY_MS, what.length / 2), "restart_server", server=server, down_s=down
            )
            self.add(what.at + what.length, "uncordon", server=server)

    def quiesce(self, what: Happening) -> None:
        for node in range(what.first, what.first + what.count):
            self.add(what.at, "quiesce", node=node)
            self.add(what.at + what.length, "resume", node=node)

    def upgrade(self, what: Happening) -> None:
        for node in range(what.first, what.first + what.count):
            self.add(what.at, "upgrade", node=node)

    def restart(self, what: Happening) -> None:
        for i in range(what.count):
            node, at = what.first + i, what.at + what.length * i / what.count
            self.add(at, "term", name=f"node:{node}")
            longest = max(c.deadline_ms for c in self.scenario.classes)
            self.add(
                at + ACCEPT_AFTER_TERM_MS + longest + what.extra, "start", name=f"node:{node}", keep=False
            )

    def fault(self, fault: Fault, generator: np.random.Generator) -> None:
        """A fault of the rig's own."""
        at, length = 1000 * draw_value(generator, fault.at_s), 1000 * draw_value(generator, fault.for_s)
        size = draw_value(generator, fault.size)
        end = at + length if length else None
        whom = " - ".join(fault.between) if fault.between else f"{fault.of} {fault.how}".strip()
        self.bands.append(Band(f"{fault.name} {whom}", at, end or 0.0))
        if fault.name in LINK_FAULTS:
            spec = msgspec.structs.asdict(fault) | {"size": size, "between": list(fault.between or ())}
            kept = {key: spec[key] for key in ("name", "between", "way", "size", "jitter")}
            self.link_fault(kept, at, end)
        elif fault.name == "clock":
            self.add(at, "clock", name=fault.of, offset_s=-size if fault.way == "back" else size)
            if end is not None:
                self.add(end, "clock", name=fault.of, offset_s=0.0)
        elif fault.name == "disk":
            self.add(at, "disk", name=fault.of, state="failing" if size else "full")
            if end is not None:
                self.add(end, "disk", name=fault.of, state="")
        elif fault.name == "down":
            self.add(at, "list_service", up=False)
            self.add(end if end is not None else at + 1000.0, "list_service", up=True)
        elif fault.name == "listing":
            self.add(at, "misbehave", how=fault.how, size=size)
            self.add(end if end is not None else at + 1000.0, "misbehave", how="", size=0.0)
        elif fault.name == "stop":
            self.add(at, "stop", name=fault.of)
            self.add(end if end is not None else at + 1000.0, "go_on", name=fault.of)
        else:
            self.add(at, "kill" if fault.name == "kill" else "term", name=fault.of)
            if end is not None or fault.name == "restart":
                back = end if end is not None else at + 1000.0
                self.add(back, "start", name=fault.of, keep=fault.keep)
