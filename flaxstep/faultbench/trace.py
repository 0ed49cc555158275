"""Joins the records of a play: each client try with its node and response, each attempt with its end.

No process sees a whole request. The links record when a node wrote a request and closed a connection, job
servers which requests arrived and when they ended, clients their tries and responses, the frontend balancer
the node of each connection, discovery the lists it sent, and the fault bench what it did to the processes.
All times are ms since the play began.
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
    """A request that arrived whole at a job server."""

    arrival: Began
    node: int  # -1 if unknown
    started_at: float  # first byte from the node
    link_delay_ms: float  # added by the link on the way to the server
    ended_at: float = FOREVER  # done at the server, closed by the node or killed
    result: str = ""

    @property
    def was_executed(self) -> bool:
        """Whether the server executed it: it was neither rejected as full nor dropped as a repeat."""
        return self.result != "full" and not self.arrival.repeat


@dataclass(slots=True)
class TryTrace:
    """A try of a client that was written whole, with its response and the attempts made for it."""

    sent: Asked
    node: int
    response: Answered | None = None
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Span:
    """A time span in ms."""

    start: float
    end: float = FOREVER

    def overlaps(self, start: float, end: float) -> bool:
        return self.start < end and start < self.end


@dataclass(slots=True)
class Trace:
    """The joined records of a play. Dicts of lists are by node or by server, each list in order of time."""

    plan: Plan
    tries: dict[str, TryTrace] = field(default_factory=dict)  # by request id
    unmatched_attempts: list[Attempt] = field(default_factory=list)  # with a request id that no client sent
    list_updates: dict[int, list[Told]] = field(default_factory=lambda: defaultdict(list))
    events: list[Happened] = field(default_factory=list)
    overload_failures: list[Fell] = field(default_factory=list)
    load_samples: dict[int, list[Held]] = field(default_factory=lambda: defaultdict(list))
    faults: list[tuple[LinkFault, Span]] = field(default_factory=list)
    node_downtimes: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))
    node_starts: dict[int, list[Happened]] = field(default_factory=lambda: defaultdict(list))
    regions: dict[str, list[int]] = field(default_factory=dict)

    def link_was_disturbed(self, caller: str, callee: str, start: float, end: float) -> bool:
        """Whether a fault affected the link between two processes at some time from start to end."""
        ends = [set(process_names(name, self.plan, self.regions)) for name in (caller, callee)]
        return any(
            any(fault.affected_directions(*ends)) and span.overlaps(start, end) for fault, span in self.faults
        )

    def node_was_down(self, node: int, start: float, end: float) -> bool:
        """Whether a node was down at some time from start to end: killed, stopped or asked to terminate."""
        return any(span.overlaps(start, end) for span in self.node_downtimes[node])


def build_trace(records: Iterable[Record], plan: Plan, regions: dict[str, list[int]]) -> Trace:
    """Join the records of a play, given in any order."""
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
    """Collect the time span of each link fault."""
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
        trace.faults.append((LinkFault(spec), open_spans[key]))


def collect_node_downtimes(trace: Trace) -> None:
    """Collect when each node was down; one that was asked to terminate is down until it is ready again."""
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
    """Join each try with the node of its connection and with its first response."""
    assignments: dict[tuple[int, int], list[Dealt]] = defaultdict(list)
    for record in records_by_type[Dealt]:
        if isinstance(record, Dealt):
            assignments[record.zone, record.port].append(record)
    for record in records_by_type[Asked]:
        if isinstance(record, Asked):
            candidates = assignments[record.zone, record.port]
            earlier = [dealt for dealt in candidates if dealt.at <= record.at]
            # The kernel accepts a connection and its first request before the balancer assigns it to a node.
            assignment = next(iter(earlier[-1:] or candidates), None)
            trace.tries[record.id] = TryTrace(record, assignment.node if assignment else -1)
    for record in records_by_type[Answered]:
        if isinstance(record, Answered) and record.id in trace.tries:
            try_trace = trace.tries[record.id]
            try_trace.response = try_trace.response or record


def add_attempts(trace: Trace, records_by_type: dict[type, list[Record]]) -> None:
    """Join each request at a job server with the link it came over, its end and the try it belongs to."""
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
            # Counted from the first byte, not from the arrival: a stopped server reads a request only after
            # it goes on, and the node may have closed the connection before.
            next_index = bisect_right(times, attempt.started_at)
            if next_index < len(times):
                attempt.ended_at = min(attempt.ended_at, times[next_index])
        if record.id in trace.tries:
            trace.tries[record.id].attempts.append(attempt)
        else:
            trace.unmatched_attempts.append(attempt)
    for try_trace in trace.tries.values():
        try_trace.attempts.sort(key=lambda attempt: attempt.started_at)
