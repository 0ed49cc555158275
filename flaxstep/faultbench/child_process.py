"""Processes of the rig: each ends when the rig does, is in a session of its own, and is ended by its id."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

from flaxstep.faultbench.fake_service import FaultBenchError
from flaxstep.rollout.io.child_processes import kill_with_parent

ROOT = Path(__file__).resolve().parents[2]
READY_TIME, CALL_TIME = 20.0, 10.0  # s


class ChildProcess:
    """One process. `log` takes what it writes to standard error."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process = name, process
        self.stopped = False
        self._calls = asyncio.Lock()

    @classmethod
    async def start(
        cls, name: str, command: list[str], log: Path, environment: Mapping[str, str] | None = None
    ) -> ChildProcess:
        parent = os.getpid()
        with log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                start_new_session=True,
                preexec_fn=lambda: kill_with_parent(parent),
                limit=1 << 24,
            )
        return cls(name, process)

    @classmethod
    async def stand_in(cls, name: str, module: str, config: dict[str, Any], folder: Path) -> ChildProcess:
        """A stand-in of ours, once it says that it is ready."""
        path = folder / f"{name}.json"
        path.write_text(json.dumps(config))
        command = [sys.executable, "-B", "-m", f"flaxstep.faultbench.{module}", str(path)]
        environment = dict(os.environ) | {"PYTHONPATH": str(ROOT)}
        child = await cls.start(name, command, folder / f"{name}.log", environment)
        try:
            if not (await child.line(READY_TIME)).get("ready"):
                raise FaultBenchError(f"{name}: did not start; see {folder / f'{name}.log'}")
        except BaseException:  # nobody else knows of it yet
            await child.end()
            raise
        return child

    async def line(self, seconds: float) -> dict[str, Any]:
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(seconds):
                text = await self.process.stdout.readline()
        except TimeoutError:
            raise FaultBenchError(f"{self.name}: no answer within {seconds:g} s") from None
        if not text:
            raise FaultBenchError(f"{self.name}: has ended; its log says why")
        answer: dict[str, Any] = json.loads(text)
        return answer

    async def call(self, do: str, **arguments: Any) -> Any:
        """A call to a stand-in, and what it returns; FaultBenchError with its reason if it could not."""
        assert self.process.stdin is not None
        async with self._calls:
            self.process.stdin.write(json.dumps({"do": do} | arguments).encode() + b"\n")
            answer = await self.line(CALL_TIME)
        if "error" in answer:
            raise FaultBenchError(f"{self.name}: {do}: {answer['error']}")
        return answer.get("result")

    @property
    def alive(self) -> bool:
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        if self.alive:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)
            self.stopped = number == signal.SIGSTOP or (self.stopped and number != signal.SIGCONT)

    async def end(self) -> None:
        """Killed, and waited for; nothing of it is left."""
        self.send(signal.SIGKILL)
        await self.process.wait()


def shell_command(text: str) -> list[str]:
    """A command of the deploy file, as the platform runs it."""
    return ["/bin/sh", "-c", text]
