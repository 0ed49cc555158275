"""How long a list may be routed by, as the pages count what is told."""

from __future__ import annotations

import math

import pytest

from cottonhall.interface import (
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
from cottonhall.membership import MembershipLease
from cottonhall.rules import Policy

GRACE = 500.0
CLASS = RequestClass(aim=1000.0, deadline=2000.0, worth=1.0, effect=Effect.SAFE)


def settings(pushed: bool = False, ask_within: float = 10000.0) -> Settings:
    return Settings(
        classes=(CLASS,), ask_for_list=not pushed, ask_within=ask_within, drain_grace=GRACE, max_attempts=2
    )


WAITED = 2000.0  # ms of a call that was refused
Step = tuple[float, Reach]
CONFIRMED, SILENT, ENDED = Reach.CONFIRMED, Reach.SILENT, Reach.INTERRUPTED
DOWN, MOVED, STARTED, REFUSED = Reach.UNREACHABLE, Reach.MOVED, Reach.STARTED, Reach.REFUSED


@pytest.mark.parametrize(
    ("pushed", "ask_within", "steps", "end"),
    [
        (False, 1e4, [], math.inf),  # nobody tells of discovery: the simulator's lists leave nothing out
        (False, 1e4, [(0, STARTED)], 5000),
        (True, 1e4, [(0, STARTED)], 0),
        (True, 1e4, [(0, STARTED), (50, DOWN)], math.inf),
        (False, 1e4, [(0, CONFIRMED)], 6000),
        (True, 1e4, [(0, CONFIRMED)], 6000),
        (False, 1e4, [(0, CONFIRMED), (2500, SILENT), (2900, ENDED)], 6000),
        (True, 1e4, [(0, CONFIRMED), (2500, SILENT), (2900, ENDED)], 6000),
        (False, 1e4, [(0, CONFIRMED), (1000, ENDED)], 6000),
        (False, 2e3, [(0, CONFIRMED), (1000, ENDED)], 2000),  # the settings give less for asking
        (True, 1e4, [(0, CONFIRMED), (1000, ENDED)], 1000 + GRACE / 2),
        (True, 1e4, [(0, CONFIRMED), (1000, ENDED), (1100, CONFIRMED)], 7100),
        (False, 1e4, [(0, CONFIRMED), (1000, ENDED), (1050, DOWN), (9000, DOWN)], math.inf),
        (False, 1e4, [(0, CONFIRMED), (1000, ENDED), (9000, DOWN), (9400, ENDED)], 15000),
        (True, 1e4, [(0, CONFIRMED), (1000, ENDED), (9000, DOWN), (9400, ENDED)], 15000),
        # An outage whose calls wait and are refused: the list holds 6 s from the start of the last one.
        (False, 1e4, [(0, CONFIRMED), (1000, ENDED), (3000, REFUSED), (3400, ENDED)], 7000),
        (False, 1e4, [(0, CONFIRMED), (1000, ENDED), (3000, REFUSED), (5100, REFUSED)], 9100),
        (True, 1e4, [(0, CONFIRMED), (1000, ENDED), (3000, REFUSED), (3400, ENDED)], 7000),
        (True, 1e4, [(0, STARTED), (300, ENDED), (2000, REFUSED)], 6000),
        # After silence or SIGHUP the clock runs on through a refusal, but not through an outage.
        (False, 1e4, [(0, CONFIRMED), (2500, SILENT), (5500, REFUSED)], 6000),
        (False, 1e4, [(0, CONFIRMED), (2500, SILENT), (5500, REFUSED), (8500, REFUSED)], 12500),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (4000, REFUSED)], 5000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED)], 5000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (2000, MOVED), (3000, ENDED)], 5000),
        (False, 1e4, [(0, CONFIRMED), (1000, MOVED), (3000, CONFIRMED)], 9000),
    ],
)
def test_the_lease_ends_when_a_change_may_count_as_told(
    pushed: bool, ask_within: float, steps: list[Step], end: float
) -> None:
    lease = MembershipLease(settings(pushed, ask_within))
    for at, reach in steps:
        lease.note(at, reach, at - WAITED)
    assert lease.expires == end
    if end < math.inf:
        assert not lease.valid(end) and lease.valid(end - 1)
        assert lease.send_within(end - 100) == 100 + GRACE / 2 < 100 + GRACE


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
