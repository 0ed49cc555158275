"""Scenario files: what a day is made of, as TOML. A figure may be a range, from which each seed draws.

Whatever is wrong with a file is one line, with the key and what is allowed there.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from flaxstep.simulator.config_types import Natural, Part, Positive, Range, Span, Table
from flaxstep.simulator.fault_config import FaultConfig, fault_error


class ScenarioError(Exception):
    """A scenario that can't be played: file, key and what is allowed, in one line."""


class Kind(Table, frozen=True):
    """A model of job server."""

    name: str
    share: Natural  # of the fleet, compared with the other kinds'
    cores: Annotated[int, Meta(ge=1)] = 1
    speed: Range = 1.0  # of a core, beside the standard core
    speed_cv: Range = 0.1  # spread between servers of the kind
    slots_per_core: Range = (2, 6)  # requests in work at once; more wait
    queue_per_core: Range = (230, 760)  # waiting room; beyond it requests are turned away
    thrash: Range = (0.12, 0.25)  # efficiency lost for each multiple of `thrash_at` held beyond it
    thrash_at: Range = (6.4, 14)  # held per core
    cold_from: Range = (0.12, 0.35)  # capacity at the start, as a part of the whole
    cold_s: Range = (10, 24)  # of work at full capacity that warm it
    error_rate: Range = (0, 0.002)


class Class(Table, frozen=True):
    """A class of requests."""

    name: str
    share: Natural  # of the requests, compared with the other classes'
    work_ms: Range  # on a standard core
    aim_ms: Positive
    deadline_ms: Positive
    worth: Natural
    effect: Literal["safe", "keyed", "unsafe"]
    late_worth: Part = 0.0
    cv: Range = (0.3, 0.7)  # spread of the work, lognormal; 0: all alike
    attempt_noise: Range = (0.05, 0.4)  # spread between attempts of one request
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: Natural = 0.0


class Tenant(Table, frozen=True):
    """A project and its share of the service."""

    name: str
    share: Part
    usage: Range = 1.0  # what it asks for, beside its share


class Fleet(Table, frozen=True):
    """How many there are."""

    nodes: Annotated[int, Meta(ge=1, le=2000)] = 3
    servers: Annotated[int, Meta(ge=1, le=2000)] = 9
    zones: Annotated[int, Meta(ge=1, le=16)] = 3
    cell_size: Range = (3, 5)
    server_skew: Range = (0.1, 0.4)  # how unevenly servers are spread over the zones


class Load(Table, frozen=True):
    """What first tries ask of the fleet, beside what it can do when all of it is warm."""

    of_capacity: Range = (0.53, 0.7)
    swing: Range = (0.17, 0.38)  # of the slow wave
    wave_s: Range = (15, 30)
    zone_skew: Range = (0.25, 0.6)
    quota_of_capacity: Range = (0.75, 0.94)
    over_share_worth: Part = 0.1


class Net(Table, frozen=True):
    """One-way times in ms."""

    same_ms: Range = (0.11, 0.26)
    cross_ms: Range = (1.4, 2.6)
    client_ms: Range = (0.22, 1.1)
    jitter: Range = (0.057, 0.31)


class Conn(Table, frozen=True):
    """Connections to job servers."""

    handshake_rtts: Range = (2, 3)
    handshake_us: Range = (490, 1500)
    idle_s: Positive = 30
    dial_timeout_ms: Positive = 100
    cap_per_core: Range = (600, 900)
    full_tax: Range = (0.22, 0.36)


class Clients(Table, frozen=True):
    """How clients try."""

    retries: Range = (3, 4.99)
    try_share: Range = (0.3, 0.55)  # of the deadline, after which a try is given up
    backoff_ms: Range = (0, 80)
    honour: Range = (0.04, 0.35)  # the part that honours Retry-After
    max_retry_after_ms: Natural = 600


class Front(Table, frozen=True):
    """What deals clients out over nodes."""

    notice_s: Range = (1.6, 3.9)  # until a dead node gets no more clients
    health_s: Positive = 0.3  # until one that says no gets none


class Listing(Table, frozen=True):
    """Discovery."""

    mode: Literal["ask", "push"] = "ask"
    notice_s: Range = (0.94, 4.2)
    silent_notice_s: Range = (4.4, 11)
    add_s: Range = (0.64, 2.2)
    spread_ms: Range = (50, 590)
    capacity: Range = (3, 5.8)  # calls that it answers at once
    call_ms: Range = (20, 120)
    timeout_ms: Positive = 3000


class Peers(Table, frozen=True):
    """Datagrams between nodes."""

    allowed: bool = True
    delay_ms: Span = (1.7, 39)
    lost: Part = 0.02


class Choke(Table, frozen=True):
    """The sticky slowdown of overfilled servers."""

    share: Part = 0.6  # of the days have it
    at: Span = (4, 7)  # waiting per core
    over_s: Span = (1.5, 2.5)
    slower: Span = (2.1, 3.4)
    rest_s: Span = (2.2, 4.2)
    below: Span = (0.25, 0.4)  # busy part that counts as mostly idle
    most_s: Span = (16, 35)
    price: Natural = 0.04


class Rules(Table, frozen=True):
    """The figures of the four rules."""

    answer_slack_ms: Natural = 70
    drain_grace_ms: Natural = 500
    cordon_grace_ms: Natural = 1000
    tip_multiple: Positive = 2.5
    tip_ms: Positive = 2000
    ramp_ms: Positive = 24000
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.12
    max_attempts: Annotated[int, Meta(ge=1)] = 3


class Prices(Table, frozen=True):
    cross_zone: Natural = 0.017
    waste: Natural = 0.1
    probe: Natural = 0.01
    peer: Natural = 0.01
    late_fail: Natural = 0.03


class Goal(Table, frozen=True):
    whole: Part = 0.35
    worst_window: Part = 0.35
    worst_class: Part = 0.2
    worst_tenant: Part = 0.1


class Trouble(Table, frozen=True):
    """Something that goes wrong, from `at_s` for `len_s`, on `part` of the servers (or nodes)."""

    name: Literal[
        "slow", "fast_errors", "pauses", "neighbour", "burst", "lost", "resets", "cut", "replace", "kill"
    ]
    at_s: Range
    len_s: Range = 0.0
    part: Range = 0.2
    size: Range = 1.0  # slow: times; errors, lost, resets, neighbour: the part; pauses: ms; burst: times
    extra: Range = (
        1.0  # pauses: s between; neighbour: s on or off; burst: s of rise; kill: s until back; replace:
    )
    # s (3 at least, on the rig) for which those that leave still run
    steps: Annotated[int, Meta(ge=1)] = 1  # replace, kill: in so many steps over len_s


class Act(Table, frozen=True):
    """What operators do: `cordon` takes servers out and restarts them, `quiesce` empties nodes, `upgrade`
    starts a second process of a node and ends the first."""

    name: Literal["cordon", "quiesce", "upgrade", "restart"]
    at_s: Range
    for_s: Range = 5.0  # until the call back, or the end of the old process
    count: Annotated[int, Meta(ge=1)] = 1
    from_: Annotated[int, Meta(ge=0)] = msgspec.field(default=0, name="from")  # the first of them
    down_s: Range = (0.5, 1.5)  # cordon, restart: how long the process is gone


class Scenario(Table, frozen=True):
    """A kind of day."""

    name: str
    kinds: Annotated[list[Kind], Meta(min_length=1)]
    classes: Annotated[list[Class], Meta(min_length=1)]
    length_s: Range = (38, 50)
    tick_ms: Positive = 1.0
    margin_ms: Natural = 10.0  # kept back by a node from a client's time
    fleet: Fleet = Fleet()
    load: Load = Load()
    net: Net = Net()
    conn: Conn = Conn()
    clients: Clients = Clients()
    front: Front = Front()
    discovery: Listing = Listing()
    peers: Peers = Peers()
    choke: Choke = Choke()
    rules: Rules = Rules()
    prices: Prices = Prices()
    goal: Goal = Goal()
    tenants: list[Tenant] = []
    troubles: list[Trouble] = []
    acts: list[Act] = []
    rig: FaultConfig = FaultConfig()  # what only processes and sockets have


def read_scenario(path: Path) -> Scenario:
    """The scenario of a file; ScenarioError, in one line, if it can't be played."""
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
    check(scenario)
    return scenario


def check(scenario: Scenario) -> None:
    """What the types can't say: ranges the right way round, and parts that are there."""
    for where, value in figures("", msgspec.to_builtins(scenario)):
        if min(value) < 0 or not max(value) < float("inf"):
            raise ScenarioError(f"{where}: a figure is at least 0 and finite, not {min(value):g}")
        if value[0] > value[1]:
            raise ScenarioError(f"{where}: a range goes from low to high, not {value[0]:g} to {value[1]:g}")
    for key, table in (("kinds", scenario.kinds), ("classes", scenario.classes)):
        if sum(line.share for line in table) <= 0:
            raise ScenarioError(f"{key}: the shares must add up to more than 0")
    nodes, servers = scenario.fleet.nodes, scenario.fleet.servers
    for i, act in enumerate(scenario.acts):
        most = servers if act.name == "cordon" else nodes
        if act.from_ + act.count > most:
            raise ScenarioError(f"acts[{i}]: 'from' and 'count' reach beyond the {most} there are")
    for i, trouble in enumerate(scenario.troubles):
        top = 1.0 if trouble.name in ("fast_errors", "lost", "resets", "neighbour") else float("inf")
        if high(trouble.size) > top:
            raise ScenarioError(f"troubles[{i}].size: for {trouble.name} at most {top:g}")
        if high(trouble.part) > 1:
            raise ScenarioError(f"troubles[{i}].part: at most 1")
    for i, fault in enumerate(scenario.rig.faults):
        if error := fault_error(fault, nodes, servers, scenario.fleet.zones, scenario.rig.regions):
            raise ScenarioError(f"rig.faults[{i}].{error}")


def figures(where: str, value: Any) -> list[tuple[str, tuple[float, float]]]:
    """Every figure and range of a scenario with its key."""
    if isinstance(value, int | float):
        return [(where, (float(value), float(value)))]
    if isinstance(value, dict):
        dot = "." if where else ""
        return [found for key, inner in value.items() for found in figures(f"{where}{dot}{key}", inner)]
    if isinstance(value, list | tuple):
        if len(value) == 2 and all(isinstance(part, int | float) for part in value):
            return [(where, (float(value[0]), float(value[1])))]
        return [found for i, inner in enumerate(value) for found in figures(f"{where}[{i}]", inner)]
    return []


def high(value: Range) -> float:
    return value[1] if isinstance(value, tuple) else value
