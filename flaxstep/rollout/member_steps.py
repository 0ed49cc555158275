"""The steps that update one member, or roll it back. Pure: the inputs are the time, snapshots and the results
of actions, the output is the next action.

A job server is cordoned at every node, drained, restarted by a command, verified, uncordoned, and is cold for
a while. A node gets a second process, which is verified at an admin address of its own before the first is
asked to stop.
"""

from __future__ import annotations

from typing import Protocol

from flaxstep.rollout.actions import (
    Action,
    ActionKind,
    ActionResult,
    AvailableCommands,
    MemberState,
    Phase,
    StepTimes,
)
from flaxstep.rollout.snapshot import Snapshot

MAX_RESTART_TRIES = 3  # restart commands without effect, for one member and direction


class MemberSteps(Protocol):
    """The update procedure of one kind of member."""

    def begin_update(self, member: MemberState, target: str, now: float) -> None: ...
    def cancel_update(self, member: MemberState, now: float, note: str) -> None: ...
    def next_action(self, member: MemberState, snapshot: Snapshot, now: float) -> Action | None: ...
    def on_action_ended(
        self, member: MemberState, action: Action, result: ActionResult, now: float
    ) -> None: ...
    def on_result_lost(self, member: MemberState, action: Action, now: float) -> None: ...


class CommonSteps:
    """What both kinds share: the restart command, finding out what it did, and the checks after it."""

    def __init__(self, times: StepTimes, available: AvailableCommands) -> None:
        self.times, self.available = times, available

    def rate_limited(self, member: MemberState, action: Action, now: float) -> Action | None:
        """The action, or None if the member was queried less than a poll interval ago."""
        if now - member.asked < self.times.poll_interval_s:
            return None
        member.asked = now
        return action

    def begin_restart(self, member: MemberState, now: float, admin_address: str = "") -> Action:
        member.lost, member.before = False, member.started
        member.enter_phase(Phase.RESTARTING, now)
        return Action(ActionKind.RESTART, member.id, member.target, admin_address)

    def on_result_lost(self, member: MemberState, action: Action, now: float) -> None:
        """Handle an action whose result was lost with the controller. All but the restart are repeated."""
        if action.kind is ActionKind.RESTART:
            member.lost = True
            member.enter_phase(
                Phase.RESOLVING_RESTART, now, "its command's result was lost with the controller"
            )

    def wait_until_warm(self, member: MemberState, now: float) -> None:
        if now - member.since >= self.times.warm_s:
            if member.note == "":
                member.tries = 0
            member.target = ""
            member.enter_phase(Phase.SERVING, now)

    def mark_failed(self, member: MemberState, now: float, fault: str) -> None:
        """Record that the member failed its checks with its target version."""
        member.fault = fault
        member.enter_phase(Phase.DOWN, now, fault)


class ServerSteps(CommonSteps):
    """The steps of a job server."""

    def begin_update(self, member: MemberState, target: str, now: float) -> None:
        """Cordon the server first; if it is out of service already, go on with the restart."""
        member.target = target
        member.tries += 1
        if member.phase is Phase.DOWN:
            member.enter_phase(Phase.RESTART_PENDING, now, "")
        else:
            member.enter_phase(Phase.CORDONING, now, "")

    def cancel_update(self, member: MemberState, now: float, note: str) -> None:
        """Return the server to service unchanged. Only valid before its restart command."""
        member.target = member.version
        member.enter_phase(Phase.UNCORDONING, now, note)

    def next_action(self, member: MemberState, snapshot: Snapshot, now: float) -> Action | None:
        phase = member.phase
        if phase is Phase.CORDONING:
            return Action(ActionKind.CORDON, member.id)
        if phase is Phase.DRAINING:
            return self.wait_until_drained(member, snapshot, now)
        if phase is Phase.RESTART_PENDING:
            return self.restart_again(member, snapshot, now)
        if phase is Phase.RESOLVING_RESTART:
            return self.resolve_restart(member, snapshot, now)
        if phase is Phase.VERIFYING:
            return self.verify(member, snapshot, now)
        if phase is Phase.UNCORDONING:
            return self.rate_limited(member, Action(ActionKind.UNCORDON, member.id), now)
        if phase is Phase.WARMING:
            self.wait_until_warm(member, now)
        return None

    def wait_until_drained(self, member: MemberState, snapshot: Snapshot, now: float) -> Action | None:
        """Wait until every node has reported, after the cordon, that nothing is in flight; then restart."""
        in_flight = snapshot.in_flight(member.id) if snapshot.taken_at_s > member.since else None
        if in_flight is not None and not snapshot.cordoned_everywhere(member.id):
            member.enter_phase(Phase.CORDONING, now)  # a restarted node has lost the cordon
            return Action(ActionKind.CORDON, member.id)
        if in_flight == 0:
            return self.begin_restart(member, now)
        if now - member.since > self.times.drain_s:
            remaining = (
                "not every node responds"
                if in_flight is None
                else f"{in_flight} requests are in flight there"
            )
            self.cancel_update(member, now, f"not empty after {self.times.drain_s:g} s: {remaining}")
        return None

    def restart_again(self, member: MemberState, snapshot: Snapshot, now: float) -> Action | None:
        """Restart a server that is out of service, and cordon it again first: a restarted node lost that."""
        if now - member.since > self.times.drain_s:
            self.mark_failed(
                member, now, f"could not be restarted: {member.note or 'requests are in flight there'}"
            )
            return None
        if member.proved == 0:
            return self.rate_limited(member, Action(ActionKind.CORDON, member.id), now)
        return self.begin_restart(member, now) if snapshot.in_flight(member.id) == 0 else None

    def resolve_restart(self, member: MemberState, snapshot: Snapshot, now: float) -> Action | None:
        """Find out what the restart command did: from the running version, or from the list."""
        if self.available.version:
            action = self.rate_limited(member, Action(ActionKind.VERSION, member.id, member.target), now)
        else:
            action = None
            line = (snapshot.listed or {}).get(member.id)
            if line is not None and line.started_ms != member.before:
                member.enter_phase(Phase.VERIFYING, now)
        limit = self.times.command_s + self.times.list_update_s
        if member.phase is Phase.RESOLVING_RESTART and now - member.since > limit:
            self.on_restart_without_effect(member, now)
            return None
        return action

    def on_restart_without_effect(self, member: MemberState, now: float) -> None:
        """The restart had no effect: return the server as it was; try again if only the result was lost."""
        if not member.lost or member.tries >= MAX_RESTART_TRIES:
            member.fault = member.note or "its command had no effect"
        member.target, member.before = member.version, -1  # -1: no new start time is expected in the list
        member.enter_phase(Phase.VERIFYING, now)

    def verify(self, member: MemberState, snapshot: Snapshot, now: float) -> Action | None:
        """Check in this order: the server responds, runs the right version, responds correctly, is listed."""
        if now - member.since > self.times.ready_s:
            self.mark_failed(
                member, now, f"not ready {self.times.ready_s:g} s after its restart: {member.note}"
            )
            return None
        if member.proved == 0:
            return self.rate_limited(member, Action(ActionKind.PING, member.id), now)
        if member.proved == 1 and self.available.version:
            return self.rate_limited(member, Action(ActionKind.VERSION, member.id, member.target), now)
        if member.proved <= 2 and self.available.check:
            return self.rate_limited(member, Action(ActionKind.CHECK, member.id, member.target), now)
        line = (snapshot.listed or {}).get(member.id)
        start_is_listed = line is not None and (
            line.started_ms != member.before or now - member.since > self.times.list_update_s
        )
        if line is None or line.lifecycle != "active" or not start_is_listed:
            member.note = "not listed yet"
            return None
        member.version, member.started = member.target, line.started_ms
        member.untold = line.started_ms == member.before
        member.enter_phase(Phase.UNCORDONING, now, "")
        return self.rate_limited(member, Action(ActionKind.UNCORDON, member.id), now)

    def on_action_ended(self, member: MemberState, action: Action, result: ActionResult, now: float) -> None:
        if action.kind is ActionKind.CORDON and member.phase is Phase.RESTART_PENDING:
            member.proved, member.note = int(result.ok), result.text
        elif action.kind is ActionKind.CORDON:
            if result.ok:
                member.enter_phase(Phase.DRAINING, now)
            else:
                self.cancel_update(member, now, f"not cordoned: {result.text}")
        elif action.kind is ActionKind.UNCORDON:
            if result.ok:
                member.enter_phase(Phase.WARMING, now)
            else:
                member.note = f"not uncordoned yet: {result.text}"
        elif action.kind is ActionKind.RESTART:
            member.enter_phase(Phase.VERIFYING if result.ok else Phase.RESOLVING_RESTART, now, result.text)
        elif member.phase is Phase.RESOLVING_RESTART:
            if result.ok and result.text == member.target:
                member.enter_phase(Phase.VERIFYING, now, "")
        elif member.phase is Phase.VERIFYING:
            self.on_verification_result(member, action, result, now)

    def on_verification_result(
        self, member: MemberState, action: Action, result: ActionResult, now: float
    ) -> None:
        member.note = "" if result.ok else result.text
        if action.kind is ActionKind.PING and result.ok:
            member.proved = 1
        elif action.kind is ActionKind.VERSION and result.ok:
            if result.text == member.target:
                member.proved = 2
            else:
                member.note = f"it runs {result.text}, not {member.target}"
        elif action.kind is ActionKind.CHECK:
            if result.ok:
                member.proved = 3
            elif result.outcome_known:
                member.version = member.target
                self.mark_failed(member, now, f"it answers wrongly: {result.text}")


class NodeSteps(CommonSteps):
    """The steps of a node. As the second process takes over from the first, no node is out of service."""

    def begin_update(self, member: MemberState, target: str, now: float) -> None:
        member.target = target
        member.tries += 1
        member.enter_phase(Phase.DRAINING, now, "")

    def cancel_update(self, member: MemberState, now: float, note: str) -> None:
        member.target = ""
        member.enter_phase(Phase.SERVING, now, note)

    def current_and_successor_address(self, member: MemberState) -> tuple[str, str]:
        """The admin addresses of the running process and of its successor."""
        addresses = self.available.admin_addresses[member.id]
        return addresses[member.door], addresses[(member.door + 1) % len(addresses)]

    def next_action(self, member: MemberState, snapshot: Snapshot, now: float) -> Action | None:
        phase, node = member.phase, snapshot.nodes[member.id]
        if (
            phase is Phase.DRAINING
            and node.processes
            and node.process_at(self.current_and_successor_address(member)[0]) is None
        ):
            # The node was restarted by someone else, at another of its admin addresses.
            member.door = self.available.admin_addresses[member.id].index(node.processes[0].admin_address)
        current, successor = self.current_and_successor_address(member)
        if phase is Phase.DRAINING:
            if node.process_at(successor) is not None:
                self.cancel_update(member, now, f"another process has its admin port at {successor} already")
                return None
            return self.begin_restart(member, now, successor)
        if phase is Phase.RESOLVING_RESTART:
            if node.process_at(successor) is not None:
                member.enter_phase(Phase.VERIFYING, now)
            elif now - member.since > self.times.command_s + self.times.list_update_s:
                if not member.lost or member.tries >= MAX_RESTART_TRIES:
                    member.fault = member.note or "its command started nothing"
                self.cancel_update(member, now, member.note)
            return None
        if phase is Phase.VERIFYING:
            return self.verify(member, snapshot, now)
        if phase is Phase.STOPPING_PREDECESSOR:
            return self.rate_limited(member, Action(ActionKind.STOP, member.id, member.version, current), now)
        if phase is Phase.AWAITING_PREDECESSOR_EXIT:
            self.wait_for_predecessor_exit(member, snapshot, now)
        if phase is Phase.DOWN:  # the second process did not become ready: stop it, the first serves on
            return self.rate_limited(
                member, Action(ActionKind.STOP, member.id, member.target, successor), now
            )
        if phase is Phase.WARMING:
            self.wait_until_warm(member, now)
        return None

    def verify(self, member: MemberState, snapshot: Snapshot, now: float) -> Action | None:
        _, successor = self.current_and_successor_address(member)
        process = snapshot.nodes[member.id].process_at(successor)
        if now - member.since > self.times.ready_s:
            health = process.health if process else "no response at its admin address"
            fault = f"not ready {self.times.ready_s:g} s after its start: {member.note or health}"
            self.mark_failed(member, now, fault)
        elif process is not None and process.ready:
            if member.proved == 0 and self.available.version:
                return self.rate_limited(
                    member, Action(ActionKind.VERSION, member.id, member.target, successor), now
                )
            if member.proved <= 1 and self.available.check:
                return self.rate_limited(
                    member, Action(ActionKind.CHECK, member.id, member.target, successor), now
                )
            member.enter_phase(Phase.STOPPING_PREDECESSOR, now, "")
        return None

    def wait_for_predecessor_exit(self, member: MemberState, snapshot: Snapshot, now: float) -> None:
        """Finish once the old process is gone from its admin address and the new one serves."""
        current, successor = self.current_and_successor_address(member)
        node = snapshot.nodes[member.id]
        if (
            snapshot.taken_at_s > member.since
            and node.process_at(current) is None
            and node.process_at(successor) is not None
        ):
            member.door = self.available.admin_addresses[member.id].index(successor)
            member.version = member.target
            member.enter_phase(Phase.WARMING, now, "")
        elif now - member.since > self.times.ready_s:
            member.fault = "two processes of it run on, though the first was asked to stop"
            member.enter_phase(Phase.STOPPING_PREDECESSOR, now, member.fault)

    def on_action_ended(self, member: MemberState, action: Action, result: ActionResult, now: float) -> None:
        if action.kind is ActionKind.RESTART:
            member.enter_phase(Phase.VERIFYING if result.ok else Phase.RESOLVING_RESTART, now, result.text)
        elif action.kind is ActionKind.STOP and member.phase is Phase.STOPPING_PREDECESSOR:
            member.note = "" if result.ok else f"not asked to stop: {result.text}"
            if result.ok:
                member.enter_phase(Phase.AWAITING_PREDECESSOR_EXIT, now)
            elif now - member.since > self.times.ready_s:  # the new one serves and must not be stopped
                member.fault = member.note
        elif action.kind is ActionKind.STOP and member.phase is Phase.DOWN:
            if result.ok:
                self.cancel_update(member, now, member.note)
        elif action.kind is ActionKind.VERSION:
            if result.ok and result.text == member.target:
                member.proved = 1
            else:
                member.note = f"it runs {result.text}, not {member.target}"
        elif action.kind is ActionKind.CHECK:
            if result.ok:
                member.proved = 2
            elif result.outcome_known:
                self.mark_failed(member, now, f"it answers wrongly: {result.text}")
