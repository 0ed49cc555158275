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

    def ended(self, cls: int, status: int) -> None:
        """A request got its whole final answer."""
        if status == 200:
            self.succeeded[cls] += 1
        elif status in (429, 503):
            self.declined[cls] += 1
        else:
            self.aborted[cls] += 1

    def lines(self, gauges: Mapping[str, int]) -> str:
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
        self.servers: dict[int, ServerAnswerCounts] = {}

    def listed(self, server: int, name: str, started: float) -> None:
        """A server is in the list. One that has started anew begins anew here."""
        known = self.servers.get(server)
        if known is None or known.started != started:
            self.servers[server] = ServerAnswerCounts(name, started, len(self.classes))

    def forget(self, server: int) -> None:
        """It is not listed any more."""
        self.servers.pop(server, None)

    def ended(self, server: int, cls: int, result: Result, took: float) -> None:
        """An attempt at a server has its outcome, after `took` ms."""
        answers = self.servers.get(server)
        if answers is None:
            return
        if result is Result.OK:
            answers.took[cls][min(int(BUCKETS_PER_DOUBLING * math.log2(took + 1.0)), BUCKET_COUNT - 1)] += 1
        elif result in NEVER_RAN:
            answers.unstarted[cls] += 1
        else:
            answers.failed[cls] += 1

    def report(self, out: Mapping[int, int], cordoned: Set[str]) -> str:
        """One JSON object, by server: attempts out, whether it is out by hand, Unix ms of its start as the
        list has it, answers by class.

        `took` has pairs of a bucket and its count; bucket n ends at 2 ** ((n + 1) / 4) - 1 ms.
        """
        return json.dumps(
            {
                answers.name: {
                    "out": out.get(server, 0),
                    "cordoned": answers.name in cordoned,
                    "started": round(answers.started),
                    "classes": {name: answers.of(cls) for cls, name in enumerate(self.classes)},
                }
                for server, answers in self.servers.items()
            },
            separators=(",", ":"),
        )


class ServerAnswerCounts:
    """One job server's."""

    __slots__ = ("failed", "name", "started", "took", "unstarted")

    def __init__(self, name: str, started: float, classes: int) -> None:
        self.name, self.started = name, started
        self.failed = [0] * classes  # errors, resets and time-outs: they may have run
        self.unstarted = [0] * classes  # turned away, or no connection
        self.took = [[0] * BUCKET_COUNT for _ in range(classes)]

    def of(self, cls: int) -> dict[str, object]:
        took = [(bucket, count) for bucket, count in enumerate(self.took[cls]) if count]
        ok = sum(count for _, count in took)
        return {"ok": ok, "failed": self.failed[cls], "unstarted": self.unstarted[cls], "took": took}
