"""The parser of a client's requests, which declines offers to change the protocol (RFC 9110, 7.8)."""

from __future__ import annotations

from typing import Protocol

import httptools

from flaxstep.proxy.header_limit import HeaderLimit, HeadersTooLong


class RequestReceiver(Protocol):
    """Receives the parts of the requests on a connection; see httptools.HttpRequestParser."""

    def on_message_begin(self) -> None: ...

    def on_url(self, url: bytes) -> None: ...

    def on_header(self, name: bytes, value: bytes) -> None: ...

    def on_headers_complete(self) -> None: ...

    def on_body(self, body: bytes) -> None: ...

    def on_message_complete(self) -> None: ...

    def framing_header(self) -> bytes:
        """The header line that says how the body of the current request is framed; empty without a body."""


class UnsupportedConnect(Exception):
    """A CONNECT request was read. What follows it is not HTTP, so no further request can be parsed."""


class RequestParser:
    """Parses the requests of one connection.

    httptools ends a request that offers an upgrade at its head, as if it had no body, and stops there. An
    offer is not accepted here, so such a request goes on like any other: a new parser gets its framing in a
    head that is not reported, and then what follows the real one.
    """

    def __init__(self, receiver: RequestReceiver) -> None:
        self.receiver = receiver
        self.library_parser = httptools.HttpRequestParser(self)
        self.header_limit = HeaderLimit()
        self.repeating_head = False  # the head that is parsed has been reported already

    def feed(self, buffer: bytearray, size: int) -> None:
        """Parse the first `size` bytes, which were received.

        Raises UnsupportedConnect, HeadersTooLong and httptools.HttpParserError.
        """
        data = memoryview(buffer)[:size]
        while True:
            try:
                self.library_parser.feed_data(data)
                break
            except httptools.HttpParserUpgrade as offer:
                if self.is_connect():
                    raise UnsupportedConnect from None
                data = data[offer.args[0] :]
                self.restart_after_head()
            except httptools.HttpParserError as error:
                if isinstance(error.__context__, HeadersTooLong):
                    raise error.__context__ from None
                raise
        self.header_limit.check_unfinished_line(buffer, size)

    def restart_after_head(self) -> None:
        """Continue with a parser that is behind the head of the current request and offers nothing."""
        connection = b"keep-alive" if self.library_parser.should_keep_alive() else b"close"
        head = b"%b / HTTP/%b\r\nConnection: %b\r\n%b\r\n" % (
            self.library_parser.get_method(),
            self.library_parser.get_http_version().encode(),
            connection,
            self.receiver.framing_header(),
        )
        self.library_parser = httptools.HttpRequestParser(self)
        self.repeating_head = True
        self.library_parser.feed_data(head)
        self.repeating_head = False

    def is_connect(self) -> bool:
        return self.library_parser.get_method() == b"CONNECT"

    def close(self) -> None:
        """Parse no more. It and its receiver refer to each other, and would wait for the collector."""
        del self.library_parser, self.receiver

    @property
    def unfinished_line_bytes(self) -> int:
        """What the library keeps of a line whose end has not come."""
        return self.header_limit.unfinished_bytes

    def get_method(self) -> bytes:
        """The method of the current request."""
        return self.library_parser.get_method()

    def get_http_version(self) -> str:
        """The version of the current request: "1.1" or another."""
        return self.library_parser.get_http_version()

    def should_keep_alive(self) -> bool:
        """Whether the client keeps the connection open after the current request."""
        return self.library_parser.should_keep_alive()

    # Callbacks of the library.

    def on_message_begin(self) -> None:
        if not self.repeating_head:
            self.header_limit.on_message_begin()
            self.receiver.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if not self.repeating_head:
            self.receiver.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.repeating_head:
            self.header_limit.on_header(name, value)
            self.receiver.on_header(name, value)

    def on_headers_complete(self) -> None:
        if not self.repeating_head:
            self.receiver.on_headers_complete()

    def on_chunk_header(self) -> None:
        self.header_limit.on_chunk_boundary()

    def on_body(self, body: bytes) -> None:
        self.header_limit.on_body(body)
        self.receiver.on_body(body)

    def on_chunk_complete(self) -> None:
        self.header_limit.on_chunk_boundary()

    def on_message_complete(self) -> None:
        if not self.repeating_head and not self.body_skipped():
            self.header_limit.on_message_complete()
            self.receiver.on_message_complete()

    def body_skipped(self) -> bool:
        """Whether the library ended the request at its head although its body follows."""
        offers_upgrade = self.library_parser.should_upgrade() and not self.is_connect()
        return offers_upgrade and bool(self.receiver.framing_header())
