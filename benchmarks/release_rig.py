"""Measures what releases of a good version cost under load, and whether they break a rule.

From the root: .venv-lab/bin/python -B -m benchmarks.release_rig [COUNT [PAIRS [AT_ONCE]]]. Each seed is
played with a release, and the first PAIRS of them also without one. The worth served until the end of the
release is compared with the worth served in the same seconds without it. Needs an idle machine.
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

MAX_PLAY_LENGTH_S = 60
CONTROLLER_TIMEOUT_S = 90.0
SCENARIO = f"""
name = "release"
length_s = {MAX_PLAY_LENGTH_S}
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
class PlayResult:
    """Exit code and end time of the release of one play, and the result of the play."""

    exit_code: int
    ended_at_s: float
    result: Result


async def run_play(seed: int, folder: Path, with_release: bool) -> PlayResult:
    """Plays a seed, with a release or without."""
    folder.mkdir(parents=True)
    path = folder / "scenario.toml"
    path.write_text(SCENARIO)
    scenario = read_scenario(path)
    exit_code, ended_at_s = 0, float(MAX_PLAY_LENGTH_S)
    async with Farm(scenario, path, seed, folder / "play") as farm:
        await farm.start_processes()
        await farm.begin_play()
        if with_release:
            operators = OperatorCommands(farm)
            await operators.start()
            (folder / "plan.toml").write_text(PLAN + operators.command_table("servers"))
            log_path = folder / "controller.log"
            controller = await start_controller(
                farm, folder / "plan.toml", operators.write_farm_file(), log_path
            )
            async with asyncio.timeout(CONTROLLER_TIMEOUT_S):
                exit_code = await controller.process.wait()
            operators.close()
            operators.record_cordons()
            ended_at_s = time.monotonic() - farm.play_start
            await farm.children["clients"].call("stop")
        while await farm.children["clients"].call("left"):
            await asyncio.sleep(0.1)
    return PlayResult(exit_code, ended_at_s, judge_play(scenario, seed, folder / "play"))


def share_of_worth_served(result: Result, until_s: float) -> float:
    """Returns how much of the worth requested in the first `until_s` seconds was served."""
    seconds = result.by_second[: int(until_s)]
    return sum(second.earned for second in seconds) / sum(second.asked for second in seconds)


async def play_pair(
    seed: int, folder: Path, with_baseline: bool, semaphore: asyncio.Semaphore
) -> tuple[PlayResult, PlayResult | None]:
    async with semaphore:
        release = await run_play(seed, folder / f"{seed}-with", True)
        return release, await run_play(seed, folder / f"{seed}-without", False) if with_baseline else None


async def play_pairs(
    release_count: int, baseline_count: int, at_once: int, folder: Path
) -> list[tuple[PlayResult, PlayResult | None]]:
    semaphore = asyncio.Semaphore(at_once)
    return await asyncio.gather(
        *(play_pair(seed, folder, seed < baseline_count, semaphore) for seed in range(release_count))
    )


def format_summary(results: list[tuple[PlayResult, PlayResult | None]]) -> Iterator[str]:
    releases = [release for release, _ in results]
    distorted_count = sum(
        bool(played.result.distorted) for pair in results for played in pair if played is not None
    )
    completed_count = sum(release.exit_code == 0 for release in releases)
    median_end_s = statistics.median(release.ended_at_s for release in releases)
    yield (
        f"{len(results)} releases, {completed_count} done, after {median_end_s:.0f} s; "
        f"plays too late to conclude from: {distorted_count}"
    )
    breaches = [breach for release in releases for breach in release.result.breaches]
    yield (
        f"rules broken with a release {len(breaches)}, "
        f"without {sum(baseline.result.broken for _, baseline in results if baseline)}"
    )
    yield from (f"  {breach}" for breach in breaches[:10])
    worth_ratios = [
        share_of_worth_served(with_release.result, with_release.ended_at_s)
        / share_of_worth_served(baseline.result, with_release.ended_at_s)
        for with_release, baseline in results
        if baseline is not None
        and with_release.exit_code == 0
        and not with_release.result.distorted
        and not baseline.result.distorted
    ]
    if len(worth_ratios) > 1:
        mean, deviation = statistics.mean(worth_ratios), statistics.stdev(worth_ratios)
        yield (
            f"worth beside no release, {len(worth_ratios)} pairs: mean {mean:.4f}, "
            f"deviation {deviation:.4f}, "
        )
        yield f"least {min(worth_ratios):.4f}"


def main() -> None:
    release_count, baseline_count, at_once = (*map(int, sys.argv[1:4]), *(100, 24, 4)[len(sys.argv) - 1 :])
    build_node()
    with tempfile.TemporaryDirectory() as folder:
        results = asyncio.run(play_pairs(release_count, baseline_count, at_once, Path(folder)))
    print("\n".join(format_summary(results)))


if __name__ == "__main__":
    main()
