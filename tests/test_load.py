"""The load generator: open loop, with stalls counted in latencies, bounded, and loopback only."""

from __future__ import annotations

import asyncio
import json
import threading
import time
from collections.abc import Iterator

import pytest
from click.testing import CliRunner

from flaxstep.cli import main
from flaxstep.faultbench.load_generator import LoadClass, LoadPlan, Step, draw_arrivals, run_load

STALL_S = 0.4


class StallingServer:
    """An HTTP server that responds at once, except for one stall of STALL_S that blocks it as a whole."""

    def __init__(self) -> None:
        self.request_ids: list[bytes] = []
        self.heads: list[bytes] = []
        self.ready = threading.Event()
        self.stall_at = float("inf")
        threading.Thread(target=asyncio.run, args=(self.serve(),), daemon=True).start()
        self.ready.wait()

    async def serve(self) -> None:
        server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.stopped = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self.ready.set()
        await self.stopped.wait()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = dict(line.split(b": ") for line in head.split(b"\r\n")[1:-2])
                await reader.readexactly(int(headers.get(b"Content-Length", 0)))
                self.request_ids.append(headers[b"Request-Id"])
                self.heads.append(head)
                if time.monotonic() > self.stall_at:
                    self.stall_at = float("inf")
                    time.sleep(STALL_S)
                status = b"503 Busy" if b"/shed/" in head else b"200 OK"
                writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.fixture
def server_stub() -> Iterator[StallingServer]:
    started = StallingServer()
    yield started
    started.loop.call_soon_threadsafe(started.stopped.set)


def test_a_stall_counts_in_the_latency_of_every_request_it_delayed(server_stub: StallingServer) -> None:
    server_stub.stall_at = time.monotonic() + 0.3
    classes = [LoadClass("q", "safe", 1)]
    summary = run_load(LoadPlan([("127.0.0.1", server_stub.port)], classes, [Step(200, 1.0)], poisson=False))
    [counts] = summary.classes
    assert (counts.sent, counts.served) == (200, 200)  # open loop: the stall suppresses no request
    assert len(set(server_stub.request_ids)) == 200
    # The stall covers 0.4 s of 1 s: more than a quarter of the requests were planned in its first 0.3 s
    # and so waited 0.1 s or longer.
    assert counts.latency_ms["max"] >= 380 and counts.latency_ms["p90"] >= 100


def test_classes_bodies_and_outcomes_are_as_asked_for(server_stub: StallingServer) -> None:
    arguments = [
        "load",
        f"http://127.0.0.1:{server_stub.port}",
        "--steps",
        "100:0.5,300:0.5",
        "--body",
        "10",
        "--json",
    ]
    arguments += ["--class", "shed=unsafe:1", "--class", "rec=keyed:1", "--class", "q=safe:2"]
    done = CliRunner().invoke(main, arguments)
    assert done.exit_code == 0, done.output
    shed, rec, q = json.loads(done.output)["classes"]
    assert shed["refused"] == shed["sent"] and rec["served"] == rec["sent"] and q["served"] == q["sent"]
    assert 100 < shed["sent"] + rec["sent"] + q["sent"] < 300
    keys = {head for head in server_stub.heads if b"Idempotency-Key" in head}
    assert len(keys) == rec["sent"] and all(
        b"POST /rec/" in head and b"Content-Length: 10" in head for head in keys
    )


def test_arrivals_follow_the_steps_and_are_reproducible() -> None:
    plan = LoadPlan([], [LoadClass("a", "safe", 3), LoadClass("b", "safe", 1)], [Step(1000, 1), Step(100, 2)])
    planned = draw_arrivals(plan)
    assert planned == draw_arrivals(plan) and [at for at, _ in planned] == sorted(at for at, _ in planned)
    assert 850 < sum(at < 1 for at, _ in planned) < 1150 and 140 < sum(at >= 1 for at, _ in planned) < 260
    assert 0.7 < sum(cls == 0 for _, cls in planned) / len(planned) < 0.8


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["http://192.0.2.1:80"], "loopback"),
        (["http://example.com:80"], "loopback"),
        (["http://127.0.0.1"], "HOST:PORT"),
        (["https://127.0.0.1:1"], "HOST:PORT"),
        (["http://127.0.0.1:99999"], "HOST:PORT"),
        (["http://127.0.0.1:1", "--class", "x"], "NAME=EFFECT"),
        (["http://127.0.0.1:1", "--class", "x=often"], "NAME=EFFECT"),
        (["http://127.0.0.1:1", "--rate", "1e9"], "at most"),
        (["http://127.0.0.1:1", "--for", "nan"], "at most"),
        (["http://127.0.0.1:1", "--steps", "5"], "RATE:SECONDS"),
        (["http://127.0.0.1:1", "--steps", "40000:3000"], "requests"),
    ],
)
def test_invalid_arguments_are_rejected_with_a_one_line_error(arguments: list[str], words: str) -> None:
    done = CliRunner().invoke(main, ["load", *arguments])
    assert done.exit_code == 2 and words in done.output and done.output.count("\n") == 1


def test_an_unreachable_target_is_counted_and_exits_with_1() -> None:
    done = CliRunner().invoke(main, ["load", "127.0.0.1:1", "--rate", "20", "--for", "0.3", "--json"])
    assert done.exit_code == 1
    [counts] = json.loads(done.output)["classes"]
    assert counts["unsent"] and not counts["sent"]
