"""The canary analysis keeps its false-positive rate over random releases, and reports its evidence."""

from __future__ import annotations

import json

import pytest

from benchmarks import releases
from flaxstep.rollout.canary_analysis import CanaryAnalysis, Finding, MemberSample

RELEASE_COUNT = 120


def samples(
    released: tuple[int, int, int], rest: tuple[int, int, int], members: int = 6
) -> list[MemberSample]:
    """One released member and `members` others: responses, failed, slow of each."""
    lines = [MemberSample("new", True, *released, baseline_slow_share=0.25)]
    return lines + [MemberSample(f"old {i}", False, *rest, baseline_slow_share=0.25) for i in range(members)]


@pytest.mark.parametrize("version", releases.VERSIONS)
def test_good_versions_complete_and_bad_ones_are_halted_at_the_canary(version: str) -> None:
    outcomes = [releases.simulate_release(seed, version) for seed in range(RELEASE_COUNT)]
    halted = [outcome for outcome in outcomes if outcome.halted_at_sample >= 0]
    if version == "good":
        assert len(halted) <= 4  # at a rate of 1 in 100, 5 of 120 are halted in one of 140 runs
        return
    assert len(halted) >= 0.97 * RELEASE_COUNT
    assert (
        sorted(outcome.released_members for outcome in halted)[len(halted) // 2] == 1
    )  # the median: the canary alone
    assert sorted(outcome.harmed_share for outcome in outcomes)[RELEASE_COUNT // 2] < 1 / 200


def test_load_that_slows_all_members_is_tolerated_and_a_slower_version_is_not() -> None:
    analysis = CanaryAnalysis(0.01, 0.002)
    for _ in range(60):  # all of them three times as often slow as usual
        assert analysis.update(samples((30, 0, 22), (30, 0, 22))).finding is Finding.GOOD
    while (assessment := analysis.update(samples((30, 0, 29), (30, 0, 20)))).finding is Finding.GOOD:
        pass
    assert assessment.finding is Finding.BAD and assessment.stake >= assessment.threshold == 200.0
    assert assessment.reason.startswith("slow answers:") and "expected" in assessment.reason


def test_responses_of_a_cold_member_are_ignored_until_it_is_warm() -> None:
    analysis = CanaryAnalysis(0.01, 0.002)
    for cold in (True, False):
        for _ in range(60):
            rest = samples((30, 0, 7), (30, 0, 7))[1:]
            last = analysis.update(
                [MemberSample("new", True, 30, 3, 30, baseline_slow_share=0.25, cold=cold), *rest]
            )
        assert last.finding is (Finding.GOOD if cold else Finding.BAD)


def test_failures_that_affect_all_members_at_once_are_tolerated() -> None:
    analysis = CanaryAnalysis(0.01, 0.002)
    for second in range(120):
        burst = 3 if 60 <= second < 70 else 0
        assert analysis.update(samples((30, burst, 7), (30, burst, 7))).finding is Finding.GOOD


def test_the_state_survives_a_restart_and_a_second_analysis_starts_anew() -> None:
    analysis = CanaryAnalysis(0.01, 0.002)
    while analysis.update(samples((30, 2, 7), (30, 0, 7))).finding is Finding.GOOD:
        assert analysis.single_member
    other = CanaryAnalysis(0.01, 0.002)
    other.load_state(json.loads(json.dumps(analysis.to_state())))
    assert other.assessment() == analysis.assessment() and other.assessment().finding is Finding.BAD
    other.begin_second_analysis()
    assert other.assessment().finding is Finding.GOOD and other.threshold < analysis.threshold


def test_one_bad_machine_of_several_halts_nothing_and_two_do() -> None:
    for bad, finding in ((1, Finding.GOOD), (2, Finding.BAD)):
        analysis = CanaryAnalysis(0.01, 0.002)
        for _ in range(60):
            new = [
                MemberSample(f"new {i}", True, 30, 9 if i < bad else 0, 6, baseline_slow_share=0.25)
                for i in range(3)
            ]
            last = analysis.update(new + samples((30, 0, 7), (30, 0, 7))[1:])
        assert last.finding is finding


def test_without_a_baseline_the_data_is_insufficient() -> None:
    analysis = CanaryAnalysis(0.01, 0.002)
    assert (
        analysis.update([MemberSample("new", True, 900, 900, 900, baseline_slow_share=0.25)]).finding
        is Finding.INSUFFICIENT_DATA
    )
    assert analysis.update([]).finding is Finding.INSUFFICIENT_DATA
