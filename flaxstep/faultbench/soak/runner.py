"""Plays drawn scenarios side by side, each in a process of its own, and says what became of them."""

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

SPARE_S = 60.0  # s beyond a play's length after which it is ended
KEPT, BROKEN = 0, 1  # exit codes of `rig play`


@dataclass(frozen=True, slots=True)
class SoakOutcome:
    """What became of a play. Without a result, or with a distorted one, it counts as not run."""

    drawn: DrawnPlay
    folder: Path
    result: Result | None
    trouble: str = ""  # why it could not be played properly

    @property
    def breaches(self) -> list[Breach]:
        return [] if self.result is None or self.trouble else self.result.breaches

    @property
    def verdict(self) -> str:
        if self.trouble:
            return f"not run: {self.trouble}"
        if not self.breaches:
            return "rules kept"
        rules = sorted({breach.rule for breach in self.breaches})
        return f"BROKEN: {', '.join(rules)} ({len(self.breaches)})"


async def soak(
    seed: int, numbers: list[int], seconds: float, side_by_side: int, folder: Path
) -> AsyncIterator[SoakOutcome]:
    """Play so many at a time; outcomes come as they are known."""
    places = asyncio.Semaphore(side_by_side)

    async def one(number: int) -> SoakOutcome:
        async with places:
            return await play_drawn(draw_play(seed, number, seconds), seconds, folder / f"play-{number}")

    tasks = [asyncio.create_task(one(number)) for number in numbers]
    try:
        for next_done in asyncio.as_completed(tasks):
            yield await next_done
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def play_drawn(drawn: DrawnPlay, seconds: float, folder: Path) -> SoakOutcome:
    """One play, by the command that anybody can give; its process is ended with this one's task."""
    folder.mkdir(parents=True)
    path = folder / "scenario.toml"
    path.write_text(drawn.scenario)
    log = folder / "play.log"
    command = [sys.executable, "-B", "-m", "flaxstep", "rig", "play", str(path)]
    command += ["--seed", str(drawn.day_seed), "--out", str(folder / "records")]
    with log.open("wb") as output:
        process = await asyncio.create_subprocess_exec(
            *command, stdout=output, stderr=output, env=os.environ | {"PYTHONPATH": str(ROOT)}
        )
    try:
        async with asyncio.timeout(seconds + SPARE_S):
            code = await process.wait()
    except TimeoutError:
        return SoakOutcome(drawn, folder, None, "it did not end")
    finally:
        await end(process)
    if code not in (KEPT, BROKEN):
        lines = log.read_text(errors="replace").strip().splitlines() or ["no word"]
        return SoakOutcome(drawn, folder, None, f"exit code {code}: {lines[-1]}")
    result = read_result(folder / "records")
    return SoakOutcome(drawn, folder, result, result.distorted)


async def end(process: asyncio.subprocess.Process) -> None:
    """SIGTERM ends a play with all its processes; who does not heed it is killed, and they with it."""
    if process.returncode is not None:
        return
    process.terminate()
    try:
        async with asyncio.timeout(10.0):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
