"""The soak: its drawn scenarios, its description of a breach, and a short soak with fixed seeds."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flaxstep.cli_faultbench import MAX_NOT_RUN_SHARE, folder_for, run_soak
from flaxstep.faultbench.farm import build_node
from flaxstep.faultbench.records import Asked, Began, Happened, Record, Recorder, Told
from flaxstep.faultbench.rule_checks import Breach, drain_enforced_from
from flaxstep.faultbench.soak.runner import SoakOutcome
from flaxstep.faultbench.soak.sampling import CALM_S, MAX_FAULTS, START_S, draw_play
from flaxstep.faultbench.soak.timeline import describe_breaches
from flaxstep.faultbench.trace import FOREVER, Attempt, build_trace
from flaxstep.simulator.sampling import draw_plan
from flaxstep.simulator.scenario import Rules, parse_scenario

PLAY_COUNT, PLAY_SECONDS = 6, 10.0


@given(st.integers(0, 1 << 31), st.integers(0, 9999), st.floats(8.0, 600.0))
def test_every_drawn_scenario_is_valid_and_reproducible(seed: int, number: int, seconds: float) -> None:
    drawn = draw_play(seed, number, seconds)
    scenario = parse_scenario(drawn.scenario)
    assert drawn == draw_play(seed, number, seconds)
    assert 1 <= len(drawn.faults) <= MAX_FAULTS
    assert 1 <= scenario.fleet.nodes <= 6 and 1 <= scenario.fleet.zones <= 3
    for fault in scenario.rig.faults:
        assert isinstance(fault.at_s, float | int) and isinstance(fault.for_s, float | int)
        assert (
            fault.at_s >= START_S and fault.at_s + fault.for_s <= max(seconds - CALM_S, START_S + 0.3) + 0.01
        )


def test_draws_differ_by_seed_and_by_number() -> None:
    scenarios = {draw_play(seed, number, 20.0).scenario for seed in range(4) for number in range(4)}
    assert len(scenarios) == 16


@pytest.mark.parametrize(
    ("written_at", "sent_at", "broken"),
    [(None, 3500.0, False), (None, 3600.0, True), (2500.0, 3000.0, False), (2500.0, 3100.0, True)],
)
def test_a_list_update_that_was_never_written_counts_as_known_after_its_time(
    written_at: float | None, sent_at: float, broken: bool
) -> None:
    """Here at 3 s, unless it is written before; once it is written, the assumed update no longer counts."""
    plan = draw_plan(parse_scenario(draw_play(1, 0, 20.0).scenario), 1)
    records: list[Record] = [Told(3000.0, 0, 2, False, {1: "leaving"}, assumed=True)]
    if written_at is not None:
        records.append(Told(written_at, 0, 2, False, {1: "leaving"}))
        records.append(Told(2800.0, 0, 3, False, {2: "active"}))
    arrival = Began(sent_at, "ab", "", 1, "v1", 1, 1, sent_at, 20.0)
    attempt = Attempt(arrival, 0, sent_at, 0.0)
    enforced_from = drain_enforced_from(build_trace(records, plan, {}), attempt, Rules(drain_grace_ms=500.0))
    assert (sent_at > enforced_from) is broken


def test_an_update_assumed_from_an_older_list_does_not_override_a_newer_one() -> None:
    plan = draw_plan(parse_scenario(draw_play(1, 0, 20.0).scenario), 1)
    newer = Told(2000.0, 0, 3, False, {1: "active"})
    older = Told(3000.0, 0, 2, False, {1: "leaving"}, assumed=True)
    attempt = Attempt(Began(9000.0, "ab", "", 1, "v1", 1, 1, 9000.0, 20.0), 0, 9000.0, 0.0)
    assert drain_enforced_from(build_trace([newer, older], plan, {}), attempt, Rules()) == FOREVER


def test_a_breach_is_described_with_the_records_of_every_process(tmp_path: Path) -> None:
    recorder = Recorder(tmp_path / "all.jsonl", 0.0)
    for record in (
        Told(1000.0, 0, 2, False, {3: "leaving"}),
        Told(1000.0, 1, 2, False, {3: "leaving"}),  # to another node
        Asked(2000.0, 1, 0, "ab", 0, 0, 1234, 3000.0, False, 2000.0),
        Began(2004.0, "ab", "", 3, "v1", 1, 1, 2003.0, 20.0),
        Began(2004.0, "cd", "", 3, "v1", 1, 1, 2003.0, 20.0),  # another request
        Happened(1500.0, "stopped", "node:0"),
        Happened(1500.0, "stopped", "node:1"),
    ):
        recorder.write(record)
    recorder.close()
    breaches = [Breach("drain", at, 0, "ab", 3, "453 ms past the grace") for at in (2003.0, 2500.0)]
    first, *lines = describe_breaches(tmp_path, breaches)
    assert first == "drain at 2.003 s, node 0, request ab, server 3: 453 ms past the grace"
    assert [line.split()[0] for line in lines] == ["1.000", "1.500", "2.000", "2.004"]
    assert "leaving" in lines[0] and "stopped" in lines[1] and "came whole" in lines[3]


@pytest.mark.parametrize(("not_run_reason", "breaches"), [("", 0), ("too busy", 0)])
def test_a_play_that_was_not_run_properly_counts_as_not_run(
    not_run_reason: str, breaches: int, tmp_path: Path
) -> None:
    outcome = SoakOutcome(draw_play(1, 0, 10.0), tmp_path, None, not_run_reason)
    assert len(outcome.breaches) == breaches
    assert outcome.verdict.startswith("not run" if not_run_reason else "rules kept")


def test_plays_of_one_seed_started_in_one_second_get_separate_folders(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    folders = {folder_for(None, "demo", 1) for _ in range(5)}
    assert len(folders) == 5 and all(folder.is_dir() for folder in folders)


def test_a_short_soak_breaks_no_rule(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    build_node()
    outcomes = asyncio.run(run_soak(2, list(range(PLAY_COUNT)), PLAY_SECONDS, 2, tmp_path))
    output = capsys.readouterr().out
    assert len(outcomes) == PLAY_COUNT
    assert not [outcome for outcome in outcomes if outcome.breaches], output
    assert sum(bool(outcome.not_run_reason) for outcome in outcomes) <= max(
        1, MAX_NOT_RUN_SHARE * PLAY_COUNT
    ), output
