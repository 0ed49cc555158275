"""In an upgrade the new process of a node uses what the old one was told, whatever discovery does meanwhile.

The fault (`review/10`): an old process was told that an endpoint is leaving, discovery went down, and the new
process sent to that endpoint by the list of its configuration, until discovery was back. Each play runs the
processes of one node, its endpoints and discovery, and clients that connect anew for each request.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import re
import signal
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
import uvloop

from tests.net import FakeServer, RawClient, build_request
from tests.test_discovery_failures import hang_call, reset_call
from tests.test_drain import GRACE_S, Catalog, respond_at_once
from tests.test_process import COMMAND, raw_config

NEWS_AFTER_YES_S = 2.0  # DAYS, Upgrades: "Discovery's news counts as told 2 s after the yes"
KILL_AFTER_YES_S = 3.7  # the longest deadline, as 3 s at most, and 0.7 s
WATCHED_S = 4.5  # from the yes
OUTAGE_SCRIPTS = {"resets": reset_call, "hangs": hang_call}
NAMES = ("s-1", "s-2", "s-3", "s-4")


@dataclass
class NodeProcess:
    """One process of the node, and what it has logged."""

    process: asyncio.subprocess.Process
    log: str = ""

    async def read_log(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log += line.decode()

    async def wait_for(self, pattern: str) -> None:
        async with asyncio.timeout(20.0):
            while not re.search(pattern, self.log):
                assert self.process.returncode is None, self.log
                await asyncio.sleep(0.01)


@dataclass
class Play:
    """What happens beside the upgrade, and what was seen. `forbidden` gets nothing once its news is told."""

    news: Callable[[dict[str, dict[str, Any]]], list[dict[str, Any]]]
    forbidden: tuple[str, ...] = ("s-1",)
    used: tuple[str, ...] = ("s-2",)  # after the yes
    outage: str = "down"
    late_news: bool = False  # it comes to the old process only after the new one has started
    predecessor: str = "sound"
    pushed: bool = False  # lists are pushed
    upgrades: int = 1
    idle: bool = False  # no clients at the upgrade
    held_request_s: float = 0.0  # a request at the old process takes this long, from before the upgrade
    arrivals: dict[str, list[float]] = field(default_factory=lambda: {name: [] for name in NAMES})
    responses: list[tuple[float, int]] = field(default_factory=list)
    yes_at: float = 0.0
    told_at: float = 0.0
    processes: list[NodeProcess] = field(default_factory=list)

    @property
    def handed_over(self) -> bool:
        return self.predecessor == "sound"

    def late(self) -> list[float]:
        """The sends to forbidden endpoints too long after their news, in s after the yes."""
        limit = (self.told_at if self.handed_over else self.yes_at + NEWS_AFTER_YES_S) + GRACE_S
        return [at - self.yes_at for name in self.forbidden for at in self.arrivals[name] if at > limit]

    def statuses(self, begin: float, end: float) -> list[int]:
        """The statuses of the responses in this time, in s after the yes."""
        return [status for at, status in self.responses if begin <= at - self.yes_at < end]


async def start_process(play: Play, folder: Path, tmpdir: Path) -> NodeProcess:
    environ = {
        "ROUTER_CONFIG": str(folder / "config.json"),
        "TMPDIR": str(tmpdir),
        "ROUTER_ADMIN_ADDR": "127.0.0.1:0",
    }
    process = await asyncio.create_subprocess_exec(
        *COMMAND, env=os.environ | environ, stderr=asyncio.subprocess.PIPE
    )
    node = NodeProcess(process)
    play.processes.append(node)
    node.log_task = asyncio.create_task(node.read_log())  # type: ignore[attr-defined]
    return node


async def send_requests(play: Play, port: int) -> None:
    async def send_one() -> None:
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(3.0):
                client = RawClient(*await asyncio.open_connection("127.0.0.1", port))
                status, _, _ = await client.send_request(build_request())
                play.responses.append((time.monotonic(), status))
                client.writer.close()

    tasks: set[asyncio.Task[None]] = set()
    while True:
        tasks.add(asyncio.create_task(send_one()))
        await asyncio.sleep(0.03)


async def run_play(play: Play, folder: Path) -> None:
    folder.mkdir()
    tmpdir = folder / "tmp"
    tmpdir.mkdir()
    reserved = socket.socket()  # so that no other process gets the port while none of the node has it
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reserved.bind(("127.0.0.1", 0))
    port: int = reserved.getsockname()[1]
    servers: dict[str, FakeServer] = {}
    for name in NAMES:
        servers[name] = await FakeServer(record_arrivals(play.arrivals[name])).start()
    entries = {name: server.list_entry(name) for name, server in servers.items()}
    catalog = await Catalog(respond_at_once, [entries[name] for name in NAMES[:3]]).start()
    raw = raw_config() | {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{catalog.port}"}
    raw["settings"] = raw["settings"] | {"Discovery": "push" if play.pushed else "ask"}
    raw["settings"]["Obligations"] = raw["settings"]["Obligations"] | {"DrainGrace": 500.0}
    raw["known"] = catalog.listing()
    (folder / "config.json").write_text(json.dumps(raw))
    tasks: list[asyncio.Task[None]] = []  # of clients

    async def tell(watch_number: int = 0) -> None:
        watches = [call for call in catalog.calls if call.watch]
        watches[watch_number].send(catalog.change(*play.news(entries)))
        play.told_at = time.monotonic()

    async def hold_old_process() -> None:
        client = RawClient(*await asyncio.open_connection("127.0.0.1", port))
        await client.send_request(build_request(key=f"held/{play.held_request_s}"))

    try:
        old = await start_process(play, folder, tmpdir)
        await old.wait_for("listens on")
        async with asyncio.timeout(20.0):
            while not any(call.watch for call in catalog.calls):
                await asyncio.sleep(0.01)
        if not play.idle:
            tasks.append(asyncio.create_task(send_requests(play, port)))
        if not play.late_news:
            await asyncio.sleep(0.2)
            await tell()
            await old.wait_for("list 2")
        if play.outage == "down":
            await catalog.stop_abruptly()
        elif play.outage in OUTAGE_SCRIPTS:
            catalog.script = OUTAGE_SCRIPTS[play.outage]
            if not play.late_news:
                catalog.end_calls()
        await asyncio.sleep(0.3)
        held = None
        if play.held_request_s:
            tasks.append(asyncio.create_task(hold_old_process()))
        if play.predecessor == "stopped":
            old.process.send_signal(signal.SIGSTOP)
        elif play.predecessor == "of an earlier version":  # it holds a presence file and writes no list
            old.process.kill()
            await old.process.wait()
            held = (tmpdir / "badgercart-6e30.1-1.alive").open("w")
            fcntl.flock(held, fcntl.LOCK_EX)
        for _ in range(play.upgrades):
            new_tmpdir = folder / "missing" if play.predecessor == "in another folder" else tmpdir
            new = await start_process(play, folder, new_tmpdir)
            if play.late_news:
                await asyncio.sleep(0.4)
                await tell()
            await new.wait_for("listens on")
            play.yes_at = time.monotonic()
            if not tasks:
                tasks.append(asyncio.create_task(send_requests(play, port)))
            if old.process.returncode is None:
                old.process.send_signal(signal.SIGTERM)
                with suppress(TimeoutError):
                    await asyncio.wait_for(old.process.wait(), KILL_AFTER_YES_S)
                if old.process.returncode is None:
                    old.process.kill()
            if held is not None:
                held.close()
            old = new
        await asyncio.sleep(max(0.0, play.yes_at + WATCHED_S - time.monotonic()))
        if play.outage == "down":
            await catalog.start(catalog.port)
        else:
            catalog.script = respond_at_once
            catalog.end_calls()
        await old.wait_for(r"list \d, (full|delta)")
        await asyncio.sleep(1.5)
    finally:
        reserved.close()
        for task in tasks:
            task.cancel()
        for node in play.processes:
            if node.process.returncode is None:
                node.process.kill()
            await node.process.wait()


def record_arrivals(times: list[float]) -> Any:
    async def respond(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        times.append(time.monotonic())
        if held := re.search(rb"held/(\S+)", head):
            await asyncio.sleep(float(held[1]))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")

    return respond


Entries = dict[str, dict[str, Any]]


def leaving(entries: Entries) -> list[dict[str, Any]]:
    return [entries["s-1"] | {"lifecycle": "leaving"}]


def left(entries: Entries) -> list[dict[str, Any]]:
    return [entries["s-1"] | {"lifecycle": "left"}]


def all_replaced(entries: Entries) -> list[dict[str, Any]]:
    return [entries[name] | {"lifecycle": "leaving"} for name in NAMES[:3]] + [entries["s-4"]]


def came_back(entries: Entries) -> list[dict[str, Any]]:
    return [entries["s-1"] | {"startedAtMs": 1000}]


# The related paths: what the old process knows and the new one does not.
PLAYS = {
    "an endpoint is leaving": Play(leaving),
    "an endpoint has left": Play(left),
    "all stored endpoints leave and one joins": Play(all_replaced, NAMES[:3], ("s-4",)),
    "an endpoint came back": Play(came_back, (), ("s-1",)),
    "only the old watch lives": Play(leaving, outage="resets", late_news=True),
    "discovery resets each call": Play(leaving, outage="resets"),
    "discovery never responds": Play(leaving, outage="hangs"),
    "the old process ends late": Play(leaving, held_request_s=4.0),
    "lists are pushed": Play(leaving, pushed=True),
    "two upgrades": Play(leaving, upgrades=2),
    "no clients": Play(leaving, idle=True),
    "discovery stays up": Play(leaving, outage=""),
    "the old process is stopped": Play(leaving, predecessor="stopped"),
    "the old process is of an earlier version": Play(leaving, predecessor="of an earlier version"),
    "the folder fails": Play(leaving, predecessor="in another folder"),
}


@pytest.fixture(scope="module")
def plays(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Play]]:
    """Run all plays once and at the same time, as each is idle for most of it."""
    folder = tmp_path_factory.mktemp("upgrades")

    async def all_of_them() -> None:
        await asyncio.gather(*(run_play(play, folder / str(i)) for i, play in enumerate(PLAYS.values())))

    uvloop.run(all_of_them())
    yield PLAYS


@pytest.mark.parametrize("name", PLAYS)
def test_a_new_process_knows_what_the_old_one_was_told(plays: dict[str, Play], name: str) -> None:
    play = plays[name]
    logs = "\n---\n".join(node.log for node in play.processes)
    late = play.late()
    assert not late, f"{len(late)} requests, {min(late):.2f} to {max(late):.2f} s after the yes\n{logs}"
    assert all(max(play.arrivals[endpoint]) > play.yes_at for endpoint in play.used), logs
    served = play.statuses(0.2, NEWS_AFTER_YES_S - 0.5)  # the log tells of the yes a little late
    assert served and set(served) == {200}, f"{served}\n{logs}"
    if play.handed_over and play.outage != "hangs":  # which is no proof that discovery has learned nothing
        assert set(play.statuses(2.0, WATCHED_S)) == {200}, logs
    assert set(play.statuses(WATCHED_S + 1.0, 60.0)) == {200}, logs
