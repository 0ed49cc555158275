"""Plans of releases: all faults reported at once, and waves that leave enough capacity in service."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flaxstep.rollout.plan import (
    CapacityLimits,
    Member,
    Plan,
    PlanError,
    Waves,
    command_line,
    max_out_at_once,
    parse_plan,
    read_plan,
    split_into_waves,
)

GOOD = """
name = "job server 2.4"
what = "servers"
from = "v1"
to = "v2"
[commands]
restart = ["restart-server", "--id={id}", "{version}"]
[waves]
canary = 2
shares = [0.5, 1]
zones = ["b", "a"]
"""


def faults(text: str) -> list[str]:
    with pytest.raises(PlanError) as error:
        parse_plan(text)
    return error.value.faults


def test_a_valid_plan_is_read_and_yields_its_command_lines() -> None:
    plan = parse_plan(GOOD)
    assert (plan.from_, plan.to, plan.room, plan.waves.canary) == ("v1", "v2", CapacityLimits(), 2)
    assert command_line(plan.commands.restart, "s-1", "v2") == ["restart-server", "--id=s-1", "v2"]


def test_every_fault_is_reported_at_once_with_its_key() -> None:
    reported = faults(
        """
        what = "lorries"
        from = "v1"
        to = "v1"
        colour = "red"
        [commands]
        restart = ["go", "{host}", "{version"]
        [waves]
        canary = 0
        shares = [0.5, 0.5]
        zones = ["a", "a"]
        [room]
        out_at_once = "two"
        """
    )
    keys = [line.partition(":")[0] for line in reported]
    assert sorted(keys) == [
        "colour", "commands.restart", "commands.restart[1]", "commands.restart[2]", "name",
        "room.out_at_once", "to", "waves.canary", "waves.shares", "waves.shares", "waves.zones", "what",
    ]  # fmt: skip
    assert all("\n" not in line and line.partition(": ")[2] for line in reported)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("name = [", "not TOML"),
        (GOOD.replace('name = "job server 2.4"', ""), "name: is missing"),
        (GOOD.replace("canary = 2", "canary = true"), "waves.canary"),
        (GOOD.replace("[0.5, 1]", "[0.5, 2]"), "waves.shares[1]"),
        (GOOD.replace("[0.5, 1]", "[0.5]"), "never ends"),
        (GOOD.replace("[0.5, 1]", "[]"), "waves.shares"),
        (GOOD.replace('"--id={id}", ', ""), "no {id}"),
        ("waves = 3" + GOOD.replace("[waves]", "[other]"), "waves: a table is required"),
        (GOOD + "[watch]\nfalse_halt = 0.5", "watch.false_halt"),
        (GOOD + "[watch]\nbake_s = nan", "watch.bake_s"),
    ],
)
def test_an_invalid_plan_is_reported_with_its_reason(text: str, words: str) -> None:
    assert any(words in line for line in faults(text))


def test_an_unreadable_plan_is_reported_with_its_reason(tmp_path: Path) -> None:
    (tmp_path / "binary").write_bytes(b"\xff\xfe")
    for path, words in (
        (tmp_path / "none", "No such file"),
        (tmp_path, "directory"),
        (tmp_path / "binary", "UTF-8"),
    ):
        with pytest.raises(PlanError, match=words):
            read_plan(path)


members = st.lists(
    st.builds(Member, st.uuids().map(str), st.sampled_from("abcd"), st.floats(0.1, 8)),
    min_size=1,
    max_size=60,
    unique_by=lambda member: member.id,
)


@given(
    members, st.integers(1, 5), st.lists(st.floats(0.01, 0.99), max_size=4, unique=True), st.floats(0.1, 1)
)
def test_waves_have_every_member_once_zone_by_zone_and_leave_enough_capacity(
    farm: list[Member], canary: int, shares: list[float], capacity: float
) -> None:
    plan = parse_plan(GOOD.replace('zones = ["b", "a"]', ""))
    wanted = Waves(canary=canary, shares=(*sorted(shares), 1.0))
    plan = Plan(plan.name, plan.what, plan.from_, plan.to, plan.commands, wanted, CapacityLimits(3, capacity))
    planned = split_into_waves(plan, farm)
    assert sorted(m.id for wave in planned for m in wave.members) == sorted(m.id for m in farm)
    assert all({member.zone for member in wave.members} == {wave.zone} for wave in planned)
    zones = [wave.zone for wave in planned]
    assert len({*zones}) == 1 + sum(a != b for a, b in zip(zones, zones[1:], strict=False))  # no zone recurs
    assert len(planned[0].members) <= canary
    farm_size = sum(member.size for member in farm)
    for wave in planned:
        largest_sizes = sorted((member.size for member in wave.members), reverse=True)[
            : max_out_at_once(plan, wave, farm)
        ]
        assert sum(largest_sizes) <= farm_size * (1 - capacity) + 1e-6 and len(largest_sizes) <= 3


def test_the_plan_s_zones_come_first_in_its_order_and_must_be_there() -> None:
    farm = [Member(f"{zone}{i}", zone, 1.0 + i) for zone in "abc" for i in range(2)]
    order = list(dict.fromkeys(wave.zone for wave in split_into_waves(parse_plan(GOOD), farm)))
    assert order == ["b", "a", "c"]
    assert split_into_waves(parse_plan(GOOD), farm)[0].members == (farm[2], farm[3])
    with pytest.raises(PlanError, match="no member is in b"):
        split_into_waves(parse_plan(GOOD), [member for member in farm if member.zone != "b"])
