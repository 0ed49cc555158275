"""Stand-ins for the review's cases: discovery, job servers, clients, and nodes by the deploy file.

Only the standard library is used. Everything listens on 127.0.0.1 at ports that the system chooses.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


def now() -> float:
    return time.monotonic()


class Record:
    """record.txt: what was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", buffering=1)
        self.start = now()

    def line(self, text: str, at: float | None = None) -> None:
        self.file.write(f"{(now() if at is None else at) - self.start:9.3f} {text}\n")

    def say(self, text: str) -> None:
        self.line(text)
        print(text, flush=True)


# Processes. Each is in a group of its own, is ended by its id, and is killed by the kernel if the test dies.


def _die_with_parent() -> None:
    ctypes.CDLL(None, use_errno=True).prctl(1, signal.SIGKILL)


class Processes:
    def __init__(self) -> None:
        self.started: list[subprocess.Popen[bytes]] = []

    def start(self, command: list[str], **options: object) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(command, preexec_fn=_die_with_parent, start_new_session=True, **options)  # type: ignore[call-overload]
        self.started.append(process)
        return process

    def end_all(self) -> None:
        for process in self.started:
            if process.poll() is None:
                process.kill()
        for process in self.started:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(10)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def settings(group_size: int, me: int = 0, **allowed: object) -> dict[str, object]:
    """The settings object of the wire page, with the figures of its example."""
    return {
        "Allowed": {
            "ConnIdle": 30000.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 8000, "DialTimeout": 100.0,
            "MaxAttempts": 3, "MaxOpen": 20000, "MaxRetryAfter": 600.0, "MayCancel": True, "Peers": False,
            "Probes": True, "RetryAfter": True, "SecondCopies": False, "StreamsPerConn": 1, **allowed,
        },
        "Azs": ["hala-a"],
        "Classes": [
            {"Aim": 300.0, "Deadline": 1200.0, "Group": "all", "Idempotency": "single_shot", "LateValue": 0.2,
             "Name": "submit-build", "Stream": False, "Window": 5000.0, "Worth": 5.0},
            {"Aim": 200.0, "Deadline": 800.0, "Group": "cell", "Idempotency": "guarded", "LateValue": 0.25,
             "Name": "record-artefact", "Stream": False, "Window": 500.0, "Worth": 15.0},
        ],
        "Clients": {"MarksRetry": False},
        "Customers": [{"Name": "main-archive", "Portion": 1.0, "QuotaPerS": 100000.0}],
        "Discovery": "ask",
        "Domain": {"WarmKeys": False},
        "Goal": {"Whole": 0.35, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.35},
        "GroupSize": group_size, "KindOfService": "proxy", "Kinds": ["single-fast"], "Me": me, "MyZone": 0,
        "Obligations": {"AnswerSlack": 20.0, "AskWithin": 10000.0, "ColdFrom": 0.12, "DrainGrace": 500.0,
                        "OverloadFor": 2000.0, "RampTime": 24000.0, "TipMultiple": 2.5},
        "OverShareWorth": 0.1,
        "Prices": {"Connection": 0.0, "CrossZone": 0.0, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.03,
                   "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.01, "Waste": 0.1},
        "Report": {"Fields": ["busy_reqs"], "How": "on_probe"},
        "Tick": 5.0, "Tier": 0, "Tiers": ["job-api"], "ValueBy": "request", "Weights": "off",
    }  # fmt: skip


class Node:
    """One node, started by the deploy file's `run` from the repository's root."""

    def __init__(
        self,
        processes: Processes,
        record: Record,
        name: str,
        discovery: int,
        known: dict[str, object],
        group: tuple[int, int] = (1, 0),
        memory_mb: int = 192,
        sockets: int = 1024,
    ) -> None:
        self.processes, self.record, self.name = processes, record, name
        self.port = free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.config = {
            "name": name, "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{discovery}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known, "settings": settings(*group),
        }  # fmt: skip
        self.log_path = self.folder / "log.txt"

    def start(self, log_level: str = "info") -> None:
        (self.folder / "config.json").write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environ = {
            key: value for key, value in os.environ.items() if not key.startswith(("ROUTER_", "PYTHON"))
        } | {
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_LOG_LEVEL": log_level,
            "TMPDIR": str(self.folder / "tmp"),
        }
        with self.log_path.open("ab") as log:
            self.process = self.processes.start(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.record.say(f"{self.name}: started, process {self.process.pid}, listens on {HOST}:{self.port}")

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        until = now() + timeout_s
        while now() < until:
            if self.process.poll() is not None:
                break
            with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    client = await Client.connect(self.port)
                    status, _ = await client.ask(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                    client.close()
                if status == 200:
                    self.record.say(f"{self.name}: ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready: {self.log_path.read_text()[-600:]}")

    def rss_mb(self) -> float:
        """The resident memory of the node's process."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def remove_files(self) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


# Clients.


class Client:
    """A client's connection: one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection(HOST, port))

    async def ask(self, request: bytes) -> tuple[int, bytes]:
        self.writer.write(request)
        return await self.read_answer()

    async def read_answer(self) -> tuple[int, bytes]:
        """Read one whole answer; EOFError or OSError if the connection ends before."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        length, chunked, self.last = 0, False, False
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
            chunked |= name.lower() == b"transfer-encoding" and value.strip().lower() == b"chunked"
            self.last |= name.lower() == b"connection" and value.strip().lower() == b"close"
        if not chunked:
            return status, await self.reader.readexactly(length)
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)
        return status, body

    def close(self) -> None:
        self.writer.close()


def make_request(
    request_id: str, timeout_ms: float, cls: str = "submit-build", body: bytes = b"job"
) -> bytes:
    """A request as the protocol page shows it; the class is unsafe, or keyed for record-artefact."""
    key = f"Idempotency-Key: {request_id * 2}\r\n" if cls == "record-artefact" else ""
    return (
        f"POST /{cls} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {request_id}\r\nTenant: main-archive\r\n"
        f"Request-Timeout: {timeout_ms:.0f}m\r\n{key}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Try:
    """One request of a client and what became of it."""

    def __init__(self, request_id: str, timeout_ms: float) -> None:
        self.id, self.timeout_ms = request_id, timeout_ms
        self.sent = self.ended = 0.0
        self.outcome = "never answered"

    @property
    def answer_ms(self) -> float:
        return (self.ended - self.sent) * 1000 if self.ended else float("inf")


class Load:
    """Clients that send at an even rate. They keep connections, one request at a time, and do not retry."""

    def __init__(
        self, port: int, record: Record, rate: float, timeout_ms: float, patience_s: float = 3.0
    ) -> None:
        self.port, self.record, self.rate, self.timeout_ms = port, record, rate, timeout_ms
        self.patience_s = patience_s  # beyond the request's time; then the client ends the connection
        self.idle: list[Client] = []
        self.tries: list[Try] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.worst_lag_s = 0.0

    async def run(self, seconds: float, prefix: str = "q") -> None:
        begin = now()
        for number in range(int(seconds * self.rate)):
            due = begin + number / self.rate
            await asyncio.sleep(max(0.0, due - now()))
            self.worst_lag_s = max(self.worst_lag_s, now() - due)
            task = asyncio.create_task(self.one(f"{prefix}{number:06d}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        if self.tasks:
            await asyncio.wait(set(self.tasks))
        for client in self.idle:
            client.close()

    async def one(self, request_id: str) -> None:
        this = Try(request_id, self.timeout_ms)
        self.tries.append(this)
        client = None
        try:
            async with asyncio.timeout(self.timeout_ms / 1000 + self.patience_s):
                for fresh in (False, True):
                    if not fresh and not self.idle:
                        continue
                    client = await Client.connect(self.port) if fresh else self.idle.pop()
                    this.sent = this.sent or now()
                    try:
                        status, _ = await client.ask(make_request(request_id, self.timeout_ms))
                    except (OSError, EOFError) as error:
                        client.close()
                        if not fresh and not getattr(error, "partial", b""):
                            continue  # the close crossed the request: once more on a new connection
                        this.ended, this.outcome = now(), f"connection ended ({type(error).__name__})"
                        break
                    this.ended, this.outcome = now(), str(status)
                    if client.last:
                        client.close()
                    else:
                        self.idle.append(client)
                    break
        except TimeoutError:
            if client is not None:
                client.close()
        except OSError as error:
            this.ended, this.outcome = now(), f"no connection ({type(error).__name__})"
        self.record.line(
            f"request {this.id}: time {this.timeout_ms:.0f} ms, {this.outcome}"
            + (f" after {this.answer_ms:.0f} ms" if this.ended else ""),
            this.sent or None,
        )


# Job servers.


class JobServer:
    """A sound job server: takes each whole request, works for `work_s`, answers 200."""

    def __init__(self, name: str, record: Record, work_s: float = 0.03, answer: bytes = b"done\n") -> None:
        self.name, self.record, self.work_s, self.answer = name, record, work_s, answer
        self.runs: list[
            tuple[float, str, float, str]
        ] = []  # first byte, request id, time told (ms), how it ended
        self.under_way: dict[str, tuple[float, str, float, str]] = {}  # the same, by request id
        self.writers: set[asyncio.StreamWriter] = set()
        self.ended = False

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, lifecycle: str = "active", cell: int = 0) -> dict[str, object]:
        return {
            "instanceId": self.name, "hostPort": f"{HOST}:{self.port}", "zone": "hala-a",
            "machineType": "single-fast", "cell": cell, "lifecycle": lifecycle, "weight": 1.0,
            "startedAtMs": 0,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while first := await reader.read(1):
                began = now()
                head = first + await reader.readuntil(b"\r\n\r\n")
                fields = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(b":") for line in head.split(b"\r\n")[1:])
                }
                await reader.readexactly(int(fields.get(b"content-length", b"0")))
                await self.run(head, fields, began, reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(
        self,
        head: bytes,
        fields: dict[bytes, bytes],
        began: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if b" /ping " in head.split(b"\r\n")[0] + b" ":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        request_id, told = (
            fields.get(b"request-id", b"").decode(),
            float(fields.get(b"request-timeout", b"0m")[:-1]),
        )
        self.under_way[request_id] = (began, request_id, told, "cut off")
        await asyncio.sleep(self.work_s)
        if self.ended:
            self.record.line(f"{self.name}: ended while it ran {request_id}, told {told:.0f} ms", began)
            return
        del self.under_way[request_id]
        self.runs.append((began, request_id, told, "ran"))
        self.record.line(f"{self.name}: ran {request_id}, told {told:.0f} ms", began)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(self.answer), self.answer))
        await writer.drain()

    def stop(self) -> None:
        """End like a process that dies: its connections are reset, and new ones are refused."""
        self.ended = True
        self.server.close()
        for writer in list(self.writers):
            with contextlib.suppress(OSError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
            writer.transport.abort()


# Discovery.


class Discovery:
    """Lists and watches as the protocol page has them: changes are written to open watches at once."""

    def __init__(self, record: Record, entries: list[dict[str, object]], generation: int = 41) -> None:
        self.record, self.generation = record, generation
        self.entries = {str(entry["instanceId"]): entry for entry in entries}
        self.changed: dict[str, int] = dict.fromkeys(self.entries, generation)
        self.watches: set[asyncio.StreamWriter] = set()
        self.calls = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, object]:
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def change(self, entry: dict[str, object]) -> None:
        """Change an entry, and tell open watches."""
        self.generation += 1
        self.entries[str(entry["instanceId"])] = entry
        self.changed[str(entry["instanceId"])] = self.generation
        line = json.dumps({"generation": self.generation, "reset": False, "instances": [entry]})
        what = f"{entry['instanceId']} {entry['lifecycle']}, told to {len(self.watches)} open watches"
        self.record.say(f"discovery: generation {self.generation}: {what}")
        for watch in self.watches:
            self.write_line(watch, line.encode() + b"\n")

    @staticmethod
    def write_line(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def admit(self, number: int, path: str, writer: asyncio.StreamWriter) -> bool:
        """Whether a call is worked; a case may make calls wait and fail."""
        return True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                self.calls += 1
                number = self.calls
                self.record.line(f"discovery: call {number}: GET {path}")
                if not await self.admit(number, path, writer):
                    return
                if "watch=1" in path:
                    await self.watch(int(path.rpartition("from=")[2]), reader, writer)
                    return
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                self.record.line(f"discovery: call {number}: whole list, generation {self.generation}")
        except (OSError, EOFError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    async def watch(self, after: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        changed = [entry for name, entry in self.entries.items() if self.changed[name] > after]
        first = {"generation": self.generation, "reset": False, "instances": changed}
        self.write_line(writer, json.dumps(first).encode() + b"\n")
        self.watches.add(writer)
        ended = asyncio.ensure_future(reader.read(1))
        while not (await asyncio.wait({ended}, timeout=2.0))[0]:
            self.write_line(writer, b"\n")
        ended.exception()


def play(case: object, folder: Path) -> None:
    """Run `case(record, processes, trouble)`, which returns whether the rule held, and exit with its code."""
    record, processes = Record(folder), Processes()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"TROUBLE={int(trouble)}")

    def leave(code: int) -> None:
        processes.end_all()
        record.say(f"exit {code}")
        sys.stdout.flush()
        os._exit(code)

    def on_signal() -> None:
        record.say("ended by a signal")
        leave(2)

    async def bounded() -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, on_signal)
        try:
            async with asyncio.timeout(110):
                held = await case(record, processes, trouble)  # type: ignore[operator]
        except TimeoutError:
            record.say("could not run: not over within 110 s")
        except Exception as error:
            record.say(f"could not run: {error!r}")
        else:
            leave(0 if held else 1)
        leave(2)

    asyncio.run(bounded())
