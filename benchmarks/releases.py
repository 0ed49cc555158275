"""How often the analysis of releases halts a good version, and how soon a bad one, over drawn releases.

From the root: .venv-lab/bin/python -B -m benchmarks.releases [COUNT]. Farms, load, machines' differences,
spells in which one machine is slow, and the versions are drawn; the analysis sees counts of one second each,
as it will live.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from statistics import NormalDist

import numpy as np
import numpy.typing as npt

from flaxstep.rollout.canary_analysis import CanaryAnalysis, Finding, MemberSample

FALSE_HALT, FAILURES, SLOWER = 0.01, 0.002, 1.1
BAKE, MARK = 30, 0.75  # looks after each wave; the quantile of a member's answers that is its mark
SHARES = (0.25, 0.5, 0.9)
SPELLS, SPELL = 0.5, 0.15  # the part of the releases with a spell, and of the machines that it meets
NORMAL = NormalDist()
VERSIONS = ("good", "a third slower", "2% errors", "falls over under load")
Floats = npt.NDArray[np.float64]


@dataclass(slots=True)
class Outcome:
    """What became of a drawn release."""

    halted: int = -1  # the look; -1: it went through
    released: int = 0  # members that had the version then
    harmed: float = 0.0  # requests that the version spoilt, as a part of all
    why: str = ""


@dataclass(slots=True)
class Farm:
    """A drawn farm and its day."""

    generator: np.random.Generator
    rate: Floats  # answers a look and member
    failing: Floats
    width: Floats  # of the members' answer times, lognormal
    usual: Floats  # slow answers as measured before the release
    drift: Floats  # how much longer a member's answers take now than then, for reasons of its own
    swing: float
    spell: tuple[int, int]  # looks in which some machines are slow, whatever they run
    slowed: Floats  # how many times longer each then takes

    @classmethod
    def draw(cls, generator: np.random.Generator) -> Farm:
        n, begin = int(generator.integers(6, 25)), int(generator.integers(0, BAKE * 4))
        part = SPELL if generator.random() < SPELLS else 0.0
        return cls(
            generator,
            rate=generator.uniform(15, 60) * generator.uniform(0.6, 1.6, n),
            failing=generator.uniform(0, 0.01) * generator.uniform(0.7, 1.3, n),
            width=generator.uniform(0.3, 0.7, n),
            usual=np.clip(generator.normal(1 - MARK, 0.01, n), 0.1, 0.4),
            drift=np.exp(generator.normal(0, 0.02, n)),
            swing=generator.uniform(0, 0.4),
            spell=(begin, begin + int(generator.integers(10, 36))),
            slowed=np.where(generator.random(n) < part, generator.uniform(2, 6), 1.0),
        )

    def look(
        self, at: int, released: npt.NDArray[np.bool_], version: str
    ) -> tuple[list[MemberSample], float]:
        """What a second shows, and how many answers the version spoilt."""
        generator, n = self.generator, len(self.rate)
        load = 1 + self.swing * np.sin(at / 25)
        answers = generator.poisson(self.rate * load)
        longer = load**0.5 * self.drift * np.exp(generator.normal(0, 0.05, n))
        if self.spell[0] <= at < self.spell[1]:
            longer = longer * self.slowed
        failing = self.failing.copy()
        if version == "a third slower":
            longer = np.where(released, longer * 4 / 3, longer)
        elif version == "2% errors":
            failing = np.where(released, failing + 0.02, failing)
        elif version == "falls over under load" and load > 1:
            failing = np.where(released, failing + 0.2, failing)
        marks = np.where(released, SLOWER, 1.0)
        slow_part = above(np.log(marks / longer) / self.width)
        failed, slow = generator.binomial(answers, failing), generator.binomial(answers, slow_part)
        spoilt = float(np.sum(answers * released)) if version == "a third slower" else 0.0
        spoilt += float(np.sum(answers * (failing - self.failing)))
        columns = zip(
            released.tolist(), answers.tolist(), failed.tolist(), slow.tolist(), self.usual, strict=True
        )
        return [MemberSample(str(i), *line) for i, line in enumerate(columns)], spoilt


def above(distance: Floats) -> Floats:
    """The part of lognormal answers above their mark, moved by so many widths of its logarithm."""
    start = NORMAL.inv_cdf(MARK)
    return np.array([1 - NORMAL.cdf(start + moved) for moved in distance])


def release(seed: int, version: str) -> Outcome:
    """One drawn release: a canary, then shares, each watched for a while."""
    farm = Farm.draw(np.random.default_rng([seed, VERSIONS.index(version)]))
    n, analysis, outcome = len(farm.rate), CanaryAnalysis(FALSE_HALT, FAILURES), Outcome()
    order = farm.generator.permutation(n)
    sizes = [1] + [max(1, round(share * n)) for share in SHARES]
    answered = 0.0
    for look in range(BAKE * (len(sizes) + 1)):  # the last stretch runs on with the most released
        released = np.zeros(n, dtype=bool)
        released[order[: sizes[min(look // BAKE, len(sizes) - 1)]]] = True
        samples, spoilt = farm.look(look, released, version)
        answered += sum(line.responses for line in samples)
        outcome.harmed += spoilt
        assessment = analysis.update(samples)
        if assessment.finding is Finding.BAD:
            outcome.halted, outcome.released, outcome.why = look, int(released.sum()), assessment.reason
            break
    whole = float(farm.rate.sum()) * BAKE * (len(sizes) + 1)
    outcome.harmed /= whole
    return outcome


def summary(version: str, outcomes: list[Outcome]) -> str:
    halted = [outcome for outcome in outcomes if outcome.halted >= 0]
    line = f"{version}: {len(halted)} of {len(outcomes)} halted"
    if halted and version != "good":
        looks, out = (np.array([getattr(o, name) for o in halted]) for name in ("halted", "released"))
        harmed = np.array([outcome.harmed for outcome in outcomes])
        line += (
            f", after {np.median(looks):.0f} s (95 of 100 within {np.percentile(looks, 95):.0f}), "
            f"with the canary alone "
            f"{np.mean(out == 1):.0%}; harmed {np.median(harmed):.3%} of the release's requests, "
            f"95 of 100 under {np.percentile(harmed, 95):.3%}"
        )
    return line


def main() -> None:
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    for version in VERSIONS:
        begun = time.monotonic()
        outcomes = [release(seed, version) for seed in range(count)]
        print(f"{summary(version, outcomes)}; {time.monotonic() - begun:.0f} s", flush=True)


if __name__ == "__main__":
    main()
