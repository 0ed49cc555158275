"""Unix time against the monotonic clock, where Unix time may be stepped at any moment."""

from __future__ import annotations

import time
from collections.abc import Callable

MIN_STEP_MS = 1000.0  # ms by which the two clocks may drift apart before it is called a step


def unix_ms() -> float:
    return time.time() * 1000


def now_ms() -> float:
    """The monotonic clock, on which all spans are reckoned."""
    return time.monotonic() * 1000


class WallClock:
    """Turns another machine's Unix times into moments of the monotonic clock.

    After a step nobody can tell whether the time was right before it or is right after it. So the lowest
    offset seen counts: with it a start is never taken for earlier than it was, and an endpoint that is cold
    never for warm. A start that then lies ahead counts as now. What this can't tell: an endpoint that started
    long ago, and is first listed after a step back, counts as cold once.
    """

    def __init__(self, unix: Callable[[], float] = unix_ms, monotonic: Callable[[], float] = now_ms) -> None:
        self.unix = unix
        self.monotonic = monotonic
        self.offset = self.lowest_offset = unix() - monotonic()  # Unix time less the monotonic clock, ms

    def detect_step(self) -> float:
        """Compare the clocks again; by how many ms Unix time was stepped since the last look, else 0."""
        offset = self.unix() - self.monotonic()
        step = offset - self.offset
        self.offset = offset
        self.lowest_offset = min(self.lowest_offset, offset)
        return step if abs(step) >= MIN_STEP_MS else 0.0

    def to_monotonic(self, unix: float) -> float:
        """When that was on the monotonic clock, at the latest; never ahead of now."""
        return min(unix - self.lowest_offset, self.monotonic())
