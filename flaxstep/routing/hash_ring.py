"""A consistent-hash ring; the cost of a change depends on the points changed, not on the ring's size."""

from __future__ import annotations

from bisect import bisect, bisect_left, insort
from collections.abc import Mapping

HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
SECTOR_BITS = 8  # the ring has 2 ** 8 sectors, so that an insertion moves few points
KEY_PLACE_STRIDE = 0x632BE59BD9B4E019  # distance between the places of one key on the ring

Point = tuple[int, int]  # position on the ring, endpoint


def mix_bits(number: int) -> int:
    """Return a 64-bit hash of a number; all nodes compute the same."""
    number = (number ^ (number >> 31)) * 0x9E3779B97F4A7C15 & HASH_MASK
    number = (number ^ (number >> 29)) * 0xBF58476D1CE4E5B9 & HASH_MASK
    return number ^ (number >> 32)


class HashRing:
    """Points of endpoints on a ring; a position belongs to the endpoint of the next point."""

    def __init__(self) -> None:
        self._sectors: list[list[Point]] = [[] for _ in range(1 << SECTOR_BITS)]  # each sorted
        self._point_counts: dict[int, int] = {}  # by endpoint
        # By endpoint: all points computed so far; the first ones, as many as its count, are on the ring.
        self._points: dict[int, list[Point]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._sectors))

    def assign(self, counts: Mapping[int, int]) -> None:
        """Set the number of points of these endpoints and remove all others from the ring."""
        removed = {endpoint: 0 for endpoint in self._point_counts if endpoint not in counts}
        self.update(removed | dict(counts))

    def update(self, counts: Mapping[int, int]) -> None:
        """Set the number of points of these endpoints; the others keep theirs."""
        for endpoint, count in counts.items():
            old_count = self._point_counts.get(endpoint, 0)
            if count != old_count:
                self._change_points(endpoint, old_count, count)

    def _change_points(self, endpoint: int, old_count: int, new_count: int) -> None:
        points = self._points.setdefault(endpoint, [])
        for point_number in range(len(points), new_count):
            points.append((mix_bits(endpoint * 1000003 + point_number), endpoint))
        for point in points[new_count:old_count]:
            sector = self._find_sector(point[0])
            del sector[bisect_left(sector, point)]
        for point in points[old_count:new_count]:
            insort(self._find_sector(point[0]), point)
        if new_count:
            self._point_counts[endpoint] = new_count
        else:
            del self._point_counts[endpoint], self._points[endpoint]

    def _find_sector(self, position: int) -> list[Point]:
        return self._sectors[position >> (HASH_BITS - SECTOR_BITS)]

    def find_endpoint(self, key: int, place_number: int) -> int:
        """Return the endpoint at a key's place with this number.

        Raises IndexError on an empty ring.
        """
        position = mix_bits(key + place_number * KEY_PLACE_STRIDE & HASH_MASK)
        sector = self._find_sector(position)
        index = bisect(sector, (position, 0))
        if index < len(sector):
            return sector[index][1]
        next_sector = (position >> (HASH_BITS - SECTOR_BITS)) + 1
        for sector_number in range(next_sector, next_sector + len(self._sectors)):
            if sector := self._sectors[sector_number % len(self._sectors)]:
                return sector[0][1]
        raise IndexError("an empty ring has no places")
