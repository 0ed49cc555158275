"""The records of a play put together: each try with its node and answer, each attempt with its way and its
end.

No process saw all of it. The links saw when a node wrote and closed, job servers what came whole and when
they were done, clients what came back, the front which node a connection went to, discovery what it told, the
rig what it did.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from flaxstep.faultbench.farm_config import process_names
from flaxstep.faultbench.links import LinkFault
from flaxstep.faultbench.records import (
    Answered,
    Asked,
    Began,
    Closed,
    Dealt,
    Disturbed,
    Ended,
    Fell,
    Happened,
    Held,
    Record,
    Told,
    Turn,
)
from flaxstep.simulator.sampling import Plan

FOREVER = float("inf")


@dataclass(slots=True)
class Attempt:
    """One request that came whole to a job server."""

    began: Began
    node: int  # -1: unknown
    first: float  # when the node began to write it
    delay: float  # ms that the link added
    ended: float = FOREVER  # at the server, or when the node closed its connection
    result: str = ""

    @property
    def ran(self) -> bool:
        return self.result != "full" and not self.began.repeat


@dataclass(slots=True)
class TryTrace:
    """One try of a client, as it was written whole."""

    asked: Asked
    node: int
    answered: Answered | None = None
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Span:
    start: float
    end: float = FOREVER

    def meets(self, start: float, end: float) -> bool:
        return self.start < end and start < self.end


@dataclass(slots=True)
class Trace:
    plan: Plan
    tries: dict[str, TryTrace] = field(default_factory=dict)
    strangers: list[Attempt] = field(default_factory=list)  # requests that no client sent
    told: dict[int, list[Told]] = field(default_factory=lambda: defaultdict(list))
    happened: list[Happened] = field(default_factory=list)
    fell: list[Fell] = field(default_factory=list)
    held: dict[int, list[Held]] = field(default_factory=lambda: defaultdict(list))
    faults: list[tuple[LinkFault, Span]] = field(default_factory=list)
    away: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # a node did not run
    starts: dict[int, list[Happened]] = field(default_factory=lambda: defaultdict(list))
    regions: dict[str, list[int]] = field(default_factory=dict)

    def disturbed(self, caller: str, callee: str, start: float, end: float) -> bool:
        """Whether the link between two processes was at fault in that time."""
        ends = [set(process_names(name, self.plan, self.regions)) for name in (caller, callee)]
        return any(
            any(fault.affected_directions(*ends)) and span.meets(start, end) for fault, span in self.faults
        )

    def was_away(self, node: int, start: float, end: float) -> bool:
        """Whether a node was killed, stopped or told to end in that time, or before and not back yet."""
        return any(span.meets(start, end) for span in self.away[node])


def tell(records: Iterable[Record], plan: Plan, regions: dict[str, list[int]]) -> Trace:
    """The story of a play's records, in whatever order they come."""
    story = Trace(plan, regions=regions)
    kinds: dict[type, list[Record]] = defaultdict(list)
    for record in records:
        kinds[type(record)].append(record)
    for found in kinds.values():
        found.sort(key=lambda record: record.at)
    story.happened = [r for r in kinds[Happened] if isinstance(r, Happened)]
    story.fell = [r for r in kinds[Fell] if isinstance(r, Fell)]
    for record in kinds[Told]:
        if isinstance(record, Told):
            story.told[record.node].append(record)
    for record in kinds[Held]:
        if isinstance(record, Held):
            story.held[record.server].append(record)
    follow_faults(story, kinds[Disturbed])
    follow_nodes(story)
    join_tries(story, kinds)
    join_attempts(story, kinds)
    return story


def follow_faults(story: Trace, lines: list[Record]) -> None:
    """When each fault of links began and ended."""
    running: dict[tuple[str, str, str, str], Span] = {}
    for line in lines:
        if not isinstance(line, Disturbed):
            continue
        key = (line.name, line.one, line.other, line.way)
        if not line.begins:
            if key in running:
                running.pop(key).end = line.at
            continue
        running[key] = Span(line.at)
        spec = {"name": line.name, "between": [line.one, line.other], "way": line.way, "size": 1, "jitter": 0}
        story.faults.append((LinkFault(spec), running[key]))


def follow_nodes(story: Trace) -> None:
    """When each node did not run; one that was told to end is away until it is ready again."""
    since: dict[int, Span] = {}
    for line in story.happened:
        kind, _, number = line.whom.partition(":")
        if kind != "node":
            continue
        node = int(number)
        if line.what == "started":
            story.starts[node].append(line)
        if line.what in ("killed", "stopped", "term") and line.note != "the old process":
            if node not in since:
                since[node] = Span(line.at)
                story.away[node].append(since[node])
        elif line.what in ("ready", "goes on") and node in since:
            since.pop(node).end = line.at


def join_tries(story: Trace, kinds: dict[type, list[Record]]) -> None:
    dealt: dict[tuple[int, int], list[Dealt]] = defaultdict(list)
    for record in kinds[Dealt]:
        if isinstance(record, Dealt):
            dealt[record.zone, record.port].append(record)
    for record in kinds[Asked]:
        if isinstance(record, Asked):
            lines = dealt[record.zone, record.port]
            before = [line for line in lines if line.at <= record.at]
            # The kernel takes a connection, and a first request on it, before the front comes to it.
            line = next(iter(before[-1:] or lines), None)
            story.tries[record.id] = TryTrace(record, line.node if line else -1)
    for record in kinds[Answered]:
        if isinstance(record, Answered) and record.id in story.tries:
            one = story.tries[record.id]
            one.answered = one.answered or record


def join_attempts(story: Trace, kinds: dict[type, list[Record]]) -> None:
    turns: dict[tuple[str, int, int], list[Turn]] = defaultdict(list)
    for record in kinds[Turn]:
        if isinstance(record, Turn):
            turns[record.callee, record.port, record.turn].append(record)
    closed: dict[tuple[str, int], list[float]] = defaultdict(list)
    for record in kinds[Closed]:
        if isinstance(record, Closed) and record.by == record.caller:
            closed[record.callee, record.port].append(record.at)
    ended: dict[tuple[int, int, int, str], Ended] = {}
    for record in kinds[Ended]:
        if isinstance(record, Ended):
            ended[record.server, record.port, record.turn, record.id] = record
    killed: dict[str, list[float]] = defaultdict(list)
    for line in story.happened:
        if line.what == "killed":
            killed[line.whom].append(line.at)
    for record in kinds[Began]:
        if not isinstance(record, Began):
            continue
        name = f"server:{record.server}"
        ways = [turn for turn in turns[name, record.port, record.turn] if turn.first <= record.at]
        way = ways[-1] if ways else None
        node = int(way.caller.partition(":")[2]) if way else -1
        attempt = Attempt(record, node, way.first if way else record.first, way.delay if way else 0.0)
        end = ended.get((record.server, record.port, record.turn, record.id))
        if end is not None:
            attempt.ended, attempt.result = end.at, end.result
        for times in (closed[name, record.port], killed[name]):
            # From its first byte on: a stopped server reads only afterwards what was given up meanwhile.
            later = bisect_right(times, attempt.first)
            if later < len(times):
                attempt.ended = min(attempt.ended, times[later])
        if record.id in story.tries:
            story.tries[record.id].attempts.append(attempt)
        else:
            story.strangers.append(attempt)
    for one in story.tries.values():
        one.attempts.sort(key=lambda attempt: attempt.first)
