"""Discovery as a process: the list and its watch, as the platform's page has them; late, down, or too many
callers.

It listens at a port for each node, as each node reaches the servers at addresses of its own.
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

from flaxstep.faultbench.fake_service import FakeService, Tasks, loopback, run
from flaxstep.faultbench.forwarder import reset
from flaxstep.faultbench.records import Happened, Recorder, Told
from flaxstep.simulator.engine import RandomStreams

PATH = "/catalog/members"
BEAT = 2.0  # s between the empty lines of a watch
HISTORY = 1000  # changes that are kept
MOST_CALLS = 2000  # that wait
# When a change counts as told that was not written: after it could be asked for (PROTOCOL, Figures), and
# after a watch was closed in its place (seen in the incident of 2026-12-03).
MISSED, CLOSED = 6000.0, 2000.0  # ms
DOWN = ("refuse", "reset")  # ways to fail calls as a discovery that is down does
HANG = 3600.0  # s


class Listing(FakeService):
    def __init__(self, config: dict[str, Any], recorder: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.recorder, self.loop = config, recorder, loop
        self.version: int = config["version"]
        self.entries: dict[int, dict[str, Any]] = {int(n): e for n, e in config["entries"].items()}
        self.changes: deque[tuple[int, int, dict[str, Any]]] = deque(maxlen=HISTORY)  # version, server, entry
        self.watches: set[Call] = set()
        self.chance: Callable[[], float] = RandomStreams(config["seed"]).uniform("listing")
        self.hands = asyncio.Semaphore(max(1, int(config["capacity"])))
        self.waiting = 0
        self.is_down = False
        self.how, self.size = "", 0.0  # in which way it misbehaves
        self.silent_since: dict[
            int, float
        ] = {}  # by node: its watch says nothing, and no call was answered since
        self.unheard: list[
            tuple[int, dict[int, str]]
        ] = []  # changes while it can't serve: version, lifecycles
        self.calls: set[Call] = set()
        self.tasks = Tasks()

    async def start(self) -> None:
        host = loopback(self.config["host"])
        for node, port in enumerate(self.config["ports"]):
            await self.loop.create_server(partial(Call, self, node), host, port, backlog=1024)
        self.loop.call_later(BEAT, self.beat)

    def beat(self) -> None:
        for call in list(self.watches):
            if not call.muted:
                call.chunk(b"\n")
        self.loop.call_later(BEAT, self.beat)

    # What is written.

    def line(self, node: int, whole: bool, entries: dict[int, dict[str, Any]], version: int) -> bytes:
        addresses = self.config["addresses"][node]
        instances = [entry | {"hostPort": addresses[server]} for server, entry in entries.items()]
        made = {"generation": version, "reset": whole, "instances": instances}
        told = {server: str(entry["lifecycle"]) for server, entry in entries.items()}
        self.recorder.write(Told(self.recorder.now(), node, version, whole, told))
        self.silent_since.pop(node, None)
        return json.dumps(made).encode() + b"\n"

    def since(self, node: int, version: int) -> bytes:
        """The first line of a watch: what changed after a version, or the whole list where that is not
        known."""
        known = version == self.version or (
            self.changes and self.changes[0][0] <= version + 1 <= self.version
        )
        if not known:
            return self.line(node, True, self.entries, self.version)
        changed = {server: entry for at, server, entry in self.changes if at > version}
        return self.line(node, False, changed, self.version)

    async def serve(self, call: Call, target: str) -> None:
        """A call takes its turn; one that waited too long, or finds too many before it, gets a 503."""
        if self.is_down or self.how == "reset":
            reset(call.transport)
            return
        if self.how in ("slow", "refuse", "hang", "silent", "close"):
            refused = self.how == "refuse"
            await asyncio.sleep(HANG if self.how == "hang" else self.size)
            if refused:
                call.answer(b"503 Service Unavailable", b"")
                return
        if self.waiting >= MOST_CALLS:
            call.answer(b"503 Service Unavailable", b"")
            return
        self.waiting += 1
        try:
            async with asyncio.timeout(self.config["timeout_s"]):
                await self.hands.acquire()
        except TimeoutError:
            call.answer(b"503 Service Unavailable", b"")
            return
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(self.config["call_s"])
        finally:
            self.hands.release()
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        if call.transport.is_closing() or self.is_down:
            reset(call.transport)
        elif parts.path != PATH:
            call.answer(b"404 Not Found", b"")
        elif "watch" in query:
            call.watch(self.since(call.node, int(query.get("from", ["0"])[0])))
        else:
            call.answer(b"200 OK", self.line(call.node, True, self.entries, self.version))

    # Calls of the rig.

    def do_announce(self, server: int, entry: dict[str, Any], late_s: float = 0.0) -> None:
        """Something has become of a server; the list has it `late_s` later."""
        self.loop.call_later(late_s, self.change, server, entry)

    def change(self, server: int, entry: dict[str, Any]) -> None:
        self.version += 1
        if entry["lifecycle"] == "left":
            self.entries.pop(server, None)
        else:
            self.entries[server] = entry
        self.changes.append((self.version, server, entry))
        told = {server: str(entry["lifecycle"])}
        if self.is_down or self.how in DOWN:
            self.unheard.append((self.version, told))
        else:
            self.assume(self.version, told)
        for call in list(self.watches):
            late = self.config["spread_s"] * self.chance()
            if call.muted:
                continue
            if self.how == "close":
                self.loop.call_later(late, call.close_for_news, self.version, told)
            else:
                self.loop.call_later(late, call.catch_up)

    def assume(self, version: int, told: dict[int, str]) -> None:
        """Nodes that nobody writes it to are held to it some time later."""
        now = self.recorder.now()
        watched = {call.node for call in self.watches if not call.muted}
        for node in range(len(self.config["ports"])):
            if node in watched:
                continue
            silent = self.silent_since.get(node)
            at = now + MISSED if silent is None else max(now, silent + MISSED)
            self.recorder.write(Told(at, node, version, False, told, assumed=True))

    def do_misbehave(self, how: str, size: float) -> None:
        self.how, self.size = how, size
        self.recorder.write(Happened(self.recorder.now(), how or "well again", "discovery"))
        if how == "silent":
            for call in self.watches:
                call.muted = True
                self.silent_since[call.node] = self.recorder.now()
        if not how:
            self.catch_up_on_news()

    def catch_up_on_news(self) -> None:
        """It can serve again: what it could not tell can be asked for from now on."""
        unheard, self.unheard = self.unheard, []
        for version, told in unheard:
            self.assume(version, told)

    def do_down(self) -> None:
        """Watches end, and calls fail, until it is up."""
        self.is_down = True
        self.recorder.write(Happened(self.recorder.now(), "down", "discovery"))
        for call in list(self.calls):
            reset(call.transport)

    def do_up(self) -> None:
        self.is_down = False
        self.recorder.write(Happened(self.recorder.now(), "up", "discovery"))
        self.catch_up_on_news()


class Call(asyncio.Protocol):
    """One connection to discovery."""

    def __init__(self, listing: Listing, node: int) -> None:
        self.listing, self.node = listing, node
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.version = 0  # that the watch has been told
        self.muted = False  # it has fallen silent for good

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.listing.calls.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listing.calls.discard(self)
        self.listing.watches.discard(self)

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
        self.listing.tasks.spawn(self.listing.serve(self, self.target.decode("latin-1")))

    def close_for_news(self, version: int, told: dict[int, str]) -> None:
        """End the watch in good order in place of telling a change."""
        if self in self.listing.watches:
            recorder = self.listing.recorder
            recorder.write(Told(recorder.now() + CLOSED, self.node, version, False, told, assumed=True))
            self.transport.close()

    def answer(self, status: bytes, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def watch(self, first: bytes) -> None:
        self.version = self.listing.version
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.chunk(first)
        self.listing.watches.add(self)

    def catch_up(self) -> None:
        """Write what changed since the last line, if anything did and the watch still stands."""
        if self in self.listing.watches and not self.muted and self.version < self.listing.version:
            line = self.listing.since(self.node, self.version)
            self.version = self.listing.version
            self.chunk(line)

    def chunk(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))


if __name__ == "__main__":
    run(Listing)
