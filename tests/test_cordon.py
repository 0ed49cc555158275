"""Cordoning and uncordoning servers: in the routing policy, in a node, and in two processes of a node."""

from __future__ import annotations

import asyncio
import errno
import os
from pathlib import Path
from typing import Any

import pytest

from flaxstep.proxy import shared_state
from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.shared_state import OperatorState, SharedState
from flaxstep.routing.interface import Cordon, ListKind, Result, Send, ServerList, State, Uncordon
from tests.net import TIMEOUT_S, FakeServer, NodeFixture, build_request, run_node
from tests.support import START, PolicyHarness, make_server_entry, make_settings
from tests.test_admin import ADMIN_ADDRESS, wait_until
from tests.test_metrics import stats
from tests.test_node import run


def targets(harness: PolicyHarness, requests: int, step: float = 5.0) -> list[int]:
    """The servers that this many requests are sent to, each answered before the next step."""
    found = []
    for _ in range(requests):
        harness.send_request()
        for number, attempt in list(harness.open_attempts):
            found.append(harness.attempts[number][attempt][1].id)
            harness.report_outcome(number, attempt, Result.OK)
        harness.advance_time(step)
    return found


def test_a_cordoned_server_gets_no_request_whatever_the_lists_say() -> None:
    harness = PolicyHarness(make_settings())
    harness.dispatch_event(Cordon(3))
    changes: list[Any] = [
        lambda: None,
        lambda: harness.send_list([make_server_entry(3)]),
        lambda: harness.send_list([make_server_entry(3, State.DRAINING)]),
        lambda: harness.send_list([make_server_entry(3)]),
        lambda: harness.send_list([make_server_entry(i) for i in range(8) if i != 3], ListKind.FULL),
        lambda: harness.send_list([make_server_entry(3, started=START - 100.0)]),
        lambda: harness.send_list([make_server_entry(i) for i in range(8)], ListKind.FULL),
        lambda: harness.dispatch_event(Cordon(3)),
    ]
    for change in changes:
        change()
        got = targets(harness, 60)
        assert len(got) == 60 and 3 not in got
        assert harness.policy.find_avoided_servers(harness.now) == {3}


def test_a_retry_or_a_repeat_in_a_rack_skips_a_cordoned_server() -> None:
    for out in range(8):
        harness = PolicyHarness(make_settings(), servers=8)
        number = harness.send_request()
        first = harness.attempts[number][0][1].id
        if first == out:
            continue
        harness.dispatch_event(Cordon(out))
        for attempt in range(3):
            harness.report_outcome(number, attempt, Result.FULL)
        assert out not in [entry.id for _, entry in harness.attempts[number]]


def test_an_uncordoned_server_gets_requests_soon_and_starts_cold() -> None:
    harness = PolicyHarness(make_settings(cold_from=0.2, ramp_time=10_000.0))
    targets(harness, 400)
    usual = targets(harness, 400).count(6)
    harness.dispatch_event(Cordon(6))
    harness.dispatch_event(Cordon(6))
    assert 6 not in targets(harness, 100)
    harness.dispatch_event(Uncordon(6, harness.now))
    got = targets(harness, 400)
    assert got[0] == 6  # soon
    assert 1 < got.count(6) < usual / 2  # cold, though the list says that it started long ago
    harness.advance_time(10_000.0)
    assert targets(harness, 400).count(6) > 0.75 * usual  # warm again


def test_an_uncordoned_server_is_tried_even_if_random_choice_would_skip_it() -> None:
    # The cordoned server is in another zone, and the node's own zone has idle servers.
    harness = PolicyHarness(make_settings(), servers=8)
    harness.dispatch_event(Cordon(7))
    targets(harness, 50)
    harness.dispatch_event(Uncordon(7, harness.now))
    assert targets(harness, 1) == [7]


def test_a_server_can_be_cordoned_before_it_is_listed() -> None:
    harness = PolicyHarness(make_settings(), servers=4)
    harness.dispatch_event(Cordon(9))
    harness.send_list([make_server_entry(9)])
    assert 9 not in targets(harness, 60)
    harness.dispatch_event(Uncordon(9, harness.now))
    assert 9 in targets(harness, 60)


def test_cordon_and_uncordon_calls_at_the_admin_port() -> None:
    async def test() -> None:
        peers = [await FakeServer().start(), await FakeServer().start()]
        async with run_node(*peers, admin=ADMIN_ADDRESS) as stand:
            client = await stand.connect_client()
            for _ in range(8):
                assert (await client.send_request(build_request()))[0] == 200
            for body, status in ((b"s-9", 404), (b"", 400), (b"\xff", 400), (b"x" * 300, 413)):
                for call in ("cordon", "uncordon"):
                    assert (await stand.call_admin("POST", call, body))[0] == status
            for body in (b"s-1", b"s-1\n"):  # cordoned twice
                assert (await stand.call_admin("POST", "cordon", body))[0] == 200
            await wait_until(
                lambda: peers[0].closed_connections.qsize() == peers[0].connection_count
            )  # idle ones are closed
            assert (await stats(stand))["ejected"] == 1
            before = peers[0].requests.qsize()
            stand.discovery.push_update(
                2, [peers[0].list_entry("s-1", "left")]
            )  # a restart: missing, then listed again
            stand.discovery.push_update(3, [peers[0].list_entry("s-1")])
            while (await stand.next_event(ServerList)).version != 3:
                pass
            for _ in range(8):
                assert (await client.send_request(build_request()))[0] == 200
            assert peers[0].requests.qsize() == before
            stand.discovery.push_update(4, [peers[0].list_entry("s-1", "left")])
            while (await stand.next_event(ServerList)).version != 4:
                pass
            assert (await stand.call_admin("POST", "uncordon", b"s-1"))[0] == 200  # although it is not listed
            stand.discovery.push_update(5, [peers[0].list_entry("s-1")])
            while (await stand.next_event(ServerList)).version != 5:
                pass
            async with asyncio.timeout(TIMEOUT_S):
                while peers[0].requests.qsize() == before:
                    assert (await client.send_request(build_request()))[0] == 200
            assert (await stats(stand))["ejected"] == 0
            assert stand.node.policy.uncordoned_at.keys() == {stable_id(b"s-1")}

    run(test())


def test_connecting_to_a_server_that_is_cordoned_ends_and_the_request_goes_elsewhere() -> None:
    async def test() -> None:
        peers = [await FakeServer().start(), await FakeServer().start()]
        async with run_node(*peers, max_attempts=3, admin=ADMIN_ADDRESS) as stand:
            send, out = stand.node.send_attempt, []

            def cordoned_at_once(action: Send) -> None:
                send(action)
                if not out:
                    out.append("s-1" if action.server == stable_id(b"s-1") else "s-2")
                    asyncio.get_running_loop().call_soon(stand.node.cordons.cordon, out[0].encode())

            stand.node.action_handlers[Send] = cordoned_at_once
            assert (await (await stand.connect_client()).send_request(build_request("pay")))[0] == 200
            assert (await stand.next_outcome()).result == Result.UNREACHABLE
            assert peers[0 if out == ["s-1"] else 1].requests.empty()

    run(test())


def test_a_call_to_either_process_applies_to_both(tmp_path: Path) -> None:
    async def test() -> None:
        peers = [await FakeServer().start(), await FakeServer().start()]
        async with run_node(*peers, admin=ADMIN_ADDRESS, shared_folder=tmp_path) as old:
            assert (await old.call_admin("POST", "cordon", b"s-1"))[0] == 200
            async with run_node(*peers, admin=ADMIN_ADDRESS, shared_folder=tmp_path) as new:
                ids = {stable_id(b"s-1"), stable_id(b"s-2")}
                assert new.node.policy.cordoned == {stable_id(b"s-1")}  # from the start
                assert (await new.call_admin("POST", "cordon", b"s-2"))[0] == 200
                await wait_until(lambda: old.node.policy.cordoned == ids)
                assert (await old.call_admin("POST", "uncordon", b"s-1"))[0] == 200
                await wait_until(lambda: new.node.policy.cordoned == {stable_id(b"s-2")})
                at = old.node.policy.uncordoned_at[stable_id(b"s-1")]
                assert new.node.policy.uncordoned_at[stable_id(b"s-1")] == pytest.approx(at, abs=50.0)
                client = await new.connect_client()
                assert (await client.send_request(build_request()))[0] == 200
                assert (peers[0].requests.qsize(), peers[1].requests.qsize()) == (1, 0)
            async with run_node(*peers, admin=ADMIN_ADDRESS, shared_folder=tmp_path) as third:
                assert third.node.policy.cordoned == {stable_id(b"s-2")}
                assert third.node.policy.uncordoned_at.keys() == {
                    stable_id(b"s-1")
                }  # cold in this process too

    run(test())


MALFORMED_FILES = [b"", b"[]", b"{", b'{"cordoned": 7, "returned": {}}', b'{"cordoned": [1], "returned": {}}',
          b'{"cordoned": [], "returned": {"a": NaN}}', b'{"cordoned": []}', b"\xff", b"[" * 9999]  # fmt: skip


@pytest.mark.parametrize("data", MALFORMED_FILES, ids=range(len(MALFORMED_FILES)))
def test_a_malformed_file_is_logged_and_the_next_call_replaces_it(
    tmp_path: Path, data: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    first = SharedState(tmp_path, "n0", lambda before, now: None)
    first.start()
    first.apply_change(lambda state: state.with_cordoned("s-1"))
    first.state_file.write_bytes(data)
    second = SharedState(tmp_path, "n0", lambda before, now: None)
    second.start()
    assert second.state == OperatorState() and str(second.state_file) in caplog.text
    first.apply_change(lambda state: state.with_cordoned("s-2"))
    second.refresh()
    assert second.state.cordoned == {"s-1", "s-2"}
    first.close()
    second.close()


def test_a_cordon_that_cannot_be_saved_returns_503_and_applies_nevertheless(tmp_path: Path) -> None:
    """It must apply 1 s after the call, and a successor knows it once the file can be written."""

    async def test(stand: NodeFixture) -> None:
        for path in tmp_path.iterdir():
            path.unlink()
        tmp_path.rmdir()
        assert (await stand.call_admin("POST", "cordon", b"s-1"))[0] == 503
        assert stand.node.policy.cordoned == {stable_id(b"s-1")}
        assert (await stand.call_admin("POST", "uncordon", b"s-1"))[0] == 503
        assert stand.node.policy.cordoned == {stable_id(b"s-1")}
        tmp_path.mkdir()
        successor = SharedState(tmp_path, "n0", lambda before, now: None)
        async with asyncio.timeout(TIMEOUT_S):
            while not successor.state.cordoned:
                await asyncio.sleep(0.02)
                successor.refresh()
        successor.close()
        assert (await stand.call_admin("POST", "uncordon", b"s-1"))[0] == 200
        assert not stand.node.policy.cordoned

    async def whole() -> None:
        async with run_node(await FakeServer().start(), admin=ADMIN_ADDRESS, shared_folder=tmp_path) as stand:
            await test(stand)

    run(whole())


@pytest.mark.parametrize("call", ["file_stamp", "read_limited", "is_locked"])
@pytest.mark.parametrize("code", [errno.EIO, errno.EMFILE, errno.ENFILE])
def test_what_could_not_be_read_is_read_at_the_next_refresh(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, code: int
) -> None:
    """A failed read does not prove that no server is cordoned, or that no other process is running."""
    first = SharedState(tmp_path, "n0", lambda before, now: None)
    first.start()
    first.apply_change(lambda state: state.with_cordoned("s-1"))

    def fail(path: Path) -> None:
        raise OSError(code, os.strerror(code))

    second = SharedState(tmp_path, "n0", lambda before, now: None)
    with monkeypatch.context() as failing:
        failing.setattr(shared_state, call, fail)
        second.start()
        assert not second.fully_read
    second.refresh()
    assert second.fully_read and second.others_running and second.state.cordoned == {"s-1"}
    first.refresh()
    assert first.others_running  # announced at its second attempt
    first.close()
    second.close()


def test_a_node_accepts_no_client_before_it_has_read_the_cordons(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = SharedState(tmp_path, "n0", lambda before, now: None)
    before.start()
    before.apply_change(lambda state: state.with_cordoned("s-1"))
    before.close()
    read, left = shared_state.read_limited, [3]

    def fail(path: Path) -> bytes:
        if left[0]:
            left[0] -= 1
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        return read(path)

    monkeypatch.setattr(shared_state, "read_limited", fail)

    async def whole() -> None:
        async with run_node(await FakeServer().start(), admin=ADMIN_ADDRESS, shared_folder=tmp_path) as stand:
            assert not left[0]
            assert stand.node.policy.cordoned == {stable_id(b"s-1")}

    run(whole())


def test_waiting_for_a_lock_that_is_not_released_times_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shared_state, "LOCK_TIMEOUT_S", 0.02)
    first, second = (SharedState(tmp_path, "n0", lambda before, now: None) for _ in range(2))
    with first.exclusive_lock(), pytest.raises(TimeoutError):
        second.apply_change(lambda state: state.with_cordoned("s-1"))
    assert not second.state.cordoned
    second.apply_change(lambda state: state.with_cordoned("s-1"))
    assert second.state.cordoned == {"s-1"}


def test_processes_detect_each_other_but_not_those_of_other_nodes(tmp_path: Path) -> None:
    first, second, other = (SharedState(tmp_path, name, lambda b, n: None) for name in ("n0", "n0", "n1"))
    first.start()
    other.start()
    assert not first.others_running and not other.others_running
    second.start()
    first.refresh()
    assert first.others_running and second.others_running
    first.apply_change(lambda state: state.with_cordoned("s-1"))
    other.refresh()
    assert not other.state.cordoned and not other.others_running
    second.close()
    first.refresh()
    assert not first.others_running
    first.close()
    other.close()


def cold_rate(tip: float, elapsed: float) -> float:
    """The share of requests that a cold server gets if it responds in `elapsed` ms, and others in 40 ms."""
    harness = PolicyHarness(make_settings(cold_from=0.2, ramp_time=60_000.0, tip_multiple=tip), servers=4)
    harness.dispatch_event(Cordon(0))
    sent = {server_id: 0 for server_id in range(4)}
    for step in range(1600):
        if step == 800:
            harness.dispatch_event(Uncordon(0, harness.now))
        harness.send_request()
        for number, attempt in list(harness.open_attempts):
            at, entry = harness.attempts[number][attempt]
            takes = elapsed if entry.id == 0 else 40.0
            if harness.now - at >= takes:
                harness.report_outcome(number, attempt, Result.OK, takes)
                sent[entry.id] += step >= 800
        harness.advance_time(10.0)
    return sent[0] / sum(sent.values())


def test_a_cold_server_that_responds_quickly_gets_more_but_not_enough_to_overload_it() -> None:
    sure, quick, slow = cold_rate(1.0, 20.0), cold_rate(2.5, 20.0), cold_rate(2.5, 80.0)
    assert quick > 1.3 * sure  # its responses show more capacity than its age guarantees
    assert slow < 1.1 * sure  # slow responses do not
    assert quick < 2.5 * 0.3 / 3  # of a warm server's share, with 0.3 of its capacity after 8 s


def test_few_of_many_nodes_send_to_a_server_at_once_when_it_is_uncordoned() -> None:
    first = 0
    for seed in range(200):
        harness = PolicyHarness(make_settings(group_size=200), seed=seed, servers=4)
        harness.dispatch_event(Cordon(0))
        harness.dispatch_event(Uncordon(0, harness.now))
        first += targets(harness, 1) == [0]
    assert first < 20


def test_a_cold_server_gets_its_next_request_after_the_last_response() -> None:
    """Waiting for responses can't overload it; with many nodes, or after a failure, only its age counts."""
    got = {}
    for nodes, result in ((2, Result.OK), (400, Result.OK), (2, Result.RESET)):
        harness = PolicyHarness(
            make_settings(group_size=nodes, tip_multiple=2.5, tip_time=2000.0, ramp_time=60_000.0), servers=4
        )
        harness.dispatch_event(Cordon(0))
        targets(harness, 200)
        harness.dispatch_event(Uncordon(0, harness.now))
        for other in range(1, 4):
            harness.dispatch_event(Cordon(other))
        sent = 0
        for _ in range(300):  # no other server is left, so it gets all that it may
            for number, attempt in list(harness.open_attempts):
                harness.report_outcome(number, attempt, result)
            assert len(harness.open_attempts) <= 2
            harness.send_request()
            sent += len(harness.open_attempts)
            harness.advance_time(5.0)
        got[nodes, result] = sent
    assert got[2, Result.OK] > 250
    assert max(got[400, Result.OK], got[2, Result.RESET]) < 30
