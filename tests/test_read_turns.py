"""Turns of the loop among busy connections, with a clock that the test moves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import pytest

from flaxstep.proxy import read_turns
from flaxstep.proxy.read_turns import (
    MAX_READ_BYTES,
    MIN_READ_BYTES,
    TURN_S,
    TurnLimitedProtocol,
    TurnScheduler,
)


class StillTransport:
    """A transport that only notes whether it is read."""

    def __init__(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


class TurnLoop:
    """Collects the callbacks of the next turn."""

    def __init__(self) -> None:
        self.callbacks: list[Callable[[], None]] = []

    def call_soon(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)

    def run_turn(self) -> None:
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()


class BusyConnection(TurnLimitedProtocol):
    """A connection whose input takes a fixed time for each byte."""

    reading_blocked = False

    def __init__(self, turns: TurnScheduler, clock: list[float], s_per_byte: float) -> None:
        self.turns, self.clock, self.s_per_byte = turns, clock, s_per_byte
        self.transport = cast(Any, StillTransport())

    def take_input(self, nbytes: int) -> None:
        self.clock[0] += nbytes * self.s_per_byte

    def read(self) -> int:
        """Read as much as fits, and return how much that was."""
        size = len(self.limit_buffer(memoryview(bytearray(MAX_READ_BYTES))))
        self.take_turn(size)
        return size


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now = [0.0]
    monkeypatch.setattr(read_turns.time, "perf_counter", lambda: now[0])
    return now


# Guards against: a read takes as long as its input is expensive, and all others wait.
@pytest.mark.parametrize("ns_per_byte", [0, 1, 10, 100, 600, 5000])
def test_read_is_no_longer_than_its_input_parses_in_a_turn(clock: list[float], ns_per_byte: int) -> None:
    loop = TurnLoop()
    connection = BusyConnection(
        TurnScheduler(cast(asyncio.AbstractEventLoop, loop)), clock, ns_per_byte * 1e-9
    )
    connection.max_read_bytes = MIN_READ_BYTES  # as for a head
    sizes = [connection.read() for _ in range(5)]
    for size in sizes[1:]:
        assert size == MIN_READ_BYTES or size * ns_per_byte * 1e-9 <= TURN_S / 2
    assert ns_per_byte > 7 or sizes[1] == MAX_READ_BYTES


# Guards against: a crowd of busy connections has a turn each before any other connection is looked at.
@pytest.mark.parametrize("crowd", [3, 340])
def test_turn_is_short_however_many_are_busy_and_those_that_used_little_go_first(
    clock: list[float], crowd: int
) -> None:
    loop = TurnLoop()
    turns = TurnScheduler(cast(asyncio.AbstractEventLoop, loop))
    busy = [BusyConnection(turns, clock, 600e-9) for _ in range(crowd)]
    for connection in busy:
        connection.used_s = 10 * TURN_S
        connection.max_read_bytes = MIN_READ_BYTES
        connection.read()
    newcomer = BusyConnection(turns, clock, 100e-9)
    newcomer.max_read_bytes = MIN_READ_BYTES
    newcomer.read()
    loop.run_turn()
    assert newcomer.transport.reading
    for _ in range(2 * crowd):  # each of the crowd gets its turns
        started = clock[0]
        for connection in [*busy, newcomer]:
            if connection.transport.reading:
                connection.read()
        assert clock[0] - started <= 2 * TURN_S
        loop.run_turn()
    assert all(connection.used_s > 10 * TURN_S + 1e-3 for connection in busy)
