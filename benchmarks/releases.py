"""Measures how often the canary analysis halts a good version, and how soon a bad one, in random releases.

From the root: .venv-lab/bin/python -B -m benchmarks.releases [COUNT]. Each release of a version runs
on a random farm: its load, the differences between its machines, and a period in which some of them are slow.
The analysis gets counts of one second each, as in production.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from statistics import NormalDist

import numpy as np
import numpy.typing as npt

from flaxstep.rollout.canary_analysis import CanaryAnalysis, Finding, MemberSample

FALSE_HALT_RATE, TOLERATED_FAILURE_RATE, TOLERATED_SLOWDOWN = 0.01, 0.002, 1.1
# Samples after each wave, and the quantile of a member's response times above which one counts as slow.
SAMPLES_PER_WAVE, SLOW_QUANTILE = 30, 0.75
WAVE_SHARES = (0.25, 0.5, 0.9)
# How many of the releases have a period with slow machines, and how many of the machines are slow in it.
SLOW_PERIOD_PROBABILITY, SLOW_MACHINE_SHARE = 0.5, 0.15
STANDARD_NORMAL = NormalDist()
VERSIONS = ("good", "a third slower", "2% errors", "falls over under load")
FloatArray = npt.NDArray[np.float64]


@dataclass(slots=True)
class Outcome:
    """How a simulated release ended."""

    halted_at_sample: int = -1  # -1: completed
    released_members: int = 0  # at the halt
    harmed_share: float = 0.0  # requests that the version failed or slowed, as a fraction of all
    reason: str = ""


@dataclass(slots=True)
class SimulatedFarm:
    """A farm with random members, load and disturbances."""

    generator: np.random.Generator
    responses_per_sample: FloatArray  # for each member
    failure_rate: FloatArray
    latency_sigma: FloatArray  # of each member's response times, which are lognormal
    baseline_slow_share: FloatArray  # as measured before the release
    latency_drift: FloatArray  # change of response times since then that the version didn't cause
    load_amplitude: float
    slow_period: tuple[int, int]  # samples in which some machines are slow with any version
    slow_period_factor: FloatArray  # for each member

    @classmethod
    def draw(cls, generator: np.random.Generator) -> SimulatedFarm:
        member_count, slow_period_start = (
            int(generator.integers(6, 25)),
            int(generator.integers(0, SAMPLES_PER_WAVE * 4)),
        )
        affected_share = SLOW_MACHINE_SHARE if generator.random() < SLOW_PERIOD_PROBABILITY else 0.0
        return cls(
            generator,
            responses_per_sample=generator.uniform(15, 60) * generator.uniform(0.6, 1.6, member_count),
            failure_rate=generator.uniform(0, 0.01) * generator.uniform(0.7, 1.3, member_count),
            latency_sigma=generator.uniform(0.3, 0.7, member_count),
            baseline_slow_share=np.clip(generator.normal(1 - SLOW_QUANTILE, 0.01, member_count), 0.1, 0.4),
            latency_drift=np.exp(generator.normal(0, 0.02, member_count)),
            load_amplitude=generator.uniform(0, 0.4),
            slow_period=(slow_period_start, slow_period_start + int(generator.integers(10, 36))),
            slow_period_factor=np.where(
                generator.random(member_count) < affected_share, generator.uniform(2, 6), 1.0
            ),
        )

    def draw_samples(
        self, sample_number: int, has_version: npt.NDArray[np.bool_], version: str
    ) -> tuple[list[MemberSample], float]:
        """Returns the counts of one second, and how many responses the version failed or slowed."""
        generator, member_count = self.generator, len(self.responses_per_sample)
        load = 1 + self.load_amplitude * np.sin(sample_number / 25)
        responses = generator.poisson(self.responses_per_sample * load)
        latency_factor = load**0.5 * self.latency_drift * np.exp(generator.normal(0, 0.05, member_count))
        if self.slow_period[0] <= sample_number < self.slow_period[1]:
            latency_factor = latency_factor * self.slow_period_factor
        failure_rate = self.failure_rate.copy()
        if version == "a third slower":
            latency_factor = np.where(has_version, latency_factor * 4 / 3, latency_factor)
        elif version == "2% errors":
            failure_rate = np.where(has_version, failure_rate + 0.02, failure_rate)
        elif version == "falls over under load" and load > 1:
            failure_rate = np.where(has_version, failure_rate + 0.2, failure_rate)
        thresholds = np.where(has_version, TOLERATED_SLOWDOWN, 1.0)
        slow_share = share_above_threshold(np.log(thresholds / latency_factor) / self.latency_sigma)
        failed, slow = generator.binomial(responses, failure_rate), generator.binomial(responses, slow_share)
        harmed = float(np.sum(responses * has_version)) if version == "a third slower" else 0.0
        harmed += float(np.sum(responses * (failure_rate - self.failure_rate)))
        columns = zip(
            has_version.tolist(),
            responses.tolist(),
            failed.tolist(),
            slow.tolist(),
            self.baseline_slow_share,
            strict=True,
        )
        return [MemberSample(str(i), *counts) for i, counts in enumerate(columns)], harmed


def share_above_threshold(distance: FloatArray) -> FloatArray:
    """Returns the share of responses above the threshold shifted by `distance` standard deviations."""
    threshold = STANDARD_NORMAL.inv_cdf(SLOW_QUANTILE)
    return np.array([1 - STANDARD_NORMAL.cdf(threshold + shift) for shift in distance])


def simulate_release(seed: int, version: str) -> Outcome:
    """Simulates one release: a canary, then larger waves, each followed by a period of analysis."""
    farm = SimulatedFarm.draw(np.random.default_rng([seed, VERSIONS.index(version)]))
    member_count, analysis, outcome = (
        len(farm.responses_per_sample),
        CanaryAnalysis(FALSE_HALT_RATE, TOLERATED_FAILURE_RATE),
        Outcome(),
    )
    order = farm.generator.permutation(member_count)
    wave_sizes = [1] + [max(1, round(share * member_count)) for share in WAVE_SHARES]
    response_count = 0.0
    for sample_number in range(SAMPLES_PER_WAVE * (len(wave_sizes) + 1)):  # the last wave bakes twice
        has_version = np.zeros(member_count, dtype=bool)
        has_version[order[: wave_sizes[min(sample_number // SAMPLES_PER_WAVE, len(wave_sizes) - 1)]]] = True
        samples, harmed = farm.draw_samples(sample_number, has_version, version)
        response_count += sum(sample.responses for sample in samples)
        outcome.harmed_share += harmed
        assessment = analysis.update(samples)
        if assessment.finding is Finding.BAD:
            outcome.halted_at_sample, outcome.released_members, outcome.reason = (
                sample_number,
                int(has_version.sum()),
                assessment.reason,
            )
            break
    expected_responses = float(farm.responses_per_sample.sum()) * SAMPLES_PER_WAVE * (len(wave_sizes) + 1)
    outcome.harmed_share /= expected_responses
    return outcome


def format_summary(version: str, outcomes: list[Outcome]) -> str:
    halted = [outcome for outcome in outcomes if outcome.halted_at_sample >= 0]
    line = f"{version}: {len(halted)} of {len(outcomes)} halted"
    if halted and version != "good":
        halt_samples, halt_members = (
            np.array([getattr(o, name) for o in halted]) for name in ("halted_at_sample", "released_members")
        )
        harmed_shares = np.array([outcome.harmed_share for outcome in outcomes])
        line += (
            f", after {np.median(halt_samples):.0f} s "
            f"(95 of 100 within {np.percentile(halt_samples, 95):.0f}), "
            f"with the canary alone "
            f"{np.mean(halt_members == 1):.0%}; "
            f"harmed {np.median(harmed_shares):.3%} of the release's requests, "
            f"95 of 100 under {np.percentile(harmed_shares, 95):.3%}"
        )
    return line


def main() -> None:
    release_count = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    for version in VERSIONS:
        started_s = time.monotonic()
        outcomes = [simulate_release(seed, version) for seed in range(release_count)]
        print(f"{format_summary(version, outcomes)}; {time.monotonic() - started_s:.0f} s", flush=True)


if __name__ == "__main__":
    main()
