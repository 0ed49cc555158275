"""Plays randomly drawn scenarios in parallel, each in a process of its own, and collects their outcomes."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from flaxstep.faultbench.child_process import ROOT
from flaxstep.faultbench.result import Result, read_result
from flaxstep.faultbench.rule_checks import Breach
from flaxstep.faultbench.soak.sampling import DrawnPlay, draw_play

EXTRA_TIME_S = 60.0  # a play that runs longer than its length by this is terminated
EXIT_RULES_KEPT, EXIT_RULES_BROKEN = 0, 1  # exit codes of `rig play`


@dataclass(frozen=True, slots=True)
class SoakOutcome:
    """The outcome of a play. Without a result, or with a distorted one, it counts as not run."""

    drawn_play: DrawnPlay
    folder: Path
    result: Result | None
    not_run_reason: str = ""  # empty if the play is valid

    @property
    def breaches(self) -> list[Breach]:
        """The breaches of a valid play; empty for one that was not run."""
        return [] if self.result is None or self.not_run_reason else self.result.breaches

    @property
    def verdict(self) -> str:
        """The outcome in a few words."""
        if self.not_run_reason:
            return f"not run: {self.not_run_reason}"
        if not self.breaches:
            return "rules kept"
        rules = sorted({breach.rule for breach in self.breaches})
        return f"BROKEN: {', '.join(rules)} ({len(self.breaches)})"


async def soak(
    seed: int, numbers: list[int], seconds: float, side_by_side: int, folder: Path
) -> AsyncIterator[SoakOutcome]:
    """Play at most `side_by_side` scenarios at a time and yield each outcome as it is known."""
    free_slots = asyncio.Semaphore(side_by_side)

    async def play_number(number: int) -> SoakOutcome:
        async with free_slots:
            return await play_drawn(draw_play(seed, number, seconds), seconds, folder / f"play-{number}")

    tasks = [asyncio.create_task(play_number(number)) for number in numbers]
    try:
        for next_outcome in asyncio.as_completed(tasks):
            yield await next_outcome
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def play_drawn(drawn_play: DrawnPlay, seconds: float, folder: Path) -> SoakOutcome:
    """Run one play with `flaxstep rig play`. Its process is ended when this task is cancelled."""
    folder.mkdir(parents=True)
    path = folder / "scenario.toml"
    path.write_text(drawn_play.scenario)
    log_path = folder / "play.log"
    command = [sys.executable, "-B", "-m", "flaxstep", "rig", "play", str(path)]
    command += ["--seed", str(drawn_play.scenario_seed), "--out", str(folder / "records")]
    with log_path.open("wb") as output:
        process = await asyncio.create_subprocess_exec(
            *command, stdout=output, stderr=output, env=os.environ | {"PYTHONPATH": str(ROOT)}
        )
    try:
        async with asyncio.timeout(seconds + EXTRA_TIME_S):
            exit_code = await process.wait()
    except TimeoutError:
        return SoakOutcome(drawn_play, folder, None, "the play did not end in time")
    finally:
        await end_process(process)
    if exit_code not in (EXIT_RULES_KEPT, EXIT_RULES_BROKEN):
        lines = log_path.read_text(errors="replace").strip().splitlines() or ["no output"]
        return SoakOutcome(drawn_play, folder, None, f"exit code {exit_code}: {lines[-1]}")
    result = read_result(folder / "records")
    return SoakOutcome(drawn_play, folder, result, result.distorted)


async def end_process(process: asyncio.subprocess.Process) -> None:
    """Terminate a play. SIGTERM ends it with all its processes; one that ignores it is killed with them."""
    if process.returncode is not None:
        return
    process.terminate()
    try:
        async with asyncio.timeout(10.0):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
