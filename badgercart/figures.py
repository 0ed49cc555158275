"""What the node reports: counters since its start and gauges, as statsd lines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

PREFIX = "edge_router"


class Figures:
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
