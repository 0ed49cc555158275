"""The list of tests that are passed over: KNOWN-RED.txt at the root, one `test | cause | issue` a line."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

MOST = 3  # lines; what fails beyond these keeps a landing out
LINE = re.compile(r"(tests/\S+\.py::[^|]*\S) \| ([^|]*[^|\s]) \| issue (\d+)")


class BadList(Exception):
    """A list that can't be taken: what is wrong with it, in one line."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """A test that fails for a real fault which could not be mended yet."""

    test: str  # node id, without a parameter: all of its cases
    cause: str
    issue: int

    def names(self, node_id: str) -> bool:
        return node_id == self.test or node_id.startswith(self.test + "[")


def read(text: str) -> list[KnownRed]:
    """The lines of the list; BadList at a fourth, a malformed or a repeated one."""
    found: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        match = LINE.fullmatch(line)
        if match is None:
            raise BadList(f"KNOWN-RED.txt, line {number}: not 'tests/FILE.py::TEST | CAUSE | issue N'")
        if any(red.test == match[1] for red in found):
            raise BadList(f"KNOWN-RED.txt, line {number}: {match[1]} is named twice")
        found.append(KnownRed(match[1], match[2], int(match[3])))
    if len(found) > MOST:
        raise BadList(f"KNOWN-RED.txt has {len(found)} lines: {MOST} at most")
    return found


def unknown(reds: Iterable[KnownRed], node_ids: Iterable[str]) -> list[KnownRed]:
    """Those that name none of the tests there are."""
    ids = list(node_ids)
    return [red for red in reds if not any(red.names(node_id) for node_id in ids)]
