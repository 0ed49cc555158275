"""The memory budget for bodies, and the forwarding of a request's body while it arrives."""

from __future__ import annotations

from typing import Protocol

BUFFERED_BODY_BYTES = 65536  # up to this size a body is buffered whole
MIN_BODY_SHARE_BYTES = 4096  # bodies up to this size are not counted in the budget
MAX_REQUEST_BODY_BYTES = 32 << 20  # larger requests are rejected


class BodyBudget:
    """The memory budget that the bodies of all connections share: the more bodies, the less of each."""

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.body_count = 0
        self.buffer = bytearray(BUFFERED_BODY_BYTES)  # all connections read into it, one after the other

    @property
    def share_bytes(self) -> int:
        """Bytes of one body that may be buffered."""
        return min(
            max(self.total_bytes // max(self.body_count, 1), MIN_BODY_SHARE_BYTES), BUFFERED_BODY_BYTES
        )

    def read_buffer(self, max_bytes: int = BUFFERED_BODY_BYTES) -> memoryview:
        """The part of the shared buffer for one read: no read exceeds the share of a body, or `max_bytes`."""
        return memoryview(self.buffer)[: min(self.share_bytes, max_bytes)]


class UploadSource(Protocol):
    """The connection of the client that sends a body."""

    def pause_upload(self, pause: bool) -> None:
        """Stop reading the body, or read on."""


class UploadSink(Protocol):
    """The connection to the server that receives a body."""

    def write_chunk(self, data: bytes) -> None:
        """Write a part of the body."""

    def finish_body(self) -> None:
        """Write the end of the body: all of it has been written."""

    def abort_body(self) -> None:
        """Give up the request: the client will not send the rest of the body."""


class Upload:
    """A request's body that is forwarded while it arrives.

    Until a server is attached, parts are buffered, and the source is paused once they reach the share of a
    body. `partly_sent` means that a server has received some of the body, so it can't be sent again.
    """

    def __init__(
        self, source: UploadSource, body_budget: BodyBudget, length: int | None, first_part: bytes
    ) -> None:
        self.source = source
        self.body_budget = body_budget
        self.length = length  # Content-Length; None: chunked
        # What has arrived and is not forwarded yet. One array, as chunks may be of one byte each.
        self.buffered = bytearray(first_part)
        self.sink: UploadSink | None = None
        self.partly_sent = False
        # Whether the last byte has arrived, and whether what still arrives is discarded.
        self.complete = self.discarding = False
        self.response_sent = False  # the response was sent before the end of the body
        self.sent_at_ms = 0.0  # when the client may have sent the last byte, once it has arrived

    def feed(self, data: bytes) -> None:
        """Buffer a part of the body that has arrived, until `flush` or `finish`."""
        if not self.discarding:
            self.buffered += data

    def flush(self) -> None:
        """Forward what is buffered if a server is attached, else pause the source at the share of a body."""
        if self.sink is not None:
            if self.buffered:
                data, self.buffered = bytes(self.buffered), bytearray()
                self.sink.write_chunk(data)
        elif len(self.buffered) >= self.body_budget.share_bytes and not self.complete:
            self.source.pause_upload(True)

    def finish(self) -> None:
        """Note that the body has arrived completely, and forward the end of it."""
        self.complete = True
        self.flush()
        if self.sink is not None:
            self.sink.finish_body()

    def attach(self, sink: UploadSink) -> None:
        """Write what is buffered to a server's connection, and forward the rest to it."""
        self.sink, self.partly_sent = sink, True
        if not self.complete and not self.discarding:
            self.source.pause_upload(False)  # first: the sink pauses the source again if it takes no more
        self.flush()
        if self.complete:
            sink.finish_body()

    def detach(self) -> None:
        """Forward no more to the attached server; the body may be attached to another if unsent."""
        self.sink = None

    def discard_rest(self) -> None:
        """Read and discard what still arrives, because the response has been sent."""
        self.discarding, self.response_sent, self.sink = True, True, None
        self.buffered = bytearray()
        self.source.pause_upload(False)

    def abort(self) -> None:
        """Abort the attempt on the attached server, as the client sends no more of the body."""
        sink, self.discarding, self.sink = self.sink, True, None
        self.buffered = bytearray()
        if sink is not None and not self.complete:
            sink.abort_body()
