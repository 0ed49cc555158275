"""Bytes that are collected in blocks of limited size, for whatever arrives in pieces."""

from __future__ import annotations

from collections.abc import Sequence

BLOCK_BYTES = 4096  # at most; larger arrays that grow are moved, and leave holes behind that fit nothing
# Of memory that is taken and given back in pieces of many sizes the allocator can reuse only a part.
ALLOCATOR_NUMERATOR, ALLOCATOR_DENOMINATOR = 5, 4
BLOCK_COST_BYTES = 128  # of a block beside its bytes


class BlockBuffer:
    """Collects bytes. Pieces of any size cost hardly more than their length, and growing moves one block."""

    __slots__ = ("blocks", "size")

    def __init__(self, data: bytes = b"") -> None:
        self.blocks: list[bytearray] = []
        self.size = 0
        if data:
            self.append(data)

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        position, size = 0, len(data)
        if not self.blocks and size <= BLOCK_BYTES:
            self.blocks.append(bytearray(data))
            self.size = size
            return
        if self.blocks and (room := BLOCK_BYTES - len(self.blocks[-1])) > 0:
            self.blocks[-1] += data[:room]
            position = room
        while position < size:
            self.blocks.append(bytearray(data[position : position + BLOCK_BYTES]))
            position += BLOCK_BYTES
        self.size += size

    def take_blocks(self) -> Sequence[bytearray]:
        """Return all blocks, and keep none. They must not be changed any more."""
        blocks, self.blocks, self.size = self.blocks, [], 0
        return blocks

    def count_held_bytes(self) -> int:
        """What the buffer costs the process."""
        held_bytes = self.size + len(self.blocks) * BLOCK_COST_BYTES
        return held_bytes * ALLOCATOR_NUMERATOR // ALLOCATOR_DENOMINATOR

    def __len__(self) -> int:
        return self.size

    def __bytes__(self) -> bytes:
        return b"".join(self.blocks)
