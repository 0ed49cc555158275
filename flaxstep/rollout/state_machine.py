"""The state machine of a whole release: which member is next, when to wait, halt or roll back. Pure.

`tick` takes the time and a snapshot of the farm and returns actions; `on_action_ended` takes the result of
one. Nothing is stored that a snapshot can show, so a release goes on after its controller was killed at any
point.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from flaxstep.rollout.actions import (
    BEFORE_RESTART,
    Action,
    ActionResult,
    AvailableCommands,
    MemberState,
    Phase,
    StepTimes,
)
from flaxstep.rollout.limits import (
    capacity_reason,
    failure_reason,
    reason_to_wait,
    silent_node,
    update_from_list,
)
from flaxstep.rollout.member_steps import MemberSteps, NodeSteps, ServerSteps
from flaxstep.rollout.plan import Plan
from flaxstep.rollout.release import ACTIVE_STATES, END_STATES, Release, State, WaveMembers
from flaxstep.rollout.snapshot import Snapshot
from flaxstep.rollout.wave_evaluation import WaveEvaluation

# Too little worth served for this long fails the release; bursts of load end sooner.
LOW_WORTH_LIMIT_S = 30.0
MAX_UPDATE_TRIES = 4  # updates of one member that failed for reasons of the farm, not of the version


class ReleaseStateMachine:
    """Carries a plan out among members. `admin_addresses` are those of the nodes, by name."""

    def __init__(
        self,
        plan: Plan,
        release: Release,
        members: dict[str, MemberState],
        admin_addresses: Mapping[str, tuple[str, ...]],
    ) -> None:
        self.plan, self.release, self.members = plan, release, members
        watch, commands = plan.watch, plan.commands
        times = StepTimes(
            commands.time_limit_s,
            commands.ready_s,
            watch.empty_s,
            watch.warm_s,
            poll_interval_s=0.9 * watch.look_s,
        )
        available = AvailableCommands(
            commands.version is not None, commands.check is not None, dict(admin_addresses)
        )
        self.member_steps: MemberSteps = (
            ServerSteps(times, available) if plan.what == "servers" else NodeSteps(times, available)
        )
        self.wave_members = WaveMembers(plan, release, members)
        self.evaluation = WaveEvaluation(self.wave_members)

    # Snapshots.

    def tick(self, now: float, snapshot: Snapshot) -> list[Action]:
        """Process a snapshot and return the actions to perform now."""
        passed = now - self.release.looked if self.release.looked >= 0 else 0.0
        self.release.looked = now
        if self.plan.what == "servers" and snapshot.listed is not None:
            update_from_list(self.members, snapshot.listed, self.plan.from_)
        if why := self.evaluation.update(snapshot, passed, now):
            self.on_bad_version(why, now)
        actions = list(self.step_members(snapshot, now))
        if self.release.state in ACTIVE_STATES:
            self.check_hard_limits(now)
        if self.release.state is State.MEASURING:
            self.check_baseline()
        elif self.release.state is State.IN_PROGRESS:
            self.advance(snapshot, now)
        elif self.release.state is State.ROLLING_BACK:
            self.continue_rollback(snapshot, now)
        elif self.release.state in END_STATES or self.release.state is State.PAUSED:
            self.release.waiting = ""
        return actions

    def check_hard_limits(self, now: float) -> None:
        """Halt or roll back for reasons that need no comparison with other members."""
        served, release = self.release.served, self.release
        if served is None or served >= self.plan.room.halt_worth:
            release.low_since = -1.0
        elif release.low_since < 0:
            release.low_since = now
        low = release.low_since >= 0 and now - release.low_since > LOW_WORTH_LIMIT_S
        why = failure_reason(self.members.values(), self.plan, served if low else None)
        if why:
            self.on_bad_version(why, now)

    # Members that are being updated.

    def step_members(self, snapshot: Snapshot, now: float) -> Iterator[Action]:
        """Yield the next action of each member that is between two versions."""
        state = self.release.state
        wanted = {State.IN_PROGRESS: self.plan.to, State.ROLLING_BACK: self.plan.from_}.get(state)
        for member in self.members.values():
            if member.open or member.phase in (Phase.SERVING, Phase.GONE):
                continue
            if member.phase in BEFORE_RESTART and member.target != wanted:
                self.member_steps.cancel_update(member, now, f"the release is {state.value}")
            action = self.member_steps.next_action(member, snapshot, now)
            if action is not None:
                yield action

    def on_action_ended(self, action: Action, result: ActionResult, now: float) -> None:
        """Process the result of an action."""
        self.member_steps.on_action_ended(self.members[action.member], action, result, now)

    def recover(self, unfinished: Iterable[Action], now: float) -> None:
        """Resume after a controller was killed. `unfinished` are its actions that have no result."""
        self.release.looked, self.release.waiting = -1.0, ""
        for member in self.members.values():
            member.open, member.asked = 0, -1e9
            if member.phase not in (Phase.SERVING, Phase.GONE, Phase.WARMING, Phase.DOWN):
                member.since = now  # restart its time limit: no controller was running meanwhile
        for action in unfinished:
            self.member_steps.on_result_lost(self.members[action.member], action, now)

    # The rollout.

    def check_baseline(self) -> None:
        """Give up if the farm responds too rarely for a baseline."""
        watch, release = self.plan.watch, self.release
        if release.measured > watch.before_s + watch.wait_s:
            self.finish(State.ABANDONED, f"only {release.answers} responses to measure before the release")

    def advance(self, snapshot: Snapshot, now: float) -> None:
        """Update the next members, or watch the current wave, or finish."""
        release = self.release
        if release.doubted >= 0:
            self.set_waiting("one machine was found worse than the rest, and is analysed once more", now)
            return
        if self.wave_members.wave_is_updated():
            if self.wave_members.current_wave() and not self.evaluation.baked_long_enough():
                self.set_waiting(self.evaluation.comparison_gap(), now)
                return
            release.wave, release.baked = release.wave + 1, 0.0
            if release.wave > self.wave_members.last_wave:
                self.finish(State.DONE, "")
                return
        self.set_waiting(
            reason_to_wait(snapshot, self.plan, release.served)
            or self.begin_updates(snapshot, self.plan.to, now),
            now,
        )

    def begin_updates(self, snapshot: Snapshot, version: str, now: float) -> str:
        """Begin as many updates as the limits allow; if none is under way, return why none can begin."""
        reason = ""
        for member in self.candidates(version):
            reason = capacity_reason(
                member, self.members.values(), self.plan, snapshot, version == self.plan.from_
            )
            if reason:
                break
            if member.tries >= MAX_UPDATE_TRIES:
                reason = f"{member.id}, {member.tries} times: {member.note or member.fault}"
            elif member.phase is Phase.SERVING and snapshot.cordoned_anywhere(member.id):
                reason = f"{member.id} was cordoned by somebody else"
            else:
                self.member_steps.begin_update(member, version, now)
        idle_phases = (Phase.SERVING, Phase.DOWN, Phase.GONE)
        return reason if all(m.phase in idle_phases for m in self.members.values()) else ""

    def candidates(self, version: str) -> list[MemberState]:
        """The members that may be updated to a version now, in this order."""
        if version == self.plan.to:
            eligible_phases = {Phase.SERVING, Phase.DOWN}
            return [
                m
                for m in self.wave_members.current_wave()
                if m.version != version and m.phase in eligible_phases
            ]
        # A bad version need not warm up first. Members that are out of service cost no capacity; of the
        # others the smallest are first.
        eligible_phases = {Phase.SERVING, Phase.WARMING}
        if self.plan.what == "servers":
            eligible_phases |= {Phase.DOWN, Phase.UNCORDONING}
        outdated = [m for m in self.members.values() if m.version != version or m.phase is Phase.DOWN]
        outdated = [
            m for m in outdated if m.phase in eligible_phases and not m.open and not self.rollback_failed(m)
        ]
        return sorted(outdated, key=lambda m: (not m.out_of_service, m.phase is Phase.SERVING, m.size, m.id))

    def rollback_failed(self, member: MemberState) -> bool:
        """Whether a member could not be brought back to the old version either."""
        return member.phase is Phase.DOWN and member.target == self.plan.from_

    def set_waiting(self, reason: str, now: float) -> None:
        """Record why the release waits, and give up when it has waited too long."""
        release = self.release
        if reason and not release.waiting:
            release.waits_since = now
        release.waiting = reason
        if reason and now - release.waits_since > self.plan.watch.wait_s:
            self.finish(State.ABANDONED, f"waited {self.plan.watch.wait_s:g} s: {reason}")

    # Rollback and the end.

    def on_bad_version(self, why: str, now: float) -> None:
        """Roll back or halt, as the plan says."""
        if self.plan.watch.on_bad == "back":
            self.start_rollback(why)
        else:
            self.finish(State.HALTED, why)

    def start_rollback(self, why: str) -> None:
        self.release.state, self.release.why, self.release.waiting = State.ROLLING_BACK, why, ""
        for member in self.members.values():
            member.fault, member.tries = "", 0

    def continue_rollback(self, snapshot: Snapshot, now: float) -> None:
        for member in self.members.values():
            if member.phase is Phase.VERIFYING and member.target == self.plan.to and not member.open:
                member.enter_phase(Phase.DOWN, now, "the release goes back")  # no need to uncordon it first
        wanted = [
            m for m in self.members.values() if m.phase is not Phase.GONE and not self.rollback_failed(m)
        ]
        if all(m.version == self.plan.from_ and m.phase is Phase.SERVING for m in wanted):
            self.finish(State.ROLLED_BACK, self.release.why)
            return
        self.set_waiting(silent_node(snapshot) or self.begin_updates(snapshot, self.plan.from_, now), now)

    def finish(self, state: State, why: str) -> None:
        release = self.release
        release.state, release.why, release.waiting = state, why, ""

    def apply_order(self, order: str) -> str:
        """Apply an order of an operator; return why it is refused, or an empty string."""
        state = self.release.state
        if order == "pause" and state in ACTIVE_STATES:
            self.release.state = State.PAUSED
        elif order == "resume" and state in (State.PAUSED, State.HALTED, State.ABANDONED):
            if state is not State.PAUSED:  # operators have seen the evidence against the version
                self.evaluation.reset()
                for member in self.members.values():
                    member.fault, member.crashes, member.tries = "", 0, 0
            measured = bool(self.release.pooled)
            self.release.state, self.release.why = State.IN_PROGRESS if measured else State.MEASURING, ""
        elif order == "back" and state not in (State.ROLLING_BACK, State.ROLLED_BACK):
            self.start_rollback("rolled back by an operator")
        else:
            return f"the release is {state.value}"
        self.release.waiting = ""
        return ""

    @property
    def finished(self) -> bool:
        """Whether the release has ended and no member is being updated."""
        down = Phase.DOWN if self.plan.what == "servers" else Phase.SERVING
        final_phases = (Phase.SERVING, Phase.GONE, down)
        return self.release.state in END_STATES and all(
            m.phase in final_phases and not m.open for m in self.members.values()
        )
