"""Connects the network side of a node with its routing policy.

Network events become events of the policy, and the policy's actions are carried out in the order in which it
returns them; events that occur meanwhile are queued. No routing decision is made here.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import random
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from flaxstep.proxy.admin import AdminServer
from flaxstep.proxy.admin_calls import AdminCalls
from flaxstep.proxy.begun_request_files import BegunRequestFiles
from flaxstep.proxy.client_connections import MIN_UPLOAD_BYTES_PER_S, ClientConnection
from flaxstep.proxy.client_listener import Listener
from flaxstep.proxy.client_requests import ClientRequest
from flaxstep.proxy.config import Address, Config
from flaxstep.proxy.connection_pool import ServerPool
from flaxstep.proxy.cordons import Cordons
from flaxstep.proxy.discovery import Discovery
from flaxstep.proxy.endpoint_updates import EndpointUpdates
from flaxstep.proxy.event_log import log_event
from flaxstep.proxy.forwarded_messages import ForwardedRequest, ServerResponse
from flaxstep.proxy.handover import Handover
from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.member_list import HandedList, MemberList, MemberListReader
from flaxstep.proxy.memory_account import (
    ENDPOINT_BYTES,
    CountedHolder,
    MemoryAccount,
    read_resident_bytes,
)
from flaxstep.proxy.metrics import Metrics, ServerMetrics
from flaxstep.proxy.read_turns import TurnScheduler
from flaxstep.proxy.request_bodies import MAX_REQUEST_BODY_BYTES
from flaxstep.proxy.server_connections import Attempt
from flaxstep.proxy.wall_clock import WallClock, now_ms
from flaxstep.routing import Policy
from flaxstep.routing.interface import (
    Action,
    Began,
    Cancel,
    DiscoveryReach,
    DueChanged,
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
    Serving,
    Subscribe,
    Timer,
    Uploaded,
    Wake,
    Withdrawn,
)

# Subtracted from a client's timeout for the way back to it. Clients may give only 40 ms in all, and the rule
# on final responses allows some slack for a late event loop besides.
CLIENT_TIMEOUT_MARGIN_MS = 10.0
# At most; while a request's body arrives, its deadline is this much later.
MAX_UPLOAD_MS = 1000 * MAX_REQUEST_BODY_BYTES / MIN_UPLOAD_BYTES_PER_S
# For listeners, discovery, files, admin connections, and connections that are closing.
RESERVED_DESCRIPTORS = 64
# For discovery or, in an upgrade, the old process, if the node has a list from before its start.
CACHED_LIST_WAIT_S = 1.0
MAX_STARTUP_WAIT_S = 5.0  # the node reports that it is ready after this, even without discovery
ACCEPT_AFTER_SIGTERM_S = 0.6  # new connections are accepted for this long
# Requests are read for this long after SIGTERM. SIGKILL may follow this time plus the longest deadline, which
# counts as 3 s at most.
READ_AFTER_SIGTERM_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
# A process with a successor learns no more this long before SIGKILL may come: it could not hand it over.
HANDOVER_END_MARGIN_S = 0.15
MAX_DRAIN_S = 60.0  # after SIGTERM: the node exits even if a client has not read its response
SHARED_STATE_POLL_S = 0.1
UPGRADE_POLL_S = 0.05  # while two processes run: each is to know soon what the other is told
MAX_LISTEN_RETRY_S = 8.0  # from the start: the node has to be ready within 10 s
LISTEN_RETRY_DELAY_S = 0.1
RESOURCE_SHORTAGE_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE, errno.EAGAIN})
DRAIN_POLL_S = 0.02
HANDOVER_POLL_S = 0.02

log = logging.getLogger("flaxstep.proxy")


@dataclass(slots=True)
class PendingRequest:
    """A request whose final response has not been sent completely."""

    client: ClientConnection
    message: ForwardedRequest
    cls: int
    deadline: float  # monotonic ms; while the body is uploaded, its upper bound
    timeout_ms: float  # given by the client, from the last byte of its request
    uploading: bool = False  # the body has not been received completely
    attempt_count: int = 0
    streaming_attempt: Attempt | None = None  # whose response is streamed to the client


def connection_limits(sockets: int) -> tuple[int, int]:
    """Return the maximum numbers of client connections and of server connections.

    Clients may hold a third of the descriptors for requests, and each of these may need a connection to a
    server for long. So servers get half: enough for that, and for others beside.
    """
    left = sockets - min(RESERVED_DESCRIPTORS, sockets // 4)
    return left - left // 2, left // 2


class Node:
    """One node: its listeners, its connections to servers and discovery, and its routing policy."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.begun_request_files = BegunRequestFiles(config.shared_folder, config.name, config.memory_mb)
        self.policy = Policy(config.settings, config.seed, self.begun_request_files.requests)
        self.clock = WallClock()
        self.pending_requests: dict[int, PendingRequest] = {}
        self.last_id = 0
        self.events: deque[Event] = deque()
        self.dispatching = False
        self.healthy = False  # a server list has been read
        self.quiesced = self.stopping = False  # drained by an operator; shutting down
        self.client_listener: asyncio.Server | None = None
        self.admin_listener: asyncio.Server | None = None
        self.discovery_task: asyncio.Task[None] | None = None
        self.list_confirmed = asyncio.Event()  # discovery has confirmed the list once
        self.started_at = loop.time()
        clients, servers = connection_limits(config.sockets)
        self.metrics = Metrics(name.decode("latin-1") for name in config.classes)
        self.server_metrics = ServerMetrics(self.metrics.classes)
        self.account = MemoryAccount(config.memory_mb << 20)
        self.turns = TurnScheduler(loop)
        self.pool = ServerPool(
            loop,
            config.dial_timeout_ms,
            config.idle_timeout_ms,
            servers,
            self,
            self.metrics,
            self.account,
            self.turns,
        )
        self.listener = Listener(loop, config, self, clients, self.account, self.turns)
        self.endpoint_updates = EndpointUpdates(
            MemberListReader(config.zones, config.kinds, self.clock, stable_id),
            self.pool,
            self.server_metrics,
            self.dispatch_event,
            CountedHolder(self.account, ENDPOINT_BYTES),
            self.on_list_applied,
        )
        self.discovery = Discovery(
            config.discovery,
            self.on_list,
            self.on_reach,
            random.Random(config.seed),
            loop,
            pushed=not config.settings.ask_for_list,
            account=self.account,
        )
        self.action_handlers: dict[type[Action], Callable[[Any], None]] = {
            Send: self.send_attempt,
            Limit: self.limit_attempt,
            Refuse: self.refuse_request,
            Fail: self.fail_request,
            Cancel: self.cancel_attempt,
            Wake: self.schedule_timer,
            Log: self.log_text,
            Subscribe: self.ignore_subscribe,
        }
        self.cordons = Cordons(config, self.pool, self.endpoint_updates.listed, self.dispatch_event)
        self.shared_state = self.cordons.shared_state
        self.handover = Handover(
            self.shared_state,
            self.endpoint_updates,
            self.dispatch_event,
            lambda: self.policy.lease.export_state(now_ms()),
            lambda: self.discovery.version,
            self.on_handed_list,
            self.account.max_list_bytes,
        )
        if config.admin is not None:
            self.shared_state.start()  # before the list: nothing may be sent to cordoned servers
        self.dispatch_event(DiscoveryReach(Reach.STARTED))
        if config.known_list.get("instances"):
            try:
                self.discovery.version = self.apply_list(config.known_list, ListKind.CACHED)
            except ValueError as error:
                log.warning("the server list in the configuration is malformed: %s", error)

    def measure_resting_memory(self) -> None:
        """Size the account by what the process takes now, with the list that it has."""
        resting_bytes = read_resident_bytes()
        if resting_bytes:
            self.account.resize(resting_bytes=resting_bytes)
            self.endpoint_updates.on_resting_memory_measured()

    # Events to the policy, and its actions.

    def dispatch_event(self, event: Event) -> None:
        """Pass an event to the policy, after the events that are queued, and carry out its actions."""
        self.events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    for action in self.policy.handle(now_ms(), event):
                        self.action_handlers[type(action)](action)
                except Exception:
                    # A failure on one request must not end the node, and the request still needs a response.
                    log.exception("the policy failed on %s", type(event).__name__)
                    if isinstance(event, Request | Outcome):
                        self.send_final_response(event.id, 500)
                    elif isinstance(event, Timer):
                        self.send_final_response(event.token, 500)
        finally:
            self.dispatching = False

    def send_attempt(self, action: Send) -> None:
        pending = self.pending_requests[action.id]
        number, pending.attempt_count = pending.attempt_count, pending.attempt_count + 1
        limit = pending.deadline - now_ms()
        if action.limit:
            limit = min(limit, action.limit)
        self.pool.send(action.id, number, action.server, limit, action.within, pending.message)

    def limit_attempt(self, action: Limit) -> None:
        self.pool.set_timeout(action.id, action.attempt, action.limit)

    def refuse_request(self, action: Refuse) -> None:
        self.log_unserved("refused", action)
        self.send_final_response(
            action.id, 503, b"Retry-After: %.3f\r\n" % (action.wait / 1000) if action.wait else b""
        )

    def fail_request(self, action: Fail) -> None:
        self.log_unserved("failed", action)
        self.send_final_response(action.id, 502)

    def log_unserved(self, name: str, action: Refuse | Fail) -> None:
        pending = self.pending_requests.get(action.id)
        if pending is not None:
            client_id = pending.message.request_id
            log_event(name, request=client_id, cause=action.cause.value, attempts=pending.attempt_count)

    def send_final_response(self, request_id: int, status: int, extra: bytes = b"") -> None:
        pending = self.remove_request(request_id)
        if pending is not None:
            log_event("answered", request=pending.message.request_id, status=status)
            self.metrics.record_outcome(pending.cls, status)
            pending.client.send_response(status, extra_headers=extra)

    def remove_request(self, request_id: int) -> PendingRequest | None:
        """Remove a request that is over, with those of its attempts that still wait for a connection."""
        pending = self.pending_requests.pop(request_id, None)
        if pending is not None:
            for number in range(pending.attempt_count):
                self.pool.cancel_unsent(request_id, number)
        return pending

    def cancel_attempt(self, action: Cancel) -> None:
        self.pool.cancel(action.id, action.attempt)

    def schedule_timer(self, action: Wake) -> None:
        # Rounded up: a timer that fires too early finds nothing due, and would be set again at once.
        self.loop.call_later(math.ceil(action.delay) / 1000, self.dispatch_event, Timer(action.token))

    def log_text(self, action: Log) -> None:
        log.info("%s", action.text)

    def ignore_subscribe(self, action: Subscribe) -> None:
        """Nothing to do: the node watches the server list from its start."""

    # Client connections: calls of the listener.

    def accept_request(self, client: ClientConnection, request: ClientRequest) -> None:
        """Register a request and pass it to the policy."""
        self.last_id += 1
        request_id = client.request_id = self.last_id
        upload = request.message.upload
        uploading = upload is not None and not upload.complete
        sent_at_ms = request.sent_at_ms if upload is None else upload.sent_at_ms
        if uploading:
            sent_at_ms = now_ms() + MAX_UPLOAD_MS
        deadline = sent_at_ms + request.timeout_ms - CLIENT_TIMEOUT_MARGIN_MS
        request.message.timeout_ms = request.timeout_ms
        self.pending_requests[request_id] = PendingRequest(
            client, request.message, request.cls, deadline, request.timeout_ms, uploading
        )
        cls, key, tenant = request.cls, request.key, request.tenant
        log_event(
            "request_taken",
            request=request.message.request_id,
            connection=client.descriptor,
            cls=cls,
            ms_left=deadline - now_ms(),
        )
        self.dispatch_event(
            Request(
                request_id,
                cls,
                deadline,
                key,
                tenant,
                request.work_hint_ms,
                request.is_client_retry,
                uploading,
                stable_id(request.message.request_id),
            )
        )

    def upload_held_up(self, request_id: int, since_ms: float | None) -> None:
        """The client may have sent all of the body since then; None if it sends on, and the node keeps up."""
        pending = self.pending_requests.get(request_id)
        if pending is None or not pending.uploading or pending.streaming_attempt is not None:
            return
        sent_at_ms = now_ms() + MAX_UPLOAD_MS if since_ms is None else since_ms
        pending.deadline = sent_at_ms + pending.timeout_ms - CLIENT_TIMEOUT_MARGIN_MS
        self.dispatch_event(DueChanged(request_id, pending.deadline))

    def upload_complete(self, request_id: int, sent_at_ms: float) -> None:
        """The request's body has been received completely: its deadline is known from now on."""
        pending = self.pending_requests.get(request_id)
        if pending is None:
            return
        pending.uploading = False
        if pending.streaming_attempt is None:  # otherwise its response is streamed already
            pending.deadline = sent_at_ms + pending.timeout_ms - CLIENT_TIMEOUT_MARGIN_MS
            self.dispatch_event(Uploaded(request_id, pending.deadline))

    def client_gone(self, request_id: int) -> None:
        """The client has closed its connection before the response was complete."""
        pending = self.remove_request(request_id)
        if pending is None:
            return
        self.dispatch_event(Withdrawn(request_id))
        if pending.streaming_attempt is not None:  # its response has no other receiver
            self.pool.abort_attempt(pending.streaming_attempt, Result.CANCELLED)

    def pause_response(self, request_id: int, paused: bool) -> None:
        """Stop reading a streamed response while the client reads nothing, or read on."""
        pending = self.pending_requests.get(request_id)
        if (
            pending is not None
            and pending.streaming_attempt is not None
            and pending.streaming_attempt.connection is not None
        ):
            pending.streaming_attempt.connection.pause_reading_response(paused)

    # Server connections: calls of the pool.

    def attempt_ended(self, attempt: Attempt, result: Result, response: ServerResponse | None) -> None:
        """Finish the request if this attempt has its response, and report the outcome to the policy."""
        request_id, pending = attempt.request_id, self.pending_requests.get(attempt.request_id)
        if pending is not None and pending.streaming_attempt is attempt:
            del self.pending_requests[request_id]
            if result is Result.OK:
                self.metrics.record_outcome(pending.cls, 200)
                pending.client.end_response()
            else:
                self.metrics.record_outcome(pending.cls, 502)
                pending.client.abort_response()
        elif pending is not None and result is Result.OK and response is not None:
            del self.pending_requests[request_id]
            log_event("answered", request=pending.message.request_id, status=200)
            self.metrics.record_outcome(pending.cls, 200)
            pending.client.send_response(200, response.body, response.content_type)
        request_over, elapsed = request_id not in self.pending_requests, now_ms() - attempt.started
        log_event(
            "attempt_ended",
            request=attempt.message.request_id,
            attempt=attempt.number,
            endpoint=attempt.server.id,
            result=result.name.lower(),
            written=attempt.request_written,
            ms=elapsed,
        )
        if pending is not None and result is not Result.CANCELLED:
            self.server_metrics.record_attempt(attempt.server.id, pending.cls, result, elapsed)
        upload = attempt.message.upload
        spent = upload is not None and upload.partly_sent
        self.dispatch_event(
            Outcome(request_id, attempt.server.id, request_over, result, attempt.number, elapsed, spent=spent)
        )

    def response_started(self, attempt: Attempt, content_length: int | None, content_type: bytes) -> None:
        """Start streaming a response to the client."""
        request_id, pending = attempt.request_id, self.pending_requests.get(attempt.request_id)
        if pending is None:  # the request is over
            self.pool.abort_attempt(attempt, Result.CANCELLED)
            return
        pending.streaming_attempt = attempt
        elapsed = now_ms() - attempt.started
        self.dispatch_event(Began(request_id, attempt.number, attempt.server.id, elapsed))
        pending.client.begin_response(content_length, content_type)

    def response_chunk(self, attempt: Attempt, chunk: bytes) -> None:
        """Pass a chunk of a streamed response to the client."""
        pending = self.pending_requests.get(attempt.request_id)
        if pending is not None:
            pending.client.write_response_chunk(chunk)

    # Discovery.

    def on_list(self, raw: Any, full_list: bool) -> int | None:
        """Apply a list from discovery and return its version. ValueError, and no change, if it is no list."""
        return self.apply_list(raw, ListKind.FULL if full_list else None)

    def apply_list(self, raw: Any, kind: ListKind | None) -> int | None:
        """Apply a list; see on_list."""
        return self.endpoint_updates.apply(raw, kind)

    def on_list_applied(self, members: MemberList) -> None:
        """A list is in force now, from wherever it came."""
        self.healthy = True
        self.handover.record_list(members)

    def on_handed_list(self, handed: HandedList) -> None:
        """Apply a list from the process that served before this one, unless the own one is newer."""
        if self.endpoint_updates.adopt(handed, self.list_confirmed.is_set()):
            self.discovery.version = handed.watch_version

    def on_reach(self, reach: Reach, since: float) -> None:
        """Pass on the state of the connection to discovery: the policy decides how long the list is valid."""
        if reach is Reach.CONFIRMED:
            self.list_confirmed.set()
        lease, now = self.policy.lease, now_ms()
        was_valid, before = lease.is_valid(now), lease.expires - now
        self.dispatch_event(DiscoveryReach(reach, since))
        self.handover.record_lease()
        left = lease.expires - now
        # No line for each confirmation: a watch sends one with every heartbeat.
        if reach is not Reach.CONFIRMED or not was_valid:
            log.info("list lease: %s; %.3f s left, %.3f before", reach.value, left / 1000, before / 1000)
        if was_valid != lease.is_valid(now_ms()):
            log.info(
                "server list %s (%s)",
                "expired: requests are refused until discovery confirms it" if was_valid else "valid again",
                reach.value,
            )

    # State that others ask for, and the other process of an upgrade.

    @property
    def draining(self) -> bool:
        return self.quiesced or self.stopping

    def count_taken_requests(self) -> int:
        """The requests that have come whole and have no final response."""
        return sum(not pending.uploading for pending in self.pending_requests.values())

    @property
    def ready(self) -> bool:
        return self.healthy and self.list_wait_over and self.client_listener is not None and not self.draining

    @property
    def list_wait_over(self) -> bool:
        """Whether the node need not wait any longer for discovery to confirm the list from before a restart.

        If lists are pushed, changes in discovery count as notified from the start of a process.
        """
        if self.config.settings.ask_for_list or self.list_confirmed.is_set():
            return True
        age = self.loop.time() - self.started_at
        return age >= MAX_STARTUP_WAIT_S or (
            age >= CACHED_LIST_WAIT_S and self.policy.lease.is_valid(now_ms())
        )

    @property
    def list_handed_over(self) -> bool:
        """Whether the process that served before this one has handed over a list that can be used."""
        return self.policy.lease.is_handed_over(now_ms())

    def poll_shared_state(self) -> None:
        """Read the shared state at regular intervals, and adjust the limits when a process comes or goes."""
        others_running = self.shared_state.others_running
        delay_s = UPGRADE_POLL_S if others_running else SHARED_STATE_POLL_S
        self.loop.call_later(delay_s, self.poll_shared_state)
        self.shared_state.refresh()
        if self.shared_state.others_running != others_running:
            log.info(
                "%s",
                "another process of this node is running: each uses half of the limits"
                if self.shared_state.others_running
                else "this is the node's only process again",
            )
            self.update_limits()
        self.handover.poll()

    def update_limits(self) -> None:
        """Set the memory and connection limits: with two processes, each uses half of the node's."""
        process_count = 2 if self.shared_state.others_running else 1
        self.account.resize(process_count=process_count)
        clients, servers = connection_limits(self.config.sockets // process_count)
        self.listener.set_limit(clients)
        self.pool.set_limit(servers)

    # Start and stop.

    async def start(self) -> None:
        """Start the admin server, discovery and the client listener."""
        if self.config.admin is not None:
            admin_server, address = AdminServer(self.loop, AdminCalls(self).by_path()), self.config.admin
            self.admin_listener = await self.listen_with_retry(lambda: admin_server.start(address))
            self.poll_shared_state()
        self.discovery_task = self.loop.create_task(self.discovery.run())
        while not self.shared_state.fully_read and self.loop.time() - self.started_at < MAX_STARTUP_WAIT_S:
            await asyncio.sleep(SHARED_STATE_POLL_S)  # it may hold cordons
        if self.config.admin is not None:
            self.handover.find_predecessor()
        if self.shared_state.others_running:
            await self.wait_for_list()
        self.client_listener = await self.listen_with_retry(self.listener.start)
        self.dispatch_event(Serving())
        self.handover.serving = True
        log.info("%s listens on %s:%d", self.config.name, *self.client_listener.sockets[0].getsockname()[:2])

    async def listen_with_retry(self, listen: Callable[[], Awaitable[asyncio.Server]]) -> asyncio.Server:
        """Call `listen` again while it fails for a shortage of system resources."""
        while True:
            try:
                return await listen()
            except OSError as error:
                if (
                    error.errno not in RESOURCE_SHORTAGE_ERRNOS
                    or self.loop.time() - self.started_at > MAX_LISTEN_RETRY_S
                ):
                    raise
                log.warning("not listening yet: %s", error)
            await asyncio.sleep(LISTEN_RETRY_DELAY_S)

    async def wait_for_list(self) -> None:
        """Listen only once this process can serve as well as the old one, which still serves."""
        self.update_limits()
        while not self.list_confirmed.is_set() and not self.list_handed_over:
            if self.healthy and self.loop.time() - self.started_at >= CACHED_LIST_WAIT_S:
                return
            with suppress(TimeoutError):
                async with asyncio.timeout(HANDOVER_POLL_S):
                    await self.list_confirmed.wait()

    def mark_discovery_moved(self) -> None:
        """SIGHUP: from now on the old address serves for a fixed time, even if the file can't be read yet."""
        self.on_reach(Reach.MOVED, now_ms())

    def move_discovery(self, address: Address) -> None:
        """Watch the list at another address from now on, starting from the version that the node has."""
        if address == self.discovery.address:
            return
        log.info("discovery address changed to %s:%d", *address)
        self.discovery.change_address(address)
        if self.discovery_task is not None:
            self.discovery_task.cancel()
            self.discovery_task = self.loop.create_task(self.discovery.run())

    async def drain(self) -> None:
        """Accept what still arrives for a while, answer all pending requests, then close."""
        self.stopping, started = True, self.loop.time()
        log.info("stopping: %d requests pending", len(self.pending_requests))
        if self.shared_state.successor_running:
            self.loop.call_later(self.compute_earliest_kill_s() - HANDOVER_END_MARGIN_S, self.learn_no_more)
        if self.client_listener is not None:
            self.listener.close_idle()
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
            self.listener.stop_accepting()
        # A request that is incomplete by then might not reach its deadline before SIGKILL.
        await self.wait_until_empty(started + READ_AFTER_SIGTERM_S)
        self.listener.reject_unfinished_requests()
        await self.wait_until_empty(started + MAX_DRAIN_S)
        self.close()  # the list is watched until here, as pending requests may be retried
        log.info("stopped")

    def compute_earliest_kill_s(self) -> float:
        """After how many seconds from SIGTERM SIGKILL may come."""
        longest_deadline_s = max(cls.deadline for cls in self.config.settings.classes) / 1000
        return READ_AFTER_SIGTERM_S + min(longest_deadline_s, MAX_COUNTED_DEADLINE_S)

    def learn_no_more(self) -> None:
        """Stop watching discovery, and tell a successor that it has all news."""
        if self.discovery_task is not None:
            self.discovery_task.cancel()
        self.discovery.cancel_calls()
        self.handover.end()

    async def wait_until_empty(self, until: float) -> None:
        """Wait until all client connections are closed, at most until this time of the loop's clock."""
        while self.listener.has_clients and self.loop.time() < until:
            self.listener.close_idle()
            await asyncio.sleep(DRAIN_POLL_S)

    def close(self) -> None:
        """Close the listeners and stop watching discovery."""
        for server in (self.client_listener, self.admin_listener):
            if server is not None:
                server.close()
        self.learn_no_more()
        self.shared_state.close()
        self.begun_request_files.close()
