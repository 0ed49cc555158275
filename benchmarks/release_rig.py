"""Releases of a good version on the rig, under load: what they cost, and whether a rule breaks.

From the root: .venv-lab/bin/python -B -m benchmarks.release_rig [COUNT [PAIRS [AT_ONCE]]]. Each seed is
played with a release, the first PAIRS of them without one too; the worth served in the release's seconds is
set beside the same seconds without. Needs an idle machine.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from flaxstep.faultbench.farm import Farm, build_node
from flaxstep.faultbench.operators import OperatorCommands, start_controller
from flaxstep.faultbench.result import Result, judge_play
from flaxstep.simulator.scenario import read_scenario

LENGTH = 60  # s at most
END_TIME = 90.0  # s for a controller to end
FARM = f"""
name = "release"
length_s = {LENGTH}
fleet = {{ nodes = 3, servers = 6, zones = 3, cell_size = 2, server_skew = 0 }}
load = {{ of_capacity = [0.4, 0.55], swing = 0.2 }}
choke = {{ share = 0 }}
discovery = {{ add_s = 0.05, notice_s = 0.1 }}
rules = {{ ramp_ms = 2000 }}
clients = {{ retries = 2, backoff_ms = 20 }}
[[kinds]]
name = "plain"
share = 1
speed = 1.5
cold_from = 0.3
cold_s = 2
[[classes]]
name = "build"
share = 0.7
work_ms = 20
aim_ms = 250
deadline_ms = 1200
worth = 5
effect = "unsafe"
[[classes]]
name = "record"
share = 0.3
work_ms = 25
aim_ms = 200
deadline_ms = 800
worth = 15
effect = "keyed"
group = "cell"
window_ms = 500
"""
PLAN = """
name = "v2"
what = "servers"
from = "v1"
to = "v2"
[waves]
shares = [0.5, 1]
[room]
capacity = 0.8
worth = 0.5
halt_worth = 0.2
[watch]
before_s = 6
look_s = 0.25
warm_s = 2.5
bake_s = 3
doubt_s = 4
slower = 1.3
failures = 0.02
[commands]
time_limit_s = 5
ready_s = 8
"""


@dataclass(frozen=True, slots=True)
class Played:
    """A play: how its release ended, when (s), and what it was judged to be."""

    code: int
    ended: float
    result: Result


async def play(seed: int, folder: Path, release: bool) -> Played:
    """One play of a seed, with a release or without."""
    folder.mkdir(parents=True)
    path = folder / "scenario.toml"
    path.write_text(FARM)
    scenario = read_scenario(path)
    code, ended = 0, float(LENGTH)
    async with Farm(scenario, path, seed, folder / "play") as farm:
        await farm.start_processes()
        await farm.begin_play()
        if release:
            staff = OperatorCommands(farm)
            await staff.start()
            (folder / "plan.toml").write_text(PLAN + staff.command_table("servers"))
            log = folder / "controller.log"
            child = await start_controller(farm, folder / "plan.toml", staff.write_farm_file(), log)
            async with asyncio.timeout(END_TIME):
                code = await child.process.wait()
            staff.close()
            staff.record_cordons()
            ended = time.monotonic() - farm.play_start
            await farm.children["clients"].call("stop")
        while await farm.children["clients"].call("left"):
            await asyncio.sleep(0.1)
    return Played(code, ended, judge_play(scenario, seed, folder / "play"))


def worth(result: Result, until: float) -> float:
    """The part of the worth asked for in the first seconds that was served."""
    seconds = result.by_second[: int(until)]
    return sum(second.earned for second in seconds) / sum(second.asked for second in seconds)


async def pair(seed: int, folder: Path, both: bool, room: asyncio.Semaphore) -> tuple[Played, Played | None]:
    async with room:
        release = await play(seed, folder / f"{seed}-with", True)
        return release, await play(seed, folder / f"{seed}-without", False) if both else None


async def pairs(count: int, both: int, at_once: int, folder: Path) -> list[tuple[Played, Played | None]]:
    room = asyncio.Semaphore(at_once)
    return await asyncio.gather(*(pair(seed, folder, seed < both, room) for seed in range(count)))


def summary(found: list[tuple[Played, Played | None]]) -> Iterator[str]:
    releases = [release for release, _ in found]
    late = sum(bool(played.result.distorted) for line in found for played in line if played is not None)
    done = sum(release.code == 0 for release in releases)
    took = statistics.median(release.ended for release in releases)
    yield f"{len(found)} releases, {done} done, after {took:.0f} s; plays too late to conclude from: {late}"
    broken = [breach for release in releases for breach in release.result.breaches]
    yield f"rules broken with a release {len(broken)}, without {sum(b.result.broken for _, b in found if b)}"
    yield from (f"  {breach}" for breach in broken[:10])
    parts = [
        worth(a.result, a.ended) / worth(b.result, a.ended)
        for a, b in found
        if b is not None and a.code == 0 and not a.result.distorted and not b.result.distorted
    ]
    if len(parts) > 1:
        mean, deviation = statistics.mean(parts), statistics.stdev(parts)
        yield f"worth beside no release, {len(parts)} pairs: mean {mean:.4f}, deviation {deviation:.4f}, "
        yield f"least {min(parts):.4f}"


def main() -> None:
    count, both, at_once = (*map(int, sys.argv[1:4]), *(100, 24, 4)[len(sys.argv) - 1 :])
    build_node()
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(pairs(count, both, at_once, Path(folder)))
    print("\n".join(summary(found)))


if __name__ == "__main__":
    main()
