"""The timeline of a breach: what every process recorded of its request, server and node."""

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

SHOWN_BEFORE_MS, SHOWN_AFTER_MS = 8000.0, 2000.0  # period around a breach whose events are shown


def build_timeline(folder: Path, breach: Breach) -> list[str]:
    """The records that concern a breach, one line each, in order of time."""
    records = [record for record in read_records(folder) if is_relevant(record, breach)]
    records.sort(key=lambda record: record.at)
    return [f"{record.at / 1000:9.3f} s  {describe_record(record)}" for record in records]


def is_relevant(record: Record, breach: Breach) -> bool:
    """Whether a record is of the breach's request, or of an event of its server or node near that time."""
    if breach.request and getattr(record, "id", "") == breach.request:
        return True
    if not breach.at - SHOWN_BEFORE_MS <= record.at <= breach.at + SHOWN_AFTER_MS:
        return False
    if isinstance(record, Happened):
        return record.whom in (f"node:{breach.node}", f"server:{breach.server}", "discovery")
    if isinstance(record, Told):
        return record.node == breach.node and (record.whole or breach.server in record.entries)
    if isinstance(record, Fell):
        return record.server == breach.server
    return isinstance(record, Disturbed)


def describe_record(record: Record) -> str:
    """Describe a record in one line."""
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


def describe_breaches(folder: Path, breaches: list[Breach]) -> Iterator[str]:
    """Describe the first breach of each rule, with its timeline."""
    rules_shown: set[str] = set()
    for breach in breaches:
        if breach.rule in rules_shown:
            continue
        rules_shown.add(breach.rule)
        place = f"node {breach.node}, request {breach.request or '-'}, server {breach.server}"
        yield f"{breach.rule} at {breach.at / 1000:.3f} s, {place}: {breach.what}"
        yield from (f"    {line}" for line in build_timeline(folder, breach))
