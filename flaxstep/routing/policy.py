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

UPKEEP = 50.0  # ms between refreshes of shares and overload; far below any aim
SHARE_HALF = 5000.0  # ms after which counts of offered work and keys are halved
ERRORS_FROM, ERRORS_FULL = 0.1, 0.4  # share of failed attempts where overload begins, and where it is 1
QUEUE, QUEUE_MOST = 0.3, 1.7  # answers may take that part of the shortest wanted time, or so many times the
# quickest, before they are overload: what waits beyond slows servers down for long
IN_FLIGHT_FROM, IN_FLIGHT_FULL = 0.9, 1.4  # overload begins and is 1 at these multiples of a fleet's need,
IN_FLIGHT_BRIEF = 2.0  # and at this one while it is new: then all is refused at 0.9 of the wanted time
PATIENCE = 6000.0  # ms: a queue bridges a change, but one that stands serves nothing, and fills servers up
ERROR_TIME, REACH = 4000.0, 33.0  # the error share looks back over so many ms and so many attempts
PRIOR = 4.0  # attempts taken as good beside those seen: a few that fail by chance are no overload
RATE_TIME, BEST_TIME = 2000.0, 20000.0  # ms to average the rate of timely answers, and to forget its best
SAMPLE = 60.0  # their mean time reaches back over this many, or over RATE_TIME if that is more
LEAST_TIME = 100000.0  # ms in which the quickest mean time would double: it can follow slower work
QUICK = 1.3  # answers are quick while their mean time is under this multiple of the quickest
SLOW = 2.0  # and so slow from this multiple on that the best is not to be had any more
MARGIN = 1.5  # how far over the best seen may be tried, while next to nothing fails and no servers lack
THIN = 0.2  # the part of the servers without which half of that is tried, and growth proves nothing
SETTLE = 4000.0  # ms to average in-flight over, divided by the need
DRAW = 6  # servers looked at for an idle one
IDLE = 1.15  # a server of usual pace counts as idle while what it had and holds of ours weighs under this
BUSY = 1.1  # where none does, under this multiple of the least of the draw
SPREAD = 2.0  # servers that share a key, for each mean server's worth of traffic that it draws
SUSPECT_AT = 0.4  # recent failures of a server, over twice those of all, above which it rests
RING_POINTS = 16  # places of a server on the key ring: evens out the shares
REST = 2000.0  # ms a suspect rests before one trial
MAX_RESTING = 0.34  # never rest more servers than this part of our stretch: then the trouble is shared
SPARSE = 0.2  # requests a server below which a node's own hold tells too little of the whole fleet
NODES = 6  # nodes that then share a stretch: fewer know more of its servers, but its keys are colder
FEW = 8  # servers in a stretch at least: enough to tell good from bad
SLOW_GAIN = 0.15  # weight of one answer in a server's pace: work differs more from request to request
STALL = 4.0  # an attempt open for this multiple of the usual time marks its server as stalled
COLD_SHARE = 0.8  # of what a cold server could do by its age, what we send: peers' keys are warm, its own not
COLD_QUICK = 0.6  # and while it is quick, of what would tip it, by what its warm peers answer now
COLD_OPEN = 2  # attempts that a node may have out at a cold server that answers: each asks for the next
FIRST = 4.0  # requests that a server gets at once when it is called back, from all nodes together
SUBSCRIBE = 1 << 60  # token of the timer that asks for the list; the others' are ids of held requests
ANSWERED = frozenset({Result.OK, Result.ERROR, Result.FULL})  # the server itself has spoken


@dataclass(slots=True)
class Health:
    """How a server treats one class."""

    fails: float = 0.0  # recent share of failures
    rest_until: float = 0.0  # not before then; 0: no suspect
    strikes: int = 0  # rests lately


@dataclass(slots=True)
class Server:
    """What this node knows of a server: the list's line and what its own attempts showed."""

    entry: ServerEntry
    tokens: float  # while cold: attempts it may get; a random start keeps nodes out of step
    tokens_at: float
    health: list[Health]  # by class
    open: dict[tuple[int, int], tuple[Job, float, float]] = field(default_factory=dict)  # sent, overdue after
    uploads: dict[tuple[int, int], Job] = field(default_factory=dict)  # attempts whose bodies still come
    begun: set[tuple[int, int]] = field(default_factory=set)  # whose answers are passed on as they come
    recent: float = 0.0  # our recent attempts, decayed
    slow: float = 1.0  # its answers' time over the usual for their class and its kind
    reached: float = 0.0  # when the latest of the attempts that it has answered was sent
    served: float = -1e9  # when it last served one
    proven: bool = False  # its latest attempt was served: what it answers may be sent again

    def busy(self) -> bool:
        """Whether an outcome may still name it."""
        return bool(self.open or self.uploads or self.begun)

    def take_over(self, old: Server) -> None:
        """The attempts that are out at it before it is known anew."""
        self.open, self.uploads, self.begun = old.open, old.uploads, old.begun

    def held(self, now: float) -> list[tuple[float, float]]:
        """When each attempt that it holds was sent and is overdue; without those that it has lost.

        An attempt is lost if it is overdue and one sent after it was answered: the server is at work, but
        that answer may never come. It tells neither of load nor of a hang.
        """
        return [(sent, late) for _, sent, late in self.open.values() if late >= now or sent >= self.reached]


@dataclass(slots=True, eq=False)
class Turn:
    """The requests of one key that take turns, and what keeps the next of them waiting."""

    line: list[Job] = field(default_factory=list)  # unfinished ones in order of arrival
    out: int = 0  # attempts without an outcome, those of finished requests included
    rest_until: float = 0.0


@dataclass(slots=True, eq=False)
class Job:
    """A request that is owed an answer; its attempts keep it until their outcomes."""

    request: Request
    since: float
    score: float
    turn: Turn | None = None
    tries: int = 0
    out: set[int] = field(default_factory=set)  # numbers of its attempts without an outcome
    maybe_ran: dict[int, tuple[float, ServerEntry]] = field(default_factory=dict)  # sends that may have run
    used: list[int] = field(default_factory=list)  # servers tried
    called: set[int] = field(default_factory=set)  # attempts called back


class Policy:
    """One node's decisions. Shares nothing with other instances; random numbers come from the seed."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.servers: dict[int, Server] = {}
        self.cordoned: set[int] = set()  # out by hand, whether listed or not
        self.returned: dict[int, float] = {}  # when servers that were out came back, until they are warm
        self.untried: list[int] = []  # of these, who has not been sent anything yet
        self.ready: list[int] = []  # may serve; in the order of their hashes, the same at every node
        self.start, self.span = 0, 1  # our stretch of the fleet
        self.ours: list[int] = []  # its servers
        self.ring = HashRing()  # places of its servers
        # What a change of the list touches, so that it costs what changed and not the whole fleet.
        self.touched: set[int] = set()  # servers since the fleet was measured
        self.starting: set[int] = set()  # ready ones that may still be cold
        self.alike: dict[tuple[float, int], set[int]] = {}  # ready ones by listed size and kind
        self.points: dict[tuple[float, int], int] = {}  # on the ring, of each of them
        self.gone: set[int] = set()  # not listed any more, kept while an outcome may still name them
        self.occupied: set[int] = set()  # those that hold attempts of ours
        self.jobs: dict[int, Job] = {}
        n = len(settings.classes)
        self.worths = [c.worth * w for w in (1.0, settings.over_quota_worth) for c in settings.classes]
        self.usual = [c.aim / 4 for c in settings.classes]  # learned answer time by class
        self.wanted = min(c.aim for c in settings.classes)
        self.offered = [1e-9] * (2 * n)  # recent requests, like worths: by class, then by class beyond quota
        self.bands: list[tuple[float, float]] = [(0.0, 100.0)] * (2 * n)
        self.quota_used = [0.0] * len(settings.quotas)
        self.key_counts: dict[int, float] = {}
        self.keys_total = self.total_recent = 1e-9  # recent requests with a key, recent attempts
        self.failed = self.seen = self.no_link = 0.0  # recent attempts, decayed; share without a connection
        self.errors = 0.0  # their share that failed
        self.flying, self.in_flight, self.need = 0, 0.0, 1.0  # open attempts: now, averaged, when busy
        self.sent, self.sending = 0, 0.0  # attempts since upkeep; a ms, averaged like those in flight
        self.met, self.age = 0, 0.0  # timely answers since upkeep; ms of traffic seen, up to RATE_TIME
        self.rate = self.best_rate = 0.0  # timely answers a ms: now and at best
        self.mean = self.least = self.answers = 0.0  # their time on average over so many, and at best
        self.pace = self.carried = 0.0  # timely answers a ms and warm server: now and at best
        self.x, self.cut, self.shedding = 0.0, 0.0, False
        self.brief = settings.group_size <= NODES  # of many, none sees enough to tell a new queue from an old
        self.patience = float(self.brief)  # towards 0 while overload lasts
        self.upkeep_at = self.halved_at = self.now = 0.0
        self.kinds: dict[int, float] = {}  # answer time over the usual, by kind of machine
        self.full = self.warm = self.sized = self.strongest = self.mean_strength = 1.0
        self.ask_backoff = settings.ask_within / 40
        self.never_ran = NEVER_RAN - {Result.FULL} if settings.full_may_have_run else NEVER_RAN
        self.turns: dict[int, Turn] = {}  # by key
        self.moved: list[Turn] = []  # where the next may have its turn
        self.lease = MembershipLease(settings)  # for how long the list at hand may be routed by

    def handle(self, now: float, event: Event) -> list[Action]:
        self.now = now
        self.out: list[Action] = []
        if isinstance(event, Request):
            self.on_request(event)
        elif isinstance(event, Outcome):
            self.on_outcome(event)
        elif isinstance(event, ServerList):
            self.on_list(event)
        elif isinstance(event, DiscoveryReach):
            self.lease.note(now, event.reach, event.since)
        elif isinstance(event, Withdrawn):
            self.finish(event.id)
        elif isinstance(event, Uploaded):
            self.on_uploaded(event)
        elif isinstance(event, Began):
            self.on_began(event)
        elif isinstance(event, Cordon):
            self.on_cordon(event.server)
        elif isinstance(event, Uncordon):
            self.on_uncordon(event)
        elif isinstance(event, Timer):
            if event.token == SUBSCRIBE:
                self.out.append(Subscribe())
            elif (held := self.jobs.get(event.token)) is not None and not held.tries:
                self.attempt(held)
        while self.moved:
            turn = self.moved.pop()
            if turn.line and not turn.line[0].tries:
                self.attempt(turn.line[0])
        return self.out

    # Requests in: score, cut, first attempt.

    def on_request(self, request: Request) -> None:
        if self.now - self.upkeep_at >= UPKEEP:
            self.upkeep()
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
        self.offered[group] += 1
        if request.key and settings.warm_keys:
            self.key_counts[request.key] = self.key_counts.get(request.key, 0.0) + 1
            self.keys_total += 1
        score = self.bands[group][0] + self.bands[group][1] * self.random.random()
        if score < self.cut:
            self.out.append(Refuse(request.id, self.refuse_wait(score), Cause.OVERLOAD))
            return
        job = self.jobs[request.id] = Job(request, self.now, score)
        if request.key and settings.classes[request.cls].in_order:
            job.turn = self.turns.setdefault(request.key, Turn())
            job.turn.line.append(job)
        self.attempt(job)

    def upkeep(self) -> None:
        passed = min(self.now - self.upkeep_at, 1000.0) if self.upkeep_at else UPKEEP
        self.upkeep_at = self.now
        leak = passed / 1000 / self.settings.group_size
        used = zip(self.quota_used, self.settings.quotas, strict=True)
        self.quota_used = [max(0.0, count - quota * leak) for count, quota in used]
        if self.now - self.halved_at >= SHARE_HALF:
            self.halved_at = self.now
            self.offered = [x / 2 for x in self.offered]
            self.keys_total /= 2
            self.key_counts = {k: c / 2 for k, c in self.key_counts.items() if c > 0.5}
            self.total_recent /= 2
            self.turns = {k: t for k, t in self.turns.items() if t.line or t.out or t.rest_until > self.now}
            for server in self.servers.values():
                server.recent /= 2
                server.slow = (1 + server.slow) / 2
            self.measure_fleet()
        self.set_bands()
        self.set_cut(passed)
        quick = (
            self.x == 0 and self.mean < QUICK * self.least
        )  # else the answer may be slow, and a repeat load
        if self.settings.may_cancel and quick and self.lease.valid(self.now):
            for server_id in list(self.occupied):
                self.call_back(self.servers[server_id])

    def set_bands(self) -> None:
        """Scores: groups in order of worth, as wide as their share of offered worth; equals share a band."""
        offered = [(w, w * count) for w, count in zip(self.worths, self.offered, strict=True)]
        total = sum(value for _, value in offered) or 1.0
        for i, worth in enumerate(self.worths):
            low = sum(value for w, value in offered if w < worth)
            same = sum(value for w, value in offered if w == worth)
            self.bands[i] = (100.0 * low / total, 100.0 * same / total)

    # Overload: how far errors and requests in flight are past their thresholds.

    def set_cut(self, passed: float) -> None:
        # Of few requests held most is chance: then it looks at a longer time.
        settle = min(max(SETTLE / self.need, 4 * UPKEEP), 100 * UPKEEP)
        occupied = [self.servers[i] for i in self.occupied]
        lost = sum(len(server.open) - len(server.held(self.now)) for server in occupied)
        self.in_flight += (self.flying - lost - self.in_flight) * min(1.0, passed / settle)
        self.sending += (self.sent / max(passed, 1.0) - self.sending) * min(1.0, passed / settle)
        self.sent = 0
        keep = 1 - min(0.5, passed / ERROR_TIME)  # so that a full stop is not for ever
        self.failed, self.seen = self.failed * keep, self.seen * keep
        self.errors = self.failed / (self.seen + PRIOR)
        self.learn_need(passed)
        x = (self.errors - ERRORS_FROM) / (ERRORS_FULL - ERRORS_FROM)
        full = IN_FLIGHT_FULL + (IN_FLIGHT_BRIEF - IN_FLIGHT_FULL) * self.patience
        # There all is refused. What is averaged beyond tells no more, and would keep it so after its end.
        self.in_flight = min(self.in_flight, max(full * self.need, self.flying - lost))
        x = max(x, (self.in_flight / self.need - IN_FLIGHT_FROM) / (full - IN_FLIGHT_FROM))
        self.x = min(max(x, 0.0), 1.0)
        self.cut = 100.0 * self.x**3
        if self.shedding != (self.cut > (1.0 if self.shedding else 25.0)):
            self.shedding = not self.shedding
            state = f"errors {self.errors:.2f}, in flight {self.in_flight:.1f} of {self.need:.1f}"
            self.out.append(Log(f"shedding {'on' if self.shedding else 'off'}: x {self.x:.2f}, {state}"))

    def learn_need(self, passed: float) -> None:
        """What a busy fleet needs in flight: its best rate of timely answers times what they may take."""
        calm = self.errors < ERRORS_FROM / 2
        self.age = min(self.age + passed, RATE_TIME)  # a young node has no more to average over
        self.rate += (self.met / max(passed, 1.0) - self.rate) * passed / self.age
        self.pace += (self.met / max(passed, 1.0) / self.warm - self.pace) * passed / self.age
        # Slow answers though no more is sent than at best: other nodes send more than they did, it is gone.
        # While nothing is out, no answer tells of that.
        slow = self.mean >= SLOW * self.least and self.flying
        forget = ERROR_TIME if slow else BEST_TIME
        self.best_rate = max(self.best_rate * (1 - passed / forget), self.rate)
        self.carried = max(self.carried * (1 - passed / forget), self.pace)
        self.met = 0
        # Where servers have left or come back cold, the others get more than ever: there is less to try.
        self.full += (self.warm - self.full) * (passed / BEST_TIME if self.age >= RATE_TIME else 1.0)
        slack = min(max(0.5, 1.0 - (1.0 - self.warm / self.full) / THIN), 1.0)
        if self.answers >= SAMPLE / 5:
            self.least = min((self.least or self.mean) * (1 + passed / LEAST_TIME), self.mean)
            # Growing traffic is in flight before it is answered; few answers would show slowness too late.
            # What is in flight beyond what is sent has not grown: it is stuck, and no answer tells of it yet.
            quick = self.mean < QUICK * self.least and self.rate * RATE_TIME > SAMPLE / 2
            if calm and quick and slack > 0.5:
                grown = min(self.in_flight / self.least, self.sending)
                self.best_rate = max(self.best_rate, grown)
                self.carried = max(self.carried, grown / self.warm)
        margin = 1.0 + (MARGIN - 1.0) * max(0.0, 1.0 - self.errors / ERRORS_FROM) * slack
        best = min(self.best_rate, self.carried * self.warm)  # servers that have left carry no more
        self.patience += ((self.x == 0.0 and self.brief) - self.patience) * min(1.0, passed / PATIENCE)
        # A node that has only seen a jam takes slow answers for the quickest there are; the settings know.
        most = QUEUE * self.wanted
        least = min(self.least, most)
        may_take = least + (min(most, QUEUE_MOST * least) - least) * self.patience
        self.need = max(self.sized, margin * best * may_take)
        self.need = max(self.need, 1.0) if self.answers < SAMPLE / 5 else self.need  # little seen yet

    def refuse_wait(self, score: float) -> float:
        """The lower the score the longer the wait; jitter keeps retries from coming due together."""
        return self.settings.max_retry_after * (1.0 - score / 100.0) * (0.9 + 0.1 * self.random.random())

    # Picking a server.

    def attempt(self, job: Job) -> None:
        """Send the request to a server, hold it for its turn, or end it if none can serve it in time."""
        request = job.request
        usual, turn, end = self.usual[request.cls], job.turn, self.end_of(job)
        # A line that can't be served in time is refused at its end, not held until its deadline.
        ahead = turn.line.index(job) if turn else 0
        latest = end - max((0.5 + ahead) * usual, request.hint, 2 * self.settings.tick)
        timely = job.tries < self.settings.max_attempts and latest > self.now
        if timely and turn and not job.tries and (ahead or turn.out or turn.rest_until > self.now):
            until = latest if ahead or turn.out else min(latest, turn.rest_until)
            self.out.append(Wake(until - self.now, request.id))
            return
        if not timely:
            self.end(job, Cause.NO_TIME if job.tries < self.settings.max_attempts else Cause.ATTEMPTS)
            return
        if not self.lease.valid(self.now):
            self.end(job, Cause.STALE_LIST)
            return
        if (server := self.pick(job)) is None:
            self.end(job, Cause.NO_ENDPOINT)
            return
        if server.entry.id in self.untried:
            self.untried.remove(server.entry.id)
        within = min(self.window_left(job), self.lease.send_within(self.now))
        job.out.add(job.tries)
        job.maybe_ran[job.tries] = (self.now, server.entry)
        job.used.append(server.entry.id)
        if request.uploading:
            server.uploads[(request.id, job.tries)] = job
        else:
            self.load(server, job, job.tries)
        if turn:
            turn.out += 1
        job.tries += 1
        server.recent += 1
        self.total_recent += 1
        self.out.append(Send(request.id, server.entry.id, end - self.now, within))

    def load(self, server: Server, job: Job, number: int) -> None:
        """From now on an attempt is work for its server."""
        late = self.now + STALL * self.usual[job.request.cls]
        server.open[(job.request.id, number)] = job, self.now, late
        self.occupied.add(server.entry.id)
        self.flying += 1
        self.sent += 1

    def end_of(self, job: Job) -> float:
        """How long an attempt may take. After the aim an answer may be worth nothing: then no longer."""
        request, cls = job.request, self.settings.classes[job.request.cls]
        if cls.late_value or request.uploading:
            return request.due
        return min(request.due, job.since + cls.aim)

    def pick(self, job: Job) -> Server | None:
        """A random idle-looking server of a small draw; where none is, one that is about as light as any."""
        found: list[tuple[float, Server]] = []
        seen: set[int] = set()
        mean = self.total_recent / self.span
        for server_id in self.draw(job.request.key):
            server = self.servers[server_id]
            health = server.health[job.request.cls]
            if (
                server_id in seen or server_id in job.used
            ):  # two draws mean two servers, also in a small fleet
                continue
            seen.add(server_id)
            held = server.held(self.now)
            if not (self.usable(server, health, held) and self.allowed(job, server)):
                continue
            ours = (0.5 * server.recent / mean + 4 * len(held)) / max(self.strength(server), 1e-6)
            load = (1 + ours * self.mean_strength) * server.slow * (1 + health.fails)
            found.append((load, server))
            if load < 1 + IDLE or len(found) == DRAW:
                break
        if not found:
            return None
        few = max(1 + IDLE, BUSY * min(load for load, _ in found))
        server = next(server for load, server in found if load <= few)
        if self.cold_share(server) < 1.0:
            server.tokens = max(server.tokens - 1, -1.0)
        return server

    def draw(self, key: int) -> Iterator[int]:
        """Server ids in the order to look at them."""
        if self.untried:  # one request each, soon: few nodes and near servers would leave it to chance
            known = (i for i in self.untried if i in self.servers)
            yield from [i for i in known if self.servers[i].entry.state is State.READY]
        if key and self.settings.warm_keys and self.ready:
            # Where servers remember keys, the key's own places come first; one that draws much has more.
            places = 1 + int(self.key_counts.get(key, 0.0) / self.keys_total * self.span * SPREAD)
            first = int(self.random.random() * places)
            yield self.ring.place(key, first)
            yield self.ring.place(key, (first + 1) % max(places, 2))
        drawn = [self.ours[int(self.random.random() * self.span)] for _ in range(DRAW) if self.ours]
        # Our zone's come first, of them likelier the stronger. If none fits: the stretch, then the fleet.
        far = {i: self.servers[i].entry.zone != self.settings.zone for i in drawn}
        chance = {i: self.random.random() > self.strength(self.servers[i]) for i in drawn}
        yield from sorted(drawn, key=lambda i: (far[i], chance[i]))
        start = self.start + int(self.random.random() * self.span)
        for i in range(len(self.ready)):
            yield self.ready[(start + i) % len(self.ready)]

    def strength(self, server: Server) -> float:
        """What a server can do by listed size and by the learned pace of its kind; the strongest: 1."""
        return self.common_strength(server.entry.size, server.entry.kind)

    def common_strength(self, size: float, kind: int) -> float:
        return size / self.kinds.get(kind, 1.0) / self.strongest

    def usable(self, server: Server, health: Health, held: list[tuple[float, float]]) -> bool:
        if health.rest_until > self.now or (health.rest_until and held):
            return False  # a suspect rests, then gets one attempt at a time until it proves itself
        overdue = any(late < self.now for _, late in held)
        if overdue and (len(held) > 1 or 2 * held[0][1] - held[0][0] > self.now):
            return False  # hung or pausing, seen before any time-out; a lone one is tried once more, later
        return self.cold_share(server) >= 1.0 or self.cold_next(server) or self.cold_token(server)

    def cold_share(self, server: Server) -> float:
        """What share of its work a server can surely do by its age."""
        settings = self.settings
        started = max(server.entry.started, self.returned.get(server.entry.id, 0.0))
        age = max(0.0, self.now - started)
        if not started or age >= settings.ramp_time:
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * age / settings.ramp_time

    def cold_next(self, server: Server) -> bool:
        """Whether a cold server may get another because it has answered the last.

        What waits for answers can't tip it, however slow it is: in any stretch no more is sent than it has
        done and what is out, for which the budget has room as long as the nodes are few.
        """
        settings = self.settings
        room = COLD_QUICK * (settings.tip_multiple - 1.0) * self.cold_share(server) * settings.tip_time
        most = min(room / settings.group_size / max(self.usual), COLD_OPEN)
        return server.proven and len(server.open) + 1 <= most

    def cold_token(self, server: Server) -> bool:
        # All nodes together overdrive a cold server: each keeps to its share of what a warm peer answered
        # (little of what is sent may arrive), without a burst; at first to its part of one at a time.
        one = 1.0 / self.settings.group_size / max(self.usual)
        rate = COLD_SHARE * max(self.carried, one)
        if server.slow < 1.0:  # it answers as quickly as any: it can do more than is sure
            rate = max(rate, COLD_QUICK * self.settings.tip_multiple * self.pace)
        rate *= self.cold_share(server) * len(self.ready) / self.span
        server.tokens = min(server.tokens + rate * (self.now - server.tokens_at), 1.0)
        server.tokens_at = self.now
        return server.tokens >= 1.0

    def allowed(self, job: Job, server: Server) -> bool:
        """Whether the class lets the request go to this server, given where it may have run already."""
        cls = self.settings.classes[job.request.cls]
        if not job.maybe_ran or cls.effect is not Effect.KEYED:
            return not job.maybe_ran or cls.effect is Effect.SAFE
        return self.window_left(job) > 0 and all(
            (cls.group is not Group.ZONE or entry.zone == server.entry.zone >= 0)
            and (cls.group is not Group.CELL or entry.cell == server.entry.cell >= 0)
            for _, entry in job.maybe_ran.values()
        )

    def window_left(self, job: Job) -> float:
        """ms in which servers drop a repeat of a keyed request that may have run; for all others: no end."""
        cls = self.settings.classes[job.request.cls]
        if not job.maybe_ran or cls.effect is not Effect.KEYED:
            return math.inf
        first = min(sent for sent, _ in job.maybe_ran.values())
        return first + cls.window - self.settings.tick - self.now

    # Outcomes, further attempts and final answers.

    def on_uploaded(self, event: Uploaded) -> None:
        """The time of a request runs from the last byte of its body, and only now can a server begin."""
        job = self.jobs.get(event.id)
        if job is None:
            return
        job.request.due, job.request.uploading, job.since = event.due, False, self.now
        for number in sorted(job.out):
            server = next(s for s in self.servers.values() if (event.id, number) in s.uploads)
            del server.uploads[event.id, number]
            job.maybe_ran[number] = self.now, server.entry
            self.load(server, job, number)
            self.out.append(Limit(event.id, number, self.end_of(job) - self.now))

    def on_began(self, event: Began) -> None:
        """What is passed on as it comes is as good as served: its server has done the work."""
        if event.id in self.jobs:
            self.on_outcome(Outcome(event.id, event.server, True, Result.OK, event.attempt, event.elapsed))
            self.servers[event.server].begun.add((event.id, event.attempt))

    def on_outcome(self, outcome: Outcome) -> None:
        server = self.servers.get(outcome.server)
        if server is None:
            raise LookupError(f"an outcome names server {outcome.server}, which no list has named")
        attempt = outcome.id, outcome.attempt
        server.begun.discard(attempt)
        if (uploading := server.uploads.pop(attempt, None)) is not None:  # told of its end before its work
            self.load(server, uploading, outcome.attempt)
        job, sent, _ = server.open.pop(attempt, (None, 0.0, 0.0))
        if not server.open:
            self.occupied.discard(outcome.server)
        if job is None:
            return  # told twice, or its answer was the client's already
        self.flying -= 1
        self.note_end(job, outcome)
        if outcome.result in ANSWERED:
            server.reached = max(server.reached, sent)
        self.learn(server, outcome, job, sent)
        if outcome.over or outcome.id not in self.jobs:
            self.finish(outcome.id)
        elif (
            outcome.spent
            or outcome.result == Result.TIMEOUT
            or self.random.random() < max(self.x, self.no_link)
        ):
            self.end(job, Cause.NOT_REPEATED)  # resending feeds a jam, also of connections being made
        else:
            self.attempt(job)

    def call_back(self, server: Server) -> None:
        """Where a repeat does no harm, stop waiting for answers that may never come, and ask another server.

        They are overdue twice, or the server has answered what was sent after they were overdue.
        """
        for (number, attempt), (job, sent, late) in server.open.items():
            gone = late < server.reached or 2 * late - sent < self.now
            if gone and number in self.jobs and attempt not in job.called and self.elsewhere(job):
                job.called.add(attempt)
                self.out.append(Cancel(number, attempt))

    def elsewhere(self, job: Job) -> bool:
        """Whether another server can take a further attempt of a request that may have run."""
        cls = job.request.cls
        if self.settings.classes[cls].effect is Effect.UNSAFE or job.tries >= self.settings.max_attempts:
            return False
        others = (self.servers[i] for i in self.ready if i not in job.used)
        return any(
            self.allowed(job, other) and self.usable(other, other.health[cls], other.held(self.now))
            for other in others
        )

    def note_end(self, job: Job, outcome: Outcome) -> None:
        """What an attempt's end tells of whether its request ran, and whose turn is next."""
        job.out.discard(outcome.attempt)
        if outcome.result in self.never_ran:
            job.maybe_ran.pop(outcome.attempt, None)
        if job.turn is not None:
            job.turn.out -= 1
            if outcome.result in MAY_RUN_ON:
                job.turn.rest_until = self.now + self.settings.key_rest
            self.moved.append(job.turn)

    def learn(self, server: Server, outcome: Outcome, job: Job, sent: float) -> None:
        """What an outcome tells of its server and of the fleet."""
        result, cls = outcome.result, job.request.cls
        if result in (Result.CANCELLED, Result.NOT_SENT):
            return
        bad, health = result != Result.OK, server.health[cls]
        self.no_link += 0.1 * ((result == Result.UNREACHABLE) - self.no_link)
        # What loads no server is no overload: no connection made, an answer that was lost alone, an end
        # sooner than the work takes, a client that would wait for little longer than answers take, or 'full'
        # from a server that has no queue: whom it does serve it serves as quickly as ever.
        lost = result == Result.TIMEOUT and sent < server.reached
        weight = float(result != Result.UNREACHABLE and not lost)
        if result in (Result.ERROR, Result.RESET):
            weight = min(1.0, 0.5 * outcome.elapsed / self.usual[cls])
        elif result == Result.FULL and self.now - server.served < RATE_TIME:
            weight = min(max(server.slow - 1.0, self.mean / (self.least or 1.0) - 1.0, 0.0), 1.0)
        elif result == Result.TIMEOUT:
            weight *= min(max(0.5 * ((job.request.due - sent) / self.usual[cls] - 1.0), 0.0), 1.0)
        self.seen += 1.0 - self.seen / REACH
        self.failed += weight * bad - self.failed / REACH
        self.errors = self.failed / (self.seen + PRIOR)
        if not bad:
            server.served, server.proven = self.now, True
            self.usual[cls] += (0.02 if self.x < 0.2 else 0.002) * (outcome.elapsed - self.usual[cls])
        if not bad or (result == Result.TIMEOUT and not lost):
            # How slow against its class, then its kind: few samples of one server, many of its kind.
            ratio = min(outcome.elapsed / self.usual[cls], 8.0)
            kind = self.kinds.get(server.entry.kind, 1.0)
            self.kinds[server.entry.kind] = kind + 0.005 * (ratio - kind)
            server.slow += SLOW_GAIN * (ratio / kind - server.slow)
        wanted = self.settings.classes[cls]
        if not bad and (wanted.late_value or self.now - job.since <= wanted.aim):
            self.met += 1
            self.answers = min(self.answers + 1, max(SAMPLE, self.rate * RATE_TIME))
            self.mean += (outcome.elapsed - self.mean) / self.answers
        if bad:
            server.proven = False
            self.suspect(server, cls, result, lost or (result == Result.TIMEOUT and weight < 0.5))
        else:
            health.fails *= 0.7
            health.rest_until, health.strikes = 0.0, health.strikes // 2

    def suspect(self, server: Server, cls: int, result: int, mild: bool) -> None:
        """A failure: the server rests, for this class or for all, if it stands out."""
        # It may fail one class only; silence tells of all. 'full' is load, but one that says nothing else, as
        # before its drain is listed, would draw traffic by being quick; as no proof it costs the request.
        gain, others = (0.3, 0.3) if result not in (Result.ERROR, Result.FULL) else (0.5, 0.1)
        if mild or (result == Result.FULL and Result.FULL in self.never_ran):
            gain, others = 0.1, 0.03  # nor is one lost answer silence, or one that had too little time
        for other, health in enumerate(server.health):
            health.fails += (gain if other == cls else others) * (1.0 - health.fails)
            if health.fails > SUSPECT_AT + 2 * self.errors and health.rest_until <= self.now:
                resting = sum(self.servers[i].health[other].rest_until > self.now for i in self.ours)
                if resting < MAX_RESTING * self.span:
                    rest = REST * 2 ** min(health.strikes, 4) * (0.75 + 0.5 * self.random.random())
                    health.rest_until, health.strikes = self.now + rest, health.strikes + 1

    def end(self, job: Job, cause: Cause) -> None:
        """The final answer without an open attempt: refused where that does no harm, else failed."""
        cls = self.settings.classes[job.request.cls]
        safe = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
        wait, number = self.refuse_wait(job.score), job.request.id
        harmless = safe or not job.maybe_ran
        self.out.append(Refuse(number, wait, cause) if harmless else Fail(number, cause))
        self.finish(number)

    def finish(self, job_id: int) -> None:
        job = self.jobs.pop(job_id, None)
        if job is not None and self.settings.may_cancel:
            self.out.extend(Cancel(job_id, number) for number in sorted(job.out))
        if job is not None and job.turn is not None:
            job.turn.line.remove(job)
            self.moved.append(job.turn)

    def avoided(self, now: float) -> set[int]:
        """The servers that get nothing now: out by hand, or resting for every class."""
        servers = self.servers.items()
        resting = {i for i, s in servers if all(health.rest_until > now for health in s.health)}
        return resting | self.cordoned

    # The server list.

    def on_list(self, event: ServerList) -> None:
        if self.settings.ask_for_list and event.kind in (ListKind.CACHED, ListKind.FAILED):
            # Calls of many nodes would meet: the first is spread out, later ones back off with jitter.
            self.out.append(Wake(self.ask_backoff * (0.2 + 0.8 * self.random.random()), SUBSCRIBE))
            self.ask_backoff = min(2 * self.ask_backoff, self.settings.ask_within / 4)
        if event.kind is ListKind.FAILED:
            return
        if event.kind is not ListKind.CACHED:
            self.ask_backoff = self.settings.ask_within / 20
        if event.kind is not ListKind.DELTA:
            listed = {entry.id for entry in event.servers}
            ready = [i for i, s in self.servers.items() if s.entry.state is State.READY]
            for server_id in [i for i in ready if i not in listed]:
                self.note(replace(self.servers[server_id].entry, state=State.GONE))
        for entry in event.servers:
            self.note(entry)
        self.forget_gone()
        self.measure_fleet()

    def forget_gone(self) -> None:
        """Where servers come and go all day, those that are gone must not be kept for ever."""
        for server_id in list(self.gone):
            server = self.servers.get(server_id)
            if server is not None and server.entry.state is State.GONE:
                if server.busy():
                    continue
                del self.servers[server_id]
            self.gone.discard(server_id)

    def measure_fleet(self) -> None:
        """What the fleet can do, and our part of it, from what has changed."""
        count = len(self.ready)
        # Groups of a few nodes share a stretch of the fleet where each holds little: of few servers a node
        # knows what they hold, and they accept only so many connections. A group places keys alike.
        sparse = self.need < SPARSE * count
        groups = max(1, min(self.settings.group_size // NODES, count // FEW)) if sparse else 1
        group = self.settings.me * groups // self.settings.group_size
        start = group * count // groups
        span = max(1, (group + 1) * count // groups - start)
        shared = groups > 1 or (start, span) != (0, max(1, count))
        whole = shared or self.ours is not self.ready
        self.start, self.span = start, span
        self.ours = self.ready[start : start + span] if shared else self.ready
        self.measure_warmth()
        self.measure_strength()
        points = {common: self.ring_points(*common) for common in self.alike}
        if whole:
            self.ring.assign({i: points[self.common(i)] for i in self.ours})
        else:
            for common, count in points.items():
                if self.points.get(common) != count:
                    self.ring.update(dict.fromkeys(self.alike[common], count))
            for i in self.touched:
                ready = i in self.servers and self.is_ready(i)
                self.ring.update({i: points[self.common(i)] if ready else 0})
        self.points = points
        self.touched.clear()

    def measure_warmth(self) -> None:
        """How many servers there are, cold ones by what they can do."""
        shares = {i: self.cold_share(self.servers[i]) for i in self.starting}
        self.starting = {i for i, share in shares.items() if share < 1.0}
        self.warm = max(len(self.ready) - sum(1.0 - share for share in shares.values()), 1.0)

    def measure_strength(self) -> None:
        """Of those that are ready, by what they have in common."""
        count = max(1, len(self.ready))
        most = max((self.common_strength(*common) for common in self.alike), default=1.0)
        self.strongest *= most or 1.0  # a list may give no sizes
        whole = sum(self.common_strength(*common) * len(ids) for common, ids in self.alike.items())
        self.mean_strength = whole / count
        size = sum(size * len(ids) for (size, _), ids in self.alike.items()) / count  # 1 serves one at once
        self.sized = (size if 0.5 <= size <= 8 else 1.0) * self.warm / self.settings.group_size

    def ring_points(self, size: float, kind: int) -> int:
        return int(RING_POINTS * self.common_strength(size, kind)) + 1

    def common(self, server_id: int) -> tuple[float, int]:
        """What it has in common with others of its strength."""
        entry = self.servers[server_id].entry
        return entry.size, entry.kind

    def is_ready(self, server_id: int) -> bool:
        return self.servers[server_id].entry.state is State.READY and server_id not in self.cordoned

    def enter(self, server_id: int) -> None:
        """A server may serve from now on."""
        insort(self.ready, server_id, key=mix)
        self.alike.setdefault(self.common(server_id), set()).add(server_id)
        self.starting.add(server_id)
        self.touched.add(server_id)

    def withdraw(self, entry: ServerEntry) -> None:
        """A server may not serve any more, which was listed so."""
        del self.ready[bisect_left(self.ready, mix(entry.id), key=mix)]
        common = entry.size, entry.kind
        self.alike[common].discard(entry.id)
        if not self.alike[common]:
            del self.alike[common]
        self.starting.discard(entry.id)
        self.touched.add(entry.id)

    def note(self, entry: ServerEntry) -> None:
        """Take over one line of the list."""
        old = self.servers.get(entry.id)
        if old is not None and old.entry == entry:
            return  # as in most lines of a whole list
        if old is None or old.entry.started != entry.started:  # new, or restarted: what we knew is void
            health = [Health() for _ in self.usual]
            self.servers[entry.id] = Server(entry, self.random.random(), self.now, health)
            if old is not None:
                self.servers[entry.id].take_over(old)
        before = None if old is None else old.entry
        self.servers[entry.id].entry = entry
        if entry.state is State.GONE:
            self.gone.add(entry.id)
        if entry.id in self.cordoned:
            return
        if before is not None and before.state is State.READY:
            self.withdraw(before)
        if entry.state is State.READY:
            self.enter(entry.id)

    # Servers that operators take out and call back.

    def on_cordon(self, server_id: int) -> None:
        server = self.servers.get(server_id)
        if server is not None and self.is_ready(server_id):
            self.withdraw(server.entry)
        self.cordoned.add(server_id)
        self.untried = [i for i in self.untried if i != server_id]
        self.measure_fleet()

    def on_uncordon(self, event: Uncordon) -> None:
        """The server comes back cold; where its token is there, the next request that may is its first."""
        server_id = event.server
        warm = self.now - self.settings.ramp_time
        self.returned = {i: at for i, at in self.returned.items() if at > warm} | {server_id: event.at}
        was_out = server_id in self.cordoned
        self.cordoned.discard(server_id)
        self.untried = [i for i in self.untried if i != server_id] + [server_id]
        server = self.servers.get(server_id)
        if server is not None:
            health = [Health() for _ in self.usual]
            first = self.random.random() < FIRST / self.settings.group_size
            fresh = Server(server.entry, 1.0 if first else self.random.random(), self.now, health)
            fresh.take_over(server)
            self.servers[server_id] = fresh
            if was_out and server.entry.state is State.READY:
                self.enter(server_id)
            if self.is_ready(server_id):
                self.starting.add(server_id)  # cold again, also where it was never out
        self.measure_fleet()
