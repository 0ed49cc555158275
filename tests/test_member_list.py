"""Lists as they come from discovery: what can be read of them holds."""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flaxstep.proxy.client_connections import stable_id
from flaxstep.proxy.member_list import MemberListReader
from flaxstep.proxy.wall_clock import WallClock
from flaxstep.routing.interface import ListKind, State

NOW, UNIX_OFFSET = 5000.0, 1_700_000_000_000.0
GOOD: dict[str, Any] = {
    "hostPort": "10.0.0.1:9000",
    "zone": "a",
    "machineType": "m",
    "cell": 3,
    "lifecycle": "active",
    "weight": 2.0,
    "startedAtMs": UNIX_OFFSET + 1000,
}


def reader() -> MemberListReader:
    clock = WallClock(lambda: UNIX_OFFSET + NOW, lambda: NOW)
    return MemberListReader({"a": 0}, {"m": 0}, clock, stable_id)


def entry(name: str, **changes: Any) -> dict[str, Any]:
    return {"instanceId": name} | GOOD | changes


def listing(*instances: Any, generation: Any = 1, reset: Any = True) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": list(instances)}


def states(read: Any) -> dict[str, State]:
    return {endpoint.name: endpoint.entry.state for endpoint in read.endpoints}


JUNK: list[Any] = [None, True, "soon", [], {}, -1.0, float("nan"), float("inf"), 10**400, "\udc80"]


@pytest.mark.parametrize("value", JUNK, ids=range(len(JUNK)))
@pytest.mark.parametrize("key", sorted(GOOD))
def test_a_field_that_cannot_be_read_costs_no_other_entry(key: str, value: Any) -> None:
    read = reader().read(listing(entry("s-1", **{key: value}), entry("s-2", lifecycle="leaving")), None)
    assert states(read)["s-2"] is State.DRAINING
    assert read.version == 1


@pytest.mark.parametrize("key", sorted(GOOD.keys() - {"lifecycle"}))
@pytest.mark.parametrize("word", ["leaving", "left"])
def test_that_an_endpoint_drains_is_read_whatever_else_its_entry_says(word: str, key: str) -> None:
    lists = reader()
    lists.read(listing(entry("s-1")), None)
    read = lists.read(listing(entry("s-1", lifecycle=word, **{key: None}), generation=2, reset=False), None)
    assert states(read)["s-1"] is (State.DRAINING if word == "leaving" else State.GONE)


def test_what_cannot_be_read_stays_as_it_was() -> None:
    lists = reader()
    (old,) = lists.read(listing(entry("s-1")), None).endpoints
    damaged = entry("s-1", hostPort=7, weight=None, startedAtMs="x")
    assert lists.read(listing(damaged, generation=2), None).endpoints == [old]


@pytest.mark.parametrize(("lifecycle", "state"), [(None, State.READY), ("starting", State.DRAINING)])
def test_an_unknown_state_is_not_active_and_none_is_no_news(lifecycle: Any, state: State) -> None:
    lists = reader()
    lists.read(listing(entry("s-1")), None)
    read = lists.read(listing(entry("s-1", lifecycle=lifecycle), generation=2), None)
    assert states(read) == {"s-1": state}


def test_a_start_that_cannot_be_read_counts_as_cold() -> None:
    (endpoint,) = reader().read(listing(entry("s-1", startedAtMs="x")), None).endpoints
    assert endpoint.entry.started == NOW


@pytest.mark.parametrize(
    ("line", "whole"),
    [(listing({}, entry("s-2"), generation=2), False), (listing(entry("s-2"), generation=None), False)],
    ids=["an entry that names nobody", "no version"],
)
def test_a_line_that_may_leave_something_out_takes_nobody_out(line: Any, whole: bool) -> None:
    lists = reader()
    lists.read(listing(entry("s-1")), None)
    read = lists.read(line, ListKind.FULL if whole else None)
    assert (read.kind, read.version) == (ListKind.DELTA, None)  # the whole list is fetched
    assert states(read) == {"s-2": State.READY}


@pytest.mark.parametrize("raw", [None, [], {}, {"instances": 7}, listing(reset="yes")], ids=range(5))
def test_what_is_no_list_is_refused(raw: Any) -> None:
    with pytest.raises(ValueError):
        reader().read(raw, None)


def test_each_fault_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.WARNING, "flaxstep.proxy")
    lists = reader()
    for generation in range(1, 4):
        lists.read(listing(entry("s-1", weight=None), generation=generation), None)
    assert caplog.messages == ["discovery: s-1: weight is 'None'; the other entries are applied"]


def test_an_older_list_takes_no_drain_back_but_a_later_one_or_a_restart_does() -> None:
    lists = reader()
    lists.read(listing(entry("s-1"), entry("s-2"), generation=5), None)
    lists.read(listing(entry("s-1", lifecycle="leaving"), generation=7, reset=False), None)
    older = lists.read(listing(entry("s-1"), entry("s-2"), generation=6), None)
    assert states(older) == {"s-1": State.DRAINING, "s-2": State.READY}
    restarted = entry("s-1", startedAtMs=UNIX_OFFSET + 2000)
    assert states(lists.read(listing(restarted, generation=6), None)) == {"s-1": State.READY}
    lists.read(listing(entry("s-2"), generation=8), None)  # s-1 is gone
    assert states(lists.read(listing(restarted, generation=7), None)) == {"s-1": State.DRAINING}
    assert states(lists.read(listing(restarted, generation=9), None)) == {"s-1": State.READY}


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text("ab", max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text("ab", max_size=4), inner, max_size=3),
    max_leaves=6,
)


@given(st.lists(st.dictionaries(st.sampled_from(["instanceId", *GOOD]), json_values), max_size=4))
def test_no_entry_hides_the_drain_beside_it(others: list[dict[str, Any]]) -> None:
    lists = reader()
    lists.read(listing(entry("s-1")), None)
    line = json.loads(json.dumps(listing(*others, entry("s-1", lifecycle="leaving"), generation=2)))
    assert states(lists.read(line, None))["s-1"] is State.DRAINING


@pytest.mark.parametrize("told", ["leaving", "left", "not named"])
@pytest.mark.parametrize("step", [-17_000.0, 0.0, 3_600_000.0])
def test_an_older_list_takes_no_drain_back_whatever_the_wall_clock_does(told: str, step: float) -> None:
    """The start that the older list tells is the one known before, also where Unix time has been stepped."""
    times = {"unix": UNIX_OFFSET + NOW, "monotonic": NOW}
    clock = WallClock(lambda: times["unix"], lambda: times["monotonic"])
    lists = MemberListReader({"a": 0}, {"m": 0}, clock, stable_id)
    lists.read(listing(entry("s-1"), entry("s-2")), ListKind.FULL)
    news = [entry("s-2")] if told == "not named" else [entry("s-1", lifecycle=told), entry("s-2")]
    lists.read(listing(*news, generation=3), ListKind.FULL)
    lists.read(listing(entry("s-2"), generation=4), ListKind.FULL)
    times["unix"] += 30_000.0 + step
    times["monotonic"] += 30_000.0
    older = lists.read(listing(entry("s-1"), entry("s-2"), generation=2), ListKind.FULL)
    assert states(older)["s-1"] is not State.READY
    restarted = lists.read(listing(entry("s-1", startedAtMs=UNIX_OFFSET + 9000), generation=2), ListKind.FULL)
    assert states(restarted)["s-1"] is State.READY
