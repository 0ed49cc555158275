"""The limits of a release: which members may be out of service, and when to wait or to halt. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from flaxstep.rollout.actions import MemberState, Phase
from flaxstep.rollout.plan import Plan
from flaxstep.rollout.snapshot import ListedServer, Snapshot

# The release fails at this many crashes of released members, if the others had fewer.
CRASH_LIMIT = 2
# Phases in which a member may be missing in the list without having left the farm.
NOT_EXPECTED_TO_SERVE = frozenset({Phase.RESOLVING_RESTART, Phase.VERIFYING, Phase.DOWN})


def update_from_list(
    members: dict[str, MemberState], listed: Mapping[str, ListedServer], version: str
) -> None:
    """Update the members from the list: record those that left, joined, or restarted on their own.

    A new server is assumed to run the old version and belongs to the last wave, as the plan does not know it.
    """
    joined = [line for line in listed.values() if line.id not in members]
    for member in members.values():
        line = listed.get(member.id)
        if line is None:
            replaced = member.phase in NOT_EXPECTED_TO_SERVE and any(
                new.zone == member.zone for new in joined
            )
            if member.phase is Phase.SERVING or replaced:
                member.phase, member.note = Phase.GONE, "no longer listed"
        elif member.phase in (Phase.SERVING, Phase.WARMING):
            if member.started and line.started_ms != member.started and not member.untold:
                member.crashes += 1
                member.note = "its process restarted on its own"
            member.untold = member.untold and line.started_ms == member.started
            member.started = line.started_ms
        elif member.phase is Phase.GONE:
            member.phase, member.note = Phase.SERVING, "listed again"
            member.crashes += 1
    last = max((member.wave for member in members.values()), default=0)
    for line in joined:
        note = "joined during the release"
        members[line.id] = MemberState(
            line.id, line.zone, line.size, version, wave=last, started=line.started_ms, note=note
        )


def failure_reason(members: Iterable[MemberState], plan: Plan, served: float | None) -> str:
    """Why a release has failed, without any comparison of members; an empty string if it has not."""
    crashes = {True: 0, False: 0}
    for member in members:
        if member.fault:
            return f"{member.id}: {member.fault}"
        crashes[member.version == plan.to] += member.crashes
    if crashes[True] >= CRASH_LIMIT and crashes[True] > crashes[False]:
        return f"released members crashed {crashes[True]} times"
    if served is not None and served < plan.room.halt_worth and any(m.version == plan.to for m in members):
        return f"only {served:.2f} of the requested worth is served"
    return ""


def silent_node(snapshot: Snapshot) -> str:
    """Which node does not respond; an empty string if all do."""
    found = [node for node in snapshot.nodes.values() if not node.processes]
    return f"node {found[0].name} does not respond: {found[0].error}" if found else ""


def reason_to_wait(snapshot: Snapshot, plan: Plan, served: float | None) -> str:
    """Why no further update may begin now; an empty string if one may."""
    if why := silent_node(snapshot):
        return why
    drained = [node.name for node in snapshot.nodes.values() if not node.ready]
    if drained:
        return f"node {drained[0]} does not serve"
    if snapshot.listed is None:
        return "the list service does not respond"
    if served is not None and served < plan.room.worth:
        return f"{served:.2f} of the requested worth is served, {plan.room.worth:g} is required"
    return ""


def capacity_reason(
    member: MemberState, members: Iterable[MemberState], plan: Plan, snapshot: Snapshot, back: bool
) -> str:
    """Why a member may not go out of service now; an empty string if it may, or is out already.

    In a rollback one member may always be out: it costs less than the bad version that it runs.
    """
    if member.out_of_service:
        return ""
    others = [m for m in members if m.phase is not Phase.GONE]
    away = sum(m.out_of_service for m in others)
    if away >= plan.room.out_at_once:
        return f"{away} are out of service already"
    if plan.what == "nodes" or (back and not away):
        return ""  # a node's second process serves before the first stops
    missing = sum(
        m.size
        for m in others
        if m is not member and (m.phase is not Phase.SERVING or snapshot.cordoned_anywhere(m.id))
    )
    whole = sum(m.size for m in others)
    stays = whole - missing - member.size
    if stays < whole * plan.room.capacity - 1e-9:
        return f"{stays / whole:.2f} of the capacity would remain, {plan.room.capacity:g} is required"
    return ""
