"""A job server spoils answers with a header line that does not end; the node is killed for memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import standins as s

MEMORY_MB = 64  # TERMS: between 32 and 192 MB
SPOILT_BYTES = 32_000_000  # DAYS: "answers and bodies reach 32 MB, many at a time"
DURATION_S = 10.0
TROUBLE_AT_S = 2.0
CLIENT_RATE = 100.0


async def case(record: s.Record) -> bool:
    platform = s.Platform(record)
    servers = [s.JobServer(f"s-{n}", record, 0.03) for n in range(3)]
    spoilt = 0

    async def spoil(message: s.Message, writer: asyncio.StreamWriter) -> None:
        """An answer that never ends: a sound start, then one header line without an end."""
        nonlocal spoilt
        if s.now() - began < TROUBLE_AT_S:
            await asyncio.sleep(0.03)
            writer.write(servers[0].good_answer(message.headers["request-id"]))
            return
        spoilt += 1
        if not s.TROUBLE:  # whole answers in good form, the first ten of that length
            writer.write(s.response("200 OK", b"x" * (SPOILT_BYTES if spoilt <= 10 else 200)))
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nX-Padding: ")
        sent = 0
        while sent < SPOILT_BYTES:
            writer.write(b"a" * 65536)
            sent += 65536
            await writer.drain()
        await asyncio.sleep(5)  # and says no more

    servers[0].answer = spoil
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
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512},
        },
        listen,
        admin,
    )
    began = s.now()
    try:
        node = platform.start_node(config, listen, admin)
        await platform.wait_ready(node)
        record.write("memory_at_start", mb=node.memory_mb())
        watcher = asyncio.create_task(platform.watch_memory(node, MEMORY_MB))
        began, tasks = s.now(), []
        while s.now() - began < DURATION_S and node.running:
            name = f"r-{len(tasks)}"
            tasks.append(asyncio.create_task(s.send_one(node, "submit-build", name, 1200, record)))
            await asyncio.sleep(1 / CLIENT_RATE)
        results = list(await asyncio.gather(*tasks))
        crashed = not node.running
        watcher.cancel()
        record.say(
            f"spoilt answers begun: {spoilt}; peak memory {node.peak_mb:.0f} MB of {MEMORY_MB}; killed for "
            f"memory: {node.killed_for_memory}; requests without an answer: "
            f"{sum(not each.status for each in results)} of {len(results)}"
        )
        return crashed
    finally:
        await platform.stop_all()


if __name__ == "__main__":
    s.main(case, Path(__file__).resolve().parent)
