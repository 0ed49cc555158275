"""The limit on the lines of a message: its head, the sizes of its chunks, and its trailers.

A parser of httptools joins the parts of a line that arrives in pieces and reports it once the next one
begins. Until then it keeps all of it, however long, and the receiver of its callbacks knows nothing of it.
"""

from __future__ import annotations

MAX_HEADER_FIELDS = 512  # and trailers, of one message: each costs far more than its bytes
MAX_HEADER_BYTES = 16384  # of all headers and trailers of one message, and of the line that is not over


class HeadersTooLong(Exception):
    """The headers, a chunk-size line or the trailers of a message exceed the limit."""

    def __init__(self) -> None:
        super().__init__("the headers or trailers are too long")


class HeaderLimit:
    """Counts the bytes of lines in one message at a time, also of the line that its parser still collects.

    The owner of the parser passes on the callbacks of the same names, and calls `check_unfinished_line` after
    each piece of input.
    """

    __slots__ = ("among_lines", "body_bytes", "field_count", "line_bytes", "max_bytes", "unfinished_bytes")

    def __init__(self, max_bytes: int = MAX_HEADER_BYTES) -> None:
        self.max_bytes = max_bytes
        self.line_bytes = self.field_count = 0  # of the headers and trailers that the parser has reported
        self.unfinished_bytes = 0  # of the line that it collects
        self.among_lines = False  # whether a line is next, and no byte of a body
        self.body_bytes = 0  # in the piece of input that is parsed

    def on_message_begin(self) -> None:
        self.line_bytes = self.unfinished_bytes = self.field_count = 0
        self.among_lines = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header or trailer; HeadersTooLong if it is one too many."""
        self.line_bytes += len(name) + len(value) + len(b": \r\n")
        self.field_count += 1
        self.unfinished_bytes = 0
        if self.line_bytes > self.max_bytes or self.field_count > MAX_HEADER_FIELDS:
            raise HeadersTooLong

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        self.among_lines = False

    def on_chunk_boundary(self) -> None:
        """A chunk-size line is over, or the chunk after it: a line may follow."""
        self.unfinished_bytes = 0
        self.among_lines = True

    def on_message_complete(self) -> None:
        self.among_lines = False

    def check_unfinished_line(self, data: bytes | bytearray, size: int) -> None:
        """Count the line that the parser keeps of the first `size` bytes of data, which it has parsed.

        It is an upper bound: the end of a body without a line break may count with the line behind it.
        Raises HeadersTooLong.
        """
        body_bytes, self.body_bytes = self.body_bytes, 0
        if not self.among_lines:
            self.unfinished_bytes = 0
            return
        # A line that ends with the data is not reported yet. None is longer than the data without the bodies.
        line_start = data.rfind(b"\n", 0, size - 1) + 1
        if line_start or body_bytes:
            self.unfinished_bytes = 0
        self.unfinished_bytes += min(size - line_start, size - body_bytes)
        if self.line_bytes + self.unfinished_bytes > self.max_bytes:
            raise HeadersTooLong
