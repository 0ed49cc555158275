"""What both doors write in the same way: status lines, and the end of a connection."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from contextlib import suppress
from http import HTTPStatus

LINGER = 1.0  # s to discard what still comes after an answer that ends the connection
STALL = 5.0  # s without taking a byte of that answer after which the rest of it is given up

STATUS_LINES = {s.value: f"HTTP/1.1 {s.value} {s.phrase}\r\nContent-Length: ".encode() for s in HTTPStatus}


def close_after_response(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
    """End a connection after its last answer.

    A plain close with bytes unread would reset it under that answer, so first only the sending ends: what
    still comes is read and thrown away until the other side has closed too, or has had its time for that.
    """
    if transport.is_closing() or not transport.can_write_eof():
        transport.close()
        return
    transport.write_eof()
    _linger(loop, transport, transport.get_write_buffer_size(), loop.time())


def _linger(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, left: int, since: float) -> None:
    """Wait on while the other side still takes what was written: `left` bytes since `since`."""
    if transport.is_closing():
        return
    now_left = transport.get_write_buffer_size()
    if now_left != left:
        left, since = now_left, loop.time()
    if loop.time() - since >= (STALL if left else LINGER):
        transport.abort()
    else:
        loop.call_later(LINGER / 4, _linger, loop, transport, left, since)


def unread_poll(descriptor: int) -> select.poll:
    """What tells, when asked, of all that has come and the loop has not read: a byte, an end or a reset."""
    asked = select.poll()
    asked.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return asked


def abort_now(transport: asyncio.Transport) -> None:
    """End a connection in this very step: the transport's own end waits for the loop's next turn."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        bare = socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())
        try:
            with suppress(OSError):  # the other side may have ended it
                bare.shutdown(socket.SHUT_WR)
        finally:
            bare.detach()  # the descriptor stays the transport's
    transport.abort()


def reset(transport: asyncio.Transport) -> None:
    """End a connection so that the other side can tell it from an orderly end."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
