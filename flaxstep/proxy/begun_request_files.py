"""The ids of begun requests in files that the processes of a node share during an upgrade.

Each process holds the lock of one file and writes its ids there. All processes map all files from their
start, so an id is known to the others at once. What a process that has ended left behind stays known.
"""

from __future__ import annotations

import fcntl
import logging
import mmap
import os
from contextlib import suppress
from pathlib import Path

from flaxstep.proxy.shared_state import shared_file_prefix
from flaxstep.routing.begun_requests import BYTES_PER_WORD, BegunRequests, BegunRequestTable, table_words

MAX_PROCESSES = 3  # of one node: two in an upgrade, and one more that is being replaced

log = logging.getLogger("flaxstep.proxy")


class BegunRequestFiles:
    """Opens the tables of a node. Without a folder, or if it fails, the own table is local to the process."""

    def __init__(self, folder: Path | None, name: str, memory_mb: int) -> None:
        self.size = table_words(memory_mb) * BYTES_PER_WORD
        self.lock_descriptor: int | None = None  # of the file with the own table
        own: BegunRequestTable | None = None
        others: list[BegunRequestTable] = []
        if folder is not None:
            for index in range(MAX_PROCESSES):
                path = folder / f"{shared_file_prefix(name)}.begun-{index}"
                try:
                    table, locked = self.open_table(path, lock=own is None)
                except (OSError, ValueError) as error:
                    log.warning("%s: ids of begun requests are not shared there: %s", path, error)
                    continue
                if locked:
                    own = table
                else:
                    others.append(table)
        if own is None:
            own = BegunRequestTable(memoryview(bytearray(self.size)).cast("Q"))
        self.requests = BegunRequests(own, others)

    def open_table(self, path: Path, lock: bool) -> tuple[BegunRequestTable, bool]:
        """Map the table in a file, and return it and whether it is locked for this process."""
        locked = False
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if not os.fstat(descriptor).st_size:
                os.ftruncate(descriptor, self.size)
            # A process with another memory limit has another size, which stays as it is.
            words = memoryview(mmap.mmap(descriptor, 0)).cast("Q")
            if lock:
                with suppress(BlockingIOError):
                    fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    locked = True
        finally:
            if not locked:
                os.close(descriptor)
        if locked:
            self.lock_descriptor = descriptor
        return BegunRequestTable(words), locked

    def close(self) -> None:
        """Release the lock. The table stays, for the other process of an upgrade."""
        if self.lock_descriptor is not None:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None
