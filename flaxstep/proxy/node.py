"""The join: turns what happens on the sockets into events, and the module's actions into what is done.

It decides nothing. Actions are carried out in the order in which the module gives them; events that
arise meanwhile wait for their turn.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from flaxstep.proxy.admin import AdminServer, Reply
from flaxstep.proxy.client_connections import (
    MIN_UPLOAD_BYTES_PER_S,
    ClientConnection,
    ClientRequest,
    Listener,
    stable_id,
)
from flaxstep.proxy.config import Address, Config
from flaxstep.proxy.discovery import Discovery
from flaxstep.proxy.event_log import log_event
from flaxstep.proxy.member_list import Endpoint, MemberList, MemberListReader
from flaxstep.proxy.metrics import Metrics, ServerMetrics
from flaxstep.proxy.request_bodies import MAX_REQUEST_BODY_BYTES, BodyBudget
from flaxstep.proxy.server_connections import Attempt, ForwardedRequest, ServerPool, ServerResponse
from flaxstep.proxy.shared_state import OperatorState, SharedState
from flaxstep.proxy.wall_clock import WallClock, now_ms
from flaxstep.routing import Policy
from flaxstep.routing.interface import (
    Action,
    Began,
    Cancel,
    Cordon,
    DiscoveryReach,
    Event,
    Fail,
    Limit,
    ListKind,
    Log,
    Outcome,
    Reach,
    Refuse,
    Request,
    Result,
    Send,
    ServerList,
    State,
    Subscribe,
    Timer,
    Uncordon,
    Uploaded,
    Wake,
    Withdrawn,
)

# ms kept back from a client's time, for the way there. Clients may give only 40 ms in all, and a final answer
# from a late loop has the rule's slack besides.
MARGIN = 10.0
SPARE_SOCKETS = 64  # descriptors for listeners, discovery, files, callers, and connections that are closing
BODIES = 8  # the part of the memory that bodies in hand may take: one in so many
FIRST_LIST = 1.0  # s that a process with a list from before waits for a discovery that is down
START_MOST = 5.0  # s after which it says that it is ready, whatever discovery does
ACCEPT_FOR = 0.6  # s after SIGTERM during which new connections are accepted
TAKE_FOR = 0.7  # s after SIGTERM in which requests still come: SIGKILL follows a deadline and this long after
DRAIN_MOST = 60.0  # s after SIGTERM at which the node ends though a client still has not taken its answer
SHARED_LOOK = 0.1  # s between looks at what another process of this node has written
LISTEN_FOR = 8.0  # s from the start for which the node tries to listen: it has to be ready within 10 s
LISTEN_AGAIN = 0.1  # s between those tries
SHORTAGES = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE, errno.EAGAIN})
LOGGED_CHANGES = 4  # endpoints that a line about a list names
DRAIN_LOOK = 0.02  # s between looks whether all clients are answered

log = logging.getLogger("flaxstep.proxy")


@dataclass(slots=True)
class PendingRequest:
    """A request that is owed its final answer."""

    client: ClientConnection
    message: ForwardedRequest
    cls: int
    due: float  # while its body comes: the latest that it can become
    timeout: float  # ms that the client gives from the last byte of its request
    uploading: bool = False  # its body still comes: it is not taken yet
    sends: int = 0
    attempt: Attempt | None = None  # whose answer is passed on as it comes


def connection_limits(sockets: int) -> tuple[int, int]:
    """Connections of clients and to servers. A third for servers: few requests are in flight at once, but
    clients keep what they have opened."""
    left = sockets - min(SPARE_SOCKETS, sockets // 4)
    return left - left // 3, left // 3


class Node:
    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.policy = Policy(config.settings, config.seed)
        self.clock = WallClock()
        self.held: dict[int, PendingRequest] = {}
        self.last_id = 0
        self.events: deque[Event] = deque()
        self.handling = False
        self.healthy = False  # a list has come
        self.quiesced = self.stopping = False  # the two ways to drain: by hand, and for good
        self.server: asyncio.Server | None = None
        self.door: asyncio.Server | None = None
        self.watch: asyncio.Task[None] | None = None
        self.listed: set[int] = set()  # servers in the list
        self.told = asyncio.Event()  # discovery has given a list
        self.born = loop.time()
        clients, servers = connection_limits(config.sockets)
        self.figures = Metrics(name.decode("latin-1") for name in config.classes)
        self.by_server = ServerMetrics(self.figures.classes)
        self.body_budget = BodyBudget((config.memory_mb << 20) // BODIES)
        self.pool = ServerPool(
            loop,
            config.dial_timeout_ms,
            config.idle_timeout_ms,
            servers,
            self,
            self.figures,
            self.body_budget,
        )
        self.listener = Listener(loop, config, self, clients, self.body_budget)
        self.lists = MemberListReader(config.zones, config.kinds, self.clock, stable_id)
        self.discovery = Discovery(
            config.discovery,
            self.take_list,
            self.take_reach,
            random.Random(config.seed),
            loop,
            pushed=not config.settings.ask_for_list,
        )
        self.perform: dict[type[Action], Callable[[Any], None]] = {
            Send: self.send,
            Limit: self.limit,
            Refuse: self.refuse,
            Fail: self.fail,
            Cancel: self.cancel,
            Wake: self.wake,
            Log: self.log,
            Subscribe: self.subscribe,
        }
        self.handover = SharedState(config.shared_folder, config.name, self.take_shared)
        if config.admin is not None:
            self.handover.start()  # before the list: who is out must not be sent anything
        self.tell(DiscoveryReach(Reach.STARTED))
        if config.known_list.get("instances"):
            try:
                self.discovery.version = self.take_members(config.known_list, ListKind.CACHED)
            except ValueError as error:
                log.warning("the known list is malformed: %s", error)

    # Events in, actions out.

    def tell(self, event: Event) -> None:
        """Give the policy an event, after those that wait already."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    for action in self.policy.handle(now_ms(), event):
                        self.perform[type(action)](action)
                except Exception:
                    # One request must not take the node down with it; it still is owed an answer.
                    log.exception("the policy failed on %s", type(event).__name__)
                    if isinstance(event, Request | Outcome):
                        self.answer(event.id, 500)
                    elif isinstance(event, Timer):
                        self.answer(event.token, 500)
        finally:
            self.handling = False

    def send(self, action: Send) -> None:
        held = self.held[action.id]
        number, held.sends = held.sends, held.sends + 1
        limit = held.due - now_ms()
        if action.limit:
            limit = min(limit, action.limit)
        self.pool.send(action.id, number, action.server, limit, action.within, held.message)

    def limit(self, action: Limit) -> None:
        self.pool.limit(action.id, action.attempt, action.limit)

    def refuse(self, action: Refuse) -> None:
        self.log_final("refused", action)
        self.answer(action.id, 503, b"Retry-After: %.3f\r\n" % (action.wait / 1000) if action.wait else b"")

    def fail(self, action: Fail) -> None:
        self.log_final("failed", action)
        self.answer(action.id, 502)

    def log_final(self, name: str, action: Refuse | Fail) -> None:
        held = self.held.get(action.id)
        if held is not None:
            client_id = held.message.request_id
            log_event(name, request=client_id, cause=action.cause.value, attempts=held.sends)

    def answer(self, request_id: int, status: int, extra: bytes = b"") -> None:
        held = self.release(request_id)
        if held is not None:
            log_event("answered", request=held.message.request_id, status=status)
            self.figures.ended(held.cls, status)
            held.client.send_response(status, extra_headers=extra)

    def release(self, request_id: int) -> PendingRequest | None:
        """Nothing is owed any more, and no connection that still comes up carries the request."""
        held = self.held.pop(request_id, None)
        if held is not None:
            for number in range(held.sends):
                self.pool.unsend(request_id, number)
        return held

    def cancel(self, action: Cancel) -> None:
        self.pool.cancel(action.id, action.attempt)

    def wake(self, action: Wake) -> None:
        # Rounded up: a timer that rings early finds nothing due and would be set again at once.
        self.loop.call_later(math.ceil(action.delay) / 1000, self.tell, Timer(action.token))

    def log(self, action: Log) -> None:
        log.info("%s", action.text)

    def subscribe(self, action: Subscribe) -> None:
        """Nothing to do: the node watches the list from its start."""

    # From clients.

    def accept_request(self, client: ClientConnection, request: ClientRequest) -> None:
        self.last_id += 1
        request_id = client.request_id = self.last_id
        upload = request.message.upload
        uploading = upload is not None and not upload.complete
        due = max(request.sent_at_ms, now_ms() if upload is not None else 0.0) + request.timeout_ms - MARGIN
        if uploading:
            due += 1000 * MAX_REQUEST_BODY_BYTES / MIN_UPLOAD_BYTES_PER_S
        self.held[request_id] = PendingRequest(
            client, request.message, request.cls, due, request.timeout_ms, uploading
        )
        cls, key, tenant = request.cls, request.key, request.tenant
        log_event(
            "request_taken",
            request=request.message.request_id,
            connection=client.descriptor,
            cls=cls,
            ms_left=due - now_ms(),
        )
        self.tell(
            Request(
                request_id, cls, due, key, tenant, request.work_hint_ms, request.is_client_retry, uploading
            )
        )

    def upload_complete(self, client: ClientConnection, request_id: int) -> None:
        held = self.held.get(request_id)
        if held is None:
            return
        held.uploading = False
        if held.attempt is None:  # else its answer has begun already
            held.due = now_ms() + held.timeout - MARGIN
            self.tell(Uploaded(request_id, held.due))

    def client_gone(self, request_id: int) -> None:
        held = self.release(request_id)
        if held is None:
            return
        self.tell(Withdrawn(request_id))
        if held.attempt is not None:  # its answer is the client's: with the client it ends
            self.pool.drop(held.attempt, Result.CANCELLED)

    def pause_response(self, request_id: int, hold: bool) -> None:
        held = self.held.get(request_id)
        if held is not None and held.attempt is not None and held.attempt.connection is not None:
            held.attempt.connection.hold_answer(hold)

    # From servers.

    def attempt_ended(self, attempt: Attempt, result: Result, answer: ServerResponse | None) -> None:
        request_id, held = attempt.request_id, self.held.get(attempt.request_id)
        if held is not None and held.attempt is attempt:
            del self.held[request_id]
            if result is Result.OK:
                self.figures.ended(held.cls, 200)
                held.client.end_response()
            else:
                self.figures.ended(held.cls, 502)
                held.client.abort_response()
        elif held is not None and result is Result.OK and answer is not None:
            del self.held[request_id]
            log_event("answered", request=held.message.request_id, status=200)
            self.figures.ended(held.cls, 200)
            held.client.send_response(200, answer.body, answer.content_type)
        over, elapsed = request_id not in self.held, now_ms() - attempt.started
        log_event(
            "attempt_ended",
            request=attempt.message.request_id,
            attempt=attempt.number,
            endpoint=attempt.server.id,
            result=result.name.lower(),
            written=attempt.written,
            ms=elapsed,
        )
        if held is not None and result is not Result.CANCELLED:
            self.by_server.ended(attempt.server.id, held.cls, result, elapsed)
        upload = attempt.message.upload
        spent = upload is not None and upload.partly_sent
        self.tell(Outcome(request_id, attempt.server.id, over, result, attempt.number, elapsed, spent=spent))

    def response_started(self, attempt: Attempt, length: int | None, content_type: bytes) -> None:
        request_id, held = attempt.request_id, self.held.get(attempt.request_id)
        if held is None:  # it is over: nobody waits for the answer
            self.pool.drop(attempt, Result.CANCELLED)
            return
        held.attempt = attempt
        elapsed = now_ms() - attempt.started
        self.tell(Began(request_id, attempt.number, attempt.server.id, elapsed))
        held.client.begin_response(length, content_type)

    def response_chunk(self, attempt: Attempt, part: bytes) -> None:
        held = self.held.get(attempt.request_id)
        if held is not None:
            held.client.write_response_chunk(part)

    # From discovery.

    def take_list(self, raw: Any, whole: bool) -> int | None:
        """Take over what a call has brought: its version. ValueError, and nothing taken, if it is no list."""
        return self.take_members(raw, ListKind.FULL if whole else None)

    def take_members(self, raw: Any, kind: ListKind | None) -> int | None:
        members = self.lists.read(raw, kind)
        endpoints = members.endpoints
        # The pool first hears of who is new: the module may send to them while it is told.
        for endpoint in endpoints:
            if endpoint.entry.state is State.READY and endpoint.entry.id not in self.pool.servers:
                self.update_pool(endpoint)
        # Then the module: what it sends on because of the list must not go to whom the list takes out.
        self.tell(ServerList(members.kind, members.version or 0, [each.entry for each in endpoints]))
        if members.kind is not ListKind.DELTA:
            named = {endpoint.entry.id for endpoint in endpoints}
            for server_id in self.listed - named:
                gone = self.pool.servers[server_id]
                self.pool.update(server_id, gone.address, State.GONE, gone.started)
                self.by_server.forget(server_id)
            self.listed &= named
        for endpoint in endpoints:
            self.update_pool(endpoint)
            if endpoint.entry.state is State.GONE:
                self.listed.discard(endpoint.entry.id)
                self.by_server.forget(endpoint.entry.id)
            else:
                self.listed.add(endpoint.entry.id)
                self.by_server.listed(endpoint.entry.id, endpoint.name, endpoint.started_at)
        if endpoints or members.kind is not ListKind.DELTA:
            self.log_list(members)
        self.healthy = True
        return members.version

    def update_pool(self, endpoint: Endpoint) -> None:
        entry = endpoint.entry
        self.pool.update(entry.id, endpoint.address, entry.state, entry.started)

    def log_list(self, members: MemberList) -> None:
        first = members.endpoints[:LOGGED_CHANGES]
        changed = ", ".join(f"{each.name} {each.entry.state.name.lower()}" for each in first)
        left = len(members.endpoints) - len(first)
        more = f" and {left} more" if left else ""
        version = "without a version" if members.version is None else members.version
        log.info("list %s, %s: %s%s", version, members.kind.name.lower(), changed, more)

    def take_reach(self, reach: Reach, since: float) -> None:
        """How the connection to discovery stands: for how long the list may be routed by is the module's."""
        if reach is Reach.CONFIRMED:
            self.told.set()
        lease, now = self.policy.lease, now_ms()
        held, before = lease.is_valid(now), lease.expires - now
        self.tell(DiscoveryReach(reach, since))
        left = lease.expires - now
        if reach is not Reach.CONFIRMED or not held:  # a line for each beat of a watch would hide the rest
            log.info("list lease: %s; %.3f s left, %.3f before", reach.value, left / 1000, before / 1000)
        if held != lease.is_valid(now_ms()):
            log.info("the list %s: discovery is %s", "has run out" if held else "holds again", reach.value)

    # From operators.

    def calls(self) -> dict[bytes, tuple[bytes, Callable[[bytes], Reply]]]:
        return {
            b"/admin/health": (b"GET", self.tell_health),
            b"/admin/stats": (b"GET", self.report),
            b"/admin/servers": (b"GET", self.report_servers),
            b"/admin/cordon": (b"POST", self.cordon),
            b"/admin/uncordon": (b"POST", self.uncordon),
            b"/admin/quiesce": (b"POST", self.quiesce),
            b"/admin/resume": (b"POST", self.resume),
        }

    @property
    def draining(self) -> bool:
        return self.quiesced or self.stopping

    @property
    def ready(self) -> bool:
        return self.healthy and self.informed and self.server is not None and not self.draining

    @property
    def informed(self) -> bool:
        """Whether a list from before a restart has been confirmed, or there is no waiting for that any more.

        Where lists are pushed, what discovery has counts as told from a process's first moment.
        """
        if self.config.settings.ask_for_list or self.told.is_set():
            return True
        age = self.loop.time() - self.born
        return age >= START_MOST or (age >= FIRST_LIST and self.policy.lease.is_valid(now_ms()))

    def tell_health(self, _: bytes) -> Reply:
        if self.ready:
            return 200, "ready"
        if self.stopping:
            return 503, "stopping"
        return 503, "quiesced" if self.quiesced else "starting"

    def report(self, _: bytes) -> Reply:
        avoided = self.listed & self.policy.find_avoided_servers(now_ms())
        gauges = {
            "outstanding": sum(not held.uploading for held in self.held.values())
            + self.listener.count_queued_requests(),
            "discovered": len(self.listed),
            "ejected": len(avoided),
        }
        return 200, self.figures.lines(gauges)

    def report_servers(self, _: bytes) -> Reply:
        out = Counter(attempt.server.id for attempt in self.pool.attempts.values())
        self.handover.look()  # the other process may have been called
        return 200, self.by_server.report(out, self.handover.shared.cordoned)

    def cordon(self, body: bytes) -> Reply:
        return self.change_shared(
            body, "cordoned", lambda shared, name: shared.without(name), self.handover.leave_out
        )

    def uncordon(self, body: bytes) -> Reply:
        now = now_ms()

        def edit(shared: OperatorState, name: str) -> OperatorState:
            if name not in shared.cordoned:
                return shared
            warm = now - self.config.settings.ramp_time
            forget = {
                other for other, at in shared.returned.items() if self.handover.returned_at(other, at) <= warm
            }
            return shared.with_back(name, self.handover.stamp_return(name, now), forget)

        return self.change_shared(body, "serves again", edit)

    def change_shared(
        self,
        body: bytes,
        done: str,
        edit: Callable[[OperatorState, str], OperatorState],
        not_kept: Callable[[str], None] | None = None,
    ) -> Reply:
        """Carry a call out; `not_kept` is told the server's name if the change can't be written down."""
        try:
            name = body.decode().strip()
        except UnicodeDecodeError:
            return 400, "the body is no server's id"
        if not name:
            return 400, "the body must be a server's id"
        self.handover.look()  # the other process may have been called first
        # One that restarts may be missing from the list just now: who is out is known all the same.
        if stable_id(name.encode()) not in self.listed and name not in self.handover.shared.cordoned:
            return 404, f"no server {name} is listed"
        try:
            self.handover.change(lambda shared: edit(shared, name))
        except OSError as error:
            log.warning("%s: not %s: %s", name, done, error)
            if not_kept is None:
                return 503, f"not kept, so not done: {error}"
            not_kept(name)
            return 503, f"out here and not kept yet: {error}"
        return 200, f"{name} {done}"

    def take_shared(self, before: OperatorState, shared: OperatorState) -> None:
        """What operators have said here or at another process holds from now on."""
        for name in sorted(shared.cordoned - before.cordoned):
            server_id = stable_id(name.encode())
            log.info("%s is out", name)
            self.tell(Cordon(server_id))
            self.pool.cordon(server_id)
        for name, at in sorted(shared.returned.items()):
            if before.returned.get(name) != at:
                log.info("%s is back", name)
                self.tell(Uncordon(stable_id(name.encode()), self.handover.returned_at(name, at)))

    def look_at_shared(self) -> None:
        self.loop.call_later(SHARED_LOOK, self.look_at_shared)
        two = self.handover.others
        self.handover.look()
        if self.handover.others != two:
            log.info("the node is %s", "two processes" if self.handover.others else "one process again")
            self.share_room()

    def share_room(self) -> None:
        """Two processes are one node: each keeps to half of what it may hold."""
        parts = 2 if self.handover.others else 1
        self.body_budget.total_bytes = (self.config.memory_mb << 20) // BODIES // parts
        clients, servers = connection_limits(self.config.sockets // parts)
        self.listener.set_limit(clients)
        self.pool.set_limit(servers)

    def quiesce(self, _: bytes) -> Reply:
        """Empty the node: its clients come back elsewhere. What is held and what still comes is served."""
        if not self.quiesced:
            self.quiesced = True
            log.info("quiesced: %d requests held", len(self.held))
            self.listener.close_idle()
        return 200, "quiesced"

    def resume(self, _: bytes) -> Reply:
        if self.stopping:
            return 409, "stopping: there is no way back"
        if self.quiesced:
            self.quiesced = False
            log.info("resumed")
        return 200, "resumed"

    # Start and stop.

    async def start(self) -> None:
        if self.config.admin is not None:
            door, address = AdminServer(self.loop, self.calls()), self.config.admin
            self.door = await self.persist(lambda: door.start(address))
            self.look_at_shared()
        self.watch = self.loop.create_task(self.discovery.run())
        while not self.handover.looked and self.loop.time() - self.born < START_MOST:
            await asyncio.sleep(SHARED_LOOK)  # who is out may stand there
        if self.handover.others:
            await self.wait_to_succeed()
        self.server = await self.persist(self.listener.start)
        log.info("%s listens on %s:%d", self.config.name, *self.server.sockets[0].getsockname()[:2])

    async def persist(self, listen: Callable[[], Awaitable[asyncio.Server]]) -> asyncio.Server:
        """Listen, and try again while the system is short of what that takes."""
        while True:
            try:
                return await listen()
            except OSError as error:
                if error.errno not in SHORTAGES or self.loop.time() - self.born > LISTEN_FOR:
                    raise
                log.warning("not listening yet: %s", error)
            await asyncio.sleep(LISTEN_AGAIN)

    async def wait_to_succeed(self) -> None:
        """While the old process serves, nothing may come to this one that it can't serve as well."""
        self.share_room()
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST if self.healthy else None):
                await self.told.wait()

    def expect_move(self) -> None:
        """SIGHUP: the time in which the old address tells anything runs from now, readable file or not."""
        self.take_reach(Reach.MOVED, now_ms())

    def move_discovery(self, address: Address) -> None:
        """Follow the list at another address from now on; the version held says where to go on."""
        if address == self.discovery.address:
            return
        log.info("discovery moves to %s:%d", *address)
        self.discovery.move(address)
        if self.watch is not None:
            self.watch.cancel()
            self.watch = self.loop.create_task(self.discovery.run())

    async def drain(self) -> None:
        """Take what still comes, answer all that is held, then end."""
        self.stopping, begun = True, self.loop.time()
        log.info("stopping: %d requests held", len(self.held))
        if self.server is not None:
            self.listener.close_idle()
            await asyncio.sleep(ACCEPT_FOR)
            self.listener.stop_accepting()
        # Whoever has not sent its whole request by then can't have its time before SIGKILL may come.
        await self.emptied(begun + TAKE_FOR)
        self.listener.reject_unfinished_requests()
        await self.emptied(begun + DRAIN_MOST)
        self.close()  # the list is followed to the end: what is held may still be sent again
        log.info("stopped")

    async def emptied(self, until: float) -> None:
        """Wait until all clients have their answers and have closed, or until then by the loop's clock."""
        while self.listener.has_clients and self.loop.time() < until:
            self.listener.close_idle()
            await asyncio.sleep(DRAIN_LOOK)

    def close(self) -> None:
        for server in (self.server, self.door):
            if server is not None:
                server.close()
        if self.watch is not None:
            self.watch.cancel()
        self.handover.close()
