"""How long the list of endpoints may be used, and which of two conflicting lists takes precedence.

The classes hold state only: no clock and no sockets. Times are milliseconds on the caller's monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from flaxstep.routing.interface import ListKind, Reach, ServerEntry, Settings, State

# A node counts as notified of a change this long after discovery had it and could be reached, whether or not
# the change arrived (PROTOCOL, Figures; STANDING).
DEEMED_NOTIFIED_AFTER_MS = 6000.0
OLD_ADDRESS_LIST_VALID_MS = 4000.0  # the same after SIGHUP (TERMS, Configuration changes)
# Discovery may end a watch instead of sending a change (STANDING). A node then counts as notified 2 s after
# the change was due, as seen in the incident of 2026-12-03; no page gives the time. The end came up to 0.5 s
# late.
CLOSED_WATCH_LIST_VALID_MS = 1500.0
# The discovery address in use before SIGHUP closes its connections after 1.5 s (TERMS), and a node may be
# delayed: what arrives from there within this time may be out of date.
OLD_ADDRESS_DELIVERY_MS = 1750.0
MAX_START_MS = 1000.0  # from the start of a process until it reports that it has started
MIN_RESETS_OF_OUTAGE = 2  # in a row: any connection may be reset once
MAX_PROOF_GAP_MS = 2000.0  # between two proofs of one outage; calls follow each other within 1.5 s
MAX_TOMBSTONES = 8192  # endpoints that have left; beyond that the oldest are dropped


class MembershipLease:
    """How long the current list may be used: until the node may count as notified of a change unknown to it.

    Two expiry times apply side by side. The fixed one is set by silence, by SIGHUP, by the normal end of a
    watch and by lost news; only a sign that the list is current removes it. The other one applies while there
    is no watch. Discovery learns of no changes while it is down, so each proof that it could not serve
    extends this expiry, counted from the time to which the proof refers, as long as the proofs follow one
    another without a gap. Thus at the next contact the expiry is counted from discovery's return.
    """

    def __init__(self, settings: Settings) -> None:
        self.list_is_pushed = not settings.ask_for_list
        # The other half of the grace covers the transfer to the endpoint.
        self.send_margin_ms = settings.drain_grace / 2
        # A node that calls for changes counts as notified this long after one; with pushed lists, at once.
        self.unwatched_validity_ms = (
            self.send_margin_ms if self.list_is_pushed else min(DEEMED_NOTIFIED_AFTER_MS, settings.ask_within)
        )
        self.fixed_expiry = math.inf
        self.unwatched_expiry = math.inf
        self.confirmed_at = -math.inf
        self.moved_at = -math.inf
        self.consecutive_resets = 0
        self.proven_until = -math.inf  # until then the list was current or discovery was proven down

    @property
    def expires(self) -> float:
        """The clock time from which the list may no longer be used."""
        return min(self.fixed_expiry, self.unwatched_expiry)

    def record_reach(self, now: float, reach: Reach, since: float) -> None:
        """Record what was learned about discovery at `now`, by a call that began at `since`."""
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
            self._limit_fixed_expiry(self.confirmed_at + DEEMED_NOTIFIED_AFTER_MS)
        elif reach is Reach.NEWS_LOST:  # a change that was sent counts as notified (STANDING)
            self._limit_fixed_expiry(now)
        elif reach is Reach.CLOSED and not self.list_is_pushed:  # discovery is up and may have news
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
        """Start the lease anew, unless the confirmation may come from the address before SIGHUP."""
        if since < self.moved_at and now < self.moved_at + OLD_ADDRESS_DELIVERY_MS:
            return
        self.confirmed_at = self.proven_until = now
        self.fixed_expiry = math.inf
        self.unwatched_expiry = now + DEEMED_NOTIFIED_AFTER_MS
        self.consecutive_resets = 0

    def _limit_fixed_expiry(self, expiry: float) -> None:
        self.fixed_expiry = min(self.fixed_expiry, expiry)

    def _extend_unwatched_expiry(self, down_at: float, now: float) -> None:
        """Extend the lease by a proof that discovery could not serve at `down_at`.

        After a gap between proofs there is no extension: discovery may have been up in the gap and may have
        learned of a change.
        """
        if down_at - self.proven_until <= MAX_PROOF_GAP_MS:
            self.proven_until = now
            self.unwatched_expiry = max(self.unwatched_expiry, down_at + self.unwatched_validity_ms)

    def is_valid(self, now: float) -> bool:
        """Whether requests may be routed by the current list."""
        return now < self.expires

    def compute_send_window(self, now: float) -> float:
        """Return for how many ms from now a request routed by this list may still be sent."""
        return self.expires + self.send_margin_ms - now


@dataclass(slots=True, frozen=True)
class Tombstone:
    """The list version that reported an endpoint as draining or gone, and the endpoint's start time."""

    version: int
    started: float


class Membership:
    """The endpoints of the current list; an older list can't undo a drain.

    A list of a lower version than the one that reported a drain may come from a replica that is behind. Its
    other entries are applied, but the endpoint keeps draining until a list has a later version or a later
    start of the endpoint.
    """

    def __init__(self) -> None:
        self.listed: dict[int, ServerEntry] = {}
        self.tombstones: dict[int, Tombstone] = {}
        self.newest_version = 0

    def resolve(self, kind: ListKind, version: int | None, entries: list[ServerEntry]) -> list[ServerEntry]:
        """Return the entries as they apply from now on, in the order given.

        A list without a version counts as the newest.
        """
        if version is None:
            version = self.newest_version
        self.newest_version = max(self.newest_version, version)
        if kind is not ListKind.DELTA:
            listed_ids = {entry.id for entry in entries}
            for missing_entry in [entry for entry in self.listed.values() if entry.id not in listed_ids]:
                self._record_drain(version, missing_entry)
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
        drain_version = version if tombstone is None else max(version, tombstone.version)
        self.tombstones[entry.id] = Tombstone(drain_version, entry.started)
        self.listed.pop(entry.id, None)

    def _drop_old_tombstones(self) -> None:
        while len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
