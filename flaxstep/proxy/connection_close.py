"""What both doors write in the same way: status lines, and the end of a connection."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from contextlib import suppress
from http import HTTPStatus

LINGER_TIMEOUT_S = 1.0  # s to discard what still comes after an answer that ends the connection
WRITE_STALL_TIMEOUT_S = 5.0  # s without taking a byte of that answer after which the rest of it is given up

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: ".encode()
    for status in HTTPStatus
}


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


def _linger(
    loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, unsent_bytes: int, unchanged_since: float
) -> None:
    """Wait on while the other side still takes what was written: `unsent_bytes` since `unchanged_since`."""
    if transport.is_closing():
        return
    now_unsent_bytes = transport.get_write_buffer_size()
    if now_unsent_bytes != unsent_bytes:
        unsent_bytes, unchanged_since = now_unsent_bytes, loop.time()
    if loop.time() - unchanged_since >= (WRITE_STALL_TIMEOUT_S if unsent_bytes else LINGER_TIMEOUT_S):
        transport.abort()
    else:
        loop.call_later(LINGER_TIMEOUT_S / 4, _linger, loop, transport, unsent_bytes, unchanged_since)


def poll_unread_input(descriptor: int) -> select.poll:
    """What tells, when asked, of all that has come and the loop has not read: a byte, an end or a reset."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return poller


def abort_immediately(transport: asyncio.Transport) -> None:
    """End a connection in this very step: the transport's own end waits for the loop's next turn."""
    connection_socket = transport.get_extra_info("socket")
    if connection_socket is not None and not transport.is_closing():
        duplicate = socket.socket(
            connection_socket.family,
            connection_socket.type,
            connection_socket.proto,
            fileno=connection_socket.fileno(),
        )
        try:
            with suppress(OSError):  # the other side may have ended it
                duplicate.shutdown(socket.SHUT_WR)
        finally:
            duplicate.detach()  # the descriptor stays the transport's
    transport.abort()


def reset_connection(transport: asyncio.Transport) -> None:
    """End a connection so that the other side can tell it from an orderly end."""
    connection_socket = transport.get_extra_info("socket")
    if connection_socket is not None and not transport.is_closing():
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
