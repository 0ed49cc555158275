"""Status lines, and ways to close or abort a connection, for clients, servers and the admin port."""

from __future__ import annotations

import asyncio
import fcntl
import math
import select
import socket
import struct
import termios
from contextlib import suppress
from http import HTTPStatus

LINGER_TIMEOUT_S = 1.0  # how long input is discarded after the last response
END_OF_STREAM_BYTES = 1  # that the kernel counts for it
WRITE_STALL_TIMEOUT_S = 5.0  # without a byte of that response sent, the rest of it is given up

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: ".encode()
    for status in HTTPStatus
}


def count_unsent_bytes(transport: asyncio.Transport) -> int:
    """The bytes written to a connection that the other side has not acknowledged."""
    connection_socket = transport.get_extra_info("socket")
    in_kernel = 0
    with suppress(OSError, AttributeError):  # closed meanwhile
        in_kernel = struct.unpack("i", fcntl.ioctl(connection_socket.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
    return transport.get_write_buffer_size() + max(0, in_kernel - END_OF_STREAM_BYTES)


class WriteProgress:
    """Whether the other side of a connection takes what is written to it. Times are in s, from one clock."""

    def __init__(self, transport: asyncio.Transport, now: float) -> None:
        self.transport = transport
        self.unsent_bytes = count_unsent_bytes(transport)
        self.started_at = self.unchanged_since = now

    def stalled(self, now: float, timeout_when_sent_s: float = math.inf) -> bool:
        """Whether no byte has been taken for WRITE_STALL_TIMEOUT_S, as far as the calls so far can tell.

        Once all bytes are sent, `timeout_when_sent_s` counts instead.
        """
        unsent_bytes = count_unsent_bytes(self.transport)
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes, self.unchanged_since = unsent_bytes, now
        return now - self.unchanged_since >= (WRITE_STALL_TIMEOUT_S if unsent_bytes else timeout_when_sent_s)


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
    _linger(loop, transport, WriteProgress(transport, loop.time()))


def _linger(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, progress: WriteProgress) -> None:
    """Abort the connection once it has lingered, or once its client has stopped reading the response."""
    if transport.is_closing():
        return
    if progress.stalled(loop.time(), LINGER_TIMEOUT_S):
        transport.abort()
    else:
        loop.call_later(LINGER_TIMEOUT_S / 4, _linger, loop, transport, progress)


def poll_unread_input(descriptor: int) -> select.poll:
    """Return a poll object that reports input the loop has not read yet: bytes, end of stream or reset."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return poller


def closed_by_peer(descriptor: int) -> bool:
    """Whether the other side has closed the connection, also if bytes that came before are unread."""
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poller.poll(0))


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
