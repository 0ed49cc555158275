"""The actions of a release, their results, and the state of a member. Values only."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec


class ActionKind(Enum):
    """The kinds of actions. The first four change something: their intent is written before they are
    performed. The values are stored.
    """

    CORDON = "cordon"
    UNCORDON = "uncordon"
    RESTART = "restart"
    STOP = "stop"
    VERSION = "version"
    PING = "ping"
    CHECK = "check"


MUTATING_ACTIONS = frozenset({ActionKind.CORDON, ActionKind.UNCORDON, ActionKind.RESTART, ActionKind.STOP})


@dataclass(frozen=True, slots=True)
class Action:
    """An action for one member. `version` is for commands, `admin_address` for those of a node's process."""

    kind: ActionKind
    member: str
    version: str = ""
    admin_address: str = ""


@dataclass(frozen=True, slots=True)
class ActionResult:
    """The result of an action.

    `text` is the output of a command, or the reason of a failure. `outcome_known` is False if the action may
    or may not have had its effect.
    """

    ok: bool
    text: str = ""
    outcome_known: bool = True


class Phase(Enum):
    SERVING = "in service"
    CORDONING = "being taken out at every node"
    DRAINING = "out, waiting for what is in flight"
    RESTART_PENDING = "out, to be restarted"
    RESTARTING = "its command runs"
    RESOLVING_RESTART = "finding out what its command did"
    VERIFYING = "restarted, to answer and be listed"
    STOPPING_PREDECESSOR = "its process before is told to end"
    AWAITING_PREDECESSOR_EXIT = "its process before ends"
    UNCORDONING = "being called back at every node"
    WARMING = "back, cold"
    DOWN = "not in service: it did not prove itself"
    GONE = "left the farm"


BEFORE_RESTART = frozenset({Phase.CORDONING, Phase.DRAINING})  # an update can be cancelled in these
IN_SERVICE = frozenset({Phase.SERVING, Phase.WARMING})


class MemberState(msgspec.Struct):
    """The state of a member, stored with the release; times in s of the controller's clock.

    `version` is what it runs, `target` the version that its update leads to.
    """

    id: str
    zone: str
    size: float
    version: str
    target: str = ""
    phase: Phase = Phase.SERVING
    since: float = 0.0  # start of the phase
    wave: int = 0
    started: int = 0  # start time of its process in Unix ms, as listed
    before: int = 0  # `started` before its restart command; -1: none
    untold: bool = False  # the list does not have the new start time yet
    door: int = 0  # of a node: the index of its admin address
    proved: int = 0  # how many checks after the restart have passed
    asked: float = -1e9  # when it was last queried
    open: int = 0  # id of its action that is in progress; 0: none
    lost: bool = False  # the result of its command is unknown: the controller was killed
    tries: int = 0
    crashes: int = 0
    fault: str = ""  # evidence against the version that it was to get
    note: str = ""

    def enter_phase(self, phase: Phase, now: float, note: str | None = None) -> None:
        self.phase, self.since, self.proved, self.asked = phase, now, 0, -1e9
        if note is not None:
            self.note = note

    @property
    def out_of_service(self) -> bool:
        """Whether it serves nothing at the moment, though it belongs to the farm."""
        return self.phase not in IN_SERVICE and self.phase is not Phase.GONE


@dataclass(frozen=True, slots=True)
class StepTimes:
    """Time limits and intervals, from the plan."""

    command_s: float
    ready_s: float
    drain_s: float
    warm_s: float
    list_update_s: float = 10.0  # time for a change of the list to reach every node
    poll_interval_s: float = 1.0  # minimum time between two queries of a member


@dataclass(slots=True)
class AvailableCommands:
    """Which optional commands the plan has, and where nodes have their admin ports."""

    version: bool = False
    check: bool = False
    admin_addresses: dict[str, tuple[str, ...]] = field(default_factory=dict)  # by node name
