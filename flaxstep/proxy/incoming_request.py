"""A request while it arrives: its target, its headers, and its body unless that is passed on at once."""

from __future__ import annotations

import re

from flaxstep.proxy.block_buffer import BlockBuffer
from flaxstep.proxy.client_requests import (
    BadRequest,
    ClientRequest,
    HealthCheck,
    RequestHeaders,
    validate_request,
)
from flaxstep.proxy.config import Config
from flaxstep.proxy.forwarded_messages import ForwardedRequest
from flaxstep.proxy.header_limit import MAX_HEADER_BYTES
from flaxstep.proxy.request_bodies import MAX_REQUEST_BODY_BYTES
from flaxstep.proxy.request_parser import RequestParser

HEALTH_PATH = b"/_health"

_ABSOLUTE_URL_PREFIX = re.compile(rb"https?://[^/?#]+", re.IGNORECASE)


class IncomingRequest:
    """The parts of one request that have arrived. A connection between requests has an empty one."""

    __slots__ = ("body", "body_bytes_received", "headers", "target")

    def __init__(self) -> None:
        self.target = b""
        self.headers = RequestHeaders()
        self.body = BlockBuffer()  # what is buffered of it
        self.body_bytes_received = 0

    def add_target(self, part: bytes) -> None:
        """Append a part of the request target; BadRequest if it is too long."""
        self.target += part
        if len(self.target) > MAX_HEADER_BYTES:
            raise BadRequest(431)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Interpret a header. Trailers are neither used nor forwarded."""
        if not self.headers.complete:
            self.headers.add(name, value.strip(b" \t"))  # surrounding white space is not part of a value

    def complete_headers(self, http_version: str) -> None:
        """Note that the head is whole; BadRequest if its body can't be received."""
        headers = self.headers
        headers.complete = True
        if http_version not in ("1.1", "1.0"):
            raise BadRequest(505)
        if headers.chunked and http_version == "1.0":
            raise BadRequest(400)  # HTTP/1.0 has no chunked coding
        if headers.content_length > MAX_REQUEST_BODY_BYTES:
            raise BadRequest(413)  # before the body is read

    def count_body(self, size: int) -> None:
        """Count bytes of the body that have arrived; BadRequest if there are too many."""
        self.body_bytes_received += size
        if self.body_bytes_received > MAX_REQUEST_BODY_BYTES:
            raise BadRequest(413)

    def take_body(self) -> BlockBuffer:
        """Return what is buffered of the body, and keep none of it."""
        body, self.body = self.body, BlockBuffer()
        return body

    def count_held_bytes(self) -> int:
        """The bytes that are kept of the request."""
        buffers = self.headers.forwarded_lines.count_held_bytes() + self.body.count_held_bytes()
        return len(self.target) + buffers

    def framing_header(self) -> bytes:
        """The header line that says how the body is framed; empty without a body."""
        if self.headers.chunked:
            return b"Transfer-Encoding: chunked\r\n"
        length = self.headers.content_length
        return b"Content-Length: %d\r\n" % length if length else b""

    def build(self, config: Config, parser: RequestParser, sent_at_ms: float) -> ClientRequest | HealthCheck:
        """Return the request that has arrived; raise BadRequest if it is invalid."""
        headers, target = self.headers, self.target
        if not target.startswith(b"/") and (prefix := _ABSOLUTE_URL_PREFIX.match(target)):
            target = b"/" + target[prefix.end() :].removeprefix(b"/")  # absolute form, as sent to proxies
        method = parser.get_method()
        if target == HEALTH_PATH:
            if method != b"GET":
                raise BadRequest(405, b"Allow: GET\r\n")
            return HealthCheck()
        cls, tenant, key = validate_request(config, parser, target, headers)
        if headers.timeout_ms is None or ((self.body or headers.content_length) and method == b"GET"):
            raise BadRequest(400)
        head = b"%b %b HTTP/1.1\r\n%b" % (method, target, bytes(headers.forwarded_lines))
        return ClientRequest(
            message=ForwardedRequest(
                head, self.take_body(), method == b"POST", request_id=headers.request_id or b""
            ),
            cls=cls,
            tenant=tenant,
            key=key,
            sent_at_ms=sent_at_ms,
            timeout_ms=headers.timeout_ms,
            work_hint_ms=headers.work_hint_ms,
            is_client_retry=headers.is_client_retry,
        )
