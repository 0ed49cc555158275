"""What both doors write in the same way: status lines, and the end of a connection."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

LINGER = 1.0  # s to discard what still comes after an answer that ends the connection

STATUS_LINES = {s.value: f"HTTP/1.1 {s.value} {s.phrase}\r\nContent-Length: ".encode() for s in HTTPStatus}


def hang_up(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
    """End a connection after its last answer: a plain close with bytes unread would reset it under that."""
    if not transport.is_closing() and transport.can_write_eof():
        transport.write_eof()
        loop.call_later(LINGER, transport.abort)
    else:
        transport.close()
