"""What one play of the soak is made of: a scenario, drawn from the soak's seed and the play's number.

Nothing here starts a process. The same seed and number give the same scenario, byte for byte.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from flaxstep.simulator.engine import RandomStreams

START_S = 2.0  # no fault begins before the traffic flows
CALM_S = 3.0  # at the end of a play, so that what a fault has done can show
MOST_FAULTS = 4
LONG_DRAIN = 20.0  # s: who is sent something late by a stale list is still there to write it down
EFFECTS = ("safe", "keyed", "unsafe")


@dataclass(frozen=True, slots=True)
class DrawnPlay:
    """A play before it is played."""

    seed: int
    number: int
    scenario: str  # TOML
    nodes: int
    servers: int
    zones: int
    faults: tuple[str, ...]  # each in words, with its time

    @property
    def day_seed(self) -> int:
        """The seed of the play's day: traffic, servers, delays."""
        return self.seed * 10_000 + self.number


@dataclass(slots=True)
class Draw:
    """Numbers of one play, and what is known of its farm so far."""

    random: np.random.Generator
    seconds: float
    nodes: int = 1
    servers: int = 3
    zones: int = 1
    used: set[str] = field(default_factory=set)  # processes that a fault ends already

    def between(self, low: float, high: float) -> float:
        return round(float(self.random.uniform(low, high)), 3)

    def whole(self, low: int, high: int) -> int:
        """Both ends included."""
        return int(self.random.integers(low, high + 1))

    def one_of(self, *choices: str) -> str:
        return str(self.random.choice(choices))

    def node(self) -> str:
        return f"node:{self.whole(0, self.nodes - 1)}"

    def server(self) -> str:
        return f"server:{self.whole(0, self.servers - 1)}"

    def span(self, longest: float) -> tuple[float, float]:
        """When a fault begins and how long it lasts: it is over before the play's calm end."""
        at = self.between(START_S, max(START_S, self.seconds - CALM_S - 1.0))
        return at, self.between(0.3, max(0.3, min(longest, self.seconds - CALM_S - at)))


Figures = dict[str, float | str | tuple[str, str] | bool]


def table(array: str, /, **figures: float | str | tuple[str, str] | bool) -> str:
    """One table of an array of tables."""
    lines = [f"[[{array}]]"]
    for key, value in figures.items():
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
    """One play of a soak."""
    draw = Draw(RandomStreams(seed).generator(f"soak {number}"), seconds)
    draw.zones = draw.whole(1, 3)
    draw.nodes = draw.whole(1, 6)
    draw.servers = draw.whole(max(3, 2 * draw.zones), 8)
    parts = [head(draw), *classes(draw)]
    faults = [draw_fault(draw) for _ in range(draw.whole(1, MOST_FAULTS))]
    parts += [text for text, _ in faults]
    told = tuple(words for _, words in faults)
    return DrawnPlay(seed, number, "\n".join(parts), draw.nodes, draw.servers, draw.zones, told)


def head(draw: Draw) -> str:
    """The farm and its traffic."""
    return f"""name = "soak"
length_s = {draw.seconds:g}
[fleet]
nodes = {draw.nodes}
servers = {draw.servers}
zones = {draw.zones}
cell_size = {draw.whole(2, 3)}
server_skew = {draw.between(0.0, 0.3):g}
[load]
of_capacity = {draw.between(0.2, 0.5):g}
swing = {draw.between(0.0, 0.2):g}
[choke]
share = 0
[net]
cross_ms = {draw.between(0.5, 2.5):g}
[discovery]
spread_ms = {draw.between(20.0, 500.0):g}
notice_s = {draw.between(0.2, 2.0):g}
add_s = {draw.between(0.1, 1.0):g}
[clients]
retries = {draw.whole(1, 4)}
backoff_ms = {draw.between(0.0, 80.0):g}
honour = {draw.between(0.0, 0.5):g}
[rig]
early_part = {draw.between(0.0, 0.05):g}
[[kinds]]
name = "plain"
share = 1
speed = {draw.between(1.0, 2.0):g}
slots_per_core = {draw.whole(2, 6)}
cold_from = {draw.between(0.15, 0.35):g}
cold_s = {draw.between(8.0, 20.0):g}
"""


def classes(draw: Draw) -> list[str]:
    """One class of each of one to three effects, with deadlines and windows moved about."""
    effects = draw.random.permutation(EFFECTS)[: draw.whole(1, len(EFFECTS))]
    found = []
    for effect in map(str, effects):
        deadline = draw.between(400.0, 2000.0)
        figures: Figures = {
            "name": f"{effect}-work",
            "share": draw.between(0.2, 1.0),
            "work_ms": draw.between(20.0, 40.0),
            "aim_ms": round(deadline * draw.between(0.3, 0.9), 3),
            "deadline_ms": deadline,
            "worth": draw.between(1.0, 15.0),
            "effect": effect,
        }
        if effect == "keyed":
            figures |= {"group": draw.one_of("all", "zone", "cell"), "window_ms": draw.between(200.0, 800.0)}
        found.append(table("classes", **figures))
    return found


Fault = tuple[str, str]  # the scenario's table, and the fault in words


def draw_fault(draw: Draw) -> Fault:
    """A fault; one that would end a process that another fault ends already is drawn anew."""
    while True:
        made = FAULTS[draw.whole(0, len(FAULTS) - 1)](draw)
        if made is not None:
            return made


def claimed(draw: Draw, process: str) -> bool:
    """Whether the process may be ended or stopped by one more fault; two of them would meet."""
    if process in draw.used:
        return False
    draw.used.add(process)
    return True


def link_fault(draw: Draw) -> Fault | None:
    name = draw.one_of("delay", "silent", "reset", "refuse", "hold")
    one = draw.node()
    ends = [draw.server(), "servers", "discovery"]
    if draw.zones > 1:
        ends.append(f"zone:{draw.whole(0, draw.zones - 1)}")
    between = (one, draw.one_of(*ends))
    at, lasts = draw.span(5.0)
    figures: Figures = {"name": name, "between": between}
    figures |= {"at_s": at, "for_s": lasts, "way": draw.one_of("both", "there", "back")}
    if name == "delay":
        figures |= {"size": draw.between(5.0, 100.0), "jitter": draw.between(0.0, 30.0)}
    words = f"{name} {between[0]} - {between[1]} ({figures['way']}) from {at:g} s for {lasts:g} s"
    return table("rig.faults", **figures), words


def process_fault(draw: Draw) -> Fault | None:
    name = draw.one_of("kill", "restart", "stop")
    whom = draw.one_of(draw.node(), draw.server())
    if not claimed(draw, whom):
        return None
    at, lasts = draw.span(3.0)
    figures: Figures = {
        "name": name, "of": whom, "at_s": at, "for_s": lasts,
    }  # fmt: skip
    if name != "stop":
        figures["keep"] = False
    return table("rig.faults", **figures), f"{name} {whom} at {at:g} s for {lasts:g} s"


def discovery_fault(draw: Draw) -> Fault | None:
    if not claimed(draw, "discovery"):
        return None
    at, lasts = draw.span(8.0)
    text = table("rig.faults", name="down", of="discovery", at_s=at, for_s=lasts)
    return text, f"discovery down at {at:g} s for {lasts:g} s"


def listing_fault(draw: Draw) -> Fault | None:
    """Discovery is there and misbehaves, just when it has news: a server leaves in that time."""
    if not claimed(draw, "discovery"):
        return None
    how = draw.one_of("slow", "refuse", "reset", "hang", "silent", "close")
    at, lasts = draw.span(10.0)
    size = draw.between(0.0, 3.0 if how in ("refuse", "reset") else 10.0)
    text = table("rig.faults", name="listing", of="discovery", how=how, at_s=at, for_s=lasts, size=size)
    leaves = draw.between(at, at + min(lasts, 2.0))
    text += "\n" + table("troubles", name="replace", at_s=leaves, part=0.3, extra=LONG_DRAIN)
    sized = f" ({size:g} s)" if how not in ("reset", "hang") else ""
    return text, f"discovery {how}{sized} from {at:g} s for {lasts:g} s, servers replaced at {leaves:g} s"


def clock_fault(draw: Draw) -> Fault | None:
    whom, way = draw.node(), draw.one_of("both", "back")
    if not claimed(draw, f"clock of {whom}"):
        return None
    at, lasts = draw.span(8.0)
    size = draw.one_of("0.5", "20", "400", "3600")
    text = table("rig.faults", name="clock", of=whom, at_s=at, for_s=lasts, way=way, size=float(size))
    return text, f"clock of {whom} off by {'-' if way == 'back' else ''}{size} s from {at:g} s"


def server_trouble(draw: Draw) -> Fault | None:
    """Troubles of job servers, and servers that are replaced."""
    name = draw.one_of("slow", "fast_errors", "pauses", "lost", "resets", "replace")
    sizes = {"slow": (2.0, 6.0), "pauses": (50.0, 500.0), "replace": (1.0, 1.0)}
    at, lasts = draw.span(6.0)
    figures: Figures = {"size": draw.between(*sizes.get(name, (0.05, 0.5))), "part": draw.between(0.1, 0.4)}
    text = table("troubles", name=name, at_s=at, len_s=lasts, **figures)
    return text, f"{name} of a part of {figures['part']} of the servers from {at:g} s for {lasts:g} s"


def burst(draw: Draw) -> Fault | None:
    if not claimed(draw, "burst"):
        return None
    at, lasts = draw.span(4.0)
    size = draw.between(1.3, 2.0)
    text = table("troubles", name="burst", at_s=at, len_s=lasts, size=size, extra=0.2)
    return text, f"burst of {size:g} times from {at:g} s for {lasts:g} s"


def operators_act(draw: Draw) -> Fault | None:
    name = draw.one_of("cordon", "quiesce", "upgrade", "restart")
    number = draw.whole(0, (draw.servers if name == "cordon" else draw.nodes) - 1)
    whom = f"{'server' if name == 'cordon' else 'node'}:{number}"
    if not claimed(draw, whom):
        return None
    at, lasts = draw.span(5.0)
    text = table("acts", name=name, at_s=at, for_s=lasts, from_=number)
    return text, f"{name} {whom} at {at:g} s for {lasts:g} s"


FAULTS: tuple[Callable[[Draw], Fault | None], ...] = (
    link_fault,
    process_fault,
    discovery_fault,
    *(3 * [listing_fault]),  # what has hurt most so far
    clock_fault,
    server_trouble,
    burst,
    operators_act,
)
