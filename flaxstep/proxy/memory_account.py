"""The account of the memory that a node holds for its peers, and what happens when it is used up.

Each byte that is held for a peer belongs to a holder: a connection, or a call to discovery. The account knows
what all of them hold, at what it costs the process. It is sized by the memory limit, less what the process
takes at rest. Bodies may fill a part of it, each in shares that shrink as it fills up. When it is over its
size, the holders that hold most give up what they can: first without harm, with an answer where one is owed.
"""

from __future__ import annotations

import os

from flaxstep.proxy.event_log import log_event

RESTING_BYTES = 21 << 20  # of a process without connections, until it has been measured
MARGIN_DIVISOR = 8  # of the limit: for what is in no account, and for what the allocator keeps
MIN_SIZE_DIVISOR = 16  # of the limit: the least size of the account, if the process takes more than expected

# What a connection or request costs beside its bytes: objects, timers, and the parts of the event loop.
CLIENT_CONNECTION_BYTES = 4096
SERVER_CONNECTION_BYTES = 6144
REQUEST_BYTES = 4096  # that is served: the decisions' record of it and its attempt too
QUEUED_REQUEST_BYTES = 1024
ENDPOINT_BYTES = 3072  # of the server list in force
LIST_BYTES_PER_BYTE = 8  # of a list that is read: the text, copies of it, and the objects made of it

MAX_LIST_BYTES = 8 << 20
MAX_SHARE_BYTES = 65536  # of one body that may be buffered
MIN_SHARE_BYTES = 4096
SHARE_DIVISOR = 8  # of what is left for bodies: as many more of this size always fit
BODY_PART_NUMERATOR, BODY_PART_DENOMINATOR = 7, 8  # of the account; the rest is for heads and connections
STATM_RESIDENT_FIELD = 1  # proc(5)


class MemoryHolder:
    """Holds memory for one peer."""

    held_bytes = 0  # as the account knows it
    holds_nothing_more = False  # it has been removed from the account

    def count_held_bytes(self) -> int:
        """What the process holds for the peer, at its cost."""
        raise NotImplementedError

    def release_memory(self) -> int:
        """Give up what can be given up, with an answer where one is owed.

        Return how many bytes that will free, at once or when the connection has closed; 0: nothing can be.
        """
        return 0


def read_resident_bytes() -> int:
    """The resident memory of this process; 0 if the system does not tell it."""
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[STATM_RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


class CountedHolder(MemoryHolder):
    """Holds a number of like things for one peer, such as the entries or the bytes of a list.

    It gives up none of them: lists have a limit of their own.
    """

    def __init__(self, account: MemoryAccount, bytes_each: int) -> None:
        self.account = account
        self.bytes_each = bytes_each
        self.count = 0

    def set_count(self, count: int) -> None:
        self.count = count
        self.account.update(self)

    def count_held_bytes(self) -> int:
        return self.count * self.bytes_each


class MemoryAccount:
    """What all holders of a process hold together, and the buffer that they share for reading.

    `total_bytes` is the size of the account, `share_bytes` what may be buffered of one body now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.resting_bytes = RESTING_BYTES
        self.process_count = 1  # that share the limit
        self.holders: set[MemoryHolder] = set()
        self.held_bytes = 0
        self.released_count = 0  # times that a holder gave something up, since the last log line
        self.releasing = False
        self.read_memory = bytearray(MAX_SHARE_BYTES)  # all connections read into it, one after the other
        self.resize()

    def resize(self, resting_bytes: int = 0, process_count: int = 0) -> None:
        """Compute the size of the account, perhaps from another use at rest or number of processes."""
        self.resting_bytes = resting_bytes or self.resting_bytes
        self.process_count = process_count or self.process_count
        limit_bytes = self.limit_bytes // self.process_count
        margin_bytes = limit_bytes // MARGIN_DIVISOR
        self.total_bytes = max(
            limit_bytes - self.resting_bytes - margin_bytes, limit_bytes // MIN_SIZE_DIVISOR
        )
        self.bytes_for_bodies = self.total_bytes * BODY_PART_NUMERATOR // BODY_PART_DENOMINATOR
        self.search_above = self.total_bytes  # held bytes; then holders have to give up something
        self.add(0)

    @property
    def is_exhausted(self) -> bool:
        """Whether more is held than the account allows, although nothing more can be given up."""
        return self.held_bytes > self.total_bytes

    @property
    def max_list_bytes(self) -> int:
        """The longest list that may be read: half of the account, at what it costs."""
        return min(self.total_bytes // 2 // LIST_BYTES_PER_BYTE, MAX_LIST_BYTES)

    def read_buffer(self, max_bytes: int = MAX_SHARE_BYTES) -> memoryview:
        """The part of the shared buffer for one read: no read exceeds the share of a body, or `max_bytes`."""
        return memoryview(self.read_memory)[: min(self.share_bytes, max_bytes)]

    def update(self, holder: MemoryHolder) -> None:
        """Take over what the holder holds now, and make room if it is too much."""
        if holder.holds_nothing_more:
            return
        held_bytes = holder.count_held_bytes()
        if held_bytes == holder.held_bytes:
            return
        self.holders.add(holder)
        self.add(held_bytes - holder.held_bytes)
        holder.held_bytes = held_bytes
        if self.held_bytes > self.search_above and not self.releasing:
            self.make_room()

    def add(self, more_bytes: int) -> None:
        """Count more bytes, or fewer, as held."""
        self.held_bytes += more_bytes
        share_bytes = (self.bytes_for_bodies - self.held_bytes) // SHARE_DIVISOR
        self.share_bytes = min(max(share_bytes, MIN_SHARE_BYTES), MAX_SHARE_BYTES)

    def remove(self, holder: MemoryHolder) -> None:
        """Forget a holder that holds nothing any more."""
        self.holders.discard(holder)
        self.add(-holder.held_bytes)
        holder.held_bytes, holder.holds_nothing_more = 0, True
        self.search_above = max(self.total_bytes, min(self.search_above, self.held_bytes + MAX_SHARE_BYTES))

    def make_room(self) -> None:
        """Let those who hold most give up what they can, until the account is within its size."""
        self.releasing = True  # what they do updates the account
        excess_bytes = self.held_bytes - self.total_bytes
        try:
            for holder in sorted(self.holders, key=lambda holder: -holder.held_bytes):
                if excess_bytes <= 0:
                    break
                held_bytes = holder.held_bytes
                if released_bytes := holder.release_memory():
                    excess_bytes -= released_bytes
                    self.released_count += 1
                    log_event("memory_released", held=held_bytes, released=released_bytes)
        finally:
            self.releasing = False
        # A further search would find nothing before more is held, or less.
        self.search_above = self.held_bytes + MAX_SHARE_BYTES if self.is_exhausted else self.total_bytes
