"""Releases of a farm of real processes by a separate controller process, with faults between them."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from flaxstep.faultbench.child_process import ChildProcess
from flaxstep.faultbench.farm import Farm
from flaxstep.faultbench.operators import OperatorCommands, start_controller
from flaxstep.rollout.actions import MemberState, Phase
from flaxstep.rollout.farm import read_farm
from flaxstep.rollout.io.store import LEASE_S, Store, StoredRelease
from flaxstep.rollout.release import Release, State
from tests.rigs import NODE, ROOT, Played, rig

VERSIONS = """
[rules]
ramp_ms = 1500
[rig.versions.slow]
slow = 4
slow_over = 1
[rig.versions.failing]
errors = 0.15
[rig.versions.late]
after_s = 6
errors = 0.3
[rig.versions.loop]
crash_s = 1.5
[rig.versions.dead]
ready = false
[rig.versions.wrong]
wrong = true
"""
PLAN = """
name = "to {to}"
what = "{what}"
from = "v1"
to = "{to}"
[waves]
shares = [0.4, 1]
[room]
capacity = 0.6
worth = 0.5
halt_worth = 0.2
[watch]
before_s = 2
look_s = 0.25
warm_s = 1.5
bake_s = 2
doubt_s = 1
empty_s = 4
wait_s = {wait}
failures = 0.01
[commands]
time_limit_s = {time_limit}
ready_s = {ready}
"""
# Time limits in s of commands and of a restarted process: far more than either takes on a fully loaded
# machine. Shorter only where a case is about a process that never becomes ready.
PATIENT, TIGHT = (30.0, 30.0), (2.0, 4.0)
Disturbance = Callable[["LiveRelease"], Awaitable[None]]
SIDE_BY_SIDE = 4  # plays at once; with more, their clients fall behind schedule


class LiveRelease:
    """A farm under load with a release under way."""

    def __init__(self, farm: Farm, case: Case) -> None:
        self.farm, self.staff = farm, OperatorCommands(farm)
        self.controllers = 0
        time_limit, ready = case.limits
        text = PLAN.format(to=case.to, what=case.what, wait=case.wait, time_limit=time_limit, ready=ready)
        text += self.staff.command_table(case.what)
        self.plan = farm.folder / "plan.toml"
        self.plan.write_text(text)
        self.farm_file = self.staff.write_farm_file()

    async def start_controller(self) -> ChildProcess:
        """Start a controller."""
        self.controllers += 1
        log = self.farm.folder / f"controller-{self.controllers}.log"
        self.controller = await start_controller(self.farm, self.plan, self.farm_file, log)
        return self.controller

    async def run_command(self, *words: str) -> tuple[int, str]:
        """Run a release command as operators do; return its exit code and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "flaxstep", "release", *words, "--farm", str(self.farm_file),
            cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
        )  # fmt: skip
        out, _ = await process.communicate()
        return process.returncode or 0, out.decode()

    async def kill_and_restart_controller(self) -> None:
        await self.controller.kill()
        store = Store(Path(read_farm(self.farm_file).state))
        store.db.execute("UPDATE claim SET renewed = 0")  # as if its lease had run out
        store.close()
        await self.start_controller()

    def stored_release(self) -> StoredRelease | None:
        """The release as the state file has it."""
        store = Store(Path(read_farm(self.farm_file).state))
        kept = store.newest_release()
        store.close()
        return kept

    async def wait_for_state(self, condition: Callable[[StoredRelease], bool]) -> None:
        """Wait until the stored release satisfies the condition."""

        def stands() -> bool:
            kept = self.stored_release()
            return kept is not None and condition(kept)

        await self.wait_until(stands)

    async def wait_until(self, condition: Callable[[], bool], seconds: float = 40.0) -> None:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_for_calls(self, do: str, count: int = 1) -> None:
        """Wait until commands have made this many calls of a kind."""
        await self.wait_until(lambda: sum(call[0] == do for call in self.staff.received_calls) >= count)

    async def fault(self, name: str, *between: str) -> dict[str, object]:
        spec: dict[str, object] = {
            "name": name, "between": list(between), "way": "both", "size": 1.0, "jitter": 0.0,
        }  # fmt: skip
        await self.farm.fault(1, spec)
        return spec


@dataclass
class ReleaseOutcome:
    """The outcome of a release."""

    code: int
    release: Release
    members: dict[str, MemberState]
    versions: list[str]  # of the job servers
    calls: list[list[str]]
    play: Played

    @property
    def out(self) -> list[str]:
        return [m.id for m in self.members.values() if m.phase is not Phase.SERVING]


async def run_case(folder: Path, case: Case) -> ReleaseOutcome:
    """Run a release to its end under load; the rules of the rig are checked."""
    found: list[ReleaseOutcome] = []

    async def act(farm: Farm) -> bool:
        live = LiveRelease(farm, case)
        await live.staff.start()
        try:
            await live.start_controller()
            if case.acts is not None:
                await case.acts(live)
            async with asyncio.timeout(90):
                code = await live.controller.process.wait()
        finally:
            live.staff.close()
        live.staff.record_cordons()
        kept = live.stored_release()
        assert kept is not None
        versions = [farm.versions[server] for server in sorted(farm.versions)]
        found.append(
            ReleaseOutcome(code, kept.release, kept.members, versions, live.staff.received_calls, None)
        )  # type: ignore[arg-type]
        return True

    play = await rig(folder, act, seconds=120, nodes=3, load=case.load, extra=VERSIONS + case.extra)
    [done] = found
    done.play = play
    return done


# Disturbances during a release.


async def kill_after_cordon(live: LiveRelease) -> None:
    phases = (Phase.DRAINING, Phase.RESTARTING, Phase.VERIFYING)
    await live.wait_for_state(lambda kept: any(m.phase in phases for m in kept.members.values()))
    await live.kill_and_restart_controller()


async def kill_in_command(live: LiveRelease) -> None:
    await live.wait_for_calls("restart")
    await live.kill_and_restart_controller()


async def unreachable_node(live: LiveRelease) -> None:
    await live.wait_for_state(lambda kept: kept.release.measured > 1.0)
    spec = await live.fault("refuse", "controller", "node:1")
    await live.wait_for_state(lambda kept: "n1 does not respond" in kept.release.waiting)
    await live.farm.heal(1, spec)


async def cut_zone(live: LiveRelease) -> None:
    await live.wait_for_calls("restart")
    spec = await live.fault("silent", "controller", "zone:1")
    await live.wait_for_state(lambda kept: "does not respond" in kept.release.waiting)
    await live.farm.heal(1, spec)


async def cut_zone_for_good(live: LiveRelease) -> None:
    await live.wait_for_calls("restart")
    spec = await live.fault("silent", "controller", "zone:1")
    await live.wait_for_state(lambda kept: kept.release.state is State.ABANDONED)
    await live.farm.heal(1, spec)


async def hang(live: LiveRelease) -> None:
    live.staff.unanswered = {("restart", f"s-{n:04d}", "hung") for n in range(6)}


async def hang_on_the_way_back(live: LiveRelease) -> None:
    live.staff.unanswered = {("restart", f"s-{n:04d}", "v1") for n in range(6)}


async def server_leaves(live: LiveRelease) -> None:
    await live.wait_for_calls("restart")
    await live.farm.announce(5, "left", 0.0)


async def operator_commands(live: LiveRelease) -> None:
    """Check, pause and resume the release by the command line."""
    code, text = await live.run_command("check", str(live.plan))
    assert code == 0, text
    await live.wait_for_calls("restart")
    assert await live.run_command("pause") == (0, "pause: done\n")
    await live.wait_for_state(lambda kept: all(m.phase is Phase.SERVING for m in kept.members.values()))
    code, text = await live.run_command("status", "--json")
    status = json.loads(text)
    assert code == 0 and status["state"] == "paused" and status["controller"]
    assert sorted({member["version"] for member in status["members"]}) == ["v1", "v2"]
    code, text = await live.run_command("pause")
    assert code == 2 and "the release is paused" in text
    assert await live.run_command("resume") == (0, "resume: done\n")


async def second_controller(live: LiveRelease) -> None:
    first = live.controller
    await live.wait_for_calls("restart")
    second = await live.start_controller()
    assert await second.process.wait() == 2
    assert "acts on this farm" in (live.farm.folder / "controller-2.log").read_text()
    live.controller = first


async def stopped_and_replaced(live: LiveRelease) -> None:
    """The first controller freezes for longer than its lease; the second takes over."""
    first = live.controller
    await live.wait_for_calls("restart")
    first.send_signal(signal.SIGSTOP)
    await asyncio.sleep(LEASE_S + 0.5)
    second = await live.start_controller()
    await live.wait_until(lambda: "wave" in (live.farm.folder / "controller-2.log").read_text())
    first.send_signal(signal.SIGCONT)
    assert await first.process.wait() == 2
    assert "has taken this farm over" in (live.farm.folder / "controller-1.log").read_text()
    live.controller = second


def previous_node(folder: Path) -> str:
    """The command that starts the node as it was before its last change."""
    places = ["flaxstep/proxy", "flaxstep/routing", "badgercart", "cottonhall"]  # the old layout last

    def git(*words: str) -> bytes:
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, check=True).stdout

    before = git("log", "-2", "--format=%H", "--", *places).decode().split()[-1]
    there = git("ls-tree", "--name-only", before, "--", *places).decode().split()
    module = "badgercart"
    if "flaxstep/proxy" in there:
        there, module = ["flaxstep/__init__.py", *there], "flaxstep.proxy"
    folder.mkdir()
    tar = git("archive", before, *there)
    subprocess.run(["tar", "-x", "-C", str(folder)], input=tar, check=True)
    return f"cd {folder} && exec {sys.executable} -B -m {module}"


def other_node(to_before: bool) -> Disturbance:
    async def acts(live: LiveRelease) -> None:
        before = previous_node(live.farm.folder / "before")
        live.staff.node_commands = {"v2": before if to_before else NODE, "v1": NODE if to_before else before}
        await live.farm.cordon(4)
        await live.wait_for_calls("stop", 3)
        await live.farm.uncordon(4)

    return acts


async def dead_node(live: LiveRelease) -> None:
    live.staff.node_commands = {"v2": "exec sleep 60"}


@dataclass(frozen=True)
class Case:
    """A release and its expected outcome. `why` must be part of the reason that the release gives."""

    to: str
    state: State
    acts: Disturbance | None = None
    why: str = ""
    what: str = "servers"
    wait: float = 30.0
    extra: str = ""
    load: float = 0.4
    limits: tuple[float, float] = PATIENT  # of a command, and until a restarted process answers
    long: bool = False  # not in every run of the tests


BURST = """
[[troubles]]
name = "burst"
at_s = [4, 4]
len_s = [8, 8]
size = [2.4, 2.4]
"""
BACK = State.ROLLED_BACK
CASES = {
    "staff": Case("v2", State.DONE, operator_commands),
    "good": Case("v2", State.DONE, long=True),
    "slow only under load": Case("slow", BACK, why="worse than the rest", load=0.7, long=True),
    "one in seven fails": Case("failing", BACK, why="worse than the rest"),
    "bad after the bake time": Case("late", BACK, why="worse than the rest", long=True),
    "crash loop": Case("loop", BACK, limits=TIGHT, long=True),
    "never ready": Case("dead", BACK, why="not ready", limits=TIGHT, long=True),
    "wrong answers": Case("wrong", BACK, why="41 is not 42", long=True),
    "the command hangs": Case("hung", BACK, hang, "not done after", limits=TIGHT, long=True),
    "going back hangs": Case("wrong", State.ABANDONED, hang_on_the_way_back, wait=8, limits=TIGHT, long=True),
    "killed after the cordon": Case("v2", State.DONE, kill_after_cordon, long=True),
    "killed in the command": Case("v2", State.DONE, kill_in_command),
    "node unreachable": Case("v2", State.DONE, unreachable_node),
    "zone cut off": Case("v2", State.DONE, cut_zone, long=True),
    "zone cut off for good": Case(
        "v2", State.ABANDONED, cut_zone_for_good, "does not respond", wait=4, long=True
    ),
    "burst": Case("v2", State.DONE, extra=BURST, wait=60, long=True),
    "server leaves": Case("v2", State.DONE, server_leaves, long=True),
    "second controller": Case("v2", State.DONE, second_controller, long=True),
    "frozen and replaced": Case("v2", State.DONE, stopped_and_replaced, long=True),
    "nodes": Case("v2", State.DONE, what="nodes"),
    "a node that never says yes": Case("v2", BACK, dead_node, "not ready", "nodes", limits=TIGHT, long=True),
    "the node before": Case("v2", State.DONE, other_node(True), what="nodes"),
    "the node after": Case("v2", State.DONE, other_node(False), what="nodes", long=True),
}


@pytest.fixture(scope="module")
def played(
    tmp_path_factory: pytest.TempPathFactory, request: pytest.FixtureRequest
) -> dict[str, ReleaseOutcome | BaseException]:
    """Run the selected cases, a few at a time."""
    folder = tmp_path_factory.mktemp("releases")
    asked = [item.callspec.params.get("name") for item in request.session.items if hasattr(item, "callspec")]
    cases = {name: case for name, case in CASES.items() if name in asked}

    async def all_cases() -> list[ReleaseOutcome | BaseException]:
        slots = asyncio.Semaphore(SIDE_BY_SIDE)

        async def one(name: str, case: Case) -> ReleaseOutcome:
            async with slots:
                return await run_case(folder / name.replace(" ", "-"), case)

        return await asyncio.gather(*(one(*item) for item in cases.items()), return_exceptions=True)

    return dict(zip(cases, asyncio.run(all_cases()), strict=True))


@pytest.mark.parametrize(
    "name", [pytest.param(name, marks=pytest.mark.long if case.long else ()) for name, case in CASES.items()]
)
def test_a_release_under_load_has_the_expected_outcome(
    played: dict[str, ReleaseOutcome | BaseException], name: str
) -> None:
    done, case = played[name], CASES[name]
    if isinstance(done, BaseException):
        raise done
    assert done.release.state is case.state and case.why in done.release.why, done.release
    assert done.code == (0 if case.state is State.DONE else 1)
    assert not done.play.result.breaches, done.play.result.distorted or "the machine was not too busy"
    if case.state is not State.ABANDONED:
        assert not [member for member in done.out if member != "s-0005"], done.members
    if case.what == "servers" and case.state is not State.ABANDONED:
        served = case.to if case.state is State.DONE else "v1"
        assert set(done.versions[:5]) == {served}
        for number in range(5):  # a restart that took effect is not repeated
            calls = [call[2] for call in done.calls if call[:2] == ["restart", f"s-{number:04d}"]]
            assert len(calls) == len(set(calls)), calls
