"""The rig's judge catches a planted fault of each kind, and finds nothing where nothing was planted."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest

from flaxstep.rig.stage import Stage
from tests.rigs import ROOT, Played, rig


async def drain(stage: Stage) -> None:
    await stage.leave_server(0, late_s=0.0)


async def cordon(stage: Stage) -> None:
    await stage.cordon(0)


async def restart(stage: Stage) -> None:
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
