"""One play: the farm is started, the timetable run, all is ended, and what happened is judged."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable
from pathlib import Path

from flaxstep.faultbench.fake_service import FaultBenchError
from flaxstep.faultbench.farm import Farm
from flaxstep.faultbench.schedule import Schedule, Step
from flaxstep.simulator.scenario import Scenario

AFTER = 4.0  # s for which a play goes on at most after its last first try
LOOK = 0.25  # s
Progress = Callable[[float, float, str], None]  # s played, s in all, what just happened


def quiet(_: float, __: float, ___: str) -> None:
    """For who wants no progress."""


async def play(
    scenario: Scenario, path: Path, seed: int, folder: Path, progress: Progress = quiet, run: str = ""
) -> None:
    """Play a scenario in real time; its records are in the folder afterwards, and no process is left."""
    loop = asyncio.get_running_loop()
    this = asyncio.current_task()
    assert this is not None
    loop.add_signal_handler(signal.SIGTERM, this.cancel)
    try:
        async with Farm(scenario, path, seed, folder, run) as stage:
            await stage.open()
            await stage.begin()
            await run_steps(stage, Schedule(scenario, stage.plan).steps, progress)
    except ExceptionGroup as group:
        failed, _ = group.split(FaultBenchError)
        if failed is None:
            raise
        raise FaultBenchError(str(failed.exceptions[0])) from None
    finally:
        loop.remove_signal_handler(signal.SIGTERM)


async def run_steps(stage: Farm, steps: list[Step], progress: Progress = quiet) -> None:
    """Each step at its time, until the clients have had all their answers."""
    length = stage.plan.length / 1000
    in_time = [step for step in steps if step.at <= stage.plan.length]
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(perform(stage, step, progress)) for step in in_time]
        while played(stage) < length + AFTER:
            await asyncio.sleep(LOOK)
            progress(min(played(stage), length), length, "")
            if played(stage) > length and not await stage.children["clients"].call("left"):
                break
        for task in tasks:
            task.cancel()


async def perform(stage: Farm, step: Step, progress: Progress) -> None:
    await asyncio.sleep(max(0.0, step.at / 1000 - played(stage)))
    if step.do != "set_server":
        told = " ".join(str(value) for value in step.arguments.values() if not isinstance(value, dict))
        progress(played(stage), stage.plan.length / 1000, f"{step.do} {told}")
    try:
        await getattr(stage, step.do)(**step.arguments)
    except FaultBenchError as error:  # a process that is not there: the play goes on, and the record says so
        stage.note("step failed", step.do, str(error))


def played(stage: Farm) -> float:
    return time.monotonic() - stage.t0
