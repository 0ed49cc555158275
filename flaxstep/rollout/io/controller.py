"""The controller: takes snapshots, writes intents ahead, performs actions, and writes their results."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from flaxstep.rollout.actions import Action, ActionKind, ActionResult, MemberState
from flaxstep.rollout.farm import Farm
from flaxstep.rollout.io.executor import Executor
from flaxstep.rollout.io.snapshot_collector import collect_snapshot, fetch_server_list
from flaxstep.rollout.io.store import ClaimLost, Store, StoredRelease, StoreError, boot_clock_s
from flaxstep.rollout.plan import Member, Plan, PlanError
from flaxstep.rollout.release import END_STATES, Release, State, assign_waves
from flaxstep.rollout.state_machine import ReleaseStateMachine

MAX_PARALLEL_VERSION_QUERIES = 8  # version commands
RESULT_LOST = ActionResult(False, "its result was lost with the controller", outcome_known=False)
LineReporter = Callable[[str], None]


class Controller:
    """Carries out a release. `report_line` is called with one line for each event."""

    def __init__(self, farm: Farm, store: Store, stored: StoredRelease, report_line: LineReporter) -> None:
        self.farm, self.store, self.stored, self.report_line = farm, store, stored, report_line
        admin_addresses = {node.name: node.doors for node in farm.nodes}
        self.state_machine = ReleaseStateMachine(stored.plan, stored.release, stored.members, admin_addresses)
        self.executor = Executor(farm, stored.plan)
        self.reported_state: tuple[State, str, int] | None = None
        self.reported_phases = {member.id: member.phase for member in stored.members.values()}

    def recover(self) -> None:
        """Resume after a controller that was killed: settle each action that has no result."""
        self.state_machine.recover(self.stored.unfinished_actions.values(), boot_clock_s())
        for number, action in self.stored.unfinished_actions.items():
            self.report_line(f"{action.kind.value} {action.member}: {RESULT_LOST.text}")
            self.store.write_result(
                self.stored.id, self.stored.release, self.stored.members, number, RESULT_LOST
            )
        self.stored.unfinished_actions.clear()

    async def run(self) -> None:
        """Run until the release is over; ClaimLost if another controller has taken the farm over.

        Also returns if a release that has ended cannot return a member to service within the plan's `wait_s`.
        """
        ended_at: float | None = None
        watch = self.stored.plan.watch
        try:
            async with asyncio.TaskGroup() as tasks:
                self.apply_orders()
                while not self.state_machine.finished:
                    started_at = time.monotonic()
                    await self.run_cycle(tasks)
                    ended_at = (ended_at or started_at) if self.stored.release.state in END_STATES else None
                    if ended_at is not None and started_at - ended_at > watch.wait_s:
                        break
                    await asyncio.sleep(max(0.05, started_at + watch.look_s - time.monotonic()))
        except ExceptionGroup as group:
            raise group.exceptions[0] from None
        if self.stored.release.state in (State.DONE, State.ROLLED_BACK) and self.state_machine.finished:
            self.store.close_release(self.stored.id, self.stored.release, self.stored.members)

    def apply_orders(self) -> None:
        with self.store.transaction():
            for number, what in self.store.pending_orders(self.stored.id):
                refusal = self.state_machine.apply_order(what)
                self.store.record_order_result(number, refusal)
                self.report_line(f"{what}, ordered by an operator{': no, ' if refusal else ''}{refusal}")
            self.store.save(self.stored.id, self.stored.release, self.stored.members)

    async def run_cycle(self, tasks: asyncio.TaskGroup) -> None:
        snapshot = await collect_snapshot(self.farm, boot_clock_s())
        self.executor.snapshot = snapshot
        if self.store.pending_orders(self.stored.id):
            self.apply_orders()
        actions = self.state_machine.tick(boot_clock_s(), snapshot)
        ids = self.store.write_intents(self.stored.id, self.stored.release, self.stored.members, actions)
        self.report_changes()
        for number, action in zip(ids, actions, strict=True):
            # -1: queries have no id in the store, but are in progress all the same
            self.stored.members[action.member].open = number or -1
            tasks.create_task(self.perform_action(number, action))

    async def perform_action(self, number: int, action: Action) -> None:
        if not self.store.holds_claim():
            raise ClaimLost(f"{self.store.path}: another controller has taken this farm over")
        result = await self.executor.perform(action)
        self.stored.members[action.member].open = 0
        self.state_machine.on_action_ended(action, result, boot_clock_s())
        if number:
            outcome = "yes" if result.ok else "no"
            self.report_line(
                f"{action.kind.value} {action.member}: {outcome}{f', {result.text}' if result.text else ''}"
            )
        self.store.write_result(self.stored.id, self.stored.release, self.stored.members, number, result)

    def report_changes(self) -> None:
        """Report changes of the release and its members."""
        release = self.stored.release
        for member in self.stored.members.values():
            if self.reported_phases.get(member.id) is not member.phase:
                self.reported_phases[member.id] = member.phase
                note = f" ({member.note})" if member.note else ""
                self.report_line(f"{member.id}: {member.phase.value}, {member.version}{note}")
        now = release.state, release.waiting or release.why, release.wave
        if self.reported_state != now:
            self.reported_state = now
            why = f": {now[1]}" if now[1] else ""
            self.report_line(f"wave {release.wave + 1}, {release.state.value}{why}")


async def plan_members(farm: Farm, plan: Plan) -> list[Member]:
    """The members that a plan updates; PlanError if they cannot be determined."""
    if plan.what == "nodes":
        single_address_nodes = [node.name for node in farm.nodes if len(node.doors) < 2]
        if single_address_nodes:
            raise PlanError(
                [
                    f"nodes: {name} has one admin address; a successor needs another"
                    for name in single_address_nodes
                ]
            )
        return [Member(node.name, node.zone, 1.0) for node in farm.nodes]
    listed = await fetch_server_list(farm.discovery)
    if listed is None:
        raise PlanError([f"discovery: the list service at {farm.discovery} does not respond"])
    lines = [line for line in listed.values() if line.lifecycle == "active"]
    if not lines:
        raise PlanError(["discovery: no job server is listed as active"])
    return [Member(line.id, line.zone, line.size) for line in lines]


async def resume_or_create_release(farm: Farm, store: Store, plan: Plan) -> StoredRelease:
    """The open release of this plan, or a new one; StoreError if a release of another plan is open."""
    found = store.newest_release()
    if found is not None and found.ended is None:
        watch = msgspec.structs.replace(found.plan.watch, on_bad=plan.watch.on_bad)
        if msgspec.structs.replace(found.plan, watch=watch) != plan:
            raise StoreError(f"release {found.id}, {found.plan.name}, is not over; it must be closed first")
        found.plan = plan  # `on_bad` may be changed while a release is open
        return found
    members = assign_waves(plan, await plan_members(farm, plan))
    await query_versions(farm, plan, members)
    release = Release()
    number = store.create_release(plan, release, members)
    return StoredRelease(number, plan, release, members, {}, time.time(), None)


async def query_versions(farm: Farm, plan: Plan, members: dict[str, MemberState]) -> None:
    """Query which version each member runs, if the plan can; PlanError if nothing is left to do."""
    if plan.commands.version is None:
        return
    executor, slots = Executor(farm, plan), asyncio.Semaphore(MAX_PARALLEL_VERSION_QUERIES)
    nodes = (await collect_snapshot(farm, boot_clock_s())).nodes if plan.what == "nodes" else {}
    admin_addresses = {
        name: node.processes[0].admin_address for name, node in nodes.items() if node.processes
    }

    async def ask(member: MemberState) -> str:
        async with slots:
            result = await executor.perform(
                Action(ActionKind.VERSION, member.id, plan.to, admin_addresses.get(member.id, ""))
            )
        if not result.ok:
            return f"{member.id}: its version cannot be queried: {result.text}"
        member.version = result.text
        known = (plan.from_, plan.to)
        return (
            "" if result.text in known else f"{member.id} runs {result.text}, neither {' nor '.join(known)}"
        )

    faults = [fault for fault in await asyncio.gather(*map(ask, members.values())) if fault]
    if not faults and all(member.version == plan.to for member in members.values()):
        faults = [f"to: every member runs {plan.to} already"]
    if faults:
        raise PlanError(faults)
