"""A harness for tests of the decision module that checks the routing rules on every action."""

from __future__ import annotations

import math
from dataclasses import replace

from flaxstep.routing.interface import (
    Cancel,
    Effect,
    Fail,
    Group,
    ListKind,
    Log,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    ServerEntry,
    ServerList,
    Settings,
    State,
    Subscribe,
    Timer,
    Wake,
    Withdrawn,
)
from flaxstep.routing.policy import Policy

START = 50_000.0
SAFE = RequestClass(aim=400.0, deadline=1000.0, worth=10.0, effect=Effect.SAFE)
KEYED = RequestClass(aim=400.0, deadline=1000.0, worth=1.0, effect=Effect.KEYED, window=600.0)
UNSAFE = RequestClass(aim=400.0, deadline=1000.0, worth=1.0, effect=Effect.UNSAFE, window=5000.0)
NEVER_RAN = (Result.FULL, Result.UNREACHABLE, Result.NOT_SENT)


def make_settings(**changes: object) -> Settings:
    base = Settings(
        classes=(SAFE, KEYED, UNSAFE),
        tick=5.0,
        may_cancel=True,
        max_attempts=4,
        max_retry_after=2000.0,
        cold_from=0.2,
        ramp_time=10_000.0,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def make_server_entry(number: int, state: State = State.READY, started: float = 0.0) -> ServerEntry:
    return ServerEntry(number, number % 3, 0, number % 4, state, 1.0, started)


class PolicyHarness:
    """Sends events to one policy and asserts the routing rules on every action that it returns."""

    def __init__(self, settings: Settings, seed: int = 1, servers: int = 8) -> None:
        self.settings = settings
        self.now = START
        self.policy = Policy(settings, seed)
        self.listed_states: dict[int, State] = {}
        self.requests: dict[int, Request] = {}
        self.pending_requests: set[int] = set()
        self.final_responses: dict[int, str] = {}
        self.attempts: dict[int, list[tuple[float, ServerEntry]]] = {}
        self.open_attempts: dict[tuple[int, int], float] = {}  # by attempt: when it times out
        self.maybe_ran: dict[int, dict[int, tuple[float, ServerEntry]]] = {}
        self.pending_timers: list[tuple[float, int]] = []
        self.actions: list[object] = []
        self.listed_entries: dict[int, ServerEntry] = {}
        self.key_queues: dict[int, list[int]] = {}  # by key: requests served in order, by arrival
        # By key: requests whose attempts may still be running, and the end of the pause after each.
        self.key_pauses: dict[int, list[tuple[int, float]]] = {}
        self.next_id = 1
        self.send_list([make_server_entry(i) for i in range(servers)], ListKind.CACHED)

    def dispatch_event(self, event: object) -> list[object]:
        """Let the policy handle an event, check its actions and return them."""
        actions = self.policy.handle(self.now, event)  # type: ignore[arg-type]
        for action in actions:
            self._check_action(action)
        self.actions.extend(actions)
        return list(actions)

    def send_list(self, entries: list[ServerEntry], kind: ListKind = ListKind.DELTA) -> list[object]:
        if kind in (ListKind.FULL, ListKind.CACHED):
            self.listed_states = dict.fromkeys(self.listed_states, State.GONE)
        for entry in entries:
            self.listed_states[entry.id] = entry.state
            self.listed_entries[entry.id] = entry
        return self.dispatch_event(ServerList(kind, 1, entries))

    def send_request(
        self, cls: int = 0, due_in: float = 900.0, key: int = 0, tenant: int = 0, hint: float = 0.0
    ) -> int:
        number = self.next_id
        self.next_id += 1
        self.requests[number] = Request(number, cls, self.now + due_in, key, tenant, hint)
        self.pending_requests.add(number)
        self.attempts[number] = []
        self.maybe_ran[number] = {}
        if key and self.settings.classes[cls].in_order:
            self.key_queues.setdefault(key, []).append(number)
        self.dispatch_event(self.requests[number])
        return number

    def send_new_request(self, cls: int, tenant: int = 0) -> list[object]:
        """Send a request and return the actions that follow."""
        action_count = len(self.actions)
        self.send_request(cls, tenant=tenant)
        return self.actions[action_count:]

    def fail_list_call(self) -> list[object]:
        return self.dispatch_event(ServerList(ListKind.FAILED, 0, []))

    def report_outcome(
        self, request: int, attempt: int, result: Result, elapsed: float = 50.0
    ) -> list[object]:
        del self.open_attempts[(request, attempt)]
        if result in NEVER_RAN and not (result == Result.FULL and self.settings.full_may_have_run):
            del self.maybe_ran[request][attempt]
        if result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED):
            pause = (request, self.now + self.settings.key_rest)
            self.key_pauses.setdefault(self.requests[request].key, []).append(pause)
        if result == Result.OK and request in self.pending_requests:
            self.pending_requests.discard(request)
            self.final_responses[request] = "served"
        over = request not in self.pending_requests
        target = self.attempts[request][attempt][1].id
        return self.dispatch_event(Outcome(request, target, over, result, attempt, elapsed))

    def withdraw_request(self, request: int) -> None:
        self.pending_requests.discard(request)
        self.final_responses[request] = "withdrawn"
        self.dispatch_event(Withdrawn(request))

    def advance_time(self, duration_ms: float) -> None:
        """Let time pass with its timers and timeouts; no request may stay pending past its due time."""
        end = self.now + duration_ms
        while True:
            due = [(at, 0, t, 0) for at, t in self.pending_timers]
            due += [(at, 1, r, a) for (r, a), at in self.open_attempts.items()]
            due = sorted(d for d in due if d[0] <= end)
            if not due:
                break
            at, is_timeout, token_or_request, attempt = due[0]
            self.now = max(self.now, at)
            if is_timeout == 0:
                self.pending_timers.remove((at, token_or_request))
                self.dispatch_event(Timer(token_or_request))
            else:
                sent = self.attempts[token_or_request][attempt][0]
                self.report_outcome(token_or_request, attempt, Result.TIMEOUT, self.now - sent)
        self.now = end
        for number in self.pending_requests:
            assert self.requests[number].due >= self.now, f"request {number} is pending past its due time"

    def _check_action(self, action: object) -> None:
        if isinstance(action, Send):
            self._check_send(action)
        elif isinstance(action, Refuse | Fail):
            assert action.id in self.pending_requests, "a second final response"
            self.pending_requests.discard(action.id)
            self.final_responses[action.id] = "refused" if isinstance(action, Refuse) else "failed"
            cls = self.settings.classes[self.requests[action.id].cls]
            harmless = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
            if isinstance(action, Refuse) and not harmless:
                assert not self.maybe_ran[action.id], "refused although it may have run"
        elif isinstance(action, Cancel):
            assert self.settings.may_cancel
            assert action.attempt < len(self.attempts[action.id]), "cancelled an attempt that was never sent"
        elif isinstance(action, Wake):
            assert action.delay >= 0
            self.pending_timers.append((self.now + action.delay, action.token))
        elif not isinstance(action, Log):
            assert isinstance(action, Subscribe)
            assert self.settings.ask_for_list

    def _check_key_order(self, number: int) -> None:
        key = self.requests[number].key
        queue = self.key_queues.get(key, [])
        if number not in queue:
            return
        earlier = set(queue[: queue.index(number)])
        assert not earlier & self.pending_requests, "sent while an earlier request with its key is unfinished"
        assert not any(r in earlier for r, _ in self.open_attempts), "sent while an earlier attempt is open"
        pauses = [until for r, until in self.key_pauses.get(key, []) if r in earlier and until > self.now]
        assert not pauses, "sent while its key is paused"

    def _check_send(self, action: Send) -> None:
        request = self.requests[action.id]
        cls = self.settings.classes[request.cls]
        assert action.id in self.pending_requests, "sent after the final response"
        assert self.listed_states[action.server] is State.READY, "sent to a server that is draining or gone"
        assert len(self.attempts[action.id]) < self.settings.max_attempts
        target = self.listed_entries[action.server]
        open_attempts_of_request = [key for key in self.open_attempts if key[0] == action.id]
        assert not open_attempts_of_request, "two open attempts of one request"
        self._check_key_order(action.id)
        earlier = self.maybe_ran[action.id].values()
        assert action.within > 0 and (earlier or action.within == math.inf)
        if cls.effect is Effect.UNSAFE:
            assert not earlier, "an unsafe request sent again"
        elif cls.effect is Effect.KEYED:
            for sent, other in earlier:
                assert (
                    self.now + action.within <= sent + cls.window
                ), "a repeat after the window in which servers drop it"
                assert cls.group is not Group.ZONE or other.zone == target.zone
                assert cls.group is not Group.CELL or other.cell == target.cell
        number = len(self.attempts[action.id])
        self.attempts[action.id].append((self.now, target))
        self.maybe_ran[action.id][number] = (self.now, target)
        limit = min(action.limit, request.due - self.now) if action.limit > 0 else request.due - self.now
        self.open_attempts[(action.id, number)] = self.now + max(limit, 0.0)
