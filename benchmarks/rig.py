"""What the rig itself costs and carries.

From the root: .venv-lab/bin/python -B -m benchmarks.rig [PART...], of link (what a forwarder adds, in pairs),
start (of 20 processes), rate (until the rig distorts), ten (plays of one seed) and again (what two dozen
leave behind). Needs an idle machine.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from flaxstep.faultbench.child_process import ROOT, ChildProcess
from flaxstep.faultbench.farm import Farm, build_node, lock_loopback_address
from flaxstep.faultbench.result import judge_play
from flaxstep.faultbench.runner import play
from flaxstep.simulator.scenario import read_scenario

ROUNDS, PAIRS = 2000, 7
RATES = (400, 800, 1600, 2400, 3200, 4000, 4800, 5600)
# A calm farm whose requests take 2 ms and fill a small part of it, so that any wait is the rig's or a node's.
WORK, CORES, SERVERS = 2.0, 64, 9
QUICK = f"""
name = "quick"
length_s = 8
fleet = {{{{ nodes = 3, servers = {SERVERS}, zones = 3, server_skew = 0 }}}}
load = {{{{ of_capacity = {{load}}, swing = 0, quota_of_capacity = 1 }}}}
choke = {{{{ share = 0 }}}}
kinds = [{{{{ name = "w", share = 1, cores = {CORES}, speed_cv = 0, slots_per_core = 1, error_rate = 0 }}}}]
classes = [{{{{ name = "quick", share = 1, work_ms = {WORK}, cv = 0, attempt_noise = 0, aim_ms = 200, \
deadline_ms = 800, worth = 1, effect = "unsafe" }}}}]
"""


def cpu_s(pid: int) -> float:
    """Processor time of a process so far, s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def rounds(host: str, port: int) -> float:
    """Median time of a round trip of 300 bytes, µs."""
    reader, writer = await asyncio.open_connection(host, port)
    took = []
    for _ in range(ROUNDS):
        begun = time.perf_counter()
        writer.write(bytes(300))
        await reader.readexactly(300)
        took.append(1e6 * (time.perf_counter() - begun))
    writer.close()
    return statistics.median(took)


async def link(folder: Path) -> None:
    """An echo called directly and through a link, in turn."""
    held, host = lock_loopback_address()

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            writer.write(data)

    await asyncio.start_server(echo, host, 3)
    spec: dict[str, Any] = {
        "caller": "node:0", "callee": "server:0", "caller_names": ["node:0"], "callee_names": ["server:0"],
        "listen": (host, 2), "target": (host, 3), "noted": True, "delay": 0.0, "jitter": 0.0,
    }  # fmt: skip
    config = {"seed": 1, "t0": time.monotonic(), "record": str(folder / "links.jsonl")}
    config |= {"links": [spec], "down": []}
    child = await ChildProcess.start_service("links", "links", config, folder)
    added, used = [], []
    for _ in range(PAIRS):
        direct = await rounds(host, 3)
        before = cpu_s(child.process.pid)
        added.append(await rounds(host, 2) - direct)
        used.append(1e6 * (cpu_s(child.process.pid) - before) / ROUNDS)
    await child.kill()
    held.close()
    print(f"link: adds {spread(added)} µs to a round trip, uses {spread(used)} µs of CPU; {PAIRS} pairs")


async def start(folder: Path) -> None:
    """The start of 20 processes: 14 servers, 3 nodes, links, discovery, front."""
    scenario = read_scenario(ROOT / "scenarios" / "demo.toml")
    scenario = msgspec.structs.replace(scenario, fleet=msgspec.structs.replace(scenario.fleet, servers=14))
    took = []
    for i in range(5):
        begun = time.monotonic()
        async with Farm(scenario, Path(), i, folder / f"start-{i}") as farm:
            await farm.start_processes(clients=False)
            took.append(time.monotonic() - begun)
            count = len(farm.children)
    print(f"start: {count} processes ready in {spread(took)} s; 5 starts")


async def rate(folder: Path) -> None:
    """More and more requests to a farm that could serve many times as many: what the rig keeps back."""
    for wanted in RATES:
        path = folder / f"rate-{wanted}.toml"
        path.write_text(QUICK.format(load=wanted * WORK / (1000 * CORES * SERVERS)))
        scenario = read_scenario(path)
        await play(scenario, path, 1, folder / f"rate-{wanted}")
        result = judge_play(scenario, 1, folder / f"rate-{wanted}")
        took = result.latency_ms["quick"]
        print(
            f"rate: {result.first_tries / (result.seconds - 1):.0f} a second: served "
            f"{result.verdict.served:.4f}, p50 {took['p50']:.2f} ms, p99 {took['p99']:.2f} ms, "
            f"clients late by {result.lateness_ms['p99']:.2f} ms, broken {result.broken}",
            flush=True,
        )


async def ten(folder: Path) -> None:
    """Ten plays of one seed of the farm's hand+drain."""
    path = ROOT / "scenarios" / "hand-drain.toml"
    scenario = read_scenario(path)
    worth, g = [], []
    for i in range(10):
        await play(scenario, path, 3, folder / f"ten-{i}")
        result = judge_play(scenario, 3, folder / f"ten-{i}")
        worth.append(result.verdict.served)
        g.append(result.verdict.g)
        print(f"ten: worth served {worth[-1]:.4f}, G {g[-1]:.4f}, broken {result.broken}", flush=True)
    for name, values in (("worth served", worth), ("G", g)):
        print(f"ten: {name} {statistics.mean(values):.4f}, deviation {statistics.stdev(values):.4f}")


def left_behind() -> tuple[set[str], set[str], set[str], int]:
    """Processes of rigs, listening sockets but those at 127.0.0.1, temporary files; own descriptors."""
    processes = set()
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        with suppress(OSError):
            words = path.read_bytes().replace(b"\0", b" ").decode(errors="replace")
            if "flaxstep.faultbench." in words or "flaxstep.proxy" in words:
                processes.add(f"{path.parent.name} {words}")
    lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    listening = {line[1] for line in lines if line[3] == "0A" and not line[1].startswith("0100007F")}
    files = {path.name for path in Path(tempfile.gettempdir()).iterdir()}
    return processes, listening, files, len(os.listdir("/proc/self/fd"))


async def again(folder: Path) -> None:
    """Two dozen short plays in a row: what they leave behind."""
    path = folder / "again.toml"
    load = RATES[0] * WORK / (1000 * CORES * SERVERS)
    path.write_text(QUICK.format(load=load).replace("length_s = 8", "length_s = 2"))
    scenario = read_scenario(path)
    await play(scenario, path, 0, folder / "again-0")  # what stays open from the first is the loop's own
    before = left_behind()
    broken = 0
    for i in range(24):
        await play(scenario, path, i, folder / f"again-{i + 1}")
        broken += judge_play(scenario, i, folder / f"again-{i + 1}").broken
    after = left_behind()
    left = [sorted(now - then) for now, then in zip(after[:3], before[:3], strict=True)]
    print(
        f"again: 24 plays, broken {broken}; left behind: processes {left[0]}, listening sockets {left[1]}, "
    )
    print(f"again: files {left[2]}, own descriptors {after[3] - before[3]}")


def spread(values: list[float]) -> str:
    return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


PARTS = {"link": link, "start": start, "rate": rate, "ten": ten, "again": again}


def main() -> None:
    build_node()
    with tempfile.TemporaryDirectory() as folder:
        for part in sys.argv[1:] or PARTS:
            uvloop.run(PARTS[part](Path(folder)))


if __name__ == "__main__":
    main()
