"""How long a list may be routed by, as the pages count what is told."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flaxstep.routing.interface import (
    DiscoveryReach,
    Effect,
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
from flaxstep.routing.membership import MembershipLease
from flaxstep.routing.policy import Policy

GRACE = 500.0
CLASS = RequestClass(aim=1000.0, deadline=2000.0, worth=1.0, effect=Effect.SAFE)


def settings(pushed: bool = False, ask_within: float = 10000.0) -> Settings:
    return Settings(
        classes=(CLASS,), ask_for_list=not pushed, ask_within=ask_within, drain_grace=GRACE, max_attempts=2
    )


Step = tuple[float, Reach] | tuple[float, Reach, float]  # at, what, and when its call began if not just then
CONFIRMED, SILENT, BROKEN, STARTED = Reach.CONFIRMED, Reach.SILENT, Reach.BROKEN, Reach.STARTED
CLOSED = Reach.CLOSED
DOWN, MOVED, REFUSED, RESET = Reach.UNREACHABLE, Reach.MOVED, Reach.REFUSED, Reach.RESET
WAITING, LOST, OWN = Reach.WAITING, Reach.NEWS_LOST, Reach.OWN_FAILURE
BEGUN = [(0, CONFIRMED), (1000, BROKEN)]
OUTAGE = [(0, CONFIRMED), (1000, BROKEN), (1050, DOWN), (2500, DOWN), (4000, DOWN)]


def play(lease: MembershipLease, steps: list[Step]) -> None:
    for at, reach, *since in steps:
        lease.record_reach(at, reach, since[0] if since else at)


@pytest.mark.parametrize(
    ("pushed", "ask_within", "steps", "end"),
    [
        (False, 1e4, [], math.inf),  # nobody tells of discovery: the simulator's lists leave nothing out
        (False, 1e4, [(0, STARTED)], 5000),
        (True, 1e4, [(0, STARTED)], 0),
        (False, 1e4, [(0, CONFIRMED)], 6000),
        (True, 1e4, [(0, CONFIRMED)], 6000),
        (False, 1e4, [(0, CONFIRMED), (2500, SILENT), (2900, WAITING)], 6000),
        (True, 1e4, [(0, CONFIRMED), (2500, SILENT), (2900, WAITING)], 6000),
        (False, 1e4, BEGUN, 6000),
        (False, 2e3, BEGUN, 2000),  # the settings give less for asking
        (True, 1e4, BEGUN, 1000 + GRACE / 2),
        (True, 1e4, [*BEGUN, (1100, CONFIRMED)], 7100),
        # Discovery is there, and may have ended its watch in place of news: no failed call lengthens that.
        (False, 1e4, [(0, CONFIRMED), (1000, CLOSED)], 2500),
        (
            False,
            1e4,
            [(0, CONFIRMED), (1000, CLOSED), (1050, REFUSED), (1100, DOWN), (4100, REFUSED, 1200)],
            2500,
        ),
        (False, 1e4, [(0, CONFIRMED), (1000, CLOSED), (2000, CONFIRMED)], 8000),
        (True, 1e4, [(0, CONFIRMED), (1000, CLOSED)], 1000 + GRACE / 2),
        (True, 1e4, [(0, CONFIRMED), (1000, CLOSED), (1050, DOWN)], 1050 + GRACE / 2),
        # While discovery is down the list holds, from the latest proof of that and as long as a change could.
        (False, 1e4, OUTAGE, 10000),
        (True, 1e4, OUTAGE, 4000 + GRACE / 2),
        (False, 1e4, [*OUTAGE, (4500, WAITING)], 10000),
        (False, 1e4, [*OUTAGE, (4500, RESET), (5000, WAITING)], 10000),
        (True, 1e4, [(0, STARTED), (50, DOWN)], 50 + GRACE / 2),
        # Calls that wait and are refused prove as much, by when they began.
        (False, 1e4, [*BEGUN, (3000, REFUSED, 1050)], 7050),
        (False, 1e4, [*BEGUN, (3000, REFUSED, 1050), (5100, REFUSED, 3100)], 9100),
        (True, 1e4, [*BEGUN, (3000, REFUSED, 1050)], 1050 + GRACE / 2),
        (False, 1e4, [(0, STARTED), (2000, REFUSED, 10)], 6010),
        # One reset proves nothing, two in a row do; a call that waits between them shows who is there.
        (False, 1e4, [*BEGUN, (1050, RESET)], 6000),
        (False, 1e4, [*BEGUN, (1050, RESET), (1150, RESET)], 7150),
        (False, 1e4, [*BEGUN, (1050, RESET), (1500, WAITING), (2000, RESET)], 6000),
        # What fails in the node itself proves nothing, and after a gap no proof speaks of what was before it.
        (False, 1e4, [*BEGUN, (1050, OWN), (2000, OWN), (4000, OWN)], 6000),
        (False, 1e4, [*BEGUN, (1050, OWN), (4000, DOWN), (5000, DOWN)], 6000),
        (False, 1e4, [*BEGUN, (1050, DOWN), (9000, DOWN)], 7050),
        # After silence, SIGHUP or lost news only a list or an empty line ends the time.
        (False, 1e4, [(0, CONFIRMED), (2500, SILENT), (2600, DOWN), (2700, RESET), (2800, RESET)], 6000),
        (False, 1e4, [(0, CONFIRMED), (2500, SILENT), (5500, REFUSED, 2550), (8500, REFUSED, 5600)], 6000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (1100, DOWN), (4000, REFUSED, 1200)], 5000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED)], 5000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (2000, MOVED), (3000, WAITING)], 5000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (3000, CONFIRMED)], 9000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (2000, CONFIRMED, 0)], 5000),  # of the old address
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (3000, CONFIRMED, 0)], 9000),  # it was not moved at all
        (False, 1e4, [(0, CONFIRMED), (1000, LOST), (1100, DOWN)], 1000),
        (False, 1e4, [(0, CONFIRMED), (1000, LOST), (1100, CONFIRMED)], 7100),
    ],
)
def test_the_lease_ends_when_a_change_may_count_as_told(
    pushed: bool, ask_within: float, steps: list[Step], end: float
) -> None:
    lease = MembershipLease(settings(pushed, ask_within))
    play(lease, steps)
    assert lease.expires == end
    if end < math.inf:
        assert not lease.is_valid(end) and lease.is_valid(end - 1)
        assert lease.compute_send_window(end - 100) == 100 + GRACE / 2 < 100 + GRACE


CALL_ENDS = st.sampled_from([RESET, DOWN, REFUSED, OWN, WAITING])
DRAWN = st.lists(
    st.tuples(
        st.integers(20, 3000),  # ms to the next event
        st.one_of(CALL_ENDS, st.sampled_from([CONFIRMED, SILENT, CLOSED, BROKEN, MOVED, LOST])),
        st.integers(1, 3000),  # ms that a call took
    ),
    max_size=12,
)


class PagesModel:
    """When a change made at some moment counts as told, by the pages, from all that has happened so far."""

    def __init__(self, pushed: bool) -> None:
        self.pushed = pushed
        self.known = 0.0  # all that discovery had until then is known
        self.fixed = math.inf  # silence, SIGHUP, lost news
        self.down: list[tuple[float, float]] = []  # proven
        self.watched = True
        self.ended = False  # the watch, at a moment that the node saw
        self.resets = 0

    def note(self, at: float, reach: Reach, since: float) -> None:
        if reach is CONFIRMED:
            self.__init__(self.pushed)  # type: ignore[misc]
            self.known = at
        elif reach in (SILENT, CLOSED, BROKEN, LOST):
            self.watched, self.ended = False, reach in (CLOSED, BROKEN)
            self.known = at if self.ended else self.known
            bound = {SILENT: self.known + 6000.0, LOST: at}.get(reach, math.inf)
            if reach is CLOSED and not self.pushed:
                bound = at + 1500.0  # 2 s, and the end may be seen late
            self.fixed = min(self.fixed, bound)
        elif reach is MOVED:
            self.fixed = min(self.fixed, at + 4000.0)
        elif reach is WAITING:
            self.resets = 0
        elif reach is RESET:
            self.resets += 1
            if self.resets > 1:
                self.down.append((since, at))
        elif reach is not OWN:
            self.down.append((since, at))

    def told(self) -> float:
        """The earliest time at which a change that the node can't know of may count as told."""
        if not self.ended:
            return min(self.fixed, self.known + 6000.0)
        reachable = self.known
        for begin, end in self.down:  # a span without proof is one in which discovery may have been there
            if begin - reachable > 2000.0:
                break
            reachable = end
        # It may be back at once after the latest proof; a proof speaks of the time at which its call began.
        latest = max((begin for begin, end in self.down if end <= reachable), default=self.known)
        return min(self.fixed, latest + (0.0 if self.pushed else 6000.0))


@given(st.booleans(), DRAWN)
def test_no_order_of_failures_lengthens_the_lease_beyond_what_counts_as_told(
    pushed: bool, drawn: list[tuple[int, Reach, int]]
) -> None:
    lease, model, now = MembershipLease(settings(pushed)), PagesModel(pushed), 0.0
    lease.record_reach(now, CONFIRMED, now)
    model.note(now, CONFIRMED, now)
    for wait, reach, took in drawn:
        now += wait
        if reach in (SILENT, CLOSED, BROKEN, LOST) and not model.watched:
            continue  # there is no watch that could
        if reach in (RESET, DOWN, REFUSED, OWN, WAITING) and model.watched:
            continue  # no call is made beside a watch
        since = max(now - took, now - wait) if reach in (REFUSED, WAITING) else now
        lease.record_reach(now, reach, since)
        model.note(now, reach, since)
        assert lease.expires <= model.told() + GRACE / 2


def policy_with_one_endpoint() -> Policy:
    policy = Policy(settings(), 1)
    entry = ServerEntry(id=7, zone=0, kind=0, cell=0, state=State.READY, size=1.0, started=0.0)
    policy.handle(0.0, ServerList(ListKind.FULL, 1, [entry]))
    policy.handle(0.0, DiscoveryReach(CONFIRMED))
    return policy


def test_nothing_is_sent_by_a_list_that_has_run_out_and_trying_again_does_no_harm() -> None:
    policy = policy_with_one_endpoint()
    (sent,) = policy.handle(5990.0, Request(id=1, cls=0, due=7500.0))
    assert isinstance(sent, Send) and sent.within == 10.0 + GRACE / 2
    (refused,) = policy.handle(6000.0, Request(id=2, cls=0, due=7500.0))
    assert isinstance(refused, Refuse)
    policy.handle(6100.0, DiscoveryReach(CONFIRMED))
    (sent,) = policy.handle(6200.0, Request(id=3, cls=0, due=7500.0))
    assert isinstance(sent, Send)
