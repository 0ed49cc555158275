"""Generates open-loop load for nodes on this machine.

Each request is sent at its planned time, whatever became of the earlier ones. Latencies are counted from that
time, so that a node that stalls is charged for every request that it delayed. Rate, duration and number of
requests are bounded.
"""

from __future__ import annotations

import asyncio
import secrets
from collections import deque
from dataclasses import dataclass, field
from typing import Any, cast
from urllib.parse import urlsplit

import httptools
import msgspec
import numpy as np
import uvloop
from hdrh.histogram import HdrHistogram

from flaxstep.faultbench.fake_service import Address, FaultBenchError, require_loopback

MAX_RATE_PER_S, MAX_SECONDS, MAX_REQUESTS = 50_000.0, 3600.0, 5_000_000
MAX_CONNECTIONS = 10_000
EFFECTS = ("safe", "keyed", "unsafe")
MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3  # of the latency histograms
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A class of requests: its name is the first part of the path, its effect says what a repeat does."""

    name: str
    effect: str
    share: float


@dataclass(frozen=True, slots=True)
class Step:
    """A constant rate for some time."""

    rate: float  # requests per second
    seconds: float


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What to send, where, and when."""

    targets: list[Address]
    classes: list[LoadClass]
    steps: list[Step]
    body: int = 0  # bytes, of requests other than GET
    timeout_ms: float = 1000.0
    tenant: str = ""
    seed: int = 1
    poisson: bool = True  # arrivals as a Poisson process; otherwise evenly spaced


class ClassCounts(msgspec.Struct):
    """The requests of a class by outcome. Latencies are those of 200 responses, from the planned time."""

    name: str
    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0  # other statuses, and connections that ended early
    late: int = 0  # no response within the timeout
    unsent: int = 0  # no connection could be opened
    latency_ms: dict[str, float] = {}


class LoadSummary(msgspec.Struct):
    """The result of a run, as printed."""

    seconds: float
    classes: list[ClassCounts]
    behind_ms: float  # 99th percentile of the generator's own send delay; if high, the load is not as planned


@dataclass(slots=True)
class ClassTally:
    """The counts of a class and the histogram of its latencies, in µs."""

    counts: ClassCounts
    latencies: Any = field(
        default_factory=lambda: HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )


def parse_target(url: str) -> Address:
    """Host and port of an http:// URL on the loopback network; FaultBenchError for anything else."""
    parts = urlsplit(url if "//" in url else f"//{url}", scheme="http")
    try:
        port = parts.port
    except ValueError:
        port = None
    if parts.scheme != "http" or not parts.hostname or port is None or parts.path.strip("/"):
        raise FaultBenchError(f"{url}: not http://HOST:PORT")
    return require_loopback(parts.hostname), port


def parse_class(text: str) -> LoadClass:
    """Parse NAME=EFFECT[:SHARE], with an effect of safe, keyed or unsafe."""
    name, equals, rest = text.partition("=")
    effect, _, share = rest.partition(":")
    try:
        share_value = float(share or 1)
    except ValueError:
        share_value = -1.0
    if (
        not name
        or not equals
        or effect not in EFFECTS
        or not 0 < share_value < float("inf")
        or not name.isascii()
    ):
        raise FaultBenchError(f"{text}: not NAME=EFFECT[:SHARE], with an effect of {', '.join(EFFECTS)}")
    return LoadClass(name, effect, share_value)


def parse_steps(text: str) -> list[Step]:
    """Parse RATE:SECONDS[,RATE:SECONDS...] and check it against the limits."""
    steps = []
    for part in text.split(","):
        rate, colon, seconds = part.partition(":")
        try:
            steps.append(Step(float(rate), float(seconds)))
        except ValueError:
            raise FaultBenchError(f"{text}: not RATE:SECONDS[,RATE:SECONDS...]") from None
    if any(not 0 <= step.rate <= MAX_RATE_PER_S or not 0 < step.seconds <= MAX_SECONDS for step in steps):
        raise FaultBenchError(f"{text}: at most {MAX_RATE_PER_S:g} requests per second and {MAX_SECONDS:g} s")
    if sum(step.seconds for step in steps) > MAX_SECONDS:
        raise FaultBenchError(f"{text}: more than {MAX_SECONDS:g} s in total")
    if sum(step.rate * step.seconds for step in steps) > MAX_REQUESTS:
        raise FaultBenchError(f"{text}: more than {MAX_REQUESTS} requests")
    return steps


def draw_arrivals(plan: LoadPlan) -> list[tuple[float, int]]:
    """Draw the planned time (s) of each request and the index of its class."""
    generator = np.random.Generator(np.random.PCG64(plan.seed))
    times: list[float] = []
    start = 0.0
    for step in plan.steps:
        expected = step.rate * step.seconds
        arrival_count = int(generator.poisson(expected)) if plan.poisson else round(expected)
        offsets = (
            np.sort(generator.uniform(0, step.seconds, arrival_count))
            if plan.poisson
            else np.arange(arrival_count) / step.rate
        )
        times += (start + offsets).tolist()
        start += step.seconds
    shares = np.array([cls.share for cls in plan.classes])
    class_indices = generator.choice(len(shares), len(times), p=shares / shares.sum())
    return list(zip(times, class_indices.tolist(), strict=True))


class LoadRun:
    """One run of a load plan."""

    def __init__(self, plan: LoadPlan, loop: asyncio.AbstractEventLoop) -> None:
        self.plan, self.loop = plan, loop
        self.arrivals = draw_arrivals(plan)
        self.tallies = [ClassTally(ClassCounts(cls.name)) for cls in plan.classes]
        self.send_delays = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.idle_connections: list[deque[LoadConnection]] = [deque() for _ in plan.targets]
        self.open_requests = self.connections = self.next_arrival = 0
        self.run_id = secrets.token_hex(4)  # makes request ids differ between runs
        self.tasks: set[asyncio.Task[None]] = set()
        self.all_sent = loop.create_future()

    async def run(self) -> LoadSummary:
        """Send all requests and wait for their responses or timeouts."""
        self.start_time = self.loop.time() + 0.05
        self.send_due()
        await self.all_sent
        while self.tasks:
            await asyncio.wait(self.tasks)
        for idle in self.idle_connections:
            for connection in idle:
                connection.transport.close()
        for tally in self.tallies:
            tally.counts.latency_ms = latency_percentiles(tally.latencies)
        send_delay_ms = round(self.send_delays.get_value_at_percentile(99) / 1000, 3)
        return LoadSummary(
            round(self.loop.time() - self.start_time, 3), [t.counts for t in self.tallies], send_delay_ms
        )

    def send_due(self) -> None:
        """Send the requests that are due and set the timer for the next one."""
        now = self.loop.time() - self.start_time
        while self.next_arrival < len(self.arrivals) and self.arrivals[self.next_arrival][0] <= now:
            at, cls = self.arrivals[self.next_arrival]
            task = self.loop.create_task(self.send_request(self.next_arrival, at, cls))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            self.next_arrival += 1
        if self.next_arrival < len(self.arrivals):
            self.loop.call_at(self.start_time + self.arrivals[self.next_arrival][0], self.send_due)
        else:
            self.loop.call_later(0, self.all_sent.set_result, None)

    async def send_request(self, number: int, at: float, cls: int) -> None:
        """Send one request planned for `at` (s) and count its outcome."""
        tally, target = self.tallies[cls], number % len(self.plan.targets)
        counts, timeout_s = tally.counts, self.plan.timeout_ms / 1000
        connection: LoadConnection | None = None
        try:
            async with asyncio.timeout_at(self.start_time + at + timeout_s):
                connection = await self.get_connection(target)
                if connection is None:
                    counts.unsent += 1
                    return
                self.send_delays.record_value(max(1, int(1e6 * (self.loop.time() - self.start_time - at))))
                counts.sent += 1
                status = await connection.send(self.build_request(number, cls))
        except TimeoutError:
            counts.late += 1
            if connection is not None:
                connection.transport.abort()
            return
        except OSError:
            counts.unsent += 1
            return
        if status == 200:
            counts.served += 1
            tally.latencies.record_value(max(1, int(1e6 * (self.loop.time() - self.start_time - at))))
        elif status in (429, 503):
            counts.refused += 1
        else:
            counts.failed += 1
        if status and connection.reusable():
            self.idle_connections[target].append(connection)

    async def get_connection(self, target: int) -> LoadConnection | None:
        """Reuse an idle connection or open one; None if too many are open."""
        idle = self.idle_connections[target]
        while idle:
            connection = idle.pop()
            if not connection.transport.is_closing():
                return connection
        if self.connections >= MAX_CONNECTIONS:
            return None
        self.connections += 1
        try:
            _, new_connection = await self.loop.create_connection(
                lambda: LoadConnection(self), *self.plan.targets[target]
            )
        except BaseException:
            self.connections -= 1
            raise
        return new_connection

    def build_request(self, number: int, cls: int) -> bytes:
        """The bytes of a request."""
        load_class, plan = self.plan.classes[cls], self.plan
        method = "GET" if load_class.effect == "safe" else "POST"
        request_id = f"{self.run_id}{number:08x}"
        lines = [f"{method} /{load_class.name}/{number} HTTP/1.1", "Host: load", f"Request-Id: {request_id}"]
        lines.append(f"Request-Timeout: {max(1, round(plan.timeout_ms))}m")
        if plan.tenant:
            lines.append(f"Tenant: {plan.tenant}")
        if load_class.effect == "keyed":
            lines.append(f"Idempotency-Key: {request_id:0>32}")
        body = bytes(plan.body) if method == "POST" else b""
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class LoadConnection(asyncio.Protocol):
    """One connection to a target, with one request at a time."""

    def __init__(self, load_run: LoadRun) -> None:
        self.load_run = load_run
        self.response_status: asyncio.Future[int] = load_run.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    async def send(self, request: bytes) -> int:
        """Send a request and return its status, or 0 if the connection ended before the whole response."""
        self.parser = httptools.HttpResponseParser(self)
        self.response_status = self.load_run.loop.create_future()
        self.transport.write(request)
        return await self.response_status

    def reusable(self) -> bool:
        """Whether another request can be sent on the connection."""
        return self.parser.should_keep_alive() and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, AttributeError):  # not HTTP, or a response without a request
            self.transport.abort()

    def on_message_complete(self) -> None:
        if not self.response_status.done():
            self.response_status.set_result(self.parser.get_status_code())

    def connection_lost(self, exc: Exception | None) -> None:
        self.load_run.connections -= 1
        if not self.response_status.done():
            self.response_status.set_result(0)


def latency_percentiles(histogram: Any) -> dict[str, float]:
    """Percentiles and maximum in ms by name, such as p99; empty if nothing was recorded."""
    if not histogram.get_total_count():
        return {}
    found = {f"p{rank:g}": round(histogram.get_value_at_percentile(rank) / 1000, 3) for rank in PERCENTILES}
    return found | {"max": round(histogram.get_max_value() / 1000, 3)}


def run_load(plan: LoadPlan) -> LoadSummary:
    """Run a load plan in an event loop of its own."""

    async def run() -> LoadSummary:
        return await LoadRun(plan, asyncio.get_running_loop()).run()

    return uvloop.run(run())
