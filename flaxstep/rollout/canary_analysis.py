"""Canary analysis: compares the released members with the others over the same time. No I/O, no clock.

Each update takes the responses of every member since the previous one. Two things are tested: failed
responses, and responses that are slow by the member's own threshold from before the release, so that machines
may differ and load may slow all of them together. Each is a sequential test by betting: the released members'
counts are bet against the counts that the baseline (the members that are not released) leads to expect. A bet
that multiplies its stake by 2 / `false_halt` means that the version is bad. A test runs from the beginning of
the release to its end and is never restarted, so frequent updates or many waves do not raise the
false-positive rate.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

import msgspec

# Each bet is that the counted share is this many times the expected one.
BET_FACTORS = (1.3, 1.6, 2.0, 3.0, 6.0, 12.0)
# Shares above this are not bet on: one response to the contrary would lose the whole stake.
MAX_BET_SHARE = 0.98
# Weight, in members, of the prior assumption that the members do not differ beyond chance.
PRIOR_MEMBERS = 4.0
# Updates over which recent baseline failures are averaged, so that a burst that hits the whole farm is
# expected of the released members too.
RECENT_SNAPSHOTS = 10.0
# A lower threshold suffices for a member that was found bad once: a transient slowdown that has passed
# exceeds it 1 time in 10.
SECOND_ANALYSIS_THRESHOLD = 20.0
# This share of the released members, the worst, is ignored: machines fail for reasons of their own.
IGNORED_WORST_SHARE = 0.3
# With fewer baseline responses there is nothing to compare with, and the update does not count.
MIN_BASELINE_RESPONSES = 50


class Finding(Enum):
    GOOD = "nothing against it so far"
    BAD = "worse than the rest"
    INSUFFICIENT_DATA = "nothing to compare with"


@dataclass(frozen=True, slots=True)
class MemberSample:
    """One member's responses since the last update.

    `slow` counts responses above the member's own latency threshold, taken before the release; that of a
    released member is raised by the slowdown that the plan tolerates. `baseline_slow_share` is the share of
    slow responses at the time of that measurement. Responses of a cold member are ignored: it is slow
    whatever version it runs, and its clients time out.
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
    """The result of an update. `stake` is the larger stake of the two tests; at `threshold` the version is
    bad.
    """

    finding: Finding
    stake: float
    threshold: float
    reason: str


@dataclass(slots=True)
class MemberCounts:
    """One member's counts since the release began. Stored with the release; the field names are part of that
    format.
    """

    answers: int = 0
    counted: int = 0  # failed or slow responses
    expected: float = 0.0


@dataclass(slots=True)
class SequentialTest:
    """A sequential test by betting: counts of bad responses against the number expected of them.

    Stored with the release; the field names are part of that format. `rest` holds the baseline members.
    """

    name: str
    rest: dict[str, MemberCounts] = field(default_factory=dict)
    released: dict[str, MemberCounts] = field(default_factory=dict)

    def add(self, member: str, released: bool, answers: int, counted: int, share: float) -> None:
        """Add a member's responses; `share` is the bad share that the baseline leads to expect."""
        group = self.released if released else self.rest
        score = group.setdefault(member, MemberCounts())
        score.answers += answers
        score.counted += counted
        score.expected += answers * share

    def overdispersion(self) -> float:
        """How much more the baseline members differ among themselves than by chance; 1 if they do not."""
        deviations, count = PRIOR_MEMBERS, PRIOR_MEMBERS
        for score in self.rest.values():
            if score.expected > 0 and score.answers > score.expected:
                chance = score.expected * (1 - score.expected / score.answers)
                deviations += (score.counted - score.expected) ** 2 / chance
                count += 1
        return max(1.0, deviations / count)

    def stake(self) -> float:
        """What a stake of 1 on 'worse than the baseline' has become; it seldom grows if the version is as
        good.

        With several released members, the worst of them are left out: machines that fail for reasons of their
        own must not halt a version that runs well on the others.
        """
        members_counts = sorted(self.released.values(), key=lambda score: score.counted - score.expected)
        left_out = math.ceil(IGNORED_WORST_SHARE * len(members_counts)) if len(members_counts) > 1 else 0
        return self.stake_on(members_counts[: len(members_counts) - left_out])

    def stake_on(self, members_counts: Sequence[MemberCounts]) -> float:
        """What a stake of 1 on the counts of these members has become."""
        answers = sum(score.answers for score in members_counts)
        counted = sum(score.counted for score in members_counts)
        expected = sum(score.expected for score in members_counts)
        baseline = sum(score.answers for score in self.rest.values())
        if not answers or not baseline or expected <= 0:
            return 1.0
        # The expected share is an estimate itself, only as exact as the number of baseline responses allows.
        uncertainty = self.overdispersion() * (1 + answers / baseline)
        share = min(expected / answers, MAX_BET_SHARE)
        stakes = [1.0]  # the part of the stake that is not bet
        for factor in BET_FACTORS:
            worse = min(share * factor, MAX_BET_SHARE)
            if worse <= share:
                continue
            gain = counted * math.log(worse / share)
            gain += (answers - counted) * math.log((1 - worse) / (1 - share))
            stakes.append(math.exp(min(gain / uncertainty, 50.0)))
        return sum(stakes) / len(stakes)


class CanaryAnalysis:
    """Tests the released members of a release against the others.

    `tolerated_failure_share` is the share of failed responses, beyond that of the baseline, that is accepted.
    """

    def __init__(self, false_halt: float, tolerated_failure_share: float) -> None:
        # Each of the two tests gets half of the false-positive rate.
        self.default_threshold = self.threshold = 2.0 / false_halt
        self.tolerated_failure_share = tolerated_failure_share
        self.tests = (SequentialTest("failures"), SequentialTest("slow answers"))
        self.baseline_failed = self.baseline_responses = 0  # of the baseline since the release began
        self.recent = [0.0, 0.0]  # failed and all baseline responses, averaged over the last updates
        self.has_baseline = False  # whether the last update had enough baseline responses

    def update(self, samples: Sequence[MemberSample]) -> Assessment:
        """Add the responses of the members since the last update, and assess the version."""
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
                "too few responses of members that are not released",
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
        """The whole state, as values that JSON can hold: a release outlives its controller."""
        return {
            "failed": self.baseline_failed,
            "answers": self.baseline_responses,
            "recent": self.recent,
            "wanted": self.threshold,
            "bets": msgspec.to_builtins(self.tests),
        }

    def load_state(self, state: dict[str, object]) -> None:
        """Restore what `to_state` returned."""
        self.baseline_failed = msgspec.convert(state["failed"], int)
        self.baseline_responses = msgspec.convert(state["answers"], int)
        self.recent = msgspec.convert(state["recent"], list[float])
        self.threshold = msgspec.convert(state["wanted"], float)
        self.tests = msgspec.convert(state["bets"], tuple[SequentialTest, SequentialTest])

    @property
    def single_member(self) -> bool:
        """Whether only one member, or none, has been released, so that all evidence is from one machine."""
        return max(len(test.released) for test in self.tests) < 2

    def begin_second_analysis(self) -> None:
        """Discard the counts of the released members, keep those of the baseline, and lower the threshold."""
        self.threshold = SECOND_ANALYSIS_THRESHOLD
        for test in self.tests:
            test.released.clear()

    def end_second_analysis(self) -> None:
        """Restore the default threshold: the second analysis did not confirm the first."""
        self.threshold = self.default_threshold

    def stake_and_threshold(self) -> tuple[float, float]:
        return max(test.stake() for test in self.tests), self.threshold

    def assessment(self) -> Assessment:
        test = max(self.tests, key=SequentialTest.stake)
        stake = test.stake()
        counted = sum(score.counted for score in test.released.values())
        answers = sum(score.answers for score in test.released.values())
        expected = sum(score.expected for score in test.released.values())
        why = f"{test.name}: {counted} of {answers} responses, {expected:.0f} expected from the rest"
        return Assessment(
            Finding.BAD if stake >= self.threshold else Finding.GOOD, stake, self.threshold, why
        )


def baseline_slowdown(baseline: Iterable[MemberSample]) -> float:
    """How many times the usual number of slow responses the baseline has: load affects all members alike."""
    lines = list(baseline)
    usual = sum(line.responses * line.baseline_slow_share for line in lines)
    return (sum(line.slow for line in lines) + 1) / (usual + 1)
