"""Parses the server lists of discovery, entry by entry: a malformed entry does not affect the others."""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from flaxstep.proxy.config import Address, parse_address
from flaxstep.proxy.wall_clock import WallClock
from flaxstep.routing.interface import ListKind, ServerEntry, State
from flaxstep.routing.membership import MAX_TOMBSTONES, Membership, Tombstone

STATE_BY_LIFECYCLE = {"active": State.READY, "leaving": State.DRAINING, "left": State.GONE}
MAX_LOGGED_FAULTS = 1024  # remembered, so that each is logged once

log = logging.getLogger("flaxstep.proxy")


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the list: what the routing policy gets of it, and its address and name."""

    entry: ServerEntry
    address: Address
    name: str
    started_at: float  # Unix time in ms as listed, 0: long ago


@dataclass(slots=True)
class MemberList:
    """The readable part of a list."""

    kind: ListKind
    version: int | None  # None: the full list has to be requested
    endpoints: list[Endpoint]


@dataclass(slots=True, frozen=True)
class StartTime:
    """When an endpoint started, on both clocks, in ms."""

    unix: float
    monotonic: float  # computed when this start was first listed


@dataclass(slots=True, frozen=True)
class Drain:
    """An endpoint that has drained or left, by the list that told it."""

    endpoint_id: int
    version: int
    started: float  # on the monotonic clock, in ms
    start: StartTime | None  # on both clocks, if that is still known


@dataclass(slots=True, frozen=True)
class HandedList:
    """The list of one process of a node, or a change of it, as the next process gets it."""

    version: int  # the newest that the process has seen
    watch_version: int | None  # from which it watches; None: it needs the full list
    whole: bool  # otherwise only changed endpoints
    endpoints: list[Endpoint]
    drains: list[Drain]
    lowest_clock_offset: float  # Unix time minus monotonic time, in ms, as of WallClock


@dataclass(slots=True)
class _Fault:
    """A field with an invalid value."""

    name: str
    key: str
    value: object


@dataclass
class MemberListReader:
    """Turns the decoded JSON of discovery into endpoints; zones and machine types become numbers."""

    zones: dict[str, int]
    kinds: dict[str, int]
    clock: WallClock
    stable_id: Callable[[bytes], int]
    membership: Membership = field(default_factory=Membership)
    known_endpoints: dict[int, Endpoint] = field(default_factory=dict)
    # By endpoint, also of those that have left the list.
    known_starts: OrderedDict[int, StartTime] = field(default_factory=OrderedDict)
    logged_faults: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def read(self, raw: Any, kind: ListKind | None) -> MemberList:
        """Read a list; `kind` is None for a line of a watch, which states itself whether it is a full list.

        A line of a watch without a version, or with an entry without an id, may lack some of its changes: its
        readable entries are applied, and the version is None. ValueError if it is not a list at all.
        """
        if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
            raise ValueError("not an object with a list of instances")
        from_watch = kind is None
        if step := self.clock.detect_step():
            log.warning("the wall clock was stepped by %.0f ms; durations are not affected", step)
        if kind is None:
            reset = raw.get("reset")
            if not isinstance(reset, bool):
                raise ValueError(f"reset is {reset!r}")
            kind = ListKind.FULL if reset else ListKind.DELTA
        version = raw.get("generation")
        if isinstance(version, bool) or not isinstance(version, int):
            self._log_fault(_Fault("the list", "generation", version))
            version = None
        instances = raw["instances"]
        if from_watch and (version is None or not all(map(self._has_instance_id, instances))):
            kind, version = ListKind.DELTA, None
        endpoints = [
            parsed for instance in instances if (parsed := self._read_endpoint(instance)) is not None
        ]
        # If several entries have the same id, the last one counts.
        latest_by_id = {endpoint.entry.id: endpoint for endpoint in endpoints}
        return MemberList(kind, version, self._resolve(kind, version, list(latest_by_id.values())))

    def export(self, watch_version: int | None) -> HandedList:
        """Return the list in force, with the drains that it no longer names."""
        drains = []
        for endpoint_id, tombstone in self.membership.tombstones.items():
            start = self.known_starts.get(endpoint_id)
            if start is not None and start.monotonic != tombstone.started:
                start = None  # of a later start
            drains.append(Drain(endpoint_id, tombstone.version, tombstone.started, start))
        endpoints = list(self.known_endpoints.values())
        version, offset = self.membership.newest_version, self.clock.lowest_offset
        return HandedList(version, watch_version, True, endpoints, drains, offset)

    def export_change(self, endpoints: list[Endpoint], watch_version: int | None) -> HandedList:
        """Return a change that has been applied."""
        version, offset = self.membership.newest_version, self.clock.lowest_offset
        return HandedList(version, watch_version, False, endpoints, [], offset)

    def adopt(self, handed: HandedList, own_list_confirmed: bool) -> MemberList | None:
        """Apply the list of the predecessor, the other process of this node; None if the own one stays.

        Its drains are kept either way. It may have computed starts before the wall clock was stepped, so its
        clock times of them count.
        """
        self.clock.include_offset(handed.lowest_clock_offset)
        accepted = self.membership.accepts_handover(handed.version, own_list_confirmed)
        members: MemberList | None = None
        if accepted:
            for endpoint in handed.endpoints:
                self._adopt_start(endpoint.entry.id, StartTime(endpoint.started_at, endpoint.entry.started))
            for drain in handed.drains:
                if drain.start is not None:
                    self._adopt_start(drain.endpoint_id, drain.start)
            kind = ListKind.FULL if handed.whole else ListKind.DELTA
            members = MemberList(kind, handed.version, self._resolve(kind, handed.version, handed.endpoints))
        self.membership.add_tombstones(
            {drain.endpoint_id: Tombstone(drain.version, drain.started) for drain in handed.drains}, accepted
        )
        return members

    def _adopt_start(self, endpoint_id: int, start: StartTime) -> None:
        known = self.known_starts.pop(endpoint_id, None)
        if known is not None and known.unix == start.unix:
            self.membership.replace_start(endpoint_id, known.monotonic, start.monotonic)
        self.known_starts[endpoint_id] = start

    def _resolve(self, kind: ListKind, version: int | None, endpoints: list[Endpoint]) -> list[Endpoint]:
        entries = [endpoint.entry for endpoint in endpoints]
        resolved = self.membership.resolve(kind, version, entries)
        endpoints = [
            endpoint if entry is endpoint.entry else replace(endpoint, entry=entry)
            for entry, endpoint in zip(resolved, endpoints, strict=True)
        ]
        if kind is not ListKind.DELTA:
            self.known_endpoints.clear()
        for endpoint in endpoints:
            if endpoint.entry.state is State.GONE:
                self.known_endpoints.pop(endpoint.entry.id, None)
            else:
                self.known_endpoints[endpoint.entry.id] = endpoint
        return endpoints

    def _has_instance_id(self, instance: Any) -> bool:
        """Whether an entry has a usable instanceId."""
        if not isinstance(instance, dict):
            self._log_fault(_Fault("an entry", "it", instance))
            return False
        name = instance.get("instanceId")
        if isinstance(name, str) and name:
            return True
        self._log_fault(_Fault("an entry", "instanceId", name))
        return False

    def _read_endpoint(self, instance: Any) -> Endpoint | None:
        """Read one entry; None if it can't be used.

        The id and the lifecycle are required. For other invalid fields the previous values are kept.
        """
        if not self._has_instance_id(instance):
            return None
        name = instance["instanceId"]
        endpoint_id = self.stable_id(name.encode("utf-8", "surrogatepass"))
        previous = self.known_endpoints.get(endpoint_id)
        state = self._read_state(name, instance.get("lifecycle"))
        if state is None:
            return previous  # still listed, so it has not left
        address = self._read_address(name, instance.get("hostPort"), previous)
        if address is None:
            if state is State.READY:
                return None  # it can't be reached
            address = ("", 0)
        started_at = self._read_started_at(name, instance.get("startedAtMs", 0), previous)
        entry = ServerEntry(
            id=endpoint_id,
            zone=self._number_of(instance.get("zone"), self.zones),
            kind=self._number_of(instance.get("machineType"), self.kinds),
            cell=self._read_cell(name, instance.get("cell", -1)),
            state=state,
            size=self._read_size(name, instance.get("weight", 1.0), previous),
            started=self._monotonic_start(endpoint_id, started_at),
        )
        return Endpoint(entry, address, name, started_at)

    def _read_state(self, name: str, lifecycle: object) -> State | None:
        if isinstance(lifecycle, str) and lifecycle in STATE_BY_LIFECYCLE:
            return STATE_BY_LIFECYCLE[lifecycle]
        self._log_fault(_Fault(name, "lifecycle", lifecycle))
        return State.DRAINING if isinstance(lifecycle, str) else None  # an unknown lifecycle is not active

    def _read_address(self, name: str, text: object, previous: Endpoint | None) -> Address | None:
        try:
            if isinstance(text, str):
                return parse_address(text)
        except ValueError:
            pass
        self._log_fault(_Fault(name, "hostPort", text))
        return None if previous is None else previous.address

    @staticmethod
    def _number_of(name: object, numbers: dict[str, int]) -> int:
        return numbers.get(name, -1) if isinstance(name, str) else -1

    def _read_cell(self, name: str, value: object) -> int:
        if isinstance(value, int) and not isinstance(value, bool):
            return value
        self._log_fault(_Fault(name, "cell", value))
        return -1

    def _read_size(self, name: str, value: object, previous: Endpoint | None) -> float:
        if _is_finite_number(value) and value >= 0:  # type: ignore[operator]  # checked by _is_finite_number
            return float(value)  # type: ignore[arg-type]
        self._log_fault(_Fault(name, "weight", value))
        return 1.0 if previous is None else previous.entry.size

    def _read_started_at(self, name: str, value: object, previous: Endpoint | None) -> float:
        """Unix time in ms; 0 for long ago. An invalid time counts as now, so the endpoint counts as cold."""
        if _is_finite_number(value):
            return float(value)  # type: ignore[arg-type]
        self._log_fault(_Fault(name, "startedAtMs", value))
        return self.clock.unix() if previous is None else previous.started_at

    def _monotonic_start(self, endpoint_id: int, unix: float) -> float:
        """The start on the monotonic clock. A known start is kept, so wall clock steps don't change it.

        Also of an endpoint that has left: an older list that names it again tells of no new start.
        """
        start = self.known_starts.pop(endpoint_id, None)
        if start is None or start.unix != unix:
            start = StartTime(unix, self.clock.to_monotonic(unix) if unix else 0.0)
        self.known_starts[endpoint_id] = start
        while len(self.known_starts) > len(self.known_endpoints) + MAX_TOMBSTONES:
            self.known_starts.popitem(last=False)
        return start.monotonic

    def _log_fault(self, fault: _Fault) -> None:
        message = f"{fault.name}: {fault.key} is {str(fault.value)[:80]!r}"
        if message in self.logged_faults:
            return
        self.logged_faults[message] = None
        if len(self.logged_faults) > MAX_LOGGED_FAULTS:
            self.logged_faults.popitem(last=False)
        log.warning("discovery: %s; the other entries are applied", message)


def _is_finite_number(value: object) -> bool:
    """Whether it is a finite number: JSON decoders accept NaN and integers too large for a float."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    try:
        return math.isfinite(value)
    except OverflowError:
        return False
