"""The interface of the decision module: settings, events and actions.

``Policy(settings, seed).handle(now, event)`` processes one event and returns a list of actions, which the
caller carries out in that order. All times are milliseconds on one monotonic clock with an arbitrary start.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # a group of servers drops repeats within the class's window
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """The servers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(IntEnum):
    """The state of a server in the server list."""

    READY = 0
    GONE = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a server list contains, or that none came."""

    DELTA = 0  # changed entries only
    FULL = 1  # the whole list; servers that are missing are gone
    CACHED = 2  # the whole list as stored before a restart
    FAILED = 3  # a call failed or the subscription ended; the previous list stays in force


class Result(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    UNREACHABLE = 5
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8


# Results that prove that the server did not run the request.
NEVER_RAN = frozenset({Result.FULL, Result.UNREACHABLE, Result.NOT_SENT})
# Results after which the server may still be running the request.
MAY_RUN_ON = frozenset({Result.TIMEOUT, Result.RESET, Result.CANCELLED})


def _require(valid: bool, name: str, value: object) -> None:
    if not valid:
        raise ValueError(f"settings: {name} can't be {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its target time, its worth, and whether it may be repeated."""

    aim: float  # ms: target response time
    deadline: float  # ms
    worth: float  # of a response in time, relative to other classes
    effect: Effect
    group: Group = Group.ALL
    window: float = 0.0  # KEYED, ms: repeats are dropped so long after the first send that may have run
    late_value: float = 0.0  # share of the worth that a response after the aim still has
    in_order: bool = False  # requests that share a key run one at a time, in order of arrival

    def __post_init__(self) -> None:
        _require(self.aim > 0, "classes[].aim", self.aim)
        _require(self.deadline > 0, "classes[].deadline", self.deadline)
        _require(self.worth >= 0, "classes[].worth", self.worth)
        _require(self.window >= 0, "classes[].window", self.window)
        _require(0 <= self.late_value <= 1, "classes[].late_value", self.late_value)
        _require(isinstance(self.effect, Effect), "classes[].effect", self.effect)
        _require(isinstance(self.group, Group), "classes[].group", self.group)


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of a node's decisions, fixed from its start on."""

    classes: tuple[RequestClass, ...]
    zone: int = 0  # this node's own zone
    group_size: int = 1  # nodes of this tier
    me: int = 0  # this node's index among them
    quotas: tuple[float, ...] = ()  # by tenant: requests per second over all nodes
    over_quota_worth: float = 1.0  # factor on the worth of requests beyond a quota
    warm_keys: bool = False  # a server that has served a key recently needs less work for it
    ask_for_list: bool = False  # the node has to call discovery; otherwise lists are pushed
    ask_within: float = 10000.0  # ms after a change of the list within which the node has to call
    tick: float = 1.0  # ms: resolution of the clock and of timers
    may_cancel: bool = False
    max_attempts: int = 1  # per request
    max_retry_after: float = 0.0  # ms; 0: responses carry no Retry-After
    full_may_have_run: bool = False  # servers may respond 'full' to a request that they have started
    key_rest: float = 0.0  # in_order, ms: pause of a key after an attempt that may still be running
    cold_from: float = 1.0  # a server starts with at least this share of its capacity
    ramp_time: float = 0.0  # ms from a server's start to its full capacity
    tip_multiple: float = 1.0  # of its present capacity: a load that makes a cold server fail
    tip_time: float = 0.0  # ms: any period of that load this long is enough
    drain_grace: float = 0.0  # ms after the notification in which a draining endpoint accepts requests

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", self.classes)
        _require(self.group_size >= 1, "group_size", self.group_size)
        _require(self.max_attempts >= 1, "max_attempts", self.max_attempts)
        _require(0 < self.cold_from <= 1, "cold_from", self.cold_from)
        _require(0 <= self.over_quota_worth <= 1, "over_quota_worth", self.over_quota_worth)
        _require(self.tick > 0, "tick", self.tick)
        for name in (
            "ask_within",
            "ramp_time",
            "tip_multiple",
            "max_retry_after",
            "key_rest",
            "tip_time",
            "drain_grace",
        ):
            _require(getattr(self, name) >= 0, name, getattr(self, name))
        for quota in self.quotas:
            _require(quota >= 0, "quotas[]", quota)


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One entry of the server list."""

    id: int
    zone: int  # -1: not among the zones of the settings
    kind: int  # of machine; -1: not among the kinds of the settings
    cell: int  # -1: unknown
    state: State
    size: float  # relative to other servers
    started: float  # clock time; 0: long ago


# Events: the input of the decision module.


@dataclass(slots=True)
class ServerList:
    """A list of servers has arrived, or could not be obtained."""

    kind: ListKind
    version: int
    servers: list[ServerEntry]


class Reach(Enum):
    """What a call to discovery, or a signal, shows about the connection to it."""

    STARTED = "started"  # the process has started, with a stored list or with none
    CONFIRMED = "confirmed"  # a list or an empty line arrived: the node's list is current
    SILENT = "silent"  # nothing has arrived on an open watch for too long
    UNWATCHED = "unwatched"  # a whole list has arrived, and no watch is open yet
    CLOSED = "closed"  # discovery has ended a watch normally
    BROKEN = "broken"  # a watch was interrupted after its response had started
    NEWS_LOST = "news lost"  # a list was incomplete or could not be parsed
    WAITING = "waiting"  # discovery has accepted a connection and has not responded yet
    REFUSED = "refused"  # discovery has responded to a call, but without a list
    RESET = "reset"  # a connection was accepted and ended without a response
    UNREACHABLE = "unreachable"  # a connection was refused by the other machine, or never established
    OWN_FAILURE = "own failure"  # no connection could be attempted: no information about discovery
    MOVED = "moved"  # SIGHUP: a new configuration names another address


@dataclass(slots=True)
class DiscoveryReach:
    """The state of the connection to discovery has changed."""

    reach: Reach
    since: float = 0.0  # clock time at which the call that shows it began; for MOVED, of the signal


@dataclass(slots=True)
class PredecessorSeen:
    """Another process of this node was running at the start of this one, or that can't be known.

    What it was told is the node's news, and is not known here yet.
    """


@dataclass(slots=True, frozen=True)
class LeaseState:
    """The lease of one process of a node, as the next one continues it. All are clock times.

    `confirmed_at` and `proven_until` are -inf if that never happened, the expiries inf if there are none.
    """

    exported_at: float  # all that was told until then has been handed over
    confirmed_at: float  # the list was current
    fixed_expiry: float
    limited_at: float  # the fixed expiry was set
    unwatched_expiry: float  # for a process that has no watch of its own
    proven_until: float  # the list was current or discovery was proven down
    moved_at: float  # of the last SIGHUP; -inf: none


@dataclass(slots=True)
class PredecessorLease:
    """The predecessor has handed over its list, which is in force here, and its lease."""

    state: LeaseState


@dataclass(slots=True)
class PredecessorEnded:
    """The predecessor learns no more."""

    complete: bool  # all that it was told has been handed over


@dataclass(slots=True)
class Serving:
    """This process takes clients from now on, and reports that it is ready."""


@dataclass(slots=True)
class Request:
    """A client's request has arrived."""

    id: int
    cls: int  # index into the classes of the settings
    due: float  # clock time at which the client gives up on this attempt of its own
    key: int = 0  # 0: none
    tenant: int = 0
    hint: float = 0.0  # ms of expected work; 0: unknown
    repeat: bool = False  # marked by the client as its retry
    # The body is still being received: `due` is an estimate, and a server that gets it has no work yet.
    uploading: bool = False
    client_id: int = 0  # a hash of the id that the client gave it, the same at every process; 0: none


@dataclass(slots=True)
class Uploaded:
    """The last byte of a request's body has arrived: its time runs from now on."""

    id: int
    due: float


@dataclass(slots=True)
class DueChanged:
    """While the body of a request is received, another time has become known at which the client gives up.

    While servers take no more of the body, the client may have sent all of it, and its time runs.
    """

    id: int
    due: float


@dataclass(slots=True)
class Began:
    """A response is being passed on. Its deadline no longer applies, and no other attempt can follow."""

    id: int
    attempt: int
    server: int
    elapsed: float


@dataclass(slots=True)
class Outcome:
    """An attempt has ended."""

    id: int
    server: int
    over: bool  # the request is finished, by this outcome or before it
    result: int  # a value of Result
    attempt: int  # its number within the request, from 0
    elapsed: float
    report: tuple[float, ...] = ()  # load figures reported by the server
    spent: bool = False  # the request's body is no longer available: it can't be sent again


@dataclass(slots=True)
class ProbeResult:
    """A probe of a server has ended."""

    server: int
    result: int
    elapsed: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class Timer:
    """The time of a Wake action has passed."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """Another node has sent a message."""

    sender: int
    data: bytes


@dataclass(slots=True)
class Withdrawn:
    """The client has disconnected; no response is needed any more."""

    id: int


@dataclass(slots=True)
class Cordon:
    """By an operator: the server gets no new requests until it is uncordoned, whatever the lists say."""

    server: int


@dataclass(slots=True)
class Uncordon:
    """By an operator: the server may serve again. It was restarted, even if the list does not say so."""

    server: int
    at: float  # clock time of the operator's call


Event = (
    ServerList
    | DiscoveryReach
    | PredecessorSeen
    | PredecessorLease
    | PredecessorEnded
    | Serving
    | Request
    | Uploaded
    | DueChanged
    | Began
    | Outcome
    | ProbeResult
    | Timer
    | PeerMessage
    | Withdrawn
    | Cordon
    | Uncordon
)


# Actions: the output of the decision module.


class Cause(Enum):
    """Why a request gets no response from a server, for the log."""

    UNKNOWN = "unknown"
    OVERLOAD = "overload"  # its score is under the cut
    NO_TIME = "no_time"  # no server can respond in time any more
    ATTEMPTS = "attempts"  # it has used all attempts allowed
    NO_ENDPOINT = "no_endpoint"  # no server may receive it now
    STALE_LIST = "stale_list"  # the node may count as notified of a change unknown to it
    ALREADY_BEGUN = "already_begun"  # a request with its id has been sent to a server before
    NOT_REPEATED = "not_repeated"  # a further attempt would add to the overload, or its body is gone


@dataclass(slots=True)
class Send:
    """Start an attempt at a server."""

    id: int
    server: int
    limit: float  # timeout of this attempt in ms
    # ms within which it has to be sent: a request that may have run before could run twice if sent later.
    within: float = math.inf


@dataclass(slots=True)
class Limit:
    """Set the timeout of an open attempt, counted from now."""

    id: int
    attempt: int
    limit: float


@dataclass(slots=True)
class Refuse:
    """Final response: the request has not run or may run again, so the client may retry."""

    id: int
    wait: float  # ms after which the client should retry; 0: no advice
    cause: Cause = field(default=Cause.UNKNOWN, compare=False)


@dataclass(slots=True)
class Fail:
    """Final response: failed, and the request may have run."""

    id: int
    cause: Cause = field(default=Cause.UNKNOWN, compare=False)


@dataclass(slots=True)
class Cancel:
    """Cancel an open attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class Wake:
    """Schedule a Timer event with this token."""

    delay: float  # ms
    token: int


@dataclass(slots=True)
class Probe:
    """Send a probe to a server."""

    server: int


@dataclass(slots=True)
class Subscribe:
    """Request the server list and its changes from now on."""


@dataclass(slots=True)
class Log:
    """Write a log line."""

    text: str


Action = Send | Limit | Refuse | Fail | Cancel | Wake | Probe | Subscribe | Log
