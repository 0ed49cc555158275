"""Nodes while processes and links fail: no rule may be broken, judged from the records of all processes."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from flaxstep.faultbench.farm import Farm
from flaxstep.faultbench.records import read_records
from flaxstep.faultbench.trace import FOREVER, Attempt, build_trace
from tests.rigs import ROOT, Played, alive, rig

BOTH_WAYS = {"way": "both", "size": 1.0, "jitter": 0.0}
OPEN_ATTEMPTS_TIMEOUT_S = 10.0  # the load is steady, so each server gets an attempt by then


def link_fault(name: str, one: str, other: str, way: str = "both") -> dict[str, object]:
    return {"name": name, "between": [one, other]} | BOTH_WAYS | {"way": way}


def executed_attempts(play: Played, cls: int) -> list[list[Attempt]]:
    """The attempts that ran, for each try of a class."""
    tries = [one for one in play.trace.tries.values() if one.sent.cls == cls]
    return [[attempt for attempt in one.attempts if attempt.was_executed] for one in tries]


def open_attempts(farm: Farm) -> set[tuple[int, int]]:
    """Node and server of each attempt that is running or queued at a server now."""
    trace = build_trace(read_records(farm.folder), farm.plan, farm.scenario.rig.regions)
    return {
        (one.node, attempt.arrival.server)
        for one in trace.tries.values()
        for attempt in one.attempts
        if attempt.ended_at == FOREVER
    }


async def pause_servers(farm: Farm, servers: range, nodes: range) -> None:
    """Pauses servers, which accept requests and do not respond, until each has an attempt of these nodes."""
    for server in servers:
        await farm.set_server(server, paused=True)
    async with asyncio.timeout(OPEN_ATTEMPTS_TIMEOUT_S):
        while not set(servers) <= {server for node, server in open_attempts(farm) if node in nodes}:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("way", ["there", "back"])
def test_a_one_way_cut_of_a_zone_costs_no_rule_and_heals(tmp_path: Path, way: str) -> None:
    async def acts(farm: Farm) -> None:
        spec = link_fault("silent", "node:0", "zone:1", way)
        await asyncio.sleep(0.5)
        await farm.fault(1, spec)
        await asyncio.sleep(1.2)
        await farm.heal(1, spec)
        for server in range(3):  # the node's own zone, which alone could serve this load
            await farm.call_admin_api(0, "POST", "cordon", f"s-{server:04d}")

    # Suspected servers get no attempts for up to 2.5 s; the last may have failed 1.2 s after the link healed.
    play = asyncio.run(rig(tmp_path, acts, seconds=6))
    assert not play.result.breaches
    cut = [
        a for one in play.trace.tries.values() for a in one.attempts if a.node == 0 and a.arrival.server >= 3
    ]
    # The servers of zone 1 are used before the cut and again after it.
    assert min(a.started_at for a in cut) < 500 and max(a.started_at for a in cut) > 1700
    assert play.result.verdict.served > 0.6


def test_a_server_stopped_past_every_deadline_goes_on_and_breaks_nothing(tmp_path: Path) -> None:
    async def acts(farm: Farm) -> None:
        await asyncio.sleep(0.4)
        await farm.stop("server:1")
        await asyncio.sleep(1.5)  # the longest deadline is 1.2 s
        await farm.go_on("server:1")

    play = asyncio.run(rig(tmp_path, acts, seconds=4))
    assert not play.result.breaches
    assert max(len(attempts) for attempts in executed_attempts(play, 0)) == 1
    late = [line for line in play.trace.load_samples[1] if line.at > 1900]
    assert late and play.result.verdict.served > 0.7


def test_a_node_killed_with_requests_out_at_three_servers_and_unsafe_ones_run_once(tmp_path: Path) -> None:
    async def acts(farm: Farm) -> None:
        await asyncio.sleep(0.4)
        await pause_servers(farm, range(3), range(1))  # attempts of the node that is killed
        await farm.kill("node:0")
        for server in range(3):
            await farm.set_server(server, paused=False)
        await farm.start("node:0", keep=False)

    play = asyncio.run(rig(tmp_path, acts))
    assert not play.result.breaches
    [killed] = [line.at for line in play.trace.events if line.what == "killed"]
    cut = [
        a for one in play.trace.tries.values() for a in one.attempts if a.node == 0 and a.arrival.at < killed
    ]
    assert {a.arrival.server for a in cut if a.ended_at >= killed} >= {
        0,
        1,
        2,
    }  # open when the node was killed
    assert max(len(attempts) for attempts in executed_attempts(play, 0)) == 1
    assert any(one.node == 0 and one.sent.at > killed for one in play.trace.tries.values())


@pytest.mark.parametrize("name", ["silent", "reset"])
def test_a_fault_between_the_last_byte_of_a_request_and_the_first_of_its_answer(
    tmp_path: Path, name: str
) -> None:
    async def acts(farm: Farm) -> None:
        spec = link_fault(name, "nodes", "servers")
        await asyncio.sleep(0.4)
        await pause_servers(farm, range(6), range(2))
        await farm.fault(1, spec)
        for server in range(6):
            await farm.set_server(server, paused=False)
        await asyncio.sleep(0.4)
        await farm.heal(1, spec)

    play = asyncio.run(rig(tmp_path, acts))
    assert not play.result.breaches
    [(_, span)] = play.trace.faults
    began = span.start
    held = [
        one
        for one in play.trace.tries.values()
        if any(a.was_executed and a.arrival.at < began < a.ended_at + 0.5 for a in one.attempts)
    ]
    assert held
    for one in held:  # the attempt has run: it must not be refused, nor sent again if unsafe
        assert one.response is not None and one.response.status not in (429, 503)
        assert one.sent.cls or len(one.attempts) == 1


def test_clocks_apart_by_3_s_and_a_cordon_with_a_restart(tmp_path: Path) -> None:
    clocks = "".join(
        f'[[rig.faults]]\nname = "clock"\nof = "node:{node}"\nat_s = 0\nsize = 3\nway = "{way}"\n'
        for node, way in enumerate(("there", "back"))
    )

    async def acts(farm: Farm) -> None:
        await asyncio.sleep(0.2)
        await farm.cordon(0)
        await farm.restart_server(0, down_s=0.2)
        await asyncio.sleep(0.8)
        await farm.uncordon(0)

    play = asyncio.run(rig(tmp_path, acts, extra=clocks))
    assert not play.result.breaches
    logs = [(tmp_path / "play" / f"node-{node}-0.log").read_text().split(",")[0] for node in (0, 1)]
    seconds = [int(text[17:19]) + 60 * int(text[14:16]) for text in logs]
    assert (seconds[0] - seconds[1]) % 3600 in (5, 6, 7)  # both logged their start at about the same time
    back = [a for one in play.trace.tries.values() for a in one.attempts if a.arrival.server == 0]
    assert max(a.started_at for a in back) > 1000  # in use again


def test_a_full_disk_refuses_a_cordon_and_service_goes_on(tmp_path: Path) -> None:
    disk = '[[rig.faults]]\nname = "disk"\nof = "node:0"\nat_s = 9\nsize = 0\n'

    async def acts(farm: Farm) -> None:
        for state, answers in (("full", {503, 200}), ("", {200})):
            await farm.disk("node:0", state)
            responses = [await farm.call_admin_api(node, "POST", "cordon", "s-0002") for node in (0, 1)]
            assert {status for status, _ in responses} == answers

    play = asyncio.run(rig(tmp_path, acts, extra=disk))
    assert not play.result.breaches and play.result.verdict.served > 0.8


def test_an_upgrade_under_load_loses_nothing_and_a_killed_rig_leaves_no_process(tmp_path: Path) -> None:
    async def acts(farm: Farm) -> None:
        await asyncio.sleep(0.3)
        await farm.cordon(1)
        await farm.upgrade(0)

    play = asyncio.run(rig(tmp_path, acts, seconds=4))
    assert not play.result.breaches
    starts = [line for line in play.trace.events if line.whom == "node:0" and line.what == "ready"]
    assert len(starts) == 2

    command = [sys.executable, "-B", "-m", "flaxstep", "rig", "play", str(ROOT / "scenarios/hand-drain.toml")]
    for number in (signal.SIGKILL, signal.SIGINT):
        asyncio.run(end_rig(command, tmp_path / number.name, number))


async def end_rig(command: list[str], folder: Path, number: signal.Signals) -> None:
    """Starts a play, signals its rig as soon as the nodes run, and waits until all its children are gone."""
    process = await asyncio.create_subprocess_exec(
        *command, "--out", str(folder), stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, cwd=ROOT
    )
    children: list[int] = []
    async with asyncio.timeout(60):
        while len(children) < 14:  # 9 servers, 2 nodes, links, discovery, front
            await asyncio.sleep(0.05)
            text = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text()
            children = [int(word) for word in text.split()]
        process.send_signal(number)
        await process.wait()
        while any(alive(pid) for pid in children):
            await asyncio.sleep(0.05)


def command_line(pid: str) -> str:
    """The command line of a process; empty once it has ended, also if it is reaped while this is read."""
    try:
        return Path(f"/proc/{pid}/cmdline").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return ""


def test_a_play_that_is_cancelled_while_it_starts_leaves_no_process(tmp_path: Path) -> None:
    async def test() -> list[str]:
        starting = asyncio.create_task(rig(tmp_path))
        while not list(tmp_path.glob("play/server-*.jsonl")):  # its processes run but are not ready yet
            await asyncio.sleep(0.01)
        starting.cancel()
        await asyncio.wait([starting])
        pids = [
            pid for path in Path("/proc/self/task").glob("*/children") for pid in path.read_text().split()
        ]
        return [pid for pid in pids if "flaxstep.faultbench" in command_line(pid)]

    assert asyncio.run(test()) == []
