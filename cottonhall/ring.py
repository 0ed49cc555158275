"""A consistent-hash ring whose changes cost what changed."""

from __future__ import annotations

from bisect import bisect, bisect_left, insort
from collections.abc import Iterable, Mapping

MASK = (1 << 64) - 1
SORT_FROM = 0.02  # the part of all points from which on sorting anew is quicker than single insertions
KEY_STEP = 0x632BE59BD9B4E019  # between the places of one key


def mix(x: int) -> int:
    """Scatter a number over 64 bits; the same at every node."""
    x = (x ^ (x >> 31)) * 0x9E3779B97F4A7C15 & MASK
    x = (x ^ (x >> 29)) * 0xBF58476D1CE4E5B9 & MASK
    return x ^ (x >> 32)


class HashRing:
    """Points of endpoints on a ring; a key belongs to the endpoint of the next point."""

    def __init__(self) -> None:
        self._points: list[tuple[int, int]] = []  # where, and whose; in order
        self._counts: dict[int, int] = {}  # points by endpoint

    def __len__(self) -> int:
        return len(self._points)

    def assign(self, counts: Mapping[int, int]) -> None:
        """These endpoints have so many points each, all others none."""
        gone = {i: 0 for i in self._counts if i not in counts}
        self.update(gone | dict(counts))

    def update(self, counts: Mapping[int, int]) -> None:
        """These endpoints have so many points each from now on; the others keep theirs."""
        changed = {i: n for i, n in counts.items() if self._counts.get(i, 0) != n}
        points = sum(abs(n - self._counts.get(i, 0)) for i, n in changed.items())
        if points > max(SORT_FROM * len(self._points), 1.0):
            self._counts = {i: n for i, n in (self._counts | changed).items() if n}
            self._points = sorted(point for i, n in self._counts.items() for point in _points(i, range(n)))
            return
        for i, n in changed.items():
            self._change(i, self._counts.get(i, 0), n)

    def _change(self, endpoint: int, before: int, after: int) -> None:
        for point in _points(endpoint, range(after, before)):
            del self._points[bisect_left(self._points, point)]
        for point in _points(endpoint, range(before, after)):
            insort(self._points, point)
        if after:
            self._counts[endpoint] = after
        else:
            del self._counts[endpoint]

    def place(self, key: int, number: int) -> int:
        """The endpoint of a key's place of that number; IndexError on an empty ring."""
        spot = bisect(self._points, (mix(key + number * KEY_STEP & MASK), 0))
        return self._points[spot % len(self._points)][1]


def _points(endpoint: int, numbers: Iterable[int]) -> list[tuple[int, int]]:
    return [(mix(endpoint * 1000003 + number), endpoint) for number in numbers]
