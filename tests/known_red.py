"""Parses KNOWN-RED.txt, the list of failing tests that are skipped: one `test | cause | issue` per line."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

MAX_ENTRIES = 3  # more failures than these must block a merge
ENTRY_PATTERN = re.compile(r"(tests/\S+\.py::[^|]*\S) \| ([^|]*[^|\s]) \| issue (\d+)")


class InvalidList(Exception):
    """KNOWN-RED.txt is malformed; the message says how, in one line."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """A test that fails because of a real bug that is not fixed yet."""

    test: str  # node id; without parameters it stands for all cases of the test
    cause: str
    issue: int

    def matches(self, node_id: str) -> bool:
        return node_id == self.test or node_id.startswith(self.test + "[")


def parse_list(text: str) -> list[KnownRed]:
    """Returns the entries of the list.

    Raises InvalidList if an entry is malformed or repeated, or if there are more than MAX_ENTRIES.
    """
    entries: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        match = ENTRY_PATTERN.fullmatch(line)
        if match is None:
            raise InvalidList(f"KNOWN-RED.txt, line {number}: not 'tests/FILE.py::TEST | CAUSE | issue N'")
        if any(red.test == match[1] for red in entries):
            raise InvalidList(f"KNOWN-RED.txt, line {number}: {match[1]} is named twice")
        entries.append(KnownRed(match[1], match[2], int(match[3])))
    if len(entries) > MAX_ENTRIES:
        raise InvalidList(f"KNOWN-RED.txt has {len(entries)} lines: {MAX_ENTRIES} at most")
    return entries


def find_stale_entries(reds: Iterable[KnownRed], node_ids: Iterable[str]) -> list[KnownRed]:
    """Returns the entries that match none of the collected tests."""
    collected = list(node_ids)
    return [red for red in reds if not any(red.matches(node_id) for node_id in collected)]
