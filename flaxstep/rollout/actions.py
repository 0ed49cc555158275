"""What a release wants done, what came of it, and where each member stands. Values alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec


class ActionKind(Enum):
    """What can be asked of the rim. The first four change something, and are written down before."""

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
    """`version` for commands, `door` where a process of a node is meant."""

    kind: ActionKind
    member: str
    version: str = ""
    admin_address: str = ""


@dataclass(frozen=True, slots=True)
class ActionResult:
    """`text` is what a command wrote, or why it is a no; `known` is false where nobody can tell."""

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


BEFORE_RESTART = frozenset({Phase.CORDONING, Phase.DRAINING})  # nothing has been done that must be finished
IN_SERVICE = frozenset({Phase.SERVING, Phase.WARMING})


class MemberState(msgspec.Struct):
    """Where a member stands. `target` is the version that its trip leads to; `version` what it runs."""

    id: str
    zone: str
    size: float
    version: str
    target: str = ""
    phase: Phase = Phase.SERVING
    since: float = 0.0  # s, of the phase
    wave: int = 0
    started: int = 0  # the list's start of its process
    before: int = 0  # the same, when its command was about to run
    untold: bool = False  # the list has yet to tell of that start
    door: int = 0  # of a node: which of its doors
    proved: int = 0  # how much of the proof is done
    asked: float = -1e9  # s, when something was last asked about it
    open: int = 0  # the id of its act that has no result yet
    lost: bool = False  # its command's result is unknown: the controller was killed
    tries: int = 0
    crashes: int = 0
    fault: str = ""  # what speaks against the version that it was to get
    note: str = ""

    def enter_phase(self, phase: Phase, now: float, note: str | None = None) -> None:
        self.phase, self.since, self.proved, self.asked = phase, now, 0, -1e9
        if note is not None:
            self.note = note

    @property
    def out_of_service(self) -> bool:
        """Whether it does nothing for the farm just now."""
        return self.phase not in IN_SERVICE and self.phase is not Phase.GONE


@dataclass(frozen=True, slots=True)
class StepTimes:
    """s, from the plan."""

    command_s: float
    ready_s: float
    drain_s: float
    warm_s: float
    list_update_s: float = 10.0  # for news of the list to reach everybody
    poll_interval_s: float = 1.0  # between one question and the next


@dataclass(slots=True)
class AvailableCommands:
    """Which commands the plan has beside the restart."""

    version: bool = False
    check: bool = False
    admin_addresses: dict[str, tuple[str, ...]] = field(default_factory=dict)  # of nodes
