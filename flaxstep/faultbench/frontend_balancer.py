"""The front as a process: deals clients' connections out over the nodes of their zone that it takes for
there.

It asks each node for `/_health` ten times a second. One that says no gets nothing more after a moment; one
that does not answer is noticed only after some seconds, as fronts are.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Any

from flaxstep.faultbench.fake_service import Address, FakeService, Tasks, loopback, run
from flaxstep.faultbench.forwarder import Pair, listener, waiting
from flaxstep.faultbench.records import Believed, Dealt, Recorder

ASK_EVERY = 0.1  # s
ASK_TIME = 1.0  # s for an answer
HEALTH = b"GET /_health HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n"


class Front(FakeService):
    def __init__(self, config: dict[str, Any], recorder: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.recorder, self.loop = config, recorder, loop
        self.nodes: list[Address] = [(loopback(host), port) for host, port in config["nodes"]]
        self.zones: list[int] = config["node_zones"]
        self.there = [False] * len(self.nodes)
        self.next = 0
        self.tasks = Tasks()

    async def start(self) -> None:
        for zone, port in enumerate(self.config["ports"]):
            bound = listener(loopback(self.config["host"]), port)
            bound.listen(1024)
            self.loop.add_reader(bound, self.accept, bound, zone)
        for node in range(len(self.nodes)):
            self.tasks.spawn(self.follow(node))

    def pick(self, zone: int) -> int | None:
        """The nodes of a zone in turn; if none is there, those of any."""
        near = [node for node, there in enumerate(self.there) if there and self.zones[node] == zone]
        near = near or [node for node, there in enumerate(self.there) if there]
        if not near:
            return None
        self.next += 1
        return near[self.next % len(near)]

    def accept(self, bound: socket.socket, zone: int) -> None:
        for accepted, peer in waiting(bound):
            node = self.pick(zone)
            if node is None:
                accepted.close()
                continue
            self.recorder.write(Dealt(self.recorder.now(), zone, peer[1], node))
            self.tasks.spawn(Pair(self.loop).open(accepted, *self.nodes[node]))

    # Health.

    async def follow(self, node: int) -> None:
        """Ask a node again and again, and believe what it says, the absence of an answer late."""
        silent_since: float | None = None
        while True:
            said = await self.ask(node)
            if said is not None:
                silent_since = None
                if self.there[node] and not said:
                    await asyncio.sleep(self.config["health_s"])
                self.believe(node, said)
            else:
                silent_since = self.loop.time() if silent_since is None else silent_since
                if self.loop.time() - silent_since >= self.config["notice_s"]:
                    self.believe(node, False)
            await asyncio.sleep(ASK_EVERY)

    def believe(self, node: int, there: bool) -> None:
        if self.there[node] != there:
            self.there[node] = there
            self.recorder.write(Believed(self.recorder.now(), node, there))

    async def ask(self, node: int) -> bool | None:
        """Yes, no, or None without an answer."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(ASK_TIME):
                reader, writer = await asyncio.open_connection(*self.nodes[node])
                writer.write(HEALTH)
                line = await reader.readline()
        except (OSError, TimeoutError):
            return None
        finally:
            if writer is not None:
                with suppress(OSError):
                    writer.close()
        return line.split(b" ")[1:2] == [b"200"] if line else None

    def do_believed(self) -> list[bool]:
        return self.there


if __name__ == "__main__":
    run(Front)
