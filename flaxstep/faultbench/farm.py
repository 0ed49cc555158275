"""Starts the processes of a farm, applies faults and operator calls to them, and kills all at the end.

async with Farm(scenario, path, seed, folder) as farm:
    await farm.start_processes()    # all processes are ready; the play has not begun
    await farm.begin_play()         # the clients begin to send requests
    await farm.fault(1, spec)       # or run the steps of a Schedule
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

from flaxstep.faultbench.admin_client import call_admin
from flaxstep.faultbench.child_process import ROOT, ChildProcess, shell_command
from flaxstep.faultbench.fake_service import Address, BackgroundTasks, FaultBenchError
from flaxstep.faultbench.farm_config import (
    ADMIN_PORTS_PER_NODE,
    FIRST_ADMIN_PORT,
    FIRST_FRONT_PORT,
    FarmLinks,
    discovery_config,
    frontend_config,
    list_entry,
    node_config,
    server_config,
    server_id,
    unix_time_ms,
)
from flaxstep.faultbench.records import Happened, Recorder
from flaxstep.simulator.sampling import Plan, draw_plan
from flaxstep.simulator.scenario import Scenario

TIME_BEFORE_PLAY_S = 1e6  # offset that makes all times negative until the play begins
ADDRESS_LOCK_PORT = 1999  # bound by a rig for as long as it uses its loopback address
NODE_READY_TIMEOUT_S = 15.0
SHIM_FOLDER = Path(__file__).parent / "shim"


class Farm:
    """The processes of one play and everything that is done to them.

    The public methods from `start` on are the steps that a Schedule names; processes are named `node:0`,
    `server:3`, `links`, `discovery`, `front` and `clients`.
    """

    def __init__(self, scenario: Scenario, path: Path, seed: int, folder: Path, run: str = "") -> None:
        """`run` is the command that starts a node; the default is that of the deploy file."""
        self.scenario, self.path, self.seed, self.folder = scenario, path, seed, folder
        self.plan: Plan = draw_plan(scenario, seed)
        self.node_command = run or str(read_deploy_file()["run"])
        self.children: dict[str, ChildProcess] = {}
        self.admin_addresses: dict[str, Address] = {}  # by node: that of its newest process
        # By admin address: the process that was started there last, and its version.
        self.process_by_address: dict[Address, tuple[ChildProcess, str]] = {}
        self.start_counts: dict[str, int] = {}
        self.terminating: list[ChildProcess] = []  # replaced processes, to be killed at the latest by `close`
        self.versions = {s: scenario.rig.version for s in range(len(self.plan.servers))}
        self.address_lock, self.host = lock_loopback_address()
        self.farm_links = FarmLinks(scenario, self.plan, self.host)
        self.play_start = time.monotonic() + TIME_BEFORE_PLAY_S
        folder.mkdir(parents=True, exist_ok=True)
        self.recorder = Recorder(folder / "rig.jsonl", self.play_start)
        self.node_seeds = random.Random(seed)
        self.tasks = BackgroundTasks()

    async def __aenter__(self) -> Farm:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Kills every process by its id. None is left when this returns, whatever happened before."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(
            *self.tasks, return_exceptions=True
        )  # a cancelled task kills the process it was starting
        children = [*self.children.values(), *self.terminating]
        await asyncio.shield(asyncio.gather(*(child.kill() for child in children)))
        self.recorder.close()
        self.address_lock.close()

    # Start-up.

    async def start_processes(self, clients: bool = True) -> None:
        """Starts all processes and waits until every node is ready and the front has noticed it.

        The clients wait for `begin_play`.
        """
        servers, nodes = range(len(self.plan.servers)), range(len(self.plan.node_zones))
        links = {"seed": self.seed, "links": self.farm_links.links, "down": [f"node:{n}" for n in nodes]}
        await asyncio.gather(
            self.start_service("links", "links", links),
            self.start_service(
                "discovery", "discovery_service", discovery_config(self.scenario, self.plan, self.farm_links)
            ),
            self.start_service(
                "front", "frontend_balancer", frontend_config(self.scenario, self.plan, self.farm_links)
            ),
            *(self.start_server(server, cold=False) for server in servers),
        )
        await asyncio.gather(*(self.start(f"node:{node}") for node in nodes))
        while not all(await self.children["front"].call("believed")):
            await asyncio.sleep(0.05)
        if clients:
            fronts = [(self.host, FIRST_FRONT_PORT + zone) for zone in range(self.scenario.fleet.zones)]
            config = {"scenario": str(self.path), "seed": self.seed, "fronts": fronts}
            await self.start_service("clients", "clients", config)

    async def begin_play(self) -> None:
        """Sets the clock of all processes to 0; the clients begin to send requests."""
        self.play_start = self.recorder.t0 = time.monotonic()
        for child in self.services():
            await child.call("begin", t0=self.play_start)

    def services(self) -> list[ChildProcess]:
        return [child for name, child in self.children.items() if not name.startswith("node:")]

    async def start_service(self, name: str, module: str, config: dict[str, Any]) -> None:
        self.start_counts[name] = self.start_counts.get(name, 0) + 1
        file_stem = name.replace(":", "-")
        shared = {"t0": self.play_start, "seed": self.seed, "record": str(self.folder / f"{file_stem}.jsonl")}
        self.children[name] = await ChildProcess.start_service(
            file_stem, module, shared | config, self.folder
        )
        self.record_event("started", name)

    async def start_server(self, server: int, cold: bool) -> None:
        config = server_config(self.scenario, self.plan, self.host, server)
        version = self.versions[server]
        figures = self.scenario.rig.versions.get(version)
        config |= {"cold": cold, "version": version}
        config |= {"figures": None if figures is None else msgspec.to_builtins(figures)}
        await self.start_service(f"server:{server}", "job_server", config)

    # Nodes.

    async def start(self, name: str, keep: bool = True) -> None:
        """Restarts a process. A node is waited for until it is ready; its folder is emptied unless `keep`."""
        kind, _, number = name.partition(":")
        if kind == "server":
            await self.start_server(int(number), cold=True)
            await self.children["links"].call("up", callee=name)
            await self.announce(int(number), "active", self.plan.figures["discovery.add_s"])
        elif kind == "node":
            await self.start_node(name, keep)
        else:
            raise FaultBenchError(f"{name}: only nodes and servers can be restarted")

    async def start_node(self, name: str, keep: bool = True) -> ChildProcess:
        child, admin_address, log = await self.launch_node(name, keep)
        await self.wait_until_ready(child, admin_address, log)
        self.record_event("ready", name)
        await self.children["links"].call("up", callee=name)
        return child

    def admin_address(self, node: int, number: int) -> Address:
        return self.host, FIRST_ADMIN_PORT + node * ADMIN_PORTS_PER_NODE + number

    def free_admin_address(self, node: int) -> Address:
        """The admin address that the node used last, or another one while a live process still uses it."""
        addresses = [self.admin_address(node, number) for number in range(ADMIN_PORTS_PER_NODE)]
        last = self.admin_addresses.get(f"node:{node}", addresses[0])
        addresses.sort(key=lambda admin_address: admin_address != last)
        return next(
            (
                d
                for d in addresses
                if d not in self.process_by_address or not self.process_by_address[d][0].alive
            ),
            addresses[-1],
        )

    async def launch_node(
        self,
        name: str,
        keep: bool = True,
        admin_address: Address | None = None,
        run: str = "",
        version: str = "",
    ) -> tuple[ChildProcess, Address, Path]:
        """Starts a process of a node; returns it, not yet ready, with its admin address and log."""
        node, count = int(name.partition(":")[2]), self.start_counts.get(name, 0)
        self.start_counts[name] = count + 1
        node_folder = self.folder / f"node-{node}"
        if not keep:
            shutil.rmtree(node_folder, ignore_errors=True)
        node_folder.mkdir(exist_ok=True)
        path = self.folder / f"node-{node}.json"
        config = node_config(self.scenario, self.plan, self.farm_links, node, self.node_seeds.getrandbits(64))
        path.write_text(json.dumps(config))
        admin_address = admin_address or self.free_admin_address(node)
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "PYTHONPATH"))}
        environment |= {"ROUTER_CONFIG": str(path), "TMPDIR": str(node_folder)}
        environment |= {"ROUTER_ADMIN_ADDR": f"{admin_address[0]}:{admin_address[1]}"}
        if self.needs_shim(name):
            self.write_shim_state(name)
            environment |= {"PYTHONPATH": str(SHIM_FOLDER), "RIG_SHIM": str(self.shim_path(name))}
        log = self.folder / f"node-{node}-{count}.log"
        child = await ChildProcess.start(name, shell_command(run or self.node_command), log, environment)
        if name in self.children:
            self.terminating.append(self.children[name])
        self.children[name], self.admin_addresses[name] = child, admin_address
        self.process_by_address[admin_address] = child, version or self.scenario.rig.version
        self.record_event("started", name, "" if keep else "empty folder")
        return child, admin_address, log

    def terminate_node(self, name: str, admin_address: Address) -> None:
        """Sends SIGTERM to the node's process at that admin address.

        If another process of the node is alive, it takes the place of the first.
        """
        child, _ = self.process_by_address[admin_address]
        child.send_signal(signal.SIGTERM)
        self.record_event("term", name, f"the process with its admin API at port {admin_address[1]}")
        self.tasks.spawn(self.kill_after_longest_deadline(child))
        if self.admin_addresses[name] == admin_address:
            for other, (process, _) in self.process_by_address.items():
                if other != admin_address and process.alive and process.name == name:
                    self.terminating.append(child)
                    self.children[name], self.admin_addresses[name] = process, other

    async def wait_until_ready(self, child: ChildProcess, admin_address: Address, log: Path) -> None:
        end = time.monotonic() + NODE_READY_TIMEOUT_S
        while (await call_admin(admin_address, "GET", "health"))[0] != 200:
            if not child.alive or time.monotonic() > end:
                raise FaultBenchError(f"{child.name}: did not become ready; see {log}")
            await asyncio.sleep(0.03)

    async def upgrade(self, node: int) -> None:
        """Starts a second process beside the first. Once it is ready the first gets SIGTERM, and SIGKILL when
        the longest deadline has passed."""
        name = f"node:{node}"
        old = self.admin_addresses[name]
        await self.start_node(name)
        self.terminate_node(name, old)

    async def kill_after_longest_deadline(self, child: ChildProcess) -> None:
        await asyncio.sleep(min(3.0, max(c.deadline_ms for c in self.scenario.classes) / 1000) + 0.7)
        await child.kill()

    # Faults of processes.

    async def kill(self, name: str) -> None:
        """Sends SIGKILL. Connections to the process are refused from then on, as its kernel would."""
        child = self.children[name]
        self.record_event("killed", name)
        await child.kill()
        await self.children["links"].call("down", callee=name)

    async def term(self, name: str) -> None:
        """Sends SIGTERM, and SIGKILL once the longest deadline (at most 3 s) and 0.7 s have passed."""
        child = self.children[name]
        self.record_event("term", name)
        child.send_signal(signal.SIGTERM)
        self.tasks.spawn(self.kill_after_longest_deadline(child))

    async def stop(self, name: str) -> None:
        self.record_event("stopped", name)
        self.children[name].send_signal(signal.SIGSTOP)

    async def go_on(self, name: str) -> None:
        self.children[name].send_signal(signal.SIGCONT)
        self.record_event("goes on", name)

    def needs_shim(self, name: str) -> bool:
        return any(f.of == name and f.name in ("clock", "disk") for f in self.scenario.rig.faults)

    def shim_path(self, name: str) -> Path:
        return self.folder / f"{name.replace(':', '-')}.shim.json"

    def write_shim_state(self, name: str, **changes: Any) -> None:
        """Updates the file that the shim in a node's process reads.

        The file is replaced atomically, because the shim may read it at any moment.
        """
        path, state = self.shim_path(name), {"folder": str(self.folder / name.replace(":", "-"))}
        if path.exists():
            state = json.loads(path.read_bytes())
        else:
            for fault in self.scenario.rig.faults:
                if fault.name == "clock" and fault.of == name and fault.at_s == 0:
                    size = fault.size if isinstance(fault.size, float | int) else fault.size[1]
                    changes["offset_s"] = -size if fault.way == "back" else size
        partial = path.with_suffix(".half")
        partial.write_text(json.dumps(state | changes))
        partial.replace(path)

    async def clock(self, name: str, offset_s: float) -> None:
        self.record_event("clock", name, f"off by {offset_s:g} s")
        self.write_shim_state(name, offset_s=offset_s)

    async def disk(self, name: str, state: str) -> None:
        self.record_event("disk", name, state or "well again")
        self.write_shim_state(name, disk=state)

    # Links, servers and discovery.

    async def fault(self, number: int, spec: dict[str, Any]) -> None:
        await self.children["links"].call("fault", number=number, spec=spec)

    async def heal(self, number: int, spec: dict[str, Any]) -> None:
        await self.children["links"].call("heal", number=number, spec=spec)

    async def set_server(self, server: int, **figures: Any) -> None:
        child = self.children[f"server:{server}"]
        if child.alive and not child.stopped:
            await child.call("set", **figures)

    async def announce(self, server: int, lifecycle: str, late_s: float) -> None:
        server_entry = list_entry(self.scenario, self.plan, server, lifecycle, unix_time_ms())
        await self.children["discovery"].call("announce", server=server, entry=server_entry, late_s=late_s)

    async def list_service(self, up: bool) -> None:
        await self.children["discovery"].call("up" if up else "down")

    async def misbehave(self, how: str, size: float) -> None:
        """Makes discovery misbehave in the given way; an empty `how` ends that."""
        await self.children["discovery"].call("misbehave", how=how, size=size)

    async def leave_server(self, server: int, late_s: float) -> None:
        self.record_event("leaves", f"server:{server}")
        await self.announce(server, "leaving", late_s)

    async def restart_server(self, server: int, down_s: float, version: str = "") -> None:
        """Kills a server's process and starts a cold one after `down_s`; discovery lists both late."""
        name, notice = f"server:{server}", self.plan.figures["discovery.notice_s"]
        self.versions[server] = version or self.versions[server]
        await self.children["links"].call("down", callee=name)
        self.record_event("killed", name)
        await self.children[name].kill()
        if down_s > notice:
            await self.announce(server, "left", notice)
        self.tasks.spawn(self.start_after(name, down_s))

    async def replace_server_process(self, server: int, version: str) -> None:
        """Kills a server's process and starts a cold one at once, as a release's restart command does."""
        name = f"server:{server}"
        self.versions[server] = version
        await self.children["links"].call("down", callee=name)
        self.record_event("killed", name)
        await self.children[name].kill()
        await self.start(name)

    async def start_after(self, name: str, delay: float) -> None:
        await asyncio.sleep(delay)
        await self.start(name)

    # Calls of operators to the admin API.

    async def call_admin_api(self, node: int, method: str, call: str, body: str = "") -> tuple[int, str]:
        """Calls a node's admin API as an operator does, and records the call and its response."""
        status, text = await call_admin(self.admin_addresses[f"node:{node}"], method, call, body)
        self.record_event(f"{call} {'yes' if 200 <= status < 300 else 'no'}", f"node:{node}", body or text)
        return status, text

    async def call_all_nodes(self, call: str, body: str) -> None:
        await asyncio.gather(
            *(self.call_admin_api(n, "POST", call, body) for n in range(len(self.plan.node_zones)))
        )

    async def cordon(self, server: int) -> None:
        self.record_event("cordon", f"server:{server}")
        await self.call_all_nodes("cordon", server_id(server))

    async def uncordon(self, server: int) -> None:
        self.record_event("uncordon", f"server:{server}")
        await self.call_all_nodes("uncordon", server_id(server))

    async def quiesce(self, node: int) -> None:
        await self.call_admin_api(node, "POST", "quiesce")

    async def resume(self, node: int) -> None:
        await self.call_admin_api(node, "POST", "resume")

    def record_event(self, what: str, whom: str, note: str = "") -> None:
        self.recorder.write(Happened(self.recorder.now(), what, whom, note=note))


def lock_loopback_address() -> tuple[socket.socket, str]:
    """Picks a loopback address that no other rig uses, and locks it by a bound socket, which is returned."""
    rng = random.SystemRandom()
    for _ in range(100):
        host = f"127.{rng.randint(64, 250)}.{rng.randint(1, 250)}.{rng.randint(1, 250)}"
        lock = socket.socket()
        try:
            lock.bind((host, ADDRESS_LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return lock, host
    raise FaultBenchError("found no unused loopback address")


def read_deploy_file() -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def build_node() -> None:
    """Runs the build command of the deploy file."""
    completed = subprocess.run(
        shell_command(read_deploy_file()["build"]), cwd=ROOT, capture_output=True, check=False
    )
    if completed.returncode:
        raise FaultBenchError(f"build: {completed.stderr.decode(errors='replace').strip().splitlines()[-1:]}")
