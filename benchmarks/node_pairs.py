"""CPU and memory that a node takes for a request, of two trees in pairs.

From the root: .venv-dev/bin/python -B -m benchmarks.node_pairs TREE OTHER [PAIRS [REQUESTS]]. For each pair a
node of either tree runs alone, with a discovery and twelve job servers beside it that answer after 10 ms; 8
clients ask it one request after the other, 40 ms apart. Told are microseconds of the node's processor time a
request, how many of them were refused, and its resident memory.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

CLIENTS = 8
WORK, REST = 0.01, 0.04  # s that an answer takes, and between two requests of a client
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
ASK = b"GET /find/k HTTP/1.1\r\nHost: x\r\nRequest-Id: %016x\r\nRequest-Timeout: 5000m\r\n\r\n"
SETTINGS = {
    "Allowed": {"MaxAttempts": 2, "DialTimeout": 1000.0, "ConnIdle": 30000.0, "MayCancel": True},
    "Classes": [{"Name": "find", "Aim": 500.0, "Deadline": 5000.0, "Idempotency": "free", "Worth": 1.0}],
    "Discovery": "ask",
    "Obligations": {"ColdFrom": 0.2, "RampTime": 1000.0},
    "Tick": 5.0,
}
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def job_server(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(WORK)
            writer.write(ANSWER)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def discovery(servers: list[int]) -> Serve:
    entries = [
        {"instanceId": f"s-{port}", "hostPort": f"127.0.0.1:{port}", "cell": 0, "lifecycle": "active"}
        for port in servers
    ]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if b"watch" not in head:
            body = json.dumps({"generation": 1, "reset": True, "instances": entries}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while True:
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
                await asyncio.sleep(2)
        except ConnectionError:
            writer.close()

    return serve


async def listen(serve: Serve) -> tuple[asyncio.Server, int]:
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, int(server.sockets[0].getsockname()[1])


async def ask(port: int, first: int, count: int) -> int:
    """One client's requests; how many were refused."""
    refused = 0
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for number in range(first, first + count):
        writer.write(ASK % number)
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 200"):
            await reader.readexactly(4)
        else:
            refused += 1
        await asyncio.sleep(REST)
    writer.close()
    return refused


def spent(pid: int) -> float:
    """Seconds of processor time so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> float:
    """MiB in memory now."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


async def play(tree: Path, requests: int) -> tuple[float, float, int]:
    """Microseconds a request, MiB at the end, and requests refused."""
    servers = [await listen(job_server) for _ in range(12)]
    agent, agent_port = await listen(discovery([port for _, port in servers]))
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        known = {"name": "n0", "seed": "1", "limits": limits, "settings": SETTINGS}
        json.dump(known | {"listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{agent_port}"}, file)
        file.flush()
        node = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "badgercart",
            cwd=tree,
            env=os.environ | {"ROUTER_CONFIG": file.name},
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            assert node.stderr is not None
            port, listed = 0, False
            while not (port and listed):
                line = (await asyncio.wait_for(node.stderr.readline(), 10)).decode()
                listed = listed or "list 1" in line
                if "listens on" in line:
                    port = int(line.rpartition(":")[2])
            await asyncio.gather(*(ask(port, 100 * i, 50) for i in range(CLIENTS)))  # warm
            before = spent(node.pid)
            share = requests // CLIENTS
            refused = await asyncio.gather(*(ask(port, 1000 + i * share, share) for i in range(CLIENTS)))
            cpu = (spent(node.pid) - before) / (share * CLIENTS) * 1e6
            return cpu, resident(node.pid), sum(refused)
        finally:
            node.terminate()
            await node.communicate()
            for server in (agent, *(server for server, _ in servers)):
                server.close()


async def main(trees: list[Path], pairs: int, requests: int) -> None:
    told: list[list[tuple[float, float, int]]] = [[], []]
    for _ in range(pairs):
        for figures, tree in zip(told, trees, strict=True):
            figures.append(await play(tree, requests))
    for figures, tree in zip(told, trees, strict=True):
        cpu, memory, refused = zip(*figures, strict=True)
        low, middle, high = min(cpu), statistics.median(cpu), max(cpu)
        print(f"{tree}: {middle:.0f} us a request ({low:.0f} to {high:.0f}), ", end="")
        print(f"{statistics.median(memory):.1f} MiB, {sum(refused)} refused")
    ratios = [first[0] / second[0] for first, second in zip(*told, strict=True)]
    low, middle, high = min(ratios), statistics.median(ratios), max(ratios)
    print(f"CPU, first over second: median {middle:.3f}, {low:.3f} to {high:.3f}")


if __name__ == "__main__":
    counts = [int(text) for text in sys.argv[3:5]]
    asyncio.run(main([Path(p).resolve() for p in sys.argv[1:3]], *(counts + [6, 1600][len(counts) :])))
