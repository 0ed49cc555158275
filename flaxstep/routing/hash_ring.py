"""A consistent-hash ring whose changes cost what changed."""

from __future__ import annotations

from bisect import bisect, bisect_left, insort
from collections.abc import Mapping

BITS = 64
MASK = (1 << BITS) - 1
SECTOR_BITS = 8  # the ring is kept in 2 ** 8 sectors, so that an insertion moves few points
KEY_STEP = 0x632BE59BD9B4E019  # between the places of one key

Point = tuple[int, int]  # where on the ring, and whose


def mix(x: int) -> int:
    """Scatter a number over 64 bits; the same at every node."""
    x = (x ^ (x >> 31)) * 0x9E3779B97F4A7C15 & MASK
    x = (x ^ (x >> 29)) * 0xBF58476D1CE4E5B9 & MASK
    return x ^ (x >> 32)


class HashRing:
    """Points of endpoints on a ring; a key belongs to the endpoint of the next point."""

    def __init__(self) -> None:
        self._sectors: list[list[Point]] = [[] for _ in range(1 << SECTOR_BITS)]  # each in order
        self._counts: dict[int, int] = {}  # points by endpoint
        self._points: dict[int, list[Point]] = {}  # made for an endpoint so far, at least those on the ring

    def __len__(self) -> int:
        return sum(map(len, self._sectors))

    def assign(self, counts: Mapping[int, int]) -> None:
        """These endpoints have so many points each, all others none."""
        gone = {i: 0 for i in self._counts if i not in counts}
        self.update(gone | dict(counts))

    def update(self, counts: Mapping[int, int]) -> None:
        """These endpoints have so many points each from now on; the others keep theirs."""
        for endpoint, count in counts.items():
            before = self._counts.get(endpoint, 0)
            if count != before:
                self._change(endpoint, before, count)

    def _change(self, endpoint: int, before: int, after: int) -> None:
        points = self._points.setdefault(endpoint, [])
        for number in range(len(points), after):
            points.append((mix(endpoint * 1000003 + number), endpoint))
        for point in points[after:before]:
            sector = self._sector(point[0])
            del sector[bisect_left(sector, point)]
        for point in points[before:after]:
            insort(self._sector(point[0]), point)
        if after:
            self._counts[endpoint] = after
        else:
            del self._counts[endpoint], self._points[endpoint]

    def _sector(self, at: int) -> list[Point]:
        return self._sectors[at >> (BITS - SECTOR_BITS)]

    def place(self, key: int, number: int) -> int:
        """The endpoint of a key's place of that number; IndexError on an empty ring."""
        at = mix(key + number * KEY_STEP & MASK)
        sector = self._sector(at)
        spot = bisect(sector, (at, 0))
        if spot < len(sector):
            return sector[spot][1]
        first = (at >> (BITS - SECTOR_BITS)) + 1
        for further in range(first, first + len(self._sectors)):
            if sector := self._sectors[further % len(self._sectors)]:
                return sector[0][1]
        raise IndexError("an empty ring has no places")
