"""One breach as every process saw it: what each wrote down of the request, its server and its node."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from flaxstep.faultbench.records import (
    Asked,
    Began,
    Disturbed,
    Ended,
    Fell,
    Happened,
    Record,
    Told,
    read_records,
)
from flaxstep.faultbench.rule_checks import Breach

BEFORE, AFTER = 8000.0, 2000.0  # ms round the breach of which the farm's events are shown


def timeline(folder: Path, breach: Breach) -> list[str]:
    """Lines in order of time."""
    found = [record for record in read_records(folder) if concerns(record, breach)]
    found.sort(key=lambda record: record.at)
    return [f"{record.at / 1000:9.3f} s  {words(record)}" for record in found]


def concerns(record: Record, breach: Breach) -> bool:
    """Whether a record is of the breach's request, or of what its server and node met near that time."""
    if breach.request and getattr(record, "id", "") == breach.request:
        return True
    if not breach.at - BEFORE <= record.at <= breach.at + AFTER:
        return False
    if isinstance(record, Happened):
        return record.whom in (f"node:{breach.node}", f"server:{breach.server}", "discovery")
    if isinstance(record, Told):
        return record.node == breach.node and (record.whole or breach.server in record.entries)
    if isinstance(record, Fell):
        return record.server == breach.server
    return isinstance(record, Disturbed)


def words(record: Record) -> str:
    """A record in one line."""
    if isinstance(record, Asked):
        return f"client: request {record.id} written, its time ends at {record.due / 1000:.3f} s"
    if isinstance(record, Began):
        return (
            f"server:{record.server}: request {record.id} came whole, its first byte at {record.first:.1f} ms"
        )
    if isinstance(record, Ended):
        return f"server:{record.server}: request {record.id} ended: {record.result}"
    if isinstance(record, Told):
        kind = "the whole list" if record.whole else "a change"
        return f"discovery: {kind} written to node:{record.node}, version {record.version}: {record.entries}"
    if isinstance(record, Happened):
        return f"{record.whom}: {record.what} {record.note}".rstrip()
    if isinstance(record, Disturbed):
        return f"link {record.one} - {record.other}: {record.name} {'begins' if record.begins else 'ends'}"
    return f"{type(record).__name__.lower()}: {msgspec.json.encode(record).decode()}"


def report(folder: Path, breaches: list[Breach]) -> Iterator[str]:
    """The first breach of each rule with its timeline."""
    seen: set[str] = set()
    for breach in breaches:
        if breach.rule in seen:
            continue
        seen.add(breach.rule)
        place = f"node {breach.node}, request {breach.request or '-'}, server {breach.server}"
        yield f"{breach.rule} at {breach.at / 1000:.3f} s, {place}: {breach.what}"
        yield from (f"    {line}" for line in timeline(folder, breach))
