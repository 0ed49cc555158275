"""Turns of the event loop: what one connection, and all busy ones together, may take of one."""

from __future__ import annotations

import asyncio
import time
from collections import deque

# Of one turn of the loop, for all connections that want more than one read. libuv accepts one connection in a
# turn, so long turns keep new clients waiting.
TURN_S = 0.001
CLOCK_RESOLUTION_S = 1e-6  # a clock may stand still while little is done
MIN_READ_BYTES, MAX_READ_BYTES = 1024, 65536  # in one read; fewer of input that takes long to parse


class TurnScheduler:
    """Lets the connections that have more to read or to serve take turns.

    In one turn of the loop as many of them go on as will take TURN_S together, and at least one of those that
    have used more than that since their input was last read to the end. The others go first.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        # In the order in which they came: those that have used little, and the others.
        self.light: deque[TurnLimitedProtocol] = deque()
        self.heavy: deque[TurnLimitedProtocol] = deque()
        self.scheduled = False

    def add(self, connection: TurnLimitedProtocol) -> None:
        """Let a connection go on in a later turn."""
        (self.light if connection.used_s < TURN_S else self.heavy).append(connection)
        self.schedule()

    def schedule(self) -> None:
        if not self.scheduled and (self.light or self.heavy):
            self.scheduled = True
            self.loop.call_soon(self.run_turn)

    def run_turn(self) -> None:
        """Let the next connections go on."""
        self.scheduled = False
        left_s = self.begin_turns(self.light, TURN_S)
        self.begin_turns(self.heavy, left_s)
        self.schedule()

    def begin_turns(self, waiting: deque[TurnLimitedProtocol], left_s: float) -> float:
        """Let connections go on, at least one, and return what is left of the time."""
        for _ in range(len(waiting)):
            connection, started = waiting.popleft(), time.perf_counter()
            connection.begin_turn()
            left_s -= time.perf_counter() - started
            if not connection.reading_blocked:
                left_s -= connection.expected_turn_s
            if left_s <= 0:
                break
        return left_s


class TurnLimitedProtocol(asyncio.BufferedProtocol):
    """A connection that is read once in a turn, and no more than it can parse in TURN_S.

    The loop itself repeats reads that fill the buffer, up to 32 times before it looks at another connection.
    """

    transport: asyncio.Transport
    turns: TurnScheduler
    turn_is_over = False  # nothing more is read or served until the next turn
    expected_turn_s = 0.0  # how long the next read will take to parse and serve, if it fills its buffer
    used_s = 0.0  # how long the reads since its input was read to the end took
    read_size = 0  # of the buffer for the read that comes next
    max_read_bytes = MAX_READ_BYTES

    @property
    def reading_blocked(self) -> bool:
        """Whether reading is paused for a reason of the connection's own."""
        raise NotImplementedError

    def take_input(self, nbytes: int) -> None:
        """Parse the bytes that were read, and serve what they complete."""
        raise NotImplementedError

    def limit_buffer(self, buffer: memoryview) -> memoryview:
        """The part of a buffer that the next read may fill."""
        buffer = buffer[: self.max_read_bytes]
        self.read_size = len(buffer)
        return buffer

    def take_turn(self, nbytes: int) -> None:
        """Take what was read, and measure how long that takes."""
        if nbytes < self.read_size:
            self.used_s = 0.0
        else:
            self.end_turn()
        started = time.perf_counter()
        self.take_input(nbytes)
        turn_s = max(time.perf_counter() - started, CLOCK_RESOLUTION_S)
        self.used_s += turn_s
        if nbytes >= MIN_READ_BYTES:  # less says little of what is to come
            bytes_in_turn = int(TURN_S / 2 * nbytes / turn_s)
            self.max_read_bytes = min(max(bytes_in_turn, MIN_READ_BYTES), MAX_READ_BYTES)
            self.expected_turn_s = turn_s * self.max_read_bytes / nbytes

    def end_turn(self) -> None:
        """Go on in a later turn: much more may wait to be read or served."""
        if not self.turn_is_over and not self.transport.is_closing():
            self.turn_is_over = True
            self.transport.pause_reading()
            self.turns.add(self)

    def begin_turn(self) -> None:
        """Go on after other connections have had their turn."""
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
