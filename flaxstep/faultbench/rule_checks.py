"""Checks the trace of a play against the rules of the protocol page; each breach names time, node, request
and server.

Limits are those of the scenario, each longer by SOCKET_SLACK_MS because the play runs on real sockets. What
follows from a fault that the bench itself caused is no breach: a node that was killed owes no response, and
one that was cut off can't send any.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from flaxstep.faultbench.clients import CROSSED_CLOSE_MS
from flaxstep.faultbench.farm_config import server_id
from flaxstep.faultbench.trace import FOREVER, Attempt, Trace, TryTrace
from flaxstep.simulator.scenario import ClassConfig, Rules, Scenario

SOCKET_SLACK_MS = 50.0  # added to each limit
LOST_AFTER_DUE_MS = 500.0  # a response that comes this long after its try is due counts as lost
UPDATE_ASSUMED_AFTER_MS = 6000.0  # a list update that may not have arrived counts as known after this
ADMIN_CALL_MS = 1000.0  # an uncordon may have taken effect this long before its outcome was recorded
FABRICATED_BODY = "served with what no job server made for it"  # never excused by a fault
ORDER_TOLERANCE_MS = 20.0  # two events may be recorded in the wrong order within this time


class Breach(msgspec.Struct, frozen=True):
    """One violation of a rule. Node and server are -1 and the request is empty where they don't apply."""

    rule: str
    at: float
    node: int
    request: str
    server: int
    what: str


Check = Callable[[Trace, Scenario], Iterator[Breach]]


def find_lost_requests(trace: Trace, scenario: Scenario) -> Iterator[Breach]:
    """Check that every request accepted by a running node gets one complete response in time."""
    for try_trace in trace.tries.values():
        sent, response = try_trace.sent, try_trace.response
        if response is None:
            continue
        latest = sent.due + LOST_AFTER_DUE_MS + SOCKET_SLACK_MS + scenario.rules.answer_slack_ms
        what = ""
        if response.status > 0 and response.at > latest:
            what = f"answered {response.at - sent.due:.0f} ms after its time"
        elif response.status == 200 and not response.whole:
            what = FABRICATED_BODY
        elif response.status == -1 and response.at > latest:
            what = "never answered"
        elif response.status == 0:
            what = describe_closed_connection(try_trace)
        if what and what != FABRICATED_BODY and is_excused(trace, try_trace, max(response.at, latest)):
            continue
        if what:
            yield Breach("lost request", response.at, try_trace.node, sent.id, -1, what)


def describe_closed_connection(try_trace: TryTrace) -> str:
    """How a request was lost with its connection, or an empty string if the close was permitted."""
    sent, response = try_trace.sent, try_trace.response
    assert response is not None
    if response.bytes:
        served = any(attempt.result == "ok" for attempt in try_trace.attempts)
        return f"its answer broke off after {response.bytes} bytes" if served else ""
    if sent.fresh or response.at - sent.at < CROSSED_CLOSE_MS:
        return ""  # never accepted, or the close crossed the request
    return "its connection ended without an answer"


def is_excused(trace: Trace, try_trace: TryTrace, until: float) -> bool:
    """Whether the node is unknown, was down, or was cut off from the client before the time `until`."""
    if try_trace.node < 0:
        return True
    start = try_trace.sent.at
    return trace.node_was_down(try_trace.node, start, until) or trace.link_was_disturbed(
        "front", f"node:{try_trace.node}", start, until
    )


def repeat_is_dropped(
    trace: Trace, request_class: ClassConfig, first_server: int, second_server: int
) -> bool:
    """Whether a repeat at the second server is dropped, since both are in one idempotency group."""
    first, second = trace.plan.servers[first_server], trace.plan.servers[second_server]
    if request_class.group == "cell":
        return first.cell == second.cell
    return request_class.group == "all" or first.zone == second.zone


def find_duplicates(trace: Trace, scenario: Scenario) -> Iterator[Breach]:
    """Check that no request that may have run is repeated where its class forbids it, or refused.

    Also reports requests that no client sent.
    """
    for attempt in trace.unmatched_attempts:
        yield attempt_breach("duplicate", attempt, "a request that no client sent")
    for try_trace in trace.tries.values():
        request_class = scenario.classes[try_trace.sent.cls]
        if request_class.effect == "safe":
            continue
        executed: list[Attempt] = []
        for attempt in try_trace.attempts:
            for earlier in executed:
                elapsed_ms = attempt.started_at - earlier.started_at
                if request_class.effect == "unsafe":
                    yield attempt_breach(
                        "duplicate", attempt, f"{request_class.name} ran at server {earlier.arrival.server}"
                    )
                elif elapsed_ms >= request_class.window_ms + SOCKET_SLACK_MS:
                    yield attempt_breach(
                        "duplicate", attempt, f"{request_class.name} again after {elapsed_ms:.0f} ms"
                    )
                elif not repeat_is_dropped(
                    trace, request_class, earlier.arrival.server, attempt.arrival.server
                ):
                    yield attempt_breach("duplicate", attempt, f"{request_class.name} again in another group")
                else:
                    continue
                break
            if attempt.was_executed:
                executed.append(attempt)
        repeat_is_harmless = request_class.effect == "keyed" and request_class.group == "all"
        response = try_trace.response
        if response is None or response.status not in (429, 503) or repeat_is_harmless:
            continue
        if executed and executed[0].arrival.at < response.at:
            yield attempt_breach("duplicate", executed[0], "refused though it has run")


def find_excess_attempts(trace: Trace, scenario: Scenario) -> Iterator[Breach]:
    """Check that a request has one attempt in flight at a time, and no more attempts than allowed."""
    for try_trace in trace.tries.values():
        for earlier, attempt in zip(try_trace.attempts, try_trace.attempts[1:], strict=False):
            if attempt.started_at < earlier.ended_at - ORDER_TOLERANCE_MS:
                remaining = (
                    "to the end"
                    if earlier.ended_at == FOREVER
                    else f"{earlier.ended_at - attempt.started_at:.0f} ms more"
                )
                yield attempt_breach(
                    "two at once", attempt, f"one was out at server {earlier.arrival.server}, {remaining}"
                )
        if len(try_trace.attempts) > scenario.rules.max_attempts:
            first_excess = try_trace.attempts[scenario.rules.max_attempts]
            yield attempt_breach("attempts", first_excess, f"{len(try_trace.attempts)} attempts")


def find_drain_breaches(trace: Trace, scenario: Scenario) -> Iterator[Breach]:
    """Check that no attempt goes to a server that drains or has left once its node's grace is over."""
    for attempt in all_attempts(trace):
        enforced_from = drain_enforced_from(trace, attempt, scenario.rules)
        if attempt.started_at > enforced_from:
            late_ms = attempt.started_at - enforced_from
            yield attempt_breach("drain", attempt, f"{late_ms:.0f} ms past the grace")


def drain_enforced_from(trace: Trace, attempt: Attempt, rules: Rules) -> float:
    """When the node's list began to forbid this attempt, with the grace; FOREVER if it did not."""
    started = [event.at for event in trace.node_starts[attempt.node] if event.at <= attempt.started_at]
    enforced_from, server = FOREVER, attempt.arrival.server
    newest_written = 0  # newest list version that discovery wrote to the node
    for update in trace.list_updates[attempt.node]:
        if update.at > attempt.started_at or (started and update.at < started[-1]):
            continue
        if update.assumed and update.version <= newest_written:
            continue  # this version or a newer one was written meanwhile
        if not update.assumed:
            newest_written = max(newest_written, update.version)
        state = update.entries.get(server, "left" if update.whole else "")
        if state == "active":
            enforced_from = FOREVER
        elif state and enforced_from == FOREVER:
            received = update.assumed or not trace.link_was_disturbed(
                f"node:{attempt.node}", "discovery", update.at - 1, update.at + SOCKET_SLACK_MS
            )
            enforced_from = (
                update.at
                + (0.0 if received else UPDATE_ASSUMED_AFTER_MS)
                + rules.drain_grace_ms
                + SOCKET_SLACK_MS
            )
    return enforced_from


def find_cordon_breaches(trace: Trace, scenario: Scenario) -> Iterator[Breach]:
    """Check that no attempt goes to a cordoned server, from the node's confirmation until it is uncordoned.

    A node that starts with an empty folder has forgotten its cordons.
    """
    cordons: dict[tuple[int, str], list[tuple[float, float]]] = {}
    for event in trace.events:
        kind, _, number = event.whom.partition(":")
        if kind != "node":
            continue
        spans = cordons.setdefault((int(number), event.note), [])
        if event.what == "cordon yes" and (not spans or spans[-1][1] < FOREVER):
            spans.append((event.at, FOREVER))
        elif event.what in ("uncordon yes", "uncordon no") and spans:
            spans[-1] = (spans[-1][0], min(spans[-1][1], event.at - ADMIN_CALL_MS))
        elif event.what == "started" and event.note == "empty folder":
            for (node, _), node_spans in cordons.items():
                if node == int(number) and node_spans:
                    node_spans[-1] = (node_spans[-1][0], min(node_spans[-1][1], event.at))
    for attempt in all_attempts(trace):
        for start, end in cordons.get((attempt.node, server_id(attempt.arrival.server)), ()):
            if start + SOCKET_SLACK_MS < attempt.started_at < end:
                yield attempt_breach(
                    "cordon", attempt, f"{attempt.started_at - start:.0f} ms after the node's yes"
                )


def find_overloaded_cold_servers(trace: Trace, scenario: Scenario) -> Iterator[Breach]:
    """Check that no cold server is sent more than it can bear."""
    for failure in trace.overload_failures:
        yield Breach(
            "cold server", failure.at, -1, "", failure.server, "sent more than it can bear, it fell over"
        )


def all_attempts(trace: Trace) -> Iterator[Attempt]:
    """The attempts of all tries, then those that belong to none."""
    for try_trace in trace.tries.values():
        yield from try_trace.attempts
    yield from trace.unmatched_attempts


def attempt_breach(rule: str, attempt: Attempt, what: str) -> Breach:
    """A breach at the time, node, request and server of an attempt."""
    arrival = attempt.arrival
    return Breach(rule, round(attempt.started_at, 3), attempt.node, arrival.id, arrival.server, what)


CHECKS: tuple[Check, ...] = (
    find_lost_requests,
    find_duplicates,
    find_excess_attempts,
    find_drain_breaches,
    find_cordon_breaches,
    find_overloaded_cold_servers,
)


def find_breaches(trace: Trace, scenario: Scenario) -> list[Breach]:
    """Run all checks; the breaches are in order of time."""
    found = [breach for check in CHECKS for breach in check(trace, scenario)]
    return sorted(found, key=lambda breach: breach.at)
