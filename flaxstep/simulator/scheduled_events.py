"""Troubles and operator acts of a run: how each starts and ends.

A scenario names them; HAPPENING_HANDLERS has the function for each name.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import numpy as np

from flaxstep.routing.interface import State
from flaxstep.simulator.job_servers import Server
from flaxstep.simulator.sampling import Happening
from flaxstep.simulator.simulated_node import SimulatedNode
from flaxstep.simulator.simulation import Simulation

OPERATOR_CALL_GAP_MS = 5.0  # from the call to one node to the call to the next
RESTART_DELAY_MS = 1000.0  # from the cordon of a server to its restart
ACCEPT_AFTER_TERM_MS = 600.0  # a terminated node process still accepts requests for this long
NODE_STARTUP_MS = 250.0  # from the start of a node process until it reports ready


def choose_servers(simulation: Simulation, happening: Happening) -> list[Server]:
    """Pick the servers that a trouble affects: its share of them, at least one."""
    generator = np.random.Generator(np.random.PCG64(happening.seed))
    count = max(1, round(happening.part * len(simulation.servers)))
    picked = generator.choice(len(simulation.servers), min(count, len(simulation.servers)), replace=False)
    return [simulation.servers[i] for i in sorted(picked.tolist())]


def set_attribute_for(
    simulation: Simulation, happening: Happening, name: str, value: object, normal: object
) -> None:
    """Set an attribute of the affected servers, and set it back when the trouble ends."""

    def set_attribute(servers: list[Server], figure: object) -> None:
        for server in servers:
            server.advance_work()
            setattr(server, name, figure)
            server.reschedule_completion()

    servers = choose_servers(simulation, happening)
    set_attribute(servers, value)
    simulation.engine.call_after(happening.length, set_attribute, servers, normal)


def slow(simulation: Simulation, happening: Happening) -> None:
    set_attribute_for(simulation, happening, "slow", max(1.0, happening.size), 1.0)


def fast_errors(simulation: Simulation, happening: Happening) -> None:
    set_attribute_for(simulation, happening, "errors", happening.size, 0.0)


def lost(simulation: Simulation, happening: Happening) -> None:
    set_attribute_for(simulation, happening, "lost", happening.size, 0.0)


def resets(simulation: Simulation, happening: Happening) -> None:
    set_attribute_for(simulation, happening, "resets", happening.size, 0.0)


def pauses(simulation: Simulation, happening: Happening) -> None:
    """Servers pause repeatedly, each at its own times."""
    uniform = simulation.streams.uniform(f"pauses {happening.seed}")
    end = simulation.engine.now + happening.length

    def set_attribute(server: Server, paused: bool) -> None:
        server.advance_work()
        server.paused = paused
        server.reschedule_completion()
        if paused:
            simulation.engine.call_after(happening.size, set_attribute, server, False)
        elif simulation.engine.now < end:
            simulation.engine.call_after(
                1000 * happening.extra * uniform.between(0.5, 1.5), set_attribute, server, True
            )

    for server in choose_servers(simulation, happening):
        simulation.engine.call_after(1000 * happening.extra * uniform(), set_attribute, server, True)


def neighbour(simulation: Simulation, happening: Happening) -> None:
    """Another program uses a share of the machine, on and off."""
    uniform = simulation.streams.uniform(f"neighbour {happening.seed}")
    end = simulation.engine.now + happening.length

    def set_attribute(server: Server, taken: float) -> None:
        server.advance_work()
        server.taken = taken if simulation.engine.now < end else 0.0
        server.reschedule_completion()
        if simulation.engine.now < end:
            next_change_ms = 1000 * happening.extra * uniform.between(0.5, 1.5)
            simulation.engine.call_after(
                next_change_ms, set_attribute, server, 0.0 if taken else happening.size
            )

    for server in choose_servers(simulation, happening):
        simulation.engine.call_after(
            1000 * happening.extra * uniform(), set_attribute, server, happening.size
        )


def burst(_: Simulation, __: Happening) -> None:
    """Nothing to do: draw_first_tries puts bursts into the arrivals."""


def cut(simulation: Simulation, happening: Happening) -> None:
    """One zone is partitioned from the others."""
    zone = happening.seed % simulation.scenario.fleet.zones
    simulation.partitioned_zones.add(zone)
    simulation.engine.call_after(happening.length, simulation.partitioned_zones.discard, zone)


def restart_server(simulation: Simulation, server: Server, down_ms: float) -> None:
    """A server's process ends and starts again, cold. Discovery notices late, and no short outage."""
    figures = simulation.plan.figures
    server.stop_process()
    server.state = State.GONE
    if down_ms > 1000 * figures["discovery.notice_s"]:
        simulation.discovery.schedule_update(server, State.GONE, 1000 * figures["discovery.notice_s"])

    def start_again() -> None:
        server.start_process()
        simulation.discovery.schedule_update(server, State.READY, 1000 * figures["discovery.add_s"])

    simulation.engine.call_after(down_ms, start_again)


def replace(simulation: Simulation, happening: Happening) -> None:
    """Servers drain, stop and start again, in steps."""
    servers = choose_servers(simulation, happening)
    notice_ms = 1000 * simulation.plan.figures["discovery.notice_s"]

    def drain(server: Server) -> None:
        server.state = State.DRAINING
        simulation.discovery.schedule_update(server, State.DRAINING, min(notice_ms, 500.0))
        simulation.engine.call_after(3000.0, restart_server, simulation, server, 1000.0)

    for i, server in enumerate(servers):
        simulation.engine.call_after(
            happening.length * (i * happening.steps // len(servers)) / happening.steps, drain, server
        )


def kill(simulation: Simulation, happening: Happening) -> None:
    """Nodes are killed, in steps, and start again after a while. The front balancer notices late."""
    generator = np.random.Generator(np.random.PCG64(happening.seed))
    count = max(1, round(happening.part * len(simulation.processes)))
    nodes = sorted(generator.choice(len(simulation.processes), count, replace=False).tolist())
    for i, node in enumerate(nodes):
        delay_ms = happening.length * (i * happening.steps // len(nodes)) / happening.steps
        simulation.engine.call_after(delay_ms, crash_node, simulation, node, 1000 * happening.extra)


def crash_node(simulation: Simulation, node: int, down_ms: float) -> None:
    """A node's processes end at once; a new one starts after `down` ms."""
    for process in list(simulation.processes[node]):
        simulation.end_process(process)
    notice_ms = 1000 * simulation.plan.figures["front.notice_s"]
    if down_ms + NODE_STARTUP_MS > notice_ms:
        simulation.engine.call_after(notice_ms, simulation.front.set_node_up, node, False)

    def start_again() -> None:
        simulation.start_process(node)
        simulation.engine.call_after(NODE_STARTUP_MS, simulation.front.set_node_up, node, True)

    simulation.engine.call_after(down_ms, start_again)


# Operator acts.


def cordon(simulation: Simulation, happening: Happening) -> None:
    """Servers are cordoned at every node, restarted, and uncordoned."""
    for server in simulation.servers[happening.first : happening.first + happening.count]:
        for node in range(len(simulation.processes)):
            simulation.engine.call_after(
                OPERATOR_CALL_GAP_MS * node,
                call_processes,
                simulation,
                node,
                partial(SimulatedNode.cordon, server=server.id),
            )
            uncordon_delay_ms = happening.length + OPERATOR_CALL_GAP_MS * node
            simulation.engine.call_after(
                uncordon_delay_ms,
                call_processes,
                simulation,
                node,
                partial(SimulatedNode.uncordon, server=server.id),
            )
        restart_delay_ms = min(RESTART_DELAY_MS, happening.length / 2)
        simulation.engine.call_after(
            restart_delay_ms,
            restart_server,
            simulation,
            server,
            min(happening.extra, happening.length / 2 - 10),
        )


def call_processes(simulation: Simulation, node: int, call: Callable[[SimulatedNode], None]) -> None:
    """Apply a call to each process of a node."""
    for process in simulation.processes[node]:
        call(process)


def quiesce(simulation: Simulation, happening: Happening) -> None:
    """Nodes are drained of clients and then resumed."""
    health_check_ms = 1000 * simulation.scenario.front.health_s
    for node in range(happening.first, happening.first + happening.count):
        call_processes(simulation, node, lambda process: process.dispatch_if_known("Drain", True))
        simulation.engine.call_after(health_check_ms, simulation.front.set_node_up, node, False)
        simulation.engine.call_after(happening.length, resume_node, simulation, node)


def resume_node(simulation: Simulation, node: int) -> None:
    call_processes(simulation, node, lambda process: process.dispatch_if_known("Drain", False))
    simulation.engine.call_after(
        1000 * simulation.scenario.front.health_s, simulation.front.set_node_up, node, True
    )


def upgrade(simulation: Simulation, happening: Happening) -> None:
    """A second process of a node starts; when it is ready the first one is told to stop."""
    for node in range(happening.first, happening.first + happening.count):
        old = list(simulation.processes[node])
        new = simulation.start_process(node)
        for process in old:
            for server in process.cordoned_since:
                new.cordon(server)
        simulation.engine.call_after(NODE_STARTUP_MS + ACCEPT_AFTER_TERM_MS, stop_processes, simulation, old)


def stop_processes(simulation: Simulation, processes: list[SimulatedNode]) -> None:
    """Give processes no new requests, and end them after the longest deadline."""
    for process in processes:
        process.stopping = True
        longest_deadline_ms = max(c.deadline_ms for c in simulation.scenario.classes)
        simulation.engine.call_after(longest_deadline_ms, simulation.end_process, process)


def restart(simulation: Simulation, happening: Happening) -> None:
    """Nodes are stopped gracefully one after the other, and start again."""
    for i in range(happening.count):
        simulation.engine.call_after(
            happening.length * i / happening.count,
            restart_node,
            simulation,
            happening.first + i,
            happening.extra,
        )


def restart_node(simulation: Simulation, node: int, down_ms: float) -> None:
    health_check_ms = 1000 * simulation.scenario.front.health_s
    call_processes(simulation, node, lambda process: process.dispatch_if_known("Drain", True))
    simulation.engine.call_after(health_check_ms, simulation.front.set_node_up, node, False)
    longest_deadline_ms = max(c.deadline_ms for c in simulation.scenario.classes)
    simulation.engine.call_after(health_check_ms + longest_deadline_ms, crash_node, simulation, node, down_ms)


HAPPENING_HANDLERS: dict[str, Callable[[Simulation, Happening], None]] = {
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


def start_happening(simulation: Simulation, happening: Happening) -> None:
    """Start a trouble or an act, now."""
    HAPPENING_HANDLERS[happening.name](simulation, happening)
