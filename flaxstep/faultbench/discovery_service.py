"""Discovery as a process: the server list and its watch, as the platform documents them.

It can be late, down, or overloaded by callers.

It listens on one port per node, because each node reaches the servers through addresses of its own.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from flaxstep.faultbench.fake_service import BackgroundTasks, FakeService, require_loopback, run_service
from flaxstep.faultbench.forwarder import reset_connection
from flaxstep.faultbench.records import Happened, Recorder, Told
from flaxstep.simulator.engine import RandomStreams

LIST_PATH = "/catalog/members"
KEEPALIVE_INTERVAL_S = 2.0  # between the empty lines of a watch
MAX_KEPT_CHANGES = 1000
MAX_WAITING_CALLS = 2000
# When a node counts as informed of a change that was not written to it. MISSED_CHANGE_GRACE_MS counts from
# when the node could request the list (PROTOCOL, Figures). CLOSED_WATCH_GRACE_MS counts from when its watch
# was closed in place of the change (seen in the incident of 2026-12-03).
MISSED_CHANGE_GRACE_MS, CLOSED_WATCH_GRACE_MS = 6000.0, 2000.0
FAILING_MODES = ("refuse", "reset")  # misbehaviors that fail all calls, as if discovery were down
HANG_S = 3600.0


class DiscoveryService(FakeService):
    """The server list, the history of its changes, and the watches and calls that are open."""

    def __init__(self, config: dict[str, Any], recorder: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.recorder, self.loop = config, recorder, loop
        self.version: int = config["version"]
        self.entries: dict[int, dict[str, Any]] = {int(n): e for n, e in config["entries"].items()}
        # Version, server, entry.
        self.changes: deque[tuple[int, int, dict[str, Any]]] = deque(maxlen=MAX_KEPT_CHANGES)
        self.watches: set[DiscoveryConnection] = set()
        self.random: Callable[[], float] = RandomStreams(config["seed"]).uniform("listing")
        self.call_slots = asyncio.Semaphore(max(1, int(config["capacity"])))
        self.waiting_calls = 0
        self.is_down = False
        self.misbehavior, self.misbehavior_size = "", 0.0  # the `how` and `size` of do_misbehave
        # By node: since when its watch has been silent without a response to another call.
        self.silent_since: dict[int, float] = {}
        # Changes made while no call could be served: version, lifecycles.
        self.unserved_changes: list[tuple[int, dict[int, str]]] = []
        self.connections: set[DiscoveryConnection] = set()
        self.tasks = BackgroundTasks()

    async def start(self) -> None:
        host = require_loopback(self.config["host"])
        for node, port in enumerate(self.config["ports"]):
            await self.loop.create_server(partial(DiscoveryConnection, self, node), host, port, backlog=1024)
        self.loop.call_later(KEEPALIVE_INTERVAL_S, self.send_keepalives)

    def send_keepalives(self) -> None:
        for connection in list(self.watches):
            if not connection.muted:
                connection.write_chunk(b"\n")
        self.loop.call_later(KEEPALIVE_INTERVAL_S, self.send_keepalives)

    # Responses.

    def encode_list_message(
        self, node: int, whole: bool, entries: dict[int, dict[str, Any]], version: int
    ) -> bytes:
        addresses = self.config["addresses"][node]
        instances = [entry | {"hostPort": addresses[server]} for server, entry in entries.items()]
        message = {"generation": version, "reset": whole, "instances": instances}
        lifecycles = {server: str(entry["lifecycle"]) for server, entry in entries.items()}
        self.recorder.write(Told(self.recorder.now(), node, version, whole, lifecycles))
        self.silent_since.pop(node, None)
        return json.dumps(message).encode() + b"\n"

    def encode_changes_since(self, node: int, version: int) -> bytes:
        """Encodes the changes after a version, or the whole list if the history does not reach back to it."""
        in_history = version == self.version or (
            self.changes and self.changes[0][0] <= version + 1 <= self.version
        )
        if not in_history:
            return self.encode_list_message(node, True, self.entries, self.version)
        changed = {server: entry for at, server, entry in self.changes if at > version}
        return self.encode_list_message(node, False, changed, self.version)

    async def serve(self, connection: DiscoveryConnection, target: str) -> None:
        """Serves a call when a slot is free; responds 503 if it waits too long or too many calls wait."""
        if self.is_down or self.misbehavior == "reset":
            reset_connection(connection.transport)
            return
        if self.misbehavior in ("slow", "refuse", "hang", "silent", "close"):
            refused = self.misbehavior == "refuse"
            await asyncio.sleep(HANG_S if self.misbehavior == "hang" else self.misbehavior_size)
            if refused:
                connection.respond(b"503 Service Unavailable", b"")
                return
        if self.waiting_calls >= MAX_WAITING_CALLS:
            connection.respond(b"503 Service Unavailable", b"")
            return
        self.waiting_calls += 1
        try:
            async with asyncio.timeout(self.config["timeout_s"]):
                await self.call_slots.acquire()
        except TimeoutError:
            connection.respond(b"503 Service Unavailable", b"")
            return
        finally:
            self.waiting_calls -= 1
        try:
            await asyncio.sleep(self.config["call_s"])
        finally:
            self.call_slots.release()
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        if connection.transport.is_closing() or self.is_down:
            reset_connection(connection.transport)
        elif parts.path != LIST_PATH:
            connection.respond(b"404 Not Found", b"")
        elif "watch" in query:
            connection.start_watch(
                self.encode_changes_since(connection.node, int(query.get("from", ["0"])[0]))
            )
        else:
            connection.respond(
                b"200 OK", self.encode_list_message(connection.node, True, self.entries, self.version)
            )

    # Calls from the rig.

    def do_announce(self, server: int, entry: dict[str, Any], late_s: float = 0.0) -> None:
        """Schedules a change of a server's entry; it enters the list `late_s` later."""
        self.loop.call_later(late_s, self.apply_change, server, entry)

    def apply_change(self, server: int, entry: dict[str, Any]) -> None:
        self.version += 1
        if entry["lifecycle"] == "left":
            self.entries.pop(server, None)
        else:
            self.entries[server] = entry
        self.changes.append((self.version, server, entry))
        lifecycles = {server: str(entry["lifecycle"])}
        if self.is_down or self.misbehavior in FAILING_MODES:
            self.unserved_changes.append((self.version, lifecycles))
        else:
            self.record_assumed(self.version, lifecycles)
        for connection in list(self.watches):
            delay_s = self.config["spread_s"] * self.random()
            if connection.muted:
                continue
            if self.misbehavior == "close":
                self.loop.call_later(delay_s, connection.close_instead_of_change, self.version, lifecycles)
            else:
                self.loop.call_later(delay_s, connection.send_changes)

    def record_assumed(self, version: int, lifecycles: dict[int, str]) -> None:
        """Records when nodes without an open watch must act on a change that is not written to them."""
        now = self.recorder.now()
        watched = {connection.node for connection in self.watches if not connection.muted}
        for node in range(len(self.config["ports"])):
            if node in watched:
                continue
            silent = self.silent_since.get(node)
            at = now + MISSED_CHANGE_GRACE_MS if silent is None else max(now, silent + MISSED_CHANGE_GRACE_MS)
            self.recorder.write(Told(at, node, version, False, lifecycles, assumed=True))

    def do_misbehave(self, how: str, size: float) -> None:
        self.misbehavior, self.misbehavior_size = how, size
        self.recorder.write(Happened(self.recorder.now(), how or "well again", "discovery"))
        if how == "silent":
            for connection in self.watches:
                connection.muted = True
                self.silent_since[connection.node] = self.recorder.now()
        if not how:
            self.record_unserved_changes()

    def record_unserved_changes(self) -> None:
        """Handles the end of an outage: from now on nodes can request the changes made during it."""
        unserved_changes, self.unserved_changes = self.unserved_changes, []
        for version, lifecycles in unserved_changes:
            self.record_assumed(version, lifecycles)

    def do_down(self) -> None:
        """Resets all connections, and new ones until `do_up`."""
        self.is_down = True
        self.recorder.write(Happened(self.recorder.now(), "down", "discovery"))
        for connection in list(self.connections):
            reset_connection(connection.transport)

    def do_up(self) -> None:
        self.is_down = False
        self.recorder.write(Happened(self.recorder.now(), "up", "discovery"))
        self.record_unserved_changes()


class DiscoveryConnection(asyncio.Protocol):
    """A connection from a node or controller, which carries list calls or a watch."""

    def __init__(self, service: DiscoveryService, node: int) -> None:
        self.service, self.node = service, node
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.version = 0  # of the list that the watch has sent
        self.muted = False  # sends nothing more, for good

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.service.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.service.connections.discard(self)
        self.service.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self) -> None:
        self.target = b""

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        self.service.tasks.spawn(self.service.serve(self, self.target.decode("latin-1")))

    def close_instead_of_change(self, version: int, lifecycles: dict[int, str]) -> None:
        """Closes the watch cleanly in place of sending a change."""
        if self in self.service.watches:
            recorder = self.service.recorder
            recorder.write(
                Told(
                    recorder.now() + CLOSED_WATCH_GRACE_MS,
                    self.node,
                    version,
                    False,
                    lifecycles,
                    assumed=True,
                )
            )
            self.transport.close()

    def respond(self, status: bytes, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def start_watch(self, first: bytes) -> None:
        self.version = self.service.version
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write_chunk(first)
        self.service.watches.add(self)

    def send_changes(self) -> None:
        """Sends the changes since the last line, if there are any and the watch is still open."""
        if self in self.service.watches and not self.muted and self.version < self.service.version:
            line = self.service.encode_changes_since(self.node, self.version)
            self.version = self.service.version
            self.write_chunk(line)

    def write_chunk(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))


if __name__ == "__main__":
    run_service(DiscoveryService)
