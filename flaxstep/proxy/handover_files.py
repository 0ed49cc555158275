"""The file by which one process of a node hands its server list and lease to the next in an upgrade.

The process that serves writes it, from the moment in which it sees a successor: first all that it knows, then
each change. The successor reads on until the writer has ended. While there is no upgrade, nothing is written.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

from flaxstep.proxy.handover_records import EndRecord, Record, RecordCodec
from flaxstep.proxy.shared_state import UNFINISHED_HANDOVER_SUFFIX

MAX_ADDED_BYTES = 1 << 18  # of changes behind the first records; beyond that the file is written anew
READ_BYTES = 1 << 16
RETRY_DELAY_S = 1.0  # after a failed write

log = logging.getLogger("flaxstep.proxy")


class HandoverWriter:
    """Writes the file of this process. After a failed write the file is written anew a little later."""

    def __init__(self, path: Path, codec: RecordCodec) -> None:
        self.path = path
        self.codec = codec
        self.descriptor: int | None = None
        self.added_bytes = 0  # since the file was begun
        self.retry_at_s = 0.0  # on the monotonic clock

    @property
    def is_open(self) -> bool:
        """Whether the file holds all that was to be written."""
        return self.descriptor is not None

    @property
    def needs_rewrite(self) -> bool:
        """Whether the file has to be begun, or has grown too long."""
        if not self.is_open:
            return time.monotonic() >= self.retry_at_s
        return self.added_bytes > MAX_ADDED_BYTES

    def rewrite(self, records: Iterable[Record]) -> None:
        """Begin the file anew with these records. Readers see the old file or the new one."""
        self.release()
        temporary = self.path.with_suffix(UNFINISHED_HANDOVER_SUFFIX)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        try:
            self.descriptor = os.open(temporary, flags, 0o600)
            for record in records:
                self._write(record)
            temporary.replace(self.path)
        except OSError as error:
            self._fail(error)
            with suppress(OSError):
                temporary.unlink()
        self.added_bytes = 0

    def append(self, record: Record) -> None:
        """Add a change, if the file holds what was before it."""
        if not self.is_open:
            return
        try:
            self._write(record)
        except OSError as error:
            self._fail(error)

    def release(self) -> None:
        """Write no more. The file stays, for a successor that has not read it to its end."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None

    def remove(self) -> None:
        """Remove the file. A successor that reads it reads to its end."""
        self.release()
        with suppress(OSError):
            self.path.unlink()

    def _write(self, record: Record) -> None:
        assert self.descriptor is not None
        line = memoryview(self.codec.encode(record))
        self.added_bytes += len(line)
        while line:
            line = line[os.write(self.descriptor, line) :]

    def _fail(self, error: OSError) -> None:
        log.warning("%s: %s; the list is handed over later", self.path, error)
        self.remove()  # it lacks what could not be written
        self.retry_at_s = time.monotonic() + RETRY_DELAY_S


class HandoverReader:
    """Reads the file of the predecessor, as far as whole lines have been written."""

    def __init__(self, path: Path, codec: RecordCodec, max_line_bytes: int) -> None:
        self.path = path
        self.codec = codec
        self.max_line_bytes = max_line_bytes
        self.descriptor: int | None = None
        self.inode = 0
        self.partial_line = b""
        self.malformed = False  # nothing more is read of this file
        self.ended = False  # the last record has been read

    def read(self) -> list[Record]:
        """Return the records that are new. OSError if the file can't be read now."""
        self._open_newest()
        records: list[Record] = []
        while self.descriptor is not None and not self.malformed:
            data = os.read(self.descriptor, READ_BYTES)
            if not data:
                break
            records += self._decode_lines(data)
        return records

    def close(self) -> None:
        """Read no more."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None

    def remove(self) -> None:
        """Close the file and remove it: its process has ended."""
        self.close()
        with suppress(OSError):
            self.path.unlink()

    def _open_newest(self) -> None:
        """Open the file, also if it was written anew. A removed one is read to its end."""
        try:
            inode = self.path.stat().st_ino
        except FileNotFoundError:
            return
        if self.descriptor is not None and inode == self.inode:
            return
        descriptor = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
        self.close()
        self.descriptor, self.inode = descriptor, os.fstat(descriptor).st_ino
        self.partial_line, self.malformed, self.ended = b"", False, False

    def _decode_lines(self, data: bytes) -> list[Record]:
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        records: list[Record] = []
        try:
            records.extend(map(self.codec.decode, lines))
            if len(self.partial_line) > self.max_line_bytes:
                raise ValueError("a line is too long")
        except ValueError as error:
            log.warning("%s: %s; the rest is not used", self.path, error)
            self.malformed = True
        self.ended = not self.malformed and any(isinstance(record, EndRecord) for record in records)
        return records
