"""Clients send several commands at once, the last with a long body; does each get its final answer in its time?"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import Client, Discovery, JobServer, Node, Processes, Record, Try, make_request, now, play  # noqa: E402

SERVERS, ROUNDS = 4, 3
# What each client sends in a round: sizes of bodies. DAYS: bodies reach 32 MB, many at a time.
BATCHES = ((212,) * 18 + (100_000,), (60_000, 60_000, 60_000, 100_000))
TIMEOUT_MS = 1200.0  # submit-build's deadline; it counts from the last byte of the request
# STANDING: half a second after its time a request is lost. 50 ms for sockets, 20 ms AnswerSlack, 30 ms spare.
LOST_AFTER_MS = TIMEOUT_MS + 500 + 100
PATIENCE_S = 7.0  # after the last byte; then the client ends the connection


async def case(record: Record, processes: Processes, trouble: bool) -> bool:
    servers = [JobServer(f"s-{i}", record, work_s=0.03) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.start()
    node = Node(processes, record, "n0", discovery.port, discovery.whole())
    node.start()
    tries: list[tuple[int, Try]] = []

    async def write(connection: Client, batch: list[tuple[int, Try]]) -> None:
        """Write requests in one go. `sent` is when the connection has taken the last byte of all of them."""
        connection.writer.transport.set_write_buffer_limits(0)  # drain waits until nothing is left to write
        connection.writer.write(b"".join(make_request(each.id, TIMEOUT_MS, body=bytes(size)) for size, each in batch))
        await connection.writer.drain()
        for size, each in batch:
            each.sent = now()
            record.line(f"{each.id}: {size} bytes, written with {len(batch) - 1} others")

    async def read(connection: Client, each: Try) -> bool:
        try:
            async with asyncio.timeout(PATIENCE_S):
                status, _ = await connection.read_answer()
        except (OSError, EOFError, TimeoutError) as error:
            each.outcome = f"no answer ({type(error).__name__})"
        else:
            each.ended, each.outcome = now(), str(status)
        record.line(f"{each.id}: {each.outcome} {each.answer_ms:.0f} ms after its last byte")
        return bool(each.ended) and not connection.last

    async def client(number: int, round_number: int, sizes: tuple[int, ...]) -> None:
        batch = [
            (size, Try(f"p{number}{round_number}{count:04d}", TIMEOUT_MS)) for count, size in enumerate(sizes)
        ]
        tries.extend(batch)
        connection = await Client.connect(node.port)
        try:
            for part in [batch] if trouble else [[entry] for entry in batch]:
                await write(connection, part)
                for _, each in part:
                    if not await read(connection, each):
                        return
        finally:
            connection.close()

    try:
        await node.wait_ready()
        for round_number in range(ROUNDS):
            await asyncio.gather(
                *[client(number, round_number, sizes) for number, sizes in enumerate(BATCHES)]
            )
    finally:
        node.remove_files()
    ran = {request_id for server in servers for _, request_id, _, _ in server.runs}
    lost = [(size, each) for size, each in tries if each.sent and each.answer_ms > LOST_AFTER_MS]
    for size, each in lost:
        record.say(
            f"lost: {each.id}, {size} bytes, {each.outcome} {each.answer_ms:.0f} ms after its last byte, "
            f"{'ran' if each.id in ran else 'ran nowhere'}"
        )
    record.say(f"{len(tries)} requests: {dict(Counter(each.outcome for _, each in tries))}; lost: {len(lost)}")
    return not lost


play(case, HERE)
