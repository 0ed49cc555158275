"""The command line. Each command reads its arguments, calls the package for it, and prints the result.

Exit codes: 0 success; 1 a rule was broken; 2 the command can't be carried out, with the reason in one line.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from flaxstep.cli_faultbench import demo_command, load_command, rig
from flaxstep.cli_release import release
from flaxstep.command_error import CommandError
from flaxstep.simulator.runner import NotPlayable, encode_result, play_with_policy
from flaxstep.simulator.scenario import ScenarioError, read_scenario
from flaxstep.simulator.simulation import Run

OUTCOME_COLUMNS = ("in_time", "late", "unserved", "refused", "failed", "given_up")


@click.group()
def main() -> None:
    """flaxstep: a worth-aware proxy and its tools."""


main.add_command(demo_command)
main.add_command(rig)
main.add_command(load_command)
main.add_command(release)


@main.group()
def lab() -> None:
    """Simulate the farm in virtual time with the real routing policy."""


@lab.command("play")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option(
    "--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Seed of all random draws."
)
@click.option(
    "--policy",
    default="here",
    show_default=True,
    help="'here', a baseline, or a revision of this repository.",
)
@click.option("--out", type=click.Path(path_type=Path), help="Write the result file here.")
def play_command(scenario: Path, seed: int, policy: str, out: Path | None) -> None:
    """Simulate one run of SCENARIO and print what was served. Exit code 1 if a rule was broken."""
    try:
        run = play_with_policy(policy, read_scenario(scenario), scenario, seed)
        if out is not None:
            out.write_bytes(encode_result(run))
    except (ScenarioError, NotPlayable) as error:
        raise CommandError(str(error)) from None
    except OSError as error:
        raise CommandError(f"{error.filename}: {error.strerror}") from None
    print_run(run)
    sys.exit(1 if run.verdict.breaches else 0)


def print_run(run: Run) -> None:
    """Print a run as a few lines and a table by class."""
    verdict, console = run.verdict, Console(highlight=False, width=110)
    console.print(
        f"{run.scenario}, seed {run.seed}, policy {run.policy}: {run.first_tries} requests, {run.tries} tries"
    )
    console.print(
        f"G {verdict.g:.4f}   whole day {verdict.served:.4f}   "
        f"worst 10 s {verdict.worst_window:.4f} (from {verdict.worst_from} s)\n"
        f"worst class {verdict.worst_class:.4f}   worst tenant {verdict.worst_tenant:.4f}"
    )
    prices = ", ".join(f"{name} {value:.4f}" for name, value in verdict.prices.items() if value >= 0.00005)
    console.print(f"prices: {prices or 'none'}; servers slowed {run.choked}, fallen {len(run.fallen)}")
    table = Table("class", "served", *(column.replace("_", " ") for column in OUTCOME_COLUMNS))
    for i, (name, served) in enumerate(verdict.classes.items()):
        table.add_row(
            name, f"{served:.4f}", *(str(getattr(run.outcomes, column)[i]) for column in OUTCOME_COLUMNS)
        )
    console.print(table)
    for breach in run.breaches[:10]:
        place = f"node {breach.node}, request {breach.request}, server {breach.server}"
        console.print(f"broken: {breach.rule} at {breach.at / 1000:.3f} s, {place}: {breach.what}")
    if verdict.breaches:
        console.print(f"rules broken {verdict.breaches} times")
