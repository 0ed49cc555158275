"""One HTTP/1.1 call, with a limit on its time and size."""

from __future__ import annotations

import asyncio

import httptools

MOST = 64 << 20  # bytes of an answer


class CallError(Exception):
    """Why there is no answer, in a few words."""


class Answer:
    """What the parser finds."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.whole = self.framed = False  # whether its end is told beforehand

    def on_header(self, name: bytes, _: bytes) -> None:
        self.framed |= name.lower() in (b"content-length", b"transfer-encoding")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.whole = True


async def call(
    address: str, method: str, path: str, body: bytes = b"", seconds: float = 1.0
) -> tuple[int, bytes]:
    """Status and body; CallError if no whole answer came in time. `address` is HOST:PORT."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    answer = Answer()
    parser = httptools.HttpResponseParser(answer)
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{head}{length}\r\n".encode() + body)
            while not answer.whole:
                data = await reader.read(1 << 18)
                if not data:
                    break
                parser.feed_data(data)
                if len(answer.body) > MOST:
                    raise CallError("the answer is too long")
        if not answer.whole and parser.get_status_code() == 0:
            raise CallError("the connection ended without an answer")
        if not answer.whole and answer.framed:
            raise CallError("the connection ended within its answer")
        return parser.get_status_code(), bytes(answer.body)
    except TimeoutError:
        raise CallError(f"no answer within {seconds:g} s") from None
    except OSError as error:
        raise CallError(error.strerror or type(error).__name__) from None
    except httptools.HttpParserError as error:
        raise CallError(f"no proper answer: {error}") from None
    finally:
        if writer is not None:
            writer.close()


async def text(
    address: str, method: str, path: str, body: bytes = b"", seconds: float = 1.0
) -> tuple[int, str]:
    """The same with the body as text; status 0 and the reason where there is no answer."""
    try:
        status, data = await call(address, method, path, body, seconds)
    except CallError as error:
        return 0, str(error)
    return status, data.decode(errors="replace").strip()
