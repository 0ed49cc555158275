"""The stage: starts a farm's processes, does to them what is asked, and ends every one of them.

async with Farm(scenario, path, seed, folder) as stage:
    await stage.open()              # all is ready; the play has not begun
    await stage.begin()             # clients come from now on
    await stage.fault(1, spec)      # and so on, or play the timetable
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from types import TracebackType
from typing import Any

import msgspec

from flaxstep.faultbench.admin_client import call_door
from flaxstep.faultbench.child_process import ROOT, ChildProcess, shell_command
from flaxstep.faultbench.fake_service import Address, FaultBenchError, Tasks
from flaxstep.faultbench.farm_config import (
    DOORS,
    DOORS_EACH,
    FRONTS,
    FarmLinks,
    entry,
    front_config,
    list_config,
    node_config,
    server_config,
    server_id,
    unix_ms,
)
from flaxstep.faultbench.records import Happened, Recorder
from flaxstep.simulator.sampling import Plan, draw_plan
from flaxstep.simulator.scenario import Scenario

BEFORE = 1e6  # s: until the play begins, all times lie that far before it
CLAIM_PORT = 1999  # held by a rig as long as the address is its own
READY_TIME = 15.0  # s for a node's yes
SHIM = Path(__file__).parent / "shim"


class Farm:
    def __init__(self, scenario: Scenario, path: Path, seed: int, folder: Path, run: str = "") -> None:
        """`run` is the command that starts a node, by default the deploy file's."""
        self.scenario, self.path, self.seed, self.folder = scenario, path, seed, folder
        self.plan: Plan = draw_plan(scenario, seed)
        self.run = run or str(deploy()["run"])
        self.children: dict[str, ChildProcess] = {}
        self.doors: dict[str, Address] = {}  # of the newest process of each node
        self.by_door: dict[Address, tuple[ChildProcess, str]] = {}  # the last process there, and its version
        self.starts: dict[str, int] = {}
        self.leaving: list[ChildProcess] = []  # processes that were told to end
        self.versions = {s: scenario.rig.version for s in range(len(self.plan.servers))}
        self.claim, self.host = claim()
        self.ways = FarmLinks(scenario, self.plan, self.host)
        self.t0 = time.monotonic() + BEFORE
        folder.mkdir(parents=True, exist_ok=True)
        self.recorder = Recorder(folder / "rig.jsonl", self.t0)
        self.seeds = random.Random(seed)
        self.tasks = Tasks()

    async def __aenter__(self) -> Farm:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """End every process by its id. Nothing is left when this returns, whatever went before."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)  # what one was starting is ended with it
        children = [*self.children.values(), *self.leaving]
        await asyncio.shield(asyncio.gather(*(child.end() for child in children)))
        self.recorder.close()
        self.claim.close()

    # The start.

    async def open(self, clients: bool = True) -> None:
        """Start all and wait until every node says yes and the front knows it; the clients wait for
        `begin`."""
        servers, nodes = range(len(self.plan.servers)), range(len(self.plan.node_zones))
        links = {"seed": self.seed, "links": self.ways.links, "down": [f"node:{n}" for n in nodes]}
        await asyncio.gather(
            self.stand_in("links", "links", links),
            self.stand_in("discovery", "discovery_service", list_config(self.scenario, self.plan, self.ways)),
            self.stand_in("front", "frontend_balancer", front_config(self.scenario, self.plan, self.ways)),
            *(self.start_server(server, cold=False) for server in servers),
        )
        await asyncio.gather(*(self.start(f"node:{node}") for node in nodes))
        while not all(await self.children["front"].call("believed")):
            await asyncio.sleep(0.05)
        if clients:
            fronts = [(self.host, FRONTS + zone) for zone in range(self.scenario.fleet.zones)]
            config = {"scenario": str(self.path), "seed": self.seed, "fronts": fronts}
            await self.stand_in("clients", "clients", config)

    async def begin(self) -> None:
        """The play begins: from now on times count, and the scenario's clients come."""
        self.t0 = self.recorder.t0 = time.monotonic()
        for child in self.stand_ins():
            await child.call("begin", t0=self.t0)

    def stand_ins(self) -> list[ChildProcess]:
        return [child for name, child in self.children.items() if not name.startswith("node:")]

    async def stand_in(self, name: str, module: str, config: dict[str, Any]) -> None:
        self.starts[name] = self.starts.get(name, 0) + 1
        plain = name.replace(":", "-")
        shared = {"t0": self.t0, "seed": self.seed, "record": str(self.folder / f"{plain}.jsonl")}
        self.children[name] = await ChildProcess.stand_in(plain, module, shared | config, self.folder)
        self.note("started", name)

    async def start_server(self, server: int, cold: bool) -> None:
        config = server_config(self.scenario, self.plan, self.host, server)
        version = self.versions[server]
        figures = self.scenario.rig.versions.get(version)
        config |= {"cold": cold, "version": version}
        config |= {"figures": None if figures is None else msgspec.to_builtins(figures)}
        await self.stand_in(f"server:{server}", "job_server", config)

    # Nodes.

    async def start(self, name: str, keep: bool = True) -> None:
        """Start a process again, with its folder as it was or empty; a node counts as started at its yes."""
        kind, _, number = name.partition(":")
        if kind == "server":
            await self.start_server(int(number), cold=True)
            await self.children["links"].call("up", callee=name)
            await self.announce(int(number), "active", self.plan.figures["discovery.add_s"])
        elif kind == "node":
            await self.start_node(name, keep)
        else:
            raise FaultBenchError(f"{name}: only nodes and servers are started again")

    async def start_node(self, name: str, keep: bool = True) -> ChildProcess:
        child, door, log = await self.launch_node(name, keep)
        await self.ready(child, door, log)
        self.note("ready", name)
        await self.children["links"].call("up", callee=name)
        return child

    def door(self, node: int, number: int) -> Address:
        return self.host, DOORS + node * DOORS_EACH + number

    def free_door(self, node: int) -> Address:
        """The door that a node had last, or another if a process has it still."""
        doors = [self.door(node, number) for number in range(DOORS_EACH)]
        last = self.doors.get(f"node:{node}", doors[0])
        doors.sort(key=lambda door: door != last)
        return next((d for d in doors if d not in self.by_door or not self.by_door[d][0].alive), doors[-1])

    async def launch_node(
        self, name: str, keep: bool = True, door: Address | None = None, run: str = "", version: str = ""
    ) -> tuple[ChildProcess, Address, Path]:
        """A process of a node, not yet ready; with its door and its log."""
        node, count = int(name.partition(":")[2]), self.starts.get(name, 0)
        self.starts[name] = count + 1
        home = self.folder / f"node-{node}"
        if not keep:
            shutil.rmtree(home, ignore_errors=True)
        home.mkdir(exist_ok=True)
        path = self.folder / f"node-{node}.json"
        config = node_config(self.scenario, self.plan, self.ways, node, self.seeds.getrandbits(64))
        path.write_text(json.dumps(config))
        door = door or self.free_door(node)
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "PYTHONPATH"))}
        environment |= {"ROUTER_CONFIG": str(path), "TMPDIR": str(home)}
        environment |= {"ROUTER_ADMIN_ADDR": f"{door[0]}:{door[1]}"}
        if self.has_shim(name):
            self.write_shim(name)
            environment |= {"PYTHONPATH": str(SHIM), "RIG_SHIM": str(self.shim(name))}
        log = self.folder / f"node-{node}-{count}.log"
        child = await ChildProcess.start(name, shell_command(run or self.run), log, environment)
        if name in self.children:
            self.leaving.append(self.children[name])
        self.children[name], self.doors[name] = child, door
        self.by_door[door] = child, version or self.scenario.rig.version
        self.note("started", name, "" if keep else "empty folder")
        return child, door, log

    def leave_node(self, name: str, door: Address) -> None:
        """The process of a node that has its door there is told to end; the node is the other one then."""
        child, _ = self.by_door[door]
        child.send(signal.SIGTERM)
        self.note("term", name, f"the process with its door at port {door[1]}")
        self.tasks.spawn(self.see_off(child))
        if self.doors[name] == door:
            for other, (process, _) in self.by_door.items():
                if other != door and process.alive and process.name == name:
                    self.leaving.append(child)
                    self.children[name], self.doors[name] = process, other

    async def ready(self, child: ChildProcess, door: Address, log: Path) -> None:
        end = time.monotonic() + READY_TIME
        while (await call_door(door, "GET", "health"))[0] != 200:
            if not child.alive or time.monotonic() > end:
                raise FaultBenchError(f"{child.name}: did not become ready; see {log}")
            await asyncio.sleep(0.03)

    async def upgrade(self, node: int) -> None:
        """A second process beside the first; at its yes the first is told to end, and ended when its time is
        up."""
        name = f"node:{node}"
        old = self.doors[name]
        await self.start_node(name)
        self.leave_node(name, old)

    async def see_off(self, child: ChildProcess) -> None:
        await asyncio.sleep(min(3.0, max(c.deadline_ms for c in self.scenario.classes) / 1000) + 0.7)
        await child.end()

    # Processes that go wrong.

    async def kill(self, name: str) -> None:
        """SIGKILL. Connections to it are refused from then on, as its machine's kernel does."""
        child = self.children[name]
        self.note("killed", name)
        await child.end()
        await self.children["links"].call("down", callee=name)

    async def term(self, name: str) -> None:
        """SIGTERM, and SIGKILL when the longest deadline and 0.7 s are over."""
        child = self.children[name]
        self.note("term", name)
        child.send(signal.SIGTERM)
        self.tasks.spawn(self.see_off(child))

    async def stop(self, name: str) -> None:
        self.note("stopped", name)
        self.children[name].send(signal.SIGSTOP)

    async def go_on(self, name: str) -> None:
        self.children[name].send(signal.SIGCONT)
        self.note("goes on", name)

    def has_shim(self, name: str) -> bool:
        return any(f.of == name and f.name in ("clock", "disk") for f in self.scenario.rig.faults)

    def shim(self, name: str) -> Path:
        return self.folder / f"{name.replace(':', '-')}.shim.json"

    def write_shim(self, name: str, **changes: Any) -> None:
        """What the shim in a node's process is told; replaced whole, as it may be read at any moment."""
        path, told = self.shim(name), {"folder": str(self.folder / name.replace(":", "-"))}
        if path.exists():
            told = json.loads(path.read_bytes())
        else:
            for fault in self.scenario.rig.faults:
                if fault.name == "clock" and fault.of == name and fault.at_s == 0:
                    size = fault.size if isinstance(fault.size, float | int) else fault.size[1]
                    changes["offset_s"] = -size if fault.way == "back" else size
        half = path.with_suffix(".half")
        half.write_text(json.dumps(told | changes))
        half.replace(path)

    async def clock(self, name: str, offset_s: float) -> None:
        self.note("clock", name, f"off by {offset_s:g} s")
        self.write_shim(name, offset_s=offset_s)

    async def disk(self, name: str, state: str) -> None:
        self.note("disk", name, state or "well again")
        self.write_shim(name, disk=state)

    # Links and servers.

    async def fault(self, number: int, spec: dict[str, Any]) -> None:
        await self.children["links"].call("fault", number=number, spec=spec)

    async def heal(self, number: int, spec: dict[str, Any]) -> None:
        await self.children["links"].call("heal", number=number, spec=spec)

    async def set_server(self, server: int, **figures: Any) -> None:
        child = self.children[f"server:{server}"]
        if child.alive and not child.stopped:
            await child.call("set", **figures)

    async def announce(self, server: int, lifecycle: str, late_s: float) -> None:
        line = entry(self.scenario, self.plan, server, lifecycle, unix_ms())
        await self.children["discovery"].call("announce", server=server, entry=line, late_s=late_s)

    async def list_service(self, up: bool) -> None:
        await self.children["discovery"].call("up" if up else "down")

    async def misbehave(self, how: str, size: float) -> None:
        """Discovery goes wrong in that way, or (without one) is well again."""
        await self.children["discovery"].call("misbehave", how=how, size=size)

    async def leave_server(self, server: int, late_s: float) -> None:
        self.note("leaves", f"server:{server}")
        await self.announce(server, "leaving", late_s)

    async def restart_server(self, server: int, down_s: float, version: str = "") -> None:
        """Its process ends and another starts, cold; discovery hears of both, late."""
        name, notice = f"server:{server}", self.plan.figures["discovery.notice_s"]
        self.versions[server] = version or self.versions[server]
        await self.children["links"].call("down", callee=name)
        self.note("killed", name)
        await self.children[name].end()
        if down_s > notice:
            await self.announce(server, "left", notice)
        self.tasks.spawn(self.start_later(name, down_s))

    async def replace_process(self, server: int, version: str) -> None:
        """A job server's process ends and another is there at once, cold, as a release's command has it."""
        name = f"server:{server}"
        self.versions[server] = version
        await self.children["links"].call("down", callee=name)
        self.note("killed", name)
        await self.children[name].end()
        await self.start(name)

    async def start_later(self, name: str, delay: float) -> None:
        await asyncio.sleep(delay)
        await self.start(name)

    # Staff.

    async def ask(self, node: int, method: str, call: str, body: str = "") -> tuple[int, str]:
        """A call at a node's door, as staff make it, written down with its answer."""
        status, text = await call_door(self.doors[f"node:{node}"], method, call, body)
        self.note(f"{call} {'yes' if 200 <= status < 300 else 'no'}", f"node:{node}", body or text)
        return status, text

    async def everywhere(self, call: str, body: str) -> None:
        await asyncio.gather(*(self.ask(n, "POST", call, body) for n in range(len(self.plan.node_zones))))

    async def cordon(self, server: int) -> None:
        self.note("cordon", f"server:{server}")
        await self.everywhere("cordon", server_id(server))

    async def uncordon(self, server: int) -> None:
        self.note("uncordon", f"server:{server}")
        await self.everywhere("uncordon", server_id(server))

    async def quiesce(self, node: int) -> None:
        await self.ask(node, "POST", "quiesce")

    async def resume(self, node: int) -> None:
        await self.ask(node, "POST", "resume")

    def note(self, what: str, whom: str, note: str = "") -> None:
        self.recorder.write(Happened(self.recorder.now(), what, whom, note=note))


def claim() -> tuple[socket.socket, str]:
    """A loopback address that no other rig has, held by a socket."""
    chance = random.SystemRandom()
    for _ in range(100):
        host = f"127.{chance.randint(64, 250)}.{chance.randint(1, 250)}.{chance.randint(1, 250)}"
        held = socket.socket()
        try:
            held.bind((host, CLAIM_PORT))
        except OSError:
            held.close()
            continue
        return held, host
    raise FaultBenchError("no loopback address is free")


def deploy() -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def build() -> None:
    """What the deploy file's nodes need, made where it is missing."""
    done = subprocess.run(shell_command(deploy()["build"]), cwd=ROOT, capture_output=True, check=False)
    if done.returncode:
        raise FaultBenchError(f"build: {done.stderr.decode(errors='replace').strip().splitlines()[-1:]}")
