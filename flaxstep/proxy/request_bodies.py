"""Bodies in hand: what may be held of them, and a request's body on its way to a server."""

from __future__ import annotations

from typing import Protocol

BUFFERED_BODY_BYTES = 65536  # bytes up to which a body is held whole
MIN_BODY_SHARE_BYTES = 4096  # bytes of a body that never have to be counted
MAX_REQUEST_BODY_BYTES = 32 << 20  # bytes of a request's body


class BodyBudget:
    """One budget for the bodies in hand over all connections: the more there are, the less is held."""

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.bodies = 0
        self.buffer = bytearray(BUFFERED_BODY_BYTES)  # what every connection reads into, one after the other

    @property
    def share(self) -> int:
        """Bytes to hold of one body."""
        return min(max(self.budget // max(self.bodies, 1), MIN_BODY_SHARE_BYTES), BUFFERED_BODY_BYTES)

    def read_buffer(self) -> memoryview:
        return memoryview(self.buffer)[: self.share]


class Source(Protocol):
    """The client that sends a body."""

    def pause_upload(self, hold: bool) -> None:
        """Read no more of it, or read on."""


class Sink(Protocol):
    """The connection to the server that gets it."""

    def write_chunk(self, data: bytes) -> None:
        """Write a part."""

    def finish_body(self) -> None:
        """The whole body has come."""

    def abort_body(self) -> None:
        """The rest will never come."""


class Upload:
    """A request's body that is passed on as it comes. Pauses bound what is held while no server takes it."""

    def __init__(self, source: Source, body_budget: BodyBudget, length: int | None, begun: bytes) -> None:
        self.source = source
        self.body_budget = body_budget
        self.length = length  # None: it comes in chunks
        self.held = [begun] if begun else []
        self.size = len(begun)
        self.sink: Sink | None = None
        self.spent = False  # a server has got some of it: it can't be sent again
        self.whole = self.over = False  # the last byte has come; nobody wants the rest
        self.answered = False  # as the request has its answer

    def feed(self, data: bytes) -> None:
        if self.over:
            return
        if self.sink is not None:
            self.sink.write_chunk(data)
            return
        self.held.append(data)
        self.size += len(data)
        if self.size >= self.body_budget.share:
            self.source.pause_upload(True)

    def end(self) -> None:
        self.whole = True
        if self.sink is not None:
            self.sink.finish_body()

    def join(self, sink: Sink) -> None:
        """A server takes it from here."""
        self.sink, self.spent = sink, True
        held, self.held, self.size = self.held, [], 0
        for data in held:
            sink.write_chunk(data)
        if self.whole:
            sink.finish_body()
        elif not self.over:
            self.source.pause_upload(False)

    def leave(self) -> None:
        """That server takes no more of it."""
        self.sink = None

    def drop(self) -> None:
        """The request has its answer: what still comes is read and thrown away."""
        self.over, self.answered, self.sink = True, True, None
        self.held.clear()
        self.source.pause_upload(False)

    def break_off(self) -> None:
        """The client sends no more of it."""
        sink, self.over, self.sink = self.sink, True, None
        self.held.clear()
        if sink is not None and not self.whole:
            sink.abort_body()
