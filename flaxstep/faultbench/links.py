"""The links: one process that forwards every connection between two other processes and applies faults to it.

A link leads from a caller to a callee and knows the names of both. Calls: `fault` starts a fault on all links
whose ends match its two names, `heal` ends it; `down` and `up` say whether a callee's process is running, so
that its links refuse or accept connections.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from flaxstep.faultbench.fake_service import (
    Address,
    BackgroundTasks,
    FakeService,
    require_loopback,
    run_service,
)
from flaxstep.faultbench.forwarder import (
    UNIMPAIRED,
    ConnectionPair,
    Impairment,
    PairSide,
    accept_waiting,
    bind_listener,
)
from flaxstep.faultbench.records import Closed, Disturbed, Recorder, Turn
from flaxstep.simulator.engine import RandomStreams

BACKLOG = 1024
BACKLOG_FILLERS = 2  # connections that fill the backlog of a listener that accepts none


def matches(name: str, names: set[str]) -> bool:
    """Whether a name in a fault refers to a process that has these names."""
    if name.startswith("not "):
        return name[4:] not in names
    return name in names


class LinkFault:
    """A fault between the processes that match two names."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.kind: str = spec["name"]
        self.one, self.other = spec["between"]
        self.way: str = spec["way"]
        self.size, self.jitter = float(spec["size"]), float(spec["jitter"])

    def affected_directions(self, caller: set[str], callee: set[str]) -> tuple[bool, bool]:
        """Whether it affects a link's bytes to the callee, and those back to the caller."""
        along = matches(self.one, caller) and matches(self.other, callee)
        against = matches(self.one, callee) and matches(self.other, caller)
        there = (along and self.way != "back") or (against and self.way != "there")
        back = (along and self.way != "there") or (against and self.way != "back")
        return there, back

    def add_to(self, base: Impairment) -> Impairment:
        """Returns the impairment of a direction with this fault added."""
        delay, jitter, rate = base.delay_s, base.jitter_s, base.rate_bytes_s
        if self.kind == "delay":
            delay, jitter = delay + self.size / 1000, jitter + self.jitter / 1000
        elif self.kind == "rate":
            rate = min(rate or self.size, self.size)
        silent = base.silent or self.kind == "silent"
        return Impairment(delay, jitter, rate, silent, base.reset or self.kind == "reset")


class Link:
    """A link from a caller to a callee, with the listener that the caller connects to."""

    def __init__(self, links: Links, spec: dict[str, Any]) -> None:
        self.links = links
        self.caller, self.callee = str(spec["caller"]), str(spec["callee"])
        self.caller_names, self.callee_names = set(spec["caller_names"]), set(spec["callee_names"])
        self.listen_address: Address = (require_loopback(spec["listen"][0]), spec["listen"][1])
        self.target_address: Address = (require_loopback(spec["target"][0]), spec["target"][1])
        self.records_turns: bool = spec["noted"]
        self.base_impairment = Impairment(spec["delay"], spec["jitter"]) if spec["delay"] else UNIMPAIRED
        self.forward = self.backward = self.base_impairment
        self.connections: set[LinkConnection] = set()
        self.listening_socket: socket.socket | None = None
        self.accept_paused = False
        self.backlog_fillers: list[socket.socket] = []

    def apply_faults(self, faults: list[LinkFault], callee_up: bool) -> None:
        """Applies the current faults. `callee_up`: whether the callee's process is running."""
        self.forward = self.backward = self.base_impairment
        refuse, hold = not callee_up, False
        for fault in faults:
            affected = fault.affected_directions(self.caller_names, self.callee_names)
            if not any(affected):
                continue
            refuse |= fault.kind == "refuse"
            hold |= fault.kind in ("hold", "silent")
            if affected[0]:
                self.forward = fault.add_to(self.forward)
            if affected[1]:
                self.backward = fault.add_to(self.backward)
        self.set_accept_mode(refuse and not hold, hold)
        for connection in list(self.connections):
            connection.apply_faults()

    def set_accept_mode(self, refuse: bool, hold: bool) -> None:
        """Accepts new connections, refuses them, or (`hold`) leaves them without a handshake."""
        if refuse:
            self.release_backlog()
            if self.listening_socket is not None:
                self.links.loop.remove_reader(self.listening_socket)
                self.listening_socket.close()
                self.listening_socket = None
            return
        if self.listening_socket is None:
            self.listening_socket = bind_listener(*self.listen_address)
            self.listening_socket.listen(BACKLOG)
            self.links.loop.add_reader(self.listening_socket, self.accept_connections)
        if hold and not self.accept_paused:
            self.accept_connections()
            self.links.loop.remove_reader(self.listening_socket)
            self.accept_paused = True
            self.listening_socket.listen(0)
            for _ in range(BACKLOG_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                with suppress(BlockingIOError):
                    filler.connect(self.listen_address)
                self.backlog_fillers.append(filler)
        elif self.accept_paused and not hold:
            self.listening_socket.listen(BACKLOG)
            self.links.loop.add_reader(self.listening_socket, self.accept_connections)
            self.release_backlog()

    def release_backlog(self) -> None:
        """Ends `hold`: accepts the connections that waited, and closes the fillers."""
        filler_addresses = {filler.getsockname() for filler in self.backlog_fillers}
        if self.accept_paused:
            self.accept_connections(filler_addresses)
        for filler in self.backlog_fillers:
            filler.close()
        self.backlog_fillers, self.accept_paused = [], False

    def accept_connections(self, filler_addresses: set[Address] | frozenset[Address] = frozenset()) -> None:
        assert self.listening_socket is not None
        for accepted, peer in accept_waiting(self.listening_socket):
            if peer in filler_addresses:
                accepted.close()
                continue
            connection = LinkConnection(self)
            self.connections.add(connection)
            self.links.tasks.spawn(connection.open(accepted, *self.target_address))


class LinkConnection(ConnectionPair):
    """A connection that passes through a link."""

    def __init__(self, link: Link) -> None:
        super().__init__(link.links.loop)
        self.link = link
        self.forward.random = self.backward.random = link.links.random
        self.source_port = 0
        self.turn = -1
        self.first_byte_ms = self.last_byte_ms = 0.0
        self.awaiting_response = False
        self.apply_faults()

    def apply_faults(self) -> None:
        link = self.link
        recovered = (self.forward.bytes_dropped and not link.forward.silent) or (
            self.backward.bytes_dropped and not link.backward.silent
        )
        self.forward.impairment, self.backward.impairment = link.forward, link.backward
        # A connection that has lost bytes cannot continue: it is reset once the silence ends.
        if recovered or link.forward.reset or link.backward.reset:
            self.reset_both()

    def on_connected(self, side: PairSide) -> None:
        if side is self.callee and side.transport is not None:
            self.source_port = side.transport.get_extra_info("sockname")[1]
        elif side is self.caller and self.link.forward.reset:
            self.reset_both()

    def on_data(self, side: PairSide, data: bytes) -> None:
        if not self.link.records_turns:
            return
        now = self.link.links.recorder.now()
        if side is self.callee:
            self.record_turn(now)
        elif self.awaiting_response:
            self.last_byte_ms = now
        else:
            self.awaiting_response, self.first_byte_ms, self.last_byte_ms = True, now, now
            self.turn += 1

    def record_turn(self, now: float) -> None:
        if not self.awaiting_response:
            return
        self.awaiting_response, link = False, self.link
        link.links.recorder.write(
            Turn(
                now, link.caller, link.callee, self.source_port, self.turn, round(self.first_byte_ms, 3),
                round(self.last_byte_ms, 3),
                round(1000 * (self.forward.impairment.delay_s + self.forward.impairment.jitter_s), 3),
            )
        )  # fmt: skip

    def on_closed(self, side: PairSide) -> None:
        link = self.link
        if link.records_turns:
            now = link.links.recorder.now()
            self.record_turn(now)
            by = link.caller if side is self.caller else link.callee
            link.links.recorder.write(Closed(now, link.caller, link.callee, self.source_port, by))
        if all(s.transport is None or s.transport.is_closing() for s in (self.caller, self.callee)):
            link.connections.discard(self)


class Links(FakeService):
    def __init__(self, config: dict[str, Any], recorder: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        self.recorder, self.loop = recorder, loop
        self.random: Callable[[], float] = RandomStreams(config["seed"]).uniform("links")
        self.links = [Link(self, spec) for spec in config["links"]]
        self.faults: dict[int, LinkFault] = {}
        self.callees_down: set[str] = set(config["down"])
        self.tasks = BackgroundTasks()

    async def start(self) -> None:
        self.apply_faults()

    def apply_faults(self) -> None:
        faults = list(self.faults.values())
        for link in self.links:
            link.apply_faults(faults, link.callee not in self.callees_down)

    # Calls.

    def do_fault(self, number: int, spec: dict[str, Any]) -> None:
        self.faults[number] = LinkFault(spec)
        self.record_fault(spec, True)
        self.apply_faults()

    def do_heal(self, number: int, spec: dict[str, Any]) -> None:
        self.faults.pop(number, None)
        self.record_fault(spec, False)
        self.apply_faults()

    def record_fault(self, spec: dict[str, Any], begins: bool) -> None:
        one, other = spec["between"]
        self.recorder.write(Disturbed(self.recorder.now(), spec["name"], one, other, spec["way"], begins))

    def do_down(self, callee: str) -> None:
        self.callees_down.add(callee)
        self.apply_faults_to_callee(callee)

    def do_up(self, callee: str) -> None:
        self.callees_down.discard(callee)
        self.apply_faults_to_callee(callee)

    def apply_faults_to_callee(self, callee: str) -> None:
        for link in self.links:
            if link.callee == callee:
                link.apply_faults(list(self.faults.values()), callee not in self.callees_down)


if __name__ == "__main__":
    run_service(Links)
