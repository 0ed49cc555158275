"""Case 3: a client sends 60 commands at once, in pieces; does each get its final answer in its time?"""

import asyncio
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
    Node,
    Processes,
    Record,
    Try,
    make_request,
    now,
    play,
)

COMMANDS = 60
PIECE = 10  # commands in one write: 2 kB
PIECE_GAP_S = 0.01
TIMEOUT_MS = 1200.0  # submit-build's deadline
WORK_S = 0.06  # the brief: 31 to 56 ms of work on cores of 0.77 to 2.1
# STANDING: half a second after its time a request is lost. 50 ms for sockets, 20 ms AnswerSlack, 30 ms spare.
LOST_AFTER_MS = TIMEOUT_MS + 500 + 100
TOLD_SLACK_MS = 150 + 50


async def case(record: Record, processes: Processes, trouble: bool) -> bool:
    servers = [JobServer(f"s-{i}", record, WORK_S) for i in range(4)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.start()
    node = Node(processes, record, "n0", discovery.port, discovery.whole())
    node.start()
    tries = [Try(f"p{number:04d}", TIMEOUT_MS) for number in range(COMMANDS)]
    worst_lag_s = 0.0

    async def send_at_once(client: Client) -> None:
        nonlocal worst_lag_s
        for first in range(0, COMMANDS, PIECE):
            begin = now()
            piece = tries[first : first + PIECE]
            client.writer.write(b"".join(make_request(each.id, TIMEOUT_MS) for each in piece))
            for each in piece:
                each.sent = now()
            await client.writer.drain()
            await asyncio.sleep(PIECE_GAP_S)
            worst_lag_s = max(worst_lag_s, now() - begin - PIECE_GAP_S)

    try:
        await node.wait_ready()
        client = await Client.connect(node.port)
        sending = asyncio.create_task(send_at_once(client)) if trouble else None
        try:
            async with asyncio.timeout(30):
                for each in tries:
                    if not trouble:  # the same commands, one at a time
                        each.sent = now()
                        client.writer.write(make_request(each.id, TIMEOUT_MS))
                    status, _ = await client.read_answer()
                    each.ended, each.outcome = now(), str(status)
        except (OSError, EOFError, TimeoutError) as error:
            record.say(f"the client's connection ended: {error!r}")
        if sending is not None:
            await sending
        client.close()
    finally:
        node.remove_files()
    for each in tries:
        record.line(
            f"request {each.id}: time {TIMEOUT_MS:.0f} ms, {each.outcome} after {each.answer_ms:.0f} ms",
            each.sent,
        )
    if worst_lag_s > 0.3:
        raise CannotRun(f"the client was late by {worst_lag_s:.2f} s: the machine is too busy")
    record.say(f"{COMMANDS} requests: {dict(Counter(each.outcome for each in tries))}")
    lost = [each for each in tries if each.answer_ms > LOST_AFTER_MS]
    for each in lost[:8]:
        record.say(f"lost: {each.id}, {each.outcome} {each.answer_ms:.0f} ms after it was sent")
    sent = {each.id: each.sent for each in tries}
    runs = [run for server in servers for run in server.runs]
    told_long = [run for run in runs if run[2] > TIMEOUT_MS - (run[0] - sent[run[1]]) * 1000 + TOLD_SLACK_MS]
    after_time = [run for run in runs if (run[0] - sent[run[1]]) * 1000 > TIMEOUT_MS]
    for began, request_id, told, _ in told_long[:3]:
        left = TIMEOUT_MS - (began - sent[request_id]) * 1000
        record.say(
            f"{request_id}: the attempt told its job server {told:.0f} ms, its client had {left:.0f} ms left"
        )
    record.say(
        f"lost requests: {len(lost)}; attempts told too much time: {len(told_long)}; "
        f"attempts begun after their client's time: {len(after_time)}"
    )
    return not lost and not told_long


play(case, HERE)
