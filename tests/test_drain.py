"""No new request goes to a draining endpoint, however discovery announces the drain or fails to.

Each scenario runs a node process with two endpoints and a discovery that announces, in its own way, that
`s-1` is leaving, while a client sends requests without pause. Recorded is when requests arrive at `s-1`. The
drain counts as notified when it is written, 6 s after a watch fell silent or after discovery had the change
and could be reached, 4 s after SIGHUP, and from the start of a process if lists are pushed.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
import uvloop

from tests.net import TIMEOUT_S, FakeServer, RawClient, build_request
from tests.test_process import raw_config

COMMAND = [sys.executable, "-B", "-m", "flaxstep.proxy"]
GRACE_S = 0.55  # after the notification, for requests sent before: DrainGrace of 0.5 s and some slack
REQUEST_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 2.0  # of the empty lines of a watch
MISSED_AFTER_S = 6.0  # a change that did not arrive counts as notified
MOVED_AFTER_S = 4.0  # after SIGHUP, a change at the new address counts as notified
LEAVING = "leaving"

Entry = dict[str, Any]
ResponseScript = Callable[["Catalog", "Call"], Awaitable[None]]


@dataclass(slots=True)
class Call:
    """A request of the node to discovery."""

    number: int
    target: str
    writer: asyncio.StreamWriter

    @property
    def watch(self) -> bool:
        return "watch" in self.target

    def send(self, listing: dict[str, Any] | None) -> None:
        """Send a line of a watch; None sends an empty one."""
        self.send_raw((b"" if listing is None else json.dumps(listing).encode()) + b"\n")

    def send_raw(self, data: bytes) -> None:
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def send_head(self) -> None:
        self.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send_503(self) -> None:
        self.writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection, as if the discovery process had died."""
        transport = self.writer.transport
        if not transport.is_closing():
            with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as own:
                own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()

    def send_full_list(self, listing: dict[str, Any]) -> None:
        body = json.dumps(listing).encode()
        self.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


@dataclass
class Catalog:
    """A discovery service with a list of entries and a script that responds to its calls."""

    script: ResponseScript
    entries: list[Entry]
    version: int = 1
    silent: bool = False  # open watches send nothing any more, not even heartbeats
    calls: list[Call] = field(default_factory=list)
    tasks: set[asyncio.Future[Any]] = field(default_factory=set)

    async def start(self, port: int = 0) -> Catalog:
        """Listen, if a port is given at that one, which may be in use or reserved."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, reuse_port=bool(port))
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def stop_abruptly(self) -> None:
        """Stop as if the process had died: open calls are reset and new connections refused."""
        self.server.close()
        self.end_calls()

    def end_calls(self, gracefully: bool = False) -> None:
        for call in self.calls:
            if gracefully:
                call.writer.close()
            else:
                call.reset()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            call = Call(len(self.calls), head.split(b" ")[1].decode(), writer)
            self.calls.append(call)
            answering = asyncio.ensure_future(self.script(self, call))
            closed = asyncio.ensure_future(reader.read())  # ends when the node closes the connection
            closed.add_done_callback(
                lambda task: task.cancelled() or task.exception()
            )  # a reset is an end too
            self.tasks |= {answering, closed}
            await asyncio.wait({answering, closed}, return_when=asyncio.FIRST_COMPLETED)
            answering.cancel()
        writer.close()

    def listing(self, *, full_list: bool = True) -> dict[str, Any]:
        return {"generation": self.version, "reset": full_list, "instances": self.entries}

    def change(self, *entries: Entry) -> dict[str, Any]:
        """Change these entries; return the watch line that announces it."""
        self.version += 1
        named = {entry["instanceId"] for entry in entries}
        self.entries = [entry for entry in self.entries if entry["instanceId"] not in named] + list(entries)
        return {"generation": self.version, "reset": False, "instances": list(entries)}

    async def respond(self, call: Call) -> None:
        """Respond without a fault; a watch stays open."""
        if not call.watch:
            call.send_full_list(self.listing())
            return
        call.send_head()
        call.send(None if f"from={self.version}" in call.target else self.listing())
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            if not self.silent:
                call.send(None)


@dataclass
class Play:
    """A node process with its endpoints, discovery and client, and what was recorded."""

    path: Path
    pushed: bool = False
    catalog: Catalog = field(init=False)
    peers: list[FakeServer] = field(default_factory=list)
    node: asyncio.subprocess.Process = field(init=False)
    arrivals: list[list[float]] = field(default_factory=lambda: [[], []])  # by endpoint: monotonic s
    responses: list[tuple[float, int]] = field(default_factory=list)
    notified_at: float = 0.0  # when the drain counts as notified
    started_at: float = 0.0
    ready_at: float = 0.0
    ended_at: float = 0.0
    log: bytes = b""
    environ: Callable[[int], dict[str, str]] = lambda port: {}  # more variables, by discovery's port

    @property
    def initial_entries(self) -> list[Entry]:
        return [peer.list_entry(f"s-{i}") for i, peer in enumerate(self.peers, 1)]

    def leaving(self, **changes: Any) -> Entry:
        return self.peers[0].list_entry("s-1", LEAVING) | changes

    async def start(self, script: ResponseScript, known: bool = True) -> None:
        for arrival_times in self.arrivals:
            self.peers.append(await FakeServer(self.record_arrivals(arrival_times)).start())
        self.catalog = await Catalog(script, self.initial_entries).start()
        self.configure(self.catalog.port, known)
        self.started_at = time.monotonic()
        self.node = await asyncio.create_subprocess_exec(
            *COMMAND,
            env=os.environ | {"ROUTER_CONFIG": str(self.path)} | self.environ(self.catalog.port),
            stderr=asyncio.subprocess.PIPE,
        )
        self.log_task = asyncio.create_task(self.read_log())
        self.client_task = asyncio.create_task(self.send_requests())

    def configure(self, discovery: int, known: bool = True) -> None:
        raw = raw_config()
        raw["settings"] = raw["settings"] | {"Discovery": "push" if self.pushed else "ask"}
        raw["settings"]["Obligations"] = raw["settings"]["Obligations"] | {"DrainGrace": 500.0}
        raw |= {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery}"}
        if known:
            raw["known"] = {"generation": 1, "reset": True, "instances": self.initial_entries}
        self.path.write_text(json.dumps(raw))

    def record_arrivals(
        self, arrival_times: list[float]
    ) -> Callable[[FakeServer, bytes, asyncio.StreamWriter], Awaitable[None]]:
        async def respond(peer: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
            arrival_times.append(time.monotonic())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")

        return respond

    async def read_log(self) -> None:
        assert self.node.stderr is not None
        while line := await self.node.stderr.readline():
            self.log += line

    @property
    def port(self) -> int:
        """Where the node listens; 0 until it does. The system chooses it, so that no other process has it."""
        match = re.search(rb"listens on 127\.0\.0\.1:(\d+)", self.log)
        return int(match[1]) if match else 0

    async def send_requests(self) -> None:
        """Wait until the node is ready, as a front-end balancer does, then send requests without pause."""
        while not self.ready_at:
            with suppress(OSError, asyncio.IncompleteReadError):
                client = RawClient(*await asyncio.open_connection("127.0.0.1", self.port))
                if (await client.send_request(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                    self.ready_at = time.monotonic()
                client.writer.close()
            await asyncio.sleep(REQUEST_INTERVAL_S)
        client = RawClient(*await asyncio.open_connection("127.0.0.1", self.port))
        while True:
            status, _, _ = await client.send_request(build_request())
            self.responses.append((time.monotonic(), status))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def wait_until(self, condition: Callable[[], Any], within: float = TIMEOUT_S) -> None:
        async with asyncio.timeout(within):
            while not condition():
                await asyncio.sleep(0.01)

    async def wait_until_serving(self) -> None:
        """Wait until both endpoints have received requests and the node watches the list."""
        await self.wait_until(lambda: all(self.arrivals) and any(call.watch for call in self.catalog.calls))

    async def stop(self) -> None:
        self.ended_at = time.monotonic()
        self.client_task.cancel()
        if self.node.returncode is None:
            self.node.kill()
        await self.node.wait()
        await self.log_task

    def late_arrivals(self) -> list[float]:
        """The requests that reached `s-1` after the grace period, in s after the notification."""
        return [at - self.notified_at for at in self.arrivals[0] if at > self.notified_at + GRACE_S]

    def count_served_after(self, at: float) -> int:
        return sum(status == 200 and when > at for when, status in self.responses)


def respond_after(seconds: float) -> ResponseScript:
    async def script(catalog: Catalog, call: Call) -> None:
        await asyncio.sleep(seconds)
        await catalog.respond(call)

    return script


async def respond_at_once(catalog: Catalog, call: Call) -> None:
    await catalog.respond(call)


async def bad_entry_beside_the_change(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    watch = next(call for call in play.catalog.calls if call.watch)
    watch.send(play.catalog.change(play.peers[1].list_entry("s-9") | {"weight": None}, play.leaving()))
    play.notified_at = time.monotonic()
    await asyncio.sleep(4.0)


async def bad_field_in_the_change(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    watch = next(call for call in play.catalog.calls if call.watch)
    watch.send(play.catalog.change(play.leaving(weight=None, startedAtMs="soon", hostPort=7)))
    play.notified_at = time.monotonic()
    await asyncio.sleep(4.0)


def restarted_with_an_old_list(seconds: float) -> Callable[[Play], Awaitable[None]]:
    async def scenario(play: Play) -> None:
        script = respond_after(seconds)

        async def with_change(catalog: Catalog, call: Call) -> None:
            catalog.entries[0], catalog.version = play.leaving(), 2
            await script(catalog, call)

        await play.start(with_change)
        play.notified_at = play.started_at + (0.0 if play.pushed else MISSED_AFTER_S)
        await play.wait_until(
            lambda: play.count_served_after(play.started_at + seconds), within=seconds + 8.0
        )
        await asyncio.sleep(0.5)

    return scenario


async def silent_watch_and_slow_calls(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    play.catalog.script = respond_after(5.0)
    play.catalog.silent = True
    play.notified_at = time.monotonic() + MISSED_AFTER_S
    play.catalog.change(play.leaving())
    await asyncio.sleep(11.0)


async def silent_watch_and_a_refused_call(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    before = len(play.catalog.calls)

    async def refuse_the_first(catalog: Catalog, call: Call) -> None:
        await asyncio.sleep(3.0)
        if call.number == before:
            call.send_503()
        else:
            catalog.silent = False
            await catalog.respond(call)

    play.catalog.script = refuse_the_first
    play.catalog.silent = True
    play.notified_at = time.monotonic() + MISSED_AFTER_S
    play.catalog.change(play.leaving())
    await asyncio.sleep(11.0)


async def ended_watch_and_slow_calls(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    play.catalog.script = respond_after(8.0)
    play.catalog.end_calls()
    play.notified_at = time.monotonic() + (0.0 if play.pushed else MISSED_AFTER_S)
    play.catalog.change(play.leaving())
    await asyncio.sleep(10.0)


async def moved_to_a_slow_discovery(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    second = await Catalog(respond_after(6.5), [play.leaving(), play.catalog.entries[1]], version=2).start()
    play.configure(second.port)
    play.node.send_signal(signal.SIGHUP)
    play.notified_at = time.monotonic() + MOVED_AFTER_S
    await asyncio.sleep(8.5)


async def moved_by_a_file_that_is_half_written(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    second = await Catalog(respond_at_once, [play.leaving(), play.catalog.entries[1]], version=2).start()
    play.configure(second.port)
    text = play.path.read_text()
    play.path.write_text(text[: len(text) // 2])
    play.node.send_signal(signal.SIGHUP)
    play.notified_at = time.monotonic() + MOVED_AFTER_S
    await asyncio.sleep(0.3)
    play.path.write_text(text)
    await asyncio.sleep(1.2)
    play.catalog.server.close()
    for call in play.catalog.calls:
        call.writer.close()
    await asyncio.sleep(6.0)


async def moved_again_and_again(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    changed_entries = [play.leaving(), play.catalog.entries[1]]
    others = [await Catalog(respond_after(1.5), list(changed_entries), version=2).start() for _ in range(2)]
    play.notified_at = time.monotonic() + MOVED_AFTER_S
    for number in range(8):
        play.configure(others[number % 2].port)
        play.node.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.8)
    await asyncio.sleep(3.0)


async def change_that_trickles(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    watch = next(call for call in play.catalog.calls if call.watch)
    line = json.dumps(play.catalog.change(play.leaving())).encode()
    play.catalog.silent = True
    play.notified_at = time.monotonic() + MISSED_AFTER_S
    for at in range(8):  # a byte each 1.2 s, so that no read times out after 2 s
        watch.writer.write(b"1\r\n%b\r\n" % line[at : at + 1])
        await asyncio.sleep(1.2)
    play.catalog.silent = False
    watch.writer.close()
    await asyncio.sleep(2.0)


async def an_older_list_after_the_change(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    watch = next(call for call in play.catalog.calls if call.watch)
    watch.send({"generation": 3, "reset": False, "instances": [play.leaving()]})
    play.notified_at = time.monotonic()
    await asyncio.sleep(0.3)
    play.catalog.version = 2  # a replica that is behind: the endpoint is still active there
    watch.writer.close()
    await asyncio.sleep(3.0)


async def a_list_without_a_version(play: Play) -> None:
    await play.start(respond_at_once)
    await play.wait_until_serving()
    watch = next(call for call in play.catalog.calls if call.watch)
    line = play.catalog.change(play.leaving())
    play.catalog.version = None  # type: ignore[assignment]
    watch.send(line | {"generation": None})
    play.notified_at = time.monotonic()
    await asyncio.sleep(3.0)


Scenario = Callable[[Play], Awaitable[None]]
SCENARIOS: dict[str, tuple[Scenario, bool]] = {  # with whether lists are pushed
    "a bad entry beside the change": (bad_entry_beside_the_change, False),
    "a bad field in the change": (bad_field_in_the_change, False),
    "an old list at the start, 2 s a call, pushed": (restarted_with_an_old_list(2.0), True),
    "an old list at the start, 5 s a call, pushed": (restarted_with_an_old_list(5.0), True),
    "an old list at the start, 7 s a call, asked": (restarted_with_an_old_list(7.0), False),
    "a silent watch, then 5 s a call": (silent_watch_and_slow_calls, False),
    "a silent watch, then a refused call": (silent_watch_and_a_refused_call, False),
    "a watch that ends, then 8 s a call, asked": (ended_watch_and_slow_calls, False),
    "a watch that ends, then 8 s a call, pushed": (ended_watch_and_slow_calls, True),
    "SIGHUP to a discovery that takes 6.5 s": (moved_to_a_slow_discovery, False),
    "SIGHUP with a file that is half written": (moved_by_a_file_that_is_half_written, False),
    "SIGHUP after SIGHUP": (moved_again_and_again, False),
    "a change that trickles": (change_that_trickles, False),
    "an older list after the change": (an_older_list_after_the_change, False),
    "a list without a version": (a_list_without_a_version, False),
}


@pytest.fixture(scope="module")
def plays(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Play]]:
    """Run all scenarios once and at the same time, as each is idle for most of it."""
    folder = tmp_path_factory.mktemp("drain")
    found = {
        name: Play(folder / f"{i}.json", pushed) for i, (name, (_, pushed)) in enumerate(SCENARIOS.items())
    }

    async def play(name: str) -> None:
        try:
            await SCENARIOS[name][0](found[name])
        finally:
            await found[name].stop()

    async def all_of_them() -> None:
        await asyncio.gather(*(play(name) for name in SCENARIOS))

    uvloop.run(all_of_them())
    yield found


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_request_goes_to_a_draining_endpoint_after_its_notification(
    plays: dict[str, Play], name: str
) -> None:
    play = plays[name]
    late = play.late_arrivals()
    assert not late, f"{len(late)} requests, {late[0]:.2f} to {late[-1]:.2f} s after\n{play.log.decode()}"
    assert play.ready_at - play.started_at < 10.0
    assert play.count_served_after(play.notified_at), play.log.decode()  # by the other endpoint


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
def test_requests_are_served_while_discovery_is_down(tmp_path: Path, pushed: bool) -> None:
    """From the start and later: nothing is notified meanwhile, and the known list stays in use."""

    async def test() -> None:
        play = Play(tmp_path / "config.json", pushed)

        async def reset(catalog: Catalog, call: Call) -> None:
            call.reset()

        await play.start(reset)
        try:
            await play.wait_until(lambda: play.ready_at)
            await asyncio.sleep(8.0)
            since = time.monotonic() - 1.0
            assert all(
                any(at > since for at in arrival_times) for arrival_times in play.arrivals
            ), play.log.decode()
            assert {status for _, status in play.responses} == {200}
        finally:
            await play.stop()

    uvloop.run(test())
