"""From what nodes tell, look after look, to what the judge takes. No I/O, no clock.

Doors tell counts since a process began. This takes what came since the look before, sums it by member, and
counts answers above each member's own mark: the bucket from which on about a quarter of its answers were slow
before the release. A released member's mark is raised by what the plan lets pass.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from flaxstep.rollout.canary_analysis import MemberSample
from flaxstep.rollout.snapshot import LatencyHistogram, ResponseCounters, Snapshot

ABOVE = 0.25  # the part of a member's answers that shall lie above its mark
LEAST = 30  # answers below which a member's own mark says little: then all members' mark is taken
LOOK_BACK = 10.0  # s over which the farm's served worth is taken
LEAST_ASKED = 20.0  # requests in that time below which it says nothing
NOTHING = ResponseCounters()


def edge(bucket: int) -> float:
    """Where a bucket ends, in ms."""
    return float(2 ** ((bucket + 1) / 4) - 1)


class Mark(msgspec.Struct, frozen=True):
    """ResponseCounters beyond bucket `last` are slow; `usual` is their share before the release."""

    last: int
    usual: float


@dataclass(slots=True)
class Counts:
    """What one member answered since the last look."""

    good: int = 0
    bad: int = 0
    took: dict[str, LatencyHistogram] = field(default_factory=dict)  # by class


class Evidence:
    """`kind` is what members are: job servers, told by all nodes, or the nodes themselves."""

    def __init__(self, kind: str, slower: float, worths: dict[str, float]) -> None:
        self.kind, self.slower, self.worths = kind, slower, worths
        self.before: dict[str, dict[str, LatencyHistogram]] = {}  # by member and class, while it is measured
        self.marks: dict[str, dict[str, Mark]] = {}
        self.pooled: dict[str, Mark] = {}
        self.last: dict[tuple[str, str, str], tuple[int, ResponseCounters]] = {}  # by door, server and class
        self.last_results: dict[tuple[str, str], tuple[int, int, int]] = {}  # by door and class
        self.asked: deque[tuple[float, float, float]] = deque()  # when, worth asked for, worth served
        self.rest: dict[tuple[str, str], float] = {}  # parts of an answer not counted yet

    def take(self, snapshot: Snapshot) -> dict[str, Counts]:
        """What came since the last look, by member. A door seen for the first time tells nothing yet."""
        found: dict[str, Counts] = {}
        asked = served = 0.0
        last, self.last = self.last, {}
        last_results, self.last_results = self.last_results, {}
        for node in snapshot.nodes.values():
            for process in node.processes:
                for cls, now in process.results.items():
                    key = process.admin_address, cls
                    self.last_results[key] = now
                    fresh = since(last_results.get(key), now)
                    worth = self.worths.get(cls, 1.0)
                    asked, served = asked + worth * sum(fresh), served + worth * fresh[0]
                    if self.kind == "nodes":
                        counts = found.setdefault(node.name, Counts())
                        counts.good, counts.bad = counts.good + fresh[0], counts.bad + sum(fresh[1:])
                for server, held in process.servers.items():
                    member = node.name if self.kind == "nodes" else server
                    counts = found.setdefault(member, Counts())
                    for cls, told in held.classes.items():
                        self.last[process.admin_address, server, cls] = held.started_ms, told
                        self.add(
                            counts, cls, last.get((process.admin_address, server, cls)), held.started_ms, told
                        )
        self.asked.append((snapshot.taken_at_s, asked, served))
        while self.asked[0][0] < snapshot.taken_at_s - LOOK_BACK:
            self.asked.popleft()
        return found

    def add(
        self,
        counts: Counts,
        cls: str,
        last: tuple[int, ResponseCounters] | None,
        started: int,
        told: ResponseCounters,
    ) -> None:
        """What a door tells more of a server and class than at the last look."""
        if last is None:
            return
        before = last[1] if last[0] == started and told.ok >= last[1].ok else NOTHING
        bins = counts.took.setdefault(cls, Counter())
        bins.update(told.latencies)
        bins.subtract(before.latencies)
        if self.kind == "servers":
            counts.good += told.ok - before.ok
            counts.bad += max(0, told.failed + told.not_started - before.failed - before.not_started)

    def served(self) -> float | None:
        """The part of the worth asked for lately that was served; None where too little was asked."""
        asked = sum(line[1] for line in self.asked)
        return sum(line[2] for line in self.asked) / asked if asked >= LEAST_ASKED else None

    # Before the release.

    def measure(self, found: dict[str, Counts]) -> int:
        """Take a look up as 'before'; how many answers there are by now."""
        for member, counts in found.items():
            mine = self.before.setdefault(member, {})
            for cls, bins in counts.took.items():
                mine.setdefault(cls, Counter()).update(bins)
        return sum(bins.total() for mine in self.before.values() for bins in mine.values())

    def settle(self) -> None:
        """The marks, from what was measured."""
        whole: dict[str, LatencyHistogram] = {}
        for mine in self.before.values():
            for cls, bins in mine.items():
                whole.setdefault(cls, Counter()).update(bins)
        self.pooled = {cls: mark(bins) for cls, bins in whole.items()}
        self.marks = {
            member: {cls: mark(bins) for cls, bins in mine.items() if bins.total() >= LEAST}
            for member, mine in self.before.items()
        }
        self.before.clear()

    # In the release.

    def seen(self, found: dict[str, Counts], released: set[str], cold: set[str]) -> Iterator[MemberSample]:
        """What the judge takes, a line for each member that answered anything."""
        for member, counts in found.items():
            if not counts.good + counts.bad:
                continue
            slow, usual, timed = 0, 0.0, 0
            for cls, bins in counts.took.items():
                line = self.marks.get(member, {}).get(cls) or self.pooled.get(cls)
                if line is not None:
                    count = bins.total()
                    timed += count
                    usual += count * line.usual
                    slow += self.slow(member, cls, bins, line.last, member in released)
            share = usual / timed if timed else ABOVE
            answers = counts.good + counts.bad
            yield MemberSample(
                member, member in released, answers, counts.bad, min(slow, answers), share,
                member in cold or not timed,
            )  # fmt: skip

    def slow(self, member: str, cls: str, bins: LatencyHistogram, last: int, released: bool) -> int:
        """ResponseCounters above the mark. Within the bucket that a raised mark parts, they count by its part."""
        if not released:
            return sum(count for bucket, count in bins.items() if bucket > last)
        raised = edge(last) * self.slower
        place = 4 * math.log2(raised + 1) - 1
        parted, part = math.ceil(place), math.ceil(place) - place
        exact = sum(count for bucket, count in bins.items() if bucket > parted)
        exact_part = exact + part * bins.get(parted, 0) + self.rest.get((member, cls), 0.0)
        whole = math.floor(exact_part)
        self.rest[member, cls] = exact_part - whole
        return whole

    # What outlives a controller.

    def memory(self) -> dict[str, object]:
        return {"marks": self.marks, "pooled": self.pooled}

    def remember(self, marks: dict[str, dict[str, Mark]], pooled: dict[str, Mark]) -> None:
        self.marks, self.pooled = marks, pooled


def since(last: tuple[int, int, int] | None, now: tuple[int, int, int]) -> tuple[int, int, int]:
    """What was added to counters; nothing where they were not known, all where they began anew."""
    if last is None:
        return 0, 0, 0
    if any(new < old for new, old in zip(now, last, strict=True)):
        return now
    return now[0] - last[0], now[1] - last[1], now[2] - last[2]


def mark(bins: LatencyHistogram) -> Mark:
    """The bucket beyond which the part of the answers is nearest to what is wanted."""
    total, above = bins.total(), 0
    best = Mark(max(bins, default=0), 0.0)
    for bucket in sorted(bins, reverse=True):
        share = above / total
        if abs(share - ABOVE) < abs(best.usual - ABOVE):
            best = Mark(bucket, share)
        above += bins[bucket]
    return best
