"""A snapshot of the farm: the responses of the admin ports and of the list service, as values."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

# Successful responses by latency bucket; bucket n ends at 2 ** ((n + 1) / 4) - 1 ms.
LatencyHistogram = Counter[int]


@dataclass(frozen=True, slots=True)
class ResponseCounters:
    """One class of responses of a server to a node, since the server's process (or the node's) started."""

    ok: int = 0
    failed: int = 0  # failed after the request may have run
    not_started: int = 0  # rejected, or no connection: the request did not run
    latencies: LatencyHistogram = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class ServerCounters:
    """What one process of a node reports of a listed server."""

    in_flight: int  # attempts
    cordoned: bool
    started_ms: int  # Unix time as the node has it from the list; 0: long ago
    classes: dict[str, ResponseCounters]


@dataclass(frozen=True, slots=True)
class ProcessView:
    """One process of a node. `results` counts requests served, refused and failed, by class."""

    admin_address: str
    health: str  # "ready", or another response of /admin/health
    servers: dict[str, ServerCounters]
    results: dict[str, tuple[int, int, int]]
    reports_servers: bool = True  # whether it reports counters of job servers; older versions do not

    @property
    def ready(self) -> bool:
        return self.health == "ready"


@dataclass(frozen=True, slots=True)
class NodeView:
    """A node's processes that responded. `error` says why none did."""

    name: str
    processes: tuple[ProcessView, ...]
    error: str = ""

    @property
    def ready(self) -> bool:
        return any(process.ready for process in self.processes)

    def process_at(self, admin_address: str) -> ProcessView | None:
        return next((process for process in self.processes if process.admin_address == admin_address), None)


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A job server as the list has it."""

    id: str
    address: str
    zone: str
    size: float
    lifecycle: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The farm at one time. `listed` is None if the list service did not respond."""

    taken_at_s: float  # when the collection began
    nodes: dict[str, NodeView]
    listed: dict[str, ListedServer] | None

    def in_flight(self, server: str) -> int | None:
        """Attempts in flight at a server from all nodes; None if a node did not report it."""
        for node in self.nodes.values():
            if not node.processes or not all(process.reports_servers for process in node.processes):
                return None
        return sum(held.in_flight for held in self.server_counters(server))

    def cordoned_anywhere(self, server: str) -> bool:
        """Whether a server is cordoned at any node."""
        return any(held.cordoned for held in self.server_counters(server))

    def cordoned_everywhere(self, server: str) -> bool:
        """Whether a server is cordoned at every node that lists it."""
        return all(held.cordoned for held in self.server_counters(server))

    def server_counters(self, server: str) -> Iterator[ServerCounters]:
        """The counters of a server from each process of each node."""
        for node in self.nodes.values():
            yield from (p.servers[server] for p in node.processes if server in p.servers)
