"""Discrete-event simulation: an event queue in virtual time, and a random stream for each purpose."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import numpy as np

DRAWS_PER_BLOCK = 4096  # numpy is only fast for many numbers at once


class Engine:
    """The event queue: makes calls in order of time, then in order of scheduling. Times in ms."""

    def __init__(self) -> None:
        self.now = 0.0
        self.calls_made = 0
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._calls_scheduled = 0

    def call_at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call. A time in the past means now, after the calls that are already due."""
        self._calls_scheduled += 1
        heappush(self._queue, (when if when > self.now else self.now, self._calls_scheduled, call, arguments))

    def call_after(self, delay: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after a delay in ms."""
        self._calls_scheduled += 1
        heappush(self._queue, (self.now + max(delay, 0.0), self._calls_scheduled, call, arguments))

    def run(self, until: float) -> None:
        """Make every call that is due up to a time, and set the clock to it."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, call, arguments = heappop(queue)
            call(*arguments)
            self.calls_made += 1
        self.now = until


class RandomStreams:
    """Independent random streams, one per purpose, named by a text.

    What is drawn from one stream changes no other, so two policies with one seed get the same run.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, purpose: str) -> np.random.Generator:
        return np.random.Generator(np.random.PCG64([self.seed, zlib.crc32(purpose.encode())]))

    def uniform(self, purpose: str) -> UniformStream:
        return UniformStream(self.generator(purpose))


class UniformStream:
    """Uniform random numbers from 0 to 1, one at a time, drawn in blocks."""

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
