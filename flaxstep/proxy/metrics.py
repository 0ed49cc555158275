"""What the node reports: counters since its start and gauges, as statsd lines; and figures of each job
server."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping, Set

from flaxstep.routing.interface import NEVER_RAN, Result

PREFIX = "edge_router"
BUCKETS_PER_DOUBLING = 4  # buckets of answer times to a doubling: within 19%
BUCKET_COUNT = 64  # from 1 ms to 65 s


class Metrics:
    """The counters. Each is raised where its outcome becomes known."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = list(classes)  # in the order of their numbers
        self.succeeded = [0] * len(self.classes)
        self.declined = self.succeeded[:]
        self.aborted = self.succeeded[:]
        self.forwards = 0  # attempts written whole to servers

    def record_outcome(self, cls: int, status: int) -> None:
        """A request got its whole final answer."""
        if status == 200:
            self.succeeded[cls] += 1
        elif status in (429, 503):
            self.declined[cls] += 1
        else:
            self.aborted[cls] += 1

    def to_statsd(self, gauges: Mapping[str, int]) -> str:
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
    """What each listed job server has answered, by class, since its process started (or this node's did)."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = list(classes)
        self.servers: dict[int, ServerResponseCounts] = {}

    def add_server(self, server: int, name: str, started_at: float) -> None:
        """A server is in the list. One that has started anew begins anew here."""
        known = self.servers.get(server)
        if known is None or known.started_at != started_at:
            self.servers[server] = ServerResponseCounts(name, started_at, len(self.classes))

    def remove_server(self, server: int) -> None:
        """It is not listed any more."""
        self.servers.pop(server, None)

    def record_attempt(self, server: int, cls: int, result: Result, elapsed_ms: float) -> None:
        """An attempt at a server has its outcome, after `took` ms."""
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
        """One JSON object, by server: attempts out, whether it is out by hand, Unix ms of its start as the
        list has it, answers by class.

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
    """One job server's."""

    __slots__ = ("failed", "latency_counts", "name", "not_started", "started_at")

    def __init__(self, name: str, started_at: float, classes: int) -> None:
        self.name, self.started_at = name, started_at
        self.failed = [0] * classes  # errors, resets and time-outs: they may have run
        self.not_started = [0] * classes  # turned away, or no connection
        self.latency_counts = [[0] * BUCKET_COUNT for _ in range(classes)]

    def to_dict(self, cls: int) -> dict[str, object]:
        latency_counts = [(bucket, count) for bucket, count in enumerate(self.latency_counts[cls]) if count]
        ok = sum(count for _, count in latency_counts)
        return {
            "ok": ok,
            "failed": self.failed[cls],
            "unstarted": self.not_started[cls],
            "took": latency_counts,
        }
