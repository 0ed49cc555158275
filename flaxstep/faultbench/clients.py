"""The clients of a scenario as a process: the day's first tries at their times, open loop, and their retries.

They do what the lab's clients do: a try ends at its time, a refused one is tried again after a wait, a failed
one only where a repeat does no harm. An answer that comes after its time is still read, as the judge needs to
know.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any, cast

import httptools

from flaxstep.faultbench.fake_service import Address, FakeService, Tasks, loopback, run
from flaxstep.faultbench.records import Answered, Asked, Recorder
from flaxstep.simulator.engine import RandomStreams
from flaxstep.simulator.sampling import Plan, draw_plan
from flaxstep.simulator.scenario import Scenario, read_scenario

AFTER_DUE = 0.8  # s for which a connection is still read when its try's time is over
IDLE = 1.5  # s after which a client's idle connection is not used again
CROSSED = 20.0  # ms: an end that comes so soon on a used connection has crossed the request
PIECES = 0.25  # s between the pieces of a slow body
METHODS = {"safe": b"GET", "keyed": b"POST", "unsafe": b"POST"}


class Try:
    """One try of a client."""

    __slots__ = (
        "began",
        "cls",
        "connection",
        "crossings",
        "due",
        "first",
        "id",
        "number",
        "over",
        "wait",
        "zone",
    )

    def __init__(self, first: int, number: int, cls: int, zone: int, began: float, due: float) -> None:
        self.first, self.number, self.cls, self.zone = first, number, cls, zone
        self.began, self.due = began, due
        self.id = f"{first:08x}{number:02x}00"
        self.over = False  # answered, or given up
        self.crossings = 0
        self.wait = 0.0
        self.connection: Connection | None = None


class Clients(FakeService):
    def __init__(self, config: dict[str, Any], recorder: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        self.recorder, self.loop = recorder, loop
        self.scenario: Scenario = read_scenario(Path(config["scenario"]))
        self.plan: Plan = draw_plan(self.scenario, config["seed"])
        self.fronts: list[Address] = [(loopback(host), port) for host, port in config["fronts"]]
        figures = self.plan.figures
        self.share, self.backoff = figures["clients.try_share"], figures["clients.backoff_ms"]
        self.retries, self.honour = int(figures["clients.retries"]), figures["clients.honour"]
        self.chance = RandomStreams(config["seed"]).uniform("callers")
        self.idle: list[list[Connection]] = [[] for _ in self.fronts]
        self.next = 0
        self.open = 0  # tries that wait for their answer
        self.tasks = Tasks()

    def body_size(self) -> int:
        size = self.scenario.rig.body_bytes
        return int(self.chance.between(*size) if isinstance(size, tuple) else size)

    async def start(self) -> None:
        """They come when the play begins."""

    def begun(self) -> None:
        self.schedule()

    def schedule(self) -> None:
        tries = self.plan.tries
        if self.next < len(tries.at):
            self.loop.call_later(max(0.0, tries.at[self.next] - self.recorder.now()) / 1000, self.first)

    def first(self) -> None:
        """All first tries whose time has come; a late loop sends them late and the record says so."""
        tries = self.plan.tries
        while self.next < len(tries.at) and tries.at[self.next] <= self.recorder.now():
            self.begin(self.next, 0, tries.at[self.next])
            self.next += 1
        self.schedule()

    def begin(self, first: int, number: int, began: float) -> None:
        tries, wanted = self.plan.tries, self.scenario.classes[self.plan.tries.cls[first]]
        now = self.recorder.now()
        due = min(now + self.share * wanted.deadline_ms, began + wanted.deadline_ms)
        self.tasks.spawn(self.play(Try(first, number, tries.cls[first], tries.zone[first], began, due)))

    # One try.

    async def play(self, one: Try) -> None:
        """From a connection to the answer, or to the end of the try's time."""
        self.open += 1
        early = self.chance() < self.scenario.rig.early_part
        ends = one.due - (0.5 * (one.due - self.recorder.now()) if early else 0.0)
        try:
            while True:
                status = await self.attempt(one, ends)
                if status != -2 or one.crossings > 1:
                    break
        finally:
            self.open -= 1
        if status in (429, 503):
            heeds = (one.first * 2246822519 >> 5) % 1000 < 1000 * self.honour
            self.again(one, max(self.backoff, one.wait) if heeds else self.backoff)
        elif status == 0 or status == -2:
            self.again(one, self.backoff)
        elif status not in (200, -1):
            wanted = self.scenario.classes[one.cls]
            if wanted.effect == "safe" or (wanted.effect == "keyed" and wanted.group == "all"):
                self.again(one, self.backoff)

    async def attempt(self, one: Try, ends: float) -> int:
        """Send it, and return the answer's status; 0 if it may not have been taken and never will be, -1 if
        the client waits no longer, 599 if a connection ended that had taken it, -2 if an idle one was just
        closing."""
        try:
            async with asyncio.timeout((ends - self.recorder.now()) / 1000):
                connection = await self.connection(one.zone)
                fresh = connection.used == 0
                await connection.send(one, self.request(one))
                written = self.recorder.now()
                self.recorder.write(
                    Asked(
                        round(written, 3), one.first, one.number, one.id, one.cls, one.zone, connection.port,
                        round(one.due, 3), fresh, round(one.began, 3),
                    )
                )  # fmt: skip
                status = await asyncio.shield(connection.answer)  # it may still come when time is over
        except TimeoutError:
            if one.connection is not None:
                self.tasks.spawn(self.hear_out(one, one.connection, ends))
            return -1
        except OSError:
            return 0
        if status == 0 and not fresh and self.recorder.now() - written < CROSSED and not connection.got:
            one.crossings += 1
            one.id = f"{one.id[:-2]}{one.crossings:02x}"
            return -2
        if status == 0:
            return 0 if fresh and not connection.got else 599
        return status

    async def hear_out(self, one: Try, connection: Connection, ends: float) -> None:
        """The try is over for its client; what still comes is noted, unless the client has left."""
        early = ends < one.due
        if not early and connection.answer is not None and connection.one is one:
            await asyncio.wait([connection.answer], timeout=AFTER_DUE)
        if connection.one is one:
            self.recorder.write(Answered(self.recorder.now(), one.id, -1))
            connection.one = None
            connection.transport.abort()

    def again(self, one: Try, wait: float) -> None:
        deadline = self.scenario.classes[one.cls].deadline_ms
        if one.number < self.retries and self.recorder.now() + wait < one.began + deadline:
            self.loop.call_later(wait / 1000, self.begin, one.first, one.number + 1, one.began)

    def request(self, one: Try) -> list[bytes]:
        """The request's bytes; in pieces where it is written slowly."""
        wanted, tries, rig = self.scenario.classes[one.cls], self.plan.tries, self.scenario.rig
        method = METHODS[wanted.effect]
        target = f"/{wanted.name}/{one.first}?work={tries.work[one.first]:.3f}"
        left = max(1, int(one.due - self.recorder.now()))
        lines = [f"{method.decode()} {target} HTTP/1.1", "Host: farm", f"Request-Id: {one.id}"]
        lines.append(f"Request-Timeout: {left}m")
        if self.scenario.tenants:
            lines.append(f"Tenant: {self.scenario.tenants[tries.tenant[one.first]].name}")
        if wanted.effect == "keyed":
            lines.append(f"Idempotency-Key: {one.first:032x}")
        body = b""
        if method == b"POST":
            body = bytes(self.body_size())
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        if body and self.chance() < rig.slow_part:
            piece = max(1, int(rig.slow_bytes_s * PIECES))
            return [head] + [body[i : i + piece] for i in range(0, len(body), piece)]
        return [head + body]

    # Connections.

    async def connection(self, zone: int) -> Connection:
        idle, now = self.idle[zone], self.loop.time()
        while idle:
            connection = idle.pop()
            if not connection.transport.is_closing() and now - connection.idle_since < IDLE:
                return connection
            connection.transport.close()
        _, made = await self.loop.create_connection(lambda: Connection(self, zone), *self.fronts[zone])
        return made

    # Calls of the rig.

    def do_stop(self) -> None:
        """No further first tries; what is out goes on."""
        self.next = len(self.plan.tries.at)

    def do_left(self) -> int:
        """Tries not sent yet and not answered yet."""
        return len(self.plan.tries.at) - self.next + self.open


class Connection(asyncio.Protocol):
    """One connection to the front: a request at a time."""

    def __init__(self, clients: Clients, zone: int) -> None:
        self.clients, self.zone = clients, zone
        self.used, self.got = 0, 0
        self.idle_since = 0.0
        self.one: Try | None = None
        self.answer: asyncio.Future[int] = clients.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port: int = transport.get_extra_info("sockname")[1]

    async def send(self, one: Try, pieces: list[bytes]) -> None:
        self.one, one.connection = one, self
        self.used += 1
        self.got = 0
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.headers: dict[bytes, bytes] = {}
        self.answer = self.clients.loop.create_future()
        for piece in pieces[:-1]:
            self.transport.write(piece)
            await asyncio.sleep(PIECES)
        self.transport.write(pieces[-1])

    def data_received(self, data: bytes) -> None:
        self.got += len(data)
        if self.one is None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        one, status = self.one, self.parser.get_status_code()
        if one is None:
            return
        self.one = None
        made = self.made() if status == 200 else {}
        whole = status != 200 or made.get("id") == one.id
        one.wait = 1000 * float(self.headers.get(b"retry-after", b"0"))
        self.clients.recorder.write(
            Answered(
                round(self.clients.recorder.now(), 3), one.id, status, whole, str(made.get("server", "")),
                str(made.get("version", "")), wait=one.wait,
            )
        )  # fmt: skip
        if not self.answer.done():
            self.answer.set_result(status)
        if self.parser.should_keep_alive() and not self.transport.is_closing():
            self.idle_since = self.clients.loop.time()
            self.clients.idle[self.zone].append(self)
        else:
            self.transport.close()

    def made(self) -> dict[str, Any]:
        """What a job server says in its answer; nothing if it was none of theirs."""
        try:
            made = json.loads(self.body)
        except ValueError:
            return {}
        return made if isinstance(made, dict) else {}

    def connection_lost(self, exc: Exception | None) -> None:
        one, self.one = self.one, None
        if one is not None:
            self.clients.recorder.write(Answered(self.clients.recorder.now(), one.id, 0, bytes=self.got))
        if not self.answer.done():
            self.answer.set_result(0)


if __name__ == "__main__":
    run(Clients)
