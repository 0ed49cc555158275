"""Draws the scenario of one play of the soak from the soak's seed and the play's number.

No process is started here. The same seed and number give the same scenario, byte for byte.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from flaxstep.simulator.engine import RandomStreams

START_S = 2.0  # no fault begins earlier, so that traffic flows before it
CALM_S = 3.0  # at the end of a play without faults, so that their effects can show
MAX_FAULTS = 4
LONG_DRAIN_S = 20.0  # a server that gets requests because of a stale list must live to record them
EFFECTS = ("safe", "keyed", "unsafe")


@dataclass(frozen=True, slots=True)
class DrawnPlay:
    """A play of the soak: its scenario, with the size of its farm and its faults for the report."""

    seed: int
    number: int
    scenario: str  # TOML
    nodes: int
    servers: int
    zones: int
    faults: tuple[str, ...]  # a description of each, with its time

    @property
    def scenario_seed(self) -> int:
        """The seed for the scenario's own draws: traffic, servers, delays."""
        return self.seed * 10_000 + self.number


@dataclass(slots=True)
class PlayDraw:
    """The random numbers of one play, and the properties of its farm drawn so far."""

    random: np.random.Generator
    seconds: float
    nodes: int = 1
    servers: int = 3
    zones: int = 1
    claimed_processes: set[str] = field(default_factory=set)  # that a fault already ends or stops

    def uniform(self, low: float, high: float) -> float:
        """A number between two bounds, to three decimals."""
        return round(float(self.random.uniform(low, high)), 3)

    def integer(self, low: int, high: int) -> int:
        """A whole number; both bounds are included."""
        return int(self.random.integers(low, high + 1))

    def choice(self, *choices: str) -> str:
        """One of the texts."""
        return str(self.random.choice(choices))

    def node(self) -> str:
        """The name of a node."""
        return f"node:{self.integer(0, self.nodes - 1)}"

    def server(self) -> str:
        """The name of a server."""
        return f"server:{self.integer(0, self.servers - 1)}"

    def fault_span(self, longest: float) -> tuple[float, float]:
        """Draw a fault's start and duration in s; it is over CALM_S before the play ends."""
        at_s = self.uniform(START_S, max(START_S, self.seconds - CALM_S - 1.0))
        return at_s, self.uniform(0.3, max(0.3, min(longest, self.seconds - CALM_S - at_s)))


TomlValues = dict[str, float | str | tuple[str, str] | bool]


def toml_table(array: str, /, **values: float | str | tuple[str, str] | bool) -> str:
    """Format one table of a TOML array of tables."""
    lines = [f"[[{array}]]"]
    for key, value in values.items():
        if isinstance(value, bool):
            text = str(value).lower()
        elif isinstance(value, str):
            text = f'"{value}"'
        elif isinstance(value, tuple):
            text = "[" + ", ".join(f'"{part}"' for part in value) + "]"
        else:
            text = f"{value:g}"
        lines.append(f"{key.rstrip('_')} = {text}")
    return "\n".join(lines) + "\n"


def draw_play(seed: int, number: int, seconds: float) -> DrawnPlay:
    """Draw one play of a soak."""
    draw = PlayDraw(RandomStreams(seed).generator(f"soak {number}"), seconds)
    draw.zones = draw.integer(1, 3)
    draw.nodes = draw.integer(1, 6)
    draw.servers = draw.integer(max(3, 2 * draw.zones), 8)
    parts = [farm_toml(draw), *draw_classes(draw)]
    faults = [draw_fault(draw) for _ in range(draw.integer(1, MAX_FAULTS))]
    parts += [text for text, _ in faults]
    descriptions = tuple(description for _, description in faults)
    return DrawnPlay(seed, number, "\n".join(parts), draw.nodes, draw.servers, draw.zones, descriptions)


def farm_toml(draw: PlayDraw) -> str:
    """Draw the farm and its traffic, as TOML."""
    return f"""name = "soak"
length_s = {draw.seconds:g}
[fleet]
nodes = {draw.nodes}
servers = {draw.servers}
zones = {draw.zones}
cell_size = {draw.integer(2, 3)}
server_skew = {draw.uniform(0.0, 0.3):g}
[load]
of_capacity = {draw.uniform(0.2, 0.5):g}
swing = {draw.uniform(0.0, 0.2):g}
[choke]
share = 0
[net]
cross_ms = {draw.uniform(0.5, 2.5):g}
[discovery]
spread_ms = {draw.uniform(20.0, 500.0):g}
notice_s = {draw.uniform(0.2, 2.0):g}
add_s = {draw.uniform(0.1, 1.0):g}
[clients]
retries = {draw.integer(1, 4)}
backoff_ms = {draw.uniform(0.0, 80.0):g}
honour = {draw.uniform(0.0, 0.5):g}
[rig]
early_part = {draw.uniform(0.0, 0.05):g}
[[kinds]]
name = "plain"
share = 1
speed = {draw.uniform(1.0, 2.0):g}
slots_per_core = {draw.integer(2, 6)}
cold_from = {draw.uniform(0.15, 0.35):g}
cold_s = {draw.uniform(8.0, 20.0):g}
"""


def draw_classes(draw: PlayDraw) -> list[str]:
    """Draw one to three request classes, each with another effect."""
    effects = draw.random.permutation(EFFECTS)[: draw.integer(1, len(EFFECTS))]
    tables = []
    for effect in map(str, effects):
        deadline = draw.uniform(400.0, 2000.0)
        values: TomlValues = {
            "name": f"{effect}-work",
            "share": draw.uniform(0.2, 1.0),
            "work_ms": draw.uniform(20.0, 40.0),
            "aim_ms": round(deadline * draw.uniform(0.3, 0.9), 3),
            "deadline_ms": deadline,
            "worth": draw.uniform(1.0, 15.0),
            "effect": effect,
        }
        if effect == "keyed":
            values |= {"group": draw.choice("all", "zone", "cell"), "window_ms": draw.uniform(200.0, 800.0)}
        tables.append(toml_table("classes", **values))
    return tables


DrawnFault = tuple[str, str]  # its table in the scenario, and its description


def draw_fault(draw: PlayDraw) -> DrawnFault:
    """Draw a fault; a kind that would end a process that another fault already ends is drawn again."""
    while True:
        fault = FAULT_KINDS[draw.integer(0, len(FAULT_KINDS) - 1)](draw)
        if fault is not None:
            return fault


def claim_process(draw: PlayDraw, process: str) -> bool:
    """Reserve a process for a fault that ends or stops it. False if another fault has reserved it."""
    if process in draw.claimed_processes:
        return False
    draw.claimed_processes.add(process)
    return True


def draw_link_fault(draw: PlayDraw) -> DrawnFault | None:
    """A fault of the links between a node and servers or discovery."""
    name = draw.choice("delay", "silent", "reset", "refuse", "hold")
    node = draw.node()
    far_ends = [draw.server(), "servers", "discovery"]
    if draw.zones > 1:
        far_ends.append(f"zone:{draw.integer(0, draw.zones - 1)}")
    link_ends = (node, draw.choice(*far_ends))
    at_s, duration_s = draw.fault_span(5.0)
    values: TomlValues = {"name": name, "between": link_ends}
    values |= {"at_s": at_s, "for_s": duration_s, "way": draw.choice("both", "there", "back")}
    if name == "delay":
        values |= {"size": draw.uniform(5.0, 100.0), "jitter": draw.uniform(0.0, 30.0)}
    description = (
        f"{name} {link_ends[0]} - {link_ends[1]} ({values['way']}) from {at_s:g} s for {duration_s:g} s"
    )
    return toml_table("rig.faults", **values), description


def draw_process_fault(draw: PlayDraw) -> DrawnFault | None:
    """A node or a server is killed, restarted or stopped."""
    name = draw.choice("kill", "restart", "stop")
    process = draw.choice(draw.node(), draw.server())
    if not claim_process(draw, process):
        return None
    at_s, duration_s = draw.fault_span(3.0)
    values: TomlValues = {
        "name": name, "of": process, "at_s": at_s, "for_s": duration_s,
    }  # fmt: skip
    if name != "stop":
        values["keep"] = False
    return toml_table("rig.faults", **values), f"{name} {process} at {at_s:g} s for {duration_s:g} s"


def draw_discovery_outage(draw: PlayDraw) -> DrawnFault | None:
    """Discovery is down."""
    if not claim_process(draw, "discovery"):
        return None
    at_s, duration_s = draw.fault_span(8.0)
    text = toml_table("rig.faults", name="down", of="discovery", at_s=at_s, for_s=duration_s)
    return text, f"discovery down at {at_s:g} s for {duration_s:g} s"


def draw_discovery_fault(draw: PlayDraw) -> DrawnFault | None:
    """Discovery misbehaves while it has a change to send: servers are replaced in that time."""
    if not claim_process(draw, "discovery"):
        return None
    how = draw.choice("slow", "refuse", "reset", "hang", "silent", "close")
    at_s, duration_s = draw.fault_span(10.0)
    size = draw.uniform(0.0, 3.0 if how in ("refuse", "reset") else 10.0)
    text = toml_table(
        "rig.faults", name="listing", of="discovery", how=how, at_s=at_s, for_s=duration_s, size=size
    )
    leave_s = draw.uniform(at_s, at_s + min(duration_s, 2.0))
    text += "\n" + toml_table("troubles", name="replace", at_s=leave_s, part=0.3, extra=LONG_DRAIN_S)
    size_text = f" ({size:g} s)" if how not in ("reset", "hang") else ""
    return (
        text,
        f"discovery {how}{size_text} from {at_s:g} s for {duration_s:g} s, servers replaced at {leave_s:g} s",
    )


def draw_clock_fault(draw: PlayDraw) -> DrawnFault | None:
    """The wall clock of a node is wrong."""
    process, way = draw.node(), draw.choice("both", "back")
    if not claim_process(draw, f"clock of {process}"):
        return None
    at_s, duration_s = draw.fault_span(8.0)
    size = draw.choice("0.5", "20", "400", "3600")
    text = toml_table(
        "rig.faults", name="clock", of=process, at_s=at_s, for_s=duration_s, way=way, size=float(size)
    )
    return text, f"clock of {process} off by {'-' if way == 'back' else ''}{size} s from {at_s:g} s"


def draw_server_trouble(draw: PlayDraw) -> DrawnFault | None:
    """Some of the job servers misbehave, or are replaced."""
    name = draw.choice("slow", "fast_errors", "pauses", "lost", "resets", "replace")
    size_ranges = {"slow": (2.0, 6.0), "pauses": (50.0, 500.0), "replace": (1.0, 1.0)}
    at_s, duration_s = draw.fault_span(6.0)
    values: TomlValues = {
        "size": draw.uniform(*size_ranges.get(name, (0.05, 0.5))),
        "part": draw.uniform(0.1, 0.4),
    }
    text = toml_table("troubles", name=name, at_s=at_s, len_s=duration_s, **values)
    return text, f"{name} of a part of {values['part']} of the servers from {at_s:g} s for {duration_s:g} s"


def draw_burst(draw: PlayDraw) -> DrawnFault | None:
    """Traffic rises for a while."""
    if not claim_process(draw, "burst"):
        return None
    at_s, duration_s = draw.fault_span(4.0)
    size = draw.uniform(1.3, 2.0)
    text = toml_table("troubles", name="burst", at_s=at_s, len_s=duration_s, size=size, extra=0.2)
    return text, f"burst of {size:g} times from {at_s:g} s for {duration_s:g} s"


def draw_operator_action(draw: PlayDraw) -> DrawnFault | None:
    """An operator cordons a server, or quiesces, upgrades or restarts a node."""
    name = draw.choice("cordon", "quiesce", "upgrade", "restart")
    number = draw.integer(0, (draw.servers if name == "cordon" else draw.nodes) - 1)
    process = f"{'server' if name == 'cordon' else 'node'}:{number}"
    if not claim_process(draw, process):
        return None
    at_s, duration_s = draw.fault_span(5.0)
    text = toml_table("acts", name=name, at_s=at_s, for_s=duration_s, from_=number)
    return text, f"{name} {process} at {at_s:g} s for {duration_s:g} s"


FAULT_KINDS: tuple[Callable[[PlayDraw], DrawnFault | None], ...] = (
    draw_link_fault,
    draw_process_fault,
    draw_discovery_outage,
    *(3 * [draw_discovery_fault]),  # drawn more often, as it has caused the most breaches
    draw_clock_fault,
    draw_server_trouble,
    draw_burst,
    draw_operator_action,
)
