"""Clients offer HTTP/2 in an `Upgrade` header; does each job server get the body that the client sent?"""

import asyncio
import hashlib
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import Client, Discovery, JobServer, Node, Processes, Record, make_request, play  # noqa: E402

SERVERS, CLIENTS, REQUESTS = 4, 4, 15  # requests of each client
SIZES = (212, 2048, 30_000)  # PROTOCOL: a body holds at most 64 KiB; 212 is the size in its example
TIMEOUT_MS = 1200.0  # submit-build's deadline
# As HTTP clients write it that can speak HTTP/2 and meet a server for the first time (RFC 7540, 3.2).
OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n"


def answer_for(body: bytes) -> bytes:
    return f"queued {len(body)} bytes, sha1 {hashlib.sha1(body).hexdigest()}\n".encode()


class BodyServer(JobServer):
    """A sound job server that keeps the body of each request that it runs, and names it in its answer."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, record, work_s=0.02)
        self.bodies: list[tuple[str, bytes]] = []

    async def run(self, head, fields, began, reader, writer) -> None:  # type: ignore[no-untyped-def]
        request_id, body = fields[b"request-id"].decode(), self.last_body
        await asyncio.sleep(self.work_s)
        self.bodies.append((request_id, body))
        self.record.line(f"{self.name}: ran {request_id} with a body of {len(body)} bytes", began)
        answer = answer_for(body)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))
        await writer.drain()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take requests one by one; a node writes a body with its length."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(b":") for line in head.split(b"\r\n")[1:])
                }
                body = await reader.readexactly(int(fields.get(b"content-length", b"0")))
                self.last_body = body  # read by run before it waits
                await self.run(head, fields, asyncio.get_running_loop().time(), reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


async def case(record: Record, processes: Processes, trouble: bool) -> bool:
    servers = [BodyServer(f"s-{i}", record) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.start()
    node = Node(processes, record, "n0", discovery.port, discovery.whole())
    node.start()
    sent: dict[str, bytes] = {}
    answers: dict[str, tuple[int, bytes]] = {}

    async def client(number: int) -> None:
        connection = None
        for count in range(REQUESTS):
            request_id = f"u{number:03d}{count:04d}"
            cls = ("submit-build", "record-artefact")[count % 2]
            size = SIZES[count % len(SIZES)]
            body = (f"job {request_id} " * (size // 10)).encode()[:size]
            head, _, _ = make_request(request_id, TIMEOUT_MS, cls, body).partition(b"\r\n\r\n")
            offers = trouble and connection is None  # the first request on a connection
            if connection is None:
                connection = await Client.connect(node.port)
            sent[request_id] = body
            request = head + b"\r\n" + (OFFER if offers else b"") + b"\r\n" + body
            record.line(f"{request_id}: {cls}, {size} bytes{', offers HTTP/2' if offers else ''}")
            try:
                async with asyncio.timeout(TIMEOUT_MS / 1000 + 2):
                    status, answer = await connection.ask(request)
            except (OSError, EOFError, TimeoutError) as error:
                record.line(f"{request_id}: no answer ({type(error).__name__})")
                connection.close()
                connection = None
                continue
            answers[request_id] = status, answer
            record.line(f"{request_id}: {status} {answer.decode('latin-1').strip()}")
            if connection.last:
                connection.close()
                connection = None
            await asyncio.sleep(0.02)
        if connection is not None:
            connection.close()

    try:
        await node.wait_ready()
        await asyncio.gather(*[client(number) for number in range(CLIENTS)])
    finally:
        node.remove_files()
    altered = [
        (server.name, request_id, body)
        for server in servers
        for request_id, body in server.bodies
        if body != sent.get(request_id)
    ]
    foreign = [
        request_id
        for request_id, (status, answer) in answers.items()
        if status == 200 and answer != answer_for(sent[request_id])
    ]
    for name, request_id, body in altered[:10]:
        record.say(
            f"altered: {name} ran {request_id} with {len(body)} bytes, "
            f"its client sent {len(sent[request_id])}"
        )
    record.say(f"{len(sent)} requests: {dict(Counter(status for status, _ in answers.values()))}")
    record.say(
        f"run with another body than was sent: {len(altered)}; answered 200 for another body: {len(foreign)}"
    )
    return not altered and not foreign


play(case, HERE)
