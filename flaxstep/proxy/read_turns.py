"""Turns of the event loop: one connection gets one read in each, however much its peer sends."""

from __future__ import annotations

import asyncio


class TurnLimitedProtocol(asyncio.BufferedProtocol):
    """A connection that is read once in a turn of the loop.

    The loop itself repeats reads that fill the buffer, up to 32 times before it looks at another connection.
    """

    transport: asyncio.Transport
    turn_is_over = False  # nothing more is read until the next turn of the loop

    @property
    def reading_blocked(self) -> bool:
        """Whether reading is paused for a reason of the connection's own."""
        raise NotImplementedError

    def end_turn(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read on in the next turn, after a read that filled the buffer: much more may wait."""
        if not self.turn_is_over and not self.transport.is_closing():
            self.turn_is_over = True
            self.transport.pause_reading()
            loop.call_soon(self.begin_turn)

    def begin_turn(self) -> None:
        self.turn_is_over = False
        self.update_reading()

    def update_reading(self) -> None:
        """Pause or resume reading."""
        if self.transport.is_closing():
            return
        if self.reading_blocked or self.turn_is_over:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
