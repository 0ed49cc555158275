"""The listener for clients: accepts connections, and keeps them within the limit of descriptors."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections import OrderedDict
from typing import Any

from flaxstep.proxy.client_connections import ClientConnection, RequestHandler
from flaxstep.proxy.client_requests import BadRequest, ClientRequest
from flaxstep.proxy.config import Config
from flaxstep.proxy.connection_close import WriteProgress, count_unsent_bytes
from flaxstep.proxy.event_log import log_event
from flaxstep.proxy.memory_account import MemoryAccount
from flaxstep.proxy.read_turns import TurnScheduler

MAX_ACCEPT_QUEUE = 4096  # the listen() backlog in connections; the kernel caps it at its own limit
# From the opening of a connection to its first valid request. A client must be given up after at most 3 s.
FIRST_REQUEST_TIMEOUT_S = 2.6
# Without a byte of its first request for this long, a connection is evicted before idle ones.
FIRST_REQUEST_STALL_S = 0.5
MEMORY_LOG_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 0.1  # between searches for connections that send no valid request
# From the opening of a connection: during a drain it may still send its first request for this long.
DRAIN_GRACE_FOR_NEW_S = 0.3

log = logging.getLogger("flaxstep.proxy")


class Listener:
    """Accepts client connections and keeps them within the limit of descriptors.

    A connection that has sent no valid request in time is closed, and so is an idle one while the node
    drains. Over the limit, the connections that cost their clients least are evicted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        handler: RequestHandler,
        max_connections: int,
        account: MemoryAccount,
        turns: TurnScheduler,
    ) -> None:
        self.loop = loop
        self.account = account
        self.turns = turns
        self.config = config
        self.handler = handler
        self.max_connections = max_connections
        self.connections: set[ClientConnection] = set()
        # Connections closed on this side that wait for the client to close too. They still hold descriptors.
        self.lingering: OrderedDict[ClientConnection, None] = OrderedDict()
        self.read_paused: dict[int, ClientConnection] = {}  # by descriptor
        # Connections whose client does not take its responses as fast as they are written.
        self.slow_readers: dict[ClientConnection, WriteProgress] = {}
        # Candidates for eviction, each with the loop time since which it is in that state, oldest first.
        self.awaiting_first_byte: OrderedDict[ClientConnection, float] = OrderedDict()
        self.receiving_first_request: OrderedDict[ClientConnection, float] = OrderedDict()
        self.idle: OrderedDict[ClientConnection, float] = OrderedDict()  # between requests
        # Connections that were in the kernel's queue when the listener closed.
        self.accept_tasks: set[asyncio.Task[Any]] = set()
        self.memory_logged_at = -math.inf  # loop time
        # Connections that have sent no valid request yet, with the loop time at which they opened.
        self.awaiting_first_request: OrderedDict[ClientConnection, float] = OrderedDict()

    async def start(self) -> asyncio.Server:
        """Listen on the configured address."""
        self.socket = self.bind_socket()
        try:
            self.server = await self.loop.create_server(
                self.create_connection, sock=self.socket, backlog=MAX_ACCEPT_QUEUE
            )
        except OSError:
            self.socket.close()
            raise
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep_connections)
        return self.server

    def bind_socket(self) -> socket.socket:
        """Return a socket bound to the configured address."""
        host, port = self.config.listen
        family, kind, protocol, _, address = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
        listening_socket = socket.socket(family, kind, protocol)
        try:
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if self.config.admin is not None:  # during an upgrade the new process listens on the same port
                listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listening_socket.setblocking(False)
            listening_socket.bind(address)
        except OSError:
            listening_socket.close()
            raise
        return listening_socket

    def create_connection(self) -> ClientConnection:
        return ClientConnection(self)

    def stop_accepting(self) -> None:
        """Close the listening socket, but first accept what the kernel has queued: a close would reset it."""
        while True:
            try:
                accepted_socket, _ = self.socket.accept()
            except OSError:  # the queue is empty, or no descriptor is left
                break
            accepted_socket.setblocking(False)
            accepted_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            accept_task = self.loop.create_task(
                self.loop.connect_accepted_socket(self.create_connection, accepted_socket)
            )
            self.accept_tasks.add(accept_task)
            accept_task.add_done_callback(self.accept_tasks.discard)
        self.server.close()

    @property
    def has_clients(self) -> bool:
        """Whether any client is connected, including those being accepted and those lingering."""
        return bool(self.connections or self.lingering or self.accept_tasks)

    def set_limit(self, max_connections: int) -> None:
        """Change the limit of connections, and evict those over it."""
        self.max_connections = max_connections
        self.enforce_connection_limit(None)

    def on_connection_opened(self, client: ClientConnection) -> None:
        """Supervise a new connection, and evict another if it is one too many."""
        log_event("client_connected", connection=client.descriptor)
        self.connections.add(client)
        self.awaiting_first_byte[client] = self.awaiting_first_request[client] = self.loop.time()
        self.enforce_connection_limit(client)

    def enforce_connection_limit(self, newest: ClientConnection | None) -> None:
        """Evict connections until the limit is met.

        An evicted connection is closed in an orderly way and lingers with its descriptor; the next
        iteration aborts it once all that was written to it has been sent.
        """
        while len(self.connections) + len(self.lingering) > self.max_connections and self.evict_connection(
            newest
        ):
            pass

    def evict_connection(self, newest: ClientConnection | None) -> bool:
        """Close one connection and return whether there was one.

        First come connections that linger, then those that have sent nothing, or no byte of their first
        request for some time. Then come idle ones, as clients cope with a close between requests, and last
        those whose first request still arrives.
        """
        for lingering in self.lingering:
            if not count_unsent_bytes(lingering.transport):
                del self.lingering[lingering]
                lingering.transport.abort()
                return True
        stalled = next(iter(self.receiving_first_request), None)
        if (
            stalled is not None
            and self.receiving_first_request[stalled] > self.loop.time() - FIRST_REQUEST_STALL_S
        ):
            stalled = None
        candidates = (
            next(iter(self.awaiting_first_byte), None),
            stalled,
            next(iter(self.idle), None),
            next(iter(self.receiving_first_request), None),
        )
        for client in candidates:
            if client is not None and client is not newest:
                client.close("makes_room")
                return True
        return False

    def on_bytes_received(self, client: ClientConnection) -> None:
        """Note that a connection without a valid request so far makes progress."""
        if client in self.awaiting_first_request:
            self.awaiting_first_byte.pop(client, None)
            self.receiving_first_request[client] = self.loop.time()
            self.receiving_first_request.move_to_end(client)

    def on_valid_request(self, client: ClientConnection) -> None:
        """End the supervision of a connection that has sent a valid request."""
        self.awaiting_first_request.pop(client, None)
        self.receiving_first_request.pop(client, None)

    def add_slow_reader(self, client: ClientConnection) -> None:
        """Watch whether a client takes its responses at all: it holds memory, and perhaps a server."""
        if client not in self.slow_readers:
            self.slow_readers[client] = WriteProgress(client.transport, self.loop.time())

    def start_lingering(self, client: ClientConnection) -> None:
        """Note that the last response is written. The connection counts against the limit until it closes."""
        self.on_connection_closed(client)
        self.lingering[client] = None

    def on_connection_closed(self, client: ClientConnection) -> None:
        """Forget a connection whose transport has closed, or that lingers from now on."""
        self.connections.discard(client)
        self.lingering.pop(client, None)
        self.exclude_from_eviction(client)

    def exclude_from_eviction(self, client: ClientConnection) -> None:
        """Neither evict nor time out this connection, which is about to close.

        Its descriptor still counts until its transport closes in the next turn of the loop.
        """
        self.slow_readers.pop(client, None)
        for group in (
            self.awaiting_first_byte,
            self.receiving_first_request,
            self.idle,
            self.awaiting_first_request,
        ):
            group.pop(client, None)

    def detect_departures(self) -> None:
        """Look for clients that have closed with bytes of them unread: the transport reports those later.

        Their reading is paused, or a long request of theirs still arrives.
        """
        for client in [
            *self.read_paused.values(),
            *(client for client in self.connections if client.receiving_request),
        ]:
            client.detect_departure()

    def sweep_connections(self) -> None:
        """Close connections whose client has gone or sent no valid request in time.

        They must not hold descriptors.
        """
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep_connections)
        self.detect_departures()
        self.reset_stalled_readers()
        self.log_released_memory()
        oldest_allowed = self.loop.time() - FIRST_REQUEST_TIMEOUT_S
        for client, opened_at in [
            entry for entry in self.awaiting_first_request.items() if entry[1] < oldest_allowed
        ]:
            client.on_first_request_timeout(oldest_allowed - opened_at)
        if self.handler.draining:
            self.close_idle()

    def log_released_memory(self) -> None:
        """Log that connections had to give up memory, at most once in MEMORY_LOG_INTERVAL_S."""
        account, now = self.account, self.loop.time()
        if account.released_count and now >= self.memory_logged_at + MEMORY_LOG_INTERVAL_S:
            log.warning(
                "memory: %d requests refused or connections closed; %d of %d bytes held for peers",
                account.released_count,
                account.held_bytes,
                account.total_bytes,
            )
            self.memory_logged_at, account.released_count = now, 0

    def reset_stalled_readers(self) -> None:
        """Reset connections whose client takes nothing of its responses."""
        now = self.loop.time()
        for client in [client for client, progress in self.slow_readers.items() if progress.stalled(now)]:
            client.reset("responses_not_read")

    def close_idle(self) -> None:
        """Close idle connections, so that their clients reconnect to another node.

        A connection that has only just opened may still send its first request.
        """
        opened_before = self.loop.time() - DRAIN_GRACE_FOR_NEW_S
        for client in [
            *self.idle,
            *(client for client, opened_at in self.awaiting_first_byte.items() if opened_at < opened_before),
        ]:
            client.close("draining")

    def reject_unfinished_requests(self) -> None:
        """Respond with 503 to requests that are still arriving, and close connections that serve none."""
        for client in list(self.connections):
            if client.receiving_request and not client.input_finished:
                client.stop_reading(BadRequest(503))
                client.serve_next_requests()
            elif not client.serving_request and not client.queued_requests:
                client.close("stopping")

    def count_queued_requests(self) -> int:
        """The number of complete requests that wait for earlier ones on the same connection."""
        queued_items = [entry for client in self.connections for entry, _ in client.queued_requests]
        requests = [entry.message for entry in queued_items if isinstance(entry, ClientRequest)]
        return sum(message.upload is None or message.upload.complete for message in requests)
