"""Stand-ins for clients, job servers, discovery and the platform, for the cases 6 to 10 of the review.

Only the standard library is used. The node under test is started with the `run` command of the deploy file.
All times are seconds since the start of the case, on the monotonic clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
SLACK_S = 0.05  # PROTOCOL, The rules on sockets: every time limit is 50 ms longer


class CannotRun(Exception):
    """The case could not be played (exit code 2)."""


def now() -> float:
    return time.monotonic() - START


class Record:
    """record.txt in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.write("case", folder=folder.name, trouble=int(TROUBLE))

    def write(self, what: str, **fields: object) -> None:
        pairs = " ".join(
            f"{name}={value:.4f}" if isinstance(value, float) else f"{name}={value}"
            for name, value in fields.items()
        )
        self.file.write(f"{now():9.4f} {what} {pairs}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        print(text, flush=True)
        self.file.write(f"{now():9.4f} RESULT {text}\n")
        self.file.flush()


def free_port() -> int:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def request_class(name: str, idempotency: str, aim: float, deadline: float, **more: Any) -> dict[str, Any]:
    return {
        "Name": name, "Idempotency": idempotency, "Aim": aim, "Deadline": deadline, "Worth": 5.0,
        "LateValue": 0.2, "Group": "all", "Window": 500.0, "Stream": False,
    } | more  # fmt: skip


def farm_classes() -> list[dict[str, Any]]:
    """The classes of the operators' first deployment (BRIEF, Work)."""
    return [
        request_class("submit-build", "single_shot", 300.0, 1200.0, LateValue=0.2, Window=5000.0),
        request_class("record-artefact", "guarded", 200.0, 800.0, Group="cell", LateValue=0.25, Worth=15.0),
    ]


def settings(classes: list[dict[str, Any]], discovery: str = "ask", **obligations: float) -> dict[str, Any]:
    """The settings object, as in WIRE (Start-up settings), for a deployment of one node."""
    return {
        "Allowed": {
            "ConnIdle": 30000.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 8000, "DialTimeout": 100.0,
            "MaxAttempts": 3, "MaxOpen": 20000, "MaxRetryAfter": 600.0, "MayCancel": True, "Peers": True,
            "Probes": True, "RetryAfter": True, "SecondCopies": False, "StreamsPerConn": 1,
        },
        "Azs": ["hala-a", "hala-b", "hala-c"],
        "Classes": classes,
        "Clients": {"MarksRetry": False},
        "Customers": [{"Name": "main-archive", "Portion": 1.0, "QuotaPerS": 1000.0}],
        "Discovery": discovery,
        "Domain": {"WarmKeys": False},
        "GroupSize": 1,
        "Kinds": ["single-fast", "dual-slow"],
        "Me": 0,
        "MyZone": 0,
        "Obligations": {
            "AnswerSlack": 20.0, "AskWithin": 10000.0, "ColdFrom": 0.12, "DrainGrace": 500.0,
            "OverloadFor": 2000.0, "RampTime": 24000.0, "TipMultiple": 2.5,
        } | obligations,
        "OverShareWorth": 0.1,
        "Tick": 5.0,
        "Tier": 0,
        "Tiers": ["job-api"],
        "ValueBy": "request",
        "Weights": "off",
    }  # fmt: skip


# HTTP, as far as the stand-ins need it.


@dataclass
class Message:
    """A request or response that was read whole."""

    start: str
    headers: dict[str, str]
    body: bytes
    first_byte_at: float
    last_byte_at: float


async def read_message(reader: asyncio.StreamReader, is_response: bool) -> Message | None:
    """Read one message; None if the connection ended before its first byte."""
    first = await reader.read(1)
    if not first:
        return None
    first_byte_at = now()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_response:
        body = await reader.read(-1)
    else:
        body = b""
    return Message(lines[0], headers, body, first_byte_at, now())


def response(status: str, body: bytes = b"", *lines: str) -> bytes:
    head = "\r\n".join([f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *lines, "", ""])
    return head.encode() + body


def build_request(
    cls: str,
    request_id: str,
    timeout_ms: int,
    *lines: str,
    key: str = "",
    body: bytes = b"{}",
    get: bool = False,
) -> bytes:
    """A client's request in the form of PROTOCOL (Clients to nodes)."""
    method = "GET" if get else "POST"
    head = [
        f"{method} /{cls} HTTP/1.1", "Host: backend.local", f"Request-Id: {request_id}",
        "Tenant: main-archive", f"Request-Timeout: {timeout_ms}m",
    ]  # fmt: skip
    if key:
        head.append(f"Idempotency-Key: {key}")
    if not get:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, *lines, "", ""]).encode() + (b"" if get else body)


def status_of(message: Message | None) -> int:
    return int(message.start.split()[1]) if message is not None else 0


# Job servers.


@dataclass
class Run:
    """A request that a job server has begun."""

    server: str
    request_id: str
    first_byte_at: float
    begun_at: float


class JobServer:
    """A sound job server: it answers each whole request after `work_s` with a body that names its id.

    `answer`, if given, writes the answer instead.
    """

    def __init__(self, name: str, record: Record, work_s: float = 0.02) -> None:
        self.name, self.record, self.work_s = name, record, work_s
        self.answer: Callable[[Message, asyncio.StreamWriter], Awaitable[None]] | None = None
        self.draining = False  # it turns new requests away, as a draining job server may
        self.runs: list[Run] = []
        self.first_bytes: list[tuple[str, float]] = []  # of each request that came, also if turned away
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 22, backlog=1024)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def entry(self, lifecycle: str = "active", started_ms: int = 0, cell: int = 0) -> dict[str, Any]:
        return {
            "instanceId": self.name, "hostPort": f"{HOST}:{self.port}", "zone": "hala-a",
            "machineType": "single-fast", "cell": cell, "lifecycle": lifecycle, "weight": 1.0,
            "startedAtMs": started_ms,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while (message := await read_message(reader, False)) is not None:
                request_id = message.headers.get("request-id", "")
                self.first_bytes.append((request_id, message.first_byte_at))
                self.record.write(
                    "attempt", server=self.name, id=request_id, first_byte=message.first_byte_at
                )
                if self.draining:
                    writer.write(response("503 Service Unavailable", b"", "Not-Started: 1"))
                    continue
                self.runs.append(Run(self.name, request_id, message.first_byte_at, now()))
                self.record.write("begun", server=self.name, id=request_id)
                if self.answer is not None:
                    await self.answer(message, writer)
                else:
                    await asyncio.sleep(self.work_s)
                    writer.write(self.good_answer(request_id))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the node or the case has ended
        finally:
            self.connections.discard(writer)
            writer.close()

    def end(self) -> None:
        """The process ends: connections are reset, new ones refused."""
        self.server.close()
        for writer in list(self.connections):
            reset(writer)

    def good_answer(self, request_id: str) -> bytes:
        return response("200 OK", json.dumps({"id": request_id, "server": self.name}).encode())


# Discovery.


class Discovery:
    """The server list and its watch, as PROTOCOL describes them."""

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self.record = record
        self.version = 41
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.connections: set[asyncio.StreamWriter] = set()
        self.before_answer: Callable[[str], Awaitable[bytes | None]] | None = None
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = int(self.server.sockets[0].getsockname()[1])
        self.keepalive = asyncio.get_running_loop().create_task(self.send_keepalives())

    def go_down(self) -> None:
        """Discovery dies: watches are reset, new connections are refused."""
        assert self.server is not None
        self.server.close()
        self.keepalive.cancel()
        for writer in list(self.connections):
            reset(writer)
        self.watches.clear()

    def whole_list(self) -> dict[str, Any]:
        return {"generation": self.version, "reset": True, "instances": list(self.entries.values())}

    async def send_keepalives(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for writer in list(self.watches):
                write_chunk(writer, b"\n")

    def change(self, entry: dict[str, Any]) -> None:
        """A change enters the list, and is written to the open watches at once."""
        self.version += 1
        if entry["lifecycle"] == "left":
            self.entries.pop(entry["instanceId"], None)
        else:
            self.entries[entry["instanceId"]] = entry
        self.changes.append((self.version, entry))
        line = {"generation": self.version, "reset": False, "instances": [entry]}
        for writer in list(self.watches):
            write_chunk(writer, json.dumps(line).encode() + b"\n")
            self.record.write("told", id=entry["instanceId"], lifecycle=entry["lifecycle"])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while (message := await read_message(reader, False)) is not None:
                target = message.start.split()[1]
                self.record.write("discovery_call", target=target)
                if self.before_answer is not None and (refusal := await self.before_answer(target)):
                    writer.write(refusal)
                    await writer.drain()
                    self.record.write("discovery_refused", target=target)
                    continue
                if "watch" not in target:
                    writer.write(response("200 OK", json.dumps(self.whole_list()).encode()))
                    await writer.drain()
                    continue
                since = int(target.rpartition("from=")[2])
                changed = {entry["instanceId"]: entry for at, entry in self.changes if at > since}
                line = {"generation": self.version, "reset": False, "instances": list(changed.values())}
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                write_chunk(writer, json.dumps(line).encode() + b"\n")
                self.watches[writer] = self.version
                await reader.read()  # a watch lasts until its connection ends
                return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the node or the case has ended
        finally:
            self.watches.pop(writer, None)
            self.connections.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.transport.is_closing():
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


# The platform: it starts nodes by the deploy file, signals them, and ends what it started.


@dataclass
class Node:
    """A process of the program, started by `run` of the deploy file."""

    process: subprocess.Popen[bytes]
    address: tuple[str, int]
    admin: tuple[str, int]
    log: Path
    killed_for_memory: bool = False
    peak_mb: float = 0.0

    @property
    def running(self) -> bool:
        return self.process.poll() is None

    def memory_mb(self) -> float:
        """The resident memory of the process now."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


class Platform:
    """Starts and ends the processes of a case, in a temporary folder."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if not (ROOT / ".venv" / "bin" / "python").exists():
            raise CannotRun("the build of the deploy file has not been run")
        self.nodes: list[Node] = []

    def write_config(self, discovery_port: int, config: dict[str, Any], listen: int, admin: int) -> Path:
        path = self.folder / "config.json"
        base = {
            "name": "n0", "listen": f"{HOST}:{listen}", "discovery": f"{HOST}:{discovery_port}",
            "admin_addr": f"{HOST}:{admin}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }  # fmt: skip
        path.write_text(json.dumps(base | config))
        return path

    def start_node(self, config: Path, listen: int, admin: int) -> Node:
        tmpdir = self.folder / "tmp"
        tmpdir.mkdir(exist_ok=True)
        environ = {
            "PATH": os.environ.get("PATH", ""), "TMPDIR": str(tmpdir), "ROUTER_CONFIG": str(config),
            "ROUTER_ADMIN_ADDR": f"{HOST}:{admin}",
        }  # fmt: skip
        if "ROUTER_LOG_LEVEL" in os.environ:
            environ["ROUTER_LOG_LEVEL"] = os.environ["ROUTER_LOG_LEVEL"]
        log = self.folder / f"node-{len(self.nodes)}.log"
        with log.open("wb") as file:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self.run],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
            )
        node = Node(process, (HOST, listen), (HOST, admin), log)
        self.nodes.append(node)
        self.record.write("node_started", pid=process.pid, admin=admin)
        return node

    async def wait_ready(self, node: Node, timeout_s: float = 30.0) -> float:
        """Wait for the node's yes at its admin address; return when it came."""
        until = now() + timeout_s
        while now() < until:
            if not node.running:
                raise CannotRun(f"the node ended: {node.log.read_text()[-500:]}")
            if await admin_call(node, "GET", "/admin/health") == 200:
                self.record.write("ready", pid=node.process.pid)
                return now()
            await asyncio.sleep(0.05)
        raise CannotRun("the node was not ready in time")

    async def watch_memory(self, node: Node, limit_mb: float) -> None:
        """DEPLOY, Limits: over `memory_mb` the node is killed."""
        while node.running:
            used = node.memory_mb()
            node.peak_mb = max(node.peak_mb, used)
            if used > limit_mb:
                self.record.write("killed_for_memory", mb=used, limit=limit_mb)
                node.killed_for_memory = True
                node.process.kill()
                return
            await asyncio.sleep(0.02)

    async def stop_all(self) -> None:
        for node in self.nodes:
            if node.running:
                node.process.send_signal(signal.SIGTERM)
        until = now() + 4.0
        while now() < until and any(node.running for node in self.nodes):
            await asyncio.sleep(0.05)
        for node in self.nodes:
            if node.running:
                node.process.kill()
            node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def admin_call(node: Node, method: str, path: str, body: bytes = b"") -> int:
    """One call at the operators' address; its status, 0 if there is no answer in 1 s."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*node.admin)
            try:
                head = f"{method} {path} HTTP/1.1\r\nHost: n0\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                return status_of(await read_message(reader, True))
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError):
        return 0


# Clients.


@dataclass
class Answered:
    """What a client saw of one request."""

    request_id: str
    written_at: float
    timeout_s: float
    status: int = 0  # 0: no whole answer
    answered_at: float = 0.0
    body: bytes = b""
    note: str = field(default="")


async def send_one(
    node: Node, cls: str, request_id: str, timeout_ms: int, record: Record, **more: Any
) -> Answered:
    """A client with a connection of its own, which waits 2 s longer than its time for the answer."""
    result = Answered(request_id, now(), timeout_ms / 1000)
    try:
        async with asyncio.timeout(timeout_ms / 1000 + 2.0):
            reader, writer = await asyncio.open_connection(*node.address)
            try:
                result.written_at = now()
                writer.write(build_request(cls, request_id, timeout_ms, **more))
                message = await read_message(reader, True)
                result.status, result.answered_at = status_of(message), now()
                result.body = message.body if message is not None else b""
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        result.note = type(error).__name__
    record.write(
        "answer",
        id=request_id,
        status=result.status,
        after=result.answered_at - result.written_at,
        note=result.note,
    )
    return result


def main(case: Callable[[Record], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    signal.signal(
        signal.SIGTERM, signal.default_int_handler
    )  # so that a case that is ended ends its nodes too
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 110.0))
    except KeyboardInterrupt:
        record.say("could not run: ended by a signal")
        sys.exit(2)
    except CannotRun as error:
        record.say(f"could not run: {error}")
        sys.exit(2)
    except Exception as error:  # noqa: BLE001
        record.say(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record.say("BROKEN" if broken else "HELD")
    sys.exit(1 if broken else 0)
