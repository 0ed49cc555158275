"""Case 3: a killed node comes back while discovery is crowded; does it send to drained job servers?"""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import (  # noqa: E402
    CannotRun,
    Client,
    Discovery,
    JobServer,
    Load,
    Node,
    Processes,
    Record,
    now,
    play,
)

SERVERS, LEAVING = 9, 3
OTHERS = 199  # nodes that are killed at the same time: stand-ins that only call discovery
CALL_TAKES_S = 0.5  # of discovery's time, each
CALL_WAITS_S = 3.0  # farma-krakow: discovery's timeout_ms = 3000; then the call ends with 503
DRAIN_AT_S = 1.0  # after the node is back
TOLD_AFTER_S = 6.0  # STANDING: told at the latest 6 s after discovery had it and could be reached
GRACE_S = 0.5 + 0.05  # DrainGrace, and 50 ms for sockets
SERVER_ENDS_S = 8.0  # after the listing: 6 s, the grace and the longest deadline (1.2 s) are over at 7.75 s
TIMEOUT_MS = 1200.0


class BusyDiscovery(Discovery):
    """One service for all nodes: works calls in turn, and ends a call that has waited too long with 503."""

    def __init__(self, record: Record, entries: list[dict[str, object]]) -> None:
        super().__init__(record, entries)
        self.turn = asyncio.Lock()  # fair: first come, first served

    async def admit(self, number: int, path: str, writer: asyncio.StreamWriter) -> bool:
        try:
            async with asyncio.timeout(CALL_WAITS_S):
                await self.turn.acquire()
        except TimeoutError:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            self.record.line(f"discovery: call {number} has waited {CALL_WAITS_S:.0f} s and ends with 503")
            return False
        try:
            await asyncio.sleep(CALL_TAKES_S)
        finally:
            self.turn.release()
        self.record.line(f"discovery: call {number} is answered")
        return True


async def other_node(port: int, watching: list[Client]) -> None:
    """The call for a watch of another node that was killed too, repeated as this program does."""
    await asyncio.sleep(random.uniform(0.05, 0.35))  # its start: 0.2 s on the bench
    delay = 0.05
    while True:
        client = await Client.connect(port)
        client.writer.write(b"GET /catalog/members?watch=1&from=41 HTTP/1.1\r\nHost: discovery\r\n\r\n")
        head = await client.reader.readuntil(b"\r\n\r\n")
        if b" 200 " in head:
            watching.append(client)
            return
        client.close()
        await asyncio.sleep(delay * random.uniform(0.5, 1.5))
        delay = min(2 * delay, 1.0)


async def case(record: Record, processes: Processes, trouble: bool) -> bool:
    servers = [JobServer(f"s-{i}", record, work_s=0.045) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = BusyDiscovery(record, [server.entry() for server in servers])
    await discovery.start()
    nodes = [
        Node(processes, record, f"n{i}", discovery.port, discovery.whole(), group=(2, i)) for i in range(2)
    ]
    try:
        for node in nodes:
            node.start()
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(1)
        watching: list[Client] = []
        others = []
        if trouble:
            others = [asyncio.create_task(other_node(discovery.port, watching)) for _ in range(OTHERS)]
            record.say(f"{OTHERS} other nodes are killed too, come back and call discovery")
        nodes[1].process.kill()
        await asyncio.to_thread(nodes[1].process.wait)
        record.say("n1 was killed; it is started again with the list that it last had")
        nodes[1].start()
        await nodes[1].wait_ready()
        loads = [Load(node.port, record, 100, TIMEOUT_MS) for node in nodes]
        clients = [asyncio.create_task(load.run(12, f"n{i}-")) for i, load in enumerate(loads)]
        await asyncio.sleep(DRAIN_AT_S)
        listed_at = now()
        for server in servers[:LEAVING]:
            discovery.change(server.entry("leaving"))
        await asyncio.sleep(listed_at + SERVER_ENDS_S - now())
        under_way = [run for server in servers[:LEAVING] for run in server.under_way.values()]
        for server in servers[:LEAVING]:
            server.stop()
        record.say(
            f"the drained job servers end, {now() - listed_at:.2f} s after they were listed as leaving"
        )
        await asyncio.gather(*clients)
        for load in loads:
            await load.finish()
        for other in others:
            other.cancel()
        record.say(f"{len(watching)} of the other nodes have got their watch by the end")
    finally:
        for node in nodes:
            node.remove_files()
    if max(load.worst_lag_s for load in loads) > 0.2:
        raise CannotRun("the clients were late: the machine is too busy")
    late = []
    for server in servers[:LEAVING]:
        for began, request_id, _, _ in server.runs + under_way:
            # n0 was told at once, by its watch; n1 counts as told 6 s after discovery had the change
            told = listed_at + (TOLD_AFTER_S if request_id.startswith("n1-") else 0.0)
            if began > told + GRACE_S and (began, request_id) not in late:
                late.append((began, request_id))
    for began, request_id in sorted(late)[:6]:
        record.say(
            f"late: {request_id} came {began - listed_at:.2f} s after its job server was listed as leaving"
        )
    answers = {each.id: each.outcome for load in loads for each in load.tries}
    cut = [request_id for _, request_id, _, _ in under_way]
    for request_id in cut:
        record.say(
            f"{request_id}: under way when its drained job server ended; the client got {answers[request_id]}"
        )
    for node, load in zip(nodes, loads, strict=True):
        record.say(f"{node.name}: {dict(Counter(each.outcome for each in load.tries))}")
    record.say(
        f"requests sent to drained job servers after the grace: {len(late)}, by node "
        f"{dict(Counter(request_id[:2] for _, request_id in late))}; builds cut off: {len(cut)}"
    )
    return not late


play(case, HERE)
