"""One bad client sends 60 MB and reads nothing; does the node stay inside its memory limit?

The platform's part is played here: over `memory_mb` the node is killed (DEPLOY-flaxstep.md, Limits).
"""

import asyncio
import subprocess
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import CannotRun, Discovery, JobServer, Load, Node, Processes, Record, now, play  # noqa: E402

MEMORY_MB, SOCKETS = 128, 1024  # as in REPORTS, inc4421; TERMS has 32 to 192 MB
MEGABYTES = 60  # TERMS speaks of a peer with 60 MB to send
PLAY_S = 75.0


async def case(record: Record, processes: Processes, trouble: bool) -> bool:
    servers = [JobServer(f"s-{i}", record) for i in range(4)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.start()
    node = Node(
        processes, record, "n0", discovery.port, discovery.whole(), memory_mb=MEMORY_MB, sockets=SOCKETS
    )
    node.start()
    peak, killed_at, peer = 0.0, 0.0, None
    try:
        await node.wait_ready()
        load = Load(node.port, record, rate=10, timeout_ms=480.0)
        clients = asyncio.create_task(load.run(PLAY_S))
        await asyncio.sleep(3)
        record.say(f"the node's memory before: {node.rss_mb():.0f} MB")
        begin = now()
        if trouble:
            command = [
                sys.executable,
                "-B",
                str(HERE / "unread_peer.py"),
                str(node.port),
                str(MEGABYTES),
                "70",
            ]
            peer = processes.start(command, stdout=subprocess.PIPE)
            record.say(f"a bad client connects: it has {MEGABYTES} MB to send and reads no answer")
        next_line = begin
        while not clients.done():
            resident = node.rss_mb()
            peak = max(peak, resident)
            if now() >= next_line:
                record.line(f"the node's memory: {resident:.0f} MB")
                next_line += 2
            if node.process.poll() is not None:
                raise CannotRun(f"the node has ended by itself: {node.process.returncode}")
            if resident > MEMORY_MB:
                node.process.kill()
                killed_at = now()
                record.say(f"the platform kills the node: {resident:.0f} MB, {killed_at - begin:.1f} s after")
                break
            await asyncio.sleep(0.02)
        if killed_at:
            await asyncio.sleep(1)
            clients.cancel()
        await load.finish()
        if peer is not None:
            output, _ = await asyncio.to_thread(peer.communicate, timeout=20)
            record.say(f"the bad client: {output.decode().strip()}")
    finally:
        node.remove_files()
    outcomes = Counter(each.outcome for each in load.tries)
    record.say(f"{len(load.tries)} requests of proper clients: {dict(outcomes)}")
    record.say(f"most memory: {peak:.0f} of {MEMORY_MB} MB; {'killed' if killed_at else 'not killed'}")
    return not killed_at


play(case, HERE)
