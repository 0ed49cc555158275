"""All routing decisions; the settings, events and actions are in flaxstep/routing/interface.py.

Each request gets a score by its worth on arrival. Under a measured overload x (0 to 1), requests scored below
100 * x**3, the cut, are refused. Each other request goes to an idle server among a few random candidates;
if none is idle, to one of the least loaded.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from flaxstep.routing.begun_requests import BegunRequests
from flaxstep.routing.hash_ring import HashRing, mix_bits
from flaxstep.routing.interface import (
    MAY_RUN_ON,
    NEVER_RAN,
    Action,
    Began,
    Cancel,
    Cause,
    Cordon,
    DiscoveryReach,
    DueChanged,
    Effect,
    Event,
    Fail,
    Group,
    Limit,
    ListKind,
    Log,
    Outcome,
    PredecessorEnded,
    PredecessorLease,
    PredecessorSeen,
    Refuse,
    Request,
    Result,
    Send,
    ServerEntry,
    ServerList,
    Serving,
    Settings,
    State,
    Subscribe,
    Timer,
    Uncordon,
    Uploaded,
    Wake,
    Withdrawn,
)
from flaxstep.routing.membership import MembershipLease

UPKEEP_INTERVAL_MS = 50.0  # far below any aim
COUNTS_HALF_LIFE_MS = 5000.0  # for counts of offered requests, keys and attempts per server

# Admission. Overload starts at the START value of a pair and is 1 at the FULL value.
OVERLOAD_START_ERROR_SHARE, OVERLOAD_FULL_ERROR_SHARE = 0.1, 0.4  # of the recent attempts
# A response may take this share of the shortest aim, and this multiple of the fastest mean response time,
# before it counts as overload. A longer queue slows servers down for a long time.
MAX_RESPONSE_SHARE_OF_AIM, MAX_RESPONSE_MULTIPLE_OF_FASTEST = 0.3, 1.7
# Requests in flight, as multiples of the number that the fleet needs in flight when it is busy.
OVERLOAD_START_IN_FLIGHT_MULTIPLE, OVERLOAD_FULL_IN_FLIGHT_MULTIPLE = 0.9, 1.4
# Replaces the full multiple while a queue is new: all requests are then refused when a response takes 0.9 of
# the aim.
NEW_QUEUE_FULL_IN_FLIGHT_MULTIPLE = 2.0
# A queue that bridges a change is tolerated; one that persists serves nobody and fills the servers up.
QUEUE_TOLERANCE_WINDOW_MS = 6000.0
ERROR_WINDOW_MS, ERROR_WINDOW_ATTEMPTS = 4000.0, 33.0  # the error share is averaged over both
PRIOR_GOOD_ATTEMPTS = 4.0  # added to those counted, so that a few chance failures are no overload
RATE_WINDOW_MS, BEST_RATE_DECAY_MS = 2000.0, 20000.0  # of the rate of timely responses
# The mean response time is averaged over this many, or over RATE_WINDOW_MS if that holds more responses.
MEAN_WINDOW_RESPONSES = 60.0
FASTEST_MEAN_DOUBLING_MS = 100000.0  # the fastest mean time rises this slowly, to follow slower work
FAST_BELOW_MULTIPLE = 1.3  # responses are fast below this multiple of the fastest mean time
SLOW_FROM_MULTIPLE = 2.0  # from this multiple on they are so slow that the best rate is out of reach
MAX_GROWTH_FACTOR = 1.5  # on the best rate seen, while almost nothing fails and no servers are missing
# The allowed growth falls as servers go missing, down to half of it at half of this share. From there on a
# grown rate proves nothing.
MAX_MISSING_SERVER_SHARE = 0.2
IN_FLIGHT_WINDOW_MS = 4000.0  # divided by the needed number in flight

# Choice of an endpoint and ejection of outliers.
CANDIDATES = 6  # servers examined to find an idle one
MAX_IDLE_LOAD = 1.15  # a server of usual speed is idle while this node's recent and open attempts weigh less
MAX_MULTIPLE_OF_LEAST_LOAD = 1.1  # of the least loaded candidate, if none is idle
KEY_SPREAD_FACTOR = 2.0  # servers that share a key, per mean server's traffic that the key draws
EJECTION_FAILURE_SHARE = 0.4  # of a server's attempts, in addition to twice the error share of the fleet
RING_POINTS_PER_SERVER = 16  # enough to even out the shares of the servers
BASE_EJECTION_MS = 2000.0  # before a single trial attempt
MAX_EJECTED_SHARE = 0.34  # of the subset: with more failing servers the fault is a common one

# Subsetting: with many nodes, each uses only a part of the fleet.
# With fewer requests in flight per server, a node's own attempts say too little about the whole fleet.
SUBSETTING_BELOW_REQUESTS_PER_SERVER = 0.2
NODES_PER_SUBSET = 6  # with fewer, a node knows more of its servers' load, but their keys are colder
MIN_SUBSET = 8  # servers: enough to tell good ones from bad ones

SLOWNESS_SMOOTHING = 0.15  # weight of one response: work differs more between requests than between servers
STALLED_AFTER_MULTIPLE = 4.0  # of the usual response time: an attempt open for longer marks its server

# Slow start of cold servers.
# Share sent of what a cold server could handle at its age: it has not cached its keys yet as warm ones have.
COLD_LOAD_SHARE = 0.8
# While it responds fast, share sent of the load that would overload it, by the present rate of warm servers.
COLD_SHARE_OF_TIP_MULTIPLE = 0.6
MAX_COLD_OPEN_ATTEMPTS = 2  # of one node at a cold server whose responses each trigger the next attempt
FIRST_REQUESTS_AFTER_UNCORDON = 4.0  # sent at once, by all nodes together

SUBSCRIBE_TOKEN = 1 << 60  # timer token that triggers Subscribe; all other tokens are request ids
SERVER_RESPONDED = frozenset({Result.OK, Result.ERROR, Result.FULL})  # these come from the server itself


@dataclass(slots=True)
class ClassHealth:
    """How reliably a server handles one request class."""

    failure_share: float = 0.0  # moving average
    ejected_until: float = 0.0  # 0 once an attempt has succeeded
    recent_ejections: int = 0  # halved by each success; each one doubles the next ejection


@dataclass(slots=True)
class Endpoint:
    """What this node knows of a server: its entry in the server list and the results of its own attempts.

    Attempts are identified by request id and attempt number.
    """

    entry: ServerEntry
    tokens: float  # slow start: attempts allowed now; a random initial value keeps nodes out of step
    tokens_updated_at: float
    health: list[ClassHealth]  # by request class
    # Attempts that the server works on, with the times at which each was sent and becomes overdue.
    open_attempts: dict[tuple[int, int], tuple[PendingRequest, float, float]] = field(default_factory=dict)
    # Attempts whose request bodies are still being received.
    uploading_attempts: dict[tuple[int, int], PendingRequest] = field(default_factory=dict)
    # Attempts whose responses are being passed on; their requests are no longer pending.
    streaming_attempts: set[tuple[int, int]] = field(default_factory=set)
    recent_attempts: float = 0.0  # sent by this node; decays
    slowness: float = 1.0  # response time relative to the usual one of its class and machine kind
    latest_responded_sent_at: float = 0.0  # send time of the newest attempt that it has responded to
    last_success_at: float = -1e9
    last_attempt_succeeded: bool = False  # lets a cold server receive the next attempt at once

    def has_attempts(self) -> bool:
        """Whether an outcome may still refer to this server."""
        return bool(self.open_attempts or self.uploading_attempts or self.streaming_attempts)

    def take_over_attempts(self, replaced: Endpoint) -> None:
        """Adopt the attempts of the record that this one replaces."""
        self.open_attempts, self.uploading_attempts, self.streaming_attempts = (
            replaced.open_attempts,
            replaced.uploading_attempts,
            replaced.streaming_attempts,
        )

    def find_held_attempts(self, now: float) -> list[tuple[float, float]]:
        """Return when each attempt held by the server was sent and becomes overdue, without lost ones.

        An attempt is lost if it is overdue and the server has responded to one that was sent later: the
        server works, but that response may never come. It indicates neither load nor a hang.
        """
        return [
            (sent, overdue_at)
            for _, sent, overdue_at in self.open_attempts.values()
            if overdue_at >= now or sent >= self.latest_responded_sent_at
        ]


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one key whose class is served in order, one at a time."""

    waiting: list[PendingRequest] = field(default_factory=list)  # unfinished, in order of arrival
    open_attempts: int = 0  # attempts without an outcome, also of requests that are finished
    paused_until: float = 0.0  # set after an attempt that may still be running


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a final response. Open attempts refer to it until their outcomes arrive."""

    request: Request
    received_at: float  # or when its body was complete
    score: float  # compared with the cut; higher scores wait less before a retry
    key_queue: KeyQueue | None = None
    attempts_sent: int = 0
    open_attempts: set[int] = field(default_factory=set)  # numbers of the attempts without an outcome
    # Send time and server of each attempt, by its number, that may have run the request.
    maybe_ran: dict[int, tuple[float, ServerEntry]] = field(default_factory=dict)
    servers_tried: list[int] = field(default_factory=list)
    cancelled_attempts: set[int] = field(default_factory=set)  # whose cancellation has been requested


class Policy:
    """The routing decisions of one node. Random numbers come from the seed.

    Instances share nothing but `begun_requests`, if they are given them: the ids that must not begin again.
    """

    def __init__(self, settings: Settings, seed: int, begun_requests: BegunRequests | None = None) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.begun_requests = begun_requests
        self.endpoints: dict[int, Endpoint] = {}
        self.cordoned: set[int] = set()  # by an operator, whether listed or not
        self.uncordoned_at: dict[int, float] = {}  # for servers that may still be cold after it
        self.untried_after_uncordon: list[int] = []  # uncordoned servers that were sent nothing since
        self.ready_servers: list[int] = []  # ordered by the hashes of their ids, the same at every node
        self.subset_start, self.subset_size = 0, 1  # this node's part of ready_servers
        self.subset_servers: list[int] = []
        self.ring = HashRing()  # of the subset
        # These sets limit the cost of a list change to the entries that changed.
        self.changed_servers: set[int] = set()  # since the fleet was last measured
        self.possibly_cold_servers: set[int] = set()  # ready ones
        self.ready_by_size_and_kind: dict[tuple[float, int], set[int]] = {}
        self.ring_point_counts: dict[tuple[float, int], int] = {}  # of each server of a size and kind
        self.departed_servers: set[int] = set()  # unlisted, kept while an outcome may refer to them
        self.occupied_servers: set[int] = set()  # those with open attempts of this node
        self.pending_requests: dict[int, PendingRequest] = {}
        class_count = len(settings.classes)
        self.worths = [
            cls.worth * weight for weight in (1.0, settings.over_quota_worth) for cls in settings.classes
        ]
        self.usual_response_ms = [cls.aim / 4 for cls in settings.classes]  # learned, by class
        self.shortest_aim_ms = min(cls.aim for cls in settings.classes)
        # Recent requests, indexed like worths: by class within the quotas, then by class beyond them.
        self.offered_requests = [1e-9] * (2 * class_count)
        self.score_bands: list[tuple[float, float]] = [(0.0, 100.0)] * (2 * class_count)  # start, width
        self.quota_used = [0.0] * len(settings.quotas)
        self.key_counts: dict[int, float] = {}  # recent requests by key
        self.key_counts_total = self.recent_attempts_total = 1e-9
        # Decaying counts of attempts, and the share of attempts that got no connection.
        self.failed_attempts = self.counted_attempts = self.unreachable_share = 0.0
        self.error_share = 0.0
        # Open attempts now, on average, and as needed when the fleet is busy.
        self.in_flight_now, self.in_flight_average, self.needed_in_flight = 0, 0.0, 1.0
        self.sent_since_upkeep, self.send_rate_average = 0, 0.0  # attempts, and attempts per ms
        # Timely responses, and ms of traffic seen, up to RATE_WINDOW_MS.
        self.timely_since_upkeep, self.traffic_age_ms = 0, 0.0
        self.timely_rate = self.best_timely_rate = 0.0  # responses per ms
        # The mean time of timely responses, its lowest value, and the number of responses averaged.
        self.mean_response_ms = self.fastest_mean_ms = self.mean_sample_count = 0.0
        self.timely_rate_per_server = self.best_rate_per_server = 0.0  # responses per ms and warm server
        self.overload, self.cut, self.shedding = 0.0, 0.0, False
        # With more nodes, no node sees enough requests to tell a new queue from an old one.
        self.tolerates_new_queues = settings.group_size <= NODES_PER_SUBSET
        self.queue_tolerance = float(self.tolerates_new_queues)  # falls towards 0 while overload lasts
        self.last_upkeep_at = self.counts_halved_at = self.now = 0.0
        self.slowness_by_kind: dict[int, float] = {}  # response time over the usual, by machine kind
        # The number of warm servers usually and now, this node's share of the listed capacity, and the
        # capacity of the strongest and of the mean server.
        self.usual_warm_servers = self.warm_servers = self.listed_capacity_share = self.max_capacity = (
            self.mean_capacity
        ) = 1.0
        self.subscribe_backoff_ms = settings.ask_within / 40
        self.never_ran_results = NEVER_RAN - {Result.FULL} if settings.full_may_have_run else NEVER_RAN
        self.key_queues: dict[int, KeyQueue] = {}  # by key
        self.changed_key_queues: list[KeyQueue] = []  # whose next request may be sent now
        self.lease = MembershipLease(settings)  # limits how long the current list may be used

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event at the clock time `now` and return the actions to carry out, in order."""
        self.now = now
        self.actions: list[Action] = []
        if isinstance(event, Request):
            self.on_request(event)
        elif isinstance(event, Outcome):
            self.on_outcome(event)
        elif isinstance(event, ServerList):
            self.on_list(event)
        elif isinstance(event, DiscoveryReach):
            self.lease.record_reach(now, event.reach, event.since)
        elif isinstance(event, Withdrawn):
            self.remove_request(event.id)
        elif isinstance(event, Uploaded):
            self.on_uploaded(event)
        elif isinstance(event, DueChanged):
            self.on_due_changed(event)
        elif isinstance(event, Began):
            self.on_began(event)
        elif isinstance(event, Cordon):
            self.on_cordon(event.server)
        elif isinstance(event, Uncordon):
            self.on_uncordon(event)
        elif isinstance(event, PredecessorSeen | PredecessorLease | PredecessorEnded | Serving):
            self.on_upgrade(event)
        elif isinstance(event, Timer):
            if event.token == SUBSCRIBE_TOKEN:
                self.actions.append(Subscribe())
            elif (
                pending := self.pending_requests.get(event.token)
            ) is not None and not pending.attempts_sent:
                self.dispatch_request(pending)
        while self.changed_key_queues:
            queue = self.changed_key_queues.pop()
            if queue.waiting and not queue.waiting[0].attempts_sent:
                self.dispatch_request(queue.waiting[0])
        return self.actions

    # Admission: score, cut and first attempt.

    def on_request(self, request: Request) -> None:
        """Score a new request, then refuse it or dispatch its first attempt."""
        if self.now - self.last_upkeep_at >= UPKEEP_INTERVAL_MS:
            self.run_upkeep()
        settings, group, tenant = self.settings, request.cls, request.tenant
        if not 0 <= group < len(settings.classes):
            raise LookupError(f"a request names class {group}, which the settings do not have")
        if self.begun_requests is not None and request.client_id in self.begun_requests:
            self.reject_begun_request(request)
            return
        # A leaky bucket of 1 s per tenant. This node's traffic is taken as typical of all nodes.
        if settings.quotas:
            if not 0 <= tenant < len(settings.quotas):
                raise LookupError(f"a request names tenant {tenant}, which the settings do not have")
            if self.quota_used[tenant] > settings.quotas[tenant] / settings.group_size:
                group += len(settings.classes)
            else:
                self.quota_used[tenant] += 1
        self.offered_requests[group] += 1
        if request.key and settings.warm_keys:
            self.key_counts[request.key] = self.key_counts.get(request.key, 0.0) + 1
            self.key_counts_total += 1
        score = self.score_bands[group][0] + self.score_bands[group][1] * self.random.random()
        if score < self.cut:
            self.actions.append(Refuse(request.id, self.choose_retry_after(score), Cause.OVERLOAD))
            return
        pending = self.pending_requests[request.id] = PendingRequest(request, self.now, score)
        if request.key and settings.classes[request.cls].in_order:
            pending.key_queue = self.key_queues.setdefault(request.key, KeyQueue())
            pending.key_queue.waiting.append(pending)
        self.dispatch_request(pending)

    def run_upkeep(self) -> None:
        """Refresh quotas, decaying counts, score bands, the cut and overdue attempts."""
        elapsed_ms = (
            min(self.now - self.last_upkeep_at, 1000.0) if self.last_upkeep_at else UPKEEP_INTERVAL_MS
        )
        self.last_upkeep_at = self.now
        quota_leak_s = elapsed_ms / 1000 / self.settings.group_size
        used_and_quota = zip(self.quota_used, self.settings.quotas, strict=True)
        self.quota_used = [max(0.0, count - quota * quota_leak_s) for count, quota in used_and_quota]
        if self.now - self.counts_halved_at >= COUNTS_HALF_LIFE_MS:
            self.counts_halved_at = self.now
            self.offered_requests = [offered / 2 for offered in self.offered_requests]
            self.key_counts_total /= 2
            self.key_counts = {key: uses / 2 for key, uses in self.key_counts.items() if uses > 0.5}
            self.recent_attempts_total /= 2
            self.key_queues = {
                key: queue
                for key, queue in self.key_queues.items()
                if queue.waiting or queue.open_attempts or queue.paused_until > self.now
            }
            for endpoint in self.endpoints.values():
                endpoint.recent_attempts /= 2
                endpoint.slowness = (1 + endpoint.slowness) / 2
            self.measure_fleet()
        self.update_score_bands()
        self.update_cut(elapsed_ms)
        # Otherwise an overdue response may just be slow, and a second attempt would add load.
        responses_fast = (
            self.overload == 0 and self.mean_response_ms < FAST_BELOW_MULTIPLE * self.fastest_mean_ms
        )
        if self.settings.may_cancel and responses_fast and self.lease.is_valid(self.now):
            for server_id in list(self.occupied_servers):
                self.cancel_overdue_attempts(self.endpoints[server_id])

    def update_score_bands(self) -> None:
        """Assign each group of requests its band of scores from 0 to 100.

        A group is a class within or beyond its quota. Bands are ordered by worth and as wide as the group's
        share of the offered worth; groups of equal worth share a band.
        """
        worth_and_offered_worth = [
            (worth_of_group, worth_of_group * count)
            for worth_of_group, count in zip(self.worths, self.offered_requests, strict=True)
        ]
        total = sum(offered_worth for _, offered_worth in worth_and_offered_worth) or 1.0
        for group, worth in enumerate(self.worths):
            lower_worth = sum(
                offered_worth
                for worth_of_group, offered_worth in worth_and_offered_worth
                if worth_of_group < worth
            )
            equal_worth = sum(
                offered_worth
                for worth_of_group, offered_worth in worth_and_offered_worth
                if worth_of_group == worth
            )
            self.score_bands[group] = (100.0 * lower_worth / total, 100.0 * equal_worth / total)

    # Overload: how far the error share and the requests in flight exceed their thresholds.

    def update_cut(self, elapsed_ms: float) -> None:
        """Recompute the overload and the score under which requests are refused."""
        # With few requests in flight their number is mostly chance, so the averaging window is longer.
        window_ms = min(
            max(IN_FLIGHT_WINDOW_MS / self.needed_in_flight, 4 * UPKEEP_INTERVAL_MS), 100 * UPKEEP_INTERVAL_MS
        )
        occupied_endpoints = [self.endpoints[server_id] for server_id in self.occupied_servers]
        lost_attempts = sum(
            len(endpoint.open_attempts) - len(endpoint.find_held_attempts(self.now))
            for endpoint in occupied_endpoints
        )
        self.in_flight_average += (self.in_flight_now - lost_attempts - self.in_flight_average) * min(
            1.0, elapsed_ms / window_ms
        )
        self.send_rate_average += (
            self.sent_since_upkeep / max(elapsed_ms, 1.0) - self.send_rate_average
        ) * min(1.0, elapsed_ms / window_ms)
        self.sent_since_upkeep = 0
        # Errors decay with time as well, so that refusing every request does not last for ever.
        kept_share = 1 - min(0.5, elapsed_ms / ERROR_WINDOW_MS)
        self.failed_attempts, self.counted_attempts = (
            self.failed_attempts * kept_share,
            self.counted_attempts * kept_share,
        )
        self.error_share = self.failed_attempts / (self.counted_attempts + PRIOR_GOOD_ATTEMPTS)
        self.update_needed_in_flight(elapsed_ms)
        overload = (self.error_share - OVERLOAD_START_ERROR_SHARE) / (
            OVERLOAD_FULL_ERROR_SHARE - OVERLOAD_START_ERROR_SHARE
        )
        full_multiple = (
            OVERLOAD_FULL_IN_FLIGHT_MULTIPLE
            + (NEW_QUEUE_FULL_IN_FLIGHT_MULTIPLE - OVERLOAD_FULL_IN_FLIGHT_MULTIPLE) * self.queue_tolerance
        )
        # At the full multiple all requests are refused. A higher average adds no information and would
        # prolong the refusals after the overload has ended.
        self.in_flight_average = min(
            self.in_flight_average,
            max(full_multiple * self.needed_in_flight, self.in_flight_now - lost_attempts),
        )
        overload = max(
            overload,
            (self.in_flight_average / self.needed_in_flight - OVERLOAD_START_IN_FLIGHT_MULTIPLE)
            / (full_multiple - OVERLOAD_START_IN_FLIGHT_MULTIPLE),
        )
        self.overload = min(max(overload, 0.0), 1.0)
        self.cut = 100.0 * self.overload**3
        if self.shedding != (self.cut > (1.0 if self.shedding else 25.0)):
            self.shedding = not self.shedding
            state = (
                f"errors {self.error_share:.2f}, "
                f"in flight {self.in_flight_average:.1f} of {self.needed_in_flight:.1f}"
            )
            self.actions.append(
                Log(f"shedding {'on' if self.shedding else 'off'}: x {self.overload:.2f}, {state}")
            )

    def update_needed_in_flight(self, elapsed_ms: float) -> None:
        """Recompute how many requests a busy fleet needs in flight.

        This is the best rate of timely responses times the time that a response may take.
        """
        few_errors = self.error_share < OVERLOAD_START_ERROR_SHARE / 2
        # A new node averages over the traffic that it has seen.
        self.traffic_age_ms = min(self.traffic_age_ms + elapsed_ms, RATE_WINDOW_MS)
        self.timely_rate += (
            (self.timely_since_upkeep / max(elapsed_ms, 1.0) - self.timely_rate)
            * elapsed_ms
            / self.traffic_age_ms
        )
        self.timely_rate_per_server += (
            (
                self.timely_since_upkeep / max(elapsed_ms, 1.0) / self.warm_servers
                - self.timely_rate_per_server
            )
            * elapsed_ms
            / self.traffic_age_ms
        )
        # Slow responses at no more than the best rate mean that other nodes send more than before and that
        # the best rate can't be reached any more. With nothing in flight, no response can show that.
        responses_slow = (
            self.mean_response_ms >= SLOW_FROM_MULTIPLE * self.fastest_mean_ms and self.in_flight_now
        )
        decay_ms = ERROR_WINDOW_MS if responses_slow else BEST_RATE_DECAY_MS
        self.best_timely_rate = max(self.best_timely_rate * (1 - elapsed_ms / decay_ms), self.timely_rate)
        self.best_rate_per_server = max(
            self.best_rate_per_server * (1 - elapsed_ms / decay_ms), self.timely_rate_per_server
        )
        self.timely_since_upkeep = 0
        # Where servers have left or are cold again, the others get more load than ever: allow less growth.
        self.usual_warm_servers += (self.warm_servers - self.usual_warm_servers) * (
            elapsed_ms / BEST_RATE_DECAY_MS if self.traffic_age_ms >= RATE_WINDOW_MS else 1.0
        )
        growth_allowed = min(
            max(0.5, 1.0 - (1.0 - self.warm_servers / self.usual_warm_servers) / MAX_MISSING_SERVER_SHARE),
            1.0,
        )
        if self.mean_sample_count >= MEAN_WINDOW_RESPONSES / 5:
            self.fastest_mean_ms = min(
                (self.fastest_mean_ms or self.mean_response_ms) * (1 + elapsed_ms / FASTEST_MEAN_DOUBLING_MS),
                self.mean_response_ms,
            )
            # Growing traffic is in flight before the responses arrive. Too few responses would reveal slow
            # servers too late. What is in flight beyond the send rate is stuck, not grown traffic, although
            # no response shows that yet.
            responses_fast = (
                self.mean_response_ms < FAST_BELOW_MULTIPLE * self.fastest_mean_ms
                and self.timely_rate * RATE_WINDOW_MS > MEAN_WINDOW_RESPONSES / 2
            )
            if few_errors and responses_fast and growth_allowed > 0.5:
                grown_rate = min(self.in_flight_average / self.fastest_mean_ms, self.send_rate_average)
                self.best_timely_rate = max(self.best_timely_rate, grown_rate)
                self.best_rate_per_server = max(self.best_rate_per_server, grown_rate / self.warm_servers)
        growth_factor = (
            1.0
            + (MAX_GROWTH_FACTOR - 1.0)
            * max(0.0, 1.0 - self.error_share / OVERLOAD_START_ERROR_SHARE)
            * growth_allowed
        )
        # Servers that have left contribute nothing to the best rate.
        best_rate = min(self.best_timely_rate, self.best_rate_per_server * self.warm_servers)
        self.queue_tolerance += (
            (self.overload == 0.0 and self.tolerates_new_queues) - self.queue_tolerance
        ) * min(1.0, elapsed_ms / QUEUE_TOLERANCE_WINDOW_MS)
        # A node that has seen nothing but overload would take slow responses for the fastest possible ones,
        # so the aims of the settings limit them.
        max_queueing_ms = MAX_RESPONSE_SHARE_OF_AIM * self.shortest_aim_ms
        fastest_ms = min(self.fastest_mean_ms, max_queueing_ms)
        allowed_response_ms = (
            fastest_ms
            + (min(max_queueing_ms, MAX_RESPONSE_MULTIPLE_OF_FASTEST * fastest_ms) - fastest_ms)
            * self.queue_tolerance
        )
        self.needed_in_flight = max(
            self.listed_capacity_share, growth_factor * best_rate * allowed_response_ms
        )
        # With few responses so far the estimate is not reliable.
        self.needed_in_flight = (
            max(self.needed_in_flight, 1.0)
            if self.mean_sample_count < MEAN_WINDOW_RESPONSES / 5
            else self.needed_in_flight
        )

    def choose_retry_after(self, score: float) -> float:
        """Return a Retry-After time in ms: longer for lower scores, with jitter to spread the retries."""
        return self.settings.max_retry_after * (1.0 - score / 100.0) * (0.9 + 0.1 * self.random.random())

    # Choice of an endpoint.

    def dispatch_request(self, pending: PendingRequest) -> None:
        """Send the request to a server, queue it behind others of its key, or give it up.

        It is given up if no server can serve it in time.
        """
        request = pending.request
        usual_ms, queue, deadline = (
            self.usual_response_ms[request.cls],
            pending.key_queue,
            self.compute_attempt_deadline(pending),
        )
        # A request too far back in its key's queue is refused at once, not kept until its deadline.
        ahead = queue.waiting.index(pending) if queue else 0
        latest_start = deadline - max((0.5 + ahead) * usual_ms, request.hint, 2 * self.settings.tick)
        can_be_attempted = pending.attempts_sent < self.settings.max_attempts and latest_start > self.now
        if (
            can_be_attempted
            and queue
            and not pending.attempts_sent
            and (ahead or queue.open_attempts or queue.paused_until > self.now)
        ):
            wait_until = (
                latest_start if ahead or queue.open_attempts else min(latest_start, queue.paused_until)
            )
            self.actions.append(Wake(wait_until - self.now, request.id))
            return
        if not can_be_attempted:
            self.reject_request(
                pending,
                Cause.NO_TIME if pending.attempts_sent < self.settings.max_attempts else Cause.ATTEMPTS,
            )
            return
        if not self.lease.is_valid(self.now):
            self.reject_request(pending, Cause.STALE_LIST)
            return
        if (endpoint := self.choose_endpoint(pending)) is None:
            self.reject_request(pending, Cause.NO_ENDPOINT)
            return
        if not self.begin_request(pending):
            self.reject_begun_request(request)
            self.remove_request(request.id)
            return
        if endpoint.entry.id in self.untried_after_uncordon:
            self.untried_after_uncordon.remove(endpoint.entry.id)
        send_within_ms = min(self.compute_window_left(pending), self.lease.compute_send_window(self.now))
        pending.open_attempts.add(pending.attempts_sent)
        pending.maybe_ran[pending.attempts_sent] = (self.now, endpoint.entry)
        pending.servers_tried.append(endpoint.entry.id)
        if request.uploading:
            endpoint.uploading_attempts[(request.id, pending.attempts_sent)] = pending
        else:
            self.add_open_attempt(endpoint, pending, pending.attempts_sent)
        if queue:
            queue.open_attempts += 1
        pending.attempts_sent += 1
        endpoint.recent_attempts += 1
        self.recent_attempts_total += 1
        self.actions.append(Send(request.id, endpoint.entry.id, deadline - self.now, send_within_ms))

    def begin_request(self, pending: PendingRequest) -> bool:
        """Note that a request is sent now; False if one with its id has begun at another process."""
        client_id = pending.request.client_id
        if self.begun_requests is None or not client_id or pending.attempts_sent:
            return True
        return self.begun_requests.begin(client_id)

    def add_open_attempt(self, endpoint: Endpoint, pending: PendingRequest, attempt_number: int) -> None:
        """Count an attempt as work of its server from now on."""
        overdue_at = self.now + STALLED_AFTER_MULTIPLE * self.usual_response_ms[pending.request.cls]
        endpoint.open_attempts[(pending.request.id, attempt_number)] = pending, self.now, overdue_at
        self.occupied_servers.add(endpoint.entry.id)
        self.in_flight_now += 1
        self.sent_since_upkeep += 1

    def compute_attempt_deadline(self, pending: PendingRequest) -> float:
        """Return the clock time at which an attempt times out.

        This is the time when the client gives up, or the aim if late responses have no value.
        """
        request, cls = pending.request, self.settings.classes[pending.request.cls]
        if cls.late_value or request.uploading:
            return request.due
        return min(request.due, pending.received_at + cls.aim)

    def choose_endpoint(self, pending: PendingRequest) -> Endpoint | None:
        """Return the first idle candidate, else one close to the least loaded; None if no server fits."""
        eligible: list[tuple[float, Endpoint]] = []
        examined: set[int] = set()
        mean_recent_attempts = self.recent_attempts_total / self.subset_size
        for server_id in self.candidates(pending.request.key):
            endpoint = self.endpoints[server_id]
            health = endpoint.health[pending.request.cls]
            # Candidates repeat in a small fleet; each is examined once.
            if server_id in examined or server_id in pending.servers_tried:
                continue
            examined.add(server_id)
            held_attempts = endpoint.find_held_attempts(self.now)
            if not (
                self.can_take_attempt(endpoint, health, held_attempts)
                and self.permits_endpoint(pending, endpoint)
            ):
                continue
            own_load = (0.5 * endpoint.recent_attempts / mean_recent_attempts + 4 * len(held_attempts)) / max(
                self.compute_capacity(endpoint), 1e-6
            )
            load = (1 + own_load * self.mean_capacity) * endpoint.slowness * (1 + health.failure_share)
            eligible.append((load, endpoint))
            if load < 1 + MAX_IDLE_LOAD or len(eligible) == CANDIDATES:
                break
        if not eligible:
            return None
        max_load = max(1 + MAX_IDLE_LOAD, MAX_MULTIPLE_OF_LEAST_LOAD * min(load for load, _ in eligible))
        endpoint = next(endpoint for load, endpoint in eligible if load <= max_load)
        if self.compute_cold_share(endpoint) < 1.0:
            endpoint.tokens = max(endpoint.tokens - 1, -1.0)
        return endpoint

    def candidates(self, key: int) -> Iterator[int]:
        """Yield server ids in the order in which to examine them; ids may repeat."""
        # Uncordoned servers get one request each soon. Otherwise that would depend on chance where nodes are
        # few and other servers are nearer.
        if self.untried_after_uncordon:
            listed = (server_id for server_id in self.untried_after_uncordon if server_id in self.endpoints)
            yield from [
                server_id for server_id in listed if self.endpoints[server_id].entry.state is State.READY
            ]
        if key and self.settings.warm_keys and self.ready_servers:
            # Where servers cache keys, the key's places on the ring come first; a hot key has more of them.
            places = 1 + int(
                self.key_counts.get(key, 0.0) / self.key_counts_total * self.subset_size * KEY_SPREAD_FACTOR
            )
            first_place = int(self.random.random() * places)
            yield self.ring.find_endpoint(key, first_place)
            yield self.ring.find_endpoint(key, (first_place + 1) % max(places, 2))
        sampled = [
            self.subset_servers[int(self.random.random() * self.subset_size)]
            for _ in range(CANDIDATES)
            if self.subset_servers
        ]
        # Servers of this node's zone come first, stronger ones with a higher probability. If none fits, the
        # rest of the subset follows, then the rest of the fleet.
        in_other_zone = {
            server_id: self.endpoints[server_id].entry.zone != self.settings.zone for server_id in sampled
        }
        ranked_lower = {
            server_id: self.random.random() > self.compute_capacity(self.endpoints[server_id])
            for server_id in sampled
        }
        yield from sorted(sampled, key=lambda server_id: (in_other_zone[server_id], ranked_lower[server_id]))
        position = self.subset_start + int(self.random.random() * self.subset_size)
        for offset in range(len(self.ready_servers)):
            yield self.ready_servers[(position + offset) % len(self.ready_servers)]

    def compute_capacity(self, endpoint: Endpoint) -> float:
        """Return the capacity by listed size and learned speed of the machine kind; the strongest's is 1."""
        return self.compute_shared_capacity(endpoint.entry.size, endpoint.entry.kind)

    def compute_shared_capacity(self, size: float, kind: int) -> float:
        """Return the capacity that all servers of a size and machine kind have."""
        return size / self.slowness_by_kind.get(kind, 1.0) / self.max_capacity

    def can_take_attempt(
        self, endpoint: Endpoint, health: ClassHealth, held_attempts: list[tuple[float, float]]
    ) -> bool:
        """Whether the server is neither ejected nor stalled nor at its limit for cold servers."""
        # After its ejection a server gets one attempt at a time until one succeeds.
        if health.ejected_until > self.now or (health.ejected_until and held_attempts):
            return False
        # An overdue attempt shows a hang or a pause before any timeout. If it is the only one, the server
        # gets another attempt once that one is overdue twice.
        any_overdue = any(overdue_at < self.now for _, overdue_at in held_attempts)
        if any_overdue and (
            len(held_attempts) > 1 or 2 * held_attempts[0][1] - held_attempts[0][0] > self.now
        ):
            return False
        return (
            self.compute_cold_share(endpoint) >= 1.0
            or self.may_follow_cold_response(endpoint)
            or self.has_cold_token(endpoint)
        )

    def compute_cold_share(self, endpoint: Endpoint) -> float:
        """Return the share of its full load that a server can certainly handle at its age."""
        settings = self.settings
        started = max(endpoint.entry.started, self.uncordoned_at.get(endpoint.entry.id, 0.0))
        age = max(0.0, self.now - started)
        if not started or age >= settings.ramp_time:
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * age / settings.ramp_time

    def may_follow_cold_response(self, endpoint: Endpoint) -> bool:
        """Whether a cold server may get another attempt because the last one succeeded.

        Attempts that wait for a response can't overload it, however slow it is: in any period no more is sent
        than it has completed plus what is open, and with few nodes the tipping budget covers the open ones.
        """
        settings = self.settings
        tip_budget_ms = (
            COLD_SHARE_OF_TIP_MULTIPLE
            * (settings.tip_multiple - 1.0)
            * self.compute_cold_share(endpoint)
            * settings.tip_time
        )
        max_open_attempts = min(
            tip_budget_ms / settings.group_size / max(self.usual_response_ms), MAX_COLD_OPEN_ATTEMPTS
        )
        return endpoint.last_attempt_succeeded and len(endpoint.open_attempts) + 1 <= max_open_attempts

    def has_cold_token(self, endpoint: Endpoint) -> bool:
        """Refill the server's token bucket and return whether it holds a token for one attempt.

        All nodes together could overload a cold server, so each keeps to its share of what a warm server has
        responded to, without bursts. The rate of sent attempts would be wrong: few of them may arrive. Before
        there are responses, the rate is this node's share of one attempt at a time.
        """
        one_at_a_time_rate = 1.0 / self.settings.group_size / max(self.usual_response_ms)
        rate = COLD_LOAD_SHARE * max(self.best_rate_per_server, one_at_a_time_rate)
        # If it responds as fast as the others, it can handle more than is certain for its age.
        if endpoint.slowness < 1.0:
            rate = max(
                rate, COLD_SHARE_OF_TIP_MULTIPLE * self.settings.tip_multiple * self.timely_rate_per_server
            )
        rate *= self.compute_cold_share(endpoint) * len(self.ready_servers) / self.subset_size
        endpoint.tokens = min(endpoint.tokens + rate * (self.now - endpoint.tokens_updated_at), 1.0)
        endpoint.tokens_updated_at = self.now
        return endpoint.tokens >= 1.0

    def permits_endpoint(self, pending: PendingRequest, endpoint: Endpoint) -> bool:
        """Whether the class allows this server, given the servers on which the request may have run."""
        cls = self.settings.classes[pending.request.cls]
        if not pending.maybe_ran or cls.effect is not Effect.KEYED:
            return not pending.maybe_ran or cls.effect is Effect.SAFE
        return self.compute_window_left(pending) > 0 and all(
            (cls.group is not Group.ZONE or entry.zone == endpoint.entry.zone >= 0)
            and (cls.group is not Group.CELL or entry.cell == endpoint.entry.cell >= 0)
            for _, entry in pending.maybe_ran.values()
        )

    def compute_window_left(self, pending: PendingRequest) -> float:
        """Return for how many ms servers still drop a repeat of a keyed request that may have run.

        For all other requests the result is infinite.
        """
        cls = self.settings.classes[pending.request.cls]
        if not pending.maybe_ran or cls.effect is not Effect.KEYED:
            return math.inf
        first_sent_at = min(sent_at for sent_at, _ in pending.maybe_ran.values())
        return first_sent_at + cls.window - self.settings.tick - self.now

    # Outcomes, further attempts and final responses.

    def on_uploaded(self, event: Uploaded) -> None:
        """Start the request's time at the last byte of its body: only now can a server begin its work."""
        pending = self.pending_requests.get(event.id)
        if pending is None:
            return
        pending.request.due, pending.request.uploading, pending.received_at = event.due, False, self.now
        for attempt_number in sorted(pending.open_attempts):
            endpoint = next(
                candidate
                for candidate in self.endpoints.values()
                if (event.id, attempt_number) in candidate.uploading_attempts
            )
            del endpoint.uploading_attempts[event.id, attempt_number]
            pending.maybe_ran[attempt_number] = self.now, endpoint.entry
            self.add_open_attempt(endpoint, pending, attempt_number)
            self.actions.append(
                Limit(event.id, attempt_number, self.compute_attempt_deadline(pending) - self.now)
            )

    def on_due_changed(self, event: DueChanged) -> None:
        """Apply another time at which the client gives up, while the body is received."""
        pending = self.pending_requests.get(event.id)
        if pending is None or not pending.request.uploading:
            return
        pending.request.due = event.due
        left = max(event.due - self.now, 0.0)
        for attempt_number in sorted(pending.open_attempts):
            self.actions.append(Limit(event.id, attempt_number, left))
        if not pending.attempts_sent:  # it waits for others of its key
            self.actions.append(Wake(left, event.id))

    def on_began(self, event: Began) -> None:
        """Count a response that is being passed on as a success: the server has done the work."""
        if event.id in self.pending_requests:
            self.on_outcome(Outcome(event.id, event.server, True, Result.OK, event.attempt, event.elapsed))
            self.endpoints[event.server].streaming_attempts.add((event.id, event.attempt))

    def on_outcome(self, outcome: Outcome) -> None:
        """Record the end of an attempt, then finish its request or dispatch a further attempt."""
        endpoint = self.endpoints.get(outcome.server)
        if endpoint is None:
            raise LookupError(f"an outcome names server {outcome.server}, which no list has named")
        attempt_key = outcome.id, outcome.attempt
        endpoint.streaming_attempts.discard(attempt_key)
        # The attempt ended before the end of its upload was reported.
        if (upload_pending := endpoint.uploading_attempts.pop(attempt_key, None)) is not None:
            self.add_open_attempt(endpoint, upload_pending, outcome.attempt)
        pending, sent_at, _ = endpoint.open_attempts.pop(attempt_key, (None, 0.0, 0.0))
        if not endpoint.open_attempts:
            self.occupied_servers.discard(outcome.server)
        if pending is None:
            return  # a duplicate, or the response is already being passed on to the client
        self.in_flight_now -= 1
        self.record_attempt_end(pending, outcome)
        if outcome.result in SERVER_RESPONDED:
            endpoint.latest_responded_sent_at = max(endpoint.latest_responded_sent_at, sent_at)
        self.learn_from_outcome(endpoint, outcome, pending, sent_at)
        if outcome.over or outcome.id not in self.pending_requests:
            self.remove_request(outcome.id)
        elif (
            outcome.spent
            or outcome.result == Result.TIMEOUT
            or self.random.random() < max(self.overload, self.unreachable_share)
        ):
            # A further attempt would add to the overload, also to that of connection setup.
            self.reject_request(pending, Cause.NOT_REPEATED)
        else:
            self.dispatch_request(pending)

    def cancel_overdue_attempts(self, endpoint: Endpoint) -> None:
        """Cancel attempts that are presumed lost and whose requests may be repeated at another server.

        An attempt is presumed lost once it is overdue twice, or once the server has responded to an attempt
        that was sent after this one became overdue.
        """
        for (request_id, attempt), (pending, sent_at, overdue_at) in endpoint.open_attempts.items():
            presumed_lost = (
                overdue_at < endpoint.latest_responded_sent_at or 2 * overdue_at - sent_at < self.now
            )
            if (
                presumed_lost
                and request_id in self.pending_requests
                and attempt not in pending.cancelled_attempts
                and self.has_other_endpoint(pending)
            ):
                pending.cancelled_attempts.add(attempt)
                self.actions.append(Cancel(request_id, attempt))

    def has_other_endpoint(self, pending: PendingRequest) -> bool:
        """Whether another server can take a further attempt of a request that may have run."""
        cls = pending.request.cls
        if (
            self.settings.classes[cls].effect is Effect.UNSAFE
            or pending.attempts_sent >= self.settings.max_attempts
        ):
            return False
        untried_endpoints = (
            self.endpoints[server_id]
            for server_id in self.ready_servers
            if server_id not in pending.servers_tried
        )
        return any(
            self.permits_endpoint(pending, other)
            and self.can_take_attempt(other, other.health[cls], other.find_held_attempts(self.now))
            for other in untried_endpoints
        )

    def record_attempt_end(self, pending: PendingRequest, outcome: Outcome) -> None:
        """Update what is known of whether the request ran, and release its key's queue."""
        pending.open_attempts.discard(outcome.attempt)
        if outcome.result in self.never_ran_results:
            pending.maybe_ran.pop(outcome.attempt, None)
        if pending.key_queue is not None:
            pending.key_queue.open_attempts -= 1
            if outcome.result in MAY_RUN_ON:
                pending.key_queue.paused_until = self.now + self.settings.key_rest
            self.changed_key_queues.append(pending.key_queue)

    def learn_from_outcome(
        self, endpoint: Endpoint, outcome: Outcome, pending: PendingRequest, sent_at: float
    ) -> None:
        """Update the statistics of the server and of the fleet with an outcome."""
        result, cls = outcome.result, pending.request.cls
        if result in (Result.CANCELLED, Result.NOT_SENT):
            return
        attempt_failed, health = result != Result.OK, endpoint.health[cls]
        self.unreachable_share += 0.1 * ((result == Result.UNREACHABLE) - self.unreachable_share)
        # A failure that puts no load on a server is no overload: a connection that was never made, a single
        # lost response, a failure sooner than the work takes, a client that waits hardly longer than a
        # response takes, or 'full' from a server without a queue, which serves the rest as fast as ever.
        response_lost = result == Result.TIMEOUT and sent_at < endpoint.latest_responded_sent_at
        weight = float(result != Result.UNREACHABLE and not response_lost)
        if result in (Result.ERROR, Result.RESET):
            weight = min(1.0, 0.5 * outcome.elapsed / self.usual_response_ms[cls])
        elif result == Result.FULL and self.now - endpoint.last_success_at < RATE_WINDOW_MS:
            weight = min(
                max(
                    endpoint.slowness - 1.0, self.mean_response_ms / (self.fastest_mean_ms or 1.0) - 1.0, 0.0
                ),
                1.0,
            )
        elif result == Result.TIMEOUT:
            weight *= min(
                max(0.5 * ((pending.request.due - sent_at) / self.usual_response_ms[cls] - 1.0), 0.0), 1.0
            )
        self.counted_attempts += 1.0 - self.counted_attempts / ERROR_WINDOW_ATTEMPTS
        self.failed_attempts += weight * attempt_failed - self.failed_attempts / ERROR_WINDOW_ATTEMPTS
        self.error_share = self.failed_attempts / (self.counted_attempts + PRIOR_GOOD_ATTEMPTS)
        if not attempt_failed:
            endpoint.last_success_at, endpoint.last_attempt_succeeded = self.now, True
            self.usual_response_ms[cls] += (0.02 if self.overload < 0.2 else 0.002) * (
                outcome.elapsed - self.usual_response_ms[cls]
            )
        if not attempt_failed or (result == Result.TIMEOUT and not response_lost):
            # Slowness is relative to the class, then to the machine kind: there are few samples of one server
            # but many of its kind.
            slowness = min(outcome.elapsed / self.usual_response_ms[cls], 8.0)
            kind_slowness = self.slowness_by_kind.get(endpoint.entry.kind, 1.0)
            self.slowness_by_kind[endpoint.entry.kind] = kind_slowness + 0.005 * (slowness - kind_slowness)
            endpoint.slowness += SLOWNESS_SMOOTHING * (slowness / kind_slowness - endpoint.slowness)
        request_class = self.settings.classes[cls]
        if not attempt_failed and (
            request_class.late_value or self.now - pending.received_at <= request_class.aim
        ):
            self.timely_since_upkeep += 1
            self.mean_sample_count = min(
                self.mean_sample_count + 1, max(MEAN_WINDOW_RESPONSES, self.timely_rate * RATE_WINDOW_MS)
            )
            self.mean_response_ms += (outcome.elapsed - self.mean_response_ms) / self.mean_sample_count
        if attempt_failed:
            endpoint.last_attempt_succeeded = False
            self.record_failure(
                endpoint, cls, result, response_lost or (result == Result.TIMEOUT and weight < 0.5)
            )
        else:
            health.failure_share *= 0.7
            health.ejected_until, health.recent_ejections = 0.0, health.recent_ejections // 2

    def record_failure(self, endpoint: Endpoint, cls: int, result: int, weak_evidence: bool) -> None:
        """Count a failure, and eject the server for each class in which it is an outlier."""
        # An error or 'full' may concern one class only; silence concerns all. 'full' means load, but a server
        # that responds nothing else, as before its drain is listed, would attract traffic by being fast.
        # Where 'full' doesn't prove that the request never ran, it costs the request.
        own_class_weight, other_class_weight = (
            (0.3, 0.3) if result not in (Result.ERROR, Result.FULL) else (0.5, 0.1)
        )
        # A single lost response, or one that had too little time, is not silence.
        if weak_evidence or (result == Result.FULL and Result.FULL in self.never_ran_results):
            own_class_weight, other_class_weight = 0.1, 0.03
        for class_index, health in enumerate(endpoint.health):
            health.failure_share += (own_class_weight if class_index == cls else other_class_weight) * (
                1.0 - health.failure_share
            )
            if (
                health.failure_share > EJECTION_FAILURE_SHARE + 2 * self.error_share
                and health.ejected_until <= self.now
            ):
                ejected_servers = sum(
                    self.endpoints[server_id].health[class_index].ejected_until > self.now
                    for server_id in self.subset_servers
                )
                if ejected_servers < MAX_EJECTED_SHARE * self.subset_size:
                    ejection_ms = (
                        BASE_EJECTION_MS
                        * 2 ** min(health.recent_ejections, 4)
                        * (0.75 + 0.5 * self.random.random())
                    )
                    health.ejected_until, health.recent_ejections = (
                        self.now + ejection_ms,
                        health.recent_ejections + 1,
                    )

    def reject_request(self, pending: PendingRequest, cause: Cause) -> None:
        """Give the final response without an open attempt: Refuse if a repeat does no harm, else Fail."""
        retry_after_ms, request_id = self.choose_retry_after(pending.score), pending.request.id
        can_refuse = not pending.maybe_ran or self.repeat_is_harmless(pending.request)
        self.actions.append(
            Refuse(request_id, retry_after_ms, cause) if can_refuse else Fail(request_id, cause)
        )
        self.remove_request(request_id)

    def reject_begun_request(self, request: Request) -> None:
        """Give the final response to a request whose id has begun before, without sending it."""
        refused = self.repeat_is_harmless(request)
        self.actions.append(
            Refuse(request.id, 0.0, Cause.ALREADY_BEGUN) if refused else Fail(request.id, Cause.ALREADY_BEGUN)
        )

    def repeat_is_harmless(self, request: Request) -> bool:
        """Whether the client may send a request again although it may have run."""
        cls = self.settings.classes[request.cls]
        return cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)

    def remove_request(self, request_id: int) -> None:
        """Forget a finished request, cancel its open attempts and release its key's queue."""
        pending = self.pending_requests.pop(request_id, None)
        if pending is not None and self.settings.may_cancel:
            self.actions.extend(
                Cancel(request_id, attempt_number) for attempt_number in sorted(pending.open_attempts)
            )
        if pending is not None and pending.key_queue is not None:
            pending.key_queue.waiting.remove(pending)
            self.changed_key_queues.append(pending.key_queue)

    def find_avoided_servers(self, now: float) -> set[int]:
        """Return the servers that get no requests now: cordoned, or ejected for every class."""
        known_endpoints = self.endpoints.items()
        ejected_servers = {
            server_id
            for server_id, endpoint in known_endpoints
            if all(health.ejected_until > now for health in endpoint.health)
        }
        return ejected_servers | self.cordoned

    # The server list.

    def on_list(self, event: ServerList) -> None:
        """Apply a server list or delta, or schedule the next call if none came."""
        if self.settings.ask_for_list and event.kind in (ListKind.CACHED, ListKind.FAILED):
            # Calls of many nodes would coincide: the first is spread out, later ones back off with jitter.
            self.actions.append(
                Wake(self.subscribe_backoff_ms * (0.2 + 0.8 * self.random.random()), SUBSCRIBE_TOKEN)
            )
            self.subscribe_backoff_ms = min(2 * self.subscribe_backoff_ms, self.settings.ask_within / 4)
        if event.kind is ListKind.FAILED:
            return
        if event.kind is not ListKind.CACHED:
            self.subscribe_backoff_ms = self.settings.ask_within / 20
        if event.kind is not ListKind.DELTA:
            listed = {entry.id for entry in event.servers}
            ready = [
                ready_id
                for ready_id, endpoint in self.endpoints.items()
                if endpoint.entry.state is State.READY
            ]
            for server_id in [ready_id for ready_id in ready if ready_id not in listed]:
                self.apply_entry(replace(self.endpoints[server_id].entry, state=State.GONE))
        for entry in event.servers:
            self.apply_entry(entry)
        self.forget_departed_servers()
        self.measure_fleet()

    def forget_departed_servers(self) -> None:
        """Drop departed servers without attempts, so that changes of the fleet do not use up memory."""
        for server_id in list(self.departed_servers):
            endpoint = self.endpoints.get(server_id)
            if endpoint is not None and endpoint.entry.state is State.GONE:
                if endpoint.has_attempts():
                    continue
                del self.endpoints[server_id]
            self.departed_servers.discard(server_id)

    def measure_fleet(self) -> None:
        """Recompute the fleet's capacity and this node's subset and ring from what has changed."""
        count = len(self.ready_servers)
        # Where each node has few requests in flight, a few nodes share one subset of the fleet: a node knows
        # the load of few servers better, and each server accepts a limited number of connections. Nodes that
        # share a subset place keys alike.
        sparse = self.needed_in_flight < SUBSETTING_BELOW_REQUESTS_PER_SERVER * count
        subset_count = (
            max(1, min(self.settings.group_size // NODES_PER_SUBSET, count // MIN_SUBSET)) if sparse else 1
        )
        subset_index = self.settings.me * subset_count // self.settings.group_size
        subset_start = subset_index * count // subset_count
        subset_size = max(1, (subset_index + 1) * count // subset_count - subset_start)
        has_own_subset = subset_count > 1 or (subset_start, subset_size) != (0, max(1, count))
        reassign_whole_ring = has_own_subset or self.subset_servers is not self.ready_servers
        self.subset_start, self.subset_size = subset_start, subset_size
        self.subset_servers = (
            self.ready_servers[subset_start : subset_start + subset_size]
            if has_own_subset
            else self.ready_servers
        )
        self.measure_warm_servers()
        self.measure_capacity()
        point_counts = {
            size_and_kind: self.count_ring_points(*size_and_kind)
            for size_and_kind in self.ready_by_size_and_kind
        }
        if reassign_whole_ring:
            self.ring.assign(
                {
                    server_id: point_counts[self.get_size_and_kind(server_id)]
                    for server_id in self.subset_servers
                }
            )
        else:
            for size_and_kind, count in point_counts.items():
                if self.ring_point_counts.get(size_and_kind) != count:
                    self.ring.update(dict.fromkeys(self.ready_by_size_and_kind[size_and_kind], count))
            for server_id in self.changed_servers:
                server_ready = server_id in self.endpoints and self.is_ready(server_id)
                self.ring.update(
                    {server_id: point_counts[self.get_size_and_kind(server_id)] if server_ready else 0}
                )
        self.ring_point_counts = point_counts
        self.changed_servers.clear()

    def measure_warm_servers(self) -> None:
        """Count the ready servers, cold ones by the share of load that they can handle."""
        cold_shares = {
            server_id: self.compute_cold_share(self.endpoints[server_id])
            for server_id in self.possibly_cold_servers
        }
        self.possibly_cold_servers = {server_id for server_id, share in cold_shares.items() if share < 1.0}
        self.warm_servers = max(
            len(self.ready_servers) - sum(1.0 - share for share in cold_shares.values()), 1.0
        )

    def measure_capacity(self) -> None:
        """Recompute the capacities of the ready servers, once per listed size and machine kind."""
        count = max(1, len(self.ready_servers))
        strongest_capacity = max(
            (self.compute_shared_capacity(*size_and_kind) for size_and_kind in self.ready_by_size_and_kind),
            default=1.0,
        )
        self.max_capacity *= strongest_capacity or 1.0  # 0 if the list gives no sizes
        total_capacity = sum(
            self.compute_shared_capacity(*size_and_kind) * len(server_ids)
            for size_and_kind, server_ids in self.ready_by_size_and_kind.items()
        )
        self.mean_capacity = total_capacity / count
        # A server of size 1 serves one request at a time.
        mean_size = (
            sum(size * len(server_ids) for (size, _), server_ids in self.ready_by_size_and_kind.items())
            / count
        )
        self.listed_capacity_share = (
            (mean_size if 0.5 <= mean_size <= 8 else 1.0) * self.warm_servers / self.settings.group_size
        )

    def count_ring_points(self, size: float, kind: int) -> int:
        """Return how many points on the ring each server of a size and machine kind has."""
        return int(RING_POINTS_PER_SERVER * self.compute_shared_capacity(size, kind)) + 1

    def get_size_and_kind(self, server_id: int) -> tuple[float, int]:
        """Return the listed size and machine kind: servers with the same pair have the same capacity."""
        entry = self.endpoints[server_id].entry
        return entry.size, entry.kind

    def is_ready(self, server_id: int) -> bool:
        """Whether the server is listed as ready and not cordoned."""
        return self.endpoints[server_id].entry.state is State.READY and server_id not in self.cordoned

    def add_ready_server(self, server_id: int) -> None:
        """Add a server to the ready ones."""
        insort(self.ready_servers, server_id, key=mix_bits)
        self.ready_by_size_and_kind.setdefault(self.get_size_and_kind(server_id), set()).add(server_id)
        self.possibly_cold_servers.add(server_id)
        self.changed_servers.add(server_id)

    def remove_ready_server(self, entry: ServerEntry) -> None:
        """Remove a server from the ready ones; `entry` is the entry with which it was added."""
        del self.ready_servers[bisect_left(self.ready_servers, mix_bits(entry.id), key=mix_bits)]
        size_and_kind = entry.size, entry.kind
        self.ready_by_size_and_kind[size_and_kind].discard(entry.id)
        if not self.ready_by_size_and_kind[size_and_kind]:
            del self.ready_by_size_and_kind[size_and_kind]
        self.possibly_cold_servers.discard(entry.id)
        self.changed_servers.add(entry.id)

    def apply_entry(self, entry: ServerEntry) -> None:
        """Apply one entry of a server list."""
        known = self.endpoints.get(entry.id)
        if known is not None and known.entry == entry:
            return  # as for most entries of a whole list
        # What was learned about a server does not hold after its restart.
        if known is None or known.entry.started != entry.started:
            health = [ClassHealth() for _ in self.usual_response_ms]
            self.endpoints[entry.id] = Endpoint(entry, self.random.random(), self.now, health)
            if known is not None:
                self.endpoints[entry.id].take_over_attempts(known)
        previous_entry = None if known is None else known.entry
        self.endpoints[entry.id].entry = entry
        if entry.state is State.GONE:
            self.departed_servers.add(entry.id)
        if entry.id in self.cordoned:
            return
        if previous_entry is not None and previous_entry.state is State.READY:
            self.remove_ready_server(previous_entry)
        if entry.state is State.READY:
            self.add_ready_server(entry.id)

    # Upgrades: the process that served before this one.

    def on_upgrade(self, event: PredecessorSeen | PredecessorLease | PredecessorEnded | Serving) -> None:
        """Apply to the lease what the predecessor knows, or may know."""
        if isinstance(event, PredecessorLease):
            self.lease.continue_from(event.state)
        elif isinstance(event, PredecessorEnded):
            self.lease.record_predecessor_end(self.now, event.complete)
        elif isinstance(event, PredecessorSeen):
            self.lease.record_predecessor()
        else:
            self.lease.record_serving(self.now)

    # Servers that operators cordon and uncordon.

    def on_cordon(self, server_id: int) -> None:
        """Send nothing more to a server until it is uncordoned."""
        endpoint = self.endpoints.get(server_id)
        if endpoint is not None and self.is_ready(server_id):
            self.remove_ready_server(endpoint.entry)
        self.cordoned.add(server_id)
        self.untried_after_uncordon = [
            other_id for other_id in self.untried_after_uncordon if other_id != server_id
        ]
        self.measure_fleet()

    def on_uncordon(self, event: Uncordon) -> None:
        """Let a server serve again, as a cold one.

        Its first token is granted at once with a probability that lets all nodes together send it
        FIRST_REQUESTS_AFTER_UNCORDON; a node that has the token sends the next suitable request there.
        """
        server_id = event.server
        warm_if_back_before = self.now - self.settings.ramp_time
        self.uncordoned_at = {
            other_id: back_at
            for other_id, back_at in self.uncordoned_at.items()
            if back_at > warm_if_back_before
        } | {server_id: event.at}
        was_out = server_id in self.cordoned
        self.cordoned.discard(server_id)
        self.untried_after_uncordon = [
            other_id for other_id in self.untried_after_uncordon if other_id != server_id
        ] + [server_id]
        endpoint = self.endpoints.get(server_id)
        if endpoint is not None:
            health = [ClassHealth() for _ in self.usual_response_ms]
            gets_first_request = (
                self.random.random() < FIRST_REQUESTS_AFTER_UNCORDON / self.settings.group_size
            )
            fresh = Endpoint(
                endpoint.entry, 1.0 if gets_first_request else self.random.random(), self.now, health
            )
            fresh.take_over_attempts(endpoint)
            self.endpoints[server_id] = fresh
            if was_out and endpoint.entry.state is State.READY:
                self.add_ready_server(server_id)
            if self.is_ready(server_id):
                self.possibly_cold_servers.add(server_id)  # also if it was not cordoned here
        self.measure_fleet()
