"""Virtual time and chance: one queue of calls in order of time, and a random stream for each purpose."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import numpy as np

DRAWS_PER_BLOCK = 4096  # numbers drawn from a stream at once; numpy pays off only in blocks


class Engine:
    """Runs calls at their time, those of one time in the order in which they were asked for. Times in ms."""

    def __init__(self) -> None:
        self.now = 0.0
        self.calls_made = 0  # made so far
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._calls_scheduled = 0

    def call_at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Make a call at a time; one that has passed means now, after what is due already."""
        self._calls_scheduled += 1
        heappush(self._queue, (when if when > self.now else self.now, self._calls_scheduled, call, arguments))

    def call_after(self, delay: float, call: Callable[..., None], *arguments: Any) -> None:
        self._calls_scheduled += 1
        heappush(self._queue, (self.now + max(delay, 0.0), self._calls_scheduled, call, arguments))

    def run(self, until: float) -> None:
        """Make every call that is due up to a time, and leave the clock there."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, call, arguments = heappop(queue)
            call(*arguments)
            self.calls_made += 1
        self.now = until


class RandomStreams:
    """Random streams by purpose. What one purpose draws moves no other, so two policies on one seed meet
    the same day."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, purpose: str) -> np.random.Generator:
        return np.random.Generator(np.random.PCG64([self.seed, zlib.crc32(purpose.encode())]))

    def uniform(self, purpose: str) -> UniformStream:
        return UniformStream(self.generator(purpose))


class UniformStream:
    """Uniform numbers from 0 to 1, one at a time, drawn in blocks."""

    __slots__ = ("_generator", "_drawn")

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator
        self._drawn: list[float] = []

    def __call__(self) -> float:
        if not self._drawn:
            self._drawn = self._generator.random(DRAWS_PER_BLOCK).tolist()
        return self._drawn.pop()

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self()
