"""Applies server lists to the connection pool, the decisions and the metrics."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from flaxstep.proxy.connection_pool import ServerPool
from flaxstep.proxy.member_list import Endpoint, HandedList, MemberList, MemberListReader
from flaxstep.proxy.memory_account import CountedHolder
from flaxstep.proxy.metrics import ServerMetrics
from flaxstep.routing.interface import Event, ListKind, ServerList, State

MAX_LOGGED_ENDPOINTS = 4  # in the log line about a list

log = logging.getLogger("flaxstep.proxy")


class EndpointUpdates:
    """Keeps the pool, the decisions and the metrics in line with the lists that are read.

    `listed` has the ids of the servers in the list that is in force.
    """

    def __init__(
        self,
        reader: MemberListReader,
        pool: ServerPool,
        server_metrics: ServerMetrics,
        dispatch_event: Callable[[Event], None],
        held_endpoints: CountedHolder,
        on_applied: Callable[[MemberList], None],
    ) -> None:
        self.reader = reader
        self.pool = pool
        self.server_metrics = server_metrics
        self.dispatch_event = dispatch_event
        self.listed: set[int] = set()
        self.held_endpoints = held_endpoints  # beyond those that count as memory at rest
        self.resting_count = 0
        self.on_applied = on_applied  # called with each list that has been applied

    def apply(self, raw: Any, kind: ListKind | None) -> int | None:
        """Apply a list and return its version. ValueError, and no change, if it is no list.

        `kind` is None if the list itself tells it.
        """
        members = self.reader.read(raw, kind)
        self.apply_members(members)
        return members.version

    def adopt(self, handed: HandedList, own_list_confirmed: bool) -> bool:
        """Apply the list of the process that served before this one; False if the own list stays."""
        members = self.reader.adopt(handed, own_list_confirmed)
        if members is None:
            return False
        self.apply_members(members)
        return True

    def apply_members(self, members: MemberList) -> None:
        """Apply a list that has been read."""
        endpoints = members.endpoints
        # New servers are added to the pool first: the policy may send to them while it handles the list.
        for endpoint in endpoints:
            if endpoint.entry.state is State.READY and endpoint.entry.id not in self.pool.servers:
                self.update_endpoint(endpoint)
        # The policy gets the list before the pool removes or changes servers: that ends attempts, and the
        # policy must not retry them on servers that this list removes.
        self.dispatch_event(
            ServerList(members.kind, members.version or 0, [each.entry for each in endpoints])
        )
        if members.kind is not ListKind.DELTA:
            listed_ids = {endpoint.entry.id for endpoint in endpoints}
            for server_id in self.listed - listed_ids:
                removed = self.pool.servers[server_id]
                self.pool.update(server_id, removed.address, State.GONE, removed.started)
                self.server_metrics.remove_server(server_id)
            self.listed &= listed_ids
        for endpoint in endpoints:
            self.update_endpoint(endpoint)
            if endpoint.entry.state is State.GONE:
                self.listed.discard(endpoint.entry.id)
                self.server_metrics.remove_server(endpoint.entry.id)
            else:
                self.listed.add(endpoint.entry.id)
                self.server_metrics.add_server(endpoint.entry.id, endpoint.name, endpoint.started_at)
        self.held_endpoints.set_count(max(0, len(self.listed) - self.resting_count))
        if endpoints or members.kind is not ListKind.DELTA:
            self.log_list(members)
        self.on_applied(members)

    def on_resting_memory_measured(self) -> None:
        """The endpoints that are listed now count as memory at rest."""
        self.resting_count = len(self.listed)
        self.held_endpoints.set_count(0)

    def update_endpoint(self, endpoint: Endpoint) -> None:
        """Update one endpoint in the pool."""
        entry = endpoint.entry
        self.pool.update(entry.id, endpoint.address, entry.state, entry.started)

    def log_list(self, members: MemberList) -> None:
        logged = members.endpoints[:MAX_LOGGED_ENDPOINTS]
        changes = ", ".join(f"{each.name} {each.entry.state.name.lower()}" for each in logged)
        unlogged = len(members.endpoints) - len(logged)
        more = f" and {unlogged} more" if unlogged else ""
        version = "without a version" if members.version is None else members.version
        log.info("list %s, %s: %s%s", version, members.kind.name.lower(), changes, more)
