"""`flaxstep release`: staged releases of job servers and nodes, with canary analysis, halt and rollback."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Literal

import click
import msgspec
from rich.console import Console
from rich.table import Table

from flaxstep.command_error import CommandError
from flaxstep.rollout.actions import Phase
from flaxstep.rollout.farm import Farm, read_farm
from flaxstep.rollout.io.controller import Controller, plan_members, resume_or_create_release
from flaxstep.rollout.io.snapshot_collector import collect_snapshot
from flaxstep.rollout.io.store import ClaimLost, Store, StoredRelease, StoreError, boot_clock_s
from flaxstep.rollout.limits import reason_to_wait
from flaxstep.rollout.plan import Plan, PlanError, max_out_at_once, read_plan, split_into_waves
from flaxstep.rollout.release import State

EXIT_STOPPED = 130
ORDER_TIMEOUT_S = 5.0  # how long to wait for a controller to process an order
FARM = click.option(
    "--farm", "farm_path", type=click.Path(path_type=Path), default=Path("farm.toml"), show_default=True,
    help="The farm file.",
)  # fmt: skip
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@click.group()
def release() -> None:
    """Staged releases: a canary, then waves, compared with the other members, with halt and rollback.

    Exit codes: 0 done; 1 it halted, went back or gave up, or 'check' found that it can't begin now;
    2 the command can't be carried out; 130 the controller was stopped, and 'run' resumes the release.
    """


@contextmanager
def report_errors() -> Iterator[None]:
    """Report errors of plans and of the state file as lines, one for each fault, without a traceback."""
    try:
        yield
    except (PlanError, StoreError) as error:
        raise CommandError(str(error)) from None


@release.command("check")
@click.argument("plan_path", metavar="PLAN", type=click.Path(path_type=Path))
@FARM
@JSON
def check_command(plan_path: Path, farm_path: Path, as_json: bool) -> None:
    """Show what each wave of PLAN would do on the live farm, and whether it may begin. Changes nothing.

    Example: flaxstep release check v2.toml --farm farm.toml
    """
    with report_errors():
        plan, farm = read_plan(plan_path), read_farm(farm_path)
        found = asyncio.run(survey_plan(farm, plan))
    if as_json:
        click.echo(msgspec.json.encode(found))
    else:
        print_survey(found)
    sys.exit(1 if found.reasons else 0)


class WaveLine(msgspec.Struct):
    """What a wave would do, in `check --json`."""

    zone: str
    members: list[str]
    at_once: int
    capacity_left: float
    least_s: float


class Survey(msgspec.Struct):
    """The result of `check`. `reasons` are why the release should not begin now."""

    plan: str
    what: str
    to: str
    waves: list[WaveLine]
    reasons: list[str]


async def survey_plan(farm: Farm, plan: Plan) -> Survey:
    members = await plan_members(farm, plan)
    snapshot = await collect_snapshot(farm, boot_clock_s())
    whole = sum(member.size for member in members)
    lines, reasons = [], [reason] if (reason := reason_to_wait(snapshot, plan, None)) else []
    for number, wave in enumerate(split_into_waves(plan, members), 1):
        count = max_out_at_once(plan, wave, members) if plan.what == "servers" else plan.room.out_at_once
        largest = sorted((member.size for member in wave.members), reverse=True)[: max(count, 1)]
        left = 1 - sum(largest) / whole if plan.what == "servers" else 1.0
        if not count:
            reasons.append(
                f"wave {number}: not enough capacity for even one member to be out: {left:.2f} would remain"
            )
        least = plan.watch.bake_s + -(-len(wave.members) // max(count, 1)) * plan.watch.warm_s
        lines.append(WaveLine(wave.zone, [m.id for m in wave.members], count, round(left, 4), least))
    if plan.what == "servers":
        taken = [member.id for member in members if snapshot.cordoned_anywhere(member.id)]
        reasons += [f"{name} was cordoned by somebody" for name in taken]
    return Survey(plan.name, plan.what, plan.to, lines, reasons)


def print_survey(found: Survey) -> None:
    console = Console(highlight=False, width=110)
    table = Table("wave", "zone", "members", "at once", "capacity left", "takes at least")
    for number, line in enumerate(found.waves, 1):
        names = ", ".join(line.members[:4]) + (f" and {len(line.members) - 4} more" * (len(line.members) > 4))
        left = f"{line.capacity_left:.2f}"
        table.add_row(str(number), line.zone, names, str(line.at_once), left, f"{line.least_s:.0f} s")
    console.print(f"{found.plan}: {found.what} to {found.to}")
    console.print(table)
    for reason in found.reasons:
        console.print(f"not now: {reason}")
    console.print("the release should not begin now" if found.reasons else "the release can begin now")


@release.command("run")
@click.argument("plan_path", metavar="PLAN", type=click.Path(path_type=Path))
@FARM
@click.option("--on-bad", type=click.Choice(["back", "hold"]), help="Overrides on_bad of the plan.")
def run_command(plan_path: Path, farm_path: Path, on_bad: Literal["back", "hold"] | None) -> None:
    """Carry out PLAN, or resume it where a controller was stopped.

    Example: flaxstep release run v2.toml --farm farm.toml --on-bad hold
    """
    with report_errors():
        plan, farm = read_plan(plan_path), read_farm(farm_path)
        if on_bad is not None:
            watch = msgspec.structs.replace(plan.watch, on_bad=on_bad)
            plan = msgspec.structs.replace(plan, watch=watch)
        store = Store(Path(farm.state))
        store.acquire_claim()
        stored = None
        try:
            stored = asyncio.run(run_release(farm, store, plan, print_line))
        except ClaimLost:
            raise
        except (KeyboardInterrupt, asyncio.CancelledError):
            click.echo("flaxstep: stopped; 'release run' resumes the release", err=True)
        finally:
            store.release_claim()
            store.close()
    if stored is None:
        sys.exit(EXIT_STOPPED)
    print_result(stored)
    sys.exit(0 if stored.release.state is State.DONE else 1)


def print_line(line: str) -> None:
    click.echo(f"{time.strftime('%H:%M:%S')} {line}")


async def run_release(
    farm: Farm, store: Store, plan: Plan, report_line: Callable[[str], None]
) -> StoredRelease:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    stored = await resume_or_create_release(farm, store, plan)
    controller = Controller(farm, store, stored, report_line)
    controller.recover()
    await controller.run()
    return stored


def print_result(stored: StoredRelease) -> None:
    why = f": {stored.release.why}" if stored.release.why else ""
    click.echo(f"release {stored.id}, {stored.plan.name}: {stored.release.state.value}{why}")
    for member in stored.members.values():
        if member.phase not in (Phase.SERVING, Phase.GONE):
            click.echo(f"{member.id} is {member.phase.value}: {member.note}")


def open_newest_release(farm_path: Path) -> tuple[Store, StoredRelease]:
    store = Store(Path(read_farm(farm_path).state), must_exist=True)
    stored = store.newest_release()
    if stored is None:
        raise StoreError(f"{store.path}: no release has been started on this farm")
    return store, stored


class MemberLine(msgspec.Struct):
    """A member in `status --json`."""

    id: str
    zone: str
    wave: int
    version: str
    phase: str
    note: str


class Status(msgspec.Struct):
    """The newest release, in `status --json`. The version is halted when `stake` reaches `wanted`."""

    release: int
    plan: str
    state: str
    why: str
    waiting: str
    wave: int
    waves: int
    baked_s: float
    stake: float
    wanted: float
    served: float | None
    controller: str
    members: list[MemberLine]


@release.command("status")
@FARM
@JSON
def status_command(farm_path: Path, as_json: bool) -> None:
    """Show the newest release of the farm."""
    with report_errors():
        store, stored = open_newest_release(farm_path)
        holder, state = store.holder(), stored.release
        store.close()
    members = [
        MemberLine(m.id, m.zone, m.wave + 1, m.version, m.phase.value, m.note)
        for m in sorted(stored.members.values(), key=lambda m: (m.wave, m.id))
    ]
    last = max((line.wave for line in members), default=1)
    status = Status(
        stored.id, stored.plan.name, state.state.value, state.why, state.waiting,
        min(state.wave + 1, last), last,
        round(state.baked, 1), round(state.stake, 3), state.wanted, state.served, holder, members,
    )  # fmt: skip
    if as_json:
        click.echo(msgspec.json.encode(status))
    else:
        print_status(status)


def print_status(status: Status) -> None:
    console = Console(highlight=False, width=110)
    why = f": {status.why}" if status.why else ""
    console.print(f"release {status.release}, {status.plan}: {status.state}{why}")
    console.print(f"wave {status.wave} of {status.waves}, watched for {status.baked_s:g} s")
    if status.waiting:
        console.print(f"waiting: {status.waiting}")
    served = "unknown" if status.served is None else f"{status.served:.2f}"
    halt = f"{status.stake:.2g} of the {status.wanted:g} that halt it" if status.wanted else "none yet"
    console.print(f"served share of the requested worth: {served}; evidence against the version: {halt}")
    console.print(f"controller: {status.controller or 'none is running'}")
    table = Table("member", "zone", "wave", "runs", "is", "note")
    for line in status.members:
        table.add_row(line.id, line.zone, str(line.wave), line.version, line.phase, line.note)
    console.print(table)


@release.command("history")
@FARM
@JSON
def history_command(farm_path: Path, as_json: bool) -> None:
    """Show every action of the newest release: when, for which member, and its result."""
    with report_errors():
        store, stored = open_newest_release(farm_path)
        lines = store.history(stored.id)
        store.close()
    if as_json:
        click.echo(msgspec.json.encode(lines))
        return
    table = Table("at", "act", "member", "version", "took", "result")
    for line in lines:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(line.at))
        took = "" if line.ended is None else f"{line.ended - line.at:.2f} s"
        result = "in progress, or lost" if line.ok is None else "yes" if line.ok else f"no: {line.said}"
        table.add_row(at, line.act, line.member, line.version, took, result)
    Console(highlight=False, width=110).print(table)


def send_order(farm_path: Path, what: str) -> None:
    """Store an order, wait for a controller to process it, and report the result."""
    with report_errors():
        store, stored = open_newest_release(farm_path)
        try:
            if stored.ended is not None:
                raise CommandError(f"release {stored.id} is over: {stored.release.state.value}")
            number, end = store.add_order(stored.id, what), time.monotonic() + ORDER_TIMEOUT_S
            if not store.holder():
                click.echo(f"{what}: stored; no controller runs, 'flaxstep release run' carries it out")
                return
            while (result := store.order_result(number)) is None and time.monotonic() < end:
                time.sleep(0.1)
        finally:
            store.close()
    if result is None:
        raise CommandError(f"{what}: the controller has not responded within {ORDER_TIMEOUT_S:g} s")
    if result:
        raise CommandError(f"{what}: no, {result}")
    click.echo(f"{what}: done")


@release.command("pause")
@FARM
def pause_command(farm_path: Path) -> None:
    """Pause the release: no further updates begin, and members that are out of service return."""
    send_order(farm_path, "pause")


@release.command("resume")
@FARM
def resume_command(farm_path: Path) -> None:
    """Resume after a pause, after a halt, or after it gave up. After a halt the analysis starts again."""
    send_order(farm_path, "resume")


@release.command("back")
@FARM
def back_command(farm_path: Path) -> None:
    """Roll the released members back to the old version."""
    send_order(farm_path, "back")


@release.command("close")
@FARM
def close_command(farm_path: Path) -> None:
    """Close a release that halted or gave up, as it is, so that another can begin."""
    with report_errors():
        store, stored = open_newest_release(farm_path)
        try:
            if stored.ended is None and stored.release.state not in (State.HALTED, State.ABANDONED):
                raise CommandError(
                    f"release {stored.id} is {stored.release.state.value}: pause it, or roll it back"
                )
            store.acquire_claim()
            store.close_release(stored.id, stored.release, stored.members)
            store.release_claim()
        finally:
            store.close()
    click.echo(f"release {stored.id}: closed")
