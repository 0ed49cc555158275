"""How long the list of endpoints may be used, and which of two conflicting lists takes precedence.

The classes hold state only: no clock and no sockets. Times are milliseconds on the caller's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace

from flaxstep.routing.interface import LeaseState, ListKind, Reach, ServerEntry, Settings, State

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
# What discovery has told one process of a node counts as told to the next one this long after that is ready
# (DAYS, Upgrades).
PREDECESSOR_NEWS_AFTER_READY_MS = 2000.0
MAX_TOMBSTONES = 8192  # endpoints that have left; beyond that the oldest are dropped

# After these a process has no open watch.
WATCH_ENDS = frozenset(
    {Reach.SILENT, Reach.UNWATCHED, Reach.CLOSED, Reach.BROKEN, Reach.NEWS_LOST, Reach.MOVED}
)


class MembershipLease:
    """How long the current list may be used: until the node may count as notified of a change unknown to it.

    Two expiry times apply side by side. The fixed one is set by silence, by SIGHUP, by the normal end of a
    watch and by lost news; only a sign that the list is current removes it. The other one applies while there
    is no watch. Discovery learns of no changes while it is down, so each proof that it could not serve
    extends this expiry, counted from the time to which the proof refers, as long as the proofs follow one
    another without a gap. Thus at the next contact the expiry is counted from discovery's return.

    In an upgrade the two processes are one node: what the predecessor was told is this node's news. Its lease
    is continued here, and what it may know beyond that limits the lease, until it has handed over all or
    discovery has confirmed the list after its end. A process with an open watch gets all news itself.
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
        self.first_proof_at = math.inf  # the first time at which discovery was proven down
        self.limited_at = -math.inf  # the fixed expiry was set
        self.watch_open = False
        self.ready_at = math.inf
        self.predecessor_expiry = math.inf  # the fixed expiry of its lease
        self.predecessor_limited_at = -math.inf
        self.predecessor_unheard = False  # it may have been told more than it has handed over
        self.heard_until = -math.inf  # what it was told until then has been handed over
        self.predecessor_ended_at = math.inf

    @property
    def expires(self) -> float:
        """The clock time from which the list may no longer be used."""
        return min(self._shared_fixed_expiry, self.unwatched_expiry)

    @property
    def _shared_fixed_expiry(self) -> float:
        """The fixed expiry by what this process knows and by what its predecessor knows or may know."""
        if self.watch_open:
            return self.fixed_expiry
        return min(self.fixed_expiry, self.predecessor_expiry, self._unheard_expiry)

    @property
    def _unheard_expiry(self) -> float:
        """When news that was not handed over counts as told to this process."""
        if not self.predecessor_unheard:
            return math.inf
        told_at = self.heard_until + self.send_margin_ms
        if self.list_is_pushed:
            return told_at  # what the agent has counts as told from the start of a process (STANDING)
        return max(told_at, self.ready_at + PREDECESSOR_NEWS_AFTER_READY_MS)

    def record_reach(self, now: float, reach: Reach, since: float) -> None:
        """Record what was learned about discovery at `now`, by a call that began at `since`."""
        if reach in WATCH_ENDS:
            self.watch_open = False
        if reach is Reach.CONFIRMED:
            self._confirm(now, since)
        elif reach is Reach.STARTED:
            self.proven_until = now
            self.unwatched_expiry = (
                now if self.list_is_pushed else now + self.unwatched_validity_ms - MAX_START_MS
            )
        elif reach is Reach.MOVED:
            self.moved_at = since
            self._limit_fixed_expiry(now, since + OLD_ADDRESS_LIST_VALID_MS)
        elif reach is Reach.SILENT:
            self._limit_fixed_expiry(now, self.confirmed_at + DEEMED_NOTIFIED_AFTER_MS)
        elif reach is Reach.NEWS_LOST:  # a change that was sent counts as notified (STANDING)
            self._limit_fixed_expiry(now, now)
        elif reach is Reach.CLOSED and not self.list_is_pushed:  # discovery is up and may have news
            self._limit_fixed_expiry(now, now + CLOSED_WATCH_LIST_VALID_MS)
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
        self.watch_open = True
        self.predecessor_expiry = math.inf
        if now >= min(self.predecessor_ended_at, self.ready_at + PREDECESSOR_NEWS_AFTER_READY_MS):
            self.predecessor_unheard = False

    def _limit_fixed_expiry(self, now: float, expiry: float) -> None:
        self.limited_at = now
        self.fixed_expiry = min(self.fixed_expiry, expiry)

    def _extend_unwatched_expiry(self, down_at: float, now: float) -> None:
        """Extend the lease by a proof that discovery could not serve at `down_at`.

        After a gap between proofs there is no extension: discovery may have been up in the gap and may have
        learned of a change.
        """
        if down_at - self.proven_until <= MAX_PROOF_GAP_MS:
            self.first_proof_at = min(self.first_proof_at, down_at)
            self.proven_until = now
            self.unwatched_expiry = max(self.unwatched_expiry, down_at + self.unwatched_validity_ms)

    # Upgrades.

    def record_predecessor(self) -> None:
        """Another process of the node may have been told what this one does not know."""
        self.predecessor_unheard = True

    def record_serving(self, now: float) -> None:
        """This process reports from now on that it is ready."""
        self.ready_at = min(self.ready_at, now)

    def record_predecessor_end(self, now: float, complete: bool) -> None:
        """The predecessor learns no more; `complete` if it has handed over all that it was told."""
        self.predecessor_ended_at = min(self.predecessor_ended_at, now)
        if complete:
            self.predecessor_unheard = False

    def continue_from(self, state: LeaseState) -> None:
        """Continue the predecessor's lease: its list is in force here, and its limits hold here too."""
        moved_before = self.moved_at <= state.moved_at
        self.moved_at = max(self.moved_at, state.moved_at)
        if self.heard_until == self.confirmed_at == -math.inf:
            self._replace_own_start(state)
        else:
            self.unwatched_expiry = max(self.unwatched_expiry, state.unwatched_expiry)
            self.proven_until = max(self.proven_until, state.proven_until)
        self.heard_until = state.exported_at
        by_present_address = moved_before or state.confirmed_at >= self.moved_at + OLD_ADDRESS_DELIVERY_MS
        if state.confirmed_at > self.confirmed_at and by_present_address:
            self.confirmed_at = state.confirmed_at
            if self.limited_at < state.confirmed_at:
                self.fixed_expiry = math.inf
        self.predecessor_limited_at = state.limited_at
        self.predecessor_expiry = state.fixed_expiry if state.limited_at >= self.confirmed_at else math.inf

    def _replace_own_start(self, state: LeaseState) -> None:
        """Put the predecessor's expiry in the place of the one that a process has which starts alone.

        Own proofs of an outage still count, if they follow its proofs without a gap.
        """
        if self.first_proof_at - state.proven_until <= MAX_PROOF_GAP_MS:
            self.unwatched_expiry = max(self.unwatched_expiry, state.unwatched_expiry)
            self.proven_until = max(self.proven_until, state.proven_until)
        else:
            self.unwatched_expiry, self.proven_until = state.unwatched_expiry, state.proven_until

    def is_handed_over(self, now: float) -> bool:
        """Whether requests may be routed by a list that the predecessor has handed over."""
        return self.heard_until > -math.inf and self.is_valid(now)

    def export_state(self, now: float) -> LeaseState:
        """Return what a successor continues. It does not have this process's watch."""
        unwatched_expiry, proven_until = self.unwatched_expiry, self.proven_until
        if self.watch_open:
            last_known = now if self.list_is_pushed else self.confirmed_at
            unwatched_expiry = min(unwatched_expiry, last_known + self.unwatched_validity_ms)
            proven_until = now
        return LeaseState(
            exported_at=now,
            confirmed_at=self.confirmed_at,
            fixed_expiry=self._shared_fixed_expiry,
            limited_at=now
            if self._unheard_expiry < math.inf
            else max(self.limited_at, self.predecessor_limited_at),
            unwatched_expiry=unwatched_expiry,
            proven_until=proven_until,
            moved_at=self.moved_at,
        )

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

    def accepts_handover(self, version: int, own_list_confirmed: bool) -> bool:
        """Whether a list of the predecessor, the other process of this node, replaces the own one.

        With the same version it does unless discovery has confirmed the own list to this process.
        """
        return version > self.newest_version or (version == self.newest_version and not own_list_confirmed)

    def add_tombstones(self, tombstones: Mapping[int, Tombstone], list_accepted: bool) -> None:
        """Add the drains that the predecessor knows of, unless the list in force has the endpoint as ready.

        If that is the predecessor's list, they go before those that its application has recorded.
        """
        for endpoint_id, tombstone in tombstones.items():
            entry, known = self.listed.get(endpoint_id), self.tombstones.get(endpoint_id)
            if entry is not None and entry.state is State.READY:
                continue
            if list_accepted or known is None or known.version < tombstone.version:
                self.tombstones[endpoint_id] = tombstone
        self._drop_old_tombstones()

    def replace_start(self, endpoint_id: int, old: float, new: float) -> None:
        """Replace the clock time of a start, which the predecessor has computed otherwise."""
        tombstone, entry = self.tombstones.get(endpoint_id), self.listed.get(endpoint_id)
        if tombstone is not None and tombstone.started == old:
            self.tombstones[endpoint_id] = replace(tombstone, started=new)
        if entry is not None and entry.started == old:
            self.listed[endpoint_id] = replace(entry, started=new)

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
