"""Status lines, and ways to close or abort a connection, for clients, servers and the admin port."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from contextlib import suppress
from http import HTTPStatus

LINGER_TIMEOUT_S = 1.0  # how long input is discarded after the last response
WRITE_STALL_TIMEOUT_S = 5.0  # without a byte of that response sent, the rest of it is given up

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: ".encode()
    for status in HTTPStatus
}


def close_after_response(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
    """Close a connection after its last response (a lingering close).

    A plain close with unread input would reset the connection, and the client could lose the response. So
    only the sending side is closed first. Input is read and discarded until the client closes too or
    LINGER_TIMEOUT_S has passed.
    """
    if transport.is_closing() or not transport.can_write_eof():
        transport.close()
        return
    transport.write_eof()
    _linger(loop, transport, transport.get_write_buffer_size(), loop.time())


def _linger(
    loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, unsent_bytes: int, unchanged_since: float
) -> None:
    """Abort the connection once it has lingered, or once its client has stopped reading the response.

    `unsent_bytes` have been left in the write buffer since the loop time `unchanged_since`.
    """
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
    """Return a poll object that reports input the loop has not read yet: bytes, end of stream or reset."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return poller


def abort_immediately(transport: asyncio.Transport) -> None:
    """Close a connection within this call: the transport itself would close it in the loop's next turn."""
    connection_socket = transport.get_extra_info("socket")
    if connection_socket is not None and not transport.is_closing():
        borrowed_socket = socket.socket(
            connection_socket.family,
            connection_socket.type,
            connection_socket.proto,
            fileno=connection_socket.fileno(),
        )
        try:
            with suppress(OSError):  # the other side may have closed it
                borrowed_socket.shutdown(socket.SHUT_WR)
        finally:
            borrowed_socket.detach()  # the descriptor stays the transport's
    transport.abort()


def reset_connection(transport: asyncio.Transport) -> None:
    """Abort a connection with a TCP reset, which the other side can tell from an orderly close."""
    connection_socket = transport.get_extra_info("socket")
    if connection_socket is not None and not transport.is_closing():
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
