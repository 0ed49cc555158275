"""Scenario files: the description of a run, as TOML. Most numbers may be a range, from which each seed draws.

An error in a file is reported in one line, with the key and what is allowed there.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from flaxstep.simulator.config_types import Fraction, NonNegative, Positive, Range, RangePair, Table
from flaxstep.simulator.fault_config import FaultConfig, fault_error


class ScenarioError(Exception):
    """A scenario that can't be played: file, key and what is allowed, in one line."""


class ServerKind(Table, frozen=True):
    """A model of job server."""

    name: str
    share: NonNegative  # weight among the kinds: how much of the fleet is of this one
    cores: Annotated[int, Meta(ge=1)] = 1
    speed: Range = 1.0  # of a core, relative to the standard core
    speed_cv: Range = 0.1  # coefficient of variation between servers of the kind
    slots_per_core: Range = (2, 6)  # requests in service at once; more wait
    queue_per_core: Range = (230, 760)  # requests that may wait; more are rejected
    thrash: Range = (0.12, 0.25)  # efficiency lost for each further multiple of `thrash_at` held
    thrash_at: Range = (6.4, 14)  # requests held per core from which efficiency falls
    cold_from: Range = (0.12, 0.35)  # capacity at a cold start, as a share of the full one
    cold_s: Range = (10, 24)  # work until it is warm, in s at full capacity
    error_rate: Range = (0, 0.002)  # share of the requests


class ClassConfig(Table, frozen=True):
    """A class of requests."""

    name: str
    share: NonNegative  # weight among the classes: how many of the requests are of this one
    work_ms: Range  # on a standard core
    aim_ms: Positive
    deadline_ms: Positive
    worth: NonNegative
    effect: Literal["safe", "keyed", "unsafe"]
    late_worth: Fraction = 0.0  # share of the worth for a response between aim and deadline
    cv: Range = (0.3, 0.7)  # coefficient of variation of the work, lognormal; 0: all alike
    attempt_noise: Range = (0.05, 0.4)  # coefficient of variation between attempts of one request
    group: Literal["all", "zone", "cell"] = "all"  # keyed: the servers that drop each other's repeats
    window_ms: NonNegative = 0.0  # keyed: how long repeats are dropped


class Tenant(Table, frozen=True):
    """A tenant and its share of the quota."""

    name: str
    share: Fraction
    usage: Range = 1.0  # what it requests, relative to its share


class Fleet(Table, frozen=True):
    """Numbers of nodes, servers and zones."""

    nodes: Annotated[int, Meta(ge=1, le=2000)] = 3
    servers: Annotated[int, Meta(ge=1, le=2000)] = 9
    zones: Annotated[int, Meta(ge=1, le=16)] = 3
    cell_size: Range = (3, 5)  # servers per cell
    server_skew: Range = (0.1, 0.4)  # how unevenly servers are spread over the zones


class Load(Table, frozen=True):
    """The load of first tries, relative to the capacity of the fleet when all servers are warm."""

    of_capacity: Range = (0.53, 0.7)
    swing: Range = (0.17, 0.38)  # amplitude of the slow wave of the load
    wave_s: Range = (15, 30)  # its period
    zone_skew: Range = (0.25, 0.6)  # how unevenly clients are spread over the zones
    quota_of_capacity: Range = (0.75, 0.94)  # all tenants' quotas together
    over_share_worth: Fraction = 0.1  # share of the worth that a request beyond its tenant's quota has


class NetworkConfig(Table, frozen=True):
    """One-way network delays: within a zone, across zones, and between client and node."""

    same_ms: Range = (0.11, 0.26)
    cross_ms: Range = (1.4, 2.6)
    client_ms: Range = (0.22, 1.1)
    jitter: Range = (0.057, 0.31)  # largest deviation, as a share of the delay


class ConnectionConfig(Table, frozen=True):
    """Connections to job servers."""

    handshake_rtts: Range = (2, 3)
    handshake_us: Range = (490, 1500)  # work of the server
    idle_s: Positive = 30  # idle connections are closed after this
    dial_timeout_ms: Positive = 100
    cap_per_core: Range = (600, 900)  # most connections
    full_tax: Range = (0.22, 0.36)  # share of the speed lost when all connections are in use


class ClientConfig(Table, frozen=True):
    """How clients retry."""

    retries: Range = (3, 4.99)  # at most; rounded down
    try_share: Range = (0.3, 0.55)  # share of the deadline after which a client gives up a try
    backoff_ms: Range = (0, 80)
    honour: Range = (0.04, 0.35)  # share of the clients that honour Retry-After
    max_retry_after_ms: NonNegative = 600


class FrontBalancerConfig(Table, frozen=True):
    """The load balancer in front of the nodes."""

    notice_s: Range = (1.6, 3.9)  # until a killed node gets no more clients
    health_s: Positive = 0.3  # until a node with a failing health check gets none


class DiscoveryConfig(Table, frozen=True):
    """The discovery service."""

    mode: Literal["ask", "push"] = "ask"
    notice_s: Range = (0.94, 4.2)  # until it notices that a server has gone
    silent_notice_s: Range = (4.4, 11)
    add_s: Range = (0.64, 2.2)  # until it lists a server that has started
    spread_ms: Range = (50, 590)  # largest delay of a change on its way to a node
    capacity: Range = (3, 5.8)  # calls served at once; rounded down
    call_ms: Range = (20, 120)  # service time of a call
    timeout_ms: Positive = 3000


class PeerConfig(Table, frozen=True):
    """Datagrams between nodes."""

    allowed: bool = True
    delay_ms: RangePair = (1.7, 39)
    lost: Fraction = 0.02  # share of the datagrams


class ThrottlingConfig(Table, frozen=True):
    """Throttling: overfilled servers slow down and stay slow until they have rested."""

    share: Fraction = 0.6  # share of the runs that have it
    at: RangePair = (4, 7)  # requests waiting per core from which a server counts as overfilled
    over_s: RangePair = (1.5, 2.5)  # how long until it is throttled
    slower: RangePair = (2.1, 3.4)  # times as slow
    rest_s: RangePair = (2.2, 4.2)  # how long it must be mostly idle to recover
    below: RangePair = (0.25, 0.4)  # busy share that counts as mostly idle
    most_s: RangePair = (16, 35)  # it recovers after this in any case
    price: NonNegative = 0.04  # if all servers are throttled


class Rules(Table, frozen=True):
    """Limits of the four rules."""

    answer_slack_ms: NonNegative = 70  # a final response may come this long after the client's time-out
    drain_grace_ms: NonNegative = 500  # sends may go on this long after the list says draining or gone
    cordon_grace_ms: NonNegative = 1000
    tip_multiple: Positive = 2.5  # a cold server crashes when sent this multiple of its capacity ...
    tip_ms: Positive = 2000  # ... within this time
    ramp_ms: Positive = 24000  # a cold server is warm after this at the latest
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.12  # least capacity of a cold server, as a share
    max_attempts: Annotated[int, Meta(ge=1)] = 3


class Prices(Table, frozen=True):
    """What is subtracted from the score: per first try, or per share of the work or worth."""

    cross_zone: NonNegative = 0.017
    waste: NonNegative = 0.1
    probe: NonNegative = 0.01
    peer: NonNegative = 0.01
    late_fail: NonNegative = 0.03


class Goal(Table, frozen=True):
    """Weights of the served shares in the score: of the whole run and of its worst parts."""

    whole: Fraction = 0.35
    worst_window: Fraction = 0.35
    worst_class: Fraction = 0.2
    worst_tenant: Fraction = 0.1


class Trouble(Table, frozen=True):
    """A trouble: from `at_s` for `len_s`, on the share `part` of the servers (or nodes).

    What `size` means: slow: times; fast_errors, lost, resets, neighbour: a share; pauses: ms; burst: times.
    What `extra` means, in s: pauses: between two; neighbour: on or off; burst: of rise; kill: until back;
    replace: for which servers that leave still run (3 at least, on the rig).
    """

    name: Literal[
        "slow", "fast_errors", "pauses", "neighbour", "burst", "lost", "resets", "cut", "replace", "kill"
    ]
    at_s: Range
    len_s: Range = 0.0
    part: Range = 0.2
    size: Range = 1.0
    extra: Range = 1.0
    steps: Annotated[int, Meta(ge=1)] = 1  # replace, kill: number of steps over len_s


class Act(Table, frozen=True):
    """An act of operators.

    `cordon` cordons servers and restarts them, `quiesce` drains nodes of clients, `upgrade` starts a second
    process of a node and ends the first one, `restart` stops and starts nodes one after the other.
    """

    name: Literal["cordon", "quiesce", "upgrade", "restart"]
    at_s: Range
    for_s: Range = 5.0  # cordon, quiesce: until undone; restart: until the last node
    count: Annotated[int, Meta(ge=1)] = 1
    from_: Annotated[int, Meta(ge=0)] = msgspec.field(default=0, name="from")  # first server or node
    down_s: Range = (0.5, 1.5)  # cordon, restart: how long the process is gone


class Scenario(Table, frozen=True):
    """The whole scenario file."""

    name: str
    kinds: Annotated[list[ServerKind], Meta(min_length=1)]
    classes: Annotated[list[ClassConfig], Meta(min_length=1)]
    length_s: Range = (38, 50)
    tick_ms: Positive = 1.0
    margin_ms: NonNegative = 10.0  # a node's deadline is this much before the client's
    fleet: Fleet = Fleet()
    load: Load = Load()
    net: NetworkConfig = NetworkConfig()
    conn: ConnectionConfig = ConnectionConfig()
    clients: ClientConfig = ClientConfig()
    front: FrontBalancerConfig = FrontBalancerConfig()
    discovery: DiscoveryConfig = DiscoveryConfig()
    peers: PeerConfig = PeerConfig()
    choke: ThrottlingConfig = ThrottlingConfig()
    rules: Rules = Rules()
    prices: Prices = Prices()
    goal: Goal = Goal()
    tenants: list[Tenant] = []
    troubles: list[Trouble] = []
    acts: list[Act] = []
    rig: FaultConfig = FaultConfig()  # used by the rig only


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file. Raises ScenarioError, with one line, if it can't be played."""
    try:
        return parse_scenario(path.read_text())
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except (UnicodeDecodeError, ScenarioError) as error:
        raise ScenarioError(f"{path}: {error}") from None


def parse_scenario(text: str) -> Scenario:
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"not TOML: {error}") from None
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(str(error).replace("$.", "").replace("`", "'")) from None
    check_scenario(scenario)
    return scenario


def check_scenario(scenario: Scenario) -> None:
    """Check what the types can't: order of ranges, shares, and numbers of servers and nodes that exist."""
    for key_path, value in list_numbers("", msgspec.to_builtins(scenario)):
        if min(value) < 0 or not max(value) < float("inf"):
            raise ScenarioError(f"{key_path}: a figure is at least 0 and finite, not {min(value):g}")
        if value[0] > value[1]:
            raise ScenarioError(
                f"{key_path}: a range goes from low to high, not {value[0]:g} to {value[1]:g}"
            )
    for key, table in (("kinds", scenario.kinds), ("classes", scenario.classes)):
        if sum(entry.share for entry in table) <= 0:
            raise ScenarioError(f"{key}: the shares must add up to more than 0")
    nodes, servers = scenario.fleet.nodes, scenario.fleet.servers
    for i, act in enumerate(scenario.acts):
        available = servers if act.name == "cordon" else nodes
        if act.from_ + act.count > available:
            raise ScenarioError(f"acts[{i}]: 'from' and 'count' reach beyond the {available} there are")
    for i, trouble in enumerate(scenario.troubles):
        max_size = 1.0 if trouble.name in ("fast_errors", "lost", "resets", "neighbour") else float("inf")
        if upper_bound(trouble.size) > max_size:
            raise ScenarioError(f"troubles[{i}].size: for {trouble.name} at most {max_size:g}")
        if upper_bound(trouble.part) > 1:
            raise ScenarioError(f"troubles[{i}].part: at most 1")
    for i, fault in enumerate(scenario.rig.faults):
        if error := fault_error(fault, nodes, servers, scenario.fleet.zones, scenario.rig.regions):
            raise ScenarioError(f"rig.faults[{i}].{error}")


def list_numbers(key_path: str, value: Any) -> list[tuple[str, tuple[float, float]]]:
    """Every number and range in a scenario, with its key."""
    if isinstance(value, int | float):
        return [(key_path, (float(value), float(value)))]
    if isinstance(value, dict):
        dot = "." if key_path else ""
        return [
            found for key, inner in value.items() for found in list_numbers(f"{key_path}{dot}{key}", inner)
        ]
    if isinstance(value, list | tuple):
        if len(value) == 2 and all(isinstance(part, int | float) for part in value):
            return [(key_path, (float(value[0]), float(value[1])))]
        return [found for i, inner in enumerate(value) for found in list_numbers(f"{key_path}[{i}]", inner)]
    return []


def upper_bound(value: Range) -> float:
    return value[1] if isinstance(value, tuple) else value
