"""The part of a scenario that only the rig uses: faults of links and processes, and request bodies.

Processes and ends of links are named `node:0`, `server:3`, `discovery`, `front`; groups of them `nodes`,
`servers`, `zone:1`, `region:north`, `*`, and `not NAME` for all others.
"""

from __future__ import annotations

import re
from typing import Literal

from flaxstep.simulator.config_types import Fraction, NonNegative, Positive, Range, Table

RESTARTABLE_FAULTS = ("kill", "term", "restart")  # for processes that can be started again: nodes and servers
LINK_FAULTS = ("delay", "rate", "silent", "reset", "refuse", "hold")
LINK_END_NAME = re.compile(
    r"(?:not )?(?:\*|nodes|servers|discovery|front|controller|(node|server|zone):(\d+)|region:(\S+))"
)
PROCESS_NAME = re.compile(r"(?:node|server):\d+|discovery|front")


class Fault(Table, frozen=True):
    """A fault of links (`between` two ends) or of one process (`of`), by `name`:

    - delay: bytes arrive `size` ms later, up to `jitter` ms more.
    - rate: at most `size` bytes per second.
    - silent: bytes are dropped; connections stay open, new ones are never established.
    - reset: open connections are reset; new ones are reset as soon as bytes arrive.
    - refuse: new connections are refused.
    - hold: new connections are never established.
    - kill, stop (and continue), term, restart: of a process, which is back after `for_s`, unless that is 0.
    - down: discovery resets its calls.
    - listing: discovery runs but misbehaves as in `how`. slow: calls take `size` s. refuse: calls are refused
      after `size` s. reset: calls are reset. hang: calls never end. silent: open watches send nothing. close:
      open watches are closed in place of a change. With silent and close, calls take `size` s as well.
    - clock: a node's clock jumps by `size` s (`way` "back": backwards); at 0 s the node starts with it.
    - disk: a node's folder is full (`size` 0), or every write fails (1).
    """

    name: Literal[
        "delay",
        "rate",
        "silent",
        "reset",
        "refuse",
        "hold",
        "kill",
        "stop",
        "term",
        "restart",
        "down",
        "listing",
        "clock",
        "disk",
    ]
    at_s: Range
    for_s: Range = 0.0  # links: duration, 0: to the end of the run; processes: until it is back
    between: tuple[str, str] | None = None
    way: Literal["both", "there", "back"] = "both"  # there: bytes from the first end to the second
    of: str = ""  # name of the process
    size: Range = 1.0
    jitter: NonNegative = 0.0
    how: Literal["", "slow", "refuse", "reset", "hang", "silent", "close"] = ""  # listing
    keep: bool = True  # kill, term, restart: whether the process's folder is kept


class VersionBehaviour(Table, frozen=True):
    """How a version of the job servers' program differs from others, from `after_s` after its start."""

    after_s: NonNegative = 0.0
    slow: Positive = 1.0  # factor for the duration of work
    slow_over: NonNegative = 0.0  # `slow` applies only while it holds more requests than this
    errors: Fraction = 0.0  # share of the requests that fail at once
    ready: bool = True  # whether it ever listens
    wrong: bool = False  # whether its self-test fails
    crash_s: NonNegative = 0.0  # it ends this long after its start and is started again; 0: never


class FaultConfig(Table, frozen=True):
    """Settings that only the rig uses."""

    regions: dict[str, list[int]] = {}  # region name to its zones
    cores: Positive = 1.0  # limits of a node, as in its configuration
    memory_mb: Positive = 192
    sockets: Positive = 1024
    body_bytes: Range = 0.0  # size of request bodies
    slow_part: Fraction = 0.0  # share of the request bodies that are sent slowly
    slow_bytes_s: Positive = 65536  # rate of those
    early_part: Fraction = 0.0  # share of the tries whose client disconnects halfway
    version: str = "v1"  # of the job servers' program, named in each response
    versions: dict[str, VersionBehaviour] = {}  # by version name
    faults: list[Fault] = []


def fault_error(
    fault: Fault, nodes: int, servers: int, zones: int, regions: dict[str, list[int]]
) -> str | None:
    """The error in a fault, as key and reason, or None."""
    if (fault.between is not None) != (fault.name in LINK_FAULTS):
        return f"between: {fault.name} {'needs two ends' if fault.between is None else 'has none'}"
    if fault.between is None and not PROCESS_NAME.fullmatch(fault.of):
        return f"of: {fault.name} needs one process, as node:0, server:3, discovery or front"
    if fault.name in ("clock", "disk") and not fault.of.startswith("node:"):
        return f"of: {fault.name} is for nodes"
    if fault.name in RESTARTABLE_FAULTS and not fault.of.startswith(("node:", "server:")):
        return f"of: {fault.name} is for nodes and servers"
    if fault.name in ("down", "listing") and fault.of != "discovery":
        return f"of: {fault.name} is for discovery"
    if (fault.name == "listing") != bool(fault.how):
        return "how: listing needs it, and nothing else has it"
    counts = {"node": nodes, "server": servers, "zone": zones}
    for key, text in [("between", end) for end in fault.between or ()] + [("of", fault.of)] * (
        not fault.between
    ):
        matched = LINK_END_NAME.fullmatch(text)
        if matched is None:
            return f"{key}: {text!r} names no process, zone or region"
        kind, number, region = matched.groups()
        if kind and int(number) >= counts[kind]:
            return f"{key}: {text!r}: there are {counts[kind]}"
        if region and region not in regions:
            return f"{key}: {text!r}: no such region"
    return None
