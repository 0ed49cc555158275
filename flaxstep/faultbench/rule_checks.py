"""The rules of the protocol page held against the story of a play: each breach with time, node, request and
server.

Figures are the scenario's; every limit is 50 ms longer on sockets. Where a process or a link was disturbed by
the rig itself, what it cost is nobody's breach: a killed node owes no answer, a cut one can't give any.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from flaxstep.faultbench.clients import CROSSED
from flaxstep.faultbench.farm_config import server_id
from flaxstep.faultbench.trace import FOREVER, Attempt, Trace, TryTrace
from flaxstep.simulator.scenario import ClassConfig, Rules, Scenario

SLACK = 50.0  # ms by which each limit is longer on sockets
LATE = 500.0  # ms after its time in which an answer earns nothing, and is not lost yet
NEWS = 6000.0  # ms after which news counts as told that may not have arrived
CALL = 1000.0  # ms after a call by staff from which it holds, with no answer too
MADE_UP = "served with what no job server made for it"  # nothing that the rig does excuses that
TOGETHER = 20.0  # ms that one process may see two things in the wrong order


class Breach(msgspec.Struct, frozen=True):
    """A broken rule. Node and server are -1, the request empty, where there is none."""

    rule: str
    at: float
    node: int
    request: str
    server: int
    what: str


Check = Callable[[Trace, Scenario], Iterator[Breach]]


def lost(story: Trace, scenario: Scenario) -> Iterator[Breach]:
    """Every request that a running node has taken gets one final answer in time."""
    for one in story.tries.values():
        asked, answered = one.asked, one.answered
        if answered is None:
            continue
        last = asked.due + LATE + SLACK + scenario.rules.answer_slack_ms
        what = ""
        if answered.status > 0 and answered.at > last:
            what = f"answered {answered.at - asked.due:.0f} ms after its time"
        elif answered.status == 200 and not answered.whole:
            what = MADE_UP
        elif answered.status == -1 and answered.at > last:
            what = "never answered"
        elif answered.status == 0:
            what = ended_unanswered(one)
        if what and what != MADE_UP and excused(story, one, max(answered.at, last)):
            continue
        if what:
            yield Breach("lost request", answered.at, one.node, asked.id, -1, what)


def ended_unanswered(one: TryTrace) -> str:
    """Why a connection that ended lost its request; nothing where it did not."""
    asked, answered = one.asked, one.answered
    assert answered is not None
    if answered.bytes:
        given = any(attempt.result == "ok" for attempt in one.attempts)
        return f"its answer broke off after {answered.bytes} bytes" if given else ""
    if asked.fresh or answered.at - asked.at < CROSSED:
        return ""  # failed, or an end that crossed the request
    return "its connection ended without an answer"


def excused(story: Trace, one: TryTrace, until: float) -> bool:
    """Whether its node did not run all the time, or could not reach the client."""
    if one.node < 0:
        return True
    start = one.asked.at
    return story.was_away(one.node, start, until) or story.disturbed(
        "front", f"node:{one.node}", start, until
    )


def alike(story: Trace, wanted: ClassConfig, one: int, other: int) -> bool:
    """Whether a repeat at the other server is dropped by the first one's group."""
    a, b = story.plan.servers[one], story.plan.servers[other]
    if wanted.group == "cell":
        return a.cell == b.cell
    return wanted.group == "all" or a.zone == b.zone


def duplicates(story: Trace, scenario: Scenario) -> Iterator[Breach]:
    """Nothing that may have run is repeated beyond its class, refused, or made up."""
    for attempt in story.strangers:
        yield breach("duplicate", attempt, "a request that no client sent")
    for one in story.tries.values():
        wanted = scenario.classes[one.asked.cls]
        if wanted.effect == "safe":
            continue
        ran: list[Attempt] = []
        for attempt in one.attempts:
            for before in ran:
                since = attempt.first - before.first
                if wanted.effect == "unsafe":
                    yield breach("duplicate", attempt, f"{wanted.name} ran at server {before.began.server}")
                elif since >= wanted.window_ms + SLACK:
                    yield breach("duplicate", attempt, f"{wanted.name} again after {since:.0f} ms")
                elif not alike(story, wanted, before.began.server, attempt.began.server):
                    yield breach("duplicate", attempt, f"{wanted.name} again in another group")
                else:
                    continue
                break
            if attempt.ran:
                ran.append(attempt)
        harmless = wanted.effect == "keyed" and wanted.group == "all"
        answered = one.answered
        if answered is None or answered.status not in (429, 503) or harmless:
            continue
        if ran and ran[0].began.at < answered.at:
            yield breach("duplicate", ran[0], "refused though it has run")


def together(story: Trace, scenario: Scenario) -> Iterator[Breach]:
    """One attempt out at a time, and no more than allowed."""
    for one in story.tries.values():
        for before, attempt in zip(one.attempts, one.attempts[1:], strict=False):
            if attempt.first < before.ended - TOGETHER:
                out = (
                    "to the end" if before.ended == FOREVER else f"{before.ended - attempt.first:.0f} ms more"
                )
                yield breach("two at once", attempt, f"one was out at server {before.began.server}, {out}")
        if len(one.attempts) > scenario.rules.max_attempts:
            last = one.attempts[scenario.rules.max_attempts]
            yield breach("attempts", last, f"{len(one.attempts)} attempts")


def drained(story: Trace, scenario: Scenario) -> Iterator[Breach]:
    """Nothing new to a server that drains or is gone, once the node was told and the grace is over."""
    for attempt in attempts(story):
        out_since = told_out(story, attempt, scenario.rules)
        if attempt.first > out_since:
            late = attempt.first - out_since
            yield breach("drain", attempt, f"{late:.0f} ms past the grace")


def told_out(story: Trace, attempt: Attempt, rules: Rules) -> float:
    """From when on the node's news forbade this attempt; never, if it did not."""
    started = [line.at for line in story.starts[attempt.node] if line.at <= attempt.first]
    out_since, server = FOREVER, attempt.began.server
    written = 0  # the newest version that was
    for told in story.told[attempt.node]:
        if told.at > attempt.first or (started and told.at < started[-1]):
            continue
        if told.assumed and told.version <= written:
            continue  # it has come meanwhile
        if not told.assumed:
            written = max(written, told.version)
        state = told.entries.get(server, "left" if told.whole else "")
        if state == "active":
            out_since = FOREVER
        elif state and out_since == FOREVER:
            heard = told.assumed or not story.disturbed(
                f"node:{attempt.node}", "discovery", told.at - 1, told.at + SLACK
            )
            out_since = told.at + (0.0 if heard else NEWS) + rules.drain_grace_ms + SLACK
    return out_since


def cordoned(story: Trace, scenario: Scenario) -> Iterator[Breach]:
    """Nothing new to a server that staff have taken out, from the node's yes until they call it back."""
    out: dict[tuple[int, str], list[tuple[float, float]]] = {}
    for line in story.happened:
        kind, _, number = line.whom.partition(":")
        if kind != "node":
            continue
        spans = out.setdefault((int(number), line.note), [])
        if line.what == "cordon yes" and (not spans or spans[-1][1] < FOREVER):
            spans.append((line.at, FOREVER))
        elif line.what in ("uncordon yes", "uncordon no") and spans:
            spans[-1] = (spans[-1][0], min(spans[-1][1], line.at - CALL))
        elif line.what == "started" and line.note == "empty folder":
            for (node, _), theirs in out.items():
                if node == int(number) and theirs:
                    theirs[-1] = (theirs[-1][0], min(theirs[-1][1], line.at))
    for attempt in attempts(story):
        for start, end in out.get((attempt.node, server_id(attempt.began.server)), ()):
            if start + SLACK < attempt.first < end:
                yield breach("cordon", attempt, f"{attempt.first - start:.0f} ms after the node's yes")


def pushed_over(story: Trace, scenario: Scenario) -> Iterator[Breach]:
    """No cold server is sent more than it can bear."""
    for fell in story.fell:
        yield Breach("cold server", fell.at, -1, "", fell.server, "sent more than it can bear, it fell over")


def attempts(story: Trace) -> Iterator[Attempt]:
    for one in story.tries.values():
        yield from one.attempts
    yield from story.strangers


def breach(rule: str, attempt: Attempt, what: str) -> Breach:
    began = attempt.began
    return Breach(rule, round(attempt.first, 3), attempt.node, began.id, began.server, what)


CHECKS: tuple[Check, ...] = (lost, duplicates, together, drained, cordoned, pushed_over)


def breaches(story: Trace, scenario: Scenario) -> list[Breach]:
    """All breaches of a play, in order of time."""
    found = [breach for check in CHECKS for breach in check(story, scenario)]
    return sorted(found, key=lambda breach: breach.at)
