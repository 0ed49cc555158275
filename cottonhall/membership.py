"""What the node may believe of its list of endpoints: for how long it holds, and which of two lists wins.

Pure state: no clock of its own, no sockets. Times are milliseconds on the caller's monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from cottonhall.interface import ListKind, Reach, ServerEntry, Settings, State

# A change counts as told this long after discovery had it and could be reached, whether or not it arrived
# (PROTOCOL, Figures; STANDING), and this long after SIGHUP (TERMS, Configuration changes).
MISSED_AFTER = 6000.0
MOVED_AFTER = 4000.0
START_TIME = 1000.0  # a process has run for less than this when it notes that it has started
MAX_TOMBSTONES = 8192  # endpoints that have left; the oldest are forgotten beyond that


class MembershipLease:
    """How long the list at hand may be routed by.

    It is renewed by every sign that the list is current and runs out when a change that the node can't know
    of may count as told. While discovery is down nothing is told, so the lease does not run out then.
    """

    def __init__(self, settings: Settings) -> None:
        self.pushed = not settings.ask_for_list
        self.unwatched = MISSED_AFTER if self.pushed else min(MISSED_AFTER, settings.ask_within)
        self.margin = settings.drain_grace / 2  # the other half covers the way to the endpoint
        self.expires = math.inf
        self.current_at = -math.inf  # when the list was last known to be all that could be known
        self.silent = False  # the watch fell silent; its clock runs until the next sign

    def note(self, now: float, reach: Reach) -> None:
        """Take up what the connection to discovery shows at `now`."""
        if reach is Reach.MOVED:
            self.expires = min(self.expires, now + MOVED_AFTER)
        elif reach is Reach.SILENT:
            self.silent = True
        elif reach is Reach.INTERRUPTED:
            self.expires = min(self.expires, self._end_unwatched(now))
        else:
            self.current_at = now
            self.silent = False
            self.expires = self._end_after(now, reach)

    def _end_unwatched(self, now: float) -> float:
        """Without a watch: pushed changes count at once, others once they could have been asked for."""
        if self.pushed and not self.silent:
            return now + self.margin
        return self.current_at + self.unwatched

    def _end_after(self, now: float, reach: Reach) -> float:
        if reach is Reach.UNREACHABLE:
            return math.inf
        if reach is Reach.CONFIRMED:
            return now + MISSED_AFTER
        return now if self.pushed else now + self.unwatched - START_TIME

    def valid(self, now: float) -> bool:
        """Whether requests may be sent by the list at hand."""
        return now < self.expires

    def send_within(self, now: float) -> float:
        """ms from now in which what is decided by this list has to go out."""
        return self.expires + self.margin - now


@dataclass(slots=True, frozen=True)
class Tombstone:
    """An endpoint that was told to be draining or gone: in which version, and its start then."""

    version: int
    started: float


class Membership:
    """The endpoints of the list in force; makes sure that an older list takes no drain back.

    A list of a lower version than the one that told a drain may come from a replica that is behind. It is
    taken for what it adds, but the endpoint stays out until a later version, or a later start, says
    otherwise.
    """

    def __init__(self) -> None:
        self.listed: dict[int, ServerEntry] = {}
        self.tombstones: dict[int, Tombstone] = {}
        self.newest = 0  # version

    def resolve(self, kind: ListKind, version: int | None, entries: list[ServerEntry]) -> list[ServerEntry]:
        """The entries as they hold from now on, in the order given.

        A list without a version counts as the newest.
        """
        if version is None:
            version = self.newest
        self.newest = max(self.newest, version)
        if kind is not ListKind.DELTA:
            named = {entry.id for entry in entries}
            for missing in [entry for entry in self.listed.values() if entry.id not in named]:
                self._bury(version, missing)
        resolved = [self._resolve(version, entry) for entry in entries]
        self._forget()
        return resolved

    def _resolve(self, version: int, entry: ServerEntry) -> ServerEntry:
        told = self.tombstones.get(entry.id)
        if entry.state is not State.READY:
            self._bury(version, entry)
        elif told is not None and version < told.version and entry.started <= told.started:
            entry = replace(entry, state=State.DRAINING)
        else:
            self.tombstones.pop(entry.id, None)
        if entry.state is State.GONE:
            self.listed.pop(entry.id, None)
        else:
            self.listed[entry.id] = entry
        return entry

    def _bury(self, version: int, entry: ServerEntry) -> None:
        told = self.tombstones.pop(entry.id, None)
        newest = version if told is None else max(version, told.version)
        self.tombstones[entry.id] = Tombstone(newest, entry.started)
        self.listed.pop(entry.id, None)

    def _forget(self) -> None:
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
