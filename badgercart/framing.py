"""What both doors write in the same way: status lines, and the end of a connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from http import HTTPStatus

LINGER = 1.0  # s to discard what still comes after an answer that ends the connection
STALL = 5.0  # s without taking a byte of that answer after which the rest of it is given up

STATUS_LINES = {s.value: f"HTTP/1.1 {s.value} {s.phrase}\r\nContent-Length: ".encode() for s in HTTPStatus}


def hang_up(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
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


@contextmanager
def _bare(transport: asyncio.Transport) -> Iterator[socket.socket | None]:
    """The transport's own socket for a moment, or None where it is closing: the descriptor stays its."""
    sock = None if transport.is_closing() else transport.get_extra_info("socket")
    if sock is None:
        yield None
        return
    bare = socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())
    try:
        yield bare
    finally:
        bare.detach()


def quiet(transport: asyncio.Transport) -> bool:
    """Whether nothing has come that the loop has not read yet: no byte, no end and no reset."""
    with _bare(transport) as sock:
        if sock is None:
            return False
        try:
            sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
    return False


def cut(transport: asyncio.Transport) -> None:
    """End a connection in this very step: the transport's own end waits for the loop's next turn."""
    with _bare(transport) as sock, suppress(OSError):  # the other side may have ended it
        if sock is not None:
            sock.shutdown(socket.SHUT_WR)
    transport.abort()


def reset(transport: asyncio.Transport) -> None:
    """End a connection so that the other side can tell it from an orderly end."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
