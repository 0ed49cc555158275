"""Runs a node process with little memory, crowds of clients at it, and proper requests beside them."""

from __future__ import annotations

import asyncio
import json
import shlex
import subprocess
import sys
import time
import tomllib
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Any

from tests.net import TIMEOUT_S, FakeDiscovery, FakeServer, RawClient, build_request, header_value
from tests.test_process import connect, raw_config, running_process

ROOT = Path(__file__).parents[1]
LATE_AFTER_S = 0.5 + 0.05  # STANDING: up to half a second after its time; PROTOCOL: limits are 50 ms longer
SAMPLE_INTERVAL_S = 0.02  # between reads of the memory
REQUEST_INTERVAL_S = 0.025  # between proper requests
PROPER_TIMEOUT_S = 1.2
CLASSES = [
    {"Name": name, "Idempotency": effect, "Aim": 300.0, "Deadline": 1200.0, "Worth": 1.0, "LateValue": 0.2}
    for name, effect in (("pay", "single_shot"), ("find", "free"))
]


def resident_mb(process: Process) -> float:
    """The memory of a process, as the platform counts it; 0 if it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


@dataclass
class ProperRequests:
    """What came of the proper requests beside a crowd. Status 0: no whole answer."""

    statuses: list[int] = field(default_factory=list)
    seconds: list[float] = field(default_factory=list)

    @property
    def late_count(self) -> int:
        """Those that were never answered, or later than their time and the slack."""
        return sum(
            not status or seconds > PROPER_TIMEOUT_S + LATE_AFTER_S
            for status, seconds in zip(self.statuses, self.seconds, strict=True)
        )


@dataclass
class LimitedNode:
    """A node process with its port, and the highest memory that was seen."""

    process: Process
    port: int
    peak_mb: float = 0.0

    async def watch_memory(self) -> None:
        while True:
            self.peak_mb = max(self.peak_mb, resident_mb(self.process))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def send_proper_request(self, results: ProperRequests) -> None:
        """Send one request on a connection of its own."""
        started, status = time.monotonic(), 0
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(PROPER_TIMEOUT_S + 2.0):
                client = await connect(self.port)
                try:
                    status = (
                        await client.send_request(build_request("pay", f"{PROPER_TIMEOUT_S * 1000:.0f}m"))
                    )[0]
                finally:
                    client.writer.transport.abort()
        results.statuses.append(status)
        results.seconds.append(time.monotonic() - started)

    async def send_proper_requests(self, duration_s: float) -> ProperRequests:
        """Send proper requests at regular intervals, whether the earlier ones are answered or not."""
        results, tasks, until = ProperRequests(), set[asyncio.Task[None]](), time.monotonic() + duration_s
        while time.monotonic() < until:
            tasks.add(asyncio.create_task(self.send_proper_request(results)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*tasks)
        return results


def limited_config(discovery_port: int, memory_mb: int, sockets: int) -> dict[str, Any]:
    raw = raw_config()
    settings = raw["settings"] | {"Classes": CLASSES}
    settings["Allowed"] = settings["Allowed"] | {"SecondCopies": False, "DialTimeout": 500.0}
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
    return raw | {"discovery": f"127.0.0.1:{discovery_port}", "settings": settings, "limits": limits}


@cache
def compile_modules() -> None:
    """Run the last step of the deploy file's build: a node that compiles at its start takes more memory."""
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    _, *arguments = shlex.split(build.rpartition("&&")[2])
    assert arguments[:2] == ["-m", "compileall"]
    subprocess.run([sys.executable, *arguments], cwd=ROOT, check=True)


@asynccontextmanager
async def limited_node(
    folder: Path,
    servers: list[FakeServer],
    memory_mb: int = 32,
    sockets: int = 1024,
    discovery_type: type[FakeDiscovery] = FakeDiscovery,
) -> AsyncIterator[LimitedNode]:
    """Run a node with these limits whose list has these servers."""
    discovery = await discovery_type(
        [server.list_entry(f"s-{i}") for i, server in enumerate(servers, 1)]
    ).start()
    compile_modules()
    path = folder / "config.json"
    path.write_text(json.dumps(limited_config(discovery.port, memory_mb, sockets)))
    async with running_process(path) as (process, port):
        node = LimitedNode(process, port)
        log = asyncio.create_task(drain_log(process))
        watch = asyncio.create_task(node.watch_memory())
        try:
            yield node
        finally:
            watch.cancel()
            log.cancel()


async def drain_log(process: Process) -> None:
    """Read the log and drop it, so that the process never waits to write it."""
    assert process.stderr is not None
    while await process.stderr.read(1 << 16):
        pass


async def start_servers(
    respond: Callable[[FakeServer, bytes, asyncio.StreamWriter], Awaitable[None]], count: int = 3
) -> list[FakeServer]:
    """Start job servers that read bodies of any framing and length and keep none of them."""
    servers = []
    for _ in range(count):
        server = FakeServer(respond)
        server.server = await asyncio.start_server(make_reader(server), "127.0.0.1", 0, backlog=1024)
        server.port = server.server.sockets[0].getsockname()[1]
        servers.append(server)
    return servers


def make_reader(
    server: FakeServer,
) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if header_value(head, b"Transfer-Encoding"):
                    while length := int(await reader.readline(), 16):
                        await reader.readexactly(length + 2)
                    await reader.readline()
                else:
                    await reader.readexactly(int(header_value(head, b"Content-Length") or 0))
                await server.script(server, head, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return serve


async def read_any_status(client: RawClient, timeout_s: float = TIMEOUT_S) -> int:
    """The status of the next response; 0 if the connection is closed first, -1 if neither comes in time."""
    try:
        async with asyncio.timeout(timeout_s):
            line = await client.reader.readline()
        return int(line.split(b" ")[1]) if line else 0
    except TimeoutError:
        return -1
    except OSError:
        return 0
