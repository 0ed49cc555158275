"""Open-loop load for any node on this machine: requests at their times, whatever becomes of those before.

Latencies are counted from the time at which a request was meant to be sent, so a node that stalls is charged
for all that it kept waiting. Bounded in rate, time and number.
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

MOST_RATE, MOST_SECONDS, MOST_REQUESTS = 50_000.0, 3600.0, 5_000_000
MOST_CONNECTIONS = 10_000
EFFECTS = ("safe", "keyed", "unsafe")
LEAST_US, MOST_US, DIGITS = 1, 120_000_000, 3  # of the histograms
QUANTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A class of requests: the first part of the path, what a repeat does, and its share."""

    name: str
    effect: str
    share: float


@dataclass(frozen=True, slots=True)
class Step:
    rate: float  # a second
    seconds: float


@dataclass(frozen=True, slots=True)
class Order:
    """What to send, where, and when."""

    targets: list[Address]
    classes: list[LoadClass]
    steps: list[Step]
    body: int = 0  # bytes of requests that have one
    timeout_ms: float = 1000.0
    tenant: str = ""
    seed: int = 1
    poisson: bool = True  # arrivals by chance; otherwise evenly spaced


class Count(msgspec.Struct):
    """What came of the requests of a class. Latencies in ms, of answers 200, from the intended send."""

    name: str
    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0  # other answers, and connections that ended
    late: int = 0  # no answer within the time-out
    unsent: int = 0  # no connection could be had
    latency_ms: dict[str, float] = {}


class Summary(msgspec.Struct):
    seconds: float
    classes: list[Count]
    behind_ms: (
        float  # how late the generator itself sent, 99 of 100; beyond some ms the load is not what was asked
    )


@dataclass(slots=True)
class Tally:
    count: Count
    took: Any = field(default_factory=lambda: HdrHistogram(LEAST_US, MOST_US, DIGITS))


def parse_target(url: str) -> Address:
    """host and port of an http:// URL on this machine's loopback; FaultBenchError for anything else."""
    parts = urlsplit(url if "//" in url else f"//{url}", scheme="http")
    try:
        port = parts.port
    except ValueError:
        port = None
    if parts.scheme != "http" or not parts.hostname or port is None or parts.path.strip("/"):
        raise FaultBenchError(f"{url}: not http://HOST:PORT")
    return require_loopback(parts.hostname), port


def parse_class(text: str) -> LoadClass:
    """NAME=EFFECT[:SHARE], with an effect of safe, keyed or unsafe."""
    name, equals, rest = text.partition("=")
    effect, _, share = rest.partition(":")
    try:
        part = float(share or 1)
    except ValueError:
        part = -1.0
    if not name or not equals or effect not in EFFECTS or not 0 < part < float("inf") or not name.isascii():
        raise FaultBenchError(f"{text}: not NAME=EFFECT[:SHARE], with an effect of {', '.join(EFFECTS)}")
    return LoadClass(name, effect, part)


def parse_steps(text: str) -> list[Step]:
    """RATE:SECONDS[,RATE:SECONDS...]"""
    steps = []
    for part in text.split(","):
        rate, colon, seconds = part.partition(":")
        try:
            steps.append(Step(float(rate), float(seconds)))
        except ValueError:
            raise FaultBenchError(f"{text}: not RATE:SECONDS[,RATE:SECONDS...]") from None
    if any(not 0 <= step.rate <= MOST_RATE or not 0 < step.seconds <= MOST_SECONDS for step in steps):
        raise FaultBenchError(f"{text}: at most {MOST_RATE:g} a second and {MOST_SECONDS:g} s")
    if sum(step.seconds for step in steps) > MOST_SECONDS:
        raise FaultBenchError(f"{text}: more than {MOST_SECONDS:g} s in all")
    if sum(step.rate * step.seconds for step in steps) > MOST_REQUESTS:
        raise FaultBenchError(f"{text}: more than {MOST_REQUESTS} requests")
    return steps


def arrivals(order: Order) -> list[tuple[float, int]]:
    """When each request is meant to be sent (s), and its class."""
    generator = np.random.Generator(np.random.PCG64(order.seed))
    times: list[float] = []
    start = 0.0
    for step in order.steps:
        wanted = step.rate * step.seconds
        n = int(generator.poisson(wanted)) if order.poisson else round(wanted)
        spread = np.sort(generator.uniform(0, step.seconds, n)) if order.poisson else np.arange(n) / step.rate
        times += (start + spread).tolist()
        start += step.seconds
    shares = np.array([cls.share for cls in order.classes])
    kinds = generator.choice(len(shares), len(times), p=shares / shares.sum())
    return list(zip(times, kinds.tolist(), strict=True))


class Load:
    """One run of an order."""

    def __init__(self, order: Order, loop: asyncio.AbstractEventLoop) -> None:
        self.order, self.loop = order, loop
        self.due = arrivals(order)
        self.tallies = [Tally(Count(cls.name)) for cls in order.classes]
        self.behind = HdrHistogram(LEAST_US, MOST_US, DIGITS)
        self.idle: list[deque[Caller]] = [deque() for _ in order.targets]
        self.open = self.connections = self.next = 0
        self.run_id = secrets.token_hex(4)  # ids are new with every run
        self.tasks: set[asyncio.Task[None]] = set()
        self.over = loop.create_future()

    async def run(self) -> Summary:
        self.began = self.loop.time() + 0.05
        self.send_due()
        await self.over
        while self.tasks:
            await asyncio.wait(self.tasks)
        for idle in self.idle:
            for caller in idle:
                caller.transport.close()
        for tally in self.tallies:
            tally.count.latency_ms = quantiles(tally.took)
        behind = round(self.behind.get_value_at_percentile(99) / 1000, 3)
        return Summary(round(self.loop.time() - self.began, 3), [t.count for t in self.tallies], behind)

    def send_due(self) -> None:
        now = self.loop.time() - self.began
        while self.next < len(self.due) and self.due[self.next][0] <= now:
            at, cls = self.due[self.next]
            task = self.loop.create_task(self.one(self.next, at, cls))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            self.next += 1
        if self.next < len(self.due):
            self.loop.call_at(self.began + self.due[self.next][0], self.send_due)
        else:
            self.loop.call_later(0, self.over.set_result, None)

    async def one(self, number: int, at: float, cls: int) -> None:
        tally, place = self.tallies[cls], number % len(self.order.targets)
        count, wait = tally.count, self.order.timeout_ms / 1000
        caller: Caller | None = None
        try:
            async with asyncio.timeout_at(self.began + at + wait):
                caller = await self.caller(place)
                if caller is None:
                    count.unsent += 1
                    return
                self.behind.record_value(max(1, int(1e6 * (self.loop.time() - self.began - at))))
                count.sent += 1
                status = await caller.ask(self.request(number, cls))
        except TimeoutError:
            count.late += 1
            if caller is not None:
                caller.transport.abort()
            return
        except OSError:
            count.unsent += 1
            return
        if status == 200:
            count.served += 1
            tally.took.record_value(max(1, int(1e6 * (self.loop.time() - self.began - at))))
        elif status in (429, 503):
            count.refused += 1
        else:
            count.failed += 1
        if status and caller.reusable():
            self.idle[place].append(caller)

    async def caller(self, place: int) -> Caller | None:
        idle = self.idle[place]
        while idle:
            caller = idle.pop()
            if not caller.transport.is_closing():
                return caller
        if self.connections >= MOST_CONNECTIONS:
            return None
        self.connections += 1
        try:
            _, made = await self.loop.create_connection(lambda: Caller(self), *self.order.targets[place])
        except BaseException:
            self.connections -= 1
            raise
        return made

    def request(self, number: int, cls: int) -> bytes:
        wanted, order = self.order.classes[cls], self.order
        method = "GET" if wanted.effect == "safe" else "POST"
        request_id = f"{self.run_id}{number:08x}"
        lines = [f"{method} /{wanted.name}/{number} HTTP/1.1", "Host: load", f"Request-Id: {request_id}"]
        lines.append(f"Request-Timeout: {max(1, round(order.timeout_ms))}m")
        if order.tenant:
            lines.append(f"Tenant: {order.tenant}")
        if wanted.effect == "keyed":
            lines.append(f"Idempotency-Key: {request_id:0>32}")
        body = bytes(order.body) if method == "POST" else b""
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Caller(asyncio.Protocol):
    """One connection: a request at a time."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.answer: asyncio.Future[int] = load.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    async def ask(self, request: bytes) -> int:
        """The status of the answer, 0 if the connection ended before it was whole."""
        self.parser = httptools.HttpResponseParser(self)
        self.answer = self.load.loop.create_future()
        self.transport.write(request)
        return await self.answer

    def reusable(self) -> bool:
        return self.parser.should_keep_alive() and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, AttributeError):  # no answer, or one that nobody asked for
            self.transport.abort()

    def on_message_complete(self) -> None:
        if not self.answer.done():
            self.answer.set_result(self.parser.get_status_code())

    def connection_lost(self, exc: Exception | None) -> None:
        self.load.connections -= 1
        if not self.answer.done():
            self.answer.set_result(0)


def quantiles(histogram: Any) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    found = {f"p{q:g}": round(histogram.get_value_at_percentile(q) / 1000, 3) for q in QUANTILES}
    return found | {"max": round(histogram.get_max_value() / 1000, 3)}


def run_load(order: Order) -> Summary:
    async def run() -> Summary:
        return await Load(order, asyncio.get_running_loop()).run()

    return uvloop.run(run())
