"""The judgement of a release: what was released beside the rest, over the same stretch of time. No I/O, no
clock.

Each look brings what every member answered since the one before. Two things are judged: failures, and answers
that are slow by the member's own measure from before the release, so that machines may differ and load may
move all of them together. The released members' counts are bet against what the rest leads to expect; a bet
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

FACTORS = (1.3, 1.6, 2.0, 3.0, 6.0, 12.0)  # how many times the expected share each bet is on
MOST = 0.98  # a share above this is not bet on: one answer the other way would ruin the stake
PRIOR = 4.0  # members that a spread of 1 is worth before any was seen
RECENT = 10.0  # looks over which the rest's failures are averaged: what meets the farm meets all
AGAIN = 20.0  # what convinces of one found bad before: a spell that has passed does so 1 in 10 times
WORST = 0.3  # of the released, left out: machines that have turned bad by themselves
LEAST_REST = 50  # answers of the rest below which a look is not counted: nothing to compare with


class Finding(Enum):
    GOOD = "nothing against it so far"
    BAD = "worse than the rest"
    INSUFFICIENT_DATA = "nothing to compare with"


@dataclass(frozen=True, slots=True)
class Seen:
    """What one member answered since the last look.

    `slow` counts answers above the member's own mark, taken before the release; a released member's mark is
    raised by what the plan lets pass. `usual` is the share of slow answers that it had then. While a member
    is cold its answers count for nothing: it is slow whatever it runs, and its clients give up.
    """

    member: str
    released: bool
    answers: int
    failed: int
    slow: int
    usual: float
    cold: bool = False


@dataclass(frozen=True, slots=True)
class Opinion:
    """`stake` is what the better bet has grown to, `wanted` what ends the release."""

    finding: Finding
    stake: float
    wanted: float
    why: str


@dataclass(slots=True)
class Score:
    """One member's counts since the release began."""

    answers: int = 0
    counted: int = 0  # failed or slow
    expected: float = 0.0


@dataclass(slots=True)
class Bet:
    """One thing that is judged: counts against what was expected of them."""

    name: str
    rest: dict[str, Score] = field(default_factory=dict)
    released: dict[str, Score] = field(default_factory=dict)

    def add(self, member: str, released: bool, answers: int, counted: int, share: float) -> None:
        """A member's answers, and the share of them that the rest leads to expect."""
        group = self.released if released else self.rest
        score = group.setdefault(member, Score())
        score.answers += answers
        score.counted += counted
        score.expected += answers * share

    def spread(self) -> float:
        """How much more the rest differ among themselves than chance would have it; 1 if they don't."""
        deviations, count = PRIOR, PRIOR
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
        scores = sorted(self.released.values(), key=lambda score: score.counted - score.expected)
        left_out = math.ceil(WORST * len(scores)) if len(scores) > 1 else 0
        return self.grown(scores[: len(scores) - left_out])

    def grown(self, scores: Sequence[Score]) -> float:
        """What 1 staked on these members' counts has become."""
        answers = sum(score.answers for score in scores)
        counted = sum(score.counted for score in scores)
        expected = sum(score.expected for score in scores)
        rest = sum(score.answers for score in self.rest.values())
        if not answers or not rest or expected <= 0:
            return 1.0
        # What is expected is itself known only as well as the rest's answers tell.
        doubt = self.spread() * (1 + answers / rest)
        share = min(expected / answers, MOST)
        stakes = [1.0]  # the part of the stake that is not bet
        for factor in FACTORS:
            worse = min(share * factor, MOST)
            if worse <= share:
                continue
            gain = counted * math.log(worse / share)
            gain += (answers - counted) * math.log((1 - worse) / (1 - share))
            stakes.append(math.exp(min(gain / doubt, 50.0)))
        return sum(stakes) / len(stakes)


class CanaryAnalysis:
    """`failures` is the share of failed answers, beyond the rest's, that nobody minds."""

    def __init__(self, false_halt: float, failures: float) -> None:
        self.usual = self.wanted = 2.0 / false_halt  # two bets share the chance
        self.failures = failures
        self.bets = (Bet("failures"), Bet("slow answers"))
        self.failed = self.answers = 0  # of the rest so far
        self.recent = [0.0, 0.0]  # the same, of the last looks
        self.fit = False  # whether the last look had something to compare with

    def look(self, seen: Sequence[Seen]) -> Opinion:
        """Take up what was seen since the last look, and say what it comes to."""
        seen = [line for line in seen if not line.cold]
        rest = [line for line in seen if not line.released]
        self.failed += sum(line.failed for line in rest)
        self.answers += sum(line.answers for line in rest)
        self.fit = self.answers >= LEAST_REST and sum(line.answers for line in rest) > 0
        if not self.fit:
            return Opinion(
                Finding.INSUFFICIENT_DATA, *self.best(), "too few answers of members that are not released"
            )
        failing, slowing = self.bets
        failed, answers = self.recent
        self.recent[0] = failed + sum(line.failed for line in rest) - failed / RECENT
        self.recent[1] = answers + sum(line.answers for line in rest) - answers / RECENT
        share = max((self.failed + 1) / (self.answers + 1), self.recent[0] / max(self.recent[1], 1.0))
        for line in seen:
            wanted = share + (self.failures if line.released else 0.0)
            failing.add(line.member, line.released, line.answers, line.failed, wanted)
        moved = common(rest)
        for line in seen:
            slowing.add(line.member, line.released, line.answers, line.slow, min(line.usual * moved, MOST))
        return self.opinion()

    def memory(self) -> dict[str, object]:
        """All that it has seen, as JSON can say it: a release outlives its controller."""
        return {
            "failed": self.failed,
            "answers": self.answers,
            "recent": self.recent,
            "wanted": self.wanted,
            "bets": msgspec.to_builtins(self.bets),
        }

    def remember(self, memory: dict[str, object]) -> None:
        """Go on from there."""
        self.failed = msgspec.convert(memory["failed"], int)
        self.answers = msgspec.convert(memory["answers"], int)
        self.recent = msgspec.convert(memory["recent"], list[float])
        self.wanted = msgspec.convert(memory["wanted"], float)
        self.bets = msgspec.convert(memory["bets"], tuple[Bet, Bet])

    @property
    def sole(self) -> bool:
        """Whether all that speaks against the version comes from one machine."""
        return max(len(bet.released) for bet in self.bets) < 2

    def look_again(self) -> None:
        """Forget what the released have answered so far; what the rest have stands. Less convinces now."""
        self.wanted = AGAIN
        for bet in self.bets:
            bet.released.clear()

    def acquit(self) -> None:
        """The second look found nothing: as much as ever is wanted."""
        self.wanted = self.usual

    def best(self) -> tuple[float, float]:
        return max(bet.stake() for bet in self.bets), self.wanted

    def opinion(self) -> Opinion:
        bet = max(self.bets, key=Bet.stake)
        stake = bet.stake()
        counted = sum(score.counted for score in bet.released.values())
        answers = sum(score.answers for score in bet.released.values())
        expected = sum(score.expected for score in bet.released.values())
        why = f"{bet.name}: {counted} of {answers} answers, {expected:.0f} expected by the rest"
        return Opinion(Finding.BAD if stake >= self.wanted else Finding.GOOD, stake, self.wanted, why)


def common(rest: Iterable[Seen]) -> float:
    """How slow answers of the rest have become, all members together: load moves them all."""
    lines = list(rest)
    usual = sum(line.answers * line.usual for line in lines)
    return (sum(line.slow for line in lines) + 1) / (usual + 1)
