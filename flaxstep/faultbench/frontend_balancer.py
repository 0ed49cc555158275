"""The front as a process: a TCP load balancer that assigns clients' connections to the nodes of their zone.

It requests `/_health` from each node ten times a second. A node that reports itself unhealthy gets no more
connections after `health_s`; one that does not respond is removed only after `notice_s`, as with real
load balancers.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Any

from flaxstep.faultbench.fake_service import (
    Address,
    BackgroundTasks,
    FakeService,
    require_loopback,
    run_service,
)
from flaxstep.faultbench.forwarder import ConnectionPair, accept_waiting, bind_listener
from flaxstep.faultbench.records import Believed, Dealt, Recorder

HEALTH_CHECK_INTERVAL_S = 0.1
HEALTH_CHECK_TIMEOUT_S = 1.0
HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n"


class FrontendBalancer(FakeService):
    def __init__(self, config: dict[str, Any], recorder: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.recorder, self.loop = config, recorder, loop
        self.nodes: list[Address] = [(require_loopback(host), port) for host, port in config["nodes"]]
        self.node_zones: list[int] = config["node_zones"]
        self.up = [False] * len(self.nodes)
        self.pick_count = 0
        self.tasks = BackgroundTasks()

    async def start(self) -> None:
        for zone, port in enumerate(self.config["ports"]):
            listening_socket = bind_listener(require_loopback(self.config["host"]), port)
            listening_socket.listen(1024)
            self.loop.add_reader(listening_socket, self.accept_connections, listening_socket, zone)
        for node in range(len(self.nodes)):
            self.tasks.spawn(self.check_health(node))

    def pick_node(self, zone: int) -> int | None:
        """Picks the healthy nodes of a zone in turn; those of any zone if it has none."""
        candidates = [node for node, up in enumerate(self.up) if up and self.node_zones[node] == zone]
        candidates = candidates or [node for node, up in enumerate(self.up) if up]
        if not candidates:
            return None
        self.pick_count += 1
        return candidates[self.pick_count % len(candidates)]

    def accept_connections(self, listening_socket: socket.socket, zone: int) -> None:
        for accepted, peer in accept_waiting(listening_socket):
            node = self.pick_node(zone)
            if node is None:
                accepted.close()
                continue
            self.recorder.write(Dealt(self.recorder.now(), zone, peer[1], node))
            self.tasks.spawn(ConnectionPair(self.loop).open(accepted, *self.nodes[node]))

    # Health checks.

    async def check_health(self, node: int) -> None:
        """Checks a node's health in a loop. A missing response counts as unhealthy only after `notice_s`."""
        silent_since: float | None = None
        while True:
            healthy = await self.query_health(node)
            if healthy is not None:
                silent_since = None
                if self.up[node] and not healthy:
                    await asyncio.sleep(self.config["health_s"])
                self.set_up(node, healthy)
            else:
                silent_since = self.loop.time() if silent_since is None else silent_since
                if self.loop.time() - silent_since >= self.config["notice_s"]:
                    self.set_up(node, False)
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    def set_up(self, node: int, up: bool) -> None:
        if self.up[node] != up:
            self.up[node] = up
            self.recorder.write(Believed(self.recorder.now(), node, up))

    async def query_health(self, node: int) -> bool | None:
        """Whether the node reports itself healthy; None if it does not respond."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.nodes[node])
                writer.write(HEALTH_REQUEST)
                line = await reader.readline()
        except (OSError, TimeoutError):
            return None
        finally:
            if writer is not None:
                with suppress(OSError):
                    writer.close()
        return line.split(b" ")[1:2] == [b"200"] if line else None

    def do_believed(self) -> list[bool]:
        return self.up


if __name__ == "__main__":
    run_service(FrontendBalancer)
