"""What a look at the farm shows: the answers of doors and of the list, as values."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

LatencyHistogram = Counter[int]  # good answers by bucket; bucket n ends at 2 ** ((n + 1) / 4) - 1 ms


@dataclass(frozen=True, slots=True)
class ResponseCounters:
    """What a server has answered a node in one class, since the server's process (or the node's) started."""

    ok: int = 0
    failed: int = 0  # may have run
    not_started: int = 0  # turned away, or no connection
    latencies: LatencyHistogram = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class ServerCounters:
    """What one process of a node knows of a listed server."""

    in_flight: int  # attempts
    cordoned: bool
    started_ms: int  # Unix ms, as its list has it; 0: long ago
    classes: dict[str, ResponseCounters]


@dataclass(frozen=True, slots=True)
class ProcessView:
    """One process of a node, by its door. `results`: requests served, refused, failed, by class."""

    admin_address: str
    health: str  # "ready", or what else it said
    servers: dict[str, ServerCounters]
    results: dict[str, tuple[int, int, int]]
    reports_servers: bool = True  # of job servers; a node of an older version can't

    @property
    def ready(self) -> bool:
        return self.health == "ready"


@dataclass(frozen=True, slots=True)
class NodeView:
    """A node's processes that answered; `why` none did."""

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
    """A job server's line in the list."""

    id: str
    address: str
    zone: str
    size: float
    lifecycle: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The farm as one look shows it. `listed` is None where the list did not answer."""

    taken_at_s: float  # s, when the look began
    nodes: dict[str, NodeView]
    listed: dict[str, ListedServer] | None

    def in_flight(self, server: str) -> int | None:
        """Attempts out at a server from all nodes; None if a node did not tell."""
        for node in self.nodes.values():
            if not node.processes or not all(process.reports_servers for process in node.processes):
                return None
        return sum(held.in_flight for held in self.server_counters(server))

    def cordoned_anywhere(self, server: str) -> bool:
        """Whether a server is out by hand at any node."""
        return any(held.cordoned for held in self.server_counters(server))

    def cordoned_everywhere(self, server: str) -> bool:
        """Whether it is out by hand at every node that lists it."""
        return all(held.cordoned for held in self.server_counters(server))

    def server_counters(self, server: str) -> Iterator[ServerCounters]:
        """What each process of each node knows of a server."""
        for node in self.nodes.values():
            yield from (p.servers[server] for p in node.processes if server in p.servers)
