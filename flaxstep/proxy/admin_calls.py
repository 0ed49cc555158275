"""What the calls of operators at the admin address do and answer; the cordons have a module of their own."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Protocol

from flaxstep.proxy.admin import Reply
from flaxstep.proxy.client_listener import Listener
from flaxstep.proxy.connection_pool import ServerPool
from flaxstep.proxy.cordons import Cordons
from flaxstep.proxy.endpoint_updates import EndpointUpdates
from flaxstep.proxy.metrics import Metrics, ServerMetrics
from flaxstep.proxy.shared_state import SharedState
from flaxstep.proxy.wall_clock import now_ms
from flaxstep.routing import Policy

log = logging.getLogger("flaxstep.proxy")


class OperatedNode(Protocol):
    """What the calls need of a node."""

    quiesced: bool  # drained by an operator
    stopping: bool  # told to end
    cordons: Cordons
    endpoint_updates: EndpointUpdates
    listener: Listener
    metrics: Metrics
    policy: Policy
    pool: ServerPool
    server_metrics: ServerMetrics
    shared_state: SharedState

    @property
    def ready(self) -> bool:
        """Whether the process may be sent clients."""

    @property
    def pending_requests(self) -> Mapping[int, object]:
        """The requests that have no final response, by number, also those whose bodies still come."""

    def count_taken_requests(self) -> int:
        """The requests that have come whole and have no final response."""


class AdminCalls:
    """The calls of operators at one node."""

    def __init__(self, node: OperatedNode) -> None:
        self.node = node

    def by_path(self) -> dict[bytes, tuple[bytes, Callable[[bytes], Reply]]]:
        """The method of each path, and what handles the body of its calls."""
        return {
            b"/admin/health": (b"GET", self.report_health),
            b"/admin/stats": (b"GET", self.report_stats),
            b"/admin/servers": (b"GET", self.report_servers),
            b"/admin/cordon": (b"POST", self.node.cordons.cordon),
            b"/admin/uncordon": (b"POST", self.node.cordons.uncordon),
            b"/admin/quiesce": (b"POST", self.quiesce),
            b"/admin/resume": (b"POST", self.resume),
        }

    def report_health(self, _: bytes) -> Reply:
        """Whether this process is ready to serve."""
        if self.node.ready:
            return 200, "ready"
        if self.node.stopping:
            return 503, "stopping"
        return 503, "quiesced" if self.node.quiesced else "starting"

    def report_stats(self, _: bytes) -> Reply:
        """The metrics."""
        node = self.node
        listed = node.endpoint_updates.listed
        avoided = listed & node.policy.find_avoided_servers(now_ms())
        gauges = {
            "outstanding": node.count_taken_requests() + node.listener.count_queued_requests(),
            "discovered": len(listed),
            "ejected": len(avoided),
        }
        return 200, node.metrics.to_statsd(gauges)

    def report_servers(self, _: bytes) -> Reply:
        """What each listed server has answered, and what is out there now."""
        node = self.node
        outstanding = Counter(attempt.server.id for attempt in node.pool.attempts.values())
        node.shared_state.refresh()  # the call may have gone to the other process
        return 200, node.server_metrics.report(outstanding, node.shared_state.state.cordoned)

    def quiesce(self, _: bytes) -> Reply:
        """Drain the node: its clients reconnect elsewhere. Pending and new requests are still served."""
        if not self.node.quiesced:
            self.node.quiesced = True
            log.info("quiesced: %d requests pending", len(self.node.pending_requests))
            self.node.listener.close_idle()
        return 200, "quiesced"

    def resume(self, _: bytes) -> Reply:
        """End the drain that quiesce began."""
        if self.node.stopping:
            return 409, "stopping: the node can't resume"
        if self.node.quiesced:
            self.node.quiesced = False
            log.info("resumed")
        return 200, "resumed"
