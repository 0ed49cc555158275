"""The requests of clients: their headers, and whether they are valid."""

from __future__ import annotations

import re
from dataclasses import dataclass

from flaxstep.proxy.block_buffer import BlockBuffer
from flaxstep.proxy.config import Config
from flaxstep.proxy.forwarded_messages import ForwardedRequest
from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.request_parser import RequestParser
from flaxstep.routing.interface import Effect

_TIMEOUT_PATTERN = re.compile(rb"(\d{1,9}(?:\.\d{1,6})?)([mu])")
_DIGITS_PATTERN = re.compile(rb"\d{1,9}")
# Hop-by-hop headers, and headers that each attempt writes with values of its own.
_HEADERS_NOT_FORWARDED = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"expect", b"content-length", b"request-timeout")
)  # fmt: skip
_INTERPRETED_HEADERS = frozenset(
    (b"request-id", b"tenant", b"idempotency-key", b"request-timeout", b"content-length",
     b"transfer-encoding", b"work-hint", b"client-retry", b"expect")
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Rejection:
    """The response to an invalid request: its status, and header lines to send with it."""

    status: int
    extra_headers: bytes


class BadRequest(Exception):
    """A request that is rejected."""

    def __init__(self, status: int, extra_headers: bytes = b"") -> None:
        self.rejection = Rejection(status, extra_headers)


@dataclass(slots=True)
class ClientRequest:
    """A valid request from a client.

    `key` is the hash of the last part of the path after the class; the policy may route by it. 0: none.
    """

    message: ForwardedRequest
    cls: int
    tenant: int
    key: int
    sent_at_ms: float  # when its client may have written its last byte, or its head if it is an upload
    timeout_ms: float  # from then until the client gives up
    work_hint_ms: float  # the client's estimate of the work; 0: none given
    is_client_retry: bool  # the client has marked it with Client-Retry
    awaits_continue: bool = False  # the client sends the body only after a 100 (Continue) response


class HealthCheck:
    """A request of the load balancer in front of the nodes: can this node serve requests?"""


class RequestHeaders:
    """The headers of one request: the values that the node uses, and the lines that it forwards."""

    __slots__ = (
        "malformed", "chunked", "awaits_continue", "work_hint_ms", "idempotency_key", "content_length",
        "forwarded_lines", "is_client_retry", "request_id", "tenant", "timeout_ms", "complete",
    )  # fmt: skip

    def __init__(self) -> None:
        self.forwarded_lines = BlockBuffer()
        self.content_length = 0
        self.malformed = self.chunked = self.awaits_continue = self.complete = False
        self.request_id: bytes | None = None
        self.tenant: bytes | None = None
        self.idempotency_key: bytes | None = None
        self.timeout_ms: float | None = None
        self.work_hint_ms, self.is_client_retry = 0.0, False

    def add(self, name: bytes, value: bytes) -> None:
        """Interpret one header, and keep its line if it is to be forwarded."""
        lower_name = name.lower()
        if lower_name in _INTERPRETED_HEADERS:
            self.interpret(lower_name, value)
        if lower_name not in _HEADERS_NOT_FORWARDED:
            self.forwarded_lines.append(b"%b: %b\r\n" % (name, value))

    def interpret(self, lower_name: bytes, value: bytes) -> None:
        """Take over a header that the node uses."""
        if lower_name == b"request-id":
            self.malformed = self.malformed or self.request_id is not None
            self.request_id = value
        elif lower_name == b"tenant":
            self.malformed = self.malformed or self.tenant is not None
            self.tenant = value
        elif lower_name == b"idempotency-key":
            self.malformed = self.malformed or self.idempotency_key is not None or not value
            self.idempotency_key = value
        elif lower_name == b"request-timeout":
            match = _TIMEOUT_PATTERN.fullmatch(value)
            self.malformed = self.malformed or self.timeout_ms is not None or match is None
            if match is not None:
                self.timeout_ms = float(match[1]) / (1 if match[2] == b"m" else 1000)
        elif lower_name == b"content-length":
            self.content_length = int(value)  # the parser accepts digits only
        elif lower_name == b"transfer-encoding":
            if value.lower() != b"chunked":  # the only coding that is decoded
                raise BadRequest(501)
            self.chunked = True
        elif (
            lower_name == b"work-hint"
        ):  # in microseconds; an invalid one is ignored, as the header is optional
            self.work_hint_ms = int(value) / 1000 if _DIGITS_PATTERN.fullmatch(value) else 0.0
        elif lower_name == b"client-retry":
            self.is_client_retry = value == b"1"
        elif lower_name == b"expect":
            self.awaits_continue = value.lower() == b"100-continue"


def validate_request(
    config: Config, parser: RequestParser, url: bytes, headers: RequestHeaders
) -> tuple[int, int, int]:
    """Return the class, tenant and key of a request; raise BadRequest if it is invalid."""
    parts = url.partition(b"?")[0].split(b"/")
    if parts[0] or len(parts) < 2:
        raise BadRequest(400)  # not an absolute path
    cls = config.classes.get(parts[1])
    if cls is None:
        raise BadRequest(404)
    effect = config.settings.classes[cls].effect
    method = b"GET" if effect is Effect.SAFE else b"POST"
    if parser.get_method() != method:
        raise BadRequest(405, b"Allow: %b\r\n" % method)
    tenant = config.tenants.get(headers.tenant or b"") if config.tenants else 0
    if headers.malformed or not headers.request_id or tenant is None:
        raise BadRequest(400)
    if effect is not Effect.SAFE and (headers.idempotency_key is None) == (effect is Effect.KEYED):
        # A keyed request without its key, or a key in a class whose servers don't detect repeats.
        raise BadRequest(400)
    key = stable_id(parts[-1]) if len(parts) > 2 and parts[-1] else 0
    return cls, tenant, key
