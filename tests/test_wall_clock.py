"""Steps of the wall clock change neither the slow start nor the return time of a cordoned endpoint."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.member_list import MemberListReader
from flaxstep.proxy.shared_state import OperatorState, SharedState
from flaxstep.proxy.wall_clock import WallClock

HOUR = 3_600_000.0


@dataclass
class Clocks:
    """Both clocks of a machine, in ms."""

    unix: float = 1_700_000_000_000.0
    monotonic: float = 5_000_000.0

    def wait(self, ms: float) -> None:
        self.unix += ms
        self.monotonic += ms

    def wall_clock(self) -> WallClock:
        return WallClock(lambda: self.unix, lambda: self.monotonic)


def listing(version: int, started_at: float, name: str = "s-1") -> dict[str, Any]:
    entry = {
        "instanceId": name,
        "hostPort": "10.0.0.1:9",
        "lifecycle": "active",
        "startedAtMs": started_at,
    }
    return {"generation": version, "reset": False, "instances": [entry]}


@pytest.mark.parametrize("everywhere", [False, True], ids=["this machine", "all machines"])
@pytest.mark.parametrize("step", [HOUR, 7000.0, -7000.0, -HOUR])
def test_an_endpoint_that_starts_after_a_step_is_cold_when_it_is_listed(
    step: float, everywhere: bool
) -> None:
    clocks = Clocks()
    lists = MemberListReader({}, {}, clocks.wall_clock(), stable_id)
    clocks.wait(60_000.0)
    theirs = clocks.unix
    clocks.unix += step
    if everywhere:
        theirs += step
    clocks.wait(2000.0)  # until discovery lists it
    (endpoint,) = lists.read(listing(1, theirs), None).endpoints
    assert clocks.monotonic - 2000.0 <= endpoint.entry.started <= clocks.monotonic


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_known_start_is_not_changed_by_a_step(step: float) -> None:
    clocks = Clocks()
    lists = MemberListReader({}, {}, clocks.wall_clock(), stable_id)
    started_at = clocks.unix - 3000.0
    (before,) = lists.read(listing(1, started_at), None).endpoints
    assert before.entry.started == clocks.monotonic - 3000.0
    clocks.unix += step
    (after,) = lists.read(listing(2, started_at), None).endpoints
    assert after == before


def test_a_step_is_reported_once() -> None:
    clocks = Clocks()
    clock = clocks.wall_clock()
    clocks.unix += HOUR
    assert (clock.detect_step(), clock.detect_step()) == (HOUR, 0.0)


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_successor_gets_the_return_time_in_spite_of_a_step(
    step: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clocks = Clocks()
    monkeypatch.setattr(time, "time", lambda: clocks.unix / 1000)
    seen: list[float] = []
    old = SharedState(tmp_path, "n0", lambda before, state: None)
    old.start()
    at = time.monotonic() * 1000
    old.apply_change(lambda state: state.with_returned("s-1", old.record_return("s-1", at), set()))
    clocks.unix += step

    def record_returns(before: OperatorState, state: OperatorState) -> None:
        seen.extend(new.return_time(name, unix) for name, unix in state.returned.items())

    new = SharedState(tmp_path, "n0", record_returns)
    new.start()
    assert seen == [at]
    old.close()
    new.close()


@pytest.mark.parametrize("data", [b"", b"[]", b'{"s-1": 7}', b'{"s-1": [1]}', b'{"s-1": ["a", 2]}'])
def test_unix_times_are_used_if_the_moments_file_is_malformed(
    data: bytes, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    old = SharedState(tmp_path, "n0", lambda before, state: None)
    now = time.monotonic() * 1000
    old.apply_change(lambda state: state.with_returned("s-1", old.record_return("s-1", now), set()))
    old.moments_file.write_bytes(data)
    new = SharedState(tmp_path, "n0", lambda before, state: None)
    new.start()
    (unix,) = new.state.returned.values()
    assert new.return_time("s-1", unix) == pytest.approx(now, abs=2000.0)
    assert "using Unix times" in caplog.text
    new.close()
