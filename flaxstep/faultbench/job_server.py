"""A job server as a process: the simulator's job server in real time, behind HTTP/1.1.

The work of a request is given in its query (`?work=34.5`, ms on a standard core), which nodes forward
unchanged. The server sends each idempotency key that it begins to the other servers of its rack by datagram;
they do not run a repeat of it within the class's window.
"""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from flaxstep.faultbench.fake_service import Address, FakeService, RealEngine, require_loopback, run_service
from flaxstep.faultbench.forwarder import reset_connection
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

SAMPLE_INTERVAL_S = 0.25
NOISE_FACTORS = 1 << 10
MAX_REMEMBERED_KEYS = 100_000


class AttemptOwner:
    """Stands in for the node that owns an attempt in the simulator's server; here only its zone counts."""

    def __init__(self, zone: int) -> None:
        self.zone = zone

    def on_attempt_outcome(self, attempt: Attempt, result: Result) -> None:
        """Nothing to do: results are sent over the connection."""


class JobServer(FakeService):
    """The job server's process: listener, rack datagrams, and the simulator's server that runs the work."""

    def __init__(self, config: dict[str, Any], recorder: Recorder, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self.recorder, self.loop = config, recorder, loop
        self.number: int = config["server"]["number"]
        self.name, self.version = config["name"], config["version"]
        self.address: Address = (require_loopback(config["host"]), config["port"])
        self.rack_mates: list[Address] = [tuple(address) for address in config["rack"]]
        self.engine, self.totals = RealEngine(loop, recorder), WorkTotals()
        streams = RandomStreams(config["seed"])
        self.server = Server(
            cast(Engine, self.engine),
            ServerPlan(**config["server"]),
            ThrottlingPlan(**config["choke"]),
            tuple(config["tip"]),
            self.totals,
            streams.uniform(f"faults {self.number}"),
            self.on_result,
        )
        self.owner = AttemptOwner(config["server"]["zone"])
        generator = streams.generator(f"noise {self.number}")
        self.noise = [lognormal(generator, cv, NOISE_FACTORS).tolist() for cv in config["noise"]]
        self.classes: dict[str, int] = {c: i for i, c in enumerate(config["classes"])}
        self.windows: list[float] = config[
            "windows"
        ]  # ms, by class: how long a repeated key is not run again
        self.connection_by_attempt: dict[int, Connection] = {}  # by the attempt's number
        self.connections: set[Connection] = set()
        self.begun_keys: dict[str, float] = {}  # keys begun in this rack: when
        self.attempt_count = 0
        self.listener: asyncio.Server | None = None
        self.crashed = False
        self.figures: dict[str, Any] | None = config[
            "figures"
        ]  # how the version that runs here differs from the standard one
        self.started_at = 0.0
        if config["cold"]:
            self.server.start_process()

    async def start(self) -> None:
        self.started_at = self.loop.time()
        if self.figures is None or self.figures["ready"]:
            self.listener = await self.loop.create_server(
                lambda: Connection(self), *self.address, backlog=1024
            )
        rack_sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        rack_sender.setblocking(False)
        rack_sender.bind(self.address)
        self.rack_sender, _ = await self.loop.create_datagram_endpoint(
            lambda: RackReceiver(self), sock=rack_sender
        )
        self.loop.call_later(UPDATE_INTERVAL_MS / 1000, self.tick)
        self.loop.call_later(SAMPLE_INTERVAL_S, self.record_sample)

    # Requests.

    def start_request(self, connection: Connection, target: str, request_id: str, key: str) -> None:
        parts = urlsplit(target)
        cls = self.classes.get(parts.path.split("/")[1], 0)
        work = float(parse_qs(parts.query).get("work", ["20"])[0])
        self.attempt_count += 1
        work *= self.noise[cls][self.attempt_count % NOISE_FACTORS]
        now = self.recorder.now()
        repeat = bool(key) and now - self.begun_keys.get(key, -1e12) < self.windows[cls]
        self.recorder.write(
            Began(
                now, request_id, key, self.number, self.version, connection.port, connection.turn,
                connection.first_byte_ms, round(work, 3), repeat,
            )
        )  # fmt: skip
        attempt = Attempt(self.owner, self.attempt_count, 0, cls, self.number, work, now, 0, self.owner.zone)
        connection.attempt, connection.request_id = attempt, request_id
        self.connection_by_attempt[self.attempt_count] = connection
        if repeat:
            self.engine.call_after(1.0, self.on_result, attempt, Result.OK)
            return
        if key:
            self.remember_key(key)
            for rack_mate in self.rack_mates:
                self.rack_sender.sendto(key.encode(), rack_mate)
        self.server.on_arrival(attempt)
        if not self.server.up and not self.crashed:
            self.crash()

    def remember_key(self, key: str) -> None:
        self.begun_keys[key] = self.recorder.now()
        if len(self.begun_keys) > MAX_REMEMBERED_KEYS:
            del self.begun_keys[next(iter(self.begun_keys))]

    def on_result(self, attempt: Attempt, result: Result) -> None:
        connection = self.connection_by_attempt.pop(attempt.request_id, None)
        if connection is None:
            return
        if result is Result.OK:
            self.totals.useful_ms += attempt.work_ms
        self.record_end(connection, result.name.lower())
        connection.respond(result)

    def record_end(self, connection: Connection, result: str) -> None:
        connection.attempt = None
        self.recorder.write(
            Ended(
                self.recorder.now(),
                connection.request_id,
                self.number,
                connection.port,
                connection.turn,
                result,
            )
        )

    def abandon(self, connection: Connection) -> None:
        """Handles a closed connection: drops its work if queued; if running, only with `cancel_running`."""
        attempt = connection.attempt
        if attempt is not None:
            self.connection_by_attempt.pop(attempt.request_id, None)
            self.record_end(connection, "left")
            self.server.abandon_attempt(attempt, self.config["cancel_running"])

    def crash(self) -> None:
        """Handles a crash by overload: closes the listener and resets all connections until a restart."""
        self.crashed = True
        self.recorder.write(Fell(self.recorder.now(), self.number))
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            reset_connection(connection.transport)

    # Periodic work, and calls from the rig.

    def apply_version_figures(self, figures: dict[str, Any]) -> None:
        """Applies the slowness and error rate of a version once its `after_s` has passed."""
        if self.loop.time() - self.started_at < figures["after_s"]:
            return
        slow = figures["slow"] if self.server.requests_held > figures["slow_over"] else 1.0
        if (slow, figures["errors"]) != (self.server.slow, self.server.errors):
            self.server.advance_work()
            self.server.slow, self.server.errors = slow, figures["errors"]
            self.server.reschedule_completion()

    def tick(self) -> None:
        if self.figures is not None:
            self.apply_version_figures(self.figures)
        self.server.connection_count = len(self.connections)
        self.server.update_state()
        self.loop.call_later(UPDATE_INTERVAL_MS / 1000, self.tick)

    def record_sample(self) -> None:
        server = self.server
        server.advance_work()
        now, cold = self.recorder.now(), server.warm_share() < 1.0
        done, useful = round(self.totals.done_ms, 3), round(self.totals.useful_ms, 3)
        self.recorder.write(
            Held(now, self.number, server.requests_held, cold, server.is_throttled, done, useful)
        )
        self.loop.call_later(SAMPLE_INTERVAL_S, self.record_sample)

    def do_set(self, **figures: float) -> None:
        """Sets figures of the simulator's server: slow, errors, lost, resets, taken, paused."""
        for name, value in figures.items():
            if name not in ("slow", "errors", "lost", "resets", "taken", "paused"):
                raise ValueError(f"no figure {name!r}")
            self.server.advance_work()
            setattr(self.server, name, value)
            self.server.reschedule_completion()


class Connection(asyncio.Protocol):
    """A connection from a node, which carries one request at a time."""

    def __init__(self, server: JobServer) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.attempt: Attempt | None = None
        self.request_id = ""
        self.turn = -1
        self.first_byte_ms = 0.0
        self.receiving = False  # part of a request has arrived
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port: int = transport.get_extra_info("peername")[1]
        self.over_capacity = len(self.server.connections) >= self.server.server.plan.connections
        self.server.connections.add(self)
        self.start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        self.server.abandon(self)
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def start_idle_timer(self) -> None:
        self.idle_timer = self.server.loop.call_later(self.server.config["idle_s"], self.transport.close)

    def data_received(self, data: bytes) -> None:
        if not self.receiving and self.attempt is None:
            self.receiving, self.first_byte_ms = True, self.server.recorder.now()
            self.turn += 1
            if self.idle_timer is not None:
                self.idle_timer.cancel()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.write_response(b"400 Bad Request", b"", close=True)

    def on_message_begin(self) -> None:
        self.target = b""
        self.headers: dict[bytes, bytes] = {}

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        self.receiving = False
        request_id = self.headers.get(b"request-id", b"").decode("latin-1")
        if self.target == b"/ping":
            self.write_response(b"200 OK", b"pong\n")
        elif self.target == b"/selftest":
            wrong = self.server.figures is not None and self.server.figures["wrong"]
            self.write_response(b"200 OK", b"41\n" if wrong else b"42\n")
        elif not request_id:
            self.write_response(b"404 Not Found", b"")
        elif self.over_capacity:
            self.write_response(b"503 Service Unavailable", b"", b"Not-Started: 1\r\n", close=True)
        else:
            key = self.headers.get(b"idempotency-key", b"").decode("latin-1")
            self.server.start_request(self, self.target.decode("latin-1"), request_id, key)

    def respond(self, result: Result) -> None:
        if result is Result.OK:
            content = {"id": self.request_id, "server": self.server.name, "version": self.server.version}
            self.write_response(b"200 OK", json.dumps(content).encode())
        elif result is Result.ERROR:
            self.write_response(b"500 Internal Server Error", b"error\n")
        elif result is Result.FULL:
            self.write_response(b"503 Service Unavailable", b"", b"Not-Started: 1\r\n")
        else:
            reset_connection(self.transport)

    def write_response(
        self, status: bytes, body: bytes, extra_headers: bytes = b"", close: bool = False
    ) -> None:
        if close:
            extra_headers += b"Connection: close\r\n"
        head = b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n" % (status, len(body), extra_headers)
        self.transport.write(head + body)
        if close:
            self.transport.close()
        else:
            self.start_idle_timer()


class RackReceiver(asyncio.DatagramProtocol):
    """Receives the keys that other servers of the rack have begun."""

    def __init__(self, server: JobServer) -> None:
        self.server = server

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.server.remember_key(data.decode())


if __name__ == "__main__":
    run_service(JobServer)
