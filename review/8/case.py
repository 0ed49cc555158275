"""Bad clients send much at once behind the head of a chunked request; the node is killed for memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
import standins as s

MEMORY_MB = 64  # TERMS: between 32 and 192 MB
BAD_CLIENTS = 12
BAD_BYTES = 60_000_000  # TERMS: "if there is 60 MB to send"
DURATION_S = 12.0
CLIENT_RATE = 20.0
# A chunked request whose body is over; what follows is one header line of a trailer that never ends.
BAD_HEAD = (
    s.build_request("submit-build", "bad-%d", 1200, "Transfer-Encoding: chunked", body=b"").replace(
        b"Content-Length: 0\r\n", b""
    )
    + b"0\r\nX-Trailer: "
)
# Without the disruption the same clients send the same number of bytes, at the same time, in proper requests.
GOOD_BODY = b"x" * 60_000


async def bad_client(node: s.Node, number: int, record: s.Record) -> None:
    """Sends until it has written BAD_BYTES or the node ends the connection."""
    sent, began = 0, s.now()
    try:
        reader, writer = await asyncio.open_connection(*node.address)
        try:
            writer.write(BAD_HEAD.replace(b"%d", b"%d" % number))
            while sent < BAD_BYTES and not reader.at_eof():
                writer.write(b"a" * 65536)
                sent += 65536
                await writer.drain()
        finally:
            writer.transport.abort()
    except OSError:
        pass
    record.write("bad_client", number=number, bytes=sent, ended_after=s.now() - began)


async def proper_client(node: s.Node, number: int, record: s.Record) -> None:
    """The same number of bytes as a bad client's, in proper requests."""
    sent = 0
    while sent < BAD_BYTES and node.running:
        answered = await s.send_one(
            node, "submit-build", f"large-{number}-{sent}", 1200, record, body=GOOD_BODY
        )
        sent += len(GOOD_BODY)
        if s.now() > 40 or not answered.status:
            break


async def case(record: s.Record) -> bool:
    platform = s.Platform(record)
    servers = [s.JobServer(f"s-{n}", record, 0.001) for n in range(3)]
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
    results: list[s.Answered] = []
    try:
        node = platform.start_node(config, listen, admin)
        await platform.wait_ready(node)
        record.write("memory_at_start", mb=node.memory_mb())
        watcher = asyncio.create_task(platform.watch_memory(node, MEMORY_MB))
        began, tasks, others = s.now(), [], []
        while s.now() - began < DURATION_S:
            number = len(tasks)
            tasks.append(asyncio.create_task(s.send_one(node, "submit-build", f"r-{number}", 1200, record)))
            if number == int(2 * CLIENT_RATE):
                client = bad_client if s.TROUBLE else proper_client
                others = [asyncio.create_task(client(node, n, record)) for n in range(BAD_CLIENTS)]
            if not node.running:
                break
            await asyncio.sleep(1 / CLIENT_RATE)
        results = list(await asyncio.gather(*tasks))
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        crashed = not node.running
        watcher.cancel()
        record.say(
            f"peak memory {node.peak_mb:.0f} MB of {MEMORY_MB}; killed for memory: {node.killed_for_memory}; "
            f"requests without an answer: {sum(not each.status for each in results)} of {len(results)}"
        )
        return crashed
    finally:
        await platform.stop_all()


if __name__ == "__main__":
    s.main(case, Path(__file__).resolve().parent)
