"""CPU and memory that a node takes for a request, of two trees in pairs.

From the root: .venv-dev/bin/python -B -m benchmarks.node_pairs TREE OTHER [PAIRS]. A node of either tree
runs, each with a discovery of its own and twelve job servers that answer after 10 ms. They are asked in turn,
2.5 s each, and who was first in a pair is second in the next: what the machine does to one in that time it
mostly does to both. 8 clients ask one request after the other, 40 ms apart. Told are microseconds of the
node's processor time a request, how many of them were refused, and its resident memory at the end.
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

CLIENTS = 8
TURN = 50  # requests of each client in a turn
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
        with suppress(ConnectionError):
            while not reader.at_eof():
                writer.write(b"1\r\n\n\r\n")
                with suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1), 2)  # nothing comes but the node's end
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
    """Seconds of processor time so far, as the scheduler counts them."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def resident(pid: int) -> float:
    """MiB in memory now."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


@asynccontextmanager
async def running(tree: Path) -> AsyncIterator[tuple[int, int]]:
    """A node of a tree with all that it needs: its process id, and the port that it listens at."""
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
            "flaxstep.proxy" if (tree / "flaxstep" / "proxy").is_dir() else "badgercart",
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
            yield node.pid, port
        finally:
            node.terminate()
            await node.communicate()
            for server in (agent, *(server for server, _ in servers)):
                server.close()


async def turn(pid: int, port: int, first: int) -> tuple[float, int]:
    """All clients ask one node: microseconds a request, and requests refused."""
    before = spent(pid)
    refused = await asyncio.gather(*(ask(port, first + i * TURN, TURN) for i in range(CLIENTS)))
    return (spent(pid) - before) / (CLIENTS * TURN) * 1e6, sum(refused)


async def main(trees: list[Path], pairs: int) -> None:
    cpu: list[list[float]] = [[], []]
    refused, memory = [0, 0], [0.0, 0.0]
    async with running(trees[0]) as one, running(trees[1]) as other:
        nodes = [one, other]
        for number in range(pairs + 1):
            for which in (0, 1) if number % 2 else (1, 0):
                each, more = await turn(*nodes[which], 1000 * number)
                refused[which] += more
                if number:  # the first is to warm them
                    cpu[which].append(each)
        memory = [resident(pid) for pid, _ in nodes]
    for which, tree in enumerate(trees):
        low, middle, high = statistics.quantiles(cpu[which])
        print(f"{tree}: {middle:.0f} us a request (quartiles {low:.0f} to {high:.0f}), ", end="")
        print(f"{memory[which]:.1f} MiB, {refused[which]} refused")
    low, middle, high = statistics.quantiles(a / b for a, b in zip(*cpu, strict=True))
    print(f"CPU, first over second, {pairs} pairs: median {middle:.3f}, quartiles {low:.3f} to {high:.3f}")


if __name__ == "__main__":
    count = int(sys.argv[3]) if len(sys.argv) > 3 else 20
    asyncio.run(main([Path(p).resolve() for p in sys.argv[1:3]], count))
