"""`flaxstep release`: staged releases of job servers and nodes, with a halt and a way back."""

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
ORDER_TIMEOUT_S = 5.0  # s to wait for a controller's answer to an order
FARM = click.option(
    "--farm", "farm_path", type=click.Path(path_type=Path), default=Path("farm.toml"), show_default=True,
    help="The farm file.",
)  # fmt: skip
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@click.group()
def release() -> None:
    """Staged releases: a canary, then waves, judged beside the rest, with a halt and a way back.

    Exit codes: 0 done; 1 it halted, went back or gave up, or there is no room; 2 it can't be done;
    130 the controller was ended, and 'run' goes on from where it stood.
    """


@contextmanager
def report_errors() -> Iterator[None]:
    """What can't be done is a line (a fault each, of plans), not a traceback."""
    try:
        yield
    except (PlanError, StoreError) as error:
        raise CommandError(str(error)) from None


@release.command("check")
@click.argument("plan_path", metavar="PLAN", type=click.Path(path_type=Path))
@FARM
@JSON
def check_command(plan_path: Path, farm_path: Path, as_json: bool) -> None:
    """Say what each wave of PLAN would do on the live farm, and whether there is room. Nothing is changed.

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
    """What a wave would do."""

    zone: str
    members: list[str]
    at_once: int
    capacity_left: float
    least_s: float


class Survey(msgspec.Struct):
    """What `check` found; `reasons` speak against beginning now."""

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
            reasons.append(f"wave {number}: no room for one: {left:.2f} of the capacity would stay")
        least = plan.watch.bake_s + -(-len(wave.members) // max(count, 1)) * plan.watch.warm_s
        lines.append(WaveLine(wave.zone, [m.id for m in wave.members], count, round(left, 4), least))
    if plan.what == "servers":
        taken = [member.id for member in members if snapshot.cordoned_anywhere(member.id)]
        reasons += [f"{name} is out by somebody's hand" for name in taken]
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
    console.print("not fit to begin" if found.reasons else "there is room; nothing speaks against it now")


@release.command("run")
@click.argument("plan_path", metavar="PLAN", type=click.Path(path_type=Path))
@FARM
@click.option("--on-bad", type=click.Choice(["back", "hold"]), help="In place of what the plan says.")
def run_command(plan_path: Path, farm_path: Path, on_bad: Literal["back", "hold"] | None) -> None:
    """Carry PLAN out, or go on with it where a controller that was ended has left it.

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
            click.echo("flaxstep: ended; 'release run' goes on from here", err=True)
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
    """`status --json`. `stake` of `wanted`: how far the judgement is from a halt."""

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
    """Where the newest release of the farm stands."""
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
        stored.id, stored.plan.name, state.state.value, state.why, state.waiting, min(state.wave + 1, last), last,
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
    console.print(f"served of what is asked for: {served}; evidence against the version: {halt}")
    console.print(f"controller: {status.controller or 'none runs'}")
    table = Table("member", "zone", "wave", "runs", "is", "note")
    for line in status.members:
        table.add_row(line.id, line.zone, str(line.wave), line.version, line.phase, line.note)
    console.print(table)


@release.command("history")
@FARM
@JSON
def history_command(farm_path: Path, as_json: bool) -> None:
    """Every act of the newest release: when, at whom, and what came of it."""
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
        result = "under way, or lost" if line.ok is None else "yes" if line.ok else f"no: {line.said}"
        table.add_row(at, line.act, line.member, line.version, took, result)
    Console(highlight=False, width=110).print(table)


def send_order(farm_path: Path, what: str) -> None:
    """Leave an order, and say what came of it."""
    with report_errors():
        store, stored = open_newest_release(farm_path)
        try:
            if stored.ended is not None:
                raise CommandError(f"release {stored.id} is over: {stored.release.state.value}")
            number, end = store.add_order(stored.id, what), time.monotonic() + ORDER_TIMEOUT_S
            if not store.holder():
                click.echo(f"{what}: kept; no controller runs, 'flaxstep release run' carries it out")
                return
            while (result := store.order_result(number)) is None and time.monotonic() < end:
                time.sleep(0.1)
        finally:
            store.close()
    if result is None:
        raise CommandError(f"{what}: the controller has not answered within {ORDER_TIMEOUT_S:g} s")
    if result:
        raise CommandError(f"{what}: no, {result}")
    click.echo(f"{what}: done")


@release.command("pause")
@FARM
def pause_command(farm_path: Path) -> None:
    """Send nothing further out; what is out comes back."""
    send_order(farm_path, "pause")


@release.command("resume")
@FARM
def resume_command(farm_path: Path) -> None:
    """Go on after a pause, a halt, or when it gave up. After a halt the judgement begins anew."""
    send_order(farm_path, "resume")


@release.command("back")
@FARM
def back_command(farm_path: Path) -> None:
    """Bring what is released back to the version before."""
    send_order(farm_path, "back")


@release.command("close")
@FARM
def close_command(farm_path: Path) -> None:
    """End a release that halted or gave up, as it stands; another can begin then."""
    with report_errors():
        store, stored = open_newest_release(farm_path)
        try:
            if stored.ended is None and stored.release.state not in (State.HALTED, State.ABANDONED):
                raise CommandError(
                    f"release {stored.id} is {stored.release.state.value}: pause it, or call it back"
                )
            store.acquire_claim()
            store.close_release(stored.id, stored.release, stored.members)
            store.release_claim()
        finally:
            store.close()
    click.echo(f"release {stored.id}: closed")
