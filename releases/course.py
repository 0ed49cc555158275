"""The whole release: which member goes next, when to wait, when it is bad, and the way back. Pure.

`tick` is told the time and a look at the farm and returns acts; `ended` takes what an act came to. Nothing is
remembered that a look can show, so a release goes on after its controller was killed at any point.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum

import msgspec

from releases.acts import OUTWARD, Act, Asks, Phase, Result, Standing, Times
from releases.evidence import Evidence, Mark
from releases.judge import Finding, Judge, Opinion
from releases.limits import broken, meet, no_room, silent, unfit
from releases.plan import Member, Plan, waves
from releases.trips import NodeTrip, ServerTrip, Trip
from releases.view import View

LEAST_BEFORE = 50  # answers to measure before the release begins
UNSURE = 2.0  # a stake over this: a wave is watched for up to so many times its time
MOST_BAKE = 3.0
LOW_TIME = 30.0  # s: bursts end sooner, and are no version's fault
MOST_TRIES = 4  # trips of one member that came to nothing, for reasons of the farm's


class State(Enum):
    MEASURING = "measuring"
    ROLLING = "under way"
    PAUSED = "paused"
    HALTED = "halted"
    GOING_BACK = "going back"
    DONE = "done"
    WENT_BACK = "went back"
    GAVE_UP = "gave up"


ENDED = frozenset({State.DONE, State.WENT_BACK, State.HALTED, State.GAVE_UP})
RUNNING = frozenset({State.MEASURING, State.ROLLING})


class Release(msgspec.Struct):
    """What is kept of a release beside its members. Times in s of the controller's clock."""

    state: State = State.MEASURING
    why: str = ""
    wave: int = 0
    measured: float = 0.0
    baked: float = 0.0  # of this wave
    waiting: str = ""  # for what
    waits_since: float = 0.0
    looked: float = -1.0
    stake: float = 1.0
    wanted: float = 0.0
    served: float | None = None
    low_since: float = -1.0  # since when less than the plan's `halt_worth` is served
    doubted: float = -1.0  # when the canary was found bad once
    marks: dict[str, dict[str, Mark]] = {}
    pooled: dict[str, Mark] = {}
    bets: dict[str, object] = {}


class Course:
    """A release of a plan among members. `doors` are the nodes', by name."""

    def __init__(
        self, plan: Plan, release: Release, members: dict[str, Standing], doors: Mapping[str, tuple[str, ...]]
    ) -> None:
        self.plan, self.release, self.members = plan, release, members
        watch, commands = plan.watch, plan.commands
        times = Times(
            commands.time_limit_s, commands.ready_s, watch.empty_s, watch.warm_s, again=0.9 * watch.look_s
        )
        asks = Asks(commands.version is not None, commands.check is not None, dict(doors))
        self.trip: Trip = ServerTrip(times, asks) if plan.what == "servers" else NodeTrip(times, asks)
        self.evidence = Evidence(plan.what, watch.slower, plan.room.worths)
        self.judge = Judge(watch.false_halt, watch.failures)
        if release.marks or release.pooled:
            self.evidence.remember(release.marks, release.pooled)
        if release.bets:
            self.judge.remember(release.bets)

    # What a look brings.

    def tick(self, now: float, view: View) -> list[Act]:
        """What is to be done now."""
        passed = now - self.release.looked if self.release.looked >= 0 else 0.0
        self.release.looked = now
        if self.plan.what == "servers" and view.listed is not None:
            meet(self.members, view.listed, self.plan.from_)
        self.weigh(view, passed, now)
        acts = list(self.go_on(view, now))
        if self.release.state in RUNNING:
            self.hard_limits(now)
        if self.release.state is State.ROLLING:
            self.roll(view, passed, now)
        elif self.release.state is State.GOING_BACK:
            self.go_back(view, now)
        elif self.release.state in ENDED or self.release.state is State.PAUSED:
            self.release.waiting = ""
        return acts

    def weigh(self, view: View, passed: float, now: float) -> None:
        """Take the look's figures up, and judge them."""
        release, found = self.release, self.evidence.take(view)
        release.served = self.evidence.served()
        if release.state is State.MEASURING:
            answers = self.evidence.measure(found)
            release.measured += passed
            if release.measured >= self.plan.watch.before_s and answers >= LEAST_BEFORE:
                self.evidence.settle()
                release.marks, release.pooled = self.evidence.marks, self.evidence.pooled
                release.state = State.ROLLING
            elif release.measured > self.plan.watch.before_s + self.plan.watch.wait_s:
                self.end(State.GAVE_UP, f"only {answers} answers to measure before the release")
            return
        released = {m.id for m in self.members.values() if m.version == self.plan.to}
        cold = {m.id for m in self.members.values() if m.phase is not Phase.SERVING}
        seen = list(self.evidence.seen(found, released, cold))
        doubted_for = now - release.doubted if release.doubted >= 0 else -1.0
        if 0 <= doubted_for < self.plan.watch.doubt_s:
            seen = [line for line in seen if not line.released]  # what met the machine shall pass first
        opinion = self.judge.look(seen)
        release.stake, release.wanted = opinion.stake, opinion.wanted
        if release.state is State.ROLLING:
            self.heed(opinion, doubted_for, passed, now)
        release.bets = self.judge.memory()

    def heed(self, opinion: Opinion, doubted_for: float, passed: float, now: float) -> None:
        """What the judgement means for the wave. One machine alone must be found bad twice."""
        release, watch = self.release, self.plan.watch
        if opinion.finding is Finding.BAD:
            if self.judge.sole and doubted_for < 0:
                release.doubted, release.baked = now, 0.0
                self.judge.look_again()
            else:
                self.fall(f"worse than the rest: {opinion.why}", now)
        elif doubted_for >= 0:
            if doubted_for > watch.doubt_s + watch.bake_s:
                release.doubted = -1.0
                self.judge.acquit()
                release.baked = watch.bake_s if self.wave_is_out() else 0.0
        elif self.wave_is_out() and (opinion.finding is Finding.GOOD or not self.rest()):
            release.baked += passed

    def hard_limits(self, now: float) -> None:
        """What needs no comparison."""
        served, release = self.release.served, self.release
        if served is None or served >= self.plan.room.halt_worth:
            release.low_since = -1.0
        elif release.low_since < 0:
            release.low_since = now
        low = release.low_since >= 0 and now - release.low_since > LOW_TIME
        why = broken(self.members.values(), self.plan, served if low else None)
        if why:
            self.fall(why, now)

    # What is under way.

    def go_on(self, view: View, now: float) -> Iterator[Act]:
        """The next step of each member that is between two versions."""
        state = self.release.state
        wanted = {State.ROLLING: self.plan.to, State.GOING_BACK: self.plan.from_}.get(state)
        for member in self.members.values():
            if member.open or member.phase in (Phase.SERVING, Phase.GONE):
                continue
            if member.phase in OUTWARD and member.target != wanted:
                self.trip.undo(member, now, f"the release is {state.value}")
            act = self.trip.step(member, view, now)
            if act is not None:
                yield act

    def ended(self, act: Act, result: Result, now: float) -> None:
        """What an act came to."""
        self.trip.ended(self.members[act.member], act, result, now)

    def recover(self, act: Act, now: float) -> None:
        """An act that was under way when the controller was killed."""
        self.trip.recover(self.members[act.member], act, now)

    # Forward.

    def roll(self, view: View, passed: float, now: float) -> None:
        """Send the next members out, or watch the wave, or end."""
        release = self.release
        if release.doubted >= 0:
            self.wait("one machine was found worse than the rest, and is judged once more", now)
            return
        if self.wave_is_out():
            if release.baked < self.bake_time() and self.wave_members():
                reason = "" if self.judge.fit or not self.rest() else "too few answers to compare with"
                self.wait(reason, now)
                return
            release.wave, release.baked = release.wave + 1, 0.0
            if release.wave > max((m.wave for m in self.members.values()), default=0):
                self.end(State.DONE, "")
                return
        self.wait(unfit(view, self.plan, release.served) or self.next_out(view, self.plan.to, now), now)

    def bake_time(self) -> float:
        """s; more while something speaks against the version, though not enough."""
        unsure = self.release.stake > UNSURE and self.rest()
        return self.plan.watch.bake_s * (MOST_BAKE if unsure else 1.0)

    def next_out(self, view: View, version: str, now: float) -> str:
        """Begin the trips of as many as there is room for; or why not even one, if none is under way."""
        reason = ""
        for member in self.candidates(version):
            reason = no_room(member, self.members.values(), self.plan, view, version == self.plan.from_)
            if reason:
                break
            if member.tries >= MOST_TRIES:
                reason = f"{member.id}, {member.tries} times: {member.note or member.fault}"
            elif member.phase is Phase.SERVING and view.cordoned(member.id):
                reason = f"{member.id} is out by somebody else's hand"
            else:
                self.trip.begin(member, version, now)
        at_rest = (Phase.SERVING, Phase.DOWN, Phase.GONE)
        return reason if all(m.phase in at_rest for m in self.members.values()) else ""

    def candidates(self, version: str) -> list[Standing]:
        """Who may set out for a version now, in this order."""
        if version == self.plan.to:
            may = {Phase.SERVING, Phase.DOWN}
            return [m for m in self.wave_members() if m.version != version and m.phase in may]
        # A bad version need not warm up first. Who is out costs no room; of the others the smallest first.
        may = {Phase.SERVING, Phase.WARMING}
        if self.plan.what == "servers":
            may |= {Phase.DOWN, Phase.RETURNING}
        back = [m for m in self.members.values() if m.version != version or m.phase is Phase.DOWN]
        back = [m for m in back if m.phase in may and not m.open and not self.stuck(m)]
        return sorted(back, key=lambda m: (not m.out, m.phase is Phase.SERVING, m.size, m.id))

    def stuck(self, member: Standing) -> bool:
        """It could not be brought back to the version before either."""
        return member.phase is Phase.DOWN and member.target == self.plan.from_

    def wave_members(self) -> list[Standing]:
        gone = Phase.GONE
        return [m for m in self.members.values() if m.wave == self.release.wave and m.phase is not gone]

    def wave_is_out(self) -> bool:
        return all(m.version == self.plan.to and m.phase is Phase.SERVING for m in self.wave_members())

    def rest(self) -> bool:
        return any(m.version != self.plan.to and m.phase is Phase.SERVING for m in self.members.values())

    def wait(self, reason: str, now: float) -> None:
        """Keep why nothing goes on, and give up when that has lasted too long."""
        release = self.release
        if reason and not release.waiting:
            release.waits_since = now
        release.waiting = reason
        if reason and now - release.waits_since > self.plan.watch.wait_s:
            self.end(State.GAVE_UP, f"waited {self.plan.watch.wait_s:g} s: {reason}")

    # The way back, and the end.

    def fall(self, why: str, now: float) -> None:
        """The version is bad."""
        if self.plan.watch.on_bad == "back":
            self.turn_back(why)
        else:
            self.end(State.HALTED, why)

    def turn_back(self, why: str) -> None:
        self.release.state, self.release.why, self.release.waiting = State.GOING_BACK, why, ""
        for member in self.members.values():
            member.fault, member.tries = "", 0

    def go_back(self, view: View, now: float) -> None:
        for member in self.members.values():
            if member.phase is Phase.PROVING and member.target == self.plan.to and not member.open:
                member.go(Phase.DOWN, now, "the release goes back")  # no need to call it back first
        wanted = [m for m in self.members.values() if m.phase is not Phase.GONE and not self.stuck(m)]
        if all(m.version == self.plan.from_ and m.phase is Phase.SERVING for m in wanted):
            self.end(State.WENT_BACK, self.release.why)
            return
        self.wait(silent(view) or self.next_out(view, self.plan.from_, now), now)

    def end(self, state: State, why: str) -> None:
        release = self.release
        release.state, release.why, release.waiting = state, why, ""

    def order(self, order: str) -> str:
        """What staff want; why not, if it can't be."""
        state = self.release.state
        if order == "pause" and state in RUNNING:
            self.release.state = State.PAUSED
        elif order == "resume" and state in (State.PAUSED, State.HALTED, State.GAVE_UP):
            if state is not State.PAUSED:  # staff have seen what spoke against it
                self.judge = Judge(self.plan.watch.false_halt, self.plan.watch.failures)
                self.release.doubted = -1.0
                for member in self.members.values():
                    member.fault, member.crashes, member.tries = "", 0, 0
            measured = bool(self.release.pooled)
            self.release.state, self.release.why = State.ROLLING if measured else State.MEASURING, ""
        elif order == "back" and state not in (State.GOING_BACK, State.WENT_BACK):
            self.turn_back("called back by staff")
        else:
            return f"the release is {state.value}"
        self.release.waiting = ""
        return ""

    @property
    def over(self) -> bool:
        """Whether nothing is left to be done."""
        down = Phase.DOWN if self.plan.what == "servers" else Phase.SERVING
        rest = (Phase.SERVING, Phase.GONE, down)
        return self.release.state in ENDED and all(
            m.phase in rest and not m.open for m in self.members.values()
        )


def line_up(plan: Plan, members: list[Member]) -> dict[str, Standing]:
    """The members of a plan's waves, each with its wave."""
    return {
        member.id: Standing(member.id, member.zone, member.size, plan.from_, wave=number)
        for number, wave in enumerate(waves(plan, members))
        for member in wave.members
    }
