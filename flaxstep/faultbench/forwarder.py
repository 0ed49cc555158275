"""Forwards bytes between two joined connections, with delay, rate limit, loss or reset per direction."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import cast

MAX_QUEUED_BYTES = 1 << 18  # in one direction; beyond it, reading from the sender pauses
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value that makes close send a reset


@dataclass(frozen=True, slots=True)
class Impairment:
    """What happens to the bytes of one direction."""

    delay_s: float = 0.0
    jitter_s: float = 0.0  # upper bound of a random delay in addition
    rate_bytes_s: float = 0.0  # 0: unlimited
    silent: bool = False
    reset: bool = False


UNIMPAIRED = Impairment()


def reset_connection(transport: asyncio.Transport) -> None:
    """Closes a connection with a reset, as the kernel does when a process exits with unread bytes."""
    connection_socket: socket.socket | None = transport.get_extra_info("socket")
    if connection_socket is not None and not transport.is_closing():
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


class Direction:
    """One direction of a pair: delivers bytes and the close in order, each when it is due."""

    def __init__(self, loop: asyncio.AbstractEventLoop, source: PairSide, target: PairSide) -> None:
        self.loop, self.source, self.target = loop, source, target
        self.impairment, self.random = UNIMPAIRED, cast(Callable[[], float], None)
        self.queue: deque[tuple[float, bytes | None, bool]] = (
            deque()
        )  # due time, bytes (None: close), whether the close is a reset
        self.queued_bytes = 0
        self.last_due = self.rate_free_at = 0.0
        self.bytes_dropped = False  # bytes were lost, so nothing after them may be delivered
        self.close_delivered = False

    def enqueue(self, data: bytes | None, by_reset: bool = False) -> None:
        impairment = self.impairment
        if impairment.silent or self.bytes_dropped:
            self.bytes_dropped = True
            return
        if impairment is UNIMPAIRED and not self.queue and self.target.transport is not None:
            self.deliver(data, by_reset)
            return
        now = self.loop.time()
        due = now + impairment.delay_s + (impairment.jitter_s * self.random() if impairment.jitter_s else 0.0)
        if impairment.rate_bytes_s and data:
            self.rate_free_at = max(self.rate_free_at, now) + len(data) / impairment.rate_bytes_s
            due = max(due, self.rate_free_at)
        self.last_due = max(due, self.last_due)
        self.queue.append((self.last_due, data, by_reset))
        self.queued_bytes += len(data or b"")
        if len(self.queue) == 1:
            self.loop.call_at(self.last_due, self.deliver_due)
        if self.queued_bytes > MAX_QUEUED_BYTES:
            self.source.pause_reading()

    def deliver_due(self) -> None:
        if self.target.transport is None:  # not connected yet; `open` calls this again
            return
        now = self.loop.time()
        while self.queue and self.queue[0][0] <= now + 0.0002:
            _, data, by_reset = self.queue.popleft()
            self.queued_bytes -= len(data or b"")
            if self.impairment.silent:
                self.bytes_dropped = True
            if not self.bytes_dropped:
                self.deliver(data, by_reset)
        if self.queue:
            self.loop.call_at(self.queue[0][0], self.deliver_due)
        if self.queued_bytes <= MAX_QUEUED_BYTES:
            self.source.resume_reading()

    def deliver(self, data: bytes | None, by_reset: bool) -> None:
        target = self.target.transport
        assert target is not None
        if target.is_closing():
            return
        if data is not None:
            target.write(data)
        elif by_reset:
            reset_connection(target)
        elif not self.close_delivered:
            self.close_delivered = True
            target.close()


class PairSide(asyncio.Protocol):
    """One connection of a pair. Passes bytes to the pair's `on_data` before it forwards them."""

    def __init__(self, pair: ConnectionPair) -> None:
        self.pair = pair
        self.transport: asyncio.Transport | None = None
        self.opposite: PairSide
        self.outgoing: Direction  # towards the opposite side
        self.paused = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pair.on_connected(self)

    def data_received(self, data: bytes) -> None:
        self.pair.on_data(self, data)
        self.outgoing.enqueue(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pair.on_closed(self)
        self.outgoing.enqueue(None, exc is not None)

    def pause_writing(self) -> None:
        self.opposite.pause_reading()

    def resume_writing(self) -> None:
        self.opposite.resume_reading()

    def pause_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()


class ConnectionPair:
    """A caller's connection and the connection to the callee that was opened for it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.caller, self.callee = PairSide(self), PairSide(self)
        self.caller.opposite, self.callee.opposite = self.callee, self.caller
        self.forward = self.caller.outgoing = Direction(loop, self.caller, self.callee)
        self.backward = self.callee.outgoing = Direction(loop, self.callee, self.caller)

    async def open(self, accepted: socket.socket, host: str, port: int) -> None:
        """Connects to the callee for an accepted connection; resets the caller's connection if that fails."""
        await self.loop.connect_accepted_socket(lambda: self.caller, accepted)
        assert self.caller.transport is not None
        try:
            await self.loop.create_connection(lambda: self.callee, host, port)
        except OSError:
            reset_connection(self.caller.transport)
            return
        self.forward.deliver_due()  # bytes and the close that arrived meanwhile

    def reset_both(self) -> None:
        """Resets both connections."""
        for side in (self.caller, self.callee):
            if side.transport is not None:
                reset_connection(side.transport)

    def on_connected(self, side: PairSide) -> None:
        """Called when a side's connection is established."""

    def on_data(self, side: PairSide, data: bytes) -> None:
        """Called when bytes arrive from a side."""

    def on_closed(self, side: PairSide) -> None:
        """Called when a side's connection has closed."""


def bind_listener(host: str, port: int) -> socket.socket:
    """Returns a bound, non-blocking TCP socket that does not listen yet."""
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.setblocking(False)
    listening_socket.bind((host, port))
    return listening_socket


def accept_waiting(listening: socket.socket) -> Iterator[tuple[socket.socket, tuple[str, int]]]:
    """Accepts the connections that wait in a listener's backlog; yields each with its peer address."""
    while True:
        try:
            accepted, peer = listening.accept()
        except OSError:  # none left, or the connection was aborted
            return
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        yield accepted, peer
