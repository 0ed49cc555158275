"""Clients rest after a request of full length; the node keeps each body and is killed for memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import standins as s

MEMORY_MB, DESCRIPTORS = 64, 1024  # TERMS: 32 to 192 MB, 256 to 1,024 descriptors
CLIENTS = 700  # one request each, one client after the other, a hundred a second
BODY = b"x" * 65536  # PROTOCOL: a body holds at most 64 KiB


async def client(node: s.Node, number: int, record: s.Record, over: asyncio.Event) -> int:
    """Sends one request, and then rests on the connection until the node or the case ends it."""
    try:
        reader, writer = await asyncio.open_connection(*node.address)
        try:
            writer.write(s.build_request("submit-build", f"r-{number}", 1200, body=BODY))
            status = s.status_of(await s.read_message(reader, True))
            record.write("answer", id=f"r-{number}", status=status)
            if s.TROUBLE:
                ends = {asyncio.create_task(over.wait()), asyncio.create_task(reader.read(1))}
                _, others = await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
                for other in others:
                    other.cancel()
            return status
        finally:
            writer.close()
    except (OSError, asyncio.IncompleteReadError) as error:
        record.write("answer", id=f"r-{number}", status=0, error=type(error).__name__)
        return 0


async def case(record: s.Record) -> bool:
    platform = s.Platform(record)
    servers = [s.JobServer(f"s-{n}", record, 0.04) for n in range(3)]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, [server.entry(cell=n) for n, server in enumerate(servers)])
    await discovery.start()
    listen, admin = s.free_port(), s.free_port()
    config = platform.write_config(
        discovery.port,
        {
            "settings": s.settings(s.farm_classes()),
            "known": discovery.whole_list(),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
        },
        listen,
        admin,
    )
    try:
        node = platform.start_node(config, listen, admin)
        await platform.wait_ready(node)
        record.write("memory_at_start", mb=node.memory_mb())
        watcher = asyncio.create_task(platform.watch_memory(node, MEMORY_MB))
        over, tasks = asyncio.Event(), []
        for number in range(CLIENTS):
            tasks.append(asyncio.create_task(client(node, number, record, over)))
            await asyncio.sleep(0.01)
            if number % 100 == 99:
                record.write("memory", clients=number + 1, mb=node.memory_mb())
            if not node.running:
                break
        await asyncio.sleep(2.0)
        crashed = not node.running
        over.set()
        statuses = await asyncio.gather(*tasks)
        watcher.cancel()
        record.say(
            f"{len(statuses)} requests, answered 200: {statuses.count(200)}, not answered: "
            f"{statuses.count(0)}; peak memory {node.peak_mb:.0f} MB of {MEMORY_MB}; killed for memory: "
            f"{node.killed_for_memory}"
        )
        return crashed
    finally:
        await platform.stop_all()


if __name__ == "__main__":
    s.main(case, Path(__file__).resolve().parent)
