"""Plain modules to hold the real one against: four that know only what they send, and one that sees.

They speak the module's interface. None keeps a queue, learns or asks anybody; each keeps the rules.
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

LATE = 25.0  # ms by which the seeing one's view is old, on average half of it
FIRST, LAST = (
    0.45,
    0.9,
)  # of its aim that a request of the least and of the most worth may be expected to take


class Plain:
    """Sends each request to a ready server, again if that provably never ran, and refuses nothing else."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.now = 0.0
        self.entries: dict[int, ServerEntry] = {}
        self.out_by_hand: set[int] = set()
        self.ready: list[int] = []
        self.held: dict[int, int] = {}  # of ours, by server
        self.open: dict[int, tuple[Request, list[int]]] = {}  # request, servers tried

    def handle(self, now: float, event: Any) -> list[Any]:
        self.now = now
        if isinstance(event, Request):
            self.open[event.id] = event, []
            return self.attempt(event.id)
        if isinstance(event, Outcome):
            self.held[event.server] -= 1
            if event.over or event.id not in self.open:
                self.open.pop(event.id, None)
                return []
            if event.result in NEVER_RAN:
                return self.attempt(event.id)
            del self.open[event.id]
            return [Fail(event.id)]
        if isinstance(event, Withdrawn):
            self.open.pop(event.id, None)
        elif isinstance(event, ServerList):
            return self.take_list(event)
        elif isinstance(event, CordonEvent):
            self.out_by_hand.add(event.server)
            self.settle()
        elif isinstance(event, Uncordon):
            self.out_by_hand.discard(event.server)
            self.settle()
        elif not self.entries:
            return [Subscribe()]
        return [Subscribe()] if type(event).__name__ == "Timer" else []

    def take_list(self, event: ServerList) -> list[Any]:
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            self.entries = {}
        for entry in event.servers:
            self.entries[entry.id] = entry
        self.settle()
        ask = event.kind in (ListKind.CACHED, ListKind.FAILED) and self.settings.ask_for_list
        return [Wake(100.0 * (1 + self.random.random()), 0)] if ask else []

    def settle(self) -> None:
        ready = (i for i, entry in self.entries.items() if entry.state is State.READY)
        self.ready = sorted(i for i in ready if i not in self.out_by_hand)

    def attempt(self, number: int) -> list[Any]:
        request, used = self.open[number]
        left = [i for i in self.ready if i not in used]
        if not left or len(used) >= self.settings.max_attempts or not self.admit(request, left):
            del self.open[number]
            return [Refuse(number, 0.0)]
        server = self.pick(left)
        used.append(server)
        self.held[server] = self.held.get(server, 0) + 1
        return [Send(number, server, request.due - self.now)]

    def admit(self, request: Request, left: Sequence[int]) -> bool:
        return True

    def pick(self, left: Sequence[int]) -> int:
        """At random."""
        return left[int(self.random.random() * len(left))]


class InTurn(Plain):
    """Round robin."""

    turn = 0

    def pick(self, left: Sequence[int]) -> int:
        self.turn += 1
        return left[self.turn % len(left)]


class Least(Plain):
    """The server that holds least of ours."""

    def pick(self, left: Sequence[int]) -> int:
        return min(left, key=lambda i: (self.held.get(i, 0), self.random.random()))


class TwoChoices(Plain):
    """Of two at random the one that holds less of ours."""

    def pick(self, left: Sequence[int]) -> int:
        one, other = (left[int(self.random.random() * len(left))] for _ in range(2))
        return one if self.held.get(one, 0) <= self.held.get(other, 0) else other


class View(Protocol):
    """The true state of the servers, as the seeing baseline gets it."""

    def expected(self) -> dict[int, tuple[float, float, float]]:
        """By server: requests held, cores, ms that a request of mean work takes there alone."""


class Seeing(Plain):
    """Sees what every server holds and can do, a little late; the least worth is refused first."""

    view: View | None = None

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.seen_at = -LATE
        self.seen: dict[int, tuple[float, float, float]] = {}
        self.since: dict[int, int] = {}
        worths = sorted({c.worth for c in settings.classes})
        step = (LAST - FIRST) / max(1, len(worths) - 1)
        self.parts = {worth: FIRST + step * i for i, worth in enumerate(worths)}

    def look(self) -> None:
        if self.view is not None and self.now - self.seen_at >= LATE:
            self.seen_at, self.seen, self.since = self.now, self.view.expected(), {}

    def time(self, server: int) -> float:
        held, cores, alone = self.seen.get(server, (0.0, 1.0, 1e9))
        held += self.since.get(server, 0)
        return alone * max(1.0, (held + 1.0) / cores)

    def admit(self, request: Request, left: Sequence[int]) -> bool:
        self.look()
        wanted = self.settings.classes[request.cls]
        least = min(self.time(i) for i in left)
        part = self.parts[wanted.worth] if len(self.parts) > 1 else LAST
        return least <= part * wanted.aim and self.now + least < request.due

    def pick(self, left: Sequence[int]) -> int:
        server = min(left, key=self.time)
        self.since[server] = self.since.get(server, 0) + 1
        return server


BASELINES: dict[str, Callable[[Settings, int], Plain]] = {
    "random": Plain,
    "in-turn": InTurn,
    "least": Least,
    "two-choices": TwoChoices,
    "seeing": Seeing,
}
