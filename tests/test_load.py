"""The load tool: open loop, honest about a node that stalls, bounded, and loopback only."""

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

STALL = 0.4  # s


class Stub:
    """Answers at once, but stands still for a while from a moment on."""

    def __init__(self) -> None:
        self.ids: list[bytes] = []
        self.heads: list[bytes] = []
        self.ready = threading.Event()
        self.stall_at = float("inf")
        threading.Thread(target=asyncio.run, args=(self.serve(),), daemon=True).start()
        self.ready.wait()

    async def serve(self) -> None:
        server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.over = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self.ready.set()
        await self.over.wait()

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = dict(line.split(b": ") for line in head.split(b"\r\n")[1:-2])
                await reader.readexactly(int(lines.get(b"Content-Length", 0)))
                self.ids.append(lines[b"Request-Id"])
                self.heads.append(head)
                if time.monotonic() > self.stall_at:
                    self.stall_at = float("inf")
                    time.sleep(STALL)
                status = b"503 Busy" if b"/shed/" in head else b"200 OK"
                writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.fixture
def stub() -> Iterator[Stub]:
    one = Stub()
    yield one
    one.loop.call_soon_threadsafe(one.over.set)


def test_a_stall_is_charged_to_all_that_it_kept_waiting(stub: Stub) -> None:
    stub.stall_at = time.monotonic() + 0.3
    classes = [LoadClass("q", "safe", 1)]
    summary = run_load(LoadPlan([("127.0.0.1", stub.port)], classes, [Step(200, 1.0)], poisson=False))
    [counts] = summary.classes
    assert (counts.sent, counts.served) == (200, 200)  # open loop: the stall took none away
    assert len(set(stub.ids)) == 200
    # The stall is 0.4 s of 1 s: a quarter of the requests were meant for it and waited 0.1 s or more.
    assert counts.latency_ms["max"] >= 380 and counts.latency_ms["p90"] >= 100


def test_classes_bodies_and_answers(stub: Stub) -> None:
    arguments = [
        "load",
        f"http://127.0.0.1:{stub.port}",
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
    keys = {head for head in stub.heads if b"Idempotency-Key" in head}
    assert len(keys) == rec["sent"] and all(
        b"POST /rec/" in head and b"Content-Length: 10" in head for head in keys
    )


def test_arrivals_follow_the_timetable_and_repeat_with_the_seed() -> None:
    plan = LoadPlan([], [LoadClass("a", "safe", 3), LoadClass("b", "safe", 1)], [Step(1000, 1), Step(100, 2)])
    due = draw_arrivals(plan)
    assert due == draw_arrivals(plan) and [at for at, _ in due] == sorted(at for at, _ in due)
    assert 850 < sum(at < 1 for at, _ in due) < 1150 and 140 < sum(at >= 1 for at, _ in due) < 260
    assert 0.7 < sum(cls == 0 for _, cls in due) / len(due) < 0.8


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
def test_what_is_not_to_be_sent_is_refused_in_one_line(arguments: list[str], words: str) -> None:
    done = CliRunner().invoke(main, ["load", *arguments])
    assert done.exit_code == 2 and words in done.output and done.output.count("\n") == 1


def test_nobody_there_is_told_and_ends_with_1() -> None:
    done = CliRunner().invoke(main, ["load", "127.0.0.1:1", "--rate", "20", "--for", "0.3", "--json"])
    assert done.exit_code == 1
    [counts] = json.loads(done.output)["classes"]
    assert counts["unsent"] and not counts["sent"]
