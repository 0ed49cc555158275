"""The platform's side of release commands on the rig: receives the calls of `commands.py` and executes them.

Also writes the farm file for a controller, whose connections pass through links as those of all processes do.
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
from flaxstep.faultbench.fake_service import FaultBenchError, require_loopback
from flaxstep.faultbench.farm import Farm
from flaxstep.faultbench.records import Happened
from flaxstep.rollout.io.http_client import call_text

COMMAND_PORT = 1998
CORDON_LOG_LINE = re.compile(r"^(\S+ \S+) INFO (s-\d+) is (out|back)$", re.MULTILINE)
COMMAND_TEMPLATES = {
    "servers": {"restart": "restart {id} {version}", "version": "version {id}", "check": "check {id}"},
    "nodes": {
        "restart": "start {id} {version} {door}",
        "stop": "stop {id} {door}",
        "version": "running {id} {door}",
    },
}
CommandHandler = Callable[..., Awaitable[str]]


class OperatorCommands:
    """Executes release commands on a farm.

    `unanswered`: commands whose calls get no response; `node_commands`: the command that starts a node's
    process, by version.
    """

    def __init__(self, farm: Farm) -> None:
        self.farm = farm
        self.unanswered: set[tuple[str, ...]] = set()
        self.node_commands: dict[str, str] = {}
        self.received_calls: list[list[str]] = []
        self.server: asyncio.Server | None = None
        self.crashing: set[int] = set()
        self.handlers: dict[str, CommandHandler] = {
            "restart": self.restart,
            "version": self.version,
            "check": self.check,
            "start": self.start_node,
            "stop": self.stop_node,
            "running": self.running,
        }

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self.serve_call, require_loopback(self.farm.host), COMMAND_PORT
        )

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    @property
    def command_prefix(self) -> list[str]:
        """The command line up to the arguments of a call."""
        return [
            sys.executable,
            "-B",
            str(Path(__file__).with_name("commands.py")),
            f"{self.farm.host}:{COMMAND_PORT}",
        ]

    def command_table(self, what: str) -> str:
        """The lines of the [commands] table of a plan for `servers` or `nodes`."""
        command = json.dumps(self.command_prefix)[1:-1]
        calls = COMMAND_TEMPLATES[what].items()
        return "".join(f"{name} = [{command}, {json.dumps(call.split())[1:-1]}]\n" for name, call in calls)

    def write_farm_file(self, state: str = "release.sqlite") -> Path:
        """Writes the farm file of a controller, with the addresses of its links."""
        farm_links = self.farm.farm_links
        lines = [
            f'name = "{self.farm.scenario.name}"',
            f'discovery = "{host_port(farm_links.controller_to_discovery)}"',
        ]
        lines.append(f'state = "{state}"')
        for node, addresses in enumerate(farm_links.controller_to_admin):
            zone = f"zone-{self.farm.plan.node_zones[node]}"
            address_list = ", ".join(f'"{host_port(door)}"' for door in addresses)
            lines += ["[[nodes]]", f'name = "n{node}"', f'zone = "{zone}"', f"doors = [{address_list}]"]
        path = self.farm.folder / "farm.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Executes one call of `commands.py` and writes the response."""
        command_name, *arguments = json.loads(await reader.readline())
        self.received_calls.append([command_name, *arguments])
        response = {"ok": False, "text": "not answered"}
        try:
            if (command_name, *arguments) in self.unanswered:
                await reader.read()  # until the command is killed
                return
            response = {"ok": True, "text": await self.handlers[command_name](*arguments)}
        except (FaultBenchError, ValueError, KeyError) as error:
            response = {"ok": False, "text": str(error)}
        finally:
            writer.write(json.dumps(response).encode() + b"\n")
            writer.close()

    def record_cordons(self) -> None:
        """Records when each node cordoned and uncordoned a server, from its log.

        A controller's calls pass no process that records them for the judge.
        """
        farm = self.farm
        offset = time.time() - time.monotonic() + farm.play_start
        for log in farm.folder.glob("node-*-*.log"):
            whom = f"node:{log.name.split('-')[1]}"
            for timestamp, name, what in CORDON_LOG_LINE.findall(log.read_text()):
                at = 1000 * (datetime.strptime(timestamp, "%Y-%m-%d %H:%M:%S,%f").timestamp() - offset)
                event = "cordon yes" if what == "out" else "uncordon yes"
                farm.recorder.write(Happened(round(at, 3), event, whom, note=name))

    # Job servers.

    async def restart(self, name: str, version: str) -> str:
        farm, server = self.farm, int(name.removeprefix("s-"))
        await farm.replace_server_process(server, version)
        self.schedule_crash(server, version)
        return ""

    def schedule_crash(self, server: int, version: str) -> None:
        figures = self.farm.scenario.rig.versions.get(version)
        if figures is not None and figures.crash_s and server not in self.crashing:
            self.crashing.add(server)
            self.farm.tasks.spawn(self.crash_repeatedly(server, version, figures.crash_s))

    async def crash_repeatedly(self, server: int, version: str, delay_s: float) -> None:
        """Restarts the server's process in a loop, as if it crashed `delay_s` after each start, while it has
        that version."""
        while self.farm.versions[server] == version:
            await asyncio.sleep(delay_s)
            if self.farm.versions[server] == version:
                await self.farm.replace_server_process(server, version)
        self.crashing.discard(server)

    async def version(self, name: str) -> str:
        server = int(name.removeprefix("s-"))
        if not self.farm.children[f"server:{server}"].alive:
            raise FaultBenchError(f"{name}: no process is running")
        return self.farm.versions[server]

    async def check(self, name: str) -> str:
        host, port = self.farm.farm_links.server_addresses[int(name.removeprefix("s-"))]
        status, response = await call_text(f"{host}:{port}", "GET", "/selftest")
        if (status, response) != (200, "42"):
            raise FaultBenchError(f"{response} is not 42")
        return response

    # Nodes.

    def locate_admin_address(self, name: str, door: str) -> tuple[str, tuple[str, int]]:
        """A node's name in the farm, and the admin address to which the controller's link at `door` leads."""
        node = int(name.removeprefix("n"))
        number = [
            host_port(link_address) for link_address in self.farm.farm_links.controller_to_admin[node]
        ].index(door)
        return f"node:{node}", self.farm.admin_address(node, number)

    async def start_node(self, name: str, version: str, door: str) -> str:
        node, address = self.locate_admin_address(name, door)
        await self.farm.launch_node(
            node, admin_address=address, run=self.node_commands.get(version, ""), version=version
        )
        return ""

    async def stop_node(self, name: str, door: str) -> str:
        node, address = self.locate_admin_address(name, door)
        self.farm.terminate_node(node, address)
        return ""

    async def running(self, name: str, door: str) -> str:
        _, address = self.locate_admin_address(name, door)
        child = self.farm.process_by_address.get(address)
        if child is None or not child[0].alive:
            raise FaultBenchError(f"{name}: no process has its admin API at {door}")
        return child[1]


def host_port(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


async def start_controller(farm: Farm, plan: Path, farm_file: Path, log: Path) -> ChildProcess:
    """Starts a release controller as a process, as an operator does."""
    command = [sys.executable, "-B", "-m", "flaxstep", "release", "run", str(plan), "--farm", str(farm_file)]
    text = f"exec {shlex.join(command)} >>{shlex.quote(str(log))} 2>&1"
    child = await ChildProcess.start("controller", shell_command(text), log)
    farm.terminating.append(child)
    return child
