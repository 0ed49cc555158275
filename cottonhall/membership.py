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
PROOF_OF_OUTAGE = 2  # calls in a row that discovery lets wait and then refuses
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
        self.told_anyway = False  # silence or a new configuration: its clock runs, whatever calls bring
        self.refusals = 0  # calls refused since the last sign
        self.down = False  # discovery was found down and has not answered since

    def note(self, now: float, reach: Reach, since: float) -> None:
        """Take up what the connection to discovery shows at `now`, by a call that began at `since`."""
        if reach is Reach.MOVED:
            self.told_anyway = True
            self.expires = min(self.expires, now + MOVED_AFTER)
        elif reach is Reach.SILENT:
            self.told_anyway = True
        elif reach is Reach.INTERRUPTED:
            self.expires = min(self.expires, self._end_unwatched(now))
        elif reach is Reach.REFUSED:
            self._note_refusal(since)
        else:
            self._note_sign(now, reach)

    def _end_unwatched(self, now: float) -> float:
        """Without a watch: pushed changes count at once, others once they could have been asked for."""
        if self.pushed and not self.down and not self.told_anyway:
            return now + self.margin
        return self.current_at + self.unwatched

    def _note_refusal(self, since: float) -> None:
        """A call has waited and got no list: discovery is down or has too many callers, and nobody can tell.

        When it was made, discovery could not be reached, so its time counts from then. After silence or a new
        configuration one refusal is no proof of an outage, a second one is.
        """
        self.refusals += 1
        if self.told_anyway and self.refusals < PROOF_OF_OUTAGE:
            return
        self.down = True
        self.current_at = max(self.current_at, since)
        self.expires = self.current_at + self.unwatched

    def _note_sign(self, now: float, reach: Reach) -> None:
        self.current_at = now
        self.told_anyway = False
        self.refusals = 0
        self.down = reach is Reach.UNREACHABLE
        if reach is Reach.UNREACHABLE:
            self.expires = math.inf
        elif reach is Reach.CONFIRMED:
            self.expires = now + MISSED_AFTER
        else:
            self.expires = now if self.pushed else now + self.unwatched - START_TIME

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
