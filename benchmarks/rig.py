"""Measures the fault bench itself: its overhead, its highest load, and what its plays leave behind.

From the root: .venv-lab/bin/python -B -m benchmarks.rig [PART...]. The parts are link (latency and CPU time
that a forwarder adds), start (time until 20 processes are ready), rate (rising request rates, up to one that
the fault bench distorts), ten (spread over ten plays of one seed) and again (processes, sockets and files
that two dozen plays leave behind). Needs an idle machine.
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

ROUND_TRIPS, PAIR_COUNT = 2000, 7
REQUEST_RATES = (400, 800, 1600, 2400, 3200, 4000, 4800, 5600)
# A farm without faults at low utilization with requests of 2 ms, so that any further delay comes from the
# fault bench or from a node.
WORK_MS, CORES_PER_SERVER, SERVER_COUNT = 2.0, 64, 9
SCENARIO_TEMPLATE = f"""
name = "quick"
length_s = 8
fleet = {{{{ nodes = 3, servers = {SERVER_COUNT}, zones = 3, server_skew = 0 }}}}
load = {{{{ of_capacity = {{load}}, swing = 0, quota_of_capacity = 1 }}}}
choke = {{{{ share = 0 }}}}
kinds = [{{{{ name = "w", share = 1, cores = {CORES_PER_SERVER}, speed_cv = 0, \
slots_per_core = 1, error_rate = 0 }}}}]
classes = [{{{{ name = "quick", share = 1, work_ms = {WORK_MS}, cv = 0, attempt_noise = 0, aim_ms = 200, \
deadline_ms = 800, worth = 1, effect = "unsafe" }}}}]
"""


def cpu_time_s(pid: int) -> float:
    """Returns the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def median_round_trip_us(host: str, port: int) -> float:
    """Returns the median time of a round trip of 300 bytes in microseconds."""
    reader, writer = await asyncio.open_connection(host, port)
    round_trips_us = []
    for _ in range(ROUND_TRIPS):
        started_s = time.perf_counter()
        writer.write(bytes(300))
        await reader.readexactly(300)
        round_trips_us.append(1e6 * (time.perf_counter() - started_s))
    writer.close()
    return statistics.median(round_trips_us)


async def measure_link(folder: Path) -> None:
    """Compares round trips to an echo server with and without a link in between."""
    address_claim, host = lock_loopback_address()

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
    added_us, cpu_us = [], []
    for _ in range(PAIR_COUNT):
        direct_us = await median_round_trip_us(host, 3)
        cpu_before_s = cpu_time_s(child.process.pid)
        added_us.append(await median_round_trip_us(host, 2) - direct_us)
        cpu_us.append(1e6 * (cpu_time_s(child.process.pid) - cpu_before_s) / ROUND_TRIPS)
    await child.kill()
    address_claim.close()
    print(
        f"link: adds {format_spread(added_us)} µs to a round trip, uses {format_spread(cpu_us)} µs of CPU; "
        f"{PAIR_COUNT} pairs"
    )


async def measure_start(folder: Path) -> None:
    """Measures how long 20 processes take to start: 14 servers, 3 nodes, links, discovery and front."""
    scenario = read_scenario(ROOT / "scenarios" / "demo.toml")
    scenario = msgspec.structs.replace(scenario, fleet=msgspec.structs.replace(scenario.fleet, servers=14))
    start_times_s = []
    for i in range(5):
        started_s = time.monotonic()
        async with Farm(scenario, Path(), i, folder / f"start-{i}") as farm:
            await farm.start_processes(clients=False)
            start_times_s.append(time.monotonic() - started_s)
            process_count = len(farm.children)
    print(f"start: {process_count} processes ready in {format_spread(start_times_s)} s; 5 starts")


async def measure_rates(folder: Path) -> None:
    """Raises the request rate of a farm with ample capacity until the fault bench limits it."""
    for target_rate in REQUEST_RATES:
        path = folder / f"rate-{target_rate}.toml"
        path.write_text(
            SCENARIO_TEMPLATE.format(load=target_rate * WORK_MS / (1000 * CORES_PER_SERVER * SERVER_COUNT))
        )
        scenario = read_scenario(path)
        await play(scenario, path, 1, folder / f"rate-{target_rate}")
        result = judge_play(scenario, 1, folder / f"rate-{target_rate}")
        latency_ms = result.latency_ms["quick"]
        print(
            f"rate: {result.first_tries / (result.seconds - 1):.0f} a second: served "
            f"{result.verdict.served:.4f}, p50 {latency_ms['p50']:.2f} ms, p99 {latency_ms['p99']:.2f} ms, "
            f"clients late by {result.lateness_ms['p99']:.2f} ms, broken {result.broken}",
            flush=True,
        )


async def measure_repeats(folder: Path) -> None:
    """Plays one seed of the hand-drain scenario ten times and prints the spread of the results."""
    path = ROOT / "scenarios" / "hand-drain.toml"
    scenario = read_scenario(path)
    served_worth, g_values = [], []
    for i in range(10):
        await play(scenario, path, 3, folder / f"ten-{i}")
        result = judge_play(scenario, 3, folder / f"ten-{i}")
        served_worth.append(result.verdict.served)
        g_values.append(result.verdict.g)
        print(
            f"ten: worth served {served_worth[-1]:.4f}, G {g_values[-1]:.4f}, broken {result.broken}",
            flush=True,
        )
    for name, values in (("worth served", served_worth), ("G", g_values)):
        print(f"ten: {name} {statistics.mean(values):.4f}, deviation {statistics.stdev(values):.4f}")


def collect_leftovers() -> tuple[set[str], set[str], set[str], int]:
    """Returns fault bench processes, sockets listening outside 127.0.0.1, temp files, own descriptors."""
    processes = set()
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        with suppress(OSError):
            command_line = path.read_bytes().replace(b"\0", b" ").decode(errors="replace")
            if "flaxstep.faultbench." in command_line or "flaxstep.proxy" in command_line:
                processes.add(f"{path.parent.name} {command_line}")
    lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    listening = {line[1] for line in lines if line[3] == "0A" and not line[1].startswith("0100007F")}
    files = {path.name for path in Path(tempfile.gettempdir()).iterdir()}
    return processes, listening, files, len(os.listdir("/proc/self/fd"))


async def measure_leftovers(folder: Path) -> None:
    """Runs two dozen short plays in a row and prints what they leave behind."""
    path = folder / "again.toml"
    load = REQUEST_RATES[0] * WORK_MS / (1000 * CORES_PER_SERVER * SERVER_COUNT)
    path.write_text(SCENARIO_TEMPLATE.format(load=load).replace("length_s = 8", "length_s = 2"))
    scenario = read_scenario(path)
    await play(scenario, path, 0, folder / "again-0")  # opens descriptors that the event loop keeps
    leftovers_before = collect_leftovers()
    broken_rules = 0
    for i in range(24):
        await play(scenario, path, i, folder / f"again-{i + 1}")
        broken_rules += judge_play(scenario, i, folder / f"again-{i + 1}").broken
    leftovers_after = collect_leftovers()
    new_leftovers = [
        sorted(after - before)
        for after, before in zip(leftovers_after[:3], leftovers_before[:3], strict=True)
    ]
    print(
        f"again: 24 plays, broken {broken_rules}; left behind: processes {new_leftovers[0]}, "
        f"listening sockets {new_leftovers[1]}, "
    )
    print(f"again: files {new_leftovers[2]}, own descriptors {leftovers_after[3] - leftovers_before[3]}")


def format_spread(values: list[float]) -> str:
    return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


MEASUREMENTS = {
    "link": measure_link,
    "start": measure_start,
    "rate": measure_rates,
    "ten": measure_repeats,
    "again": measure_leftovers,
}


def main() -> None:
    build_node()
    with tempfile.TemporaryDirectory() as folder:
        for name in sys.argv[1:] or MEASUREMENTS:
            uvloop.run(MEASUREMENTS[name](Path(folder)))


if __name__ == "__main__":
    main()
