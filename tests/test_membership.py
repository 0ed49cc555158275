"""How long a list may be used, by the rules of the pages on when a node counts as notified of a change."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flaxstep.routing.interface import (
    DiscoveryReach,
    Effect,
    LeaseState,
    ListKind,
    Reach,
    Refuse,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    Settings,
    State,
)
from flaxstep.routing.membership import WATCH_ENDS, MembershipLease
from flaxstep.routing.policy import Policy

GRACE = 500.0
CLASS = RequestClass(aim=1000.0, deadline=2000.0, worth=1.0, effect=Effect.SAFE)


def settings(pushed: bool = False, ask_within: float = 10000.0) -> Settings:
    return Settings(
        classes=(CLASS,), ask_for_list=not pushed, ask_within=ask_within, drain_grace=GRACE, max_attempts=2
    )


# Time, reach, and the start of the call if that was earlier.
Step = tuple[float, Reach] | tuple[float, Reach, float]
CONFIRMED, SILENT, BROKEN, STARTED = Reach.CONFIRMED, Reach.SILENT, Reach.BROKEN, Reach.STARTED
CLOSED = Reach.CLOSED
UNREACHABLE, MOVED, REFUSED, RESET = Reach.UNREACHABLE, Reach.MOVED, Reach.REFUSED, Reach.RESET
WAITING, NEWS_LOST, OWN_FAILURE = Reach.WAITING, Reach.NEWS_LOST, Reach.OWN_FAILURE
WATCH_BROKEN = [(0, CONFIRMED), (1000, BROKEN)]
OUTAGE = [(0, CONFIRMED), (1000, BROKEN), (1050, UNREACHABLE), (2500, UNREACHABLE), (4000, UNREACHABLE)]


def record_steps(lease: MembershipLease, steps: list[Step]) -> None:
    for at, reach, *since in steps:
        lease.record_reach(at, reach, since[0] if since else at)


@pytest.mark.parametrize(
    ("pushed", "ask_within", "steps", "end"),
    [
        (False, 1e4, [], math.inf),  # no state of discovery is reported: the simulator's lists are complete
        (False, 1e4, [(0, STARTED)], 5000),
        (True, 1e4, [(0, STARTED)], 0),
        (False, 1e4, [(0, CONFIRMED)], 6000),
        (True, 1e4, [(0, CONFIRMED)], 6000),
        (False, 1e4, [(0, CONFIRMED), (2500, SILENT), (2900, WAITING)], 6000),
        (True, 1e4, [(0, CONFIRMED), (2500, SILENT), (2900, WAITING)], 6000),
        (False, 1e4, WATCH_BROKEN, 6000),
        (False, 2e3, WATCH_BROKEN, 2000),  # the settings require a call sooner
        (True, 1e4, WATCH_BROKEN, 1000 + GRACE / 2),
        (True, 1e4, [*WATCH_BROKEN, (1100, CONFIRMED)], 7100),
        # Discovery is up and may have ended its watch instead of sending news: no failed call extends that.
        (False, 1e4, [(0, CONFIRMED), (1000, CLOSED)], 2500),
        (
            False,
            1e4,
            [(0, CONFIRMED), (1000, CLOSED), (1050, REFUSED), (1100, UNREACHABLE), (4100, REFUSED, 1200)],
            2500,
        ),
        (False, 1e4, [(0, CONFIRMED), (1000, CLOSED), (2000, CONFIRMED)], 8000),
        (True, 1e4, [(0, CONFIRMED), (1000, CLOSED)], 1000 + GRACE / 2),
        (True, 1e4, [(0, CONFIRMED), (1000, CLOSED), (1050, UNREACHABLE)], 1050 + GRACE / 2),
        # While discovery is down the list stays valid, counted from the latest proof of that.
        (False, 1e4, OUTAGE, 10000),
        (True, 1e4, OUTAGE, 4000 + GRACE / 2),
        (False, 1e4, [*OUTAGE, (4500, WAITING)], 10000),
        (False, 1e4, [*OUTAGE, (4500, RESET), (5000, WAITING)], 10000),
        (True, 1e4, [(0, STARTED), (50, UNREACHABLE)], 50 + GRACE / 2),
        # Calls that wait and are refused are a proof as well, for the time when they began.
        (False, 1e4, [*WATCH_BROKEN, (3000, REFUSED, 1050)], 7050),
        (False, 1e4, [*WATCH_BROKEN, (3000, REFUSED, 1050), (5100, REFUSED, 3100)], 9100),
        (True, 1e4, [*WATCH_BROKEN, (3000, REFUSED, 1050)], 1050 + GRACE / 2),
        (False, 1e4, [(0, STARTED), (2000, REFUSED, 10)], 6010),
        # One reset proves nothing, two in a row do. A call that waits in between shows that discovery is up.
        (False, 1e4, [*WATCH_BROKEN, (1050, RESET)], 6000),
        (False, 1e4, [*WATCH_BROKEN, (1050, RESET), (1150, RESET)], 7150),
        (False, 1e4, [*WATCH_BROKEN, (1050, RESET), (1500, WAITING), (2000, RESET)], 6000),
        # Failures of the node itself prove nothing, and after a gap no proof covers the time before it.
        (False, 1e4, [*WATCH_BROKEN, (1050, OWN_FAILURE), (2000, OWN_FAILURE), (4000, OWN_FAILURE)], 6000),
        (False, 1e4, [*WATCH_BROKEN, (1050, OWN_FAILURE), (4000, UNREACHABLE), (5000, UNREACHABLE)], 6000),
        (False, 1e4, [*WATCH_BROKEN, (1050, UNREACHABLE), (9000, UNREACHABLE)], 7050),
        # After silence, SIGHUP or lost news only a list or an empty line removes the expiry.
        (
            False,
            1e4,
            [(0, CONFIRMED), (2500, SILENT), (2600, UNREACHABLE), (2700, RESET), (2800, RESET)],
            6000,
        ),
        (False, 1e4, [(0, CONFIRMED), (2500, SILENT), (5500, REFUSED, 2550), (8500, REFUSED, 5600)], 6000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (1100, UNREACHABLE), (4000, REFUSED, 1200)], 5000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED)], 5000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (2000, MOVED), (3000, WAITING)], 5000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (3000, CONFIRMED)], 9000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (2000, CONFIRMED, 0)], 5000),  # from the old address
        # The address did not change.
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (3000, CONFIRMED, 0)], 9000),
        (False, 1e4, [(0, CONFIRMED), (1000, NEWS_LOST), (1100, UNREACHABLE)], 1000),
        (False, 1e4, [(0, CONFIRMED), (1000, NEWS_LOST), (1100, CONFIRMED)], 7100),
    ],
)
def test_the_lease_ends_when_the_node_may_count_as_notified_of_a_change(
    pushed: bool, ask_within: float, steps: list[Step], end: float
) -> None:
    lease = MembershipLease(settings(pushed, ask_within))
    record_steps(lease, steps)
    assert lease.expires == end
    if end < math.inf:
        assert not lease.is_valid(end) and lease.is_valid(end - 1)
        assert lease.compute_send_window(end - 100) == 100 + GRACE / 2 < 100 + GRACE


CALL_ENDS = st.sampled_from([RESET, UNREACHABLE, REFUSED, OWN_FAILURE, WAITING])
EVENTS = st.lists(
    st.tuples(
        st.integers(20, 3000),  # ms to the next event
        st.one_of(CALL_ENDS, st.sampled_from([CONFIRMED, SILENT, CLOSED, BROKEN, MOVED, NEWS_LOST])),
        st.integers(1, 3000),  # ms that a call took
    ),
    max_size=12,
)


class PagesModel:
    """Computes by the rules of the pages when the node counts as notified of a change made at any time."""

    def __init__(self, pushed: bool) -> None:
        self.pushed = pushed
        self.known = 0.0  # the node knows all changes that discovery had until then
        self.fixed = math.inf  # set by silence, SIGHUP and lost news
        self.down: list[tuple[float, float]] = []  # proven, from and until
        self.watched = True
        self.ended = False  # the watch, at a time that the node noticed
        self.resets = 0

    def note(self, at: float, reach: Reach, since: float) -> None:
        if reach is CONFIRMED:
            self.__init__(self.pushed)  # type: ignore[misc]
            self.known = at
        elif reach in (SILENT, CLOSED, BROKEN, NEWS_LOST):
            self.watched, self.ended = False, reach in (CLOSED, BROKEN)
            self.known = at if self.ended else self.known
            bound = {SILENT: self.known + 6000.0, NEWS_LOST: at}.get(reach, math.inf)
            if reach is CLOSED and not self.pushed:
                bound = at + 1500.0  # 2 s, and the end may be noticed late
            self.fixed = min(self.fixed, bound)
        elif reach is MOVED:
            self.fixed = min(self.fixed, at + 4000.0)
        elif reach is WAITING:
            self.resets = 0
        elif reach is RESET:
            self.resets += 1
            if self.resets > 1:
                self.down.append((since, at))
        elif reach is not OWN_FAILURE:
            self.down.append((since, at))

    def notified_at(self) -> float:
        """Return the earliest time at which the node may count as notified of a change unknown to it."""
        if not self.ended:
            return min(self.fixed, self.known + 6000.0)
        reachable = self.known
        for begin, end in self.down:  # in a period without proof discovery may have been up
            if begin - reachable > 2000.0:
                break
            reachable = end
        # It may be back right after the latest proof; a proof refers to the time at which its call began.
        latest = max((begin for begin, end in self.down if end <= reachable), default=self.known)
        return min(self.fixed, latest + (0.0 if self.pushed else 6000.0))


@given(st.booleans(), EVENTS)
def test_no_order_of_failures_extends_the_lease_beyond_the_rules(
    pushed: bool, events: list[tuple[int, Reach, int]]
) -> None:
    lease, model, now = MembershipLease(settings(pushed)), PagesModel(pushed), 0.0
    lease.record_reach(now, CONFIRMED, now)
    model.note(now, CONFIRMED, now)
    for wait, reach, call_ms in events:
        now += wait
        if reach in (SILENT, CLOSED, BROKEN, NEWS_LOST) and not model.watched:
            continue  # there is no watch to fail
        if reach in (RESET, UNREACHABLE, REFUSED, OWN_FAILURE, WAITING) and model.watched:
            continue  # no call is made during a watch
        since = max(now - call_ms, now - wait) if reach in (REFUSED, WAITING) else now
        lease.record_reach(now, reach, since)
        model.note(now, reach, since)
        assert lease.expires <= model.notified_at() + GRACE / 2


# Of a predecessor in the outage that began at 1000, seen at 4100: its list is good until 10000.
IN_OUTAGE = LeaseState(4100.0, 0.0, math.inf, -math.inf, 10000.0, 4000.0, -math.inf)
Act = Callable[[MembershipLease], None]


def reached(at: float, reach: Reach, since: float | None = None) -> Act:
    return lambda lease: lease.record_reach(at, reach, at if since is None else since)


def heard(**changes: float) -> Act:
    return lambda lease: lease.continue_from(replace(IN_OUTAGE, **changes))


def serving(at: float) -> Act:
    return lambda lease: lease.record_serving(at)


def ended(at: float, complete: bool) -> Act:
    return lambda lease: lease.record_predecessor_end(at, complete)


def seen(lease: MembershipLease) -> None:
    lease.record_predecessor()


START = reached(4100, STARTED)
UNHEARD = [START, seen, serving(4300)]
DOWN_AT_START = reached(4150, UNREACHABLE)


@pytest.mark.parametrize(
    ("pushed", "acts", "end"),
    [
        # The predecessor's list is used as long as it could have used it, and on while the outage is proven.
        (False, [START, seen, heard(), ended(4900, True)], 10000),
        (False, [START, seen, heard(unwatched_expiry=5000.0), ended(4900, True)], 5000),
        (False, [START, seen, DOWN_AT_START, heard(), ended(4900, True)], 10150),
        (False, [START, seen, heard(), DOWN_AT_START, ended(4900, True)], 10150),
        (False, [START, seen, heard(), ended(4900, True), reached(6500, UNREACHABLE)], 10000),  # a gap
        (False, [START, seen, DOWN_AT_START, heard(proven_until=1000.0, unwatched_expiry=7000.0)], 7000),
        (True, [START, seen, heard(unwatched_expiry=4250.0), DOWN_AT_START, ended(4900, True)], 4400),
        # Nothing was handed over, or not all: its news counts as told 2 s after this process is ready.
        (False, [*UNHEARD, DOWN_AT_START, reached(5500, UNREACHABLE)], 6300),
        (False, [*UNHEARD, heard()], 6300),
        (False, [*UNHEARD, heard(), heard(exported_at=7000.0)], 7000 + GRACE / 2),  # it goes on telling
        (True, [*UNHEARD, heard(), DOWN_AT_START], 4100 + GRACE / 2),
        (False, [*UNHEARD, heard(), ended(4900, False)], 6300),
        (False, [*UNHEARD, ended(4900, True), DOWN_AT_START], 10150),
        (True, [*UNHEARD, DOWN_AT_START], -math.inf),  # told from the start of a process
        # On an open watch all news comes here too. It covers what went before once the predecessor has ended.
        (False, [*UNHEARD, reached(4400, CONFIRMED)], 10400),
        (False, [*UNHEARD, reached(4400, CONFIRMED), reached(4500, BROKEN)], 6300),
        (False, [*UNHEARD, reached(4400, CONFIRMED), ended(4900, False), reached(5000, BROKEN)], 6300),
        (False, [*UNHEARD, ended(4900, False), reached(5000, CONFIRMED), reached(5100, BROKEN)], 11000),
        (False, [*UNHEARD, reached(6300, CONFIRMED), reached(6400, BROKEN)], 12300),
        (True, [*UNHEARD, reached(4400, CONFIRMED)], 10400),
        # Its doubts are shared, until the list has been confirmed after them.
        (False, [START, seen, heard(fixed_expiry=4500.0, limited_at=4000.0), DOWN_AT_START], 4500),
        (False, [START, heard(fixed_expiry=4500.0, limited_at=4000.0), reached(4400, CONFIRMED)], 10400),
        (False, [START, heard(moved_at=4090.0), reached(4400, CONFIRMED, 4000)], 10000),  # the old address
        (False, [START, heard(), heard(confirmed_at=5000.0, unwatched_expiry=11000.0)], 11000),
        (False, [START, reached(4400, NEWS_LOST), heard(confirmed_at=4300.0)], 4400),
        # Its watch may be one at the address from before SIGHUP, until that closes its connections.
        (False, [START, heard(), reached(4500, MOVED), heard(confirmed_at=6000.0)], 8500),
        (False, [START, heard(), reached(4500, MOVED), heard(confirmed_at=6300.0)], 10000),
        (False, [START, heard(), reached(4500, MOVED), heard(confirmed_at=6000.0, moved_at=4500.0)], 10000),
        (False, [START, reached(4400, NEWS_LOST), heard(confirmed_at=4500.0)], 10000),
    ],
)
def test_a_new_process_continues_the_lease_of_the_old_one(pushed: bool, acts: list[Act], end: float) -> None:
    lease = MembershipLease(settings(pushed))
    for act in acts:
        act(lease)
    assert lease.expires == end


@given(st.booleans(), EVENTS, st.integers(0, 3000))
def test_no_lease_is_longer_for_being_handed_over(
    pushed: bool, events: list[tuple[int, Reach, int]], wait: int
) -> None:
    old, new, now = MembershipLease(settings(pushed)), MembershipLease(settings(pushed)), 0.0
    old.record_reach(now, CONFIRMED, now)
    for gap, reach, call_ms in events:
        now += gap
        if reach in (CONFIRMED, MOVED) or (reach in WATCH_ENDS) == old.watch_open:  # no call during a watch
            old.record_reach(now, reach, max(now - call_ms, now - gap))
    now += wait
    new.record_reach(now, STARTED, now)
    new.record_predecessor()
    new.continue_from(old.export_state(now))
    new.record_predecessor_end(now, complete=True)
    assert new.expires <= old.expires
    if not pushed:  # a watch on which news are pushed is not handed over
        assert new.expires == old.expires


def policy_with_one_endpoint() -> Policy:
    policy = Policy(settings(), 1)
    entry = ServerEntry(id=7, zone=0, kind=0, cell=0, state=State.READY, size=1.0, started=0.0)
    policy.handle(0.0, ServerList(ListKind.FULL, 1, [entry]))
    policy.handle(0.0, DiscoveryReach(CONFIRMED))
    return policy


def test_requests_are_refused_and_not_failed_when_the_list_has_expired() -> None:
    policy = policy_with_one_endpoint()
    (sent,) = policy.handle(5990.0, Request(id=1, cls=0, due=7500.0))
    assert isinstance(sent, Send) and sent.within == 10.0 + GRACE / 2
    (refused,) = policy.handle(6000.0, Request(id=2, cls=0, due=7500.0))
    assert isinstance(refused, Refuse)
    policy.handle(6100.0, DiscoveryReach(CONFIRMED))
    (sent,) = policy.handle(6200.0, Request(id=3, cls=0, due=7500.0))
    assert isinstance(sent, Send)
