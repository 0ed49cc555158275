"""Hands the server list and its lease from one process of a node to the next in an upgrade.

Each process follows the one that served before it, until that has ended, and tells the one after it.
What is newer, and how long it may be used, the decisions say.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from flaxstep.proxy.endpoint_updates import EndpointUpdates
from flaxstep.proxy.handover_files import HandoverReader, HandoverWriter
from flaxstep.proxy.handover_records import EndRecord, Record, RecordCodec
from flaxstep.proxy.member_list import HandedList, MemberList
from flaxstep.proxy.shared_state import HANDOVER_SUFFIX, PRESENCE_SUFFIX, SharedState
from flaxstep.routing.interface import (
    Event,
    LeaseState,
    ListKind,
    PredecessorEnded,
    PredecessorLease,
    PredecessorSeen,
)

log = logging.getLogger("flaxstep.proxy")


class Handover:
    """Both ends of the handover as one process sees them.

    `export_lease` returns the lease as a successor continues it, and `watch_version` the version from which
    this process watches. `on_list` applies a list from the predecessor. Longer lines are not read.
    """

    def __init__(
        self,
        shared_state: SharedState,
        updates: EndpointUpdates,
        dispatch_event: Callable[[Event], None],
        export_lease: Callable[[], LeaseState],
        watch_version: Callable[[], int | None],
        on_list: Callable[[HandedList], None],
        max_line_bytes: int,
    ) -> None:
        self.shared_state = shared_state
        self.reader_of_lists = updates.reader
        self.dispatch_event = dispatch_event
        self.export_lease = export_lease
        self.watch_version = watch_version
        self.on_list = on_list
        self.max_line_bytes = max_line_bytes
        self.codec = RecordCodec(updates.reader.zones, updates.reader.kinds)
        self.searched = False  # for a predecessor
        self.predecessor: HandoverReader | None = None
        self.serving = False  # only a process that serves has anything to hand over
        self.ended = False
        self.writer: HandoverWriter | None = None
        if shared_state.folder is not None:
            self.writer = HandoverWriter(shared_state.presence_file.with_suffix(HANDOVER_SUFFIX), self.codec)

    # From the predecessor.

    def find_predecessor(self) -> None:
        """Find the process that has served until now. If that can't be known, there may be one."""
        if self.searched:
            return
        self.searched = True
        presence_file = self.shared_state.find_predecessor()
        if presence_file is not None:
            path = presence_file.with_suffix(HANDOVER_SUFFIX)
            self.predecessor = HandoverReader(path, self.codec, self.max_line_bytes)
        if presence_file is not None or self.shared_state.folder is None or not self.shared_state.fully_read:
            self.dispatch_event(PredecessorSeen())

    def poll(self) -> None:
        """Read what the predecessor has written, and write for a successor that has come."""
        if self.shared_state.fully_read:
            self.find_predecessor()
        if self.predecessor is not None:
            self.follow(self.predecessor)
        if self.serving and not self.ended and self.writer is not None:
            self.serve_successor(self.writer)

    def follow(self, predecessor: HandoverReader) -> None:
        """Take over what the predecessor has written since the last call."""
        running = predecessor.path.with_suffix(PRESENCE_SUFFIX) in self.shared_state.running_others
        try:
            records = predecessor.read()
        except OSError as error:
            log.warning("%s: %s; trying again", predecessor.path, error)
            records = []
        for record in records:
            self.take_over(record)
        if not running or predecessor.ended:
            self.end_following(predecessor)

    def take_over(self, record: Record) -> None:
        """Apply one record of the predecessor."""
        if isinstance(record, HandedList):
            self.on_list(record)
        elif isinstance(record, LeaseState):
            self.dispatch_event(PredecessorLease(record))
            self.record_lease()

    def end_following(self, predecessor: HandoverReader) -> None:
        """The predecessor has ended, or has written its last record."""
        log.info(
            "the process before this one has ended; its news was handed over %s",
            "whole" if predecessor.ended else "in part or not at all",
        )
        self.dispatch_event(PredecessorEnded(predecessor.ended))
        self.record_lease()
        predecessor.remove()
        self.predecessor = None

    # To the successor.

    def serve_successor(self, writer: HandoverWriter) -> None:
        """Hand over all that is known to a successor, and again if that failed."""
        if not self.shared_state.successor_running:
            if writer.is_open:
                writer.remove()
        elif writer.needs_rewrite:
            writer.rewrite([self.reader_of_lists.export(self.watch_version()), self.export_lease()])
        else:
            self.record_lease()  # also if nothing has changed: it tells that all has been handed over

    def record_list(self, members: MemberList) -> None:
        """A list has been applied."""
        if self.writer is None or not self.writer.is_open:
            return
        if members.kind is ListKind.DELTA:
            self.writer.append(self.reader_of_lists.export_change(members.endpoints, self.watch_version()))
        else:
            self.writer.append(self.reader_of_lists.export(self.watch_version()))

    def record_lease(self) -> None:
        """The lease has changed."""
        if self.writer is not None and self.writer.is_open:
            self.writer.append(self.export_lease())

    def end(self) -> None:
        """This process learns no more from now on. A successor reads so that it has all."""
        self.ended = True
        if self.writer is not None and self.writer.is_open:
            self.writer.append(EndRecord())
            self.writer.release()
        if self.predecessor is not None:
            self.predecessor.close()
