"""The six rules under random legal events, asserted from outside by the stage."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, seed
from hypothesis import settings as profile
from hypothesis import strategies as st

from flaxstep.routing.interface import (
    Effect,
    Group,
    ListKind,
    RequestClass,
    Result,
    ServerList,
    State,
    Subscribe,
    Withdrawn,
)
from tests.support import KEYED, SAFE, UNSAFE, PolicyHarness, make_server_entry, make_settings

ZONED = replace(KEYED, group=Group.ZONE, window=300.0)
CELLED = replace(KEYED, group=Group.CELL, window=300.0)
LATE = RequestClass(aim=200.0, deadline=1000.0, worth=3.0, effect=Effect.SAFE, late_value=0.5)
ORDERED = replace(UNSAFE, in_order=True)
ORDERED_TOO = replace(SAFE, in_order=True)
CLASSES = (SAFE, KEYED, UNSAFE, ZONED, CELLED, LATE, ORDERED, ORDERED_TOO)

STEP = st.tuples(st.integers(0, 9), st.integers(0, 10**6))


@seed(7)
@profile(max_examples=150, deadline=None, derandomize=True, database=None)
@given(
    steps=st.lists(STEP, max_size=120),
    cancel=st.booleans(),
    ask=st.booleans(),
    warm=st.booleans(),
    quotas=st.booleans(),
    no_proof=st.booleans(),
    rest=st.sampled_from([0.0, 40.0, 2000.0]),
    count=st.integers(0, 9),
)
def test_rules_hold_for_any_legal_events(
    steps: list[tuple[int, int]],
    cancel: bool,
    ask: bool,
    warm: bool,
    quotas: bool,
    no_proof: bool,
    rest: float,
    count: int,
) -> None:
    config = make_settings(
        classes=CLASSES,
        may_cancel=cancel,
        ask_for_list=ask,
        warm_keys=warm,
        quotas=(5.0, 50.0) if quotas else (),
        over_quota_worth=0.1,
        full_may_have_run=no_proof,
        key_rest=rest,
    )
    harness = PolicyHarness(config, seed=len(steps), servers=count)
    results = [Result.OK, Result.ERROR, Result.FULL, Result.UNREACHABLE, Result.RESET, Result.NOT_SENT]
    for what, number in steps:
        if what <= 3:
            due = (2.0, 90.0, 900.0)[number % 3]
            harness.send_request(
                number % len(CLASSES), due, key=number % 5, tenant=number % 2 if quotas else 0
            )
        elif what <= 6 and harness.open_attempts:
            attempt = sorted(harness.open_attempts)[number % len(harness.open_attempts)]
            harness.report_outcome(*attempt, results[number % len(results)])
        elif what == 7:
            harness.advance_time(float(number % 400))
        elif what == 8 and harness.pending_requests:
            harness.withdraw_request(sorted(harness.pending_requests)[number % len(harness.pending_requests)])
        else:
            entry = make_server_entry(
                number % 12, list(State)[number % 3], harness.now if number % 7 == 0 else 0.0
            )
            kind = (ListKind.DELTA, ListKind.FULL, ListKind.FAILED)[number % 3]
            if kind is ListKind.FULL:
                entry = replace(entry, state=State.READY)
            if kind is ListKind.FAILED and ask:
                harness.dispatch_event(ServerList(ListKind.FAILED, 0, []))
            elif kind is not ListKind.FAILED:
                harness.send_list([entry], kind)
    harness.advance_time(1000.0)
    assert not harness.pending_requests
    assert set(harness.final_responses) == set(harness.requests)


@pytest.mark.parametrize("cls", range(len(CLASSES)))
def test_answers_when_no_server_is_ready(cls: int) -> None:
    harness = PolicyHarness(make_settings(classes=CLASSES), servers=0)
    number = harness.send_request(cls)
    harness.advance_time(1000.0)
    assert harness.final_responses[number] == "refused"


def test_answers_when_all_attempts_are_used() -> None:
    harness = PolicyHarness(make_settings(max_attempts=2))
    number = harness.send_request(2)
    while harness.open_attempts:
        harness.report_outcome(*next(iter(harness.open_attempts)), Result.FULL)
    assert len(harness.attempts[number]) <= 2
    assert harness.final_responses[number] == "refused"


def test_unsafe_request_that_may_have_run_fails_and_is_never_sent_again() -> None:
    for result in (Result.ERROR, Result.RESET, Result.TIMEOUT):
        harness = PolicyHarness(make_settings())
        number = harness.send_request(2)
        harness.report_outcome(number, 0, result)
        assert harness.final_responses[number] == "failed"
        assert len(harness.attempts[number]) == 1


def test_drained_server_gets_nothing_from_the_moment_the_list_says_so() -> None:
    harness = PolicyHarness(make_settings(), servers=2)
    harness.send_list([make_server_entry(0, State.DRAINING)])
    for _ in range(30):
        harness.send_request(0)
    assert {entry.id for sends in harness.attempts.values() for _, entry in sends} == {1}


def test_whole_list_that_omits_a_server_drops_it() -> None:
    harness = PolicyHarness(make_settings(), servers=2)
    harness.send_list([make_server_entry(1)], ListKind.FULL)
    for _ in range(30):
        harness.send_request(0)
    assert {entry.id for sends in harness.attempts.values() for _, entry in sends} == {1}


def test_full_is_no_proof_where_the_settings_say_so() -> None:
    # 'full' was always taken as proof: buys went out twice (busan-tickets, simulated: 'duplicate' on 6 days).
    for no_proof, attempts, answer in ((False, 4, "refused"), (True, 1, "failed")):
        harness = PolicyHarness(make_settings(classes=(UNSAFE,), full_may_have_run=no_proof))
        number = harness.send_request()
        while harness.open_attempts:
            harness.report_outcome(*next(iter(harness.open_attempts)), Result.FULL)
        assert (len(harness.attempts[number]), harness.final_responses[number]) == (attempts, answer)


def test_keyed_request_turned_away_without_proof_stays_in_its_zone() -> None:
    harness = PolicyHarness(
        make_settings(classes=(replace(ZONED, window=5000.0),), full_may_have_run=True), servers=9
    )
    for _ in range(40):
        number = harness.send_request()
        while (number, len(harness.attempts[number]) - 1) in harness.open_attempts:
            harness.report_outcome(number, len(harness.attempts[number]) - 1, Result.FULL)
        assert harness.final_responses[number] == "failed"


def ordered(**changes: object) -> PolicyHarness:
    return PolicyHarness(make_settings(classes=(ORDERED, ORDERED_TOO, UNSAFE), **changes))


def test_requests_of_a_key_run_one_at_a_time_in_order() -> None:
    # Keyed order was not known at all (central-rehearsal, simulated: 'order' broken on every day).
    harness = ordered()
    line = [harness.send_request(step % 2, key=7) for step in range(3)]
    other, free = harness.send_request(0, key=8), harness.send_request(2, key=7)
    assert [len(harness.attempts[n]) for n in [*line, other, free]] == [1, 0, 0, 1, 1]
    harness.report_outcome(line[0], 0, Result.OK)
    assert [len(harness.attempts[n]) for n in line] == [1, 1, 0]
    harness.withdraw_request(line[2])  # from the middle of the line
    last = harness.send_request(0, key=7)
    harness.report_outcome(line[1], 0, Result.OK)
    assert len(harness.attempts[last]) == 1


def test_requests_without_a_key_do_not_wait() -> None:
    harness = ordered()
    assert all(harness.attempts[harness.send_request(0, key=0)] for _ in range(4))


def test_next_of_a_key_waits_for_open_attempts_of_a_finished_request() -> None:
    harness = ordered(may_cancel=False)
    first, second = harness.send_request(0, key=7), harness.send_request(0, key=7)
    harness.withdraw_request(first)
    assert not harness.attempts[second]
    harness.report_outcome(first, 0, Result.ERROR)
    assert len(harness.attempts[second]) == 1


@pytest.mark.parametrize("result", [Result.RESET, Result.TIMEOUT, Result.CANCELLED])
def test_key_rests_after_an_attempt_that_may_run_on(result: Result) -> None:
    harness = ordered(key_rest=120.0)
    first, second = harness.send_request(0, key=7), harness.send_request(0, key=7)
    harness.report_outcome(first, 0, result)
    harness.advance_time(119.0)
    assert not harness.attempts[second]
    harness.advance_time(2.0)  # by timer: no other event comes
    assert len(harness.attempts[second]) == 1


def test_own_further_attempts_do_not_wait_for_the_rest() -> None:
    harness = ordered(key_rest=120.0)
    number = harness.send_request(1, key=7)
    harness.report_outcome(number, 0, Result.RESET)
    assert len(harness.attempts[number]) == 2


def test_held_requests_are_answered_by_timer_alone() -> None:
    harness = ordered(may_cancel=False)
    first = harness.send_request(0, key=7)
    held = harness.send_request(0, key=7)
    harness.withdraw_request(first)
    del harness.open_attempts[(first, 0)]  # its outcome never comes
    harness.advance_time(1000.0)
    assert harness.final_responses[held] == "refused"


def test_line_that_outgrows_its_time_is_refused_early() -> None:
    harness = ordered()
    for _ in range(200):  # answers take 100 ms
        harness.now += 200
        harness.report_outcome(harness.send_request(2), 0, Result.OK, 100.0)
        harness.report_outcome(harness.send_request(0, key=9), 0, Result.OK, 100.0)
    numbers = [harness.send_request(0, key=7) for _ in range(30)]
    refused = [n for n in numbers if harness.final_responses.get(n) == "refused"]
    assert 20 < len(refused) < 29
    assert refused == numbers[-len(refused) :]


def test_order_is_forgotten_with_the_node_and_its_keys_are_not_kept_for_ever() -> None:
    harness = ordered()
    for key in range(1, 300):
        harness.report_outcome(harness.send_request(0, key=key), 0, Result.OK)
        harness.now += 100
    assert len(harness.policy.key_queues) < 150


def test_server_that_restarts_under_its_own_id_is_cold_again() -> None:
    harness = PolicyHarness(make_settings(classes=(SAFE,), group_size=5), servers=6)
    counts = []
    for step in range(900):
        harness.now += 10
        if step == 600:
            harness.send_list([make_server_entry(0, started=harness.now)])
        harness.report_outcome(harness.send_request(), 0, Result.OK)
        if step in (299, 599, 899):
            counts.append(sum(entry.id == 0 for sends in harness.attempts.values() for _, entry in sends))
    assert counts[2] - counts[1] < 0.6 * (counts[1] - counts[0])


def test_new_node_before_a_wholly_cold_fleet_takes_its_small_part() -> None:
    # It knows no traffic yet: all nodes of its kind together must stay under what cold servers can do.
    nodes, sent = 60, [0] * 8
    for me in range(nodes):
        harness = PolicyHarness(make_settings(classes=(SAFE,), group_size=nodes, me=me), seed=me, servers=0)
        harness.send_list([make_server_entry(i, started=harness.now) for i in range(8)], ListKind.FULL)
        for _ in range(10):
            harness.now += 100
            harness.send_request()
        for sends in harness.attempts.values():
            for _, entry in sends:
                sent[entry.id] += 1
    # One at a time with answers of 100 ms is 10 a second when warm; a fifth of it, times the multiple.
    assert sum(sent) > 0
    assert max(sent) <= 10 * 0.2 * 2.5 + 5


def test_reborn_node_knows_nothing_of_the_requests_before() -> None:
    harness = ordered()
    harness.send_request(0, key=7)
    again = ordered()
    number = again.send_request(0, key=7)
    assert len(again.attempts[number]) == 1
    assert again.policy.handle(again.now, Withdrawn(99)) == []


def test_broken_subscription_is_renewed_in_time() -> None:
    harness = PolicyHarness(make_settings(ask_for_list=True, ask_within=5000.0), servers=3)
    harness.advance_time(300.0)
    harness.send_list([make_server_entry(i) for i in range(3)], ListKind.FULL)
    asked = sum(isinstance(action, Subscribe) for action in harness.actions)
    harness.dispatch_event(ServerList(ListKind.FAILED, 0, []))
    harness.advance_time(1300.0)
    assert sum(isinstance(action, Subscribe) for action in harness.actions) > asked
