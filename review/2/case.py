"""Case 2: job servers hang while clients send long requests; does each get its final answer in its time?"""

import asyncio
import signal
import socket
import subprocess
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import (  # noqa: E402
    HOST,
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

SERVERS, HANGING = 4, 2  # STANDING, roll+brink: a quarter to a half of the job servers hang
BODY_MEGABYTES = (5, 6, 7, 6, 5, 6, 7, 6)  # DAYS: bodies reach 32 MB, many at a time
TIMEOUT_MS = 1200.0  # submit-build's deadline; it counts from the last byte of the request
# STANDING: half a second after its time a request is lost. 50 ms for sockets, 20 ms AnswerSlack, 30 ms spare.
LOST_AFTER_MS = TIMEOUT_MS + 500 + 100
PATIENCE_S = 10.0


def ask(port: int, this: Try, megabytes: int) -> float:
    """Send a long request as fast as the connection takes it, and read its answer; return when it began.

    `sent` is when the last byte was written.
    """
    began = now()
    with socket.create_connection((HOST, port)) as connection:
        connection.settimeout(PATIENCE_S)
        try:
            connection.sendall(make_request(this.id, TIMEOUT_MS, body=bytes(megabytes * 1_000_000)))
            this.sent = now()
            answer = connection.recv(4096)
            this.ended = now()
            this.outcome = answer.split(b" ", 2)[1].decode() if answer else "connection closed"
        except OSError as error:
            this.outcome += f" ({type(error).__name__})"
    return began


async def case(record: Record, processes: Processes, trouble: bool) -> bool:
    # Job servers are processes, so that they can be stopped.
    servers, entries = [], []
    for number in range(SERVERS):
        command = [sys.executable, "-B", str(HERE.parent / "lib/job_server.py"), f"s-{number}", "0.05"]
        process = processes.start(command, stdout=subprocess.PIPE)
        assert process.stdout is not None
        server = JobServer(f"s-{number}", record)
        server.port = int(await asyncio.to_thread(process.stdout.readline))
        servers.append(process)
        entries.append(server.entry())
    discovery = Discovery(record, entries)
    await discovery.start()
    node = Node(processes, record, "n0", discovery.port, discovery.whole())
    node.start()
    tries = [Try(f"warm{number}", TIMEOUT_MS) for number in range(4)]
    tries += [Try(f"long{number}", TIMEOUT_MS) for number in range(len(BODY_MEGABYTES))]
    try:
        await node.wait_ready()
        for each in tries[:4]:  # all job servers are sound
            await asyncio.to_thread(ask, node.port, each, 6)
        await asyncio.sleep(1)
        if trouble:
            for number in range(HANGING):
                servers[number].send_signal(signal.SIGSTOP)
                record.say(f"s-{number} hangs (SIGSTOP)")
        jobs = [
            asyncio.to_thread(ask, node.port, each, megabytes)
            for each, megabytes in zip(tries[4:], BODY_MEGABYTES, strict=True)
        ]
        began = await asyncio.gather(*jobs)
    finally:
        node.remove_files()
        for server_process in servers:
            server_process.kill()
            assert server_process.stdout is not None
            for line in server_process.stdout.read().decode().splitlines():
                record.line(line)
    lost = []
    for each, start, megabytes in zip(tries[4:], began, BODY_MEGABYTES, strict=True):
        if not each.sent:  # the client could not write it whole in its patience: not taken, so not judged
            record.say(f"{each.id}: not sent whole, {each.outcome}")
            continue
        record.say(
            f"{each.id}: {megabytes} MB written in {1000 * (each.sent - start):.0f} ms, "
            f"{each.outcome} {each.answer_ms:.0f} ms after the last byte, time {TIMEOUT_MS:.0f} ms"
        )
        if each.answer_ms > LOST_AFTER_MS:
            lost.append(each)
    record.say(f"{len(tries)} requests: {dict(Counter(each.outcome for each in tries))}; lost: {len(lost)}")
    return not lost


play(case, HERE)
