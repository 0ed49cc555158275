"""The forwarding of a request's body while it arrives."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from flaxstep.proxy.block_buffer import BlockBuffer
from flaxstep.proxy.memory_account import MemoryAccount

JOINED_BODY_BYTES = 4096  # up to this size a body is written with its head; two writes cost more than a copy
BUFFERED_BODY_BYTES = 65536  # up to this size a body is buffered whole
MAX_REQUEST_BODY_BYTES = 32 << 20  # larger requests are rejected


class UploadSource(Protocol):
    """The connection of the client that sends a body."""

    def pause_upload(self, pause: bool) -> None:
        """Stop reading the body, or read on."""


class UploadSink(Protocol):
    """The connection to the server that receives a body."""

    def write_part(self, blocks: Sequence[bytearray], size: int) -> None:
        """Write a part of the body, of this size in all."""

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
        self, source: UploadSource, account: MemoryAccount, length: int | None, first_part: BlockBuffer
    ) -> None:
        self.source = source
        self.account = account
        self.length = length  # Content-Length; None: chunked
        self.buffered = first_part  # what has arrived and is not forwarded yet
        self.sink: UploadSink | None = None
        self.partly_sent = False
        # Whether the last byte has arrived, and whether what still arrives is discarded.
        self.complete = self.discarding = False
        self.response_sent = False  # the response was sent before the end of the body
        self.sent_at_ms = 0.0  # when the client may have sent the last byte, once it has arrived

    def feed(self, data: bytes) -> None:
        """Buffer a part of the body that has arrived, until `flush` or `finish`."""
        if not self.discarding:
            self.buffered.append(data)

    def flush(self) -> None:
        """Forward what is buffered if a server is attached, else pause the source at the share of a body."""
        if self.sink is not None:
            if self.buffered:
                size = len(self.buffered)
                self.sink.write_part(self.buffered.take_blocks(), size)
        elif len(self.buffered) >= self.account.share_bytes and not self.complete:
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
        self.buffered = BlockBuffer()
        self.source.pause_upload(False)

    def abort(self) -> None:
        """Abort the attempt on the attached server, as the client sends no more of the body."""
        sink, self.discarding, self.sink = self.sink, True, None
        self.buffered = BlockBuffer()
        if sink is not None and not self.complete:
            sink.abort_body()
