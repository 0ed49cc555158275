"""Every decision of the balancer. Its types, events and actions are in flaxstep/routing/interface.py.

A request is scored by worth on arrival. Under measured overload x those scored below 100 * x**3 are refused;
the rest go to a random idle-looking server of a small draw; what counts as idle rises with the load.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from flaxstep.routing.hash_ring import HashRing, mix
from flaxstep.routing.interface import (
    MAY_RUN_ON,
    NEVER_RAN,
    Action,
    Began,
    Cancel,
    Cause,
    Cordon,
    DiscoveryReach,
    Effect,
    Event,
    Fail,
    Group,
    Limit,
    ListKind,
    Log,
    Outcome,
    Refuse,
    Request,
    Result,
    Send,
    ServerEntry,
    ServerList,
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

UPKEEP_INTERVAL_MS = 50.0  # ms between refreshes of shares and overload; far below any aim
COUNTS_HALF_LIFE_MS = 5000.0  # ms after which counts of offered work and keys are halved
OVERLOAD_START_ERROR_SHARE, OVERLOAD_FULL_ERROR_SHARE = (
    0.1,
    0.4,
)  # share of failed attempts where overload begins, and where it is 1
MAX_RESPONSE_SHARE_OF_AIM, MAX_RESPONSE_MULTIPLE_OF_FASTEST = (
    0.3,
    1.7,
)  # answers may take that part of the shortest wanted time, or so many times the
# quickest, before they are overload: what waits beyond slows servers down for long
OVERLOAD_START_IN_FLIGHT_MULTIPLE, OVERLOAD_FULL_IN_FLIGHT_MULTIPLE = (
    0.9,
    1.4,
)  # overload begins and is 1 at these multiples of a fleet's need,
NEW_QUEUE_FULL_IN_FLIGHT_MULTIPLE = (
    2.0  # and at this one while it is new: then all is refused at 0.9 of the wanted time
)
QUEUE_TOLERANCE_WINDOW_MS = (
    6000.0  # ms: a queue bridges a change, but one that stands serves nothing, and fills servers up
)
ERROR_WINDOW_MS, ERROR_WINDOW_ATTEMPTS = (
    4000.0,
    33.0,
)  # the error share looks back over so many ms and so many attempts
PRIOR_GOOD_ATTEMPTS = (
    4.0  # attempts taken as good beside those seen: a few that fail by chance are no overload
)
RATE_WINDOW_MS, BEST_RATE_DECAY_MS = (
    2000.0,
    20000.0,
)  # ms to average the rate of timely answers, and to forget its best
MEAN_WINDOW_RESPONSES = 60.0  # their mean time reaches back over this many, or over RATE_TIME if that is more
FASTEST_MEAN_DOUBLING_MS = (
    100000.0  # ms in which the quickest mean time would double: it can follow slower work
)
FAST_BELOW_MULTIPLE = 1.3  # answers are quick while their mean time is under this multiple of the quickest
SLOW_FROM_MULTIPLE = 2.0  # and so slow from this multiple on that the best is not to be had any more
MAX_GROWTH_FACTOR = (
    1.5  # how far over the best seen may be tried, while next to nothing fails and no servers lack
)
MAX_MISSING_SERVER_SHARE = (
    0.2  # the part of the servers without which half of that is tried, and growth proves nothing
)
IN_FLIGHT_WINDOW_MS = 4000.0  # ms to average in-flight over, divided by the need
CANDIDATES = 6  # servers looked at for an idle one
MAX_IDLE_LOAD = (
    1.15  # a server of usual pace counts as idle while what it had and holds of ours weighs under this
)
MAX_MULTIPLE_OF_LEAST_LOAD = 1.1  # where none does, under this multiple of the least of the draw
KEY_SPREAD_FACTOR = 2.0  # servers that share a key, for each mean server's worth of traffic that it draws
EJECTION_FAILURE_SHARE = 0.4  # recent failures of a server, over twice those of all, above which it rests
RING_POINTS_PER_SERVER = 16  # places of a server on the key ring: evens out the shares
BASE_EJECTION_MS = 2000.0  # ms a suspect rests before one trial
MAX_EJECTED_SHARE = 0.34  # never rest more servers than this part of our stretch: then the trouble is shared
SUBSETTING_BELOW_REQUESTS_PER_SERVER = (
    0.2  # requests a server below which a node's own hold tells too little of the whole fleet
)
NODES_PER_SUBSET = (
    6  # nodes that then share a stretch: fewer know more of its servers, but its keys are colder
)
MIN_SUBSET = 8  # servers in a stretch at least: enough to tell good from bad
SLOWNESS_SMOOTHING = (
    0.15  # weight of one answer in a server's pace: work differs more from request to request
)
STALLED_AFTER_MULTIPLE = (
    4.0  # an attempt open for this multiple of the usual time marks its server as stalled
)
COLD_LOAD_SHARE = (
    0.8  # of what a cold server could do by its age, what we send: peers' keys are warm, its own not
)
COLD_SHARE_OF_TIP_MULTIPLE = (
    0.6  # and while it is quick, of what would tip it, by what its warm peers answer now
)
MAX_COLD_OPEN_ATTEMPTS = (
    2  # attempts that a node may have out at a cold server that answers: each asks for the next
)
FIRST_REQUESTS_AFTER_UNCORDON = (
    4.0  # requests that a server gets at once when it is called back, from all nodes together
)
SUBSCRIBE_TOKEN = 1 << 60  # token of the timer that asks for the list; the others' are ids of held requests
SERVER_RESPONDED = frozenset({Result.OK, Result.ERROR, Result.FULL})  # the server itself has spoken


@dataclass(slots=True)
class ClassHealth:
    """How a server treats one class."""

    failure_share: float = 0.0  # recent share of failures
    ejected_until: float = 0.0  # not before then; 0: no suspect
    recent_ejections: int = 0  # rests lately


@dataclass(slots=True)
class Endpoint:
    """What this node knows of a server: the list's line and what its own attempts showed."""

    entry: ServerEntry
    tokens: float  # while cold: attempts it may get; a random start keeps nodes out of step
    tokens_updated_at: float
    health: list[ClassHealth]  # by class
    open_attempts: dict[tuple[int, int], tuple[PendingRequest, float, float]] = field(
        default_factory=dict
    )  # sent, overdue after
    uploading_attempts: dict[tuple[int, int], PendingRequest] = field(
        default_factory=dict
    )  # attempts whose bodies still come
    streaming_attempts: set[tuple[int, int]] = field(
        default_factory=set
    )  # whose answers are passed on as they come
    recent_attempts: float = 0.0  # our recent attempts, decayed
    slowness: float = 1.0  # its answers' time over the usual for their class and its kind
    latest_answered_sent_at: float = 0.0  # when the latest of the attempts that it has answered was sent
    last_success_at: float = -1e9  # when it last served one
    last_attempt_succeeded: bool = False  # its latest attempt was served: what it answers may be sent again

    def has_attempts(self) -> bool:
        """Whether an outcome may still name it."""
        return bool(self.open_attempts or self.uploading_attempts or self.streaming_attempts)

    def take_over_attempts(self, replaced: Endpoint) -> None:
        """The attempts that are out at it before it is known anew."""
        self.open_attempts, self.uploading_attempts, self.streaming_attempts = (
            replaced.open_attempts,
            replaced.uploading_attempts,
            replaced.streaming_attempts,
        )

    def find_held_attempts(self, now: float) -> list[tuple[float, float]]:
        """When each attempt that it holds was sent and is overdue; without those that it has lost.

        An attempt is lost if it is overdue and one sent after it was answered: the server is at work, but
        that answer may never come. It tells neither of load nor of a hang.
        """
        return [
            (sent, overdue_at)
            for _, sent, overdue_at in self.open_attempts.values()
            if overdue_at >= now or sent >= self.latest_answered_sent_at
        ]


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one key that take turns, and what keeps the next of them waiting."""

    waiting: list[PendingRequest] = field(default_factory=list)  # unfinished ones in order of arrival
    open_attempts: int = 0  # attempts without an outcome, those of finished requests included
    paused_until: float = 0.0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed an answer; its attempts keep it until their outcomes."""

    request: Request
    received_at: float
    score: float
    key_queue: KeyQueue | None = None
    attempts_sent: int = 0
    open_attempts: set[int] = field(default_factory=set)  # numbers of its attempts without an outcome
    maybe_ran: dict[int, tuple[float, ServerEntry]] = field(default_factory=dict)  # sends that may have run
    servers_tried: list[int] = field(default_factory=list)  # servers tried
    cancelled_attempts: set[int] = field(default_factory=set)  # attempts called back


class Policy:
    """One node's decisions. Shares nothing with other instances; random numbers come from the seed."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.endpoints: dict[int, Endpoint] = {}
        self.cordoned: set[int] = set()  # out by hand, whether listed or not
        self.uncordoned_at: dict[int, float] = {}  # when servers that were out came back, until they are warm
        self.untried_after_uncordon: list[int] = []  # of these, who has not been sent anything yet
        self.ready_servers: list[int] = []  # may serve; in the order of their hashes, the same at every node
        self.subset_start, self.subset_size = 0, 1  # our stretch of the fleet
        self.subset_servers: list[int] = []  # its servers
        self.ring = HashRing()  # places of its servers
        # What a change of the list touches, so that it costs what changed and not the whole fleet.
        self.changed_servers: set[int] = set()  # servers since the fleet was measured
        self.possibly_cold_servers: set[int] = set()  # ready ones that may still be cold
        self.ready_by_size_and_kind: dict[
            tuple[float, int], set[int]
        ] = {}  # ready ones by listed size and kind
        self.ring_point_counts: dict[tuple[float, int], int] = {}  # on the ring, of each of them
        self.departed_servers: set[int] = (
            set()
        )  # not listed any more, kept while an outcome may still name them
        self.occupied_servers: set[int] = set()  # those that hold attempts of ours
        self.pending_requests: dict[int, PendingRequest] = {}
        class_count = len(settings.classes)
        self.worths = [
            cls.worth * weight for weight in (1.0, settings.over_quota_worth) for cls in settings.classes
        ]
        self.usual_response_ms = [cls.aim / 4 for cls in settings.classes]  # learned answer time by class
        self.shortest_aim_ms = min(cls.aim for cls in settings.classes)
        self.offered_requests = [1e-9] * (
            2 * class_count
        )  # recent requests, like worths: by class, then by class beyond quota
        self.score_bands: list[tuple[float, float]] = [(0.0, 100.0)] * (2 * class_count)
        self.quota_used = [0.0] * len(settings.quotas)
        self.key_counts: dict[int, float] = {}
        self.key_counts_total = self.recent_attempts_total = (
            1e-9  # recent requests with a key, recent attempts
        )
        self.failed_attempts = self.counted_attempts = self.unreachable_share = (
            0.0  # recent attempts, decayed; share without a connection
        )
        self.error_share = 0.0  # their share that failed
        self.in_flight_now, self.in_flight_average, self.needed_in_flight = (
            0,
            0.0,
            1.0,
        )  # open attempts: now, averaged, when busy
        self.sent_since_upkeep, self.send_rate_average = (
            0,
            0.0,
        )  # attempts since upkeep; a ms, averaged like those in flight
        self.timely_since_upkeep, self.traffic_age_ms = (
            0,
            0.0,
        )  # timely answers since upkeep; ms of traffic seen, up to RATE_TIME
        self.timely_rate = self.best_timely_rate = 0.0  # timely answers a ms: now and at best
        self.mean_response_ms = self.fastest_mean_ms = self.mean_sample_count = (
            0.0  # their time on average over so many, and at best
        )
        self.timely_rate_per_server = self.best_rate_per_server = (
            0.0  # timely answers a ms and warm server: now and at best
        )
        self.overload, self.cut, self.shedding = 0.0, 0.0, False
        self.tolerates_new_queues = (
            settings.group_size <= NODES_PER_SUBSET
        )  # of many, none sees enough to tell a new queue from an old
        self.queue_tolerance = float(self.tolerates_new_queues)  # towards 0 while overload lasts
        self.last_upkeep_at = self.counts_halved_at = self.now = 0.0
        self.slowness_by_kind: dict[int, float] = {}  # answer time over the usual, by kind of machine
        self.usual_warm_servers = self.warm_servers = self.listed_capacity_share = self.max_capacity = (
            self.mean_capacity
        ) = 1.0
        self.subscribe_backoff_ms = settings.ask_within / 40
        self.never_ran_results = NEVER_RAN - {Result.FULL} if settings.full_may_have_run else NEVER_RAN
        self.key_queues: dict[int, KeyQueue] = {}  # by key
        self.changed_key_queues: list[KeyQueue] = []  # where the next may have its turn
        self.lease = MembershipLease(settings)  # for how long the list at hand may be routed by

    def handle(self, now: float, event: Event) -> list[Action]:
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
        elif isinstance(event, Began):
            self.on_began(event)
        elif isinstance(event, Cordon):
            self.on_cordon(event.server)
        elif isinstance(event, Uncordon):
            self.on_uncordon(event)
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

    # Requests in: score, cut, first attempt.

    def on_request(self, request: Request) -> None:
        if self.now - self.last_upkeep_at >= UPKEEP_INTERVAL_MS:
            self.run_upkeep()
        settings, group, tenant = self.settings, request.cls, request.tenant
        if not 0 <= group < len(settings.classes):
            raise LookupError(f"a request names class {group}, which the settings do not have")
        if settings.quotas:  # a bucket 1 s deep that leaks the quota; our traffic stands for all nodes'
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
        responses_fast = (
            self.overload == 0 and self.mean_response_ms < FAST_BELOW_MULTIPLE * self.fastest_mean_ms
        )  # else the answer may be slow, and a repeat load
        if self.settings.may_cancel and responses_fast and self.lease.is_valid(self.now):
            for server_id in list(self.occupied_servers):
                self.cancel_overdue_attempts(self.endpoints[server_id])

    def update_score_bands(self) -> None:
        """Scores: groups in order of worth, as wide as their share of offered worth; equals share a band."""
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

    # Overload: how far errors and requests in flight are past their thresholds.

    def update_cut(self, elapsed_ms: float) -> None:
        # Of few requests held most is chance: then it looks at a longer time.
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
        kept_share = 1 - min(0.5, elapsed_ms / ERROR_WINDOW_MS)  # so that a full stop is not for ever
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
        # There all is refused. What is averaged beyond tells no more, and would keep it so after its end.
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
        """What a busy fleet needs in flight: its best rate of timely answers times what they may take."""
        few_errors = self.error_share < OVERLOAD_START_ERROR_SHARE / 2
        self.traffic_age_ms = min(
            self.traffic_age_ms + elapsed_ms, RATE_WINDOW_MS
        )  # a young node has no more to average over
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
        # Slow answers though no more is sent than at best: other nodes send more than they did, it is gone.
        # While nothing is out, no answer tells of that.
        responses_slow = (
            self.mean_response_ms >= SLOW_FROM_MULTIPLE * self.fastest_mean_ms and self.in_flight_now
        )
        decay_ms = ERROR_WINDOW_MS if responses_slow else BEST_RATE_DECAY_MS
        self.best_timely_rate = max(self.best_timely_rate * (1 - elapsed_ms / decay_ms), self.timely_rate)
        self.best_rate_per_server = max(
            self.best_rate_per_server * (1 - elapsed_ms / decay_ms), self.timely_rate_per_server
        )
        self.timely_since_upkeep = 0
        # Where servers have left or come back cold, the others get more than ever: there is less to try.
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
            # Growing traffic is in flight before it is answered; few answers would show slowness too late.
            # What is in flight beyond what is sent has not grown: it is stuck, and no answer tells of it yet.
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
        best_rate = min(
            self.best_timely_rate, self.best_rate_per_server * self.warm_servers
        )  # servers that have left carry no more
        self.queue_tolerance += (
            (self.overload == 0.0 and self.tolerates_new_queues) - self.queue_tolerance
        ) * min(1.0, elapsed_ms / QUEUE_TOLERANCE_WINDOW_MS)
        # A node that has only seen a jam takes slow answers for the quickest there are; the settings know.
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
        self.needed_in_flight = (
            max(self.needed_in_flight, 1.0)
            if self.mean_sample_count < MEAN_WINDOW_RESPONSES / 5
            else self.needed_in_flight
        )  # little seen yet

    def choose_retry_after(self, score: float) -> float:
        """The lower the score the longer the wait; jitter keeps retries from coming due together."""
        return self.settings.max_retry_after * (1.0 - score / 100.0) * (0.9 + 0.1 * self.random.random())

    # Picking a server.

    def dispatch_request(self, pending: PendingRequest) -> None:
        """Send the request to a server, hold it for its turn, or end it if none can serve it in time."""
        request = pending.request
        usual_ms, queue, deadline = (
            self.usual_response_ms[request.cls],
            pending.key_queue,
            self.compute_attempt_deadline(pending),
        )
        # A line that can't be served in time is refused at its end, not held until its deadline.
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

    def add_open_attempt(self, endpoint: Endpoint, pending: PendingRequest, attempt_number: int) -> None:
        """From now on an attempt is work for its server."""
        overdue_at = self.now + STALLED_AFTER_MULTIPLE * self.usual_response_ms[pending.request.cls]
        endpoint.open_attempts[(pending.request.id, attempt_number)] = pending, self.now, overdue_at
        self.occupied_servers.add(endpoint.entry.id)
        self.in_flight_now += 1
        self.sent_since_upkeep += 1

    def compute_attempt_deadline(self, pending: PendingRequest) -> float:
        """How long an attempt may take. After the aim an answer may be worth nothing: then no longer."""
        request, cls = pending.request, self.settings.classes[pending.request.cls]
        if cls.late_value or request.uploading:
            return request.due
        return min(request.due, pending.received_at + cls.aim)

    def choose_endpoint(self, pending: PendingRequest) -> Endpoint | None:
        """A random idle-looking server of a small draw; where none is, one that is about as light as any."""
        eligible: list[tuple[float, Endpoint]] = []
        examined: set[int] = set()
        mean_recent_attempts = self.recent_attempts_total / self.subset_size
        for server_id in self.candidates(pending.request.key):
            endpoint = self.endpoints[server_id]
            health = endpoint.health[pending.request.cls]
            if (
                server_id in examined or server_id in pending.servers_tried
            ):  # two draws mean two servers, also in a small fleet
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
        """Server ids in the order to look at them."""
        if (
            self.untried_after_uncordon
        ):  # one request each, soon: few nodes and near servers would leave it to chance
            listed = (server_id for server_id in self.untried_after_uncordon if server_id in self.endpoints)
            yield from [
                server_id for server_id in listed if self.endpoints[server_id].entry.state is State.READY
            ]
        if key and self.settings.warm_keys and self.ready_servers:
            # Where servers remember keys, the key's own places come first; one that draws much has more.
            places = 1 + int(
                self.key_counts.get(key, 0.0) / self.key_counts_total * self.subset_size * KEY_SPREAD_FACTOR
            )
            first_place = int(self.random.random() * places)
            yield self.ring.place(key, first_place)
            yield self.ring.place(key, (first_place + 1) % max(places, 2))
        sampled = [
            self.subset_servers[int(self.random.random() * self.subset_size)]
            for _ in range(CANDIDATES)
            if self.subset_servers
        ]
        # Our zone's come first, of them likelier the stronger. If none fits: the stretch, then the fleet.
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
        """What a server can do by listed size and by the learned pace of its kind; the strongest: 1."""
        return self.compute_shared_capacity(endpoint.entry.size, endpoint.entry.kind)

    def compute_shared_capacity(self, size: float, kind: int) -> float:
        return size / self.slowness_by_kind.get(kind, 1.0) / self.max_capacity

    def can_take_attempt(
        self, endpoint: Endpoint, health: ClassHealth, held_attempts: list[tuple[float, float]]
    ) -> bool:
        if health.ejected_until > self.now or (health.ejected_until and held_attempts):
            return False  # a suspect rests, then gets one attempt at a time until it proves itself
        any_overdue = any(overdue_at < self.now for _, overdue_at in held_attempts)
        if any_overdue and (
            len(held_attempts) > 1 or 2 * held_attempts[0][1] - held_attempts[0][0] > self.now
        ):
            return False  # hung or pausing, seen before any time-out; a lone one is tried once more, later
        return (
            self.compute_cold_share(endpoint) >= 1.0
            or self.may_follow_cold_response(endpoint)
            or self.has_cold_token(endpoint)
        )

    def compute_cold_share(self, endpoint: Endpoint) -> float:
        """What share of its work a server can surely do by its age."""
        settings = self.settings
        started = max(endpoint.entry.started, self.uncordoned_at.get(endpoint.entry.id, 0.0))
        age = max(0.0, self.now - started)
        if not started or age >= settings.ramp_time:
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * age / settings.ramp_time

    def may_follow_cold_response(self, endpoint: Endpoint) -> bool:
        """Whether a cold server may get another because it has answered the last.

        What waits for answers can't tip it, however slow it is: in any stretch no more is sent than it has
        done and what is out, for which the budget has room as long as the nodes are few.
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
        # All nodes together overdrive a cold server: each keeps to its share of what a warm peer answered
        # (little of what is sent may arrive), without a burst; at first to its part of one at a time.
        one_at_a_time_rate = 1.0 / self.settings.group_size / max(self.usual_response_ms)
        rate = COLD_LOAD_SHARE * max(self.best_rate_per_server, one_at_a_time_rate)
        if endpoint.slowness < 1.0:  # it answers as quickly as any: it can do more than is sure
            rate = max(
                rate, COLD_SHARE_OF_TIP_MULTIPLE * self.settings.tip_multiple * self.timely_rate_per_server
            )
        rate *= self.compute_cold_share(endpoint) * len(self.ready_servers) / self.subset_size
        endpoint.tokens = min(endpoint.tokens + rate * (self.now - endpoint.tokens_updated_at), 1.0)
        endpoint.tokens_updated_at = self.now
        return endpoint.tokens >= 1.0

    def permits_endpoint(self, pending: PendingRequest, endpoint: Endpoint) -> bool:
        """Whether the class lets the request go to this server, given where it may have run already."""
        cls = self.settings.classes[pending.request.cls]
        if not pending.maybe_ran or cls.effect is not Effect.KEYED:
            return not pending.maybe_ran or cls.effect is Effect.SAFE
        return self.compute_window_left(pending) > 0 and all(
            (cls.group is not Group.ZONE or entry.zone == endpoint.entry.zone >= 0)
            and (cls.group is not Group.CELL or entry.cell == endpoint.entry.cell >= 0)
            for _, entry in pending.maybe_ran.values()
        )

    def compute_window_left(self, pending: PendingRequest) -> float:
        """ms in which servers drop a repeat of a keyed request that may have run; for all others: no end."""
        cls = self.settings.classes[pending.request.cls]
        if not pending.maybe_ran or cls.effect is not Effect.KEYED:
            return math.inf
        first_sent_at = min(sent_at for sent_at, _ in pending.maybe_ran.values())
        return first_sent_at + cls.window - self.settings.tick - self.now

    # Outcomes, further attempts and final answers.

    def on_uploaded(self, event: Uploaded) -> None:
        """The time of a request runs from the last byte of its body, and only now can a server begin."""
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

    def on_began(self, event: Began) -> None:
        """What is passed on as it comes is as good as served: its server has done the work."""
        if event.id in self.pending_requests:
            self.on_outcome(Outcome(event.id, event.server, True, Result.OK, event.attempt, event.elapsed))
            self.endpoints[event.server].streaming_attempts.add((event.id, event.attempt))

    def on_outcome(self, outcome: Outcome) -> None:
        endpoint = self.endpoints.get(outcome.server)
        if endpoint is None:
            raise LookupError(f"an outcome names server {outcome.server}, which no list has named")
        attempt_key = outcome.id, outcome.attempt
        endpoint.streaming_attempts.discard(attempt_key)
        if (
            upload_pending := endpoint.uploading_attempts.pop(attempt_key, None)
        ) is not None:  # told of its end before its work
            self.add_open_attempt(endpoint, upload_pending, outcome.attempt)
        pending, sent_at, _ = endpoint.open_attempts.pop(attempt_key, (None, 0.0, 0.0))
        if not endpoint.open_attempts:
            self.occupied_servers.discard(outcome.server)
        if pending is None:
            return  # told twice, or its answer was the client's already
        self.in_flight_now -= 1
        self.record_attempt_end(pending, outcome)
        if outcome.result in SERVER_RESPONDED:
            endpoint.latest_answered_sent_at = max(endpoint.latest_answered_sent_at, sent_at)
        self.learn_from_outcome(endpoint, outcome, pending, sent_at)
        if outcome.over or outcome.id not in self.pending_requests:
            self.remove_request(outcome.id)
        elif (
            outcome.spent
            or outcome.result == Result.TIMEOUT
            or self.random.random() < max(self.overload, self.unreachable_share)
        ):
            self.reject_request(
                pending, Cause.NOT_REPEATED
            )  # resending feeds a jam, also of connections being made
        else:
            self.dispatch_request(pending)

    def cancel_overdue_attempts(self, endpoint: Endpoint) -> None:
        """Where a repeat does no harm, stop waiting for answers that may never come, and ask another server.

        They are overdue twice, or the server has answered what was sent after they were overdue.
        """
        for (request_id, attempt), (pending, sent_at, overdue_at) in endpoint.open_attempts.items():
            presumed_lost = (
                overdue_at < endpoint.latest_answered_sent_at or 2 * overdue_at - sent_at < self.now
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
        """What an attempt's end tells of whether its request ran, and whose turn is next."""
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
        """What an outcome tells of its server and of the fleet."""
        result, cls = outcome.result, pending.request.cls
        if result in (Result.CANCELLED, Result.NOT_SENT):
            return
        attempt_failed, health = result != Result.OK, endpoint.health[cls]
        self.unreachable_share += 0.1 * ((result == Result.UNREACHABLE) - self.unreachable_share)
        # What loads no server is no overload: no connection made, an answer that was lost alone, an end
        # sooner than the work takes, a client that would wait for little longer than answers take, or 'full'
        # from a server that has no queue: whom it does serve it serves as quickly as ever.
        response_lost = result == Result.TIMEOUT and sent_at < endpoint.latest_answered_sent_at
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
            # How slow against its class, then its kind: few samples of one server, many of its kind.
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
        """A failure: the server rests, for this class or for all, if it stands out."""
        # It may fail one class only; silence tells of all. 'full' is load, but one that says nothing else, as
        # before its drain is listed, would draw traffic by being quick; as no proof it costs the request.
        own_class_weight, other_class_weight = (
            (0.3, 0.3) if result not in (Result.ERROR, Result.FULL) else (0.5, 0.1)
        )
        if weak_evidence or (result == Result.FULL and Result.FULL in self.never_ran_results):
            own_class_weight, other_class_weight = (
                0.1,
                0.03,
            )  # nor is one lost answer silence, or one that had too little time
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
        """The final answer without an open attempt: refused where that does no harm, else failed."""
        cls = self.settings.classes[pending.request.cls]
        repeat_is_harmless = cls.effect is Effect.SAFE or (
            cls.effect is Effect.KEYED and cls.group is Group.ALL
        )
        retry_after_ms, request_id = self.choose_retry_after(pending.score), pending.request.id
        can_refuse = repeat_is_harmless or not pending.maybe_ran
        self.actions.append(
            Refuse(request_id, retry_after_ms, cause) if can_refuse else Fail(request_id, cause)
        )
        self.remove_request(request_id)

    def remove_request(self, request_id: int) -> None:
        pending = self.pending_requests.pop(request_id, None)
        if pending is not None and self.settings.may_cancel:
            self.actions.extend(
                Cancel(request_id, attempt_number) for attempt_number in sorted(pending.open_attempts)
            )
        if pending is not None and pending.key_queue is not None:
            pending.key_queue.waiting.remove(pending)
            self.changed_key_queues.append(pending.key_queue)

    def find_avoided_servers(self, now: float) -> set[int]:
        """The servers that get nothing now: out by hand, or resting for every class."""
        known_endpoints = self.endpoints.items()
        ejected_servers = {
            server_id
            for server_id, endpoint in known_endpoints
            if all(health.ejected_until > now for health in endpoint.health)
        }
        return ejected_servers | self.cordoned

    # The server list.

    def on_list(self, event: ServerList) -> None:
        if self.settings.ask_for_list and event.kind in (ListKind.CACHED, ListKind.FAILED):
            # Calls of many nodes would meet: the first is spread out, later ones back off with jitter.
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
        """Where servers come and go all day, those that are gone must not be kept for ever."""
        for server_id in list(self.departed_servers):
            endpoint = self.endpoints.get(server_id)
            if endpoint is not None and endpoint.entry.state is State.GONE:
                if endpoint.has_attempts():
                    continue
                del self.endpoints[server_id]
            self.departed_servers.discard(server_id)

    def measure_fleet(self) -> None:
        """What the fleet can do, and our part of it, from what has changed."""
        count = len(self.ready_servers)
        # Groups of a few nodes share a stretch of the fleet where each holds little: of few servers a node
        # knows what they hold, and they accept only so many connections. A group places keys alike.
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
        """How many servers there are, cold ones by what they can do."""
        cold_shares = {
            server_id: self.compute_cold_share(self.endpoints[server_id])
            for server_id in self.possibly_cold_servers
        }
        self.possibly_cold_servers = {server_id for server_id, share in cold_shares.items() if share < 1.0}
        self.warm_servers = max(
            len(self.ready_servers) - sum(1.0 - share for share in cold_shares.values()), 1.0
        )

    def measure_capacity(self) -> None:
        """Of those that are ready, by what they have in common."""
        count = max(1, len(self.ready_servers))
        strongest_capacity = max(
            (self.compute_shared_capacity(*size_and_kind) for size_and_kind in self.ready_by_size_and_kind),
            default=1.0,
        )
        self.max_capacity *= strongest_capacity or 1.0  # a list may give no sizes
        total_capacity = sum(
            self.compute_shared_capacity(*size_and_kind) * len(server_ids)
            for size_and_kind, server_ids in self.ready_by_size_and_kind.items()
        )
        self.mean_capacity = total_capacity / count
        mean_size = (
            sum(size * len(server_ids) for (size, _), server_ids in self.ready_by_size_and_kind.items())
            / count
        )  # 1 serves one at once
        self.listed_capacity_share = (
            (mean_size if 0.5 <= mean_size <= 8 else 1.0) * self.warm_servers / self.settings.group_size
        )

    def count_ring_points(self, size: float, kind: int) -> int:
        return int(RING_POINTS_PER_SERVER * self.compute_shared_capacity(size, kind)) + 1

    def get_size_and_kind(self, server_id: int) -> tuple[float, int]:
        """What it has in common with others of its strength."""
        entry = self.endpoints[server_id].entry
        return entry.size, entry.kind

    def is_ready(self, server_id: int) -> bool:
        return self.endpoints[server_id].entry.state is State.READY and server_id not in self.cordoned

    def add_ready_server(self, server_id: int) -> None:
        """A server may serve from now on."""
        insort(self.ready_servers, server_id, key=mix)
        self.ready_by_size_and_kind.setdefault(self.get_size_and_kind(server_id), set()).add(server_id)
        self.possibly_cold_servers.add(server_id)
        self.changed_servers.add(server_id)

    def remove_ready_server(self, entry: ServerEntry) -> None:
        """A server may not serve any more, which was listed so."""
        del self.ready_servers[bisect_left(self.ready_servers, mix(entry.id), key=mix)]
        size_and_kind = entry.size, entry.kind
        self.ready_by_size_and_kind[size_and_kind].discard(entry.id)
        if not self.ready_by_size_and_kind[size_and_kind]:
            del self.ready_by_size_and_kind[size_and_kind]
        self.possibly_cold_servers.discard(entry.id)
        self.changed_servers.add(entry.id)

    def apply_entry(self, entry: ServerEntry) -> None:
        """Take over one line of the list."""
        known = self.endpoints.get(entry.id)
        if known is not None and known.entry == entry:
            return  # as in most lines of a whole list
        if known is None or known.entry.started != entry.started:  # new, or restarted: what we knew is void
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

    # Servers that operators take out and call back.

    def on_cordon(self, server_id: int) -> None:
        endpoint = self.endpoints.get(server_id)
        if endpoint is not None and self.is_ready(server_id):
            self.remove_ready_server(endpoint.entry)
        self.cordoned.add(server_id)
        self.untried_after_uncordon = [
            other_id for other_id in self.untried_after_uncordon if other_id != server_id
        ]
        self.measure_fleet()

    def on_uncordon(self, event: Uncordon) -> None:
        """The server comes back cold; where its token is there, the next request that may is its first."""
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
                self.possibly_cold_servers.add(server_id)  # cold again, also where it was never out
        self.measure_fleet()
