"""When a client has written what is read from it, although the node may read it later."""

from __future__ import annotations

# A request that is read at this rate or faster is taken as still being written by its client. What the kernel
# buffers of both sides hold (6 and 4 MiB by default) is read in half a second then, and an answer may be so
# late.
TRANSFER_BYTES_PER_MS = 20 << 10


class ArrivalClock:
    """The times at which the bytes of one connection were written. All times are in ms of one clock.

    While all that has arrived is read at once, bytes are written when they are read. While more may lie
    unread, the client may have written all of it when the node stopped to keep up, and its time runs. Only
    the time that the transfer takes is not counted.
    """

    __slots__ = ("behind_since", "bytes_read_behind")

    def __init__(self) -> None:
        self.behind_since: float | None = None  # None: nothing lies unread
        self.bytes_read_behind = 0  # since then

    def on_read(self, now: float, size: int, more_may_wait: bool) -> None:
        """Note a read; `more_may_wait` if it did not take all that had arrived."""
        if not more_may_wait:
            self.on_caught_up()
        else:
            self.on_held_up(now)
            self.bytes_read_behind += size

    def on_held_up(self, now: float) -> None:
        """The node does not read for now, or not all that has arrived."""
        if self.behind_since is None:
            self.behind_since, self.bytes_read_behind = now, 0

    def on_caught_up(self) -> None:
        """Nothing that has arrived is unread."""
        self.behind_since = None

    def written_at(self, now: float) -> float:
        """The time at which the client may have written the byte that is read at `now`, or the next one."""
        if self.behind_since is None:
            return now
        return min(now, self.behind_since + self.bytes_read_behind / TRANSFER_BYTES_PER_MS)
