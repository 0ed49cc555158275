"""The commands that start processes: `rig play`."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn
from rich.table import Table

from flaxstep.lab.scenario import ScenarioError, read_scenario
from flaxstep.refusal import Refusal
from flaxstep.rig.play import play
from flaxstep.rig.result import Line, Result, judge_play, write_result
from flaxstep.rig.stage import build
from flaxstep.rig.standin import RigError

CASES = ("in_time", "late", "refused", "failed", "unanswered")
ENDED = 130  # exit code after Ctrl-C


@click.group()
def rig() -> None:
    """Farms of processes on this machine, with faults between them."""


@rig.command("play")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Which day is drawn.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for records, logs and result.")
def play_command(scenario: Path, seed: int, out: Path | None) -> None:
    """Play SCENARIO with real processes and say what was served. Exit code 1 if a rule was broken.

    Example: flaxstep rig play scenarios/hand-drain.toml --seed 3
    """
    result = run_play(scenario, seed, folder_for(out, scenario.stem, seed))
    sys.exit(1 if result.broken else 0)


def folder_for(out: Path | None, name: str, seed: int) -> Path:
    """Where a play's files go: a folder of its own, never one that holds another play."""
    folder = out or Path("runs") / f"{name}-{seed}-{time.strftime('%Y%m%d-%H%M%S')}"
    try:
        if folder.exists() and (not folder.is_dir() or any(folder.iterdir())):
            raise Refusal(f"{folder}: exists already; name an empty folder")
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise Refusal(f"{error.filename}: {error.strerror}") from None
    return folder.resolve()


def run_play(path: Path, seed: int, folder: Path) -> Result:
    """Play, judge, keep and show the result."""
    console = Console(highlight=False, width=110)
    try:
        scenario = read_scenario(path)
        build()
        with Progress(
            TextColumn("{task.completed:5.1f} s"),
            BarColumn(),
            TextColumn("{task.description}"),
            console=console,
        ) as bar:
            task = bar.add_task("starting", total=None)

            def show(played: float, length: float, what: str) -> None:
                bar.update(task, completed=played, total=length, description="playing")
                if what:
                    bar.console.print(f"{played:5.1f} s  {what}")

            asyncio.run(play(scenario, path.resolve(), seed, folder, show))
    except (ScenarioError, RigError) as error:
        raise Refusal(str(error)) from None
    except (KeyboardInterrupt, asyncio.CancelledError):
        click.echo("flaxstep: ended before the play was over; its processes are ended too", err=True)
        sys.exit(ENDED)
    result = judge_play(scenario, seed, folder)
    write_result(result, folder)
    show_result(console, result, folder)
    return result


def show_result(console: Console, result: Result, folder: Path) -> None:
    verdict = result.verdict
    console.print(
        f"{result.scenario}, seed {result.seed}: {result.first_tries} requests, {result.tries} tries\n"
        f"G {verdict.g:.4f}   whole day {verdict.served:.4f}   "
        f"worst 10 s {verdict.worst_window:.4f} (from {verdict.worst_from} s)"
    )
    table = Table("", "served", *(case.replace("_", " ") for case in CASES), "p50 ms", "p99 ms")
    for line in [*result.classes, *result.zones, *result.tens]:
        took = result.latency_ms.get(line.name, {})
        times = (f"{took[p]:.0f}" if p in took else "" for p in ("p50", "p99"))
        table.add_row(line.name, served(line), *(str(getattr(line, case)) for case in CASES), *times)
    console.print(table)
    console.print(
        f"attempts between zones {result.crossings}; servers slowed {result.slowed}, fallen {result.fell}; "
        f"clients late by {result.lateness_ms.get('p99', 0):.1f} ms (99 of 100)"
    )
    for breach in result.breaches[:10]:
        place = f"node {breach.node}, request {breach.request or '-'}, server {breach.server}"
        console.print(f"broken: {breach.rule} at {breach.at / 1000:.3f} s, {place}: {breach.what}")
    console.print(f"rules broken {result.broken} times" if result.broken else "all rules kept")
    console.print(f"kept in {folder}", soft_wrap=True)


def served(line: Line) -> str:
    return f"{line.earned / line.asked:.4f}" if line.asked else "-"
