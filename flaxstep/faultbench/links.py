"""The links: one process that every connection between two others passes, and that does to it what is asked.

A link joins a caller with a callee and knows the names of both. Calls: `fault` begins something on all links
that two names meet, `heal` ends it, `down` and `up` say whether a callee's process is there to be connected
to.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from flaxstep.faultbench.fake_service import Address, FakeService, Tasks, loopback, run
from flaxstep.faultbench.forwarder import CLEAR, Effect, Pair, Side, listener, waiting
from flaxstep.faultbench.records import Closed, Disturbed, Recorder, Turn
from flaxstep.simulator.engine import RandomStreams

BACKLOG = 1024
FILLERS = 2  # connections that fill the queue of a listener that takes none


def meets(name: str, names: set[str]) -> bool:
    """Whether a name of a fault means an end that goes by these names."""
    if name.startswith("not "):
        return name[4:] not in names
    return name in names


class Fault:
    """Something wrong between two names."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.kind: str = spec["name"]
        self.one, self.other = spec["between"]
        self.way: str = spec["way"]
        self.size, self.jitter = float(spec["size"]), float(spec["jitter"])

    def on(self, caller: set[str], callee: set[str]) -> tuple[bool, bool]:
        """Whether it meets a link's bytes there, and back."""
        along = meets(self.one, caller) and meets(self.other, callee)
        against = meets(self.one, callee) and meets(self.other, caller)
        there = (along and self.way != "back") or (against and self.way != "there")
        back = (along and self.way != "there") or (against and self.way != "back")
        return there, back

    def effect(self, base: Effect) -> Effect:
        """The effect of a way with this fault added."""
        delay, jitter, rate = base.delay, base.jitter, base.rate
        if self.kind == "delay":
            delay, jitter = delay + self.size / 1000, jitter + self.jitter / 1000
        elif self.kind == "rate":
            rate = min(rate or self.size, self.size)
        silent = base.silent or self.kind == "silent"
        return Effect(delay, jitter, rate, silent, base.reset or self.kind == "reset")


class Link:
    """A way from one process to another, and what listens at its near end."""

    def __init__(self, links: Links, spec: dict[str, Any]) -> None:
        self.links = links
        self.caller, self.callee = str(spec["caller"]), str(spec["callee"])
        self.caller_names, self.callee_names = set(spec["caller_names"]), set(spec["callee_names"])
        self.listens: Address = (loopback(spec["listen"][0]), spec["listen"][1])
        self.target: Address = (loopback(spec["target"][0]), spec["target"][1])
        self.noted: bool = spec["noted"]
        self.base = Effect(spec["delay"], spec["jitter"]) if spec["delay"] else CLEAR
        self.there = self.back = self.base
        self.pairs: set[LinkPair] = set()
        self.socket: socket.socket | None = None
        self.held = False
        self.fillers: list[socket.socket] = []

    def settle(self, faults: list[Fault], there: bool) -> None:
        """Take on what is wrong now. `there`: whether the callee's process is."""
        self.there = self.back = self.base
        refuse, hold = not there, False
        for fault in faults:
            on = fault.on(self.caller_names, self.callee_names)
            if not any(on):
                continue
            refuse |= fault.kind == "refuse"
            hold |= fault.kind in ("hold", "silent")
            if on[0]:
                self.there = fault.effect(self.there)
            if on[1]:
                self.back = fault.effect(self.back)
        self.listen(refuse and not hold, hold)
        for pair in list(self.pairs):
            pair.settle()

    def listen(self, refuse: bool, hold: bool) -> None:
        """Take new connections, refuse them, or leave them without any answer."""
        if refuse:
            self.let_go()
            if self.socket is not None:
                self.links.loop.remove_reader(self.socket)
                self.socket.close()
                self.socket = None
            return
        if self.socket is None:
            self.socket = listener(*self.listens)
            self.socket.listen(BACKLOG)
            self.links.loop.add_reader(self.socket, self.accept)
        if hold and not self.held:
            self.accept()
            self.links.loop.remove_reader(self.socket)
            self.held = True
            self.socket.listen(0)
            for _ in range(FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                with suppress(BlockingIOError):
                    filler.connect(self.listens)
                self.fillers.append(filler)
        elif self.held and not hold:
            self.socket.listen(BACKLOG)
            self.links.loop.add_reader(self.socket, self.accept)
            self.let_go()

    def let_go(self) -> None:
        ours = {filler.getsockname() for filler in self.fillers}
        if self.held:
            self.accept(ours)
        for filler in self.fillers:
            filler.close()
        self.fillers, self.held = [], False

    def accept(self, ours: set[Address] | frozenset[Address] = frozenset()) -> None:
        assert self.socket is not None
        for accepted, peer in waiting(self.socket):
            if peer in ours:
                accepted.close()
                continue
            pair = LinkPair(self)
            self.pairs.add(pair)
            self.links.tasks.spawn(pair.open(accepted, *self.target))


class LinkPair(Pair):
    """A connection that passes a link."""

    def __init__(self, link: Link) -> None:
        super().__init__(link.links.loop)
        self.link = link
        self.there.chance = self.back.chance = link.links.chance
        self.port = 0
        self.turn = -1
        self.first = self.last = 0.0
        self.asking = False
        self.settle()

    def settle(self) -> None:
        link = self.link
        healed = (self.there.lost and not link.there.silent) or (self.back.lost and not link.back.silent)
        self.there.effect, self.back.effect = link.there, link.back
        # What has lost bytes can't go on: once the way is clear again it is reset.
        if healed or link.there.reset or link.back.reset:
            self.cut()

    def made(self, side: Side) -> None:
        if side is self.callee and side.transport is not None:
            self.port = side.transport.get_extra_info("sockname")[1]
        elif side is self.caller and self.link.there.reset:
            self.cut()

    def taken(self, side: Side, data: bytes) -> None:
        if not self.link.noted:
            return
        now = self.link.links.recorder.now()
        if side is self.callee:
            self.end_turn(now)
        elif self.asking:
            self.last = now
        else:
            self.asking, self.first, self.last = True, now, now
            self.turn += 1

    def end_turn(self, now: float) -> None:
        if not self.asking:
            return
        self.asking, link = False, self.link
        link.links.recorder.write(
            Turn(
                now, link.caller, link.callee, self.port, self.turn, round(self.first, 3),
                round(self.last, 3), round(1000 * (self.there.effect.delay + self.there.effect.jitter), 3),
            )
        )  # fmt: skip

    def ended(self, side: Side) -> None:
        link = self.link
        if link.noted:
            now = link.links.recorder.now()
            self.end_turn(now)
            by = link.caller if side is self.caller else link.callee
            link.links.recorder.write(Closed(now, link.caller, link.callee, self.port, by))
        if all(s.transport is None or s.transport.is_closing() for s in (self.caller, self.callee)):
            link.pairs.discard(self)


class Links(FakeService):
    def __init__(self, config: dict[str, Any], recorder: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        self.recorder, self.loop = recorder, loop
        self.chance: Callable[[], float] = RandomStreams(config["seed"]).uniform("links")
        self.links = [Link(self, spec) for spec in config["links"]]
        self.faults: dict[int, Fault] = {}
        self.gone: set[str] = set(config["down"])
        self.tasks = Tasks()

    async def start(self) -> None:
        self.settle()

    def settle(self) -> None:
        faults = list(self.faults.values())
        for link in self.links:
            link.settle(faults, link.callee not in self.gone)

    # Calls.

    def do_fault(self, number: int, spec: dict[str, Any]) -> None:
        self.faults[number] = Fault(spec)
        self.note(spec, True)
        self.settle()

    def do_heal(self, number: int, spec: dict[str, Any]) -> None:
        self.faults.pop(number, None)
        self.note(spec, False)
        self.settle()

    def note(self, spec: dict[str, Any], begins: bool) -> None:
        one, other = spec["between"]
        self.recorder.write(Disturbed(self.recorder.now(), spec["name"], one, other, spec["way"], begins))

    def do_down(self, callee: str) -> None:
        self.gone.add(callee)
        self.settle_callee(callee)

    def do_up(self, callee: str) -> None:
        self.gone.discard(callee)
        self.settle_callee(callee)

    def settle_callee(self, callee: str) -> None:
        for link in self.links:
            if link.callee == callee:
                link.settle(list(self.faults.values()), callee not in self.gone)


if __name__ == "__main__":
    run(Links)
