"""Base of the fake services of the fault bench: start-up, calls from the rig, a real-time clock.

The rig writes calls to a service's standard input as one JSON object per line, whose key `do` names the call.
The service writes one response line per call to standard output. It exits when its standard input ends,
because then the rig has ended. Services accept loopback addresses only.
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
    """The rig cannot carry out an operation; the message is a single line."""


def require_loopback(host: str) -> str:
    """Returns the host if it is an IPv4 loopback address; raises FaultBenchError for anything else."""
    try:
        is_loopback = ipaddress.IPv4Address(host).is_loopback
    except ValueError:
        is_loopback = False
    if not is_loopback:
        raise FaultBenchError(f"{host}: not a loopback address (127.0.0.0/8); the rig talks to nothing else")
    return host


class RealEngine:
    """The simulator's Engine interface in real time; times are ms since the play began."""

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


class BackgroundTasks(set[asyncio.Task[None]]):
    """Keeps references to running tasks until they finish: the event loop holds only weak ones."""

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.add(task)
        task.add_done_callback(self.discard)


class FakeService(Protocol):
    """A fake service. `start` makes it ready.

    Calls from the rig are methods named `do_NAME`, whose results JSON can encode.
    """

    async def start(self) -> None: ...

    def on_play_begin(self) -> None:
        """Called when the play begins, with the clock at 0."""


ServiceFactory = Callable[[dict[str, Any], Recorder, asyncio.AbstractEventLoop], FakeService]


def run_service(create_service: ServiceFactory) -> None:
    """Runs a service process until its input ends. The first argument names its JSON configuration file."""
    config = json.loads(Path(sys.argv[1]).read_bytes())
    uvloop.run(_serve_calls(create_service, config))


async def _serve_calls(create_service: ServiceFactory, config: dict[str, Any]) -> None:
    loop = asyncio.get_running_loop()
    recorder = Recorder(Path(config["record"]), config["t0"])
    service = create_service(config, recorder, loop)
    await service.start()
    input_lines = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(input_lines), sys.stdin)
    _write_response({"ready": True})
    while line := await input_lines.readline():
        call = json.loads(line)
        try:
            if call["do"] == "begin":  # sets the clock to 0; all times before were negative
                recorder.t0 = call["t0"]
                service.on_play_begin()
                _write_response({"result": None})
                continue
            result = getattr(service, f"do_{call.pop('do')}")(**call)
            _write_response({"result": result})
        except Exception as error:  # reported to the rig, whatever its cause
            _write_response({"error": f"{type(error).__name__}: {error}"})


def _write_response(response: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(response) + "\n")
    sys.stdout.flush()
