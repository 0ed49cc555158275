"""What a look at the farm shows: the answers of doors and of the list, as values."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

Bins = Counter[int]  # good answers by bucket; bucket n ends at 2 ** ((n + 1) / 4) - 1 ms


@dataclass(frozen=True, slots=True)
class Answers:
    """What a server has answered a node in one class, since the server's process (or the node's) started."""

    ok: int = 0
    failed: int = 0  # may have run
    unstarted: int = 0  # turned away, or no connection
    took: Bins = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class ServerCounters:
    """What one process of a node knows of a listed server."""

    out: int  # attempts
    cordoned: bool
    started: int  # Unix ms, as its list has it; 0: long ago
    classes: dict[str, Answers]


@dataclass(frozen=True, slots=True)
class Process:
    """One process of a node, by its door. `results`: requests served, refused, failed, by class."""

    door: str
    health: str  # "ready", or what else it said
    servers: dict[str, ServerCounters]
    results: dict[str, tuple[int, int, int]]
    tells: bool = True  # of job servers; a node of an older version can't

    @property
    def ready(self) -> bool:
        return self.health == "ready"


@dataclass(frozen=True, slots=True)
class NodeView:
    """A node's processes that answered; `why` none did."""

    name: str
    processes: tuple[Process, ...]
    why: str = ""

    @property
    def ready(self) -> bool:
        return any(process.ready for process in self.processes)

    def at(self, door: str) -> Process | None:
        return next((process for process in self.processes if process.door == door), None)


@dataclass(frozen=True, slots=True)
class Listed:
    """A job server's line in the list."""

    id: str
    address: str
    zone: str
    size: float
    lifecycle: str
    started: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The farm as one look shows it. `listed` is None where the list did not answer."""

    at: float  # s, when the look began
    nodes: dict[str, NodeView]
    listed: dict[str, Listed] | None

    def out(self, server: str) -> int | None:
        """Attempts out at a server from all nodes; None if a node did not tell."""
        for node in self.nodes.values():
            if not node.processes or not all(process.tells for process in node.processes):
                return None
        return sum(held.out for held in self.held(server))

    def cordoned(self, server: str) -> bool:
        """Whether a server is out by hand at any node."""
        return any(held.cordoned for held in self.held(server))

    def taken_out(self, server: str) -> bool:
        """Whether it is out by hand at every node that lists it."""
        return all(held.cordoned for held in self.held(server))

    def held(self, server: str) -> Iterator[ServerCounters]:
        """What each process of each node knows of a server."""
        for node in self.nodes.values():
            yield from (p.servers[server] for p in node.processes if server in p.servers)
