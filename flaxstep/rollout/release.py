"""The stored state of a release, and its members by wave."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from flaxstep.rollout.actions import MemberState, Phase
from flaxstep.rollout.evidence import SlowThreshold
from flaxstep.rollout.plan import Member, Plan, split_into_waves


class State(Enum):
    MEASURING = "measuring"
    IN_PROGRESS = "under way"
    PAUSED = "paused"
    HALTED = "halted"
    ROLLING_BACK = "going back"
    DONE = "done"
    ROLLED_BACK = "went back"
    ABANDONED = "gave up"


END_STATES = frozenset({State.DONE, State.ROLLED_BACK, State.HALTED, State.ABANDONED})
ACTIVE_STATES = frozenset({State.MEASURING, State.IN_PROGRESS})


class Release(msgspec.Struct):
    """The stored state of a release, without its members. Times in s of the controller's clock."""

    state: State = State.MEASURING
    why: str = ""
    wave: int = 0
    measured: float = 0.0  # s of baseline measurement
    answers: int = 0  # responses in that time
    baked: float = 0.0  # s for which the current wave was watched
    waiting: str = ""  # what the release waits for
    waits_since: float = 0.0
    looked: float = -1.0
    stake: float = 1.0
    wanted: float = 0.0
    served: float | None = None
    low_since: float = -1.0  # since when less than the plan's `halt_worth` is served; -1: it is not
    doubted: float = -1.0  # when a single released member was found bad; -1: none is under suspicion
    marks: dict[str, dict[str, SlowThreshold]] = {}
    pooled: dict[str, SlowThreshold] = {}
    bets: dict[str, object] = {}


class WaveMembers:
    """The members of a release, by the waves of its plan."""

    def __init__(self, plan: Plan, release: Release, members: dict[str, MemberState]) -> None:
        self.plan, self.release, self.members = plan, release, members

    def all_members(self) -> Iterable[MemberState]:
        return self.members.values()

    def current_wave(self) -> list[MemberState]:
        """The members of the current wave."""
        return [m for m in self.all_members() if m.wave == self.release.wave and m.phase is not Phase.GONE]

    @property
    def last_wave(self) -> int:
        return max((m.wave for m in self.all_members()), default=0)

    def wave_is_updated(self) -> bool:
        return all(m.version == self.plan.to and m.phase is Phase.SERVING for m in self.current_wave())

    def has_baseline(self) -> bool:
        """Whether any member that is not released serves, to compare with."""
        return any(m.version != self.plan.to and m.phase is Phase.SERVING for m in self.all_members())


def assign_waves(plan: Plan, members: list[Member]) -> dict[str, MemberState]:
    """The state of each member at the beginning, with its wave."""
    return {
        member.id: MemberState(member.id, member.zone, member.size, plan.from_, wave=number)
        for number, wave in enumerate(split_into_waves(plan, members))
        for member in wave.members
    }
