"""Turns the counters of successive snapshots into samples for the canary analysis. No I/O, no clock.

Nodes report counters since their process began. This computes the increase since the snapshot before, sums it
by member, and counts responses above each member's own latency threshold: the histogram bucket above which
about a quarter of its responses were before the release. The threshold of a released member is raised by the
slowdown that the plan tolerates.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from flaxstep.rollout.canary_analysis import MemberSample
from flaxstep.rollout.snapshot import LatencyHistogram, ResponseCounters, Snapshot

TARGET_SLOW_SHARE = 0.25  # share of the baseline responses that is to lie above the threshold
# With fewer responses in a class, the threshold of all members together is used.
MIN_MEMBER_RESPONSES = 30
WORTH_WINDOW_S = 10.0  # the period of the served share of worth
# With less worth requested in that period, the served share is unknown.
MIN_WORTH_REQUESTED = 20.0
NO_RESPONSES = ResponseCounters()


def bucket_end_ms(bucket: int) -> float:
    """The upper end of a histogram bucket."""
    return float(2 ** ((bucket + 1) / 4) - 1)


class SlowThreshold(msgspec.Struct, frozen=True):
    """Responses above bucket `last` are slow; `usual` is their share before the release. Both are stored."""

    last: int
    usual: float


@dataclass(slots=True)
class Counts:
    """The responses of one member since the last snapshot."""

    succeeded: int = 0
    failed: int = 0
    latencies: dict[str, LatencyHistogram] = field(default_factory=dict)  # by class


class Evidence:
    """Turns snapshots into samples of members.

    `kind` is "servers", whose counters all nodes report, or "nodes". `worths` is the worth of a request, by
    class.
    """

    def __init__(self, kind: str, tolerated_slowdown: float, worths: dict[str, float]) -> None:
        self.kind, self.tolerated_slowdown, self.worths = kind, tolerated_slowdown, worths
        # by member and class; empty after the baseline
        self.baseline_histograms: dict[str, dict[str, LatencyHistogram]] = {}
        self.thresholds: dict[str, dict[str, SlowThreshold]] = {}
        self.pooled_thresholds: dict[str, SlowThreshold] = {}
        # by admin address, server and class
        self.last_counters: dict[tuple[str, str, str], tuple[int, ResponseCounters]] = {}
        # by admin address and class
        self.last_results: dict[tuple[str, str], tuple[int, int, int]] = {}
        # snapshot time in s, worth requested, worth served
        self.worth_history: deque[tuple[float, float, float]] = deque()
        # by member and class: fractions of a response that are not counted yet
        self.carried_fractions: dict[tuple[str, str], float] = {}

    def update(self, snapshot: Snapshot) -> dict[str, Counts]:
        """The responses since the last snapshot, by member. A process that was not in it adds nothing."""
        found: dict[str, Counts] = {}
        requested = served = 0.0
        last, self.last_counters = self.last_counters, {}
        last_results, self.last_results = self.last_results, {}
        for node in snapshot.nodes.values():
            for process in node.processes:
                for cls, now in process.results.items():
                    key = process.admin_address, cls
                    self.last_results[key] = now
                    increase = counter_increase(last_results.get(key), now)
                    worth = self.worths.get(cls, 1.0)
                    requested, served = requested + worth * sum(increase), served + worth * increase[0]
                    if self.kind == "nodes":
                        counts = found.setdefault(node.name, Counts())
                        counts.succeeded, counts.failed = (
                            counts.succeeded + increase[0],
                            counts.failed + sum(increase[1:]),
                        )
                for server, server_counters in process.servers.items():
                    member = node.name if self.kind == "nodes" else server
                    counts = found.setdefault(member, Counts())
                    for cls, counters in server_counters.classes.items():
                        self.last_counters[process.admin_address, server, cls] = (
                            server_counters.started_ms,
                            counters,
                        )
                        self.add_responses(
                            counts,
                            cls,
                            last.get((process.admin_address, server, cls)),
                            server_counters.started_ms,
                            counters,
                        )
        self.worth_history.append((snapshot.taken_at_s, requested, served))
        while self.worth_history[0][0] < snapshot.taken_at_s - WORTH_WINDOW_S:
            self.worth_history.popleft()
        return found

    def add_responses(
        self,
        counts: Counts,
        cls: str,
        last: tuple[int, ResponseCounters] | None,
        started: int,
        counters: ResponseCounters,
    ) -> None:
        """Add what a process of a node reports of a server and class beyond the last snapshot."""
        if last is None:
            return
        before = last[1] if last[0] == started and counters.ok >= last[1].ok else NO_RESPONSES
        histogram = counts.latencies.setdefault(cls, Counter())
        histogram.update(counters.latencies)
        histogram.subtract(before.latencies)
        if self.kind == "servers":
            counts.succeeded += counters.ok - before.ok
            counts.failed += max(
                0, counters.failed + counters.not_started - before.failed - before.not_started
            )

    def served_worth_share(self) -> float | None:
        """The served share of the worth requested lately; None if too little was requested."""
        requested = sum(line[1] for line in self.worth_history)
        return (
            sum(line[2] for line in self.worth_history) / requested
            if requested >= MIN_WORTH_REQUESTED
            else None
        )

    # The baseline.

    def add_baseline(self, found: dict[str, Counts]) -> int:
        """Add responses to the baseline; return how many it holds."""
        for member, counts in found.items():
            histograms = self.baseline_histograms.setdefault(member, {})
            for cls, histogram in counts.latencies.items():
                histograms.setdefault(cls, Counter()).update(histogram)
        return sum(
            histogram.total()
            for histograms in self.baseline_histograms.values()
            for histogram in histograms.values()
        )

    def compute_thresholds(self) -> None:
        """Compute the thresholds from the baseline."""
        pooled: dict[str, LatencyHistogram] = {}
        for histograms in self.baseline_histograms.values():
            for cls, histogram in histograms.items():
                pooled.setdefault(cls, Counter()).update(histogram)
        self.pooled_thresholds = {cls: slow_threshold(histogram) for cls, histogram in pooled.items()}
        self.thresholds = {
            member: {
                cls: slow_threshold(histogram)
                for cls, histogram in histograms.items()
                if histogram.total() >= MIN_MEMBER_RESPONSES
            }
            for member, histograms in self.baseline_histograms.items()
        }
        self.baseline_histograms.clear()

    # Samples during the release.

    def member_samples(
        self, found: dict[str, Counts], released: set[str], cold: set[str]
    ) -> Iterator[MemberSample]:
        """A sample for each member that responded."""
        for member, counts in found.items():
            if not counts.succeeded + counts.failed:
                continue
            slow, usual, timed = 0, 0.0, 0
            for cls, histogram in counts.latencies.items():
                line = self.thresholds.get(member, {}).get(cls) or self.pooled_thresholds.get(cls)
                if line is not None:
                    count = histogram.total()
                    timed += count
                    usual += count * line.usual
                    slow += self.count_slow(member, cls, histogram, line.last, member in released)
            share = usual / timed if timed else TARGET_SLOW_SHARE
            answers = counts.succeeded + counts.failed
            yield MemberSample(
                member, member in released, answers, counts.failed, min(slow, answers), share,
                member in cold or not timed,
            )  # fmt: skip

    def count_slow(
        self, member: str, cls: str, histogram: LatencyHistogram, last: int, released: bool
    ) -> int:
        """The number of responses above the threshold. Where a raised threshold lies within a bucket, a
        fraction of that bucket counts.
        """
        if not released:
            return sum(count for bucket, count in histogram.items() if bucket > last)
        raised = bucket_end_ms(last) * self.tolerated_slowdown
        position = 4 * math.log2(raised + 1) - 1
        split_bucket, fraction = math.ceil(position), math.ceil(position) - position
        exact = sum(count for bucket, count in histogram.items() if bucket > split_bucket)
        exact_count = (
            exact + fraction * histogram.get(split_bucket, 0) + self.carried_fractions.get((member, cls), 0.0)
        )
        whole = math.floor(exact_count)
        self.carried_fractions[member, cls] = exact_count - whole
        return whole

    # State that is stored with the release.

    def to_state(self) -> dict[str, object]:
        return {"marks": self.thresholds, "pooled": self.pooled_thresholds}

    def load_state(
        self, thresholds: dict[str, dict[str, SlowThreshold]], pooled_thresholds: dict[str, SlowThreshold]
    ) -> None:
        self.thresholds, self.pooled_thresholds = thresholds, pooled_thresholds


def counter_increase(last: tuple[int, int, int] | None, now: tuple[int, int, int]) -> tuple[int, int, int]:
    """The increase of counters; 0 if the old values are unknown, the new values if they were reset."""
    if last is None:
        return 0, 0, 0
    if any(new < old for new, old in zip(now, last, strict=True)):
        return now
    return now[0] - last[0], now[1] - last[1], now[2] - last[2]


def slow_threshold(histogram: LatencyHistogram) -> SlowThreshold:
    """The bucket above which the share of responses is nearest to the target."""
    total, above = histogram.total(), 0
    best = SlowThreshold(max(histogram, default=0), 0.0)
    for bucket in sorted(histogram, reverse=True):
        share = above / total
        if abs(share - TARGET_SLOW_SHARE) < abs(best.usual - TARGET_SLOW_SHARE):
            best = SlowThreshold(bucket, share)
        above += histogram[bucket]
    return best
