"""The records that the processes of a play write: one JSON object a line.

Each record is written at once, so that a process that is killed loses none. Times are ms since the play
began, by the machine's monotonic clock, which all processes share. A connection is identified by its listener
and by the port of the side that opened it; the same port may be in use for connections to other listeners.

Class names are the tags of the records and field names their keys: both are part of the file format.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec


class Line(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of all records: the time at which the event happened."""

    at: float


class Asked(Line, frozen=True):
    """A client wrote the whole request of one try."""

    first: int  # index of the request among the day's first tries
    number: int  # 0 for the first try, 1 for its first retry and so on
    id: str
    cls: int  # index of the request class
    zone: int
    port: int
    due: float  # when the client gives up this try
    fresh: bool  # whether it is the first request on its connection
    began: float  # when the request's first try was due to be sent


class Answered(Line, frozen=True):
    """The outcome of a try. Status 0: its connection ended first; -1: its client left or timed out."""

    id: str
    status: int
    whole: bool = True  # False: a 200 without the body that a job server made for this request
    server: str = ""
    version: str = ""
    bytes: int = 0  # received of an incomplete response
    wait: float = 0.0  # ms, of Retry-After


class Dealt(Line, frozen=True):
    """The frontend balancer assigned a client's connection to a node. It has one listener for each zone."""

    zone: int
    port: int
    node: int


class Believed(Line, frozen=True):
    """The frontend balancer began to consider a node healthy, or unhealthy."""

    node: int
    there: bool


class Began(Line, frozen=True):
    """A whole request arrived at a job server."""

    id: str
    key: str
    server: int
    version: str
    port: int
    turn: int  # index of the request on its connection
    first: float  # arrival of its first byte
    work: float  # ms on a core of speed 1
    repeat: bool = False  # dropped as a repeat by the server's rack


class Ended(Line, frozen=True):
    """A job server finished a request: its outcome, or `left` if its connection ended first."""

    id: str
    server: int
    port: int
    turn: int
    result: str


class Fell(Line, frozen=True):
    """A cold job server was sent more than it can bear and went out of service."""

    server: int


class Held(Line, frozen=True):
    """A sample of a job server's load, taken four times a second."""

    server: int
    held: int  # requests in work and waiting
    cold: bool
    slowed: bool  # throttled, as by the scenario's [choke]
    done: float  # ms of work since the process started, on a core of speed 1
    useful: float  # the part of it whose responses were of use to a client


class Turn(Line, frozen=True):
    """A request that passed over a link. `at` is the first byte of its response, or its connection's end."""

    caller: str
    callee: str
    port: int  # local port of the link's own connection to the callee
    turn: int
    first: float  # first byte from the caller
    last: float  # last byte from the caller
    delay: float = 0.0  # ms that the link adds on the way to the callee


class Closed(Line, frozen=True):
    """One side closed a connection of a link."""

    caller: str
    callee: str
    port: int
    by: str


class Told(Line, frozen=True):
    """Discovery wrote a list, or a change of it, to a node."""

    node: int
    version: int
    whole: bool  # the full list, not a change
    entries: dict[int, str]  # lifecycle by server
    assumed: bool = False  # not written, but the node is held to know it from this time on


class Happened(Line, frozen=True):
    """An event of a process, or an action of an operator: what, and to which process."""

    what: str
    whom: str
    note: str = ""


class Disturbed(Line, frozen=True):
    """A fault of the links between two groups of processes began, or ended."""

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
    """Appends records to one file. `t0` is the start of the play in s on the monotonic clock."""

    def __init__(self, path: Path, t0: float) -> None:
        self.t0 = t0
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def now(self) -> float:
        """ms since the play began."""
        return (time.monotonic() - self.t0) * 1000

    def write(self, record: Record) -> None:
        """Append a record with one write call, without buffering."""
        os.write(self._fd, _encoder.encode(record) + b"\n")

    def close(self) -> None:
        os.close(self._fd)


def read_records(folder: Path) -> Iterator[Record]:
    """All records of a play, file by file. A line cut short by the end of its writer is skipped."""
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_bytes().split(b"\n"):
            if line.endswith(b"}"):
                yield _decoder.decode(line)
