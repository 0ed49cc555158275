"""Small farms for tests of the rig: a scenario, a play with the steps of a test, and its judged trace."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from flaxstep.faultbench.farm import Farm
from flaxstep.faultbench.records import read_records
from flaxstep.faultbench.result import Result, judge_play
from flaxstep.faultbench.trace import Trace, build_trace
from flaxstep.simulator.scenario import Scenario, read_scenario

ROOT = Path(__file__).parent.parent
NODE = f"exec {sys.executable} -B -m flaxstep.proxy"
SMALL = """
name = "small"
length_s = {seconds}
[fleet]
nodes = {nodes}
servers = 6
zones = 2
cell_size = 2
server_skew = 0
[load]
of_capacity = {load}
swing = 0
[choke]
share = 0
[discovery]
add_s = 0.05
notice_s = 0.1
[net]
cross_ms = 1
[clients]
retries = 2
backoff_ms = 20
[[kinds]]
name = "plain"
share = 1
speed = 1.5
slots_per_core = 4
error_rate = 0
cold_from = 0.3
cold_s = 10
[[classes]]
name = "build"
share = 0.5
work_ms = 20
aim_ms = 250
deadline_ms = 1200
worth = 5
effect = "unsafe"
[[classes]]
name = "record"
share = 0.5
work_ms = 20
aim_ms = 250
deadline_ms = 1200
worth = 15
effect = "keyed"
group = "cell"
window_ms = 500
"""
Acts = Callable[[Farm], Awaitable[bool | None]]  # True: the play ends with it


@dataclass
class Played:
    scenario: Scenario
    trace: Trace
    result: Result

    @property
    def broken(self) -> set[str]:
        return {breach.rule for breach in self.result.breaches}


async def rig(
    folder: Path, acts: Acts | None = None, run: str = NODE, extra: str = "", **scenario_values: float
) -> Played:
    """Plays a small farm, with `acts` from the beginning on. No process is left, even after a failure."""
    folder.mkdir(exist_ok=True)
    path = folder / "scenario.toml"
    path.write_text(SMALL.format(**{"seconds": 3, "nodes": 2, "load": 0.4} | scenario_values) + extra)
    scenario = read_scenario(path)
    async with Farm(scenario, path, 1, folder / "play", run) as farm:
        await farm.start_processes()
        await farm.begin_play()
        end = farm.plan.length
        if acts is not None and await acts(farm):
            await farm.children["clients"].call("stop")
            end = 0.0
        while elapsed_ms(farm) < end or await farm.children["clients"].call("left"):
            await asyncio.sleep(0.05)
        children = [child.process.pid for child in [*farm.children.values(), *farm.terminating]]
    for pid in children:
        assert not Path(f"/proc/{pid}").exists()
    records = list(read_records(folder / "play"))
    trace = build_trace(records, farm.plan, scenario.rig.regions)
    return Played(scenario, trace, judge_play(scenario, 1, folder / "play"))


def elapsed_ms(farm: Farm) -> float:
    """Milliseconds since the play began."""
    return farm.recorder.now()


def alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
