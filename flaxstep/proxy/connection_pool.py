"""All connections to job servers: a pool of idle ones for each endpoint, and the attempts in flight."""

from __future__ import annotations

import asyncio
import logging
import math
from bisect import insort
from typing import Protocol

from flaxstep.proxy.config import Address
from flaxstep.proxy.event_log import log_event
from flaxstep.proxy.forwarded_messages import ForwardedRequest, ServerResponse
from flaxstep.proxy.idle_limit import IdleLimit
from flaxstep.proxy.memory_account import MemoryAccount
from flaxstep.proxy.metrics import Metrics
from flaxstep.proxy.read_turns import TurnScheduler
from flaxstep.proxy.server_connections import Attempt, EndpointConnections, ServerConnection
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing.interface import Result, State

RESPONSE_READ_TIMEOUT_S = 15.0  # without a byte of a response that is being streamed to the client
# Connections are closed this long before the server's own idle timeout, so that its close does not cross a
# request of the node.
IDLE_TIMEOUT_MARGIN_MS = 2000.0
# A connection is not reused before this: a second response to the previous request, which some servers send a
# few milliseconds late, would be taken for the response to the next one. Seen up to 4.6 ms late.
CONNECTION_REUSE_DELAY_MS = 10.0
IDLE_SWEEP_INTERVAL_S = 1.0
LIMIT_LOG_INTERVAL_S = 1.0

log = logging.getLogger("flaxstep.proxy")


class AttemptHandler(Protocol):
    """Receives the responses and the results of attempts."""

    def attempt_ended(self, attempt: Attempt, result: Result, response: ServerResponse | None) -> None:
        """An attempt has ended; `response` is set if it was received completely and not streamed."""

    def response_started(self, attempt: Attempt, content_length: int | None, content_type: bytes) -> None:
        """A response is streamed from now on."""

    def response_chunk(self, attempt: Attempt, chunk: bytes) -> None:
        """A chunk of the body of a streamed response was received."""


class ServerPool:
    """All listed servers with their idle connections, and all attempts in flight."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dial_timeout: float,
        idle_timeout: float,
        max_connections: int,
        handler: AttemptHandler,
        metrics: Metrics,
        account: MemoryAccount,
        turns: TurnScheduler,
    ) -> None:
        self.loop = loop
        self.dial_timeout = dial_timeout
        self.idle_limit = IdleLimit(max(idle_timeout - IDLE_TIMEOUT_MARGIN_MS, idle_timeout / 2))
        self.max_connections = max_connections
        self.on_attempt_ended, self.on_response_started, self.on_response_chunk = (
            handler.attempt_ended,
            handler.response_started,
            handler.response_chunk,
        )
        self.metrics = metrics
        self.account = account
        self.turns = turns
        self.servers: dict[int, EndpointConnections] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.connections: set[ServerConnection] = set()
        self.pending_connects = 0
        self.limit_logged_at, self.unconnected_attempts = -math.inf, 0  # attempts since that log line
        self.loop.call_later(IDLE_SWEEP_INTERVAL_S, self.sweep_connections)

    def update(self, server_id: int, address: Address, state: State, started: float) -> None:
        """Apply an entry of the server list."""
        server = self.servers.get(server_id)
        if server is None:
            self.servers[server_id] = EndpointConnections(server_id, address, state, started)
        elif (server.address, server.state, server.started) != (address, state, started):
            # Connections from before a restart are dead, and a draining server gets no new requests.
            server.address, server.state, server.started = address, state, started
            self.discard_connections(server)
        if (
            state is State.GONE
        ):  # attempts in flight keep a reference; entries of servers that left must not pile up
            self.servers.pop(server_id, None)

    def discard_connections(self, server: EndpointConnections) -> None:
        """Close its idle connections and end the attempts that wait for one, so that they go elsewhere."""
        server.version += 1
        for connection in server.idle:
            connection.close("endpoint_changed")
        server.idle.clear()
        for attempt in list(self.attempts.values()):
            if attempt.server is server and attempt.connection is None:
                self.abort_attempt(attempt, Result.UNREACHABLE)

    def cordon(self, server_id: int) -> None:
        """Keep attempts that were decided before from reaching the server."""
        server = self.servers.get(server_id)
        if server is not None:
            self.discard_connections(server)

    def send(
        self,
        request_id: int,
        number: int,
        server_id: int,
        timeout_ms: float,
        send_within_ms: float,
        message: ForwardedRequest,
    ) -> None:
        """Start an attempt: it is sent within `send_within_ms` or not at all, and ends after `timeout_ms`."""
        server = self.servers[server_id]
        now = now_ms()
        attempt = Attempt(
            request_id, number, server, server.version, message, now, now + timeout_ms, now + send_within_ms
        )
        self.attempts[request_id, number] = attempt
        attempt.timeout_timer = self.loop.call_later(max(0.0, timeout_ms) / 1000, self.on_timeout, attempt)
        idle, reusable = server.idle, len(server.idle)
        while reusable and now - idle[reusable - 1].idle_since < CONNECTION_REUSE_DELAY_MS:
            reusable -= 1
        while reusable:
            reusable -= 1
            if self.send_on_idle(idle.pop(reusable), attempt, now):
                return
        if not idle:
            attempt.connection_wait = self.loop.create_task(self.connect(attempt))
            return
        # The rest of the reuse delay is far shorter than the time to open another connection.
        attempt.reserved_connection = idle.pop(0)
        wait_ms = attempt.reserved_connection.idle_since + CONNECTION_REUSE_DELAY_MS - now
        attempt.connection_wait = self.loop.call_later(wait_ms / 1000, self.on_reuse_delay_over, attempt)

    def send_on_idle(self, connection: ServerConnection, attempt: Attempt, now: float) -> bool:
        """Send the attempt on an idle connection; False, and the connection closed, if it is not usable."""
        idle_before_ms = now - connection.idle_since
        fresh = (
            connection.version == attempt.version == attempt.server.version
            and idle_before_ms < self.idle_limit.limit_ms
        )
        closing = connection.transport.is_closing()
        if not fresh or closing or now >= attempt.send_before or connection.socket_poll.poll(0):
            connection.close("stale")
            return False
        if self.client_has_left(attempt):
            self.return_to_pool(connection, connection.idle_since)
            return True
        connection.idle_before_ms = idle_before_ms
        connection.send_request(attempt)
        return True

    def client_has_left(self, attempt: Attempt) -> bool:
        """Whether nobody waits for the attempt any more, which ends it: it must not begin."""
        source = attempt.message.source
        return source is not None and source.detect_departure()

    def on_reuse_delay_over(self, attempt: Attempt) -> None:
        """The connection that is reserved for the attempt may be reused from now on."""
        connection, attempt.reserved_connection, attempt.connection_wait = (
            attempt.reserved_connection,
            None,
            None,
        )
        assert connection is not None
        if not self.send_on_idle(connection, attempt, now_ms()):
            attempt.connection_wait = self.loop.create_task(self.connect(attempt))

    async def connect(self, attempt: Attempt) -> None:
        """Open a connection for an attempt. If this fails, no byte of the request has been sent."""
        server = attempt.server
        if (
            len(self.connections) + self.pending_connects >= self.max_connections
            and not self.close_idle_connection()
        ):
            self.log_limit_reached()
            self.finish_attempt(attempt, Result.NOT_SENT)  # it says nothing about the server
            return
        self.pending_connects += 1
        connection = ServerConnection(self, server)
        self.account.update(connection)
        try:
            async with asyncio.timeout(min(self.dial_timeout, attempt.send_before - now_ms()) / 1000):
                await self.loop.create_connection(lambda: connection, *server.address)
        except (OSError, UnicodeError):  # not connected in time, or not a valid address
            self.finish_attempt(attempt, Result.UNREACHABLE)
            return
        finally:
            self.pending_connects -= 1
            self.account.remove(connection)  # a connection that is cancelled now is never lost
        attempt.connection_wait = None
        # The server may have started to drain meanwhile, or have restarted at another address.
        changed = attempt.version != server.version
        if changed or connection.transport.is_closing() or now_ms() >= attempt.send_before:
            connection.close("endpoint_changed_while_connecting" if changed else "came_up_late")
            self.finish_attempt(attempt, Result.UNREACHABLE)
        elif self.client_has_left(attempt):
            connection.close("client_left_while_connecting")
        else:
            # Counted here, not in connection_made: if connecting is cancelled just as it succeeds, uvloop
            # closes the connection without connection_lost, and it would count against the limit for ever.
            self.connections.add(connection)
            connection.holds_nothing_more = False
            connection.send_request(attempt)

    def log_limit_reached(self) -> None:
        """Log that attempts find no descriptor, at most once in LIMIT_LOG_INTERVAL_S."""
        self.unconnected_attempts += 1
        if self.loop.time() >= self.limit_logged_at + LIMIT_LOG_INTERVAL_S:
            log.warning(
                "%d attempts without a connection: the limit of %d server connections is reached",
                self.unconnected_attempts,
                self.max_connections,
            )
            self.limit_logged_at, self.unconnected_attempts = self.loop.time(), 0

    def set_limit(self, limit: int) -> None:
        """Change the maximum number of connections, and close idle ones that exceed it."""
        self.max_connections = limit
        while len(self.connections) + self.pending_connects > limit and self.close_idle_connection():
            pass

    def close_idle_connection(self) -> bool:
        """Close one idle connection to free its descriptor; False if there is none."""
        for server in self.servers.values():
            if server.idle:
                connection = server.idle.pop(0)
                connection.close("makes_room")
                self.connections.discard(connection)
                return True
        return False

    def return_to_pool(self, connection: ServerConnection, idle_since: float) -> None:
        """Keep a connection for the next attempt, unless its server has changed since it was opened."""
        server = connection.server
        if connection.version != server.version or server.state is not State.READY:
            connection.close("endpoint_changed")
            return
        log_event("upstream_pooled", upstream=connection.descriptor, reading_paused=connection.reading_paused)
        connection.idle_since = idle_since
        idle = server.idle
        if not idle or idle[-1].idle_since <= idle_since:
            idle.append(connection)
        else:  # it was reserved for an attempt that did not use it
            insort(idle, connection, key=lambda other: other.idle_since)

    def sweep_connections(self) -> None:
        """Close connections that were idle for too long, and end streamed responses that have stalled."""
        self.loop.call_later(IDLE_SWEEP_INTERVAL_S, self.sweep_connections)
        self.idle_limit.on_sweep()
        idle_before = now_ms() - self.idle_limit.limit_ms
        for server in self.servers.values():
            while server.idle and server.idle[0].idle_since < idle_before:
                server.idle.pop(0).close("idle")
        read_before = now_ms() - 1000 * RESPONSE_READ_TIMEOUT_S
        for connection in [attempt.connection for attempt in self.attempts.values() if attempt.streaming]:
            if (
                connection is not None
                and not connection.reading_paused
                and connection.last_read_ms < read_before
            ):
                connection.abort_attempt(Result.RESET)

    def on_timeout(self, attempt: Attempt) -> None:
        # Without a connection, or with the request partly written, the server has not run it.
        self.abort_attempt(attempt, Result.TIMEOUT if attempt.request_written else Result.UNREACHABLE)

    def set_timeout(self, request_id: int, number: int, timeout_ms: float) -> None:
        """Replace the timeout of an attempt that is not streamed yet."""
        attempt = self.attempts.get((request_id, number))
        if attempt is None or attempt.streaming:
            return
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        attempt.deadline = now_ms() + timeout_ms
        attempt.timeout_timer = self.loop.call_later(max(0.0, timeout_ms) / 1000, self.on_timeout, attempt)

    def cancel(self, request_id: int, number: int) -> None:
        attempt = self.attempts.get((request_id, number))
        if attempt is not None:
            self.abort_attempt(attempt, Result.CANCELLED)

    def cancel_unsent(self, request_id: int, number: int) -> None:
        """End an attempt that has no connection yet, as its request is over."""
        attempt = self.attempts.get((request_id, number))
        if attempt is not None and attempt.connection is None:
            self.abort_attempt(attempt, Result.NOT_SENT)

    def abort_attempt(self, attempt: Attempt, result: Result) -> None:
        """End an attempt early. Its connection is aborted, as a response may still arrive on it."""
        if attempt.connection_wait is not None:
            attempt.connection_wait.cancel()
        if attempt.reserved_connection is not None:
            self.return_to_pool(attempt.reserved_connection, attempt.reserved_connection.idle_since)
            attempt.reserved_connection = None
        if attempt.connection is not None:
            attempt.connection.abort_attempt(result)
        else:
            self.finish_attempt(attempt, result)

    def finish_attempt(
        self, attempt: Attempt, result: Result, response: ServerResponse | None = None
    ) -> None:
        if self.attempts.pop((attempt.request_id, attempt.number), None) is None:
            return
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        attempt.connection_wait = attempt.connection = None
        self.on_attempt_ended(attempt, result, response)
