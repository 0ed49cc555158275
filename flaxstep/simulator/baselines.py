"""Baseline policies to compare the real one with: four that know only what they send, one that is omniscient.

They have the interface of the routing policy. None has a queue, learns, or uses peers; each keeps the rules.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from flaxstep.routing.interface import (
    NEVER_RAN,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Request,
    Send,
    ServerEntry,
    ServerList,
    Settings,
    State,
    Subscribe,
    Uncordon,
    Wake,
    Withdrawn,
)
from flaxstep.routing.interface import Cordon as CordonEvent

VIEW_MAX_AGE_MS = 25.0  # the omniscient policy's view is refreshed at this interval
# A request is admitted up to this expected duration, as a share of its aim.
LEAST_WORTH_AIM_SHARE, MOST_WORTH_AIM_SHARE = (0.45, 0.9)


class RandomPolicy:
    """Picks a ready server at random, retries what provably never ran, and sheds nothing."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.now = 0.0
        self.entries: dict[int, ServerEntry] = {}
        self.cordoned: set[int] = set()
        self.ready: list[int] = []
        self.outstanding: dict[int, int] = {}  # attempts of this node, by server
        self.open_requests: dict[int, tuple[Request, list[int]]] = {}  # by id: request and servers tried

    def handle(self, now: float, event: Any) -> list[Any]:
        self.now = now
        if isinstance(event, Request):
            self.open_requests[event.id] = event, []
            return self.send_or_refuse(event.id)
        if isinstance(event, Outcome):
            self.outstanding[event.server] -= 1
            if event.over or event.id not in self.open_requests:
                self.open_requests.pop(event.id, None)
                return []
            if event.result in NEVER_RAN:
                return self.send_or_refuse(event.id)
            del self.open_requests[event.id]
            return [Fail(event.id)]
        if isinstance(event, Withdrawn):
            self.open_requests.pop(event.id, None)
        elif isinstance(event, ServerList):
            return self.on_server_list(event)
        elif isinstance(event, CordonEvent):
            self.cordoned.add(event.server)
            self.update_ready()
        elif isinstance(event, Uncordon):
            self.cordoned.discard(event.server)
            self.update_ready()
        elif not self.entries:
            return [Subscribe()]
        return [Subscribe()] if type(event).__name__ == "Timer" else []

    def on_server_list(self, event: ServerList) -> list[Any]:
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            self.entries = {}
        for entry in event.servers:
            self.entries[entry.id] = entry
        self.update_ready()
        retry_call = event.kind in (ListKind.CACHED, ListKind.FAILED) and self.settings.ask_for_list
        return [Wake(100.0 * (1 + self.random.random()), 0)] if retry_call else []

    def update_ready(self) -> None:
        ready = (i for i, entry in self.entries.items() if entry.state is State.READY)
        self.ready = sorted(i for i in ready if i not in self.cordoned)

    def send_or_refuse(self, number: int) -> list[Any]:
        request, tried = self.open_requests[number]
        candidates = [i for i in self.ready if i not in tried]
        if not candidates or len(tried) >= self.settings.max_attempts or not self.admit(request, candidates):
            del self.open_requests[number]
            return [Refuse(number, 0.0)]
        server = self.pick_server(candidates)
        tried.append(server)
        self.outstanding[server] = self.outstanding.get(server, 0) + 1
        return [Send(number, server, request.due - self.now)]

    def admit(self, request: Request, candidates: Sequence[int]) -> bool:
        return True

    def pick_server(self, candidates: Sequence[int]) -> int:
        """Pick at random."""
        return candidates[int(self.random.random() * len(candidates))]


class RoundRobinPolicy(RandomPolicy):
    """Picks the ready servers in turn (round robin)."""

    picks = 0

    def pick_server(self, candidates: Sequence[int]) -> int:
        self.picks += 1
        return candidates[self.picks % len(candidates)]


class LeastOutstandingPolicy(RandomPolicy):
    """Picks the server with the fewest outstanding attempts of this node."""

    def pick_server(self, candidates: Sequence[int]) -> int:
        return min(candidates, key=lambda i: (self.outstanding.get(i, 0), self.random.random()))


class TwoChoicesPolicy(RandomPolicy):
    """Picks, of two servers at random, the one with fewer outstanding attempts of this node."""

    def pick_server(self, candidates: Sequence[int]) -> int:
        one, other = (candidates[int(self.random.random() * len(candidates))] for _ in range(2))
        return one if self.outstanding.get(one, 0) <= self.outstanding.get(other, 0) else other


class TrueStateView(Protocol):
    """The true state of the servers, for the omniscient baseline."""

    def true_state(self) -> dict[int, tuple[float, float, float]]:
        """By server id: requests held, cores, ms that a request of mean work takes there alone."""


class OmniscientPolicy(RandomPolicy):
    """Knows the load and capacity of every server, slightly late; sheds requests of the least worth first."""

    view: TrueStateView | None = None

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.view_taken_at = -VIEW_MAX_AGE_MS
        self.server_states: dict[int, tuple[float, float, float]] = {}
        self.sent_since_view: dict[int, int] = {}
        worths = sorted({c.worth for c in settings.classes})
        step = (MOST_WORTH_AIM_SHARE - LEAST_WORTH_AIM_SHARE) / max(1, len(worths) - 1)
        self.aim_shares = {worth: LEAST_WORTH_AIM_SHARE + step * i for i, worth in enumerate(worths)}

    def refresh_view(self) -> None:
        if self.view is not None and self.now - self.view_taken_at >= VIEW_MAX_AGE_MS:
            self.view_taken_at, self.server_states, self.sent_since_view = (
                self.now,
                self.view.true_state(),
                {},
            )

    def expected_ms(self, server: int) -> float:
        held, cores, alone_ms = self.server_states.get(server, (0.0, 1.0, 1e9))
        held += self.sent_since_view.get(server, 0)
        return alone_ms * max(1.0, (held + 1.0) / cores)

    def admit(self, request: Request, candidates: Sequence[int]) -> bool:
        self.refresh_view()
        request_class = self.settings.classes[request.cls]
        shortest_ms = min(self.expected_ms(i) for i in candidates)
        aim_share = self.aim_shares[request_class.worth] if len(self.aim_shares) > 1 else MOST_WORTH_AIM_SHARE
        return shortest_ms <= aim_share * request_class.aim and self.now + shortest_ms < request.due

    def pick_server(self, candidates: Sequence[int]) -> int:
        server = min(candidates, key=self.expected_ms)
        self.sent_since_view[server] = self.sent_since_view.get(server, 0) + 1
        return server


BASELINES: dict[str, Callable[[Settings, int], RandomPolicy]] = {
    "random": RandomPolicy,
    "in-turn": RoundRobinPolicy,
    "least": LeastOutstandingPolicy,
    "two-choices": TwoChoicesPolicy,
    "seeing": OmniscientPolicy,
}
