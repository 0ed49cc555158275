"""Slow clients take long answers; does every request get the answer that a job server gives it in time?"""

import asyncio
import random
import socket
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import (  # noqa: E402
    HOST,
    CannotRun,
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

SERVERS, READERS, PLAY_S = 4, 10, 30.0
# DAYS, Less room: answers reach 32 MB, many at a time. Slow clients get answers of all sizes in this range.
SIZES = list(range(500_000, 6_000_000, 30_000))
ANSWER = 1_000_000  # for the other clients
SLOW_S = 0.2  # a slow client takes nothing of its answer for so long, then all of it
TIMEOUT_MS = 3000.0
OTHERS, PAUSE_S = 4, 0.2  # the other clients, which take their answers as fast as they can, and their pause


class LongServer(JobServer):
    """A sound job server whose answers are long. It notes when it began one, and when it had given all."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, record, work_s=0.02)
        self.begun: dict[str, float] = {}  # by request id: when it began the answer
        self.given: dict[str, float] = {}  # when the connection had taken the last byte of it

    async def run(self, head, fields, began, reader, writer) -> None:  # type: ignore[no-untyped-def]
        request_id = fields[b"request-id"].decode()
        await asyncio.sleep(self.work_s)
        size = int(fields[b"x-size"])
        self.begun[request_id] = now()
        self.record.line(f"{self.name}: ran {request_id}, gives {size} bytes", began)
        writer.transport.set_write_buffer_limits(0)  # drain waits until the connection has taken all of it
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))
        await writer.drain()
        self.given[request_id] = now()


class Connection:
    """A client's kept connection, on a plain socket so that the client sets how fast it takes an answer."""

    def __init__(self, slow: bool) -> None:
        self.slow = slow
        self.socket = socket.socket()
        if slow:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.socket.setblocking(False)

    async def ask(self, port: int, this: Try, size: int) -> bool:
        """Send a request and take its answer whole; return whether the connection can be used again."""
        loop = asyncio.get_running_loop()
        request = make_request(this.id, TIMEOUT_MS).replace(b"Tenant:", b"X-Size: %d\r\nTenant:" % size)
        data, length, sent = b"", None, now()
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000 + 3):
                if self.socket.getsockname()[1] == 0:
                    await loop.sock_connect(self.socket, (HOST, port))
                await loop.sock_sendall(self.socket, request)
                this.sent, got = sent, 0
                if self.slow:
                    await asyncio.sleep(SLOW_S)
                while length is None or got < length:
                    piece = await loop.sock_recv(self.socket, 1 << 18)
                    if not piece:
                        this.outcome = f"connection ended after {got} of {length} bytes"
                        return False
                    if length is None:
                        data += piece
                        head, end, rest = data.partition(b"\r\n\r\n")
                        if end:
                            length, got = (
                                int(head.lower().partition(b"content-length:")[2].split()[0]),
                                len(rest),
                            )
                    else:
                        got += len(piece)
        except (OSError, TimeoutError) as error:
            this.outcome = f"no whole answer ({type(error).__name__})"
            return False
        this.ended, this.outcome = now(), data.split(b" ", 2)[1].decode()
        return b"connection: close" not in data.lower()


async def case(record: Record, processes: Processes, trouble: bool) -> bool:
    servers = [LongServer(f"s-{i}", record) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.start()
    node = Node(processes, record, "n0", discovery.port, discovery.whole())
    for cls in node.config["settings"]["Classes"]:  # type: ignore[index]
        cls["Aim"], cls["Deadline"] = 1000.0, TIMEOUT_MS
    node.start()
    tries: list[Try] = []
    late, sizes = 0.0, random.sample(SIZES, len(SIZES))

    async def one_client(name: str, slow: bool, pause_s: float, begin: float) -> None:
        nonlocal late
        connection, count = Connection(slow), 0
        while now() < begin + PLAY_S:
            count += 1
            this = Try(f"{name}n{count:05d}", TIMEOUT_MS)
            tries.append(this)
            if not sizes:
                sizes.extend(random.sample(SIZES, len(SIZES)))
            usable = await connection.ask(node.port, this, sizes.pop() if slow else ANSWER)
            record.line(f"{this.id}: {this.outcome}, {this.answer_ms:.0f} ms")
            if not usable or slow:  # slow clients open a connection for each request
                connection.socket.close()
                connection = Connection(slow)
            due = now() + pause_s
            await asyncio.sleep(pause_s)
            late = max(late, now() - due)
        connection.socket.close()

    try:
        await node.wait_ready()
        begin = now()
        clients = [one_client(f"long{number}", trouble, 0.05, begin) for number in range(READERS)]
        clients += [one_client(f"other{number}", False, PAUSE_S, begin) for number in range(OTHERS)]
        await asyncio.gather(*clients)
    finally:
        node.remove_files()
    if late > 0.5:
        raise CannotRun(f"the stand-ins were late by {late:.2f} s: the machine is too busy")
    begun = {request_id: at for server in servers for request_id, at in server.begun.items()}
    given = {request_id: at for server in servers for request_id, at in server.given.items()}
    lost = []
    for each in tries:
        # DAYS: holding an answer over 64 KiB back for 2 s, or cutting it off, loses the request.
        if (
            each.id in begun
            and each.outcome != "200"
            and begun[each.id] < each.sent + TIMEOUT_MS / 1000 - 2.5
        ):
            lost.append(each)
            gave = (
                f"gave all of it within {1000 * (given[each.id] - each.sent):.0f} ms"
                if each.id in given
                else "was cut off"
            )
            record.say(
                f"lost: {each.id}, {each.outcome} after {each.answer_ms:.0f} ms; its job server began the "
                f"answer after {1000 * (begun[each.id] - each.sent):.0f} ms and {gave}"
            )
    record.say(f"{len(tries)} requests: {dict(Counter(each.outcome for each in tries))}")
    record.say(f"answered by a job server in time, held back or cut off by the node: {len(lost)}")
    return not lost


play(case, HERE)
