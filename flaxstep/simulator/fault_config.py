"""The part of a scenario that only processes and sockets have: links and processes that go wrong, and bodies.

Ends of links and processes are named `node:0`, `server:3`, `discovery`, `front`; groups of them `nodes`,
`servers`, `zone:1`, `region:north`, `*`, and `not NAME` for all others.
"""

from __future__ import annotations

import re
from typing import Literal

from flaxstep.simulator.config_types import Natural, Part, Positive, Range, Table

AGAIN = ("kill", "term", "restart")  # what can be started again afterwards: nodes and servers
LINK_FAULTS = ("delay", "rate", "silent", "reset", "refuse", "hold")
NAME = re.compile(
    r"(?:not )?(?:\*|nodes|servers|discovery|front|controller|(node|server|zone):(\d+)|region:(\S+))"
)
ONE = re.compile(r"(?:node|server):\d+|discovery|front")


class Fault(Table, frozen=True):
    """Something that goes wrong with links (`between` two ends) or with one process (`of`).

    delay: bytes come `size` ms later, up to `jitter` ms more. rate: `size` bytes a second at most. silent:
    bytes vanish, connections stay open, new ones never come up. reset: what is open is reset, and what opens,
    as soon as bytes come. refuse: new connections are refused. hold: new connections never come up. kill,
    stop (and go on), term, restart: a process; it is back after `for_s`, unless that is 0. down: discovery
    resets its calls. listing: discovery is there and misbehaves, `how` says in what way: its calls take
    `size` s (slow), are refused after `size` s, reset, or hang; open watches fall silent, or are closed in
    place of news, and calls take `size` s then. clock: a node's clock jumps by `size` s (`way` back:
    backwards); at 0 s it starts so. disk: a node's folder is full (`size` 0), or fails at every write (1).
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
    for_s: Range = 0.0  # links: how long; 0: to the end. processes: until it is back
    between: tuple[str, str] | None = None
    way: Literal["both", "there", "back"] = "both"  # of the bytes, from the first end to the second
    of: str = ""
    size: Range = 1.0
    jitter: Natural = 0.0
    how: Literal["", "slow", "refuse", "reset", "hang", "silent", "close"] = ""  # listing
    keep: bool = True  # kill, term, restart: whether the folder stays


class Figures(Table, frozen=True):
    """How a version of the job servers' program differs, from `after_s` after its start on."""

    after_s: Natural = 0.0
    slow: Positive = 1.0  # times as long for the same work
    slow_over: Natural = 0.0  # only while it holds more than that
    errors: Part = 0.0  # of the requests that it fails at once
    ready: bool = True  # whether it ever listens
    wrong: bool = False  # whether its self-test fails
    crash_s: Natural = 0.0  # after which it ends, and is started again; 0: never


class FaultConfig(Table, frozen=True):
    """What the rig needs to know beyond what the lab does."""

    regions: dict[str, list[int]] = {}  # zones by region
    cores: Positive = 1.0  # a node's limits, as it is told them
    memory_mb: Positive = 192
    sockets: Positive = 1024
    body_bytes: Range = 0.0  # of requests that have one
    slow_part: Part = 0.0  # of the requests with a body, which is written slowly
    slow_bytes_s: Positive = 65536
    early_part: Part = 0.0  # of the tries, whose client leaves half way
    version: str = "v1"  # of the job servers' program, carried by each answer
    versions: dict[str, Figures] = {}  # what is wrong with versions, by name
    faults: list[Fault] = []


def fault_error(
    fault: Fault, nodes: int, servers: int, zones: int, regions: dict[str, list[int]]
) -> str | None:
    """What is wrong with a fault, as key and reason; None: nothing."""
    if (fault.between is not None) != (fault.name in LINK_FAULTS):
        return f"between: {fault.name} {'needs two ends' if fault.between is None else 'has none'}"
    if fault.between is None and not ONE.fullmatch(fault.of):
        return f"of: {fault.name} needs one process, as node:0, server:3, discovery or front"
    if fault.name in ("clock", "disk") and not fault.of.startswith("node:"):
        return f"of: {fault.name} is for nodes"
    if fault.name in AGAIN and not fault.of.startswith(("node:", "server:")):
        return f"of: {fault.name} is for nodes and servers"
    if fault.name in ("down", "listing") and fault.of != "discovery":
        return f"of: {fault.name} is for discovery"
    if (fault.name == "listing") != bool(fault.how):
        return "how: listing needs it, and nothing else has it"
    most = {"node": nodes, "server": servers, "zone": zones}
    for key, text in [("between", end) for end in fault.between or ()] + [("of", fault.of)] * (
        not fault.between
    ):
        found = NAME.fullmatch(text)
        if found is None:
            return f"{key}: {text!r} names no process, zone or region"
        kind, number, region = found.groups()
        if kind and int(number) >= most[kind]:
            return f"{key}: {text!r}: there are {most[kind]}"
        if region and region not in regions:
            return f"{key}: {text!r}: no such region"
    return None
