"""Feeds each snapshot to the canary analysis and applies its result to the current wave. No I/O, no clock."""

from __future__ import annotations

from flaxstep.rollout.actions import Phase
from flaxstep.rollout.canary_analysis import Assessment, CanaryAnalysis, Finding
from flaxstep.rollout.evidence import Evidence
from flaxstep.rollout.release import State, WaveMembers
from flaxstep.rollout.snapshot import Snapshot

MIN_BASELINE_RESPONSES = 50  # responses to measure before the first wave
# A wave whose stake is above this is watched for up to MAX_BAKE_FACTOR times the bake time.
SUSPICIOUS_STAKE = 2.0
MAX_BAKE_FACTOR = 3.0


class WaveEvaluation:
    """Evaluates the waves of a release. What a restarted controller needs to go on is kept in the release."""

    def __init__(self, wave_members: WaveMembers) -> None:
        self.wave_members, self.plan, self.release = wave_members, wave_members.plan, wave_members.release
        watch, release = self.plan.watch, self.release
        self.evidence = Evidence(self.plan.what, watch.slower, self.plan.room.worths)
        self.analysis = CanaryAnalysis(watch.false_halt, watch.failures)
        if release.marks or release.pooled:
            self.evidence.load_state(release.marks, release.pooled)
        else:
            # Baseline measurements are not stored, so a restarted controller measures again.
            release.measured = 0.0
        if release.bets:
            self.analysis.load_state(release.bets)

    def reset(self) -> None:
        """Start a new analysis: operators have seen the evidence against the version and resumed."""
        self.analysis = CanaryAnalysis(self.plan.watch.false_halt, self.plan.watch.failures)
        self.release.doubted = -1.0

    def update(self, snapshot: Snapshot, passed: float, now: float) -> str:
        """Process a snapshot, `passed` s after the previous one; return why the version is bad, if it is."""
        release, found = self.release, self.evidence.update(snapshot)
        release.served = self.evidence.served_worth_share()
        if release.state is State.MEASURING:
            release.measured += passed
            release.answers = self.evidence.add_baseline(found)
            if release.measured >= self.plan.watch.before_s and release.answers >= MIN_BASELINE_RESPONSES:
                self.evidence.compute_thresholds()
                release.marks, release.pooled = self.evidence.thresholds, self.evidence.pooled_thresholds
                release.state = State.IN_PROGRESS
            return ""
        released = {m.id for m in self.wave_members.all_members() if m.version == self.plan.to}
        cold = {m.id for m in self.wave_members.all_members() if m.phase is not Phase.SERVING}
        samples = list(self.evidence.member_samples(found, released, cold))
        if 0 <= self.seconds_since_suspicion(now) < self.plan.watch.doubt_s:
            # Let a transient problem of the machine pass before the second analysis begins.
            samples = [line for line in samples if not line.released]
        assessment = self.analysis.update(samples)
        release.stake, release.wanted = assessment.stake, assessment.threshold
        why = self.apply_assessment(assessment, passed, now) if release.state is State.IN_PROGRESS else ""
        release.bets = self.analysis.to_state()
        return why

    def seconds_since_suspicion(self, now: float) -> float:
        """Seconds since a single released member was found bad; negative if none is under suspicion."""
        return now - self.release.doubted if self.release.doubted >= 0 else -1.0

    def apply_assessment(self, assessment: Assessment, passed: float, now: float) -> str:
        """Apply an assessment to the wave; return why the version is bad, or an empty string.

        A single member must be found bad twice, as a machine may be slow for reasons of its own.
        """
        release, watch, doubted = self.release, self.plan.watch, self.seconds_since_suspicion(now)
        if assessment.finding is Finding.BAD:
            if not self.analysis.single_member or doubted >= 0:
                return f"worse than the rest: {assessment.reason}"
            release.doubted, release.baked = now, 0.0
            self.analysis.begin_second_analysis()
        elif doubted >= 0:
            if doubted > watch.doubt_s + watch.bake_s:
                release.doubted = -1.0
                self.analysis.end_second_analysis()
                release.baked = watch.bake_s if self.wave_members.wave_is_updated() else 0.0
        elif self.wave_members.wave_is_updated() and (
            assessment.finding is Finding.GOOD or not self.wave_members.has_baseline()
        ):
            release.baked += passed
        return ""

    def baked_long_enough(self) -> bool:
        """Whether the wave has been watched long enough; longer if there is some evidence against it."""
        unsure = self.release.stake > SUSPICIOUS_STAKE and self.wave_members.has_baseline()
        return self.release.baked >= self.plan.watch.bake_s * (MAX_BAKE_FACTOR if unsure else 1.0)

    def comparison_gap(self) -> str:
        """Why the version cannot be assessed at the moment; an empty string if it can."""
        return (
            ""
            if self.analysis.has_baseline or not self.wave_members.has_baseline()
            else "too few responses to compare with"
        )
