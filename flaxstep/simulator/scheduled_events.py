"""What goes wrong in a day and what operators do in it: how each begins, and how it ends."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import numpy as np

from flaxstep.routing.interface import State
from flaxstep.simulator.job_servers import Server
from flaxstep.simulator.sampling import Happening
from flaxstep.simulator.simulated_node import SimulatedNode
from flaxstep.simulator.simulation import Simulation

CALL_MS = 5.0  # between an operator's calls at one node and the next
RESTART_AFTER = 1000.0  # ms from the cordon to the restart of the server
LEAVE_MS = 600.0  # ms for which a process that was told to end still takes what comes
READY_MS = 250.0  # ms from the start of a node's process to its yes


def chosen(world: Simulation, what: Happening) -> list[Server]:
    """The part of the servers that a trouble meets, at least one."""
    generator = np.random.Generator(np.random.PCG64(what.seed))
    count = max(1, round(what.part * len(world.servers)))
    picked = generator.choice(len(world.servers), min(count, len(world.servers)), replace=False)
    return [world.servers[i] for i in sorted(picked.tolist())]


def set_for(world: Simulation, what: Happening, name: str, value: object, normal: object) -> None:
    """A figure of some servers is another for a while."""

    def put(servers: list[Server], figure: object) -> None:
        for server in servers:
            server.advance()
            setattr(server, name, figure)
            server.changed()

    servers = chosen(world, what)
    put(servers, value)
    world.engine.after(what.length, put, servers, normal)


def slow(world: Simulation, what: Happening) -> None:
    set_for(world, what, "slow", max(1.0, what.size), 1.0)


def fast_errors(world: Simulation, what: Happening) -> None:
    set_for(world, what, "errors", what.size, 0.0)


def lost(world: Simulation, what: Happening) -> None:
    set_for(world, what, "lost", what.size, 0.0)


def resets(world: Simulation, what: Happening) -> None:
    set_for(world, what, "resets", what.size, 0.0)


def pauses(world: Simulation, what: Happening) -> None:
    """Servers stand still, each at its own times."""
    chance = world.streams.chance(f"pauses {what.seed}")
    end = world.engine.now + what.length

    def put(server: Server, paused: bool) -> None:
        server.advance()
        server.paused = paused
        server.changed()
        if paused:
            world.engine.after(what.size, put, server, False)
        elif world.engine.now < end:
            world.engine.after(1000 * what.extra * chance.between(0.5, 1.5), put, server, True)

    for server in chosen(world, what):
        world.engine.after(1000 * what.extra * chance(), put, server, True)


def neighbour(world: Simulation, what: Happening) -> None:
    """Another program takes a part of the machine, on and off."""
    chance = world.streams.chance(f"neighbour {what.seed}")
    end = world.engine.now + what.length

    def put(server: Server, taken: float) -> None:
        server.advance()
        server.taken = taken if world.engine.now < end else 0.0
        server.changed()
        if world.engine.now < end:
            again = 1000 * what.extra * chance.between(0.5, 1.5)
            world.engine.after(again, put, server, 0.0 if taken else what.size)

    for server in chosen(world, what):
        world.engine.after(1000 * what.extra * chance(), put, server, what.size)


def burst(_: Simulation, __: Happening) -> None:
    """In the arrivals already."""


def cut(world: Simulation, what: Happening) -> None:
    """A zone is cut off from the others."""
    zone = what.seed % world.scenario.fleet.zones
    world.cut.add(zone)
    world.engine.after(what.length, world.cut.discard, zone)


def restart_server(world: Simulation, server: Server, down: float) -> None:
    """Its process ends and starts again, cold; discovery hears of both, late."""
    figures = world.plan.figures
    server.stop()
    server.state = State.GONE
    if down > 1000 * figures["discovery.notice_s"]:
        world.discovery.hear(server, State.GONE, 1000 * figures["discovery.notice_s"])

    def boot() -> None:
        server.boot()
        world.discovery.hear(server, State.READY, 1000 * figures["discovery.add_s"])

    world.engine.after(down, boot)


def replace(world: Simulation, what: Happening) -> None:
    """Servers drain, end and start again, in steps."""
    servers = chosen(world, what)
    notice = 1000 * world.plan.figures["discovery.notice_s"]

    def drain(server: Server) -> None:
        server.state = State.DRAINING
        world.discovery.hear(server, State.DRAINING, min(notice, 500.0))
        world.engine.after(3000.0, restart_server, world, server, 1000.0)

    for i, server in enumerate(servers):
        world.engine.after(what.length * (i * what.steps // len(servers)) / what.steps, drain, server)


def kill(world: Simulation, what: Happening) -> None:
    """Nodes die, in steps, and start again after a while; the front notices late."""
    generator = np.random.Generator(np.random.PCG64(what.seed))
    count = max(1, round(what.part * len(world.processes)))
    nodes = sorted(generator.choice(len(world.processes), count, replace=False).tolist())
    for i, node in enumerate(nodes):
        at = what.length * (i * what.steps // len(nodes)) / what.steps
        world.engine.after(at, fall, world, node, 1000 * what.extra)


def fall(world: Simulation, node: int, down: float) -> None:
    for process in list(world.processes[node]):
        world.end(process)
    notice = 1000 * world.plan.figures["front.notice_s"]
    if down + READY_MS > notice:
        world.engine.after(notice, world.front.learn, node, False)

    def rise() -> None:
        world.start(node)
        world.engine.after(READY_MS, world.front.learn, node, True)

    world.engine.after(down, rise)


# What operators do.


def cordon(world: Simulation, what: Happening) -> None:
    """Servers are taken out at every node, restarted, and called back."""
    for server in world.servers[what.first : what.first + what.count]:
        for node in range(len(world.processes)):
            world.engine.after(
                CALL_MS * node, at_node, world, node, partial(SimulatedNode.cordon, server=server.id)
            )
            back = what.length + CALL_MS * node
            world.engine.after(back, at_node, world, node, partial(SimulatedNode.uncordon, server=server.id))
        restart_in = min(RESTART_AFTER, what.length / 2)
        world.engine.after(restart_in, restart_server, world, server, min(what.extra, what.length / 2 - 10))


def at_node(world: Simulation, node: int, call: Callable[[SimulatedNode], None]) -> None:
    for process in world.processes[node]:
        call(process)


def quiesce(world: Simulation, what: Happening) -> None:
    """Nodes are emptied and called back."""
    health = 1000 * world.scenario.front.health_s
    for node in range(what.first, what.first + what.count):
        at_node(world, node, lambda process: process.tell_if_known("Drain", True))
        world.engine.after(health, world.front.learn, node, False)
        world.engine.after(what.length, resume, world, node)


def resume(world: Simulation, node: int) -> None:
    at_node(world, node, lambda process: process.tell_if_known("Drain", False))
    world.engine.after(1000 * world.scenario.front.health_s, world.front.learn, node, True)


def upgrade(world: Simulation, what: Happening) -> None:
    """A second process of a node starts; when it is ready the first is told to end."""
    for node in range(what.first, what.first + what.count):
        old = list(world.processes[node])
        new = world.start(node)
        for process in old:
            for server in process.cordoned:
                new.cordon(server)
        world.engine.after(READY_MS + LEAVE_MS, leave, world, old)


def leave(world: Simulation, processes: list[SimulatedNode]) -> None:
    for process in processes:
        process.stopping = True
        longest = max(c.deadline_ms for c in world.scenario.classes)
        world.engine.after(longest, world.end, process)


def restart(world: Simulation, what: Happening) -> None:
    """Nodes are told to end one after the other, and start again."""
    for i in range(what.count):
        world.engine.after(what.length * i / what.count, restart_node, world, what.first + i, what.extra)


def restart_node(world: Simulation, node: int, down: float) -> None:
    health = 1000 * world.scenario.front.health_s
    at_node(world, node, lambda process: process.tell_if_known("Drain", True))
    world.engine.after(health, world.front.learn, node, False)
    longest = max(c.deadline_ms for c in world.scenario.classes)
    world.engine.after(health + longest, fall, world, node, down)


HAPPENINGS: dict[str, Callable[[Simulation, Happening], None]] = {
    "slow": slow,
    "fast_errors": fast_errors,
    "lost": lost,
    "resets": resets,
    "pauses": pauses,
    "neighbour": neighbour,
    "burst": burst,
    "cut": cut,
    "replace": replace,
    "kill": kill,
    "cordon": cordon,
    "quiesce": quiesce,
    "upgrade": upgrade,
    "restart": restart,
}


def begin(world: Simulation, what: Happening) -> None:
    HAPPENINGS[what.name](world, what)
