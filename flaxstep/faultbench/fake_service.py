"""What all stand-ins share: their start, calls from the rig, a clock for the lab's parts, loopback alone.

The rig writes calls to a stand-in's standard input, one JSON object a line, `do` naming the call; each is
answered by one line on standard output. When the input ends the rig is gone, and so is the stand-in.
"""

from __future__ import annotations

import asyncio
import ipaddress
import json
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol

import uvloop

from flaxstep.faultbench.records import Recorder

Address = tuple[str, int]


class FaultBenchError(Exception):
    """What the rig can't do, in one line."""


def loopback(host: str) -> str:
    """The host, if it is this machine's loopback; anything else is refused."""
    try:
        ours = ipaddress.IPv4Address(host).is_loopback
    except ValueError:
        ours = False
    if not ours:
        raise FaultBenchError(f"{host}: not a loopback address (127.0.0.0/8); the rig talks to nothing else")
    return host


class RealEngine:
    """The lab's clock and calls, in real time: ms since the play began."""

    def __init__(self, loop: asyncio.AbstractEventLoop, recorder: Recorder) -> None:
        self._loop, self._recorder = loop, recorder

    @property
    def now(self) -> float:
        return self._recorder.now()

    def call_at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        self.call_after(when - self.now, call, *arguments)

    def call_after(self, delay: float, call: Callable[..., None], *arguments: Any) -> None:
        if delay < float("inf"):
            self._loop.call_later(max(delay, 0.0) / 1000, call, *arguments)


class Tasks(set[asyncio.Task[None]]):
    """What runs beside; the loop itself holds no task, so somebody must until it is done."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.add(task)
        task.add_done_callback(self.discard)


class FakeService(Protocol):
    """A stand-in: `start` makes it ready; its calls are methods named `do_NAME` that return what JSON can
    say."""

    async def start(self) -> None: ...

    def begun(self) -> None:
        """The play has begun: the clock stands at 0."""


Make = Callable[[dict[str, Any], Recorder, asyncio.AbstractEventLoop], FakeService]


def run(make: Make) -> None:
    """The whole life of a stand-in process; its configuration is the file that the first argument names."""
    config = json.loads(Path(sys.argv[1]).read_bytes())
    uvloop.run(_serve(make, config))


async def _serve(make: Make, config: dict[str, Any]) -> None:
    loop = asyncio.get_running_loop()
    recorder = Recorder(Path(config["record"]), config["t0"])
    stand_in = make(config, recorder, loop)
    await stand_in.start()
    calls = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(calls), sys.stdin)
    _reply({"ready": True})
    while line := await calls.readline():
        call = json.loads(line)
        try:
            if call["do"] == "begin":  # of the play: until now all times lay before it
                recorder.t0 = call["t0"]
                stand_in.begun()
                _reply({"result": None})
                continue
            result = getattr(stand_in, f"do_{call.pop('do')}")(**call)
            _reply({"result": result})
        except Exception as error:  # the rig is told, whatever it was
            _reply({"error": f"{type(error).__name__}: {error}"})


def _reply(answer: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(answer) + "\n")
    sys.stdout.flush()
