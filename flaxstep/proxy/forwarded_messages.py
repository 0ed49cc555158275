"""What is forwarded between clients and job servers: requests and complete responses."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from flaxstep.proxy.block_buffer import BlockBuffer
from flaxstep.proxy.request_bodies import Upload


class RequestSource(Protocol):
    """The connection of the client that has sent a request."""

    def detect_departure(self) -> bool:
        """Whether the client has closed the connection; its requests are withdrawn then."""


@dataclass(slots=True)
class ForwardedRequest:
    """A request as it is forwarded, without its Request-Timeout header: each attempt writes its own."""

    head: bytes  # request line and header lines, without Content-Length and Transfer-Encoding
    body: BlockBuffer
    has_body: bool = False  # the body may be empty
    upload: Upload | None = None  # streams the body, if it is not buffered as a whole
    request_id: bytes = b""  # the client's Request-Id
    timeout_ms: float = math.inf  # given by the client
    source: RequestSource | None = None  # set once it is served

    def count_held_bytes(self) -> int:
        """The bytes that are kept of it, for a retry too."""
        return len(self.head) + self.body.count_held_bytes()


@dataclass(slots=True)
class ServerResponse:
    """A complete response of a server."""

    status: int
    body: bytes
    content_type: bytes = b""
