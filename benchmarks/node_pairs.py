"""Compares the CPU time per request and the memory of a node between two source trees.

From the root: .venv-dev/bin/python -B -m benchmarks.node_pairs TREE OTHER [PAIRS]. One node of
each tree runs, with its own discovery and twelve job servers that respond after 10 ms. A pair is one turn of
2.5 s for each node, and the order changes from pair to pair, so that other load on the machine affects both
nodes alike. In a turn, 8 clients send one request after the other with a pause of 40 ms. Prints for each
node the CPU time per request in microseconds, how many requests it refused, and its memory at the end.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

CLIENT_COUNT = 8
REQUESTS_PER_TURN = 50  # per client
RESPONSE_DELAY_S, CLIENT_PAUSE_S = 0.01, 0.04
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
REQUEST_HEAD = b"GET /find/k HTTP/1.1\r\nHost: x\r\nRequest-Id: %016x\r\nRequest-Timeout: 5000m\r\n\r\n"
SETTINGS = {
    "Allowed": {"MaxAttempts": 2, "DialTimeout": 1000.0, "ConnIdle": 30000.0, "MayCancel": True},
    "Classes": [{"Name": "find", "Aim": 500.0, "Deadline": 5000.0, "Idempotency": "free", "Worth": 1.0}],
    "Discovery": "ask",
    "Obligations": {"ColdFrom": 0.2, "RampTime": 1000.0},
    "Tick": 5.0,
}
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve_job_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(RESPONSE_DELAY_S)
            writer.write(RESPONSE)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def make_discovery_handler(servers: list[int]) -> ConnectionHandler:
    entries = [
        {"instanceId": f"s-{port}", "hostPort": f"127.0.0.1:{port}", "cell": 0, "lifecycle": "active"}
        for port in servers
    ]

    async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if b"watch" not in head:
            body = json.dumps({"generation": 1, "reset": True, "instances": entries}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with suppress(ConnectionError):
            while not reader.at_eof():
                writer.write(b"1\r\n\n\r\n")
                with suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1), 2)  # returns early only if the node disconnects
        writer.close()

    return handle_connection


async def start_server(handle_connection: ConnectionHandler) -> tuple[asyncio.Server, int]:
    server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
    return server, int(server.sockets[0].getsockname()[1])


async def send_requests(port: int, first_id: int, request_count: int) -> int:
    """Sends the requests of one client and returns how many were refused."""
    refused = 0
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for request_id in range(first_id, first_id + request_count):
        writer.write(REQUEST_HEAD % request_id)
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 200"):
            await reader.readexactly(4)
        else:
            refused += 1
        await asyncio.sleep(CLIENT_PAUSE_S)
    writer.close()
    return refused


def cpu_time_s(pid: int) -> float:
    """Returns the CPU time of a process in seconds, as the scheduler counts it."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def resident_mib(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


@asynccontextmanager
async def run_node(tree: Path) -> AsyncIterator[tuple[int, int]]:
    """Runs a node of a tree with its servers and discovery; yields its process id and its port."""
    servers = [await start_server(serve_job_requests) for _ in range(12)]
    discovery, discovery_port = await start_server(make_discovery_handler([port for _, port in servers]))
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        node_config = {"name": "n0", "seed": "1", "limits": limits, "settings": SETTINGS}
        json.dump(node_config | {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery_port}"}, file)
        file.flush()
        node = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "flaxstep.proxy" if (tree / "flaxstep" / "proxy").is_dir() else "badgercart",
            cwd=tree,
            env=os.environ | {"ROUTER_CONFIG": file.name},
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            assert node.stderr is not None
            port, has_list = 0, False
            while not (port and has_list):
                line = (await asyncio.wait_for(node.stderr.readline(), 10)).decode()
                has_list = has_list or "list 1" in line
                if "listens on" in line:
                    port = int(line.rpartition(":")[2])
            yield node.pid, port
        finally:
            node.terminate()
            await node.communicate()
            for server in (discovery, *(server for server, _ in servers)):
                server.close()


async def measure_turn(pid: int, port: int, first_id: int) -> tuple[float, int]:
    """Has all clients send to one node; returns CPU microseconds per request and refused requests."""
    cpu_before_s = cpu_time_s(pid)
    refused = await asyncio.gather(
        *(
            send_requests(port, first_id + i * REQUESTS_PER_TURN, REQUESTS_PER_TURN)
            for i in range(CLIENT_COUNT)
        )
    )
    return (cpu_time_s(pid) - cpu_before_s) / (CLIENT_COUNT * REQUESTS_PER_TURN) * 1e6, sum(refused)


async def main(trees: list[Path], pair_count: int) -> None:
    cpu_us_per_request: list[list[float]] = [[], []]
    refused, memory_mib = [0, 0], [0.0, 0.0]
    async with run_node(trees[0]) as first_node, run_node(trees[1]) as second_node:
        nodes = [first_node, second_node]
        for turn_number in range(pair_count + 1):
            for tree_index in (0, 1) if turn_number % 2 else (1, 0):
                cpu_us, newly_refused = await measure_turn(*nodes[tree_index], 1000 * turn_number)
                refused[tree_index] += newly_refused
                if turn_number:  # the first pair is warm-up
                    cpu_us_per_request[tree_index].append(cpu_us)
        memory_mib = [resident_mib(pid) for pid, _ in nodes]
    for tree_index, tree in enumerate(trees):
        quartile_1, median, quartile_3 = statistics.quantiles(cpu_us_per_request[tree_index])
        print(f"{tree}: {median:.0f} us a request (quartiles {quartile_1:.0f} to {quartile_3:.0f}), ", end="")
        print(f"{memory_mib[tree_index]:.1f} MiB, {refused[tree_index]} refused")
    quartile_1, median, quartile_3 = statistics.quantiles(
        a / b for a, b in zip(*cpu_us_per_request, strict=True)
    )
    print(
        f"CPU, first over second, {pair_count} pairs: median {median:.3f}, "
        f"quartiles {quartile_1:.3f} to {quartile_3:.3f}"
    )


if __name__ == "__main__":
    request_count = int(sys.argv[3]) if len(sys.argv) > 3 else 20
    asyncio.run(main([Path(p).resolve() for p in sys.argv[1:3]], request_count))
