"""A job server as a process: the lab's server, with the real clock, behind HTTP/1.1.

The work of a request stands in its query (`?work=34.5`, ms on a standard core), which nodes pass on
unchanged. Its rack mates hear of each key that it began, by datagram, and drop a repeat for the class's
window.
"""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from flaxstep.faultbench.fake_service import Address, FakeService, RealEngine, loopback, run
from flaxstep.faultbench.forwarder import reset
from flaxstep.faultbench.records import Began, Ended, Fell, Held, Recorder
from flaxstep.routing.interface import Result
from flaxstep.simulator.engine import Engine, RandomStreams
from flaxstep.simulator.job_servers import (
    UPDATE_INTERVAL_MS,
    Attempt,
    Server,
    ServerPlan,
    ThrottlingPlan,
    WorkTotals,
)
from flaxstep.simulator.sampling import lognormal

SAMPLE = 0.25  # s
NOISE = 1 << 10
MOST_KEYS = 100_000


class Owner:
    """The lab's server asks its attempts whose they are; here only the zone counts."""

    def __init__(self, zone: int) -> None:
        self.zone = zone

    def on_attempt_outcome(self, attempt: Attempt, result: Result) -> None:
        """Outcomes go back over the connection."""


class JobServer(FakeService):
    def __init__(self, config: dict[str, Any], recorder: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.recorder, self.loop = config, recorder, loop
        self.number: int = config["server"]["number"]
        self.name, self.version = config["name"], config["version"]
        self.address: Address = (loopback(config["host"]), config["port"])
        self.rack: list[Address] = [tuple(address) for address in config["rack"]]
        self.engine, self.tally = RealEngine(loop, recorder), WorkTotals()
        streams = RandomStreams(config["seed"])
        self.server = Server(
            cast(Engine, self.engine),
            ServerPlan(**config["server"]),
            ThrottlingPlan(**config["choke"]),
            tuple(config["tip"]),
            self.tally,
            streams.uniform(f"faults {self.number}"),
            self.answered,
        )
        self.owner = Owner(config["server"]["zone"])
        generator = streams.generator(f"noise {self.number}")
        self.noise = [lognormal(generator, cv, NOISE).tolist() for cv in config["noise"]]
        self.classes: dict[str, int] = {c: i for i, c in enumerate(config["classes"])}
        self.windows: list[float] = config["windows"]  # ms, by class: how long a repeat is dropped
        self.out: dict[int, Connection] = {}  # by attempt
        self.connections: set[Connection] = set()
        self.keys: dict[str, float] = {}  # begun in this rack: when
        self.serial = 0
        self.door: asyncio.Server | None = None
        self.fallen = False
        self.figures: dict[str, Any] | None = config["figures"]  # how its version differs
        self.since = 0.0
        if config["cold"]:
            self.server.start_process()

    async def start(self) -> None:
        self.since = self.loop.time()
        if self.figures is None or self.figures["ready"]:
            self.door = await self.loop.create_server(lambda: Connection(self), *self.address, backlog=1024)
        mates = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        mates.setblocking(False)
        mates.bind(self.address)
        self.mates, _ = await self.loop.create_datagram_endpoint(lambda: Rack(self), sock=mates)
        self.loop.call_later(UPDATE_INTERVAL_MS / 1000, self.look)
        self.loop.call_later(SAMPLE, self.sample)

    # Requests.

    def arrive(self, connection: Connection, target: str, request_id: str, key: str) -> None:
        parts = urlsplit(target)
        cls = self.classes.get(parts.path.split("/")[1], 0)
        work = float(parse_qs(parts.query).get("work", ["20"])[0])
        self.serial += 1
        work *= self.noise[cls][self.serial % NOISE]
        now = self.recorder.now()
        repeat = bool(key) and now - self.keys.get(key, -1e12) < self.windows[cls]
        self.recorder.write(
            Began(
                now, request_id, key, self.number, self.version, connection.port, connection.turn,
                connection.first, round(work, 3), repeat,
            )
        )  # fmt: skip
        attempt = Attempt(self.owner, self.serial, 0, cls, self.number, work, now, 0, self.owner.zone)
        connection.attempt, connection.id = attempt, request_id
        self.out[self.serial] = connection
        if repeat:
            self.engine.call_after(1.0, self.answered, attempt, Result.OK)
            return
        if key:
            self.remember(key)
            for mate in self.rack:
                self.mates.sendto(key.encode(), mate)
        self.server.on_arrival(attempt)
        if not self.server.up and not self.fallen:
            self.fall()

    def remember(self, key: str) -> None:
        self.keys[key] = self.recorder.now()
        if len(self.keys) > MOST_KEYS:
            del self.keys[next(iter(self.keys))]

    def answered(self, attempt: Attempt, result: Result) -> None:
        connection = self.out.pop(attempt.request_id, None)
        if connection is None:
            return
        if result is Result.OK:
            self.tally.useful_ms += attempt.work_ms
        self.ended(connection, result.name.lower())
        connection.answer(result)

    def ended(self, connection: Connection, result: str) -> None:
        connection.attempt = None
        self.recorder.write(
            Ended(self.recorder.now(), connection.id, self.number, connection.port, connection.turn, result)
        )

    def drop(self, connection: Connection) -> None:
        """The caller has gone: work that waits goes, running work where the day says so."""
        attempt = connection.attempt
        if attempt is not None:
            self.out.pop(attempt.request_id, None)
            self.ended(connection, "left")
            self.server.abandon_attempt(attempt, self.config["cancel_running"])

    def fall(self) -> None:
        """Pushed over: it takes nothing any more until it is started again."""
        self.fallen = True
        self.recorder.write(Fell(self.recorder.now(), self.number))
        if self.door is not None:
            self.door.close()
        for connection in list(self.connections):
            reset(connection.transport)

    # The model's clock, and calls of the rig.

    def differ(self, figures: dict[str, Any]) -> None:
        """What the version does otherwise than others, once its time has come."""
        if self.loop.time() - self.since < figures["after_s"]:
            return
        slow = figures["slow"] if self.server.requests_held > figures["slow_over"] else 1.0
        if (slow, figures["errors"]) != (self.server.slow, self.server.errors):
            self.server.advance_work()
            self.server.slow, self.server.errors = slow, figures["errors"]
            self.server.reschedule_completion()

    def look(self) -> None:
        if self.figures is not None:
            self.differ(self.figures)
        self.server.connection_count = len(self.connections)
        self.server.update_state()
        self.loop.call_later(UPDATE_INTERVAL_MS / 1000, self.look)

    def sample(self) -> None:
        server = self.server
        server.advance_work()
        now, cold = self.recorder.now(), server.warm_share() < 1.0
        done, useful = round(self.tally.done_ms, 3), round(self.tally.useful_ms, 3)
        self.recorder.write(
            Held(now, self.number, server.requests_held, cold, server.is_throttled, done, useful)
        )
        self.loop.call_later(SAMPLE, self.sample)

    def do_set(self, **figures: float) -> None:
        """Figures of the lab's server (slow, errors, lost, resets, taken, paused) from now on."""
        for name, value in figures.items():
            if name not in ("slow", "errors", "lost", "resets", "taken", "paused"):
                raise ValueError(f"no figure {name!r}")
            self.server.advance_work()
            setattr(self.server, name, value)
            self.server.reschedule_completion()


class Connection(asyncio.Protocol):
    """One connection of a node: a request at a time."""

    def __init__(self, server: JobServer) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.attempt: Attempt | None = None
        self.id = ""
        self.turn = -1
        self.first = 0.0
        self.open = False  # a request is on its way in
        self.idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port: int = transport.get_extra_info("peername")[1]
        self.crowded = len(self.server.connections) >= self.server.server.plan.connections
        self.server.connections.add(self)
        self.rest()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        self.server.drop(self)
        if self.idle is not None:
            self.idle.cancel()

    def rest(self) -> None:
        self.idle = self.server.loop.call_later(self.server.config["idle_s"], self.transport.close)

    def data_received(self, data: bytes) -> None:
        if not self.open and self.attempt is None:
            self.open, self.first = True, self.server.recorder.now()
            self.turn += 1
            if self.idle is not None:
                self.idle.cancel()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.write(b"400 Bad Request", b"", last=True)

    def on_message_begin(self) -> None:
        self.target = b""
        self.headers: dict[bytes, bytes] = {}

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        self.open = False
        request_id = self.headers.get(b"request-id", b"").decode("latin-1")
        if self.target == b"/ping":
            self.write(b"200 OK", b"pong\n")
        elif self.target == b"/selftest":
            wrong = self.server.figures is not None and self.server.figures["wrong"]
            self.write(b"200 OK", b"41\n" if wrong else b"42\n")
        elif not request_id:
            self.write(b"404 Not Found", b"")
        elif self.crowded:
            self.write(b"503 Service Unavailable", b"", b"Not-Started: 1\r\n", last=True)
        else:
            key = self.headers.get(b"idempotency-key", b"").decode("latin-1")
            self.server.arrive(self, self.target.decode("latin-1"), request_id, key)

    def answer(self, result: Result) -> None:
        if result is Result.OK:
            made = {"id": self.id, "server": self.server.name, "version": self.server.version}
            self.write(b"200 OK", json.dumps(made).encode())
        elif result is Result.ERROR:
            self.write(b"500 Internal Server Error", b"error\n")
        elif result is Result.FULL:
            self.write(b"503 Service Unavailable", b"", b"Not-Started: 1\r\n")
        else:
            reset(self.transport)

    def write(self, status: bytes, body: bytes, extra: bytes = b"", last: bool = False) -> None:
        if last:
            extra += b"Connection: close\r\n"
        head = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n" % (status, len(body), extra)
        self.transport.write(head + body)
        if last:
            self.transport.close()
        else:
            self.rest()


class Rack(asyncio.DatagramProtocol):
    """What rack mates tell: a key that one of them began."""

    def __init__(self, server: JobServer) -> None:
        self.server = server

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.server.remember(data.decode())


if __name__ == "__main__":
    run(JobServer)
