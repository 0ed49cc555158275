"""The decisions of the policy, with a regression test for each failure that was found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from flaxstep.routing.interface import (
    Cancel,
    Cordon,
    Group,
    ListKind,
    Log,
    Outcome,
    Refuse,
    Request,
    Result,
    Send,
    ServerEntry,
    State,
    Subscribe,
    Uncordon,
    Wake,
)
from flaxstep.routing.policy import (
    OVERLOAD_FULL_ERROR_SHARE,
    OVERLOAD_START_ERROR_SHARE,
    PRIOR_GOOD_ATTEMPTS,
    Policy,
)
from tests.support import KEYED, SAFE, START, UNSAFE, PolicyHarness, make_server_entry, make_settings


def set_overload(harness: PolicyHarness, x: float) -> None:
    """Put the policy under a given overload by its error share, and postpone the next upkeep."""
    harness.policy.in_flight_average = harness.policy.in_flight_now = 0
    harness.policy.counted_attempts = 1000.0
    harness.policy.failed_attempts = (
        OVERLOAD_START_ERROR_SHARE + x * (OVERLOAD_FULL_ERROR_SHARE - OVERLOAD_START_ERROR_SHARE)
    ) * (1000.0 + PRIOR_GOOD_ATTEMPTS)
    harness.policy.update_score_bands()
    harness.policy.update_cut(0.0)
    harness.policy.last_upkeep_at = harness.now


def get_targets(harness: PolicyHarness) -> list[int]:
    return [action.server for action in harness.actions if isinstance(action, Send)]


def test_without_overload_nothing_is_refused() -> None:
    harness = PolicyHarness(make_settings(), servers=50)
    for step in range(300):
        number = harness.send_request(step % 3)
        harness.now += 10
        harness.report_outcome(number, 0, Result.OK)
    assert set(harness.final_responses.values()) == {"served"}


def test_cut_is_cubic_and_refuses_that_share_of_the_worth() -> None:
    for x in (0.5, 0.8, 1.0):
        harness = PolicyHarness(make_settings(), servers=50)
        for step in range(600):  # fill the score bands
            harness.send_request(step % 3)
        set_overload(harness, x)
        lost = sum(
            harness.settings.classes[step % 3].worth
            for step in range(1500)
            if any(isinstance(a, Refuse) for a in harness.send_new_request(step % 3))
        )
        assert abs(lost / (500 * (10 + 1 + 1)) - x**3) < 0.07


def test_lowest_worth_is_refused_first_with_the_longest_retry_after() -> None:
    harness = PolicyHarness(make_settings(), servers=50)
    for step in range(600):
        harness.send_request(step % 3)
    set_overload(harness, 0.5)
    refused = {cls: 0 for cls in range(3)}
    waits: list[float] = []
    for step in range(900):
        for action in harness.send_new_request(step % 3):
            if isinstance(action, Refuse):
                refused[step % 3] += 1
                waits.append(action.wait)
    assert refused[0] == 0  # worth ten times the others
    assert refused[1] + refused[2] > 300
    assert min(waits) > 0 and max(waits) <= 2000.0
    low = [harness.policy.choose_retry_after(1.0) for _ in range(200)]
    high = [harness.policy.choose_retry_after(90.0) for _ in range(200)]
    assert min(low) > max(high)


def test_a_small_change_of_overload_does_not_refuse_all_high_worth() -> None:
    # Refused requests of low worth return as retries. With score bands by count, high worth had only a very
    # narrow band at the top: none of it was refused at 0.96 and all of it at 1 (quotes rough-2, simulated:
    # 0.45; bands by worth 0.58).
    shares = []
    for x in (0.96, 0.999):
        harness = PolicyHarness(make_settings(), servers=50)
        for step in range(600):
            harness.send_request(0 if step % 20 == 0 else 1 + step % 2)
        set_overload(harness, x)
        shares.append(
            sum(any(isinstance(a, Refuse) for a in harness.send_new_request(0)) for _ in range(300)) / 300
        )
    assert shares[1] - shares[0] < 0.5


def send_traffic(harness: PolicyHarness, per_second: float, seconds: float, elapsed: float = 100.0) -> int:
    """Send traffic whose responses take the same time at any load; return how many requests were refused."""
    due: list[tuple[float, int]] = []
    refused, end = 0, harness.now + 1000 * seconds
    while harness.now < end:
        harness.now += 1000 / per_second
        while due and due[0][0] <= harness.now:
            harness.report_outcome(due.pop(0)[1], 0, Result.OK, elapsed)
        number = harness.send_request()
        if (number, 0) in harness.open_attempts:
            due.append((harness.now + elapsed, number))
        refused += harness.final_responses.get(number) == "refused"
    for _, number in due:
        harness.report_outcome(number, 0, Result.OK, elapsed)
    return refused


@pytest.mark.parametrize("elapsed", [300.0, 450.0, 900.0])
def test_a_node_that_refuses_all_requests_sends_again_soon_after_none_is_in_flight(elapsed: float) -> None:
    # The average number in flight, over 4 s and more, stayed above the level at which all is refused, while
    # the needed number fell as fast: of 200 nodes, 27 to 46 served nobody for 4 to 7 s with nothing in flight
    # (fleet day of restarts).
    cls = replace(SAFE, aim=250.0, late_value=0.5)
    harness = PolicyHarness(make_settings(classes=(cls,), group_size=200), servers=112)
    send_traffic(harness, 8, 8, 90.0)
    in_flight: list[tuple[float, int]] = []
    idle_since, longest_idle_ms = harness.now, 0.0
    for _ in range(600):  # 15 s of too much traffic with slow responses
        harness.now += 25
        while in_flight and in_flight[0][0] <= harness.now:
            harness.report_outcome(in_flight.pop(0)[1], 0, Result.OK, elapsed)
        number = harness.send_request(due_in=2000.0)
        if (number, 0) in harness.open_attempts:
            in_flight.append((harness.now + elapsed, number))
        if in_flight:
            idle_since = harness.now
        longest_idle_ms = max(longest_idle_ms, harness.now - idle_since)
    assert longest_idle_ms < 1000


def test_growing_traffic_with_fast_responses_is_not_refused() -> None:
    # Requests are in flight before their responses arrive: a needed number learned from responses alone
    # refused light traffic when it doubled (icaa5d5, simulated: 0.80 to 1.00; izmir-main 0.77 to 0.83).
    harness = PolicyHarness(make_settings(classes=(SAFE,)), servers=4)
    send_traffic(harness, 40, 10)
    for rate in (80, 160, 320):
        assert send_traffic(harness, rate, 3) == 0


def test_larger_servers_get_more_keys_and_requests() -> None:
    # With the same number of places on the ring for each, fast servers were idle while slow ones were
    # overloaded (quiz big-2, simulated).
    for keys in (True, False):
        config = make_settings(classes=(SAFE,), warm_keys=keys)
        harness = PolicyHarness(config, servers=0)
        harness.send_list(
            [replace(make_server_entry(i), size=4.0 if i < 10 else 1.0) for i in range(40)], ListKind.FULL
        )
        for step in range(2000):
            harness.now += 5
            harness.report_outcome(harness.send_request(key=step * 7919 + 1 if keys else 0), 0, Result.OK)
        share = sum(s < 10 for s in get_targets(harness)) / 2000
        assert 0.45 < share < 0.7  # 40 of 70 units of size


def test_a_list_without_sizes_is_used_like_any_other() -> None:
    harness = PolicyHarness(make_settings(classes=(SAFE,)), servers=0)
    harness.send_list([replace(make_server_entry(i), size=0.0) for i in range(8)], ListKind.FULL)
    for _ in range(50):
        harness.now += 200
        harness.report_outcome(harness.send_request(), 0, Result.OK)
    assert len(set(get_targets(harness))) > 4


def test_a_slow_server_does_not_count_as_idle_because_it_is_unused() -> None:
    # In a large fleet a node has sent almost nothing to most servers. With a load of 0, an overloaded server
    # counted as idle however slow its responses had been.
    harness = PolicyHarness(make_settings(classes=(SAFE,)), servers=40)
    for _ in range(2000):
        harness.now += 20
        number = harness.send_request()
        harness.report_outcome(number, 0, Result.OK, 300.0 if get_targets(harness)[-1] < 4 else 60.0)
    share = sum(s < 4 for s in get_targets(harness)[-1500:]) / 1500
    assert share < 0.06  # a tenth of the servers


def test_log_lines_are_written_only_when_shedding_starts_and_ends() -> None:
    harness = PolicyHarness(make_settings(classes=(SAFE,)), servers=20)
    lines: list[str] = []
    for step in range(2000):
        harness.now += 20
        lines += [action.text for action in harness.send_new_request(0) if isinstance(action, Log)]
        for number, attempt in list(harness.open_attempts):
            harness.report_outcome(number, attempt, Result.TIMEOUT if step < 400 else Result.OK)
    assert 2 <= len(lines) <= 10
    assert lines[0].startswith("shedding on") and lines[-1].startswith("shedding off")


def test_traffic_beyond_a_quota_is_refused_first() -> None:
    config = make_settings(quotas=(1000.0, 10.0), over_quota_worth=0.05, classes=(SAFE,))
    harness = PolicyHarness(config, servers=50)
    for step in range(600):
        harness.now += 5
        number = harness.send_request(0, tenant=step % 2)
        if (number, 0) in harness.open_attempts:
            harness.report_outcome(number, 0, Result.OK)
    set_overload(harness, 0.3)
    refused = [0, 0]
    for step in range(400):
        harness.now += 0.01
        refused[step % 2] += any(isinstance(a, Refuse) for a in harness.send_new_request(0, tenant=step % 2))
    assert refused[0] == 0
    assert refused[1] > 100


def test_servers_with_few_open_attempts_are_preferred() -> None:
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=2)
    harness.send_request()
    first = get_targets(harness)[0]
    for _ in range(100):
        number = harness.send_request()
        harness.report_outcome(number, 0, Result.OK)
        harness.now += 1
    assert get_targets(harness)[1:].count(first) < 10  # by chance it would be half


def test_nodes_agree_on_the_servers_of_a_key() -> None:
    servers_of_keys = []
    for seed in (1, 2):
        harness = PolicyHarness(make_settings(warm_keys=True, classes=(UNSAFE,)), seed=seed, servers=40)
        for key in range(1, 400):
            harness.now += 100
            harness.report_outcome(harness.send_request(key=key * 7919), 0, Result.OK)
        servers_of_keys.append(get_targets(harness))
    same = sum(a == b for a, b in zip(*servers_of_keys, strict=True))
    assert same > 200  # by chance it would be about ten


def test_hot_key_is_spread_over_several_servers() -> None:
    harness = PolicyHarness(make_settings(warm_keys=True, classes=(UNSAFE,)), servers=40)
    for step in range(600):
        harness.now += 10
        harness.report_outcome(harness.send_request(key=5 if step % 3 else step + 10), 0, Result.OK)
    servers_of_keys = [
        a.server for a in harness.actions if isinstance(a, Send) and harness.requests[a.id].key == 5
    ]
    assert len(set(servers_of_keys)) > 10


def test_failing_server_is_ejected_and_returns() -> None:
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=4)
    bad = 0
    for _ in range(400):
        harness.now += 5
        number = harness.send_request()
        failing = get_targets(harness)[-1] == 0
        bad += failing
        harness.report_outcome(number, 0, Result.ERROR if failing else Result.OK)
    assert bad < 40
    for _ in range(2000):
        harness.now += 10
        harness.report_outcome(harness.send_request(), 0, Result.OK)
    assert get_targets(harness)[-200:].count(0) > 20


def test_server_that_responds_only_full_is_ejected() -> None:
    # It drains before the list says so, or stays full: its fast responses must not attract traffic.
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=4)
    for _ in range(400):
        harness.now += 5
        number = harness.send_request()
        while (number, len(harness.attempts[number]) - 1) in harness.open_attempts:
            result = Result.FULL if get_targets(harness)[-1] == 0 else Result.OK
            harness.report_outcome(
                number, len(harness.attempts[number]) - 1, result, 0.5 if result is Result.FULL else 50.0
            )
    assert get_targets(harness).count(0) < 30


def test_a_few_bad_servers_are_no_overload() -> None:
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=20)
    worst = 0.0
    for step in range(1000):
        harness.now += 5
        number = harness.send_request()
        if harness.open_attempts:
            harness.report_outcome(number, 0, Result.ERROR if get_targets(harness)[-1] < 3 else Result.OK)
        if step > 100:  # they have been ejected by then
            worst = max(worst, harness.policy.error_share)
    assert harness.policy.cut == 0.0
    assert worst < 0.1


def test_one_silent_server_does_not_fill_the_in_flight_count() -> None:
    harness = PolicyHarness(
        make_settings(classes=(replace(UNSAFE, aim=5000.0, deadline=6000.0),)), servers=10
    )
    for _ in range(300):
        harness.now += 20
        number = harness.send_request(due_in=5500.0)
        if get_targets(harness)[-1] != 0:
            harness.report_outcome(number, 0, Result.OK)
    assert len([key for key in harness.open_attempts if harness.attempts[key[0]][0][1].id == 0]) <= 5
    assert harness.policy.cut == 0.0


def test_a_stalled_server_gets_no_further_requests() -> None:
    harness = PolicyHarness(
        make_settings(classes=(replace(UNSAFE, aim=5000.0, deadline=6000.0),)), servers=10
    )
    for _ in range(300):  # learn that responses take about 50 ms
        harness.now += 20
        harness.report_outcome(harness.send_request(due_in=5500.0), 0, Result.OK)
    for _ in range(6):  # six requests at once; those on one server get no response
        harness.send_request(due_in=5500.0)
    stuck = get_targets(harness)[-1]
    for request, attempt in list(harness.open_attempts):
        if harness.attempts[request][attempt][1].id != stuck:
            harness.report_outcome(request, attempt, Result.OK)
    harness.now += 5 * max(harness.policy.usual_response_ms)
    for _ in range(3):
        harness.report_outcome(harness.send_request(due_in=5500.0), 0, Result.OK)
        harness.send_request(due_in=5500.0)
    for _ in range(100):
        assert get_targets(harness)[-1] != stuck
        harness.send_request(due_in=5500.0)


def send_traffic_and_lose_responses(harness: PolicyHarness, steps: int) -> int:
    """Lose the response to every 20th request, give the others in 5 ms; return how many were refused."""
    refused = 0
    for step in range(steps):
        harness.advance_time(5.0)
        number = harness.send_request(due_in=1200.0)
        refused += harness.final_responses.get(number) == "refused"
        if step % 20 and (number, 0) in harness.open_attempts:
            harness.advance_time(5.0)
            harness.report_outcome(number, 0, Result.OK, 5.0)
    return refused


def test_a_lost_response_does_not_mark_its_server_as_stalled() -> None:
    harness = PolicyHarness(
        make_settings(classes=(replace(UNSAFE, deadline=1200.0, late_value=0.2),)), servers=4
    )
    send_traffic_and_lose_responses(harness, 100)
    # At any time more responses are missing than there are servers, and each server continues to respond.
    assert send_traffic_and_lose_responses(harness, 1000) == 0
    assert len(set(get_targets(harness)[-200:])) == 4


def test_lost_responses_do_not_count_as_requests_in_flight() -> None:
    harness = PolicyHarness(
        make_settings(classes=(replace(UNSAFE, deadline=1200.0, late_value=0.2),)), servers=4
    )
    send_traffic_and_lose_responses(harness, 1000)
    assert len(harness.open_attempts) >= 5
    assert harness.policy.in_flight_average < 2.0


def test_lost_responses_and_early_resets_are_no_overload() -> None:
    harness = PolicyHarness(
        make_settings(classes=(replace(UNSAFE, deadline=1200.0, late_value=0.2),)), servers=4
    )
    for step in range(2000):
        harness.advance_time(5.0)
        number = harness.send_request(due_in=1200.0)
        if (number, 0) not in harness.open_attempts or step % 10 == 0:
            continue  # one in ten gets no response
        early = step % 10 == 1  # and one in ten is reset at once
        harness.advance_time(0.5 if early else 10.0)
        harness.report_outcome(number, 0, Result.RESET if early else Result.OK, 0.5 if early else 10.0)
    assert harness.policy.error_share < 0.05
    assert harness.policy.cut == 0.0
    assert "refused" not in harness.final_responses.values()


def test_clients_with_very_short_timeouts_are_no_overload() -> None:
    harness = PolicyHarness(make_settings(classes=(replace(UNSAFE, late_value=0.2),)), servers=9)
    for step in range(2000):
        harness.advance_time(5.0)
        short = step > 400 and step % 3 == 0  # every third client waits no longer than a response takes
        number = harness.send_request(due_in=22.0 if short else 900.0)
        if (number, 0) in harness.open_attempts and not short:
            harness.now += 15.0
            harness.report_outcome(number, 0, Result.OK, 15.0)
        harness.advance_time(0.0)
    assert harness.policy.error_share < OVERLOAD_START_ERROR_SHARE
    assert harness.policy.cut == 0.0


def test_full_from_servers_without_a_queue_is_no_overload() -> None:
    for wait, calm in ((10.0, True), (60.0, False)):
        harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=8)
        worst = 0.0
        for step in range(3000):
            harness.now += 5
            number, attempt = harness.send_request(), 0
            while (number, attempt) in harness.open_attempts:
                # Five of eight servers reject half of their requests; with a queue, all do.
                busy = (get_targets(harness)[-1] < 5 or not calm) and step > 1500
                if busy and step % 2 and not attempt:
                    harness.report_outcome(number, attempt, Result.FULL, 10.0)
                else:
                    harness.report_outcome(number, attempt, Result.OK, wait if busy else 10.0)
                attempt += 1
            worst = max(worst, harness.policy.error_share)
        assert (worst < 0.1) == calm, worst


def test_a_lost_request_that_may_be_repeated_is_sent_to_another_server_of_its_cell() -> None:
    for cls, other in ((replace(KEYED, group=Group.CELL), True), (UNSAFE, False)):
        harness = PolicyHarness(make_settings(classes=(cls,)), servers=12)
        for step in range(400):
            harness.advance_time(2.0)
            number = harness.send_request()
            if (number, 0) in harness.open_attempts and step != 300:
                harness.advance_time(4.0)
                harness.report_outcome(number, 0, Result.OK, 4.0)
            elif step == 300:
                lost = number
            cancelled = [
                a
                for a in harness.actions
                if isinstance(a, Cancel) and (a.id, a.attempt) in harness.open_attempts
            ]
            for action in cancelled:
                harness.report_outcome(action.id, action.attempt, Result.CANCELLED)
            if (lost_repeat := (301, 1)) in harness.open_attempts:
                harness.report_outcome(*lost_repeat, Result.OK, 4.0)
        # The harness asserts that the repeat keeps to the cell and the window.
        assert len(harness.attempts[lost]) == (2 if other else 1)
        assert (harness.final_responses.get(lost) == "served") == other


def test_the_search_for_an_idle_server_continues_past_a_busy_zone() -> None:
    near = [ServerEntry(number, 0, 0, 0, State.READY, 1.0, 0.0) for number in range(3)]
    far = [ServerEntry(number, 1, 0, 0, State.READY, 1.0, 0.0) for number in range(3, 9)]
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=0)
    harness.send_list(near, ListKind.FULL)
    for _ in range(9):
        harness.send_request()  # each server of the node's zone has three
    harness.send_list(near + far, ListKind.FULL)
    for _ in range(30):
        harness.now += 5
        number = harness.send_request()
        assert get_targets(harness)[-1] >= 3
        harness.report_outcome(number, 0, Result.OK, 5.0)


def test_further_attempts_end_under_full_overload() -> None:
    for x, most in ((0.0, 4), (1.0, 1)):
        harness = PolicyHarness(make_settings(classes=(SAFE,)), servers=30)
        number = harness.send_request()
        set_overload(harness, x)
        while (number, len(harness.attempts[number]) - 1) in harness.open_attempts:
            harness.report_outcome(number, len(harness.attempts[number]) - 1, Result.FULL)
        assert len(harness.attempts[number]) == most


def test_no_attempt_is_sent_that_cannot_meet_its_aim() -> None:
    harness = PolicyHarness(make_settings(classes=(SAFE,)), servers=30)
    for _ in range(300):
        harness.now += 20
        harness.report_outcome(harness.send_request(), 0, Result.OK, 200.0)
    late = harness.send_request(due_in=30.0)
    assert harness.attempts[late] == []
    assert harness.final_responses[late] == "refused"


def test_a_flood_of_errors_raises_the_cut_until_it_ends() -> None:
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=10)
    for _ in range(300):
        harness.now += 5
        number = harness.send_request()
        if (number, 0) in harness.open_attempts:
            harness.report_outcome(number, 0, Result.ERROR, 400.0)
    assert harness.policy.cut > 50
    for _ in range(2000):
        harness.now += 5
        number = harness.send_request()
        if (number, 0) in harness.open_attempts:
            harness.report_outcome(number, 0, Result.OK)
    assert harness.policy.cut == 0.0


def test_cold_server_gets_less_than_its_warm_peers() -> None:
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=10)
    counts = []
    for step in range(3000):
        harness.now += 4
        if step == 1000:
            harness.send_list([make_server_entry(10, started=harness.now)])
            action_count = len(harness.actions)
        harness.report_outcome(harness.send_request(), 0, Result.OK)
        if step in (1500, 2999):
            sends = [a.server for a in harness.actions[action_count:] if isinstance(a, Send)]
            counts.append(sends.count(10) / (len(sends) / 11))
    assert 0 < counts[0] < 0.5
    assert counts[1] < 1.0


def test_list_is_requested_with_backoff_and_only_if_it_is_not_pushed() -> None:
    harness = PolicyHarness(make_settings(ask_for_list=True), servers=3)
    delays = []
    for _ in range(8):
        harness.advance_time(3000.0)
        wakes = [a for a in harness.fail_list_call() if isinstance(a, Wake)]
        delays.append(wakes[0].delay)
    assert sum(isinstance(a, Subscribe) for a in harness.actions) >= 7
    assert delays[-1] > delays[0]
    assert max(delays) <= harness.settings.ask_within / 4
    pushed = PolicyHarness(make_settings(), servers=3)
    pushed.advance_time(60_000.0)
    assert not any(isinstance(a, Subscribe | Wake) for a in pushed.actions)


def test_keyed_request_is_not_repeated_after_its_window() -> None:
    harness = PolicyHarness(make_settings(classes=(replace(KEYED, aim=900.0, window=100.0),)))
    number = harness.send_request()
    harness.now += 150
    harness.report_outcome(number, 0, Result.RESET, 150.0)
    assert len(harness.attempts[number]) == 1
    assert harness.final_responses[number] == "refused"


def test_health_of_a_restarted_server_is_reset() -> None:
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=4)
    for _ in range(400):
        harness.now += 5
        number = harness.send_request()
        harness.report_outcome(number, 0, Result.ERROR if get_targets(harness)[-1] == 0 else Result.OK)
    assert harness.policy.endpoints[0].health[0].ejected_until > 0
    harness.send_list([replace(make_server_entry(0), started=harness.now - 60_000.0)])
    assert not harness.policy.endpoints[0].health[0].ejected_until
    assert harness.policy.endpoints[0].health[0].failure_share == 0.0


def test_same_events_same_actions_and_instances_share_nothing() -> None:
    def run_events(other: bool) -> list[object]:
        harness = PolicyHarness(make_settings(warm_keys=True), seed=4)
        neighbour = PolicyHarness(make_settings(warm_keys=True), seed=9) if other else None
        for step in range(400):
            harness.advance_time(7.0)
            harness.send_request(step % 3, key=step % 11)
            if harness.open_attempts and step % 2:
                harness.report_outcome(*min(harness.open_attempts), Result.OK)
            if neighbour:
                neighbour.send_request(step % 3, key=step % 5)
        return harness.actions

    assert run_events(False) == run_events(True)


def test_unknown_server_or_class_is_a_clear_error() -> None:
    policy = Policy(make_settings(), 1)
    with pytest.raises(LookupError, match="class 9"):
        policy.handle(START, Request(1, 9, START + 100))
    with pytest.raises(LookupError, match="tenant 2"):
        tenants = make_settings(quotas=(5.0, 5.0))
        Policy(tenants, 1).handle(START, Request(1, 0, START + 100, tenant=2))
    with pytest.raises(LookupError, match="server 77"):
        policy.handle(START, Outcome(1, 77, False, 1, 0, 5.0))


def test_each_of_many_nodes_uses_a_small_subset_of_the_servers() -> None:
    # 200 nodes with a connection to each of 50 servers exhaust the servers' connections, and attempts get
    # none.
    used: list[set[int]] = []
    for me in (0, 199):
        harness = PolicyHarness(make_settings(classes=(UNSAFE,), group_size=200, me=me), servers=50)
        for _ in range(200):
            harness.now += 50
            harness.report_outcome(harness.send_request(), 0, Result.OK)
        used.append(set(get_targets(harness)))
    assert len(used[0]) <= 9
    assert not used[0] & used[1]


def test_nodes_with_the_same_subset_place_keys_alike_and_others_do_not() -> None:
    # If nodes with overlapping subsets place keys differently, a server gets several times the keys that it
    # can cache (quotes, simulated: 0.60 to 0.51).
    places = []
    for me in (0, 1, 23):
        harness = PolicyHarness(
            make_settings(classes=(SAFE,), group_size=24, me=me, warm_keys=True), servers=80
        )
        places.append([harness.policy.ring.find_endpoint(key, 0) for key in range(1, 200)])
    assert places[0] == places[1]
    assert not set(places[0]) & set(places[2])


def test_in_its_subset_a_node_examines_all_candidates_for_an_idle_server() -> None:
    # Two candidates rarely include a server without open attempts of this node; with the load from other
    # nodes, small servers were overloaded (if40ccc, simulated: 0.50 with two candidates, 0.74 with all of
    # them).
    harness = PolicyHarness(make_settings(classes=(UNSAFE,), group_size=200), servers=50)
    for _ in range(6):
        harness.send_request()
    assert len(set(get_targets(harness))) == 6


def test_small_node_does_not_refuse_because_of_chance_bursts() -> None:
    # With five requests in flight a burst of arrivals is chance, not overload.
    harness = PolicyHarness(make_settings(classes=(UNSAFE,), group_size=10), servers=50)
    for step in range(400):
        harness.now += 20
        numbers = [harness.send_request() for _ in range(8 if step % 40 == 0 else 1)]
        harness.now += 55
        for number in numbers:
            if (number, 0) in harness.open_attempts:
                harness.report_outcome(number, 0, Result.OK)
    assert list(harness.final_responses.values()).count("refused") < 8


def test_fleet_whose_requests_wait_on_others_is_not_limited_by_its_listed_size() -> None:
    # Requests that use no core let a server process many more at once than its listed size.
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=4)
    in_flight: list[int] = []
    refused_late = 0
    for step in range(3000):
        harness.now += 8
        number = harness.send_request()
        if (number, 0) in harness.open_attempts:
            in_flight.append(number)
        elif step > 2000:
            refused_late += 1
        while in_flight and len(in_flight) > 12:
            harness.report_outcome(in_flight.pop(0), 0, Result.OK, 96.0)
    assert refused_late < 50


def test_heavier_of_two_equally_worthy_classes_is_not_starved() -> None:
    harness = PolicyHarness(make_settings(classes=(KEYED, replace(UNSAFE, worth=1.0))), servers=50)
    for step in range(1000):
        harness.now += 5
        number = harness.send_request(step % 2)
        if (number, 0) in harness.open_attempts:
            harness.report_outcome(number, 0, Result.OK, 30.0 if step % 2 else 90.0)
    set_overload(harness, 0.8)
    refused = [0, 0]
    for step in range(600):
        refused[step % 2] += any(isinstance(a, Refuse) for a in harness.send_new_request(step % 2))
    assert min(refused) > 0.6 * max(refused)


def test_share_of_cold_servers_is_measured_against_warm_ones() -> None:
    # When a fleet quadruples, the mean over all servers is far below the load of a warm one.
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=5)
    action_count = 0
    for step in range(4000):
        harness.now += 4
        if step == 2000:
            harness.send_list([make_server_entry(i, started=harness.now) for i in range(5, 20)])
            action_count = len(get_targets(harness))
        number = harness.send_request()
        if (number, 0) in harness.open_attempts:
            harness.report_outcome(number, 0, Result.OK)
    cold = sum(target >= 5 for target in get_targets(harness)[action_count:])
    assert 0.35 < cold / 2000 < 0.75


def test_a_request_is_not_refused_because_no_candidate_can_take_it() -> None:
    # All six candidates were the one ejected server of four, and a request was refused because of it.
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=12)
    for failing in range(11):
        harness.policy.endpoints[failing].health[0].ejected_until = harness.now + 60_000.0
    for _ in range(50):
        harness.report_outcome(harness.send_request(), 0, Result.OK)
    assert set(get_targets(harness)) == {11}


def test_all_servers_failing_is_overload_though_each_is_known_to_fail() -> None:
    # Failures of ejected servers were not counted: when all failed, 600 nodes continued to send to a fleet
    # that served one request in ten (ib2adee, i512e14, i1ea6af, simulated: 0.16, 0.24, 0.05).
    harness = PolicyHarness(make_settings(classes=(SAFE,), max_attempts=1), servers=8)
    cuts = []
    for _ in range(40):  # four requests per second, as at a small node
        harness.now += 250
        number = harness.send_request()
        if (number, 0) in harness.open_attempts:
            harness.report_outcome(number, 0, Result.TIMEOUT, 240.0)
        cuts.append(harness.policy.cut)
    assert max(cuts[:16]) > 90


def test_the_needed_number_in_flight_of_a_small_node_can_be_below_one() -> None:
    # A minimum of one request per node let 600 nodes have nine in flight for each core (ib2adee, simulated).
    harness = PolicyHarness(make_settings(classes=(SAFE,), group_size=600), servers=60)
    send_traffic(harness, 5, 30, 60.0)
    assert harness.policy.needed_in_flight < 0.8
    assert send_traffic(harness, 5, 30, 60.0) == 0


def test_only_the_class_that_fails_on_a_server_goes_to_others() -> None:
    # Health was recorded per server: one failing class ejected the server for all classes, or the others hid
    # its failures (central big-2, simulated: 0.24 to 0.40).
    harness = PolicyHarness(make_settings(classes=(UNSAFE, replace(UNSAFE, worth=2.0))), servers=6)
    for step in range(1200):
        harness.now += 10
        number = harness.send_request(step % 2)
        if (number, 0) in harness.open_attempts:
            failing = get_targets(harness)[-1] < 2 and step % 2
            harness.report_outcome(number, 0, Result.ERROR if failing else Result.OK)
    late = [(a.server, harness.requests[a.id].cls) for a in harness.actions if isinstance(a, Send)][-600:]
    assert sum(s < 2 and cls == 1 for s, cls in late) < 12
    assert sum(s < 2 and cls == 0 for s, cls in late) > 60


def test_refused_connections_do_not_raise_the_cut() -> None:
    # They put no load on a server (seoul rough-1, simulated: 0.21 to 0.37).
    harness = PolicyHarness(make_settings(classes=(SAFE,), max_attempts=1), servers=10)
    for step in range(300):
        harness.now += 20
        harness.report_outcome(harness.send_request(), 0, Result.UNREACHABLE if step % 3 else Result.OK)
    assert harness.policy.cut == 0.0


def test_cold_budget_counts_responses_of_warm_servers_and_not_attempts_sent() -> None:
    # Warm servers that accepted no connections caused several attempts per request; a cold server was sent
    # 3.4 times its capacity (hd1cfdf, simulated, rule broken).
    harness = PolicyHarness(make_settings(classes=(SAFE,), group_size=5), servers=10)
    action_count = 0
    for step in range(3000):
        harness.now += 20
        if step == 2000:
            harness.send_list([make_server_entry(10, started=harness.now)])
            action_count = len(get_targets(harness))
        number = harness.send_request()
        while harness.open_attempts:
            attempt = next(iter(harness.open_attempts))
            cold = harness.attempts[number][-1][1].id == 10
            result = Result.OK if cold or step < 1000 or step % 20 == 0 else Result.UNREACHABLE
            harness.report_outcome(*attempt, result)
        if step == 2300:
            break
    per_second = get_targets(harness)[action_count:].count(10) / 6.0
    assert 0 < per_second < 50 / 10  # the rate of a warm server before the fault


def test_immediate_errors_do_not_raise_the_cut() -> None:
    # One class that failed at once on half of the servers caused refusals in all classes (central big-2,
    # simulated: 0.27 to 0.37). An error that takes as long as the work still counts: see the flood of errors.
    harness = PolicyHarness(make_settings(classes=(SAFE,), max_attempts=1), servers=10)
    for step in range(300):
        harness.now += 20
        number = harness.send_request()
        if (number, 0) in harness.open_attempts:
            harness.report_outcome(
                number, 0, Result.ERROR if step % 2 else Result.OK, 2.0 if step % 2 else 60.0
            )
    assert harness.policy.cut == 0.0


def test_a_request_whose_own_work_exceeds_its_time_is_refused_at_once() -> None:
    # Heavy requests of clients with little time left were processed in vain (seoul big-2, simulated: 0.64 to
    # 0.74).
    harness = PolicyHarness(make_settings(classes=(SAFE,)), servers=10)
    for _ in range(200):
        harness.now += 20
        harness.report_outcome(harness.send_request(due_in=300.0), 0, Result.OK)
    light, heavy = harness.send_request(due_in=90.0, hint=40.0), harness.send_request(due_in=90.0, hint=120.0)
    assert harness.attempts[light]
    assert harness.final_responses[heavy] == "refused"


def test_one_full_that_is_no_proof_is_enough_to_avoid_the_server() -> None:
    # Servers rejected one class for half a minute, and each 'full' cost an unsafe request (busan rough-1,
    # simulated: 0.21 to 0.30). Where 'full' is proof, trying another server costs little.
    for full_may_have_run, most in ((True, 3), (False, 12)):
        config = make_settings(classes=(UNSAFE,), full_may_have_run=full_may_have_run, max_attempts=1)
        harness = PolicyHarness(config, servers=10)
        for _ in range(100):
            harness.now += 20
            number = harness.send_request()
            harness.report_outcome(number, 0, Result.FULL if get_targets(harness)[-1] == 0 else Result.OK)
        assert get_targets(harness).count(0) <= most


def test_idle_servers_of_the_own_zone_are_preferred_but_not_exclusive() -> None:
    # Requests to other zones cost money and round trips (busan rough-1, simulated: 0.24 to 0.31).
    harness = PolicyHarness(make_settings(classes=(SAFE,), zone=1), servers=9)
    for _ in range(600):
        harness.now += 20
        harness.report_outcome(harness.send_request(), 0, Result.OK)
    near = sum(harness.listed_entries[i].zone == 1 for i in get_targets(harness)) / 600
    assert 0.5 < near < 0.95
    for _ in range(40):  # they respond no more: the others take over at once
        harness.now += 20
        harness.send_request()
    stuck = [harness.listed_entries[i].zone for i in get_targets(harness)[-30:]]
    assert stuck.count(1) < 16


def test_late_responses_that_keep_worth_count_in_the_needed_number_in_flight() -> None:
    # Servers that process the newest request first respond to a few very late. The needed number left these
    # out although they are in flight, and light traffic was refused (central rough-2, simulated: 0.58 to
    # 0.71).
    needs = []
    for late_value in (0.0, 0.5):
        harness = PolicyHarness(
            make_settings(classes=(replace(SAFE, aim=650.0, late_value=late_value),), group_size=50),
            servers=8,
        )
        for step in range(300):
            harness.now += 50
            number = harness.send_request(due_in=2000.0)
            if (number, 0) in harness.open_attempts:
                harness.now += 700.0 if step % 5 == 0 else 0.0
                harness.report_outcome(number, 0, Result.OK, 700.0 if step % 5 == 0 else 60.0)
        needs.append(harness.policy.needed_in_flight)
    assert needs[1] > 1.5 * needs[0]


def test_the_allowed_growth_falls_gradually_with_errors() -> None:
    # At a certain error share the allowed growth vanished at once, and overload jumped from 0.1 to 1.
    harness = PolicyHarness(make_settings(classes=(SAFE,)), servers=8)
    send_traffic(harness, 50, 10)
    needs = []
    for errors in (0.04, 0.06):
        harness.policy.error_share = errors
        harness.policy.update_needed_in_flight(0.001)
        needs.append(harness.policy.needed_in_flight)
    assert needs[1] > 0.85 * needs[0]


def test_a_new_node_knows_its_rate_at_once() -> None:
    harness = PolicyHarness(make_settings(classes=(SAFE,), group_size=20), servers=8)
    send_traffic(harness, 50, 1)
    assert 0.6 < harness.policy.timely_rate * 1000 / 50 < 1.4


def test_further_attempts_become_rare_when_connections_fail() -> None:
    # Each opens a further connection at servers that can't keep up with them (busan days of mass_restart with
    # handshake_slow, simulated: G 0.225 to 0.278 and 0.332 to 0.410).
    harness = PolicyHarness(make_settings(classes=(SAFE,)), servers=30)
    for _ in range(60):
        harness.now += 20
        number = harness.send_request()
        while harness.open_attempts:
            harness.report_outcome(*next(iter(harness.open_attempts)), Result.UNREACHABLE, 5.0)
    assert harness.policy.cut == 0.0
    assert len(harness.attempts[number]) == 1


def test_departed_servers_are_dropped_once_they_have_no_attempts() -> None:
    harness = PolicyHarness(make_settings(classes=(UNSAFE,)), servers=1)
    number = harness.send_request()
    for name in range(1, 40):
        harness.now += 100
        harness.send_list([make_server_entry(name - 1, State.GONE), make_server_entry(name)])
    assert set(harness.policy.endpoints) == {0, 39}
    harness.report_outcome(number, 0, Result.OK)
    harness.send_list([make_server_entry(40)])
    assert set(harness.policy.endpoints) == {39, 40}


def send_busy_traffic(harness: PolicyHarness, ms: int) -> None:
    """Send a request every 5 ms; each gets its response 40 ms after it was sent."""
    for _ in range(ms // 5):
        harness.send_request()
        for number, attempt in list(harness.open_attempts):
            if harness.now - harness.attempts[number][attempt][0] >= 40.0:
                harness.report_outcome(number, attempt, Result.OK, 40.0)
        harness.advance_time(5.0)


def test_requests_stuck_in_flight_do_not_count_as_grown_traffic() -> None:
    harness = PolicyHarness(make_settings(), servers=8)
    policy = harness.policy
    send_busy_traffic(harness, 4000)
    busy = policy.best_timely_rate
    most = 0.0
    for _ in range(140):  # the same traffic as before, but no response arrives
        harness.send_request()
        harness.advance_time(5.0)
        most = max(most, policy.in_flight_average)
        assert policy.best_timely_rate < 1.5 * busy  # stuck requests do not raise the rate
    assert most > 2 * busy * policy.fastest_mean_ms  # so many requests were stuck
    assert policy.overload == 1.0


def test_cordoned_servers_reduce_the_needed_number_in_flight() -> None:
    harness = PolicyHarness(make_settings(), servers=8)
    send_busy_traffic(harness, 4000)
    before = harness.policy.needed_in_flight
    for server_id in range(4):
        harness.dispatch_event(Cordon(server_id))
    # The remaining servers get all the traffic of before, which does not prove that they can handle it.
    send_busy_traffic(harness, 500)
    assert harness.policy.needed_in_flight < 0.6 * before
    for server_id in range(4):
        harness.dispatch_event(Uncordon(server_id, harness.now - 20_000.0))  # warm at once
    send_busy_traffic(harness, 100)
    assert harness.policy.needed_in_flight > 0.9 * before


def test_the_best_rate_decays_fast_while_responses_are_slow() -> None:
    harness = PolicyHarness(make_settings(), servers=8)
    send_busy_traffic(harness, 4000)
    best = harness.policy.best_timely_rate
    for _ in range(500):  # another node has returned: half the traffic, and still the responses are slow
        harness.send_request()
        for number, attempt in list(harness.open_attempts):
            if harness.now - harness.attempts[number][attempt][0] >= 140.0:
                harness.report_outcome(number, attempt, Result.OK, 140.0)
        harness.advance_time(10.0)
    assert harness.policy.mean_response_ms > 2.0 * harness.policy.fastest_mean_ms
    assert harness.policy.best_timely_rate < 0.6 * best


def test_temporary_servers_do_not_reduce_the_needed_number_in_flight() -> None:
    harness = PolicyHarness(make_settings(), servers=8)
    send_busy_traffic(harness, 4000)
    before = harness.policy.needed_in_flight
    # As in a release: the new servers are added before the old ones are removed.
    harness.send_list([make_server_entry(i) for i in range(8, 16)])
    send_busy_traffic(harness, 1000)
    harness.send_list([make_server_entry(i, State.GONE) for i in range(8, 16)])
    send_busy_traffic(harness, 200)
    assert harness.policy.needed_in_flight > 0.8 * before


def test_a_queue_well_within_the_aim_is_no_overload() -> None:
    """A small node takes over another's traffic: responses take longer than the fastest, but not the aim."""
    harness = PolicyHarness(make_settings(), servers=8)
    send_busy_traffic(harness, 3000)
    assert send_traffic(harness, 300, 4, 66.0) == 0  # the aim is 400 ms, and the fastest took 40
    assert send_traffic(harness, 300, 4, 200.0) > 100


def test_under_load_requests_go_to_the_least_loaded_servers() -> None:
    harness = PolicyHarness(make_settings(), servers=6)
    for _ in range(120):  # no response arrives: every server fills up
        harness.send_request(cls=2)
        harness.now += 1.0
    heavy = {
        i: sum(1 for n, a in harness.open_attempts if harness.attempts[n][a][1].id == i) for i in range(6)
    }
    assert max(heavy.values()) - min(heavy.values()) <= 3


def test_a_node_that_starts_during_overload_does_not_take_it_for_normal() -> None:
    """Its fastest responses were slow; the aims show that they are (overload in the simulator)."""
    harness = PolicyHarness(make_settings(), servers=8)
    assert send_traffic(harness, 400, 4, 320.0) > 800


def test_new_queues_are_tolerated_only_with_few_nodes() -> None:
    """200 nodes that each wait for a queue to end fill the servers up together (split+mass: 0.70 to 0.62)."""
    few, many = (PolicyHarness(make_settings(group_size=nodes), servers=8) for nodes in (3, 200))
    for harness in (few, many):
        send_busy_traffic(harness, 3000)
    assert few.policy.needed_in_flight > 1.2 * many.policy.needed_in_flight
