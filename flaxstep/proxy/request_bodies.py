"""Bodies in hand: what may be held of them, and a request's body on its way to a server."""

from __future__ import annotations

from typing import Protocol

BUFFERED_BODY_BYTES = 65536  # bytes up to which a body is held whole
MIN_BODY_SHARE_BYTES = 4096  # bytes of a body that never have to be counted
MAX_REQUEST_BODY_BYTES = 32 << 20  # bytes of a request's body


class BodyBudget:
    """One budget for the bodies in hand over all connections: the more there are, the less is held."""

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.body_count = 0
        self.buffer = bytearray(BUFFERED_BODY_BYTES)  # what every connection reads into, one after the other

    @property
    def share_bytes(self) -> int:
        """Bytes to hold of one body."""
        return min(
            max(self.total_bytes // max(self.body_count, 1), MIN_BODY_SHARE_BYTES), BUFFERED_BODY_BYTES
        )

    def read_buffer(self) -> memoryview:
        return memoryview(self.buffer)[: self.share_bytes]


class UploadSource(Protocol):
    """The client that sends a body."""

    def pause_upload(self, pause: bool) -> None:
        """Read no more of it, or read on."""


class UploadSink(Protocol):
    """The connection to the server that gets it."""

    def write_chunk(self, data: bytes) -> None:
        """Write a part."""

    def finish_body(self) -> None:
        """The whole body has come."""

    def abort_body(self) -> None:
        """The rest will never come."""


class Upload:
    """A request's body that is passed on as it comes. Pauses bound what is held while no server takes it."""

    def __init__(
        self, source: UploadSource, body_budget: BodyBudget, length: int | None, first_part: bytes
    ) -> None:
        self.source = source
        self.body_budget = body_budget
        self.length = length  # None: it comes in chunks
        self.buffered_parts = [first_part] if first_part else []
        self.buffered_bytes = len(first_part)
        self.sink: UploadSink | None = None
        self.partly_sent = False  # a server has got some of it: it can't be sent again
        self.complete = self.discarding = False  # the last byte has come; nobody wants the rest
        self.response_sent = False  # as the request has its answer

    def feed(self, data: bytes) -> None:
        if self.discarding:
            return
        if self.sink is not None:
            self.sink.write_chunk(data)
            return
        self.buffered_parts.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes >= self.body_budget.share_bytes:
            self.source.pause_upload(True)

    def finish(self) -> None:
        self.complete = True
        if self.sink is not None:
            self.sink.finish_body()

    def attach(self, sink: UploadSink) -> None:
        """A server takes it from here."""
        self.sink, self.partly_sent = sink, True
        parts, self.buffered_parts, self.buffered_bytes = self.buffered_parts, [], 0
        for data in parts:
            sink.write_chunk(data)
        if self.complete:
            sink.finish_body()
        elif not self.discarding:
            self.source.pause_upload(False)

    def detach(self) -> None:
        """That server takes no more of it."""
        self.sink = None

    def discard_rest(self) -> None:
        """The request has its answer: what still comes is read and thrown away."""
        self.discarding, self.response_sent, self.sink = True, True, None
        self.buffered_parts.clear()
        self.source.pause_upload(False)

    def abort(self) -> None:
        """The client sends no more of it."""
        sink, self.discarding, self.sink = self.sink, True, None
        self.buffered_parts.clear()
        if sink is not None and not self.complete:
            sink.abort_body()
