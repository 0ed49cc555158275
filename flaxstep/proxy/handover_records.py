"""What one process of a node hands to the next in an upgrade, as lines of JSON: its list and its lease.

Clock times are ms of the monotonic clock, which the processes of one machine share.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import astuple, dataclass
from typing import Any

from flaxstep.proxy.identifiers import stable_id
from flaxstep.proxy.member_list import Drain, Endpoint, HandedList, StartTime
from flaxstep.routing.interface import LeaseState, ServerEntry, State

LIST_KIND, LEASE_KIND, END_KIND = "list", "lease", "end"


@dataclass(slots=True, frozen=True)
class EndRecord:
    """The last record: the process learns no more, and all that it was told has been written."""


Record = HandedList | LeaseState | EndRecord


class RecordCodec:
    """Turns records into lines and back. Zones and machine types are written by name."""

    def __init__(self, zones: Mapping[str, int], kinds: Mapping[str, int]) -> None:
        self.zones, self.kinds = zones, kinds
        self.zone_names = {number: name for name, number in zones.items()}
        self.kind_names = {number: name for name, number in kinds.items()}

    def encode(self, record: Record) -> bytes:
        """Return the line of a record, with its line break."""
        if isinstance(record, HandedList):
            fields: list[Any] = [LIST_KIND, *self._encode_list(record)]
        elif isinstance(record, LeaseState):
            fields = [LEASE_KIND, *astuple(record)]
        else:
            fields = [END_KIND]
        return json.dumps(fields, separators=(",", ":")).encode() + b"\n"

    def decode(self, line: bytes) -> Record:
        """Parse a line; ValueError if it is none that `encode` wrote."""
        try:
            kind, *fields = json.loads(line)
            if kind == LIST_KIND:
                return self._decode_list(*fields)
            if kind == LEASE_KIND:
                return LeaseState(*map(_read_time, fields))
            if kind == END_KIND and not fields:
                return EndRecord()
        except (TypeError, ValueError, RecursionError, OverflowError) as error:
            raise ValueError(f"malformed record: {error}") from None
        raise ValueError(f"a record of the kind {kind!r}")

    def _encode_list(self, handed: HandedList) -> list[Any]:
        endpoints = [self._encode_endpoint(endpoint) for endpoint in handed.endpoints]
        drains = [
            [
                drain.endpoint_id,
                drain.version,
                drain.started,
                None if drain.start is None else drain.start.unix,
            ]
            for drain in handed.drains
        ]
        return [
            handed.version,
            handed.watch_version,
            handed.whole,
            endpoints,
            drains,
            handed.lowest_clock_offset,
        ]

    def _decode_list(
        self,
        version: int,
        watch_version: int | None,
        whole: bool,
        endpoints: list[Any],
        drains: list[Any],
        lowest_clock_offset: float,
    ) -> HandedList:
        if not isinstance(whole, bool) or not isinstance(version, int):
            raise ValueError("not a list")
        if watch_version is not None and not isinstance(watch_version, int):
            raise ValueError("not a version to watch from")
        return HandedList(
            version,
            watch_version,
            whole,
            [self._decode_endpoint(*fields) for fields in endpoints],
            [_decode_drain(*fields) for fields in drains],
            _read_finite(lowest_clock_offset),
        )

    def _encode_endpoint(self, endpoint: Endpoint) -> list[Any]:
        entry = endpoint.entry
        return [
            endpoint.name,
            *endpoint.address,
            self.zone_names.get(entry.zone),
            self.kind_names.get(entry.kind),
            entry.cell,
            int(entry.state),
            entry.size,
            endpoint.started_at,
            entry.started,
        ]

    def _decode_endpoint(
        self,
        name: str,
        host: str,
        port: int,
        zone: str | None,
        kind: str | None,
        cell: int,
        state: int,
        size: float,
        started_unix: float,
        started: float,
    ) -> Endpoint:
        if not isinstance(host, str) or not isinstance(port, int) or not isinstance(cell, int):
            raise ValueError(f"{name}: not an endpoint")
        entry = ServerEntry(
            id=stable_id(name.encode("utf-8", "surrogatepass")),
            zone=-1 if zone is None else self.zones.get(zone, -1),
            kind=-1 if kind is None else self.kinds.get(kind, -1),
            cell=cell,
            state=State(state),
            size=_read_finite(size),
            started=_read_finite(started),
        )
        return Endpoint(entry, (host, port), name, _read_finite(started_unix))


def _decode_drain(endpoint_id: int, version: int, started: float, started_unix: float | None) -> Drain:
    if not isinstance(endpoint_id, int) or not isinstance(version, int):
        raise ValueError("not a drain")
    started = _read_finite(started)
    start = None if started_unix is None else StartTime(_read_finite(started_unix), started)
    return Drain(endpoint_id, version, started, start)


def _read_time(value: object) -> float:
    """A clock time, or an infinite one: never."""
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value):
        raise ValueError(f"{value!r} is not a time")
    return float(value)


def _read_finite(value: object) -> float:
    number = _read_time(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not a finite number")
    return number
