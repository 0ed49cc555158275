"""Nothing new goes to an endpoint that drains: nodes as processes, with a discovery that does what it likes.

Each scenario runs one node between two endpoints and a discovery that tells, in its own way, that `s-1` is
leaving. A client asks all the time. What counts is when requests arrive at `s-1`, and when the news counts as
told by the pages: when it is written, 6 s after a watch fell silent or after discovery had a change and could
be reached, 4 s after SIGHUP, and where lists are pushed from the first moment of a process.
"""

from __future__ import annotations

import asyncio
import json
import os
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
GRACE = 0.55  # s after the news is told in which a send may still come: the settings' 0.5 s and the slack
BETWEEN = 0.02  # s between requests
BEAT = 2.0  # s between the empty lines of a watch
MISSED = 6.0  # s after which what did not arrive counts as told
MOVED = 4.0  # s after SIGHUP
LEAVING = "leaving"

Entry = dict[str, Any]
Answer = Callable[["Catalog", "Call"], Awaitable[None]]


@dataclass(slots=True)
class Call:
    """One call of the node to discovery."""

    number: int
    target: str
    writer: asyncio.StreamWriter

    @property
    def watch(self) -> bool:
        return "watch" in self.target

    def send(self, listing: dict[str, Any] | None) -> None:
        """A line of a watch; None is an empty one."""
        self.send_raw((b"" if listing is None else json.dumps(listing).encode()) + b"\n")

    def send_raw(self, data: bytes) -> None:
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def open(self) -> None:
        self.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def refuse(self) -> None:
        self.writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        self.writer.close()

    def reset(self) -> None:
        """End the connection with a reset, as when the process at its end has died."""
        transport = self.writer.transport
        if not transport.is_closing():
            with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as own:
                own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()

    def whole(self, listing: dict[str, Any]) -> None:
        body = json.dumps(listing).encode()
        self.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


@dataclass
class Catalog:
    """Discovery: what it has, and how it answers each call."""

    answer: Answer
    entries: list[Entry]
    version: int = 1
    silent: bool = False  # open watches say nothing any more
    calls: list[Call] = field(default_factory=list)
    tasks: set[asyncio.Future[Any]] = field(default_factory=set)

    async def start(self, port: int = 0) -> Catalog:
        """Listen, at a port that was used or reserved before if one is given."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, reuse_port=bool(port))
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def go_away(self) -> None:
        """The process dies: open calls are reset and new ones refused."""
        self.server.close()
        self.end_calls()

    def end_calls(self, in_order: bool = False) -> None:
        for call in self.calls:
            if in_order:
                call.writer.close()
            else:
                call.reset()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            call = Call(len(self.calls), head.split(b" ")[1].decode(), writer)
            self.calls.append(call)
            answering = asyncio.ensure_future(self.answer(self, call))
            gone = asyncio.ensure_future(reader.read())  # a node that gives a call up closes it
            self.tasks |= {answering, gone}
            await asyncio.wait({answering, gone}, return_when=asyncio.FIRST_COMPLETED)
            answering.cancel()
        writer.close()

    def listing(self, *, whole: bool = True) -> dict[str, Any]:
        return {"generation": self.version, "reset": whole, "instances": self.entries}

    def change(self, *entries: Entry) -> dict[str, Any]:
        """The list has these now; the line that tells it."""
        self.version += 1
        named = {entry["instanceId"] for entry in entries}
        self.entries = [entry for entry in self.entries if entry["instanceId"] not in named] + list(entries)
        return {"generation": self.version, "reset": False, "instances": list(entries)}

    async def give(self, call: Call) -> None:
        """An answer as it should be; a watch then stays open."""
        if not call.watch:
            call.whole(self.listing())
            return
        call.open()
        call.send(None if f"from={self.version}" in call.target else self.listing())
        while True:
            await asyncio.sleep(BEAT)
            if not self.silent:
                call.send(None)


@dataclass
class Play:
    """A node with its surroundings, and what was seen."""

    path: Path
    pushed: bool = False
    catalog: Catalog = field(init=False)
    peers: list[FakeServer] = field(default_factory=list)
    node: asyncio.subprocess.Process = field(init=False)
    arrivals: list[list[float]] = field(default_factory=lambda: [[], []])  # by endpoint: monotonic s
    answers: list[tuple[float, int]] = field(default_factory=list)
    told: float = 0.0  # when the news counts as told
    begun: float = 0.0
    ready: float = 0.0
    ended: float = 0.0
    log: bytes = b""
    environ: Callable[[int], dict[str, str]] = lambda port: {}  # further variables, by discovery's port

    @property
    def catalogue_entries(self) -> list[Entry]:
        return [peer.list_entry(f"s-{i}") for i, peer in enumerate(self.peers, 1)]

    def leaving(self, **changes: Any) -> Entry:
        return self.peers[0].list_entry("s-1", LEAVING) | changes

    async def start(self, answer: Answer, known: bool = True) -> None:
        for seen in self.arrivals:
            self.peers.append(await FakeServer(self.notes(seen)).start())
        self.catalog = await Catalog(answer, self.catalogue_entries).start()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port: int = free.getsockname()[1]
        self.configure(self.catalog.port, known)
        self.begun = time.monotonic()
        self.node = await asyncio.create_subprocess_exec(
            *COMMAND,
            env=os.environ | {"ROUTER_CONFIG": str(self.path)} | self.environ(self.catalog.port),
            stderr=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.create_task(self.read_log())
        self.asking = asyncio.create_task(self.ask())

    def configure(self, discovery: int, known: bool = True) -> None:
        raw = raw_config()
        raw["settings"] = raw["settings"] | {"Discovery": "push" if self.pushed else "ask"}
        raw["settings"]["Obligations"] = raw["settings"]["Obligations"] | {"DrainGrace": 500.0}
        raw |= {"listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery}"}
        if known:
            raw["known"] = {"generation": 1, "reset": True, "instances": self.catalogue_entries}
        self.path.write_text(json.dumps(raw))

    def notes(
        self, seen: list[float]
    ) -> Callable[[FakeServer, bytes, asyncio.StreamWriter], Awaitable[None]]:
        async def script(peer: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
            seen.append(time.monotonic())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")

        return script

    async def read_log(self) -> None:
        assert self.node.stderr is not None
        while line := await self.node.stderr.readline():
            self.log += line

    async def ask(self) -> None:
        """The front lets clients come once the node says that it is ready; then one asks all the time."""
        while not self.ready:
            with suppress(OSError, asyncio.IncompleteReadError):
                client = RawClient(*await asyncio.open_connection("127.0.0.1", self.port))
                if (await client.send_request(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                    self.ready = time.monotonic()
                client.writer.close()
            await asyncio.sleep(BETWEEN)
        client = RawClient(*await asyncio.open_connection("127.0.0.1", self.port))
        while True:
            status, _, _ = await client.send_request(build_request())
            self.answers.append((time.monotonic(), status))
            await asyncio.sleep(BETWEEN)

    async def until(self, condition: Callable[[], Any], within: float = TIMEOUT_S) -> None:
        async with asyncio.timeout(within):
            while not condition():
                await asyncio.sleep(0.01)

    async def serving(self) -> None:
        """Both endpoints have been sent something, and the node watches the list."""
        await self.until(lambda: all(self.arrivals) and any(call.watch for call in self.catalog.calls))

    async def stop(self) -> None:
        self.ended = time.monotonic()
        self.asking.cancel()
        if self.node.returncode is None:
            self.node.kill()
        await self.node.wait()
        await self.reading

    def late(self) -> list[float]:
        """The requests that reached `s-1` after the grace, in s after the news was told."""
        return [at - self.told for at in self.arrivals[0] if at > self.told + GRACE]

    def served_after(self, at: float) -> int:
        return sum(status == 200 and when > at for when, status in self.answers)


def slowly(seconds: float) -> Answer:
    async def answer(catalog: Catalog, call: Call) -> None:
        await asyncio.sleep(seconds)
        await catalog.give(call)

    return answer


async def at_once(catalog: Catalog, call: Call) -> None:
    await catalog.give(call)


async def bad_entry_beside_the_news(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    watch = next(call for call in play.catalog.calls if call.watch)
    watch.send(play.catalog.change(play.peers[1].list_entry("s-9") | {"weight": None}, play.leaving()))
    play.told = time.monotonic()
    await asyncio.sleep(4.0)


async def bad_field_in_the_news(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    watch = next(call for call in play.catalog.calls if call.watch)
    watch.send(play.catalog.change(play.leaving(weight=None, startedAtMs="soon", hostPort=7)))
    play.told = time.monotonic()
    await asyncio.sleep(4.0)


def started_with_an_old_list(seconds: float) -> Callable[[Play], Awaitable[None]]:
    async def scenario(play: Play) -> None:
        answer = slowly(seconds)

        async def with_news(catalog: Catalog, call: Call) -> None:
            catalog.entries[0], catalog.version = play.leaving(), 2
            await answer(catalog, call)

        await play.start(with_news)
        play.told = play.begun + (0.0 if play.pushed else MISSED)
        await play.until(lambda: play.served_after(play.begun + seconds), within=seconds + 8.0)
        await asyncio.sleep(0.5)

    return scenario


async def silent_watch_and_slow_calls(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    play.catalog.answer = slowly(5.0)
    play.catalog.silent = True
    play.told = time.monotonic() + MISSED
    play.catalog.change(play.leaving())
    await asyncio.sleep(11.0)


async def silent_watch_and_a_refused_call(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    before = len(play.catalog.calls)

    async def refuse_the_first(catalog: Catalog, call: Call) -> None:
        await asyncio.sleep(3.0)
        if call.number == before:
            call.refuse()
        else:
            catalog.silent = False
            await catalog.give(call)

    play.catalog.answer = refuse_the_first
    play.catalog.silent = True
    play.told = time.monotonic() + MISSED
    play.catalog.change(play.leaving())
    await asyncio.sleep(11.0)


async def ended_watch_and_slow_calls(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    play.catalog.answer = slowly(8.0)
    play.catalog.end_calls()
    play.told = time.monotonic() + (0.0 if play.pushed else MISSED)
    play.catalog.change(play.leaving())
    await asyncio.sleep(10.0)


async def moved_to_a_slow_one(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    second = await Catalog(slowly(6.5), [play.leaving(), play.catalog.entries[1]], version=2).start()
    play.configure(second.port)
    play.node.send_signal(signal.SIGHUP)
    play.told = time.monotonic() + MOVED
    await asyncio.sleep(8.5)


async def moved_by_a_file_that_is_half_written(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    second = await Catalog(at_once, [play.leaving(), play.catalog.entries[1]], version=2).start()
    play.configure(second.port)
    text = play.path.read_text()
    play.path.write_text(text[: len(text) // 2])
    play.node.send_signal(signal.SIGHUP)
    play.told = time.monotonic() + MOVED
    await asyncio.sleep(0.3)
    play.path.write_text(text)
    await asyncio.sleep(1.2)
    play.catalog.server.close()
    for call in play.catalog.calls:
        call.writer.close()
    await asyncio.sleep(6.0)


async def moved_again_and_again(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    news = [play.leaving(), play.catalog.entries[1]]
    others = [await Catalog(slowly(1.5), list(news), version=2).start() for _ in range(2)]
    play.told = time.monotonic() + MOVED
    for number in range(8):
        play.configure(others[number % 2].port)
        play.node.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.8)
    await asyncio.sleep(3.0)


async def news_that_trickles(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    watch = next(call for call in play.catalog.calls if call.watch)
    line = json.dumps(play.catalog.change(play.leaving())).encode()
    play.catalog.silent = True
    play.told = time.monotonic() + MISSED
    for at in range(8):  # never so slowly that nothing comes for 2 s
        watch.writer.write(b"1\r\n%b\r\n" % line[at : at + 1])
        await asyncio.sleep(1.2)
    play.catalog.silent = False
    watch.writer.close()
    await asyncio.sleep(2.0)


async def an_older_list_after_the_news(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    watch = next(call for call in play.catalog.calls if call.watch)
    watch.send({"generation": 3, "reset": False, "instances": [play.leaving()]})
    play.told = time.monotonic()
    await asyncio.sleep(0.3)
    play.catalog.version = 2  # a replica that is behind: it has the endpoint as active
    watch.writer.close()
    await asyncio.sleep(3.0)


async def a_list_without_a_version(play: Play) -> None:
    await play.start(at_once)
    await play.serving()
    watch = next(call for call in play.catalog.calls if call.watch)
    line = play.catalog.change(play.leaving())
    play.catalog.version = None  # type: ignore[assignment]
    watch.send(line | {"generation": None})
    play.told = time.monotonic()
    await asyncio.sleep(3.0)


Scenario = Callable[[Play], Awaitable[None]]
SCENARIOS: dict[str, tuple[Scenario, bool]] = {  # and whether lists are pushed
    "a bad entry beside the news": (bad_entry_beside_the_news, False),
    "a bad field in the news": (bad_field_in_the_news, False),
    "an old list at the start, 2 s a call, pushed": (started_with_an_old_list(2.0), True),
    "an old list at the start, 5 s a call, pushed": (started_with_an_old_list(5.0), True),
    "an old list at the start, 7 s a call, asked": (started_with_an_old_list(7.0), False),
    "a silent watch, then 5 s a call": (silent_watch_and_slow_calls, False),
    "a silent watch, then a refused call": (silent_watch_and_a_refused_call, False),
    "a watch that ends, then 8 s a call, asked": (ended_watch_and_slow_calls, False),
    "a watch that ends, then 8 s a call, pushed": (ended_watch_and_slow_calls, True),
    "SIGHUP to one that takes 6.5 s": (moved_to_a_slow_one, False),
    "SIGHUP with a file that is half written": (moved_by_a_file_that_is_half_written, False),
    "SIGHUP after SIGHUP": (moved_again_and_again, False),
    "news that trickles": (news_that_trickles, False),
    "an older list after the news": (an_older_list_after_the_news, False),
    "a list without a version": (a_list_without_a_version, False),
}


@pytest.fixture(scope="module")
def plays(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Play]]:
    """All scenarios side by side, once: each waits far more than it works."""
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
def test_nothing_goes_to_an_endpoint_that_drains_once_that_is_told(plays: dict[str, Play], name: str) -> None:
    play = plays[name]
    late = play.late()
    assert not late, f"{len(late)} requests, {late[0]:.2f} to {late[-1]:.2f} s after\n{play.log.decode()}"
    assert play.ready - play.begun < 10.0
    assert play.served_after(play.told), play.log.decode()  # the other endpoint is asked on


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
def test_a_discovery_that_is_down_stops_nobody(tmp_path: Path, pushed: bool) -> None:
    """Neither at the start nor later: then nothing is told, and the list at hand is all there is."""

    async def test() -> None:
        play = Play(tmp_path / "config.json", pushed)

        async def reset(catalog: Catalog, call: Call) -> None:
            call.reset()

        await play.start(reset)
        try:
            await play.until(lambda: play.ready)
            await asyncio.sleep(8.0)
            since = time.monotonic() - 1.0
            assert all(any(at > since for at in seen) for seen in play.arrivals), play.log.decode()
            assert {status for _, status in play.answers} == {200}
        finally:
            await play.stop()

    uvloop.run(test())
