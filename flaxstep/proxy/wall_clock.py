"""Converts Unix times to the monotonic clock, although the wall clock may be stepped at any time."""

from __future__ import annotations

import time
from collections.abc import Callable

MIN_STEP_MS = 1000.0  # smaller differences between the clocks are drift


def unix_ms() -> float:
    """The wall clock as Unix time."""
    return time.time() * 1000


def now_ms() -> float:
    """The monotonic clock, by which all durations are measured."""
    return time.monotonic() * 1000


class WallClock:
    """Converts Unix times of other machines to the monotonic clock.

    After a step it is unknown whether the time was correct before it or is correct after it. The lowest
    offset seen is used: with it no start is computed as earlier than it was, so no cold endpoint counts as
    warm. A start in the future counts as now. One error remains: an endpoint that started long ago, and is
    first listed after a step back, counts as cold once.
    """

    def __init__(self, unix: Callable[[], float] = unix_ms, monotonic: Callable[[], float] = now_ms) -> None:
        self.unix = unix
        self.monotonic = monotonic
        self.offset = self.lowest_offset = unix() - monotonic()  # Unix time minus monotonic time, ms

    def detect_step(self) -> float:
        """Return by how many ms Unix time was stepped since the last call, or 0 without a step."""
        offset = self.unix() - self.monotonic()
        step = offset - self.offset
        self.offset = offset
        self.lowest_offset = min(self.lowest_offset, offset)
        return step if abs(step) >= MIN_STEP_MS else 0.0

    def include_offset(self, offset: float) -> None:
        """Count an offset that another process of this machine has seen."""
        self.lowest_offset = min(self.lowest_offset, offset)

    def to_monotonic(self, unix: float) -> float:
        """The latest monotonic time that this Unix time can mean, but never later than now."""
        return min(unix - self.lowest_offset, self.monotonic())
