"""The judgement of a release: what was released beside the rest, over the same stretch of time. No I/O, no
clock.

Each look brings what every member answered since the one before. Two things are judged: failures, and answers
that are slow by the member's own measure from before the release, so that machines may differ and load may
move all of them together. The released members' counts are test against what the rest leads to expect; a test
that multiplies its stake by 2 / `false_halt` says that the version is bad. Bets are counted from the
release's beginning to its end and never started anew, so that looking often, or at many waves, adds nothing
to the chance of a false halt.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

import msgspec

BET_FACTORS = (1.3, 1.6, 2.0, 3.0, 6.0, 12.0)  # how many times the expected share each test is on
MAX_BET_SHARE = 0.98  # a share above this is not test on: one answer the other way would ruin the stake
PRIOR_MEMBERS = 4.0  # members that a spread of 1 is worth before any was seen
RECENT_SNAPSHOTS = 10.0  # looks over which the rest's failures are averaged: what meets the farm meets all
SECOND_ANALYSIS_THRESHOLD = (
    20.0  # what convinces of one found bad before: a spell that has passed does so 1 in 10 times
)
IGNORED_WORST_SHARE = 0.3  # of the released, left out: machines that have turned bad by themselves
MIN_BASELINE_RESPONSES = 50  # answers of the rest below which a look is not counted: nothing to compare with


class Finding(Enum):
    GOOD = "nothing against it so far"
    BAD = "worse than the rest"
    INSUFFICIENT_DATA = "nothing to compare with"


@dataclass(frozen=True, slots=True)
class MemberSample:
    """What one member answered since the last look.

    `slow` counts answers above the member's own mark, taken before the release; a released member's mark is
    raised by what the plan lets pass. `usual` is the share of slow answers that it had then. While a member
    is cold its answers count for nothing: it is slow whatever it runs, and its clients give up.
    """

    member: str
    released: bool
    responses: int
    failed: int
    slow: int
    baseline_slow_share: float
    cold: bool = False


@dataclass(frozen=True, slots=True)
class Assessment:
    """`stake` is what the better test has stake_on to, `wanted` what ends the release."""

    finding: Finding
    stake: float
    threshold: float
    reason: str


@dataclass(slots=True)
class MemberCounts:
    """One member's counts since the release began."""

    answers: int = 0
    counted: int = 0  # failed or slow
    expected: float = 0.0


@dataclass(slots=True)
class SequentialTest:
    """One thing that is judged: counts against what was expected of them."""

    name: str
    rest: dict[str, MemberCounts] = field(default_factory=dict)
    released: dict[str, MemberCounts] = field(default_factory=dict)

    def add(self, member: str, released: bool, answers: int, counted: int, share: float) -> None:
        """A member's answers, and the share of them that the rest leads to expect."""
        group = self.released if released else self.rest
        score = group.setdefault(member, MemberCounts())
        score.answers += answers
        score.counted += counted
        score.expected += answers * share

    def overdispersion(self) -> float:
        """How much more the rest differ among themselves than chance would have it; 1 if they don't."""
        deviations, count = PRIOR_MEMBERS, PRIOR_MEMBERS
        for score in self.rest.values():
            if score.expected > 0 and score.answers > score.expected:
                chance = score.expected * (1 - score.expected / score.answers)
                deviations += (score.counted - score.expected) ** 2 / chance
                count += 1
        return max(1.0, deviations / count)

    def stake(self) -> float:
        """What 1 staked on 'worse' has become. Under a version as good as the rest it seldom grows.

        Where several are released it is what the others say without the worst of them: machines that turn bad
        by themselves are no reason to halt what runs well on the rest.
        """
        members_counts = sorted(self.released.values(), key=lambda score: score.counted - score.expected)
        left_out = math.ceil(IGNORED_WORST_SHARE * len(members_counts)) if len(members_counts) > 1 else 0
        return self.stake_on(members_counts[: len(members_counts) - left_out])

    def stake_on(self, members_counts: Sequence[MemberCounts]) -> float:
        """What 1 staked on these members' counts has become."""
        answers = sum(score.answers for score in members_counts)
        counted = sum(score.counted for score in members_counts)
        expected = sum(score.expected for score in members_counts)
        baseline = sum(score.answers for score in self.rest.values())
        if not answers or not baseline or expected <= 0:
            return 1.0
        # What is expected is itself known only as well as the rest's answers tell.
        uncertainty = self.overdispersion() * (1 + answers / baseline)
        share = min(expected / answers, MAX_BET_SHARE)
        stakes = [1.0]  # the part of the stake that is not test
        for factor in BET_FACTORS:
            worse = min(share * factor, MAX_BET_SHARE)
            if worse <= share:
                continue
            gain = counted * math.log(worse / share)
            gain += (answers - counted) * math.log((1 - worse) / (1 - share))
            stakes.append(math.exp(min(gain / uncertainty, 50.0)))
        return sum(stakes) / len(stakes)


class CanaryAnalysis:
    """`failures` is the share of failed answers, beyond the rest's, that nobody minds."""

    def __init__(self, false_halt: float, tolerated_failure_share: float) -> None:
        self.default_threshold = self.threshold = 2.0 / false_halt  # two bets share the chance
        self.tolerated_failure_share = tolerated_failure_share
        self.tests = (SequentialTest("failures"), SequentialTest("slow answers"))
        self.baseline_failed = self.baseline_responses = 0  # of the rest so far
        self.recent = [0.0, 0.0]  # the same, of the last looks
        self.has_baseline = False  # whether the last look had something to compare with

    def update(self, samples: Sequence[MemberSample]) -> Assessment:
        """Take up what was seen since the last look, and say what it comes to."""
        samples = [line for line in samples if not line.cold]
        baseline = [line for line in samples if not line.released]
        self.baseline_failed += sum(line.failed for line in baseline)
        self.baseline_responses += sum(line.responses for line in baseline)
        self.has_baseline = (
            self.baseline_responses >= MIN_BASELINE_RESPONSES and sum(line.responses for line in baseline) > 0
        )
        if not self.has_baseline:
            return Assessment(
                Finding.INSUFFICIENT_DATA,
                *self.stake_and_threshold(),
                "too few answers of members that are not released",
            )
        failure_test, slow_test = self.tests
        failed, answers = self.recent
        self.recent[0] = failed + sum(line.failed for line in baseline) - failed / RECENT_SNAPSHOTS
        self.recent[1] = answers + sum(line.responses for line in baseline) - answers / RECENT_SNAPSHOTS
        share = max(
            (self.baseline_failed + 1) / (self.baseline_responses + 1),
            self.recent[0] / max(self.recent[1], 1.0),
        )
        for line in samples:
            expected_share = share + (self.tolerated_failure_share if line.released else 0.0)
            failure_test.add(line.member, line.released, line.responses, line.failed, expected_share)
        slowdown = baseline_slowdown(baseline)
        for line in samples:
            slow_test.add(
                line.member,
                line.released,
                line.responses,
                line.slow,
                min(line.baseline_slow_share * slowdown, MAX_BET_SHARE),
            )
        return self.assessment()

    def to_state(self) -> dict[str, object]:
        """All that it has seen, as JSON can say it: a release outlives its controller."""
        return {
            "failed": self.baseline_failed,
            "answers": self.baseline_responses,
            "recent": self.recent,
            "wanted": self.threshold,
            "bets": msgspec.to_builtins(self.tests),
        }

    def load_state(self, state: dict[str, object]) -> None:
        """Go on from there."""
        self.baseline_failed = msgspec.convert(state["failed"], int)
        self.baseline_responses = msgspec.convert(state["answers"], int)
        self.recent = msgspec.convert(state["recent"], list[float])
        self.threshold = msgspec.convert(state["wanted"], float)
        self.tests = msgspec.convert(state["bets"], tuple[SequentialTest, SequentialTest])

    @property
    def single_member(self) -> bool:
        """Whether all that speaks against the version comes from one machine."""
        return max(len(test.released) for test in self.tests) < 2

    def begin_second_analysis(self) -> None:
        """Forget what the released have answered so far; what the rest have stands. Less convinces now."""
        self.threshold = SECOND_ANALYSIS_THRESHOLD
        for test in self.tests:
            test.released.clear()

    def end_second_analysis(self) -> None:
        """The second look found nothing: as much as ever is wanted."""
        self.threshold = self.default_threshold

    def stake_and_threshold(self) -> tuple[float, float]:
        return max(test.stake() for test in self.tests), self.threshold

    def assessment(self) -> Assessment:
        test = max(self.tests, key=SequentialTest.stake)
        stake = test.stake()
        counted = sum(score.counted for score in test.released.values())
        answers = sum(score.answers for score in test.released.values())
        expected = sum(score.expected for score in test.released.values())
        why = f"{test.name}: {counted} of {answers} answers, {expected:.0f} expected by the rest"
        return Assessment(
            Finding.BAD if stake >= self.threshold else Finding.GOOD, stake, self.threshold, why
        )


def baseline_slowdown(baseline: Iterable[MemberSample]) -> float:
    """How slow answers of the rest have become, all members together: load moves them all."""
    lines = list(baseline)
    usual = sum(line.responses * line.baseline_slow_share for line in lines)
    return (sum(line.slow for line in lines) + 1) / (usual + 1)
