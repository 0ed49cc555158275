"""Child processes of the rig. Each runs in its own session, is killed by its process id, and is killed by the
kernel when the rig exits."""

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
READY_TIMEOUT_S, CALL_TIMEOUT_S = 20.0, 10.0  # s


class ChildProcess:
    """A running child process, its calls over standard input and output, and its signals."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process = name, process
        self.stopped = False
        self._calls = asyncio.Lock()

    @classmethod
    async def start(
        cls, name: str, command: list[str], log: Path, environment: Mapping[str, str] | None = None
    ) -> ChildProcess:
        """Starts a command; what it writes to standard error is appended to `log`."""
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
    async def start_service(
        cls, name: str, module: str, config: dict[str, Any], folder: Path
    ) -> ChildProcess:
        """Starts a fake service and waits until it reports that it is ready."""
        path = folder / f"{name}.json"
        path.write_text(json.dumps(config))
        command = [sys.executable, "-B", "-m", f"flaxstep.faultbench.{module}", str(path)]
        environment = dict(os.environ) | {"PYTHONPATH": str(ROOT)}
        child = await cls.start(name, command, folder / f"{name}.log", environment)
        try:
            if not (await child.read_response(READY_TIMEOUT_S)).get("ready"):
                raise FaultBenchError(f"{name}: did not start; see {folder / f'{name}.log'}")
        except BaseException:  # the caller has no reference with which to kill it
            await child.kill()
            raise
        return child

    async def read_response(self, timeout_s: float) -> dict[str, Any]:
        """Reads one response line; raises FaultBenchError after `timeout_s` or if the process has exited."""
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(timeout_s):
                text = await self.process.stdout.readline()
        except TimeoutError:
            raise FaultBenchError(f"{self.name}: no response within {timeout_s:g} s") from None
        if not text:
            raise FaultBenchError(f"{self.name}: has exited; see its log")
        response: dict[str, Any] = json.loads(text)
        return response

    async def call(self, do: str, **arguments: Any) -> Any:
        """Calls a fake service and returns the result; raises FaultBenchError if the call failed."""
        assert self.process.stdin is not None
        async with self._calls:
            self.process.stdin.write(json.dumps({"do": do} | arguments).encode() + b"\n")
            response = await self.read_response(CALL_TIMEOUT_S)
        if "error" in response:
            raise FaultBenchError(f"{self.name}: {do}: {response['error']}")
        return response.get("result")

    @property
    def alive(self) -> bool:
        return self.process.returncode is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the process is alive, and keeps track of whether it is stopped."""
        if self.alive:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal_number)
            self.stopped = signal_number == signal.SIGSTOP or (
                self.stopped and signal_number != signal.SIGCONT
            )

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the process to exit."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()


def shell_command(text: str) -> list[str]:
    """Wraps a command of the deploy file in a shell, as the platform runs it."""
    return ["/bin/sh", "-c", text]
