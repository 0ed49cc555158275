"""The platform's hands for releases on the rig: takes the calls of commands (`commands.py`) and does them.

Beside it the farm file for a controller, whose calls go through links of their own like everybody's.
"""

from __future__ import annotations

import asyncio
import json
import re
import shlex
import sys
import time
from collections.abc import Awaitable, Callable
from datetime import datetime
from pathlib import Path

from flaxstep.faultbench.child_process import ChildProcess, shell_command
from flaxstep.faultbench.fake_service import FaultBenchError, loopback
from flaxstep.faultbench.farm import Farm
from flaxstep.faultbench.records import Happened
from flaxstep.rollout.io.http_client import call_text

PORT = 1998
CALLS = re.compile(r"^(\S+ \S+) INFO (s-\d+) is (out|back)$", re.MULTILINE)
COMMANDS = {
    "servers": {"restart": "restart {id} {version}", "version": "version {id}", "check": "check {id}"},
    "nodes": {
        "restart": "start {id} {version} {door}",
        "stop": "stop {id} {door}",
        "version": "running {id} {door}",
    },
}
Do = Callable[..., Awaitable[str]]


class OperatorCommands:
    """`hang`: commands whose calls are never answered; `runs`: what starts a node's process, by version."""

    def __init__(self, stage: Farm) -> None:
        self.stage = stage
        self.hang: set[tuple[str, ...]] = set()
        self.runs: dict[str, str] = {}
        self.done: list[list[str]] = []
        self.server: asyncio.Server | None = None
        self.crashing: set[int] = set()
        self.doing: dict[str, Do] = {
            "restart": self.restart,
            "version": self.version,
            "check": self.check,
            "start": self.start_node,
            "stop": self.stop_node,
            "running": self.running,
        }

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.take, loopback(self.stage.host), PORT)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    @property
    def command(self) -> list[str]:
        """The words before a call."""
        return [
            sys.executable,
            "-B",
            str(Path(__file__).with_name("commands.py")),
            f"{self.stage.host}:{PORT}",
        ]

    def commands(self, what: str) -> str:
        """The lines of a plan's table of commands."""
        words = json.dumps(self.command)[1:-1]
        calls = COMMANDS[what].items()
        return "".join(f"{name} = [{words}, {json.dumps(call.split())[1:-1]}]\n" for name, call in calls)

    def farm_file(self, state: str = "release.sqlite") -> Path:
        """The farm as a controller meets it."""
        ways = self.stage.ways
        lines = [f'name = "{self.stage.scenario.name}"', f'discovery = "{place(ways.to_list)}"']
        lines.append(f'state = "{state}"')
        for node, doors in enumerate(ways.to_doors):
            zone = f"zone-{self.stage.plan.node_zones[node]}"
            names = ", ".join(f'"{place(door)}"' for door in doors)
            lines += ["[[nodes]]", f'name = "n{node}"', f'zone = "{zone}"', f"doors = [{names}]"]
        path = self.stage.folder / "farm.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One call of a command."""
        do, *arguments = json.loads(await reader.readline())
        self.done.append([do, *arguments])
        answer = {"ok": False, "text": "not answered"}
        try:
            if (do, *arguments) in self.hang:
                await reader.read()  # until the command is killed
                return
            answer = {"ok": True, "text": await self.doing[do](*arguments)}
        except (FaultBenchError, ValueError, KeyError) as error:
            answer = {"ok": False, "text": str(error)}
        finally:
            writer.write(json.dumps(answer).encode() + b"\n")
            writer.close()

    def note_calls(self) -> None:
        """Write down when each node took a server out and back, as its log has it: a controller's calls pass
        no one else who would tell the judge."""
        stage = self.stage
        offset = time.time() - time.monotonic() + stage.t0
        for log in stage.folder.glob("node-*-*.log"):
            whom = f"node:{log.name.split('-')[1]}"
            for stamp, name, what in CALLS.findall(log.read_text()):
                at = 1000 * (datetime.strptime(stamp, "%Y-%m-%d %H:%M:%S,%f").timestamp() - offset)
                called = "cordon yes" if what == "out" else "uncordon yes"
                stage.recorder.write(Happened(round(at, 3), called, whom, note=name))

    # Job servers.

    async def restart(self, name: str, version: str) -> str:
        stage, server = self.stage, int(name.removeprefix("s-"))
        await stage.replace_process(server, version)
        self.crash_later(server, version)
        return ""

    def crash_later(self, server: int, version: str) -> None:
        figures = self.stage.scenario.rig.versions.get(version)
        if figures is not None and figures.crash_s and server not in self.crashing:
            self.crashing.add(server)
            self.stage.tasks.spawn(self.crash(server, version, figures.crash_s))

    async def crash(self, server: int, version: str, after: float) -> None:
        """A process that ends by itself, and is started again as it was, over and over."""
        while self.stage.versions[server] == version:
            await asyncio.sleep(after)
            if self.stage.versions[server] == version:
                await self.stage.replace_process(server, version)
        self.crashing.discard(server)

    async def version(self, name: str) -> str:
        server = int(name.removeprefix("s-"))
        if not self.stage.children[f"server:{server}"].alive:
            raise FaultBenchError(f"{name}: no process runs")
        return self.stage.versions[server]

    async def check(self, name: str) -> str:
        host, port = self.stage.ways.servers[int(name.removeprefix("s-"))]
        status, answer = await call_text(f"{host}:{port}", "GET", "/selftest")
        if (status, answer) != (200, "42"):
            raise FaultBenchError(f"{answer} is not 42")
        return answer

    # Nodes.

    def door(self, name: str, door: str) -> tuple[str, tuple[str, int]]:
        """A node's name on the stage, and where a door really is that a controller calls by its link."""
        node = int(name.removeprefix("n"))
        number = [place(way) for way in self.stage.ways.to_doors[node]].index(door)
        return f"node:{node}", self.stage.door(node, number)

    async def start_node(self, name: str, version: str, door: str) -> str:
        node, address = self.door(name, door)
        await self.stage.launch_node(node, door=address, run=self.runs.get(version, ""), version=version)
        return ""

    async def stop_node(self, name: str, door: str) -> str:
        node, address = self.door(name, door)
        self.stage.leave_node(node, address)
        return ""

    async def running(self, name: str, door: str) -> str:
        _, address = self.door(name, door)
        child = self.stage.by_door.get(address)
        if child is None or not child[0].alive:
            raise FaultBenchError(f"{name}: no process has its door at {door}")
        return child[1]


def place(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


async def run_controller(stage: Farm, plan: Path, farm: Path, log: Path) -> ChildProcess:
    """A controller as a process, as staff start one."""
    words = [sys.executable, "-B", "-m", "flaxstep", "release", "run", str(plan), "--farm", str(farm)]
    text = f"exec {shlex.join(words)} >>{shlex.quote(str(log))} 2>&1"
    child = await ChildProcess.start("controller", shell_command(text), log)
    stage.leaving.append(child)
    return child
