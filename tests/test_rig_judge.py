"""The rule checks detect each kind of fault planted in a proxy, and report nothing for an honest one.

The faulty proxy is tests/planted.py.
"""

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


async def drain_server(farm: Farm) -> None:
    await farm.leave_server(0, late_s=0.0)


async def cordon_server(farm: Farm) -> None:
    await farm.cordon(0)


async def restart_server(farm: Farm) -> None:
    await farm.restart_server(0, down_s=0.1)


EXPECTED_RULES = {
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
ACTIONS = {"drained": drain_server, "cordoned": cordon_server, "cold": restart_server}
ALSO_ALLOWED = {  # rules that the planted fault breaks as well
    "together": {"duplicate"},  # both of the two unsafe attempts run
    "strange": {"lost request"},  # the response is for another request id
}
PARALLEL_FARMS = 4  # farms that run at the same time, which must not disturb each other


async def play_with_planted_fault(folder: Path, fault: str) -> Played:
    command = f"exec {sys.executable} -B {ROOT / 'tests' / 'planted.py'} {fault}"
    # A cold server fails only under a load above what it can bear.
    return await rig(
        folder / fault, ACTIONS.get(fault), command, nodes=1, load=0.9 if fault == "cold" else 0.3
    )


@pytest.mark.parametrize("first", range(0, len(EXPECTED_RULES), PARALLEL_FARMS))
def test_each_planted_fault_is_detected(tmp_path: Path, first: int) -> None:
    faults = list(EXPECTED_RULES)[first : first + PARALLEL_FARMS]

    async def play_all() -> list[Played]:
        return await asyncio.gather(*(play_with_planted_fault(tmp_path, fault) for fault in faults))

    for fault, played in zip(faults, asyncio.run(play_all()), strict=True):
        assert (
            EXPECTED_RULES[fault] <= played.broken <= EXPECTED_RULES[fault] | ALSO_ALLOWED.get(fault, set())
        ), fault
        for breach in played.result.breaches:
            assert breach.at > 0 and (breach.request or breach.rule == "cold server")


@pytest.mark.parametrize(
    ("assignments", "nodes"),
    [
        ([(4.0, 0, 0), (6.0, 1, 1)], [0, 1]),  # the same client port at the listeners of two zones
        ([(6.0, 1, 1), (7.0, 0, 0)], [0, 1]),
        ([(4.0, 0, 0), (6.0, 1, 1), (20.0, 0, 1)], [0, 1]),  # the port is reused later
        ([(12.0, 0, 0), (13.0, 1, 1)], [0, 1]),  # requests arrived before the balancer assigned them
        ([(4.0, 0, 0)], [0, -1]),  # a connection that was never assigned
    ],
)
def test_a_request_belongs_to_the_node_that_its_connection_was_assigned_to(
    assignments: list[tuple[float, int, int]], nodes: list[int]
) -> None:
    sent = [Asked(10.0, zone, 0, str(zone), 0, zone, 5000, 500.0, True, 9.0) for zone in (0, 1)]
    dealt = [Dealt(at, zone, 5000, node) for at, zone, node in assignments]
    plan = draw_plan(read_scenario(ROOT / "scenarios" / "demo.toml"), 1)
    trace = build_trace([*sent, *dealt], plan, {})
    assert [trace.tries[str(zone)].node for zone in (0, 1)] == nodes


@pytest.mark.parametrize(
    ("stopped", "whole", "broken"),
    [(True, True, False), (False, True, True), (True, False, True)],
)
def test_a_response_delayed_by_a_stopped_node_is_no_breach(stopped: bool, whole: bool, broken: bool) -> None:
    """Soak seed 7, play 10: a request reached a node that the bench had stopped, and was served late.

    A body that no job server produced stays a breach even then.
    """
    scenario = read_scenario(ROOT / "scenarios" / "demo.toml")
    at = 9000.0 if whole else 1200.0
    records: list[Record] = [
        Dealt(900.0, 0, 5000, 0),
        Asked(1000.0, 0, 0, "ab", 0, 0, 5000, 1400.0, False, 1000.0),
        Answered(at, "ab", 200, whole=whole),
    ]
    if stopped:
        records += [Happened(950.0, "stopped", "node:0"), Happened(8000.0, "goes on", "node:0")]
    trace = build_trace(records, draw_plan(scenario, 1), {})
    assert bool(list(find_lost_requests(trace, scenario))) is broken


@pytest.mark.parametrize(("closed_at", "broken"), [(1500.0, False), (1700.0, True)])
def test_an_attempt_ends_when_the_node_closes_it_even_if_a_stopped_server_reads_it_later(
    closed_at: float, broken: bool
) -> None:
    """Soak seed 7, play 33: a stopped server read a request after it went on, though the node had closed it.

    The next attempt may start once the node has closed the connection, not before.
    """
    scenario = read_scenario(ROOT / "scenarios" / "demo.toml")
    records: list[Record] = [
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
    trace = build_trace(records, draw_plan(scenario, 1), {})
    assert bool(list(find_excess_attempts(trace, scenario))) is broken
