"""State that the old and the new process of a node share during an upgrade, in a common folder.

One file has the servers that operators cordoned and uncordoned; it is replaced as a whole, under a lock. Each
process also locks a file of its own, its presence file: others see by that lock that the process is running.
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

MAX_FILE_BYTES = 1 << 20  # larger files were not written by a node
LOCK_TIMEOUT_S = 0.1  # the lock is held for a far shorter time
# Of the files of one process.
PRESENCE_SUFFIX, HANDOVER_SUFFIX, UNFINISHED_HANDOVER_SUFFIX = ".alive", ".list", ".unfinished-list"

log = logging.getLogger("flaxstep.proxy")


def shared_file_prefix(name: str) -> str:
    """How the names of a node's shared files begin: processes of earlier versions read and write them."""
    return "badgercart-" + name.encode().hex()


def parse_limited_json(data: bytes) -> Any:
    """Decode JSON of at most MAX_FILE_BYTES; ValueError otherwise."""
    if len(data) > MAX_FILE_BYTES:
        raise ValueError("the file is too large")
    return json.loads(data)


@dataclass(slots=True, frozen=True)
class OperatorState:
    """The servers that operators cordoned, and those that they uncordoned, by name."""

    cordoned: frozenset[str] = frozenset()
    returned: dict[str, float] = field(default_factory=dict)  # Unix time in ms of uncordoning

    def with_cordoned(self, name: str) -> OperatorState:
        """A copy in which the server is cordoned."""
        returned = {other: at for other, at in self.returned.items() if other != name}
        return OperatorState(self.cordoned | {name}, returned)

    def with_returned(self, name: str, at: float, forget: Set[str]) -> OperatorState:
        """A copy in which the server is uncordoned, without the return times of the servers in `forget`."""
        returned = {other: when for other, when in self.returned.items() if other not in forget}
        return OperatorState(self.cordoned - {name}, returned | {name: at})

    def to_json(self) -> bytes:
        return json.dumps({"cordoned": sorted(self.cordoned), "returned": self.returned}).encode()

    @classmethod
    def from_json(cls, data: bytes) -> OperatorState:
        """Parse the output of to_json; ValueError for anything else."""
        raw = parse_limited_json(data)
        if not isinstance(raw, dict) or raw.keys() != {"cordoned", "returned"}:
            raise ValueError("not an object with cordoned and returned")
        cordoned, returned = raw["cordoned"], raw["returned"]
        if not isinstance(cordoned, list) or not all(isinstance(name, str) for name in cordoned):
            raise ValueError("cordoned is not a list of names")
        if not isinstance(returned, dict) or not all(
            isinstance(at, int | float) and math.isfinite(at) for at in returned.values()
        ):
            raise ValueError("returned is not an object of times by name")
        return cls(frozenset(cordoned), returned)


@dataclass(slots=True, frozen=True)
class ReturnMoment:
    """When a server was uncordoned, in ms on both clocks. The monotonic one is common to a machine."""

    unix: float
    monotonic: float


def parse_moments(data: bytes) -> dict[str, ReturnMoment]:
    """Parse the output of write_moments; ValueError for anything else."""
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
            raise ValueError(f"{name}: not a pair of times")
        moments[name] = ReturnMoment(*map(float, times))
    return moments


class SharedState:
    """The shared state as this process sees it. Without a folder, the state is local to the process."""

    def __init__(
        self, folder: Path | None, name: str, on_change: Callable[[OperatorState, OperatorState], None]
    ) -> None:
        self.on_change = on_change  # called with the old and the new state
        self.state = OperatorState()
        self.running_others: list[Path] = []  # the presence files of this node's other processes
        self.last_file_stamp: tuple[int, int] | None = None  # of the state file when last read
        self.folder = folder
        prefix = shared_file_prefix(name)
        self.prefix = prefix + "."
        self.presence_descriptor: int | None = None  # of the locked presence file
        self.fully_read = folder is None  # the last refresh could read everything
        self.closed = False
        self.last_error = ""  # last logged about the folder
        self.unsaved_cordons: frozenset[str] = frozenset()  # in force here, but not in the file yet
        self.moments: dict[str, ReturnMoment] = {}  # by server name
        if folder is not None:
            self.state_file, self.lock_file = folder / f"{prefix}.json", folder / f"{prefix}.lock"
            self.moments_file = folder / f"{prefix}.moments.json"
            self.presence_file = folder / f"{prefix}.{os.getpid()}-{time.monotonic_ns()}{PRESENCE_SUFFIX}"

    def start(self) -> None:
        """Read the shared state for the first time, and announce this process."""
        self.refresh()

    def announce_process(self) -> None:
        """Lock the presence file, so that other processes see this one. OSError if that fails."""
        with self.exclusive_lock():
            for path in self.other_presence_files():
                if not is_locked(path):  # left by a process that was killed
                    path.unlink(missing_ok=True)
            self.remove_unused_handovers()
            descriptor = os.open(self.presence_file, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(descriptor)
                raise
            self.presence_descriptor = descriptor

    def remove_unused_handovers(self) -> None:
        """Remove the lists that processes have left which are not running any more."""
        assert self.folder is not None
        unfinished = self.files_with_suffix(UNFINISHED_HANDOVER_SUFFIX)
        for path in self.files_with_suffix(HANDOVER_SUFFIX) + unfinished:
            if not is_locked(path.with_suffix(PRESENCE_SUFFIX)):
                path.unlink(missing_ok=True)

    def close(self) -> None:
        """Remove the presence file and release its lock."""
        self.closed = True
        if self.presence_descriptor is not None:
            self.presence_file.unlink(missing_ok=True)
            os.close(self.presence_descriptor)
            self.presence_descriptor = None

    def refresh(self) -> None:
        """Read what other processes have written, and detect whether one is running.

        Whatever can't be read now is read again later: an error does not mean that there is nothing.
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
            log.warning("%s: %s; trying again", self.folder, error)
        self.last_error = error

    def run_step(self, step: Callable[[], None]) -> str:
        """Run a step and return the error that prevented it, or an empty string."""
        try:
            step()
        except OSError as error:
            return str(error)
        return ""

    def detect_other_processes(self) -> None:
        """Check which other processes hold the locks of their presence files."""
        self.running_others = [path for path in self.other_presence_files() if is_locked(path)]

    @property
    def others_running(self) -> bool:
        """Whether another process of this node is running."""
        return bool(self.running_others)

    @property
    def successor_running(self) -> bool:
        """Whether a process of this node that started after this one is running."""
        return any(started_ns(path) > started_ns(self.presence_file) for path in self.running_others)

    def find_predecessor(self) -> Path | None:
        """The presence file of the youngest running process that started before this one."""
        earlier = [path for path in self.running_others if started_ns(path) < started_ns(self.presence_file)]
        return max(earlier, key=started_ns) if earlier else None

    def retry_unfinished(self) -> None:
        """Announce this process and save its cordons, if that has failed before."""
        if self.presence_descriptor is None and not self.closed:
            self.announce_process()
        if self.unsaved_cordons:
            self.apply_change(lambda state: state)

    def apply_change(self, edit: Callable[[OperatorState], OperatorState]) -> None:
        """Save a change, then apply it. OSError, and no change, if it can't be saved."""
        if self.folder is None:
            self.set_state(edit(self.state))
            return
        with self.exclusive_lock():
            self.read_file()
            state = edit(self.state)
            self.write_moments(state)  # first, so that readers of the state file find the moments
            replace_file(self.state_file, state.to_json())
            self.unsaved_cordons = frozenset()
            with suppress(OSError):  # then the file is just read once more
                self.last_file_stamp = file_stamp(self.state_file)
        self.set_state(state)

    def cordon_unsaved(self, name: str) -> None:
        """Cordon a server in this process although that could not be saved; saving it is retried.

        A cordon must be in force 1 s after the operator's call, whatever the response to the call was.
        """
        self.unsaved_cordons |= {name}
        self.set_state(self.state)

    # Return times: when servers were uncordoned. The state file has them as Unix time, which earlier versions
    # read and write. As the wall clock may be stepped, a second file has them on the monotonic clock too.

    def record_return(self, name: str, now: float) -> float:
        """Record that a server is uncordoned at the monotonic time `now`; return the Unix time."""
        self.moments[name] = ReturnMoment(time.time() * 1000, now)
        return self.moments[name].unix

    def return_time(self, name: str, unix: float) -> float:
        """The monotonic time of uncordoning, computed from Unix time if no moment is recorded."""
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
            pass  # an earlier version has written the state file
        except (ValueError, RecursionError) as error:
            log.warning("%s: %s; using Unix times", self.moments_file, error)

    def set_state(self, state: OperatorState) -> None:
        """Put a state into force, with the cordons that are not saved yet, and report a change."""
        for name in self.unsaved_cordons:
            state = state.with_cordoned(name)
        before, self.state = self.state, state
        if state != before:
            self.on_change(before, state)

    def read_file(self) -> None:
        """Apply the state file if it was replaced since the last read; OSError if it can't be read."""
        file_stamp_now = file_stamp(self.state_file)
        if file_stamp_now is None or file_stamp_now == self.last_file_stamp:
            return
        data = read_limited(self.state_file)
        try:
            state = OperatorState.from_json(data)
        except (ValueError, RecursionError) as error:
            self.last_file_stamp = file_stamp_now  # not read again until it is replaced
            log.warning("%s: %s; the previous state stays in force", self.state_file, error)
            return
        # Cordons apply at once; return times need the second file, which may fail to be read.
        self.set_state(OperatorState(state.cordoned, self.state.returned))
        self.read_moments()
        self.last_file_stamp = file_stamp_now
        self.set_state(state)

    def other_presence_files(self) -> list[Path]:
        """The presence files of other processes of this node, running or not."""
        return [path for path in self.files_with_suffix(PRESENCE_SUFFIX) if path != self.presence_file]

    def files_with_suffix(self, suffix: str) -> list[Path]:
        """This node's files with this suffix in the folder."""
        assert self.folder is not None
        return [
            self.folder / name
            for name in os.listdir(self.folder)
            if name.startswith(self.prefix) and name.endswith(suffix)
        ]

    @contextmanager
    def exclusive_lock(self) -> Iterator[None]:
        """Hold the lock among the node's processes. TimeoutError if another process does not release it."""
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
    """Read a file, at most one byte more than a valid one may have."""
    with path.open("rb") as file:
        return file.read(MAX_FILE_BYTES + 1)


def file_stamp(path: Path) -> tuple[int, int] | None:
    """A value that changes when the file is replaced; None without a file. OSError if that is unknown."""
    try:
        status = path.stat()
    except FileNotFoundError:
        return None
    return status.st_mtime_ns, status.st_ino


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file atomically: readers see the old content or the new one."""
    temporary = path.with_suffix(".new")
    temporary.write_bytes(data)
    temporary.replace(path)


def started_ns(presence_file: Path) -> int:
    """When a process started, on the monotonic clock, by the name of its presence file; 0 if unknown."""
    digits = presence_file.stem.rpartition("-")[2]
    return int(digits) if digits.isdecimal() else 0


def is_locked(path: Path) -> bool:
    """Whether a presence file is locked, so its process is running."""
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
