"""What the node may believe of its list of endpoints: for how long it holds, and which of two lists wins.

Pure state: no clock of its own, no sockets. Times are milliseconds on the caller's monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from flaxstep.routing.interface import ListKind, Reach, ServerEntry, Settings, State

# A change counts as told this long after discovery had it and could be reached, whether or not it arrived
# (PROTOCOL, Figures; STANDING), and this long after SIGHUP (TERMS, Configuration changes).
UNSEEN_CHANGE_IN_FORCE_MS = 6000.0
OLD_ADDRESS_LIST_VALID_MS = 4000.0
# Discovery may end a watch in place of telling a change (STANDING), which then counts as told 2 s after it
# was due: seen in the incident of 2026-12-03, no page gives the time. The end came up to 0.5 s late.
CLOSED_WATCH_LIST_VALID_MS = 1500.0
# The address before SIGHUP closes its connections after 1.5 s (TERMS), and a node may be held up: what still
# comes from there in this time may be old.
OLD_ADDRESS_DELIVERY_MS = 1750.0
MAX_START_MS = 1000.0  # a process has run for less than this when it notes that it has started
MIN_RESETS_OF_OUTAGE = 2  # in a row: one is what any connection may meet
MAX_PROOF_GAP_MS = 2000.0  # between two proofs of one outage; tries follow each other by 1.5 s at most
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
        self.list_is_pushed = not settings.ask_for_list
        self.send_margin_ms = settings.drain_grace / 2  # the other half covers the way to the endpoint
        # A change that could be asked for counts as told so long after it; one that is pushed, at once.
        self.unwatched_validity_ms = (
            self.send_margin_ms
            if self.list_is_pushed
            else min(UNSEEN_CHANGE_IN_FORCE_MS, settings.ask_within)
        )
        self.fixed_expiry = math.inf  # clock times, ms
        self.unwatched_expiry = math.inf
        self.confirmed_at = -math.inf
        self.moved_at = -math.inf
        self.consecutive_resets = 0  # in a row
        self.proven_until = -math.inf  # up to then the list was current, or discovery proven down

    @property
    def expires(self) -> float:
        return min(self.fixed_expiry, self.unwatched_expiry)

    def record_reach(self, now: float, reach: Reach, since: float) -> None:
        """Take up what discovery shows at `now`, by a call that began at `since`."""
        if reach is Reach.CONFIRMED:
            self._confirm(now, since)
        elif reach is Reach.STARTED:
            self.proven_until = now
            self.unwatched_expiry = (
                now if self.list_is_pushed else now + self.unwatched_validity_ms - MAX_START_MS
            )
        elif reach is Reach.MOVED:
            self.moved_at = since
            self._limit_fixed_expiry(since + OLD_ADDRESS_LIST_VALID_MS)
        elif reach is Reach.SILENT:
            self._limit_fixed_expiry(self.confirmed_at + UNSEEN_CHANGE_IN_FORCE_MS)
        elif reach is Reach.NEWS_LOST:  # written, so told (STANDING)
            self._limit_fixed_expiry(now)
        elif (
            reach is Reach.CLOSED and not self.list_is_pushed
        ):  # by a discovery that is there, and may have news
            self._limit_fixed_expiry(now + CLOSED_WATCH_LIST_VALID_MS)
        elif reach in (Reach.CLOSED, Reach.BROKEN, Reach.UNWATCHED):
            self.proven_until = now
            last_known = now if self.list_is_pushed else self.confirmed_at
            self.unwatched_expiry = min(self.unwatched_expiry, last_known + self.unwatched_validity_ms)
        elif reach is Reach.WAITING:
            self.consecutive_resets = 0
        elif reach is Reach.RESET:
            self.consecutive_resets += 1
            if self.consecutive_resets >= MIN_RESETS_OF_OUTAGE:
                self._extend_unwatched_expiry(since, now)
        elif reach is not Reach.OWN_FAILURE:  # refused or unreachable
            self._extend_unwatched_expiry(since, now)

    def _confirm(self, now: float, since: float) -> None:
        if since < self.moved_at and now < self.moved_at + OLD_ADDRESS_DELIVERY_MS:
            return
        self.confirmed_at = self.proven_until = now
        self.fixed_expiry = math.inf
        self.unwatched_expiry = now + UNSEEN_CHANGE_IN_FORCE_MS
        self.consecutive_resets = 0

    def _limit_fixed_expiry(self, end: float) -> None:
        self.fixed_expiry = min(self.fixed_expiry, end)

    def _extend_unwatched_expiry(self, down_at: float, now: float) -> None:
        """Discovery could not serve from then on: what it learns counts from later.

        After a gap it may have been there meanwhile, with a change that counts from the gap on.
        """
        if down_at - self.proven_until <= MAX_PROOF_GAP_MS:
            self.proven_until = now
            self.unwatched_expiry = max(self.unwatched_expiry, down_at + self.unwatched_validity_ms)

    def is_valid(self, now: float) -> bool:
        """Whether requests may be sent by the list at hand."""
        return now < self.expires

    def compute_send_window(self, now: float) -> float:
        """ms from now in which what is decided by this list has to go out."""
        return self.expires + self.send_margin_ms - now


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
        self.newest_version = 0  # version

    def resolve(self, kind: ListKind, version: int | None, entries: list[ServerEntry]) -> list[ServerEntry]:
        """The entries as they hold from now on, in the order given.

        A list without a version counts as the newest.
        """
        if version is None:
            version = self.newest_version
        self.newest_version = max(self.newest_version, version)
        if kind is not ListKind.DELTA:
            named = {entry.id for entry in entries}
            for missing in [entry for entry in self.listed.values() if entry.id not in named]:
                self._record_drain(version, missing)
        resolved = [self._resolve_entry(version, entry) for entry in entries]
        self._drop_old_tombstones()
        return resolved

    def _resolve_entry(self, version: int, entry: ServerEntry) -> ServerEntry:
        tombstone = self.tombstones.get(entry.id)
        if entry.state is not State.READY:
            self._record_drain(version, entry)
        elif tombstone is not None and version < tombstone.version and entry.started <= tombstone.started:
            entry = replace(entry, state=State.DRAINING)
        else:
            self.tombstones.pop(entry.id, None)
        if entry.state is State.GONE:
            self.listed.pop(entry.id, None)
        else:
            self.listed[entry.id] = entry
        return entry

    def _record_drain(self, version: int, entry: ServerEntry) -> None:
        tombstone = self.tombstones.pop(entry.id, None)
        newest = version if tombstone is None else max(version, tombstone.version)
        self.tombstones[entry.id] = Tombstone(newest, entry.started)
        self.listed.pop(entry.id, None)

    def _drop_old_tombstones(self) -> None:
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
