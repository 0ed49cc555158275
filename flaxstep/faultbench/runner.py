"""Runs one play: starts the farm, executes the steps of its schedule, and ends all its processes."""

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

MAX_OVERTIME_S = 4.0  # after the end of the scenario, for requests that are still open
POLL_INTERVAL_S = 0.25
Progress = Callable[[float, float, str], None]  # seconds played, seconds in all, the step just executed


def ignore_progress(_: float, __: float, ___: str) -> None:
    """The default: reports no progress."""


async def play(
    scenario: Scenario,
    path: Path,
    seed: int,
    folder: Path,
    progress: Progress = ignore_progress,
    run: str = "",
) -> None:
    """Plays a scenario in real time. Afterwards its records are in the folder and no process is left."""
    loop = asyncio.get_running_loop()
    current_task = asyncio.current_task()
    assert current_task is not None
    loop.add_signal_handler(signal.SIGTERM, current_task.cancel)
    try:
        async with Farm(scenario, path, seed, folder, run) as farm:
            await farm.start_processes()
            await farm.begin_play()
            await run_steps(farm, Schedule(scenario, farm.plan).steps, progress)
    except ExceptionGroup as group:
        failed, _ = group.split(FaultBenchError)
        if failed is None:
            raise
        raise FaultBenchError(str(failed.exceptions[0])) from None
    finally:
        loop.remove_signal_handler(signal.SIGTERM)


async def run_steps(farm: Farm, steps: list[Step], progress: Progress = ignore_progress) -> None:
    """Executes each step at its time, until the clients have received all responses."""
    length_s = farm.plan.length / 1000
    due_steps = [step for step in steps if step.at <= farm.plan.length]
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(perform_step(farm, step, progress)) for step in due_steps]
        while elapsed_s(farm) < length_s + MAX_OVERTIME_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            progress(min(elapsed_s(farm), length_s), length_s, "")
            if elapsed_s(farm) > length_s and not await farm.children["clients"].call("left"):
                break
        for task in tasks:
            task.cancel()


async def perform_step(farm: Farm, step: Step, progress: Progress) -> None:
    await asyncio.sleep(max(0.0, step.at / 1000 - elapsed_s(farm)))
    if step.do != "set_server":
        arguments = " ".join(str(value) for value in step.arguments.values() if not isinstance(value, dict))
        progress(elapsed_s(farm), farm.plan.length / 1000, f"{step.do} {arguments}")
    try:
        await getattr(farm, step.do)(**step.arguments)
    except FaultBenchError as error:  # e.g. the process has ended: recorded, and the play continues
        farm.record_event("step failed", step.do, str(error))


def elapsed_s(farm: Farm) -> float:
    return time.monotonic() - farm.play_start
