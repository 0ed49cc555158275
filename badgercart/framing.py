"""What both doors write in the same way: status lines, and the end of a connection."""

from __future__ import annotations

import asyncio
import socket
import struct
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


def reset(transport: asyncio.Transport) -> None:
    """End a connection so that the other side can tell it from an orderly end."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
