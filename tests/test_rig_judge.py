"""The rig's judge catches a planted fault of each kind, and finds nothing where nothing was planted."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest

from flaxstep.faultbench.farm import Farm
from flaxstep.faultbench.records import Answered, Asked, Began, Closed, Dealt, Ended, Happened, Record, Turn
from flaxstep.faultbench.rule_checks import find_excess_attempts, find_lost_requests
from flaxstep.faultbench.trace import build_trace
from flaxstep.simulator.sampling import draw_plan
from flaxstep.simulator.scenario import read_scenario
from tests.rigs import ROOT, Played, rig


async def drain(stage: Farm) -> None:
    await stage.leave_server(0, late_s=0.0)


async def cordon(stage: Farm) -> None:
    await stage.cordon(0)


async def restart(stage: Farm) -> None:
    await stage.restart_server(0, down_s=0.1)


PLANTED = {
    "honest": set(),
    "silent": {"lost request"},
    "closed": {"lost request"},
    "half": {"lost request"},
    "invented": {"lost request"},
    "twice": {"duplicate"},
    "strange": {"duplicate"},
    "refused": {"duplicate"},
    "together": {"two at once"},
    "drained": {"drain"},
    "cordoned": {"cordon"},
    "cold": {"cold server"},
}
ACTS = {"drained": drain, "cordoned": cordon, "cold": restart}
MORE = {  # what comes with it: two unsafe attempts both run; an answer made for another request is none
    "together": {"duplicate"},
    "strange": {"lost request"},
}
SIDE_BY_SIDE = 4  # rigs at one time: they must not meet


async def planted(folder: Path, fault: str) -> Played:
    run = f"exec {sys.executable} -B {ROOT / 'tests' / 'planted.py'} {fault}"
    # A cold server falls only if more is asked of it than it bears.
    return await rig(folder / fault, ACTS.get(fault), run, nodes=1, load=0.9 if fault == "cold" else 0.3)


@pytest.mark.parametrize("first", range(0, len(PLANTED), SIDE_BY_SIDE))
def test_a_planted_fault_of_each_kind_is_caught(tmp_path: Path, first: int) -> None:
    faults = list(PLANTED)[first : first + SIDE_BY_SIDE]

    async def test() -> list[Played]:
        return await asyncio.gather(*(planted(tmp_path, fault) for fault in faults))

    for fault, play in zip(faults, asyncio.run(test()), strict=True):
        assert PLANTED[fault] <= play.broken <= PLANTED[fault] | MORE.get(fault, set()), fault
        for breach in play.result.breaches:
            assert breach.at > 0 and (breach.request or breach.rule == "cold server")


@pytest.mark.parametrize(
    ("dealt", "nodes"),
    [
        ([(4.0, 0, 0), (6.0, 1, 1)], [0, 1]),  # one port on connections to the listeners of two zones
        ([(6.0, 1, 1), (7.0, 0, 0)], [0, 1]),
        ([(4.0, 0, 0), (6.0, 1, 1), (20.0, 0, 1)], [0, 1]),  # the port is used once more, later
        ([(12.0, 0, 0), (13.0, 1, 1)], [0, 1]),  # the kernel took requests before the front came to them
        ([(4.0, 0, 0)], [0, -1]),  # one was never dealt
    ],
)
def test_a_request_is_the_node_s_to_which_its_own_connection_was_dealt(
    dealt: list[tuple[float, int, int]], nodes: list[int]
) -> None:
    asked = [Asked(10.0, zone, 0, str(zone), 0, zone, 5000, 500.0, True, 9.0) for zone in (0, 1)]
    lines = [Dealt(at, zone, 5000, node) for at, zone, node in dealt]
    plan = draw_plan(read_scenario(ROOT / "scenarios" / "demo.toml"), 1)
    trace = build_trace([*asked, *lines], plan, {})
    assert [trace.tries[str(zone)].node for zone in (0, 1)] == nodes


@pytest.mark.parametrize(
    ("stopped", "whole", "broken"),
    [(True, True, False), (False, True, True), (True, False, True)],
)
def test_an_answer_that_is_late_as_the_rig_stopped_the_node_is_no_breach(
    stopped: bool, whole: bool, broken: bool
) -> None:
    """Found by the soak (seed 7, play 10): a request came to a stopped node, and was served after."""
    scenario = read_scenario(ROOT / "scenarios" / "demo.toml")
    at = 9000.0 if whole else 1200.0
    lines: list[Record] = [
        Dealt(900.0, 0, 5000, 0),
        Asked(1000.0, 0, 0, "ab", 0, 0, 5000, 1400.0, False, 1000.0),
        Answered(at, "ab", 200, whole=whole),
    ]
    if stopped:
        lines += [Happened(950.0, "stopped", "node:0"), Happened(8000.0, "goes on", "node:0")]
    trace = build_trace(lines, draw_plan(scenario, 1), {})
    assert bool(list(find_lost_requests(trace, scenario))) is broken


@pytest.mark.parametrize(("closed_at", "broken"), [(1500.0, False), (1700.0, True)])
def test_an_attempt_is_out_until_its_node_closes_though_a_stopped_server_reads_it_later(
    closed_at: float, broken: bool
) -> None:
    """Found by the soak (seed 7, play 33): the server read what was called back once it went on."""
    scenario = read_scenario(ROOT / "scenarios" / "demo.toml")
    lines: list[Record] = [
        Dealt(900.0, 0, 5000, 0),
        Asked(1000.0, 0, 0, "ab", 0, 0, 5000, 2400.0, False, 1000.0),
        Turn(closed_at, "node:0", "server:3", 7, 0, 1100.0, 1100.0),
        Closed(closed_at, "node:0", "server:3", 7, "node:0"),
        Turn(1620.0, "node:0", "server:2", 8, 0, 1600.0, 1600.0),
        Began(1601.0, "ab", "", 2, "v1", 8, 0, 1601.0, 20.0),
        Ended(1620.0, "ab", 2, 8, 0, "ok"),
        Began(2000.0, "ab", "", 3, "v1", 7, 0, 2000.0, 20.0),
        Ended(2001.0, "ab", 3, 7, 0, "left"),
    ]
    trace = build_trace(lines, draw_plan(scenario, 1), {})
    assert bool(list(find_excess_attempts(trace, scenario))) is broken
