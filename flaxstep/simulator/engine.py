"""Virtual time and chance: one queue of calls in order of time, and a random stream for each purpose."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import numpy as np

BLOCK = 4096  # numbers drawn from a stream at once; numpy pays off only in blocks


class Engine:
    """Runs calls at their time, those of one time in the order in which they were asked for. Times in ms."""

    def __init__(self) -> None:
        self.now = 0.0
        self.calls = 0  # made so far
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._asked = 0

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Make a call at a time; one that has passed means now, after what is due already."""
        self._asked += 1
        heappush(self._queue, (when if when > self.now else self.now, self._asked, call, arguments))

    def after(self, delay: float, call: Callable[..., None], *arguments: Any) -> None:
        self._asked += 1
        heappush(self._queue, (self.now + max(delay, 0.0), self._asked, call, arguments))

    def run(self, until: float) -> None:
        """Make every call that is due up to a time, and leave the clock there."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, call, arguments = heappop(queue)
            call(*arguments)
            self.calls += 1
        self.now = until


class Streams:
    """Random streams by purpose. What one purpose draws moves no other, so two policies on one seed meet
    the same day."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, purpose: str) -> np.random.Generator:
        return np.random.Generator(np.random.PCG64([self.seed, zlib.crc32(purpose.encode())]))

    def chance(self, purpose: str) -> Chance:
        return Chance(self.generator(purpose))


class Chance:
    """Uniform numbers from 0 to 1, one at a time, drawn in blocks."""

    __slots__ = ("_generator", "_left")

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator
        self._left: list[float] = []

    def __call__(self) -> float:
        if not self._left:
            self._left = self._generator.random(BLOCK).tolist()
        return self._left.pop()

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self()
