"""Ids of requests that have begun: none of them is sent again for another request with the same id.

A table has two generations of open-addressed slots. Ids are added to the current one; once that is three
quarters full, the older one is cleared and becomes current. It is a sequence of unsigned 64-bit words, so
that the processes of one node can share it: each writes to its own table and reads those of the others.
"""

from __future__ import annotations

from collections.abc import Sequence

HEADER_WORDS = 2  # the current generation, and the number of ids in it
MAX_FILL_NUMERATOR, MAX_FILL_DENOMINATOR = 3, 4  # of a generation; with more, searches get long
SLOTS_PER_MB = 256  # of the memory limit: 2 KiB a generation
BYTES_PER_WORD = 8


def table_words(memory_mb: int) -> int:
    """The size of a table in words, for a node with this memory limit."""
    return HEADER_WORDS + 2 * SLOTS_PER_MB * memory_mb


class BegunRequestTable:
    """The ids that one process has sent to job servers. An id is a number from 1 to 2**64 - 1."""

    def __init__(self, words: memoryview[int]) -> None:
        self.words = words
        self.slot_count = (len(words) - HEADER_WORDS) // 2

    def add(self, request_id: int) -> None:
        """Remember an id."""
        generation, count = self.words[0], self.words[1]
        if count * MAX_FILL_DENOMINATOR >= self.slot_count * MAX_FILL_NUMERATOR:
            generation, count = 1 - generation, 0
            self.clear(generation)
        slot, found = self.find_slot(generation, request_id)
        if not found:
            self.words[slot] = request_id
            count += 1
        self.words[0], self.words[1] = generation, count

    def __contains__(self, request_id: int) -> bool:
        if not self.words[0] and not self.words[1]:
            return False  # unused so far
        return self.find_slot(0, request_id)[1] or self.find_slot(1, request_id)[1]

    def find_slot(self, generation: int, request_id: int) -> tuple[int, bool]:
        """The slot that holds the id, or the empty one where it belongs, and whether it was found."""
        first = HEADER_WORDS + generation * self.slot_count
        offset = request_id % self.slot_count
        for _ in range(self.slot_count):
            word = self.words[first + offset]
            if word in (0, request_id):
                return first + offset, word != 0
            offset = (offset + 1) % self.slot_count
        return first, False  # never full, unless another process has spoilt it

    def clear(self, generation: int) -> None:
        """Forget the ids of a generation."""
        first = HEADER_WORDS + generation * self.slot_count
        empty = memoryview(bytes(self.slot_count * BYTES_PER_WORD)).cast("Q")
        self.words[first : first + self.slot_count] = empty


class BegunRequests:
    """The ids that this process and the others of its node have sent to job servers."""

    def __init__(self, own: BegunRequestTable, others: Sequence[BegunRequestTable] = ()) -> None:
        self.own = own
        self.others = others

    def __contains__(self, request_id: int) -> bool:
        return request_id in self.own or self.begun_elsewhere(request_id)

    def begin(self, request_id: int) -> bool:
        """Remember an id that begins now; False if it has begun at another process meanwhile.

        Each process writes before it reads, so of two that begin the same id at the same time at least one
        sees the other.
        """
        self.own.add(request_id)
        return not self.begun_elsewhere(request_id)

    def begun_elsewhere(self, request_id: int) -> bool:
        """Whether another process of the node has sent the request."""
        return any(request_id in table for table in self.others)
