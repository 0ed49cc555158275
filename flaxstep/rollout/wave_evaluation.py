"""A release's evidence and judgement, look after look, and what they mean for its wave. Pure."""

from __future__ import annotations

from flaxstep.rollout.actions import Phase
from flaxstep.rollout.canary_analysis import Assessment, CanaryAnalysis, Finding
from flaxstep.rollout.evidence import Evidence
from flaxstep.rollout.release import State, WaveMembers
from flaxstep.rollout.snapshot import Snapshot

MIN_BASELINE_RESPONSES = 50  # answers to measure before the release begins
SUSPICIOUS_STAKE = 2.0  # a stake over this: a wave is watched for up to so many times its time
MAX_BAKE_FACTOR = 3.0


class WaveEvaluation:
    """Keeps in the release what a controller that comes after needs to go on."""

    def __init__(self, wave_members: WaveMembers) -> None:
        self.wave_members, self.plan, self.release = wave_members, wave_members.plan, wave_members.release
        watch, release = self.plan.watch, self.release
        self.evidence = Evidence(self.plan.what, watch.slower, self.plan.room.worths)
        self.analysis = CanaryAnalysis(watch.false_halt, watch.failures)
        if release.marks or release.pooled:
            self.evidence.load_state(release.marks, release.pooled)
        else:
            release.measured = 0.0  # what a controller before had measured went with it
        if release.bets:
            self.analysis.load_state(release.bets)

    def reset(self) -> None:
        """Staff have seen what spoke against the version, and want it judged from here on."""
        self.analysis = CanaryAnalysis(self.plan.watch.false_halt, self.plan.watch.failures)
        self.release.doubted = -1.0

    def update(self, snapshot: Snapshot, passed: float, now: float) -> str:
        """Take a look's figures up. Why the version is bad, if it is."""
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
            samples = [line for line in samples if not line.released]  # what met the machine shall pass first
        assessment = self.analysis.update(samples)
        release.stake, release.wanted = assessment.stake, assessment.threshold
        why = self.apply_assessment(assessment, passed, now) if release.state is State.IN_PROGRESS else ""
        release.bets = self.analysis.to_state()
        return why

    def seconds_since_suspicion(self, now: float) -> float:
        """s since one machine alone was found bad; negative: none is."""
        return now - self.release.doubted if self.release.doubted >= 0 else -1.0

    def apply_assessment(self, assessment: Assessment, passed: float, now: float) -> str:
        """What the judgement means for the wave. One machine alone must be found bad twice."""
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
        """Whether the wave was watched for long enough: longer while something speaks against it."""
        unsure = self.release.stake > SUSPICIOUS_STAKE and self.wave_members.has_baseline()
        return self.release.baked >= self.plan.watch.bake_s * (MAX_BAKE_FACTOR if unsure else 1.0)

    def comparison_gap(self) -> str:
        """Why nothing can be judged just now; nothing if it can."""
        return (
            ""
            if self.analysis.has_baseline or not self.wave_members.has_baseline()
            else "too few answers to compare with"
        )
