"""The simulated job servers: cores, a queue, cold start, throttling, connections and crashes.

A server shares its cores evenly among the requests in service (at most `slots`; the rest wait in the queue).
Its service rate is speed x warm share x efficiency / slowdown, in ms of standard work per ms and core.
"Virtual work" is the work that each request in service has received since the start of the run. A request
completes when it reaches a fixed amount of virtual work, so one heap gives the next completion however often
the service rate changes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Protocol

from flaxstep.routing.interface import Result, State
from flaxstep.simulator.engine import Engine, UniformStream

UPDATE_INTERVAL_MS = 100.0  # between updates of warm-up and throttling
FAST_ERROR_MS = 1.0  # service time of a fast error
NEVER = float("inf")  # the time of something that has not happened


class AttemptOwner(Protocol):
    """The node process that sent an attempt."""

    zone: int

    def on_attempt_outcome(self, attempt: Attempt, result: Result) -> None: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a request, from the node to a job server and back. Times in ms."""

    owner: AttemptOwner
    request_id: int  # unique within the owner
    number: int
    cls: int
    server: int
    work_ms: float  # on a standard core
    sent_at: float
    cell: int
    zone: int
    times_out_at: float = NEVER
    state: int = 0  # 0 in transit, 1 queued, 2 in service, 3 ended at the server
    finishes_at_work: float = 0.0  # the server's virtual work at its completion
    has_outcome: bool = False  # the node has recorded its result
    response_lost: bool = False  # the server will not send its response


@dataclass(slots=True)
class ServerPlan:
    """The properties of one server, as drawn from the seed. The rig stores the fields under these names."""

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
class ThrottlingPlan:
    """The throttling of overfilled servers in this run, as drawn from the seed.

    A server is throttled, and then `slower` times as slow, once more than `at` requests per core have waited
    for `over_ms`. It recovers when its busy share was under `below` over `rest_ms`, at the latest after
    `most_ms`. The rig stores the fields under these names.
    """

    on: bool
    at: float
    over_ms: float
    slower: float
    rest_ms: float
    below: float
    most_ms: float


@dataclass(slots=True)
class WorkTotals:
    """Totals over all servers of a run."""

    useful_ms: float = 0.0  # work of attempts whose response served a client
    done_ms: float = 0.0  # all work done
    throttled_servers: set[int] = field(default_factory=set)
    crashes: list[tuple[float, int]] = field(default_factory=list)  # time in ms, server number


class Server:
    """One machine, across restarts of its process."""

    def __init__(
        self,
        engine: Engine,
        plan: ServerPlan,
        throttling: ThrottlingPlan,
        crash_limits: tuple[float, float, float],
        work_totals: WorkTotals,
        uniform: UniformStream,
        on_finished: Callable[[Attempt, Result], None],
    ) -> None:
        self.engine, self.plan, self.throttling, self.work_totals = engine, plan, throttling, work_totals
        self.uniform, self.on_finished = uniform, on_finished
        self.tip_multiple, self.tip_ms, self.ramp_ms = crash_limits
        self.capacity = plan.cores * plan.speed  # ms of standard work per ms, when warm
        self.id = 0  # in server lists
        self.up, self.state = True, State.READY
        self.started_at = 0.0  # 0: before the run, so warm
        self.warmup_work_ms = NEVER  # work done since the start, as ms at full capacity
        # Effects of troubles, set by name in scheduled_events.py and the rig: `slow` is a factor, `taken` the
        # share of the machine that another program uses; the others are shares of the requests.
        self.slow, self.taken, self.errors, self.lost, self.resets = 1.0, 0.0, 0.0, 0.0, 0.0
        self.paused = False
        # Requests and connections
        # Heap of the requests in service: virtual work at completion, order of start, attempt.
        self.running: list[tuple[float, int, Attempt]] = []
        self.in_service = 0
        self.queue: deque[Attempt] = deque()
        self.queued_count = 0
        self.open_connections: dict[int, int] = {}  # by node
        self.idle_connections: dict[int, list[float]] = {}  # by node: when each was last used
        self.connection_count = 0
        # Progress of the work
        self.virtual_work, self.advanced_at, self.service_rate, self.schedule_version, self.service_starts = (
            0.0,
            0.0,
            0.0,
            0,
            0,
        )
        self.busy_ms = 0.0  # since the last update: time times the share of busy cores
        self.overfull_since = NEVER
        self.throttled_at = NEVER
        self.busy_shares: deque[float] = deque(maxlen=max(1, round(throttling.rest_ms / UPDATE_INTERVAL_MS)))
        self.recent_cold_work: deque[tuple[float, float]] = deque()  # while cold: arrival time and work
        self.recent_cold_work_ms = 0.0
        self.update_service_rate()

    # Service rate.

    @property
    def requests_held(self) -> int:
        return self.in_service + self.queued_count

    @property
    def is_throttled(self) -> bool:
        return self.throttled_at != NEVER

    def warm_share(self) -> float:
        """Present share of the full capacity: rises with work done, and at least linearly over the ramp."""
        if not self.started_at:
            return 1.0
        plan = self.plan
        progress = max((self.engine.now - self.started_at) / self.ramp_ms, self.warmup_work_ms / plan.cold_ms)
        return min(1.0, plan.cold_from + (1.0 - plan.cold_from) * progress)

    def update_service_rate(self) -> None:
        plan, in_service = self.plan, self.in_service
        if not in_service or self.paused or not self.up:
            self.service_rate = 0.0
            return
        excess = self.requests_held / plan.cores / plan.thrash_at - 1.0
        rate = plan.speed * (1.0 - self.taken) / self.slow
        rate *= 1.0 - plan.full_tax * self.connection_count / plan.connections
        if excess > 0.0:
            rate /= 1.0 + plan.thrash * excess
        if self.started_at:
            rate *= self.warm_share()
        if self.is_throttled:
            rate /= self.throttling.slower
        self.service_rate = rate * min(1.0, plan.cores / in_service)

    def advance_work(self) -> None:
        """Account for the work done since the last call, at the service rate until now."""
        now = self.engine.now
        elapsed_ms, self.advanced_at = now - self.advanced_at, now
        if elapsed_ms <= 0.0:
            return
        in_service = self.in_service
        if in_service:
            work_per_request = elapsed_ms * self.service_rate
            self.virtual_work += work_per_request
            self.work_totals.done_ms += work_per_request * in_service
            self.busy_ms += elapsed_ms * min(1.0, in_service / self.plan.cores)
            if self.started_at:
                self.warmup_work_ms += work_per_request * in_service / self.capacity

    def reschedule_completion(self) -> None:
        """After a change of load or rate: fill free slots from the queue, reschedule the next completion."""
        queue, plan = self.queue, self.plan
        while self.in_service < plan.slots and queue:
            attempt = queue.popleft()
            if attempt.state != 1:
                continue  # abandoned while queued
            self.queued_count -= 1
            self.begin_service(attempt)
        self.update_service_rate()
        self.schedule_version += 1
        running = self.running
        while running and running[0][2].state != 2:
            heappop(running)
        if running and self.service_rate > 0.0:
            delay_ms = max(running[0][0] - self.virtual_work, 0.0) / self.service_rate
            self.engine.call_after(delay_ms, self.complete_due_attempts, self.schedule_version)

    def begin_service(self, attempt: Attempt) -> None:
        attempt.state, attempt.finishes_at_work = 2, self.virtual_work + attempt.work_ms
        self.service_starts += 1
        heappush(self.running, (attempt.finishes_at_work, self.service_starts, attempt))
        self.in_service += 1

    # Requests.

    def on_arrival(self, attempt: Attempt) -> None:
        """A request has been received completely."""
        if attempt.has_outcome and attempt.state == 3:
            return  # the node closed the connection while the request was in transit
        if not self.up:
            attempt.state = 3
            self.on_finished(attempt, Result.RESET)
            return
        if self.errors and self.uniform() < self.errors:
            attempt.state = 3
            self.engine.call_after(FAST_ERROR_MS, self.on_finished, attempt, Result.ERROR)
            return
        if self.queued_count >= self.plan.queue:
            attempt.state = 3
            self.on_finished(attempt, Result.FULL)
            return
        if self.resets and self.uniform() < self.resets:
            attempt.state = 3
            self.engine.call_after(
                attempt.work_ms / self.plan.speed * self.uniform(), self.on_finished, attempt, Result.RESET
            )
            return
        attempt.response_lost = bool(self.lost) and self.uniform() < self.lost
        self.advance_work()
        if self.started_at:
            self.check_cold_overload(attempt.work_ms)
            if not self.up:
                return
        if self.in_service < self.plan.slots:
            self.begin_service(attempt)
        else:
            attempt.state = 1
            self.queue.append(attempt)
            self.queued_count += 1
        self.reschedule_completion()

    def complete_due_attempts(self, schedule_version: int) -> None:
        """Complete what is due, unless completions were rescheduled since this call was scheduled."""
        if schedule_version != self.schedule_version:
            return
        self.advance_work()
        running = self.running
        while running and (running[0][2].state != 2 or running[0][0] <= self.virtual_work + 1e-6):
            _, _, attempt = heappop(running)
            if attempt.state != 2:
                continue
            attempt.state = 3
            self.in_service -= 1
            if attempt.response_lost:
                continue
            is_error = self.uniform() < self.plan.error_rate
            self.on_finished(attempt, Result.ERROR if is_error else Result.OK)
        self.reschedule_completion()

    def abandon_attempt(self, attempt: Attempt, cancel_running: bool) -> None:
        """The node no longer waits: remove a queued attempt, and one in service if `cancel_running`."""
        if attempt.state == 0:
            attempt.state = 3
        elif attempt.state == 1:
            attempt.state = 3
            self.queued_count -= 1
        elif attempt.state == 2 and cancel_running:
            self.advance_work()
            attempt.state = 3
            self.in_service -= 1
            self.reschedule_completion()

    # Connections.

    def acquire_connection(self, node: int, idle_ms: float) -> bool | None:
        """Get a connection: False if an idle one is reused, True if it is new, None at the limit."""
        now = self.engine.now
        idle_since = self.idle_connections.get(node)
        while idle_since:
            if now - idle_since[0] > idle_ms:
                idle_since.pop(0)
                self.connection_count -= 1
                continue
            idle_since.pop()
            return False
        if self.connection_count >= self.plan.connections:
            return None
        self.connection_count += 1
        return True

    def release_connection(self, node: int, keep: bool) -> None:
        """Give a connection back: to the idle ones if `keep`, else it is closed."""
        if keep and self.up:
            self.idle_connections.setdefault(node, []).append(self.engine.now)
        else:
            self.connection_count = max(0, self.connection_count - 1)

    # Process lifecycle.

    def stop_process(self) -> None:
        """The process ends; every request that it holds is reset."""
        self.advance_work()
        self.up = False
        interrupted = [entry[2] for entry in self.running if entry[2].state == 2]
        interrupted += [attempt for attempt in self.queue if attempt.state == 1]
        self.running, self.in_service, self.queued_count = [], 0, 0
        self.queue.clear()
        self.idle_connections.clear()
        self.connection_count = 0
        for attempt in interrupted:
            attempt.state = 3
            self.on_finished(attempt, Result.RESET)
        self.reschedule_completion()

    def start_process(self) -> None:
        """A new process starts, cold."""
        self.up, self.state, self.started_at = True, State.READY, max(self.engine.now, 1e-3)
        self.warmup_work_ms, self.throttled_at, self.overfull_since = 0.0, NEVER, NEVER
        self.recent_cold_work.clear()
        self.recent_cold_work_ms = 0.0
        self.advance_work()
        self.reschedule_completion()

    def check_cold_overload(self, work_ms: float) -> None:
        """Crash a cold server that was sent too much work within the last `tip_ms`."""
        now, recent_work = self.engine.now, self.recent_cold_work
        if self.warm_share() >= 1.0:
            recent_work.clear()
            self.recent_cold_work_ms = 0.0
            return
        recent_work.append((now, work_ms))
        self.recent_cold_work_ms += work_ms
        while now - recent_work[0][0] > self.tip_ms:
            self.recent_cold_work_ms -= recent_work.popleft()[1]
        budget = self.tip_multiple * self.capacity * self.warm_share() * self.tip_ms
        if self.recent_cold_work_ms > budget + 2 * work_ms:  # allowance for random variation
            self.work_totals.crashes.append((now, self.plan.number))
            self.stop_process()
            self.state = State.GONE

    def update_state(self) -> None:
        """Periodic update: start or end throttling, and adapt the service rate to the warm-up."""
        self.advance_work()
        busy_share, self.busy_ms = min(1.0, self.busy_ms / UPDATE_INTERVAL_MS), 0.0
        throttling, now = self.throttling, self.engine.now
        if throttling.on and self.up:
            self.busy_shares.append(busy_share)
            if self.is_throttled:
                has_rested = len(self.busy_shares) == self.busy_shares.maxlen
                has_rested = has_rested and sum(self.busy_shares) / len(self.busy_shares) < throttling.below
                if has_rested or now - self.throttled_at > throttling.most_ms:
                    self.throttled_at, self.overfull_since = NEVER, NEVER
                    self.reschedule_completion()
            elif self.requests_held - self.plan.cores > throttling.at * self.plan.cores:
                self.overfull_since = min(self.overfull_since, now)
                if now - self.overfull_since >= throttling.over_ms:
                    self.throttled_at = now
                    self.work_totals.throttled_servers.add(self.plan.number)
                    self.busy_shares.clear()
                    self.reschedule_completion()
            else:
                self.overfull_since = NEVER
        if self.started_at and self.in_service:
            self.reschedule_completion()
