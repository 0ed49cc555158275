"""What processes of the rig write down: one JSON object a line, each written at once, so that a kill loses
none.

Times are ms since the play began, by the machine's monotonic clock, which all processes share. Ports tell
the connections to one listener apart: each is that of the side that opened it, which may have the same port
on connections to others.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec


class Line(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    at: float


class Asked(Line, frozen=True):
    """A client has written a try whole."""

    first: int  # its first try's place among the day's
    number: int
    id: str
    cls: int
    zone: int
    port: int
    due: float
    fresh: bool  # the first request on its connection
    began: float  # of the first try


class Answered(Line, frozen=True):
    """What came of a try. Status 0: its connection ended first; -1: its client left or waited no longer."""

    id: str
    status: int
    whole: bool = True  # the body is one that a job server made for this request
    server: str = ""
    version: str = ""
    bytes: int = 0  # of the answer, where it broke off
    wait: float = 0.0  # ms that Retry-After asks for


class Dealt(Line, frozen=True):
    """The front has given a client's connection to a node; it has a listener for each zone."""

    zone: int
    port: int
    node: int


class Believed(Line, frozen=True):
    """The front takes a node for there, or not."""

    node: int
    there: bool


class Began(Line, frozen=True):
    """A request has come to a job server whole."""

    id: str
    key: str
    server: int
    version: str
    port: int
    turn: int  # its place on the connection
    first: float  # when its first byte came
    work: float  # ms on a standard core
    repeat: bool = False  # dropped by the rack


class Ended(Line, frozen=True):
    """A job server is done with a request: its outcome, or `left` if its connection ended."""

    id: str
    server: int
    port: int
    turn: int
    result: str


class Fell(Line, frozen=True):
    """A cold job server was sent more than it can bear."""

    server: int


class Held(Line, frozen=True):
    """What a job server holds, four times a second."""

    server: int
    held: int
    cold: bool
    slowed: bool
    done: float  # ms of standard work so far
    useful: float  # of it, for answers that served


class Turn(Line, frozen=True):
    """A request on a link, by its bytes from the caller; `at` is the answer's first byte, or the end."""

    caller: str
    callee: str
    port: int  # of the link's own connection to the callee
    turn: int
    first: float
    last: float
    delay: float = 0.0  # ms that the link adds on the way there


class Closed(Line, frozen=True):
    """One side has ended a connection of a link."""

    caller: str
    callee: str
    port: int
    by: str


class Told(Line, frozen=True):
    """Discovery has written a list, or a change of it, to a node."""

    node: int
    version: int
    whole: bool
    entries: dict[int, str]  # lifecycle by server
    assumed: bool = False  # it was not written: at that time it counts as told all the same


class Happened(Line, frozen=True):
    """Something was done to a process, or by staff: what, and to whom."""

    what: str
    whom: str
    note: str = ""


class Disturbed(Line, frozen=True):
    """A fault of links between two names begins, or ends."""

    name: str
    one: str
    other: str
    way: str
    begins: bool


Record = (
    Asked
    | Answered
    | Dealt
    | Believed
    | Began
    | Ended
    | Fell
    | Held
    | Turn
    | Closed
    | Told
    | Happened
    | Disturbed
)
_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


class Recorder:
    """Appends to one file. `t0` is the play's beginning, s on the monotonic clock."""

    def __init__(self, path: Path, t0: float) -> None:
        self.t0 = t0
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def now(self) -> float:
        return (time.monotonic() - self.t0) * 1000

    def write(self, record: Record) -> None:
        os.write(self._fd, _encoder.encode(record) + b"\n")

    def close(self) -> None:
        os.close(self._fd)


def read_records(folder: Path) -> Iterator[Record]:
    """All records of a play, file by file. A line that its writer's end cut short is passed over."""
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_bytes().split(b"\n"):
            if line.endswith(b"}"):
                yield _decoder.decode(line)
