"""What the processes of one node share during an upgrade, in a folder that they both have.

A file holds what operators have said of the servers; it is replaced whole, under a lock. Beside it each
process holds a lock on a file of its own: while another's is locked, the node is two processes.
"""

from __future__ import annotations

import fcntl
import json
import logging
import math
import os
import time
from collections.abc import Callable, Iterator, Set
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

MAX_FILE_BYTES = 1 << 20  # bytes; what is larger was not written here
LOCK_TIMEOUT_S = 0.1  # s to wait for the lock: whoever holds it needs far less

log = logging.getLogger("flaxstep.proxy")


def load_limited(data: bytes) -> Any:
    if len(data) > MAX_FILE_BYTES:
        raise ValueError("over the limit")
    return json.loads(data)


@dataclass(slots=True, frozen=True)
class OperatorState:
    """What operators have said, by the servers' names."""

    cordoned: frozenset[str] = frozenset()
    returned: dict[str, float] = field(default_factory=dict)  # Unix time in ms of the call back

    def without(self, name: str) -> OperatorState:
        """The server is taken out."""
        returned = {other: at for other, at in self.returned.items() if other != name}
        return OperatorState(self.cordoned | {name}, returned)

    def with_back(self, name: str, at: float, forget: Set[str]) -> OperatorState:
        """The server is called back. The returns of those to forget no longer matter."""
        returned = {other: when for other, when in self.returned.items() if other not in forget}
        return OperatorState(self.cordoned - {name}, returned | {name: at})

    def to_json(self) -> bytes:
        return json.dumps({"cordoned": sorted(self.cordoned), "returned": self.returned}).encode()

    @classmethod
    def from_json(cls, data: bytes) -> OperatorState:
        """ValueError at anything but what to_json writes."""
        raw = load_limited(data)
        if not isinstance(raw, dict) or raw.keys() != {"cordoned", "returned"}:
            raise ValueError("not an object with cordoned and returned")
        cordoned, returned = raw["cordoned"], raw["returned"]
        if not isinstance(cordoned, list) or not all(isinstance(name, str) for name in cordoned):
            raise ValueError("cordoned is no list of names")
        if not isinstance(returned, dict) or not all(
            isinstance(at, int | float) and math.isfinite(at) for at in returned.values()
        ):
            raise ValueError("returned holds no times by name")
        return cls(frozenset(cordoned), returned)


@dataclass(slots=True, frozen=True)
class Moment:
    """One moment on both clocks, in ms. The monotonic one is the same for all processes of a machine."""

    unix: float
    monotonic: float


def moments_from_json(data: bytes) -> dict[str, Moment]:
    """ValueError at anything but what write_moments writes."""
    raw = load_limited(data)
    if not isinstance(raw, dict):
        raise ValueError("not an object")
    moments = {}
    for name, pair in raw.items():
        if not isinstance(pair, list) or len(pair) != 2 or not all(isinstance(x, int | float) for x in pair):
            raise ValueError(f"{name}: not two times")
        moments[name] = Moment(*map(float, pair))
    return moments


class SharedState:
    """This process's part in it. Without a folder it keeps what is said to itself."""

    def __init__(
        self, folder: Path | None, name: str, on_change: Callable[[OperatorState, OperatorState], None]
    ) -> None:
        self.on_change = on_change  # gets what held before and what holds now
        self.shared = OperatorState()
        self.others = False  # another process of the node runs
        self.stamp: tuple[int, int] | None = None  # of the file as last read
        self.folder = folder
        # The file names keep this prefix: processes of earlier versions read and write them.
        stem = "badgercart-" + name.encode().hex()
        self.stem = stem + "."
        self.presence: int | None = None  # descriptor of the own lock
        self.looked = folder is None  # the latest look saw all there is
        self.closed = False
        self.trouble = ""  # what was last said to be wrong with the folder
        self.unwritten: frozenset[str] = frozenset()  # who is out here, and not yet in the file
        self.moments: dict[str, Moment] = {}  # of the returns, by name
        if folder is not None:
            self.file, self.lock = folder / f"{stem}.json", folder / f"{stem}.lock"
            self.moments_file = folder / f"{stem}.moments.json"
            self.own = folder / f"{stem}.{os.getpid()}-{time.monotonic_ns()}.alive"

    def start(self) -> None:
        self.look()

    def announce(self) -> None:
        """Let other processes see this one. OSError if they can't yet."""
        with self.locked():
            for path in self.presences():
                if not held(path):  # its process was killed
                    path.unlink(missing_ok=True)
            descriptor = os.open(self.own, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(descriptor)
                raise
            self.presence = descriptor

    def close(self) -> None:
        self.closed = True
        if self.presence is not None:
            self.own.unlink(missing_ok=True)
            os.close(self.presence)
            self.presence = None

    def look(self) -> None:
        """Take up what another process has written, and see whether one runs.

        What can't be looked at now is looked at again: unseen does not mean that nothing is there.
        """
        if self.folder is None:
            return
        troubles = [self.attempt(step) for step in (self.take, self.see_others, self.catch_up)]
        trouble = "; ".join(filter(None, troubles))
        self.looked = not any(troubles[:2])
        if trouble and trouble != self.trouble:
            log.warning("%s: %s; it is tried again", self.folder, trouble)
        self.trouble = trouble

    def attempt(self, step: Callable[[], None]) -> str:
        """What kept a step from being done; empty: nothing."""
        try:
            step()
        except OSError as error:
            return str(error)
        return ""

    def see_others(self) -> None:
        self.others = any(held(path) for path in self.presences())

    def catch_up(self) -> None:
        """Do what could not be done so far: be seen, and write down who is out."""
        if self.presence is None and not self.closed:
            self.announce()
        if self.unwritten:
            self.change(lambda shared: shared)

    def change(self, edit: Callable[[OperatorState], OperatorState]) -> None:
        """Keep a change, then let it hold. OSError, and nothing changed, if it can't be kept."""
        if self.folder is None:
            self.hold(edit(self.shared))
            return
        with self.locked():
            self.take()
            shared = edit(self.shared)
            self.write_moments(shared)  # first: who sees the return has its moment
            replace_file(self.file, shared.to_json())
            self.unwritten = frozenset()
            with suppress(OSError):  # it is read once more then
                self.stamp = file_stamp(self.file)
        self.hold(shared)

    def leave_out(self, name: str) -> None:
        """Take a server out here, though it could not be kept; it is written down as soon as it can be.

        The rule on a server that operators take out runs from 1 s after their call, whatever the answer.
        """
        self.unwritten |= {name}
        self.hold(self.shared)

    # When servers were called back. The shared file has Unix times, as versions before read and write it; the
    # wall clock may be stepped, so a file beside it has the same moments on the monotonic clock.

    def stamp_return(self, name: str, now: float) -> float:
        """A server is called back at `now` on the monotonic clock: the Unix time that says so."""
        self.moments[name] = Moment(time.time() * 1000, now)
        return self.moments[name].unix

    def returned_at(self, name: str, unix: float) -> float:
        """When it was called back, on the monotonic clock; by Unix time where nothing else tells."""
        moment = self.moments.get(name)
        if moment is not None and moment.unix == unix:
            return moment.monotonic
        age = max(0.0, time.time() * 1000 - unix)
        return time.monotonic() * 1000 - age

    def write_moments(self, shared: OperatorState) -> None:
        self.moments = {name: moment for name, moment in self.moments.items() if name in shared.returned}
        pairs = {name: [moment.unix, moment.monotonic] for name, moment in self.moments.items()}
        replace_file(self.moments_file, json.dumps(pairs).encode())

    def read_moments(self) -> None:
        try:
            self.moments |= moments_from_json(read_limited(self.moments_file))
        except FileNotFoundError:
            pass  # a version before has written the shared file
        except (ValueError, RecursionError) as error:
            log.warning("%s: %s; Unix times have to do", self.moments_file, error)

    def hold(self, shared: OperatorState) -> None:
        for name in self.unwritten:
            shared = shared.without(name)
        before, self.shared = self.shared, shared
        if shared != before:
            self.on_change(before, shared)

    def take(self) -> None:
        """Take up the file if it is another than the one last taken up; OSError if it can't be read now."""
        stamp = file_stamp(self.file)
        if stamp is None or stamp == self.stamp:
            return
        data = read_limited(self.file)
        try:
            shared = OperatorState.from_json(data)
        except (ValueError, RecursionError) as error:
            self.stamp = stamp  # it stays as it is until it is replaced
            log.warning("%s: %s; what held before holds on", self.file, error)
            return
        # Who is out must be known at once; when others came back is told by the second file.
        self.hold(OperatorState(shared.cordoned, self.shared.returned))
        self.read_moments()
        self.stamp = stamp
        self.hold(shared)

    def presences(self) -> list[Path]:
        assert self.folder is not None
        names = [
            name for name in os.listdir(self.folder) if name.startswith(self.stem) and name.endswith(".alive")
        ]
        return [self.folder / name for name in names if name != self.own.name]

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Alone among the node's processes. A holder that hangs must not hang this one too."""
        descriptor = os.open(self.lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            end = time.monotonic() + LOCK_TIMEOUT_S
            while True:
                with suppress(BlockingIOError):
                    fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                if time.monotonic() > end:
                    raise TimeoutError("the lock is held by another process")
                time.sleep(0.002)
            yield
        finally:
            os.close(descriptor)


def read_limited(path: Path) -> bytes:
    """A file of ours, or as much of it as shows that it is too large to be one."""
    with path.open("rb") as file:
        return file.read(MAX_FILE_BYTES + 1)


def file_stamp(path: Path) -> tuple[int, int] | None:
    """What changes when the file is replaced; None if there is none. OSError if that can't be seen."""
    try:
        status = path.stat()
    except FileNotFoundError:
        return None
    return status.st_mtime_ns, status.st_ino


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file whole: who reads it sees the old one or the new one."""
    new = path.with_suffix(".new")
    new.write_bytes(data)
    new.replace(path)


def held(path: Path) -> bool:
    """Whether the process whose lock this is runs."""
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return False
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return True
    finally:
        os.close(descriptor)
    return False
