"""Two connections joined: what comes in at one goes out at the other, with what the way does to it."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import cast

MOST_QUEUED = 1 << 18  # bytes under way in one direction; beyond it the sender has to wait
LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: close with a reset


@dataclass(frozen=True, slots=True)
class Effect:
    """What a way does to bytes."""

    delay: float = 0.0  # s
    jitter: float = 0.0  # s more at most
    rate: float = 0.0  # bytes a second; 0: as they come
    silent: bool = False
    reset: bool = False


CLEAR = Effect()


def reset(transport: asyncio.Transport) -> None:
    """End a connection at once, as the kernel does for a process that has died with bytes unread."""
    ours: socket.socket | None = transport.get_extra_info("socket")
    if ours is not None and not transport.is_closing():
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    transport.abort()


class Way:
    """One direction of a pair: bytes and the end, in order, each at its time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, source: Side, target: Side) -> None:
        self.loop, self.source, self.target = loop, source, target
        self.effect, self.chance = CLEAR, cast(Callable[[], float], None)
        self.queue: deque[tuple[float, bytes | None, bool]] = deque()  # due, bytes; None: the end, by a reset
        self.queued = 0
        self.last = self.free = 0.0
        self.lost = False  # bytes have vanished: nothing that follows may arrive
        self.over = False

    def push(self, data: bytes | None, hard: bool = False) -> None:
        effect = self.effect
        if effect.silent or self.lost:
            self.lost = True
            return
        if effect is CLEAR and not self.queue and self.target.transport is not None:
            self.deliver(data, hard)
            return
        now = self.loop.time()
        due = now + effect.delay + (effect.jitter * self.chance() if effect.jitter else 0.0)
        if effect.rate and data:
            self.free = max(self.free, now) + len(data) / effect.rate
            due = max(due, self.free)
        self.last = max(due, self.last)
        self.queue.append((self.last, data, hard))
        self.queued += len(data or b"")
        if len(self.queue) == 1:
            self.loop.call_at(self.last, self.pump)
        if self.queued > MOST_QUEUED:
            self.source.pause()

    def pump(self) -> None:
        if self.target.transport is None:  # not up yet; it pumps when it is
            return
        now = self.loop.time()
        while self.queue and self.queue[0][0] <= now + 0.0002:
            _, data, hard = self.queue.popleft()
            self.queued -= len(data or b"")
            if self.effect.silent:
                self.lost = True
            if not self.lost:
                self.deliver(data, hard)
        if self.queue:
            self.loop.call_at(self.queue[0][0], self.pump)
        if self.queued <= MOST_QUEUED:
            self.source.go_on()

    def deliver(self, data: bytes | None, hard: bool) -> None:
        target = self.target.transport
        assert target is not None
        if target.is_closing():
            return
        if data is not None:
            target.write(data)
        elif hard:
            reset(target)
        elif not self.over:
            self.over = True
            target.close()


class Side(asyncio.Protocol):
    """One connection of a pair. `taken` hears of what comes in, before it goes on its way."""

    def __init__(self, pair: Pair) -> None:
        self.pair = pair
        self.transport: asyncio.Transport | None = None
        self.other: Side
        self.way: Way  # from here to the other side
        self.paused = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pair.made(self)

    def data_received(self, data: bytes) -> None:
        self.pair.taken(self, data)
        self.way.push(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pair.ended(self)
        self.way.push(None, exc is not None)

    def pause_writing(self) -> None:
        self.other.pause()

    def resume_writing(self) -> None:
        self.other.go_on()

    def pause(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def go_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()


class Pair:
    """A caller's connection and the one that was opened for it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.caller, self.callee = Side(self), Side(self)
        self.caller.other, self.callee.other = self.callee, self.caller
        self.there = self.caller.way = Way(loop, self.caller, self.callee)
        self.back = self.callee.way = Way(loop, self.callee, self.caller)

    async def open(self, accepted: socket.socket, host: str, port: int) -> None:
        """Join an accepted connection with a new one; if that can't be opened, the caller's is reset."""
        await self.loop.connect_accepted_socket(lambda: self.caller, accepted)
        assert self.caller.transport is not None
        try:
            await self.loop.create_connection(lambda: self.callee, host, port)
        except OSError:
            reset(self.caller.transport)
            return
        self.there.pump()  # what has come meanwhile, the end included

    def cut(self) -> None:
        """Reset both connections."""
        for side in (self.caller, self.callee):
            if side.transport is not None:
                reset(side.transport)

    def made(self, side: Side) -> None:
        """A side's connection is up."""

    def taken(self, side: Side, data: bytes) -> None:
        """Bytes have come in at a side."""

    def ended(self, side: Side) -> None:
        """A side's connection has ended."""


def listener(host: str, port: int) -> socket.socket:
    """A socket bound for TCP, not listening yet."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    bound.bind((host, port))
    return bound


def waiting(listening: socket.socket) -> Iterator[tuple[socket.socket, tuple[str, int]]]:
    """The connections that wait at a listener, and who opened them."""
    while True:
        try:
            accepted, peer = listening.accept()
        except OSError:  # none left, or it has gone again
            return
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        yield accepted, peer
