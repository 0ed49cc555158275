"""Case 3: a planned restart while clients keep several commands out on a connection; is any request lost?"""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import (  # noqa: E402
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

CLIENTS, AT_ONCE = 3, 8  # each sends so many commands at once, and again when half of them are answered
TIMEOUT_MS = 1200.0
SIGTERM_AT_S = 3.0
# PROTOCOL: SIGKILL comes no sooner than the longest deadline (1.2 s) and 0.7 s more.
KILL_AFTER_S = 4.0
TAKEN_LATE_S = 0.7  # what SIGKILL finds unanswered is lost if it came more than this after SIGTERM
END_AT_S = 9.0


class Pipeline:
    """A client that sends several commands at once, again and again, as long as its connection lasts.

    It ends the connection after an answer with `Connection: close`, and sends nothing after an end of stream.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.tries: list[Try] = []
        self.open: list[Try] = []  # sent and not answered, in order

    def send(self, client: Client) -> None:
        this = Try(f"{self.name}{len(self.tries):04d}", TIMEOUT_MS)
        client.writer.write(make_request(this.id, TIMEOUT_MS))
        this.sent = now()
        self.tries.append(this)
        self.open.append(this)

    async def run(self, port: int, until: float) -> None:
        client = await Client.connect(port)
        for _ in range(AT_ONCE):
            self.send(client)
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + until - now() + 4):
                while self.open:
                    status, _ = await client.read_answer()
                    this = self.open.pop(0)
                    this.ended, this.outcome = now(), str(status)
                    if client.last:
                        break
                    if now() < until and len(self.open) <= AT_ONCE // 2:
                        for _ in range(AT_ONCE - len(self.open)):
                            self.send(client)
        except (OSError, EOFError) as error:
            self.record.say(f"{self.name}: connection ended, {len(self.open)} commands out: {error!r}")
        except TimeoutError:
            self.record.say(f"{self.name}: {len(self.open)} commands never answered")
        client.close()


async def case(record: Record, processes: Processes, trouble: bool) -> bool:
    servers = [JobServer(f"s-{i}", record, work_s=0.03) for i in range(4)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.start()
    node = Node(processes, record, "n0", discovery.port, discovery.whole())
    node.start()
    killed_at = float("inf")
    try:
        await node.wait_ready()
        begin = now()
        clients = [Pipeline(f"c{i}-", record) for i in range(CLIENTS)]
        running = [asyncio.create_task(each.run(node.port, begin + END_AT_S)) for each in clients]
        await asyncio.sleep(SIGTERM_AT_S)
        term_at = now()
        if trouble:
            node.process.send_signal(signal.SIGTERM)
            record.say("the platform sends SIGTERM")
            while node.process.poll() is None and now() < term_at + KILL_AFTER_S:
                await asyncio.sleep(0.02)
            if node.process.poll() is None:
                killed_at = now()
                node.process.kill()
                record.say(f"the platform sends SIGKILL, {killed_at - term_at:.2f} s after SIGTERM")
            else:
                record.say(f"the node ended {now() - term_at:.2f} s after SIGTERM")
        await asyncio.wait(running)
    finally:
        node.remove_files()
    tries = [each for client in clients for each in client.tries]
    for each in tries:
        record.line(f"request {each.id}: {each.outcome} after {each.answer_ms:.0f} ms", each.sent)
    record.say(f"{len(tries)} requests: {dict(Counter(each.outcome for each in tries))}")
    if trouble:
        after = [each for each in tries if each.sent > term_at + TAKEN_LATE_S]
        record.say(
            f"sent more than 0.7 s after SIGTERM: {len(after)}, {dict(Counter(e.outcome for e in after))}"
        )
    ran = {run[1] for server in servers for run in server.runs}
    lost = [
        each
        for each in tries
        if each.answer_ms > TIMEOUT_MS + 600  # also: never
        # Unanswered when its connection ended: lost if the node had it and SIGKILL found it, or if it ran.
        and (not trouble or each.sent > term_at + TAKEN_LATE_S or each.id in ran)
        and each.sent < killed_at - 0.02
    ]
    for each in lost[:8]:
        record.say(
            f"lost: {each.id}, sent {each.sent - term_at:.2f} s after SIGTERM, {each.outcome}"
            + (", a job server ran it" if each.id in ran else "")
        )
    record.say(f"lost requests: {len(lost)}")
    return not lost


play(case, HERE)
