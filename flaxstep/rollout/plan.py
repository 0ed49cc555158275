"""The plan of a release: read from TOML, with all faults reported at once, and split into waves.

A plan says what is released and to which version, in which waves and order of zones, how many members may be
out of service at once and how much capacity and worth must remain, how long each wave is watched, and which
commands restart a process.
"""

from __future__ import annotations

import string
import tomllib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from flaxstep.rollout.config_decoding import convert_all

Text = Annotated[str, Meta(min_length=1, max_length=200)]
PositiveShare = Annotated[float, Meta(gt=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=10_000)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=86_400)]
Share = Annotated[float, Meta(ge=0, le=1)]
Arguments = Annotated[tuple[Text, ...], Meta(min_length=1, max_length=100)]
PLACEHOLDERS = {"id", "version", "door"}


class PlanError(Exception):
    """An invalid plan or farm file. Holds all faults, one line each."""

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = list(faults)


class Waves(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The waves: canaries first, then growing shares of all members, each wave within one zone."""

    canary: Count = 1
    shares: Annotated[tuple[PositiveShare, ...], Meta(min_length=1, max_length=100)] = (0.25, 1.0)
    zones: tuple[Text, ...] = ()  # their order; if empty, as the farm lists them


class CapacityLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What must remain in service during the release."""

    out_at_once: Count = 1
    # The share of the fleet's capacity, by size, that must be neither out of service nor cold at any time.
    capacity: PositiveShare = 0.8
    # Below this served share of the requested worth no update begins.
    worth: Share = 0.9
    # Below this share for half a minute the release has failed.
    halt_worth: Share = 0.5
    # Worth of a request, by class; 1 for classes that are not named.
    worths: dict[str, Annotated[float, Meta(ge=0)]] = {}


class Watch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long members are watched, and how the version is assessed."""

    # Length of the baseline measurement; after 20 s the shares of slow responses are off by a twelfth.
    before_s: PositiveSeconds = 120.0
    # Time from its return until a member does its full share of the work.
    warm_s: Seconds = 25.0
    # Bake time: how long each wave is watched once its members are warm.
    bake_s: Seconds = 60.0
    # Delay until a canary that was found bad is analysed again: machines have transient slowdowns.
    doubt_s: Seconds = 40.0
    # Interval between snapshots.
    look_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0
    # Drain time: how long requests may be in flight after a cordon.
    empty_s: PositiveSeconds = 30.0
    # How long to wait for a farm that is not fit for updates; then the release gives up, in a safe state.
    wait_s: PositiveSeconds = 600.0
    # False-positive rate: the chance, over the whole release, that a good version is halted.
    false_halt: Annotated[float, Meta(gt=0, le=0.2)] = 0.01
    # Tolerated slowdown: the factor on response times.
    slower: Annotated[float, Meta(ge=1, le=10)] = 1.1
    # Tolerated share of failed responses, beyond that of the other members.
    failures: Share = 0.002
    on_bad: Literal["back", "hold"] = "back"


class Commands(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The commands, as argument lists that are run without a shell.

    `{id}` and `{version}` stand for the member and its version; for nodes, `{door}` is the admin address of
    the process that is meant. `restart` of a node starts a second process there, `stop` asks one to end.
    `version` prints what a member runs; `check` tests a member and exits with 0 if its responses are correct.
    """

    restart: Arguments
    stop: Arguments | None = None
    version: Arguments | None = None
    check: Arguments | None = None
    time_limit_s: PositiveSeconds = 60.0  # of each command
    ready_s: PositiveSeconds = 60.0  # from a restart until the member responds and is listed


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The plan of a release: `what` is updated from version `from_` to version `to`."""

    name: Text
    what: Literal["servers", "nodes"]
    from_: Text = msgspec.field(name="from")
    to: Text
    commands: Commands
    waves: Waves = Waves()
    room: CapacityLimits = CapacityLimits()
    watch: Watch = Watch()


@dataclass(frozen=True, slots=True)
class Member:
    """A job server or a node that a release updates."""

    id: str
    zone: str
    size: float  # capacity, relative to the others


@dataclass(frozen=True, slots=True)
class Wave:
    """Members of one zone that are updated before the next wave begins, and watched together."""

    zone: str
    members: tuple[Member, ...]


def read_plan(path: Path) -> Plan:
    """Read a plan file; PlanError with all its faults."""
    try:
        return parse_plan(path.read_text())
    except OSError as error:
        raise PlanError([f"{path}: {error.strerror}"]) from None
    except UnicodeDecodeError:
        raise PlanError([f"{path}: not UTF-8 text"]) from None


def parse_plan(text: str) -> Plan:
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PlanError([f"not TOML: {error}"]) from None
    plan, faults = convert_all(raw, Plan)
    faults += semantic_faults(raw)
    if faults or plan is None:
        raise PlanError(faults)
    return plan


def semantic_faults(raw: dict[str, object]) -> list[str]:
    """The faults that the types cannot express, as far as the values are there."""
    return [*same_version(raw), *rising_shares(raw), *repeated_zones(raw), *unknown_fields(raw)]


def subtable(raw: dict[str, object], name: str) -> dict[str, object]:
    found = raw.get(name)
    return found if isinstance(found, dict) else {}


def same_version(raw: dict[str, object]) -> Iterator[str]:
    if "to" in raw and raw.get("from") == raw["to"]:
        yield "to: the same version as 'from'; there is nothing to release"


def rising_shares(raw: dict[str, object]) -> Iterator[str]:
    shares = subtable(raw, "waves").get("shares")
    if not isinstance(shares, list) or not shares or not all(isinstance(s, int | float) for s in shares):
        return
    if any(late <= early for early, late in zip(shares, shares[1:], strict=False)):
        yield "waves.shares: each must be more than the one before"
    if shares[-1] != 1:
        yield "waves.shares: the last must be 1, or the release never ends"


def repeated_zones(raw: dict[str, object]) -> Iterator[str]:
    zones = subtable(raw, "waves").get("zones")
    if isinstance(zones, list) and len(set(map(str, zones))) < len(zones):
        yield "waves.zones: a zone is named twice"


def unknown_fields(raw: dict[str, object]) -> Iterator[str]:
    fields = PLACEHOLDERS if raw.get("what") == "nodes" else PLACEHOLDERS - {"door"}
    for name in ("restart", "stop", "version", "check"):
        words = subtable(raw, "commands").get(name)
        if isinstance(words, list) and all(isinstance(word, str) for word in words):
            yield from command_faults(f"commands.{name}", words, fields)
    if raw.get("what") == "nodes" and "stop" not in subtable(raw, "commands"):
        yield "commands.stop: is missing; the old process must be asked to stop"


def command_faults(key: str, words: list[str], allowed: set[str]) -> Iterator[str]:
    named: set[str] = set()
    for i, word in enumerate(words):
        try:
            fields = {field for _, field, _, _ in string.Formatter().parse(word) if field is not None}
        except ValueError as error:
            yield f"{key}[{i}]: {error}"
            continue
        choice = ", ".join(f"{{{field}}}" for field in sorted(allowed))
        yield from (f"{key}[{i}]: {{{f}}} is none of {choice}" for f in sorted(fields - allowed))
        named |= fields
    if not named & {"id", "door"}:
        yield f"{key}: no {{id}}: the same command for every process"


def split_into_waves(plan: Plan, members: Sequence[Member]) -> list[Wave]:
    """The canaries, then the members of each share; a wave of several zones becomes one wave for each.

    Zones come in the plan's order, then those that it does not name. Within a zone the smallest members are
    first: if a version is bad, the least capacity is lost. PlanError if the plan names a zone without
    members.
    """
    seen = list(dict.fromkeys(member.zone for member in members))
    missing = [zone for zone in plan.waves.zones if zone not in seen]
    if missing:
        raise PlanError([f"waves.zones: no member is in {zone}" for zone in missing])
    order = [*plan.waves.zones, *(zone for zone in seen if zone not in plan.waves.zones)]
    line = sorted(members, key=lambda member: (order.index(member.zone), member.size, member.id))
    ends = [min(plan.waves.canary, len(line))]
    ends += [max(ends[0], round(share * len(line))) for share in plan.waves.shares]
    made: list[Wave] = []
    for start, end in zip([0, *ends], ends, strict=False):
        part = line[start:end]
        zones = dict.fromkeys(member.zone for member in part)
        made += [Wave(zone, tuple(member for member in part if member.zone == zone)) for zone in zones]
    return made


def max_out_at_once(plan: Plan, wave: Wave, members: Sequence[Member]) -> int:
    """How many members of a wave may be out of service together so that enough capacity remains."""
    whole = sum(member.size for member in members)
    spare, count = whole * (1 - plan.room.capacity) + 1e-9, 0
    for size in sorted((member.size for member in wave.members), reverse=True):
        spare -= size
        if spare < 0:
            break
        count += 1
    return min(count, plan.room.out_at_once)


def command_line(words: Sequence[str], member: str, version: str, door: str = "") -> list[str]:
    """The argument list of a command for a member."""
    return [word.format(id=member, version=version, door=door) for word in words]
