"""The job servers of the model: cores, a queue, warmth, the sticky slowdown, connections and falling over.

A server shares its cores evenly among the requests in work (at most its slots; the rest wait). Its pace is
speed x warmth x efficiency / slowdown, in ms of standard work a ms and core. "Virtual" work is what each
request in work has got so far, so that one heap tells who is done next, however often the pace changes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Protocol

from flaxstep.routing.interface import Result, State
from flaxstep.simulator.engine import Chance, Engine

TICK = 100.0  # ms between looks at warmth, slowdown and tipping
QUICK_ERROR = 1.0  # ms that a fast error takes
NEVER = float("inf")


class Owner(Protocol):
    """The process that an attempt is out for."""

    zone: int

    def ended(self, attempt: Attempt, result: Result) -> None: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a request, on its way through the farm."""

    owner: Owner
    request: int  # the owner's number for it
    number: int
    cls: int
    server: int
    work: float  # ms on a standard core
    sent: float
    cell: int
    zone: int
    limit: float = NEVER  # clock time of its time-out
    state: int = 0  # 0 on its way, 1 waiting, 2 in work, 3 ended at the server
    left: float = 0.0  # virtual work at which it is done
    over: bool = False  # the node has its outcome
    silent: bool = False  # its answer gets lost


@dataclass(slots=True)
class ServerPlan:
    """What a seed has drawn for one server."""

    number: int
    zone: int
    kind: int
    cell: int
    cores: int
    speed: float
    slots: int
    queue: int
    thrash: float
    thrash_at: float
    cold_from: float
    cold_ms: float
    error_rate: float
    connections: int
    full_tax: float


@dataclass(slots=True)
class ChokePlan:
    """What a seed has drawn for the sticky slowdown of the day."""

    on: bool
    at: float
    over_ms: float
    slower: float
    rest_ms: float
    below: float
    most_ms: float


@dataclass(slots=True)
class WorkTotals:
    """What servers of a day did, in ms of work."""

    useful: float = 0.0  # for answers that served
    done: float = 0.0
    choked: set[int] = field(default_factory=set)
    fallen: list[tuple[float, int]] = field(default_factory=list)  # when, who


class Server:
    """One machine, through restarts of its process."""

    def __init__(
        self,
        engine: Engine,
        plan: ServerPlan,
        choke: ChokePlan,
        tip: tuple[float, float, float],
        tally: WorkTotals,
        chance: Chance,
        answer: Callable[[Attempt, Result], None],
    ) -> None:
        self.engine, self.plan, self.choke, self.tally = engine, plan, choke, tally
        self.chance, self.answer = chance, answer
        self.tip_multiple, self.tip_ms, self.ramp = tip
        self.capacity = plan.cores * plan.speed  # ms of standard work a ms, when warm
        self.id = 0  # as nodes know it
        self.up, self.state = True, State.READY
        self.started = 0.0  # 0: long ago
        self.warmth_done = NEVER  # work done since the start
        # Troubles
        self.slow, self.taken, self.errors, self.lost, self.resets = 1.0, 0.0, 0.0, 0.0, 0.0
        self.paused = False
        # What it holds
        self.running: list[tuple[float, int, Attempt]] = []
        self.in_work = 0
        self.waiting: deque[Attempt] = deque()
        self.waits = 0
        self.open: dict[int, int] = {}  # connections in use, by node
        self.idle: dict[int, list[float]] = {}  # when idle ones were last used, by node
        self.connections = 0
        # Its clock
        self.virtual, self.at, self.pace, self.version, self.sequence = 0.0, 0.0, 0.0, 0, 0
        self.busy = 0.0  # ms of busy cores since the last look
        self.over_since = NEVER
        self.choked_at = NEVER
        self.idle_parts: deque[float] = deque(maxlen=max(1, round(choke.rest_ms / TICK)))
        self.sent_in: deque[tuple[float, float]] = deque()  # what came lately while cold
        self.sent_sum = 0.0
        self.set_pace()

    # Pace.

    @property
    def held(self) -> int:
        return self.in_work + self.waits

    @property
    def choked(self) -> bool:
        return self.choked_at != NEVER

    def warmth(self) -> float:
        """Capacity now, as a part of the whole: it rises with work done, at least evenly over the ramp."""
        if not self.started:
            return 1.0
        plan = self.plan
        risen = max((self.engine.now - self.started) / self.ramp, self.warmth_done / plan.cold_ms)
        return min(1.0, plan.cold_from + (1.0 - plan.cold_from) * risen)

    def set_pace(self) -> None:
        plan, n = self.plan, self.in_work
        if not n or self.paused or not self.up:
            self.pace = 0.0
            return
        over = self.held / plan.cores / plan.thrash_at - 1.0
        pace = plan.speed * (1.0 - self.taken) / self.slow
        pace *= 1.0 - plan.full_tax * self.connections / plan.connections
        if over > 0.0:
            pace /= 1.0 + plan.thrash * over
        if self.started:
            pace *= self.warmth()
        if self.choked:
            pace /= self.choke.slower
        self.pace = pace * min(1.0, plan.cores / n)

    def advance(self) -> None:
        now = self.engine.now
        passed, self.at = now - self.at, now
        if passed <= 0.0:
            return
        n = self.in_work
        if n:
            gained = passed * self.pace
            self.virtual += gained
            self.tally.done += gained * n
            self.busy += passed * min(1.0, n / self.plan.cores)
            if self.started:
                self.warmth_done += gained * n / self.capacity

    def changed(self) -> None:
        """What it holds or how quick it is has changed: see who is done next."""
        waiting, plan = self.waiting, self.plan
        while self.in_work < plan.slots and waiting:
            attempt = waiting.popleft()
            if attempt.state != 1:
                continue  # called back while it waited
            self.waits -= 1
            self.start(attempt)
        self.set_pace()
        self.version += 1
        running = self.running
        while running and running[0][2].state != 2:
            heappop(running)
        if running and self.pace > 0.0:
            left = max(running[0][0] - self.virtual, 0.0) / self.pace
            self.engine.after(left, self.finish, self.version)

    def start(self, attempt: Attempt) -> None:
        attempt.state, attempt.left = 2, self.virtual + attempt.work
        self.sequence += 1
        heappush(self.running, (attempt.left, self.sequence, attempt))
        self.in_work += 1

    # Work in and out.

    def arrive(self, attempt: Attempt) -> None:
        """A request's last byte has come."""
        if attempt.over and attempt.state == 3:
            return  # its connection ended on the way
        if not self.up:
            attempt.state = 3
            self.answer(attempt, Result.RESET)
            return
        if self.errors and self.chance() < self.errors:
            attempt.state = 3
            self.engine.after(QUICK_ERROR, self.answer, attempt, Result.ERROR)
            return
        if self.waits >= self.plan.queue:
            attempt.state = 3
            self.answer(attempt, Result.FULL)
            return
        if self.resets and self.chance() < self.resets:
            attempt.state = 3
            self.engine.after(
                attempt.work / self.plan.speed * self.chance(), self.answer, attempt, Result.RESET
            )
            return
        attempt.silent = bool(self.lost) and self.chance() < self.lost
        self.advance()
        if self.started:
            self.count_cold(attempt.work)
            if not self.up:
                return
        if self.in_work < self.plan.slots:
            self.start(attempt)
        else:
            attempt.state = 1
            self.waiting.append(attempt)
            self.waits += 1
        self.changed()

    def finish(self, version: int) -> None:
        if version != self.version:
            return
        self.advance()
        running = self.running
        while running and (running[0][2].state != 2 or running[0][0] <= self.virtual + 1e-6):
            _, _, attempt = heappop(running)
            if attempt.state != 2:
                continue
            attempt.state = 3
            self.in_work -= 1
            if attempt.silent:
                continue
            bad = self.chance() < self.plan.error_rate
            self.answer(attempt, Result.ERROR if bad else Result.OK)
        self.changed()

    def drop(self, attempt: Attempt, running_too: bool) -> None:
        """Nobody waits for it any more: waiting work goes, running work where the day says so."""
        if attempt.state == 0:
            attempt.state = 3
        elif attempt.state == 1:
            attempt.state = 3
            self.waits -= 1
        elif attempt.state == 2 and running_too:
            self.advance()
            attempt.state = 3
            self.in_work -= 1
            self.changed()

    # Connections.

    def connect(self, node: int, idle_ms: float) -> bool | None:
        """A connection for an attempt: False an idle one, True a new one, None no room."""
        now = self.engine.now
        idle = self.idle.get(node)
        while idle:
            if now - idle[0] > idle_ms:
                idle.pop(0)
                self.connections -= 1
                continue
            idle.pop()
            return False
        if self.connections >= self.plan.connections:
            return None
        self.connections += 1
        return True

    def release(self, node: int, keep: bool) -> None:
        if keep and self.up:
            self.idle.setdefault(node, []).append(self.engine.now)
        else:
            self.connections = max(0, self.connections - 1)

    # Life.

    def stop(self) -> None:
        """The process ends, with all that it holds."""
        self.advance()
        self.up = False
        held = [entry[2] for entry in self.running if entry[2].state == 2]
        held += [attempt for attempt in self.waiting if attempt.state == 1]
        self.running, self.in_work, self.waits = [], 0, 0
        self.waiting.clear()
        self.idle.clear()
        self.connections = 0
        for attempt in held:
            attempt.state = 3
            self.answer(attempt, Result.RESET)
        self.changed()

    def boot(self) -> None:
        """A process starts, cold."""
        self.up, self.state, self.started = True, State.READY, max(self.engine.now, 1e-3)
        self.warmth_done, self.choked_at, self.over_since = 0.0, NEVER, NEVER
        self.sent_in.clear()
        self.sent_sum = 0.0
        self.advance()
        self.changed()

    def count_cold(self, work: float) -> None:
        """Work sent to a cold server within any stretch must stay under what would tip it."""
        now, sent = self.engine.now, self.sent_in
        if self.warmth() >= 1.0:
            sent.clear()
            self.sent_sum = 0.0
            return
        sent.append((now, work))
        self.sent_sum += work
        while now - sent[0][0] > self.tip_ms:
            self.sent_sum -= sent.popleft()[1]
        budget = self.tip_multiple * self.capacity * self.warmth() * self.tip_ms
        if self.sent_sum > budget + 2 * work:  # a little slack for chance
            self.tally.fallen.append((now, self.plan.number))
            self.stop()
            self.state = State.GONE

    def look(self) -> None:
        """The sticky slowdown, and a pace that follows warmth."""
        self.advance()
        part, self.busy = min(1.0, self.busy / TICK), 0.0
        choke, now = self.choke, self.engine.now
        if choke.on and self.up:
            self.idle_parts.append(part)
            if self.choked:
                rested = len(self.idle_parts) == self.idle_parts.maxlen
                rested = rested and sum(self.idle_parts) / len(self.idle_parts) < choke.below
                if rested or now - self.choked_at > choke.most_ms:
                    self.choked_at, self.over_since = NEVER, NEVER
                    self.changed()
            elif self.held - self.plan.cores > choke.at * self.plan.cores:
                self.over_since = min(self.over_since, now)
                if now - self.over_since >= choke.over_ms:
                    self.choked_at = now
                    self.tally.choked.add(self.plan.number)
                    self.idle_parts.clear()
                    self.changed()
            else:
                self.over_since = NEVER
        if self.started and self.in_work:
            self.changed()
