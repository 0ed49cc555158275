"""Parsing of discovery's lists: every readable entry and field is applied."""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.member_list import MemberListReader
from flaxstep.proxy.wall_clock import WallClock
from flaxstep.routing.interface import ListKind, State

NOW, UNIX_OFFSET = 5000.0, 1_700_000_000_000.0
VALID_FIELDS: dict[str, Any] = {
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
    return {"instanceId": name} | VALID_FIELDS | changes


def listing(*instances: Any, generation: Any = 1, reset: Any = True) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": list(instances)}


def states(read: Any) -> dict[str, State]:
    return {endpoint.name: endpoint.entry.state for endpoint in read.endpoints}


INVALID_VALUES: list[Any] = [None, True, "soon", [], {}, -1.0, float("nan"), float("inf"), 10**400, "\udc80"]


@pytest.mark.parametrize("value", INVALID_VALUES, ids=range(len(INVALID_VALUES)))
@pytest.mark.parametrize("key", sorted(VALID_FIELDS))
def test_an_invalid_field_does_not_affect_other_entries(key: str, value: Any) -> None:
    read = reader().read(listing(entry("s-1", **{key: value}), entry("s-2", lifecycle="leaving")), None)
    assert states(read)["s-2"] is State.DRAINING
    assert read.version == 1


@pytest.mark.parametrize("key", sorted(VALID_FIELDS.keys() - {"lifecycle"}))
@pytest.mark.parametrize("word", ["leaving", "left"])
def test_the_lifecycle_is_read_even_if_another_field_is_invalid(word: str, key: str) -> None:
    lists = reader()
    lists.read(listing(entry("s-1")), None)
    read = lists.read(listing(entry("s-1", lifecycle=word, **{key: None}), generation=2, reset=False), None)
    assert states(read)["s-1"] is (State.DRAINING if word == "leaving" else State.GONE)


def test_invalid_fields_keep_their_previous_values() -> None:
    lists = reader()
    (old,) = lists.read(listing(entry("s-1")), None).endpoints
    damaged = entry("s-1", hostPort=7, weight=None, startedAtMs="x")
    assert lists.read(listing(damaged, generation=2), None).endpoints == [old]


@pytest.mark.parametrize(("lifecycle", "state"), [(None, State.READY), ("starting", State.DRAINING)])
def test_an_unknown_lifecycle_is_not_active_and_a_missing_one_changes_nothing(
    lifecycle: Any, state: State
) -> None:
    lists = reader()
    lists.read(listing(entry("s-1")), None)
    read = lists.read(listing(entry("s-1", lifecycle=lifecycle), generation=2), None)
    assert states(read) == {"s-1": state}


def test_an_invalid_start_time_counts_as_cold() -> None:
    (endpoint,) = reader().read(listing(entry("s-1", startedAtMs="x")), None).endpoints
    assert endpoint.entry.started == NOW


@pytest.mark.parametrize(
    ("line", "whole"),
    [(listing({}, entry("s-2"), generation=2), False), (listing(entry("s-2"), generation=None), False)],
    ids=["an entry without an id", "no version"],
)
def test_an_incomplete_line_removes_no_endpoint(line: Any, whole: bool) -> None:
    lists = reader()
    lists.read(listing(entry("s-1")), None)
    read = lists.read(line, ListKind.FULL if whole else None)
    assert (read.kind, read.version) == (ListKind.DELTA, None)  # the full list has to be requested
    assert states(read) == {"s-2": State.READY}


@pytest.mark.parametrize("raw", [None, [], {}, {"instances": 7}, listing(reset="yes")], ids=range(5))
def test_anything_but_a_list_is_rejected(raw: Any) -> None:
    with pytest.raises(ValueError):
        reader().read(raw, None)


def test_each_fault_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.WARNING, "flaxstep.proxy")
    lists = reader()
    for generation in range(1, 4):
        lists.read(listing(entry("s-1", weight=None), generation=generation), None)
    assert caplog.messages == ["discovery: s-1: weight is 'None'; the other entries are applied"]


def test_a_drain_is_ended_by_a_later_list_or_a_restart_but_not_by_an_older_list() -> None:
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


@given(st.lists(st.dictionaries(st.sampled_from(["instanceId", *VALID_FIELDS]), json_values), max_size=4))
def test_no_entry_hides_the_drain_of_another(others: list[dict[str, Any]]) -> None:
    lists = reader()
    lists.read(listing(entry("s-1")), None)
    line = json.loads(json.dumps(listing(*others, entry("s-1", lifecycle="leaving"), generation=2)))
    assert states(lists.read(line, None))["s-1"] is State.DRAINING


@pytest.mark.parametrize("announced", ["leaving", "left", "not named"])
@pytest.mark.parametrize("step", [-17_000.0, 0.0, 3_600_000.0])
def test_an_older_list_ends_no_drain_whatever_the_wall_clock_does(announced: str, step: float) -> None:
    """The start in the older list is recognised as the known one, even after a step of the wall clock."""
    times = {"unix": UNIX_OFFSET + NOW, "monotonic": NOW}
    clock = WallClock(lambda: times["unix"], lambda: times["monotonic"])
    lists = MemberListReader({"a": 0}, {"m": 0}, clock, stable_id)
    lists.read(listing(entry("s-1"), entry("s-2")), ListKind.FULL)
    instances = (
        [entry("s-2")] if announced == "not named" else [entry("s-1", lifecycle=announced), entry("s-2")]
    )
    lists.read(listing(*instances, generation=3), ListKind.FULL)
    lists.read(listing(entry("s-2"), generation=4), ListKind.FULL)
    times["unix"] += 30_000.0 + step
    times["monotonic"] += 30_000.0
    older = lists.read(listing(entry("s-1"), entry("s-2"), generation=2), ListKind.FULL)
    assert states(older)["s-1"] is not State.READY
    restarted = lists.read(listing(entry("s-1", startedAtMs=UNIX_OFFSET + 9000), generation=2), ListKind.FULL)
    assert states(restarted)["s-1"] is State.READY
