"""What the node may believe of its list of endpoints: for how long it holds, and which of two lists wins.

Pure state: no clock of its own, no sockets. Times are milliseconds on the caller's monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from flaxstep.routing.interface import ListKind, Reach, ServerEntry, Settings, State

# A change counts as told this long after discovery had it and could be reached, whether or not it arrived
# (PROTOCOL, Figures; STANDING), and this long after SIGHUP (TERMS, Configuration changes).
MISSED_AFTER = 6000.0
MOVED_AFTER = 4000.0
# Discovery may end a watch in place of telling a change (STANDING), which then counts as told 2 s after it
# was due: seen in the incident of 2026-12-03, no page gives the time. The end came up to 0.5 s late.
CLOSED_AFTER = 1500.0
# The address before SIGHUP closes its connections after 1.5 s (TERMS), and a node may be held up: what still
# comes from there in this time may be old.
OLD_ADDRESS_TIME = 1750.0
START_TIME = 1000.0  # a process has run for less than this when it notes that it has started
RESETS_OF_OUTAGE = 2  # in a row: one is what any connection may meet
PROOF_GAP = 2000.0  # between two proofs of one outage; tries follow each other by 1.5 s at most
MAX_TOMBSTONES = 8192  # endpoints that have left; the oldest are forgotten beyond that


class MembershipLease:
    """How long the list at hand may be routed by: until a change unknown to the node may count as told.

    Two bounds hold side by side. The fixed one runs from silence, from SIGHUP, from the orderly end of a
    watch and from news that got lost; only a sign that the list is current ends it. The other one runs while
    there is no watch. Discovery learns nothing while it is down, so each proof that it could not serve moves
    that one on, counted from the time that the proof speaks of, as long as proofs follow one another without
    a gap. So the next contact finds the bound that counts from discovery's return.
    """

    def __init__(self, settings: Settings) -> None:
        self.pushed = not settings.ask_for_list
        self.margin = settings.drain_grace / 2  # the other half covers the way to the endpoint
        # A change that could be asked for counts as told so long after it; one that is pushed, at once.
        self.unwatched = self.margin if self.pushed else min(MISSED_AFTER, settings.ask_within)
        self.fixed = math.inf  # clock times, ms
        self.unwatched_until = math.inf
        self.confirmed_at = -math.inf
        self.moved_at = -math.inf
        self.resets = 0  # in a row
        self.accounted_until = -math.inf  # up to then the list was current, or discovery proven down

    @property
    def expires(self) -> float:
        return min(self.fixed, self.unwatched_until)

    def note(self, now: float, reach: Reach, since: float) -> None:
        """Take up what discovery shows at `now`, by a call that began at `since`."""
        if reach is Reach.CONFIRMED:
            self._confirm(now, since)
        elif reach is Reach.STARTED:
            self.accounted_until = now
            self.unwatched_until = now if self.pushed else now + self.unwatched - START_TIME
        elif reach is Reach.MOVED:
            self.moved_at = since
            self._bound(since + MOVED_AFTER)
        elif reach is Reach.SILENT:
            self._bound(self.confirmed_at + MISSED_AFTER)
        elif reach is Reach.NEWS_LOST:  # written, so told (STANDING)
            self._bound(now)
        elif reach is Reach.CLOSED and not self.pushed:  # by a discovery that is there, and may have news
            self._bound(now + CLOSED_AFTER)
        elif reach in (Reach.CLOSED, Reach.BROKEN, Reach.UNWATCHED):
            self.accounted_until = now
            last_known = now if self.pushed else self.confirmed_at
            self.unwatched_until = min(self.unwatched_until, last_known + self.unwatched)
        elif reach is Reach.WAITING:
            self.resets = 0
        elif reach is Reach.RESET:
            self.resets += 1
            if self.resets >= RESETS_OF_OUTAGE:
                self._extend(since, now)
        elif reach is not Reach.OWN_FAILURE:  # refused or unreachable
            self._extend(since, now)

    def _confirm(self, now: float, since: float) -> None:
        if since < self.moved_at and now < self.moved_at + OLD_ADDRESS_TIME:
            return
        self.confirmed_at = self.accounted_until = now
        self.fixed = math.inf
        self.unwatched_until = now + MISSED_AFTER
        self.resets = 0

    def _bound(self, end: float) -> None:
        self.fixed = min(self.fixed, end)

    def _extend(self, down_at: float, now: float) -> None:
        """Discovery could not serve from then on: what it learns counts from later.

        After a gap it may have been there meanwhile, with a change that counts from the gap on.
        """
        if down_at - self.accounted_until <= PROOF_GAP:
            self.accounted_until = now
            self.unwatched_until = max(self.unwatched_until, down_at + self.unwatched)

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
