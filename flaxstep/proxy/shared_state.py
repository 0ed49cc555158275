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


def parse_limited_json(data: bytes) -> Any:
    if len(data) > MAX_FILE_BYTES:
        raise ValueError("over the limit")
    return json.loads(data)


@dataclass(slots=True, frozen=True)
class OperatorState:
    """What operators have said, by the servers' names."""

    cordoned: frozenset[str] = frozenset()
    returned: dict[str, float] = field(default_factory=dict)  # Unix time in ms of the call back

    def with_cordoned(self, name: str) -> OperatorState:
        """The server is taken out."""
        returned = {other: at for other, at in self.returned.items() if other != name}
        return OperatorState(self.cordoned | {name}, returned)

    def with_returned(self, name: str, at: float, forget: Set[str]) -> OperatorState:
        """The server is called back. The returns of those to forget no longer matter."""
        returned = {other: when for other, when in self.returned.items() if other not in forget}
        return OperatorState(self.cordoned - {name}, returned | {name: at})

    def to_json(self) -> bytes:
        return json.dumps({"cordoned": sorted(self.cordoned), "returned": self.returned}).encode()

    @classmethod
    def from_json(cls, data: bytes) -> OperatorState:
        """ValueError at anything but what to_json writes."""
        raw = parse_limited_json(data)
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
class ReturnMoment:
    """One moment on both clocks, in ms. The monotonic one is the same for all processes of a machine."""

    unix: float
    monotonic: float


def parse_moments(data: bytes) -> dict[str, ReturnMoment]:
    """ValueError at anything but what write_moments writes."""
    raw = parse_limited_json(data)
    if not isinstance(raw, dict):
        raise ValueError("not an object")
    moments = {}
    for name, times in raw.items():
        if (
            not isinstance(times, list)
            or len(times) != 2
            or not all(isinstance(x, int | float) for x in times)
        ):
            raise ValueError(f"{name}: not two times")
        moments[name] = ReturnMoment(*map(float, times))
    return moments


class SharedState:
    """This process's part in it. Without a folder it keeps what is said to itself."""

    def __init__(
        self, folder: Path | None, name: str, on_change: Callable[[OperatorState, OperatorState], None]
    ) -> None:
        self.on_change = on_change  # gets what held before and what holds now
        self.state = OperatorState()
        self.others_running = False  # another process of the node runs
        self.last_file_stamp: tuple[int, int] | None = None  # of the file as last read
        self.folder = folder
        # The file names keep this prefix: processes of earlier versions read and write them.
        prefix = "badgercart-" + name.encode().hex()
        self.prefix = prefix + "."
        self.presence_descriptor: int | None = None  # descriptor of the own lock
        self.fully_read = folder is None  # the latest look saw all there is
        self.closed = False
        self.last_error = ""  # what was last said to be wrong with the folder
        self.unsaved_cordons: frozenset[str] = frozenset()  # who is out here, and not yet in the file
        self.moments: dict[str, ReturnMoment] = {}  # of the returns, by name
        if folder is not None:
            self.state_file, self.lock_file = folder / f"{prefix}.json", folder / f"{prefix}.lock"
            self.moments_file = folder / f"{prefix}.moments.json"
            self.presence_file = folder / f"{prefix}.{os.getpid()}-{time.monotonic_ns()}.alive"

    def start(self) -> None:
        self.refresh()

    def announce_process(self) -> None:
        """Let other processes see this one. OSError if they can't yet."""
        with self.exclusive_lock():
            for path in self.other_presence_files():
                if not is_locked(path):  # its process was killed
                    path.unlink(missing_ok=True)
            descriptor = os.open(self.presence_file, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(descriptor)
                raise
            self.presence_descriptor = descriptor

    def close(self) -> None:
        self.closed = True
        if self.presence_descriptor is not None:
            self.presence_file.unlink(missing_ok=True)
            os.close(self.presence_descriptor)
            self.presence_descriptor = None

    def refresh(self) -> None:
        """Take up what another process has written, and see whether one runs.

        What can't be looked at now is looked at again: unseen does not mean that nothing is there.
        """
        if self.folder is None:
            return
        errors = [
            self.run_step(step)
            for step in (self.read_file, self.detect_other_processes, self.retry_unfinished)
        ]
        error = "; ".join(filter(None, errors))
        self.fully_read = not any(errors[:2])
        if error and error != self.last_error:
            log.warning("%s: %s; it is tried again", self.folder, error)
        self.last_error = error

    def run_step(self, step: Callable[[], None]) -> str:
        """What kept a step from being done; empty: nothing."""
        try:
            step()
        except OSError as error:
            return str(error)
        return ""

    def detect_other_processes(self) -> None:
        self.others_running = any(is_locked(path) for path in self.other_presence_files())

    def retry_unfinished(self) -> None:
        """Do what could not be done so far: be seen, and write down who is out."""
        if self.presence_descriptor is None and not self.closed:
            self.announce_process()
        if self.unsaved_cordons:
            self.apply_change(lambda state: state)

    def apply_change(self, edit: Callable[[OperatorState], OperatorState]) -> None:
        """Keep a change, then let it hold. OSError, and nothing changed, if it can't be kept."""
        if self.folder is None:
            self.set_state(edit(self.state))
            return
        with self.exclusive_lock():
            self.read_file()
            state = edit(self.state)
            self.write_moments(state)  # first: who sees the return has its moment
            replace_file(self.state_file, state.to_json())
            self.unsaved_cordons = frozenset()
            with suppress(OSError):  # it is read once more then
                self.last_file_stamp = file_stamp(self.state_file)
        self.set_state(state)

    def cordon_unsaved(self, name: str) -> None:
        """Take a server out here, though it could not be kept; it is written down as soon as it can be.

        The rule on a server that operators take out runs from 1 s after their call, whatever the answer.
        """
        self.unsaved_cordons |= {name}
        self.set_state(self.state)

    # When servers were called back. The shared file has Unix times, as versions before read and write it; the
    # wall clock may be stepped, so a file beside it has the same moments on the monotonic clock.

    def record_return(self, name: str, now: float) -> float:
        """A server is called back at `now` on the monotonic clock: the Unix time that says so."""
        self.moments[name] = ReturnMoment(time.time() * 1000, now)
        return self.moments[name].unix

    def return_time(self, name: str, unix: float) -> float:
        """When it was called back, on the monotonic clock; by Unix time where nothing else tells."""
        moment = self.moments.get(name)
        if moment is not None and moment.unix == unix:
            return moment.monotonic
        age = max(0.0, time.time() * 1000 - unix)
        return time.monotonic() * 1000 - age

    def write_moments(self, state: OperatorState) -> None:
        self.moments = {name: moment for name, moment in self.moments.items() if name in state.returned}
        pairs = {name: [moment.unix, moment.monotonic] for name, moment in self.moments.items()}
        replace_file(self.moments_file, json.dumps(pairs).encode())

    def read_moments(self) -> None:
        try:
            self.moments |= parse_moments(read_limited(self.moments_file))
        except FileNotFoundError:
            pass  # a version before has written the shared file
        except (ValueError, RecursionError) as error:
            log.warning("%s: %s; Unix times have to do", self.moments_file, error)

    def set_state(self, state: OperatorState) -> None:
        for name in self.unsaved_cordons:
            state = state.with_cordoned(name)
        before, self.state = self.state, state
        if state != before:
            self.on_change(before, state)

    def read_file(self) -> None:
        """Take up the file if it is another than the one last taken up; OSError if it can't be read now."""
        file_stamp_now = file_stamp(self.state_file)
        if file_stamp_now is None or file_stamp_now == self.last_file_stamp:
            return
        data = read_limited(self.state_file)
        try:
            state = OperatorState.from_json(data)
        except (ValueError, RecursionError) as error:
            self.last_file_stamp = file_stamp_now  # it stays as it is until it is replaced
            log.warning("%s: %s; what held before holds on", self.state_file, error)
            return
        # Who is out must be known at once; when others came back is told by the second file.
        self.set_state(OperatorState(state.cordoned, self.state.returned))
        self.read_moments()
        self.last_file_stamp = file_stamp_now
        self.set_state(state)

    def other_presence_files(self) -> list[Path]:
        assert self.folder is not None
        names = [
            name
            for name in os.listdir(self.folder)
            if name.startswith(self.prefix) and name.endswith(".alive")
        ]
        return [self.folder / name for name in names if name != self.presence_file.name]

    @contextmanager
    def exclusive_lock(self) -> Iterator[None]:
        """Alone among the node's processes. A holder that hangs must not hang this one too."""
        descriptor = os.open(self.lock_file, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            deadline = time.monotonic() + LOCK_TIMEOUT_S
            while True:
                with suppress(BlockingIOError):
                    fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    break
                if time.monotonic() > deadline:
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
    temporary = path.with_suffix(".new")
    temporary.write_bytes(data)
    temporary.replace(path)


def is_locked(path: Path) -> bool:
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
