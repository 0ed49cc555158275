"""The commands that run or call processes: `rig play`, `rig soak`, `demo` and `load`."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from contextlib import suppress
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn
from rich.table import Table

from flaxstep.command_error import CommandError
from flaxstep.faultbench.child_process import ROOT
from flaxstep.faultbench.fake_service import FaultBenchError
from flaxstep.faultbench.farm import build_node
from flaxstep.faultbench.load_generator import (
    LoadPlan,
    LoadSummary,
    parse_class,
    parse_steps,
    parse_target,
    run_load,
)
from flaxstep.faultbench.report import write_report
from flaxstep.faultbench.result import Result, TableRow, judge_play, write_result
from flaxstep.faultbench.runner import play
from flaxstep.faultbench.soak.runner import SoakOutcome, soak
from flaxstep.faultbench.soak.timeline import describe_breaches
from flaxstep.simulator.scenario import ScenarioError, read_scenario

OUTCOMES = ("in_time", "late", "refused", "failed", "unserved")
MAX_NOT_RUN_SHARE = 0.1  # a soak with a larger share of plays not run fails
EXIT_INTERRUPTED = 130  # after Ctrl-C


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


@rig.command("soak")
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help="What is drawn.")
@click.option("--plays", type=click.IntRange(1, 10_000), default=10, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(8, 600), default=30.0, show_default=True, help="Of each play."
)
@click.option("--only", type=click.IntRange(min=0), help="Play this one of them alone.")
@click.option("--side-by-side", type=click.IntRange(1, 16), default=3, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Folder for scenarios, records and logs.")
def soak_command(
    seed: int, plays: int, seconds: float, only: int | None, side_by_side: int, out: Path | None
) -> None:
    """Play drawn farms with drawn faults and judge them. Exit code 1: a rule was broken, or too few were run.

    The same seed draws the same plays. A play that could not be played properly counts as not run; more than
    one in ten of those fails the soak.

    Example: flaxstep rig soak --seed 7 --plays 50
    """
    numbers = list(range(plays)) if only is None else [only]
    folder = folder_for(out, "soak", seed)
    outcomes = asyncio.run(run_soak(seed, numbers, seconds, side_by_side, folder))
    not_run = sum(bool(outcome.not_run_reason) for outcome in outcomes)
    broken = sum(bool(outcome.breaches) for outcome in outcomes)
    click.echo(f"{len(outcomes)} plays: {broken} broke a rule, {not_run} not run; records in {folder}")
    sys.exit(1 if broken or not_run > MAX_NOT_RUN_SHARE * len(outcomes) else 0)


async def run_soak(
    seed: int, numbers: list[int], seconds: float, side_by_side: int, folder: Path
) -> list[SoakOutcome]:
    """Runs the plays and prints a line as each ends, and for a breach what every process recorded of it."""
    outcomes = []
    async for outcome in soak(seed, numbers, seconds, side_by_side, folder):
        outcomes.append(outcome)
        drawn_play = outcome.drawn_play
        farm = f"{drawn_play.nodes} nodes, {drawn_play.servers} servers, {drawn_play.zones} zones"
        click.echo(f"play {drawn_play.number}: {outcome.verdict}; {farm}; {'; '.join(drawn_play.faults)}")
        if outcome.breaches:
            repeat_command = (
                f"flaxstep rig soak --seed {seed} --only {drawn_play.number} --seconds {seconds:g}"
            )
            click.echo(f"  again: {repeat_command}")
            for line in describe_breaches(outcome.folder / "records", outcome.breaches):
                click.echo(f"  {line}")
    return outcomes


@click.command("demo")
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Which day is drawn.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for records, logs and the report.")
def demo_command(seed: int, out: Path | None) -> None:
    """A minute of a farm at work, all on this machine: three nodes, nine job servers in three zones.

    A burst of 2.4 times the load, a server that is paused, one cordoned and uncordoned, a node quiesced and
    resumed, a zone cut off for five seconds. At the end: a table by class, and a report for the browser.
    """
    result = run_play(ROOT / "scenarios" / "demo.toml", seed, folder_for(out, "demo", seed))
    sys.exit(1 if result.broken else 0)


@click.command("load")
@click.argument("urls", nargs=-1, required=True, metavar="URL...")
@click.option("--rate", type=float, default=50.0, show_default=True, help="Requests a second, on average.")
@click.option("--for", "seconds", type=float, default=10.0, show_default=True, help="Seconds.")
@click.option("--steps", help="A timetable in place of --rate and --for: RATE:SECONDS[,RATE:SECONDS...]")
@click.option(
    "--class",
    "classes",
    multiple=True,
    default=("load=safe",),
    show_default=True,
    help="NAME=EFFECT[:SHARE], with an effect of safe, keyed or unsafe; may be given several times.",
)
@click.option("--body", type=click.IntRange(0, 1 << 25), default=0, help="Bytes of requests that have one.")
@click.option("--timeout-ms", type=click.FloatRange(1, 60_000), default=1000.0, show_default=True)
@click.option("--tenant", default="", help="Tenant of the requests.")
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
@click.option("--even", is_flag=True, help="Evenly spaced; otherwise by chance (Poisson).")
@click.option("--json", "as_json", is_flag=True, help="The summary as JSON.")
def load_command(
    urls: tuple[str, ...],
    rate: float,
    seconds: float,
    steps: str | None,
    classes: tuple[str, ...],
    body: int,
    timeout_ms: float,
    tenant: str,
    seed: int,
    even: bool,
    as_json: bool,
) -> None:
    """Send open-loop load to nodes on this machine and print their responses. Loopback addresses only.

    Latencies count from the time at which a request was meant to be sent. Exit code 1 if none was served.

    Example: flaxstep load http://127.0.0.1:9000 --rate 200 --for 30 --class submit-build=unsafe
    """
    try:
        plan = LoadPlan(
            targets=[parse_target(url) for url in urls],
            classes=[parse_class(text) for text in classes],
            steps=parse_steps(steps or f"{rate:g}:{seconds:g}"),
            body=body,
            timeout_ms=timeout_ms,
            tenant=tenant,
            seed=seed,
            poisson=not even,
        )
    except FaultBenchError as error:
        raise CommandError(str(error)) from None
    summary = run_load(plan)
    if as_json:
        click.echo(msgspec.json.encode(summary))
    else:
        show_load(summary)
    sys.exit(0 if any(counts.served for counts in summary.classes) else 1)


def show_load(summary: LoadSummary) -> None:
    columns = ("sent", "served", "refused", "failed", "late", "unsent")
    times = ("p50", "p90", "p99", "p99.9", "max")
    table = Table("class", *columns, *(f"{name} ms" for name in times))
    for counts in summary.classes:
        latencies = (f"{counts.latency_ms[t]:.1f}" if t in counts.latency_ms else "" for t in times)
        table.add_row(counts.name, *(str(getattr(counts, name)) for name in columns), *latencies)
    console = Console(highlight=False, width=110)
    console.print(table)
    console.print(f"{summary.seconds:.1f} s; sent late by {summary.behind_ms:.1f} ms at most in 99 of 100")


def folder_for(out: Path | None, name: str, seed: int) -> Path:
    """Returns the folder for a play's files: a new or empty one, never one that holds another play."""
    try:
        if out is None:
            return new_folder(name, seed)
        if out.exists() and (not out.is_dir() or any(out.iterdir())):
            raise CommandError(f"{out}: exists already; name an empty folder")
        out.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise CommandError(f"{error.filename}: {error.strerror}") from None
    return out.resolve()


def new_folder(name: str, seed: int) -> Path:
    """Creates a folder with an unused name: two plays may begin in the same second."""
    stem = f"{name}-{seed}-{time.strftime('%Y%m%d-%H%M%S')}"
    Path("runs").mkdir(exist_ok=True)
    for number in itertools.count(1):
        folder = Path("runs") / (stem if number == 1 else f"{stem}-{number}")
        with suppress(FileExistsError):
            folder.mkdir()
            return folder.resolve()
    raise AssertionError("there is always a next number")


def run_play(path: Path, seed: int, folder: Path) -> Result:
    """Runs a play, judges it, writes the result and the report, and prints the result."""
    console = Console(highlight=False, width=110)
    try:
        scenario = read_scenario(path)
        build_node()
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
    except (ScenarioError, FaultBenchError) as error:
        raise CommandError(str(error)) from None
    except (KeyboardInterrupt, asyncio.CancelledError):
        click.echo("flaxstep: ended before the play was over; its processes are ended too", err=True)
        sys.exit(EXIT_INTERRUPTED)
    result = judge_play(scenario, seed, folder)
    write_result(result, folder)
    write_report(result, folder)
    show_result(console, result, folder)
    return result


def show_result(console: Console, result: Result, folder: Path) -> None:
    verdict = result.verdict
    console.print(
        f"{result.scenario}, seed {result.seed}: {result.first_tries} requests, {result.tries} tries\n"
        f"G {verdict.g:.4f}   whole day {verdict.served:.4f}   "
        f"worst 10 s {verdict.worst_window:.4f} (from {verdict.worst_from} s)"
    )
    table = Table("", "served", *(case.replace("_", " ") for case in OUTCOMES), "p50 ms", "p99 ms")
    for row in [*result.classes, *result.zones, *result.tens]:
        latencies = result.latency_ms.get(row.name, {})
        times = (f"{latencies[p]:.0f}" if p in latencies else "" for p in ("p50", "p99"))
        table.add_row(row.name, served_share(row), *(str(getattr(row, case)) for case in OUTCOMES), *times)
    console.print(table)
    console.print(
        f"attempts between zones {result.crossings}; servers slowed {result.slowed}, fallen {result.fell}; "
        f"clients late by {result.lateness_ms.get('p99', 0):.1f} ms (99 of 100)"
    )
    if result.distorted:
        console.print(f"{result.distorted}; conclude nothing from it")
    for breach in result.breaches[:10]:
        place = f"node {breach.node}, request {breach.request or '-'}, server {breach.server}"
        console.print(f"broken: {breach.rule} at {breach.at / 1000:.3f} s, {place}: {breach.what}")
    console.print(f"rules broken {result.broken} times" if result.broken else "all rules kept")
    console.print(f"report: {folder / 'report.html'}", soft_wrap=True)


def served_share(row: TableRow) -> str:
    return f"{row.earned / row.asked:.4f}" if row.asked else "-"
