"""A minimal HTTP/1.1 client: one request per connection, with limits on time and size."""

from __future__ import annotations

import asyncio

import httptools

MAX_RESPONSE_BYTES = 64 << 20  # with its head and trailers


class CallError(Exception):
    """Why there is no response."""


class ResponseCollector:
    """Callbacks of the parser: collect the body and note whether the response is complete."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.complete = self.has_framing = False  # has_framing: the header says where the body ends

    def on_header(self, name: bytes, _: bytes) -> None:
        self.has_framing |= name.lower() in (b"content-length", b"transfer-encoding")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True


async def call(
    address: str, method: str, path: str, body: bytes = b"", seconds: float = 1.0
) -> tuple[int, bytes]:
    """Send a request; return status and body. CallError if no complete response came in time. `address` is
    HOST:PORT.
    """
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    response, received_bytes = ResponseCollector(), 0
    parser = httptools.HttpResponseParser(response)
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{head}{length}\r\n".encode() + body)
            while not response.complete:
                data = await reader.read(1 << 18)
                if not data:
                    break
                received_bytes += len(data)
                if received_bytes > MAX_RESPONSE_BYTES:
                    raise CallError("the response is too long")
                parser.feed_data(data)
        if not response.complete and parser.get_status_code() == 0:
            raise CallError("the connection ended without a response")
        if not response.complete and response.has_framing:
            raise CallError("the connection ended in the middle of its response")
        return parser.get_status_code(), bytes(response.body)
    except TimeoutError:
        raise CallError(f"no response within {seconds:g} s") from None
    except OSError as error:
        raise CallError(error.strerror or type(error).__name__) from None
    except httptools.HttpParserError as error:
        raise CallError(f"invalid response: {error}") from None
    finally:
        if writer is not None:
            writer.close()


async def call_text(
    address: str, method: str, path: str, body: bytes = b"", seconds: float = 1.0
) -> tuple[int, str]:
    """Like `call`, with the body as text; status 0 and the reason if there is no response."""
    try:
        status, data = await call(address, method, path, body, seconds)
    except CallError as error:
        return 0, str(error)
    return status, data.decode(errors="replace").strip()
