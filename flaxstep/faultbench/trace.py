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

from flaxstep.faultbench.farm_config import names
from flaxstep.faultbench.links import Fault
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

    arrival: Began
    node: int  # -1: unknown
    started_at: float  # when the node began to write it
    link_delay_ms: float  # ms that the link added
    ended_at: float = FOREVER  # at the server, or when the node closed its connection
    result: str = ""

    @property
    def was_executed(self) -> bool:
        return self.result != "full" and not self.arrival.repeat


@dataclass(slots=True)
class TryTrace:
    """One try of a client, as it was written whole."""

    sent: Asked
    node: int
    response: Answered | None = None
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Span:
    start: float
    end: float = FOREVER

    def overlaps(self, start: float, end: float) -> bool:
        return self.start < end and start < self.end


@dataclass(slots=True)
class Trace:
    plan: Plan
    tries: dict[str, TryTrace] = field(default_factory=dict)
    unmatched_attempts: list[Attempt] = field(default_factory=list)  # requests that no client sent
    list_updates: dict[int, list[Told]] = field(default_factory=lambda: defaultdict(list))
    events: list[Happened] = field(default_factory=list)
    overload_failures: list[Fell] = field(default_factory=list)
    load_samples: dict[int, list[Held]] = field(default_factory=lambda: defaultdict(list))
    faults: list[tuple[Fault, Span]] = field(default_factory=list)
    node_downtimes: dict[int, list[Span]] = field(
        default_factory=lambda: defaultdict(list)
    )  # a node did not run
    node_starts: dict[int, list[Happened]] = field(default_factory=lambda: defaultdict(list))
    regions: dict[str, list[int]] = field(default_factory=dict)

    def link_was_disturbed(self, caller: str, callee: str, start: float, end: float) -> bool:
        """Whether the link between two processes was at fault in that time."""
        ends = [set(names(name, self.plan, self.regions)) for name in (caller, callee)]
        return any(any(fault.on(*ends)) and span.overlaps(start, end) for fault, span in self.faults)

    def node_was_down(self, node: int, start: float, end: float) -> bool:
        """Whether a node was killed, stopped or told to end in that time, or before and not back yet."""
        return any(span.overlaps(start, end) for span in self.node_downtimes[node])


def build_trace(records: Iterable[Record], plan: Plan, regions: dict[str, list[int]]) -> Trace:
    """The story of a play's records, in whatever order they come."""
    trace = Trace(plan, regions=regions)
    records_by_type: dict[type, list[Record]] = defaultdict(list)
    for record in records:
        records_by_type[type(record)].append(record)
    for same_type in records_by_type.values():
        same_type.sort(key=lambda record: record.at)
    trace.events = [r for r in records_by_type[Happened] if isinstance(r, Happened)]
    trace.overload_failures = [r for r in records_by_type[Fell] if isinstance(r, Fell)]
    for record in records_by_type[Told]:
        if isinstance(record, Told):
            trace.list_updates[record.node].append(record)
    for record in records_by_type[Held]:
        if isinstance(record, Held):
            trace.load_samples[record.server].append(record)
    collect_link_faults(trace, records_by_type[Disturbed])
    collect_node_downtimes(trace)
    add_tries(trace, records_by_type)
    add_attempts(trace, records_by_type)
    return trace


def collect_link_faults(trace: Trace, records: list[Record]) -> None:
    """When each fault of links began and ended."""
    open_spans: dict[tuple[str, str, str, str], Span] = {}
    for record in records:
        if not isinstance(record, Disturbed):
            continue
        key = (record.name, record.one, record.other, record.way)
        if not record.begins:
            if key in open_spans:
                open_spans.pop(key).end = record.at
            continue
        open_spans[key] = Span(record.at)
        spec = {
            "name": record.name,
            "between": [record.one, record.other],
            "way": record.way,
            "size": 1,
            "jitter": 0,
        }
        trace.faults.append((Fault(spec), open_spans[key]))


def collect_node_downtimes(trace: Trace) -> None:
    """When each node did not run; one that was told to end is away until it is ready again."""
    open_spans: dict[int, Span] = {}
    for event in trace.events:
        kind, _, number = event.whom.partition(":")
        if kind != "node":
            continue
        node = int(number)
        if event.what == "started":
            trace.node_starts[node].append(event)
        if event.what in ("killed", "stopped", "term") and event.note != "the old process":
            if node not in open_spans:
                open_spans[node] = Span(event.at)
                trace.node_downtimes[node].append(open_spans[node])
        elif event.what in ("ready", "goes on") and node in open_spans:
            open_spans.pop(node).end = event.at


def add_tries(trace: Trace, records_by_type: dict[type, list[Record]]) -> None:
    assignments: dict[tuple[int, int], list[Dealt]] = defaultdict(list)
    for record in records_by_type[Dealt]:
        if isinstance(record, Dealt):
            assignments[record.zone, record.port].append(record)
    for record in records_by_type[Asked]:
        if isinstance(record, Asked):
            candidates = assignments[record.zone, record.port]
            earlier = [dealt for dealt in candidates if dealt.at <= record.at]
            # The kernel takes a connection, and a first request on it, before the front comes to it.
            assignment = next(iter(earlier[-1:] or candidates), None)
            trace.tries[record.id] = TryTrace(record, assignment.node if assignment else -1)
    for record in records_by_type[Answered]:
        if isinstance(record, Answered) and record.id in trace.tries:
            try_trace = trace.tries[record.id]
            try_trace.response = try_trace.response or record


def add_attempts(trace: Trace, records_by_type: dict[type, list[Record]]) -> None:
    turns_by_connection: dict[tuple[str, int, int], list[Turn]] = defaultdict(list)
    for record in records_by_type[Turn]:
        if isinstance(record, Turn):
            turns_by_connection[record.callee, record.port, record.turn].append(record)
    close_times: dict[tuple[str, int], list[float]] = defaultdict(list)
    for record in records_by_type[Closed]:
        if isinstance(record, Closed) and record.by == record.caller:
            close_times[record.callee, record.port].append(record.at)
    ends_by_request: dict[tuple[int, int, int, str], Ended] = {}
    for record in records_by_type[Ended]:
        if isinstance(record, Ended):
            ends_by_request[record.server, record.port, record.turn, record.id] = record
    kill_times: dict[str, list[float]] = defaultdict(list)
    for event in trace.events:
        if event.what == "killed":
            kill_times[event.whom].append(event.at)
    for record in records_by_type[Began]:
        if not isinstance(record, Began):
            continue
        callee = f"server:{record.server}"
        link_turns = [
            turn for turn in turns_by_connection[callee, record.port, record.turn] if turn.first <= record.at
        ]
        link_turn = link_turns[-1] if link_turns else None
        node = int(link_turn.caller.partition(":")[2]) if link_turn else -1
        attempt = Attempt(
            record,
            node,
            link_turn.first if link_turn else record.first,
            link_turn.delay if link_turn else 0.0,
        )
        end = ends_by_request.get((record.server, record.port, record.turn, record.id))
        if end is not None:
            attempt.ended_at, attempt.result = end.at, end.result
        for times in (close_times[callee, record.port], kill_times[callee]):
            # From its first byte on: a stopped server reads only afterwards what was given up meanwhile.
            next_index = bisect_right(times, attempt.started_at)
            if next_index < len(times):
                attempt.ended_at = min(attempt.ended_at, times[next_index])
        if record.id in trace.tries:
            trace.tries[record.id].attempts.append(attempt)
        else:
            trace.unmatched_attempts.append(attempt)
    for try_trace in trace.tries.values():
        try_trace.attempts.sort(key=lambda attempt: attempt.started_at)
