"""Metrics of a node: its counters and gauges as statsd lines, and counts by job server as JSON."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping, Set

from flaxstep.routing.interface import NEVER_RAN, Result

PREFIX = "edge_router"
BUCKETS_PER_DOUBLING = 4  # of the response time: bounds are 19% apart
BUCKET_COUNT = 64  # up to 65 s


class Metrics:
    """Counters of request outcomes by class and of forwarded attempts, since the start of the process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = list(classes)  # by class number
        self.succeeded = [0] * len(self.classes)
        self.declined = self.succeeded[:]
        self.aborted = self.succeeded[:]
        self.forwards = 0  # attempts whose request was written completely

    def record_outcome(self, cls: int, status: int) -> None:
        """Count a request by the status of its final response."""
        if status == 200:
            self.succeeded[cls] += 1
        elif status in (429, 503):
            self.declined[cls] += 1
        else:
            self.aborted[cls] += 1

    def to_statsd(self, gauges: Mapping[str, int]) -> str:
        """Format the counters and these gauges as statsd lines."""
        counts = [
            f"results.{name}.{outcome}:{count[cls]}|c"
            for cls, name in enumerate(self.classes)
            for outcome, count in (
                ("succeeded", self.succeeded),
                ("declined", self.declined),
                ("aborted", self.aborted),
            )
        ]
        counts.append(f"forwards:{self.forwards}|c")
        counts += [f"{name}:{value}|g" for name, value in gauges.items()]
        return "\n".join(f"{PREFIX}.{line}" for line in counts)


class ServerMetrics:
    """Results by listed job server and class, since the start of the server or, if later, of this process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = list(classes)
        self.servers: dict[int, ServerResponseCounts] = {}

    def add_server(self, server: int, name: str, started_at: float) -> None:
        """Add a listed server; its counts start from zero again if it has restarted."""
        known = self.servers.get(server)
        if known is None or known.started_at != started_at:
            self.servers[server] = ServerResponseCounts(name, started_at, len(self.classes))

    def remove_server(self, server: int) -> None:
        """Remove a server that is not listed any more."""
        self.servers.pop(server, None)

    def record_attempt(self, server: int, cls: int, result: Result, elapsed_ms: float) -> None:
        """Count an attempt by its result and the time that it took."""
        counts = self.servers.get(server)
        if counts is None:
            return
        if result is Result.OK:
            counts.latency_counts[cls][
                min(int(BUCKETS_PER_DOUBLING * math.log2(elapsed_ms + 1.0)), BUCKET_COUNT - 1)
            ] += 1
        elif result in NEVER_RAN:
            counts.not_started[cls] += 1
        else:
            counts.failed[cls] += 1

    def report(self, outstanding: Mapping[int, int], cordoned: Set[str]) -> str:
        """A JSON object by server name.

        `out` is the number of attempts in flight, `started` the Unix time in ms of the start as listed, and
        `took` has pairs of a bucket and its count; bucket n ends at 2 ** ((n + 1) / 4) - 1 ms.
        """
        return json.dumps(
            {
                counts.name: {
                    "out": outstanding.get(server, 0),
                    "cordoned": counts.name in cordoned,
                    "started": round(counts.started_at),
                    "classes": {name: counts.to_dict(cls) for cls, name in enumerate(self.classes)},
                }
                for server, counts in self.servers.items()
            },
            separators=(",", ":"),
        )


class ServerResponseCounts:
    """Result counts of one job server by class."""

    __slots__ = ("failed", "latency_counts", "name", "not_started", "started_at")

    def __init__(self, name: str, started_at: float, classes: int) -> None:
        self.name, self.started_at = name, started_at
        self.failed = [0] * classes  # errors, resets and timeouts: the attempt may have run
        self.not_started = [0] * classes  # rejected by the server, or no connection
        self.latency_counts = [[0] * BUCKET_COUNT for _ in range(classes)]

    def to_dict(self, cls: int) -> dict[str, object]:
        """The counts of one class, as in the report."""
        latency_counts = [(bucket, count) for bucket, count in enumerate(self.latency_counts[cls]) if count]
        ok = sum(count for _, count in latency_counts)
        return {
            "ok": ok,
            "failed": self.failed[cls],
            "unstarted": self.not_started[cls],
            "took": latency_counts,
        }
