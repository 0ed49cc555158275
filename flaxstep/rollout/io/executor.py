"""Performs actions: calls to admin ports, pings, and commands."""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import suppress

from flaxstep.rollout.actions import Action, ActionKind, ActionResult
from flaxstep.rollout.farm import Farm
from flaxstep.rollout.io.child_processes import kill_with_parent
from flaxstep.rollout.io.http_client import call_text
from flaxstep.rollout.plan import Plan, command_line
from flaxstep.rollout.snapshot import Snapshot

MAX_OUTPUT_BYTES = 64 << 10  # of the output of a command


class Executor:
    """Performs actions. `snapshot` is the newest one; it has the addresses of the job servers."""

    def __init__(self, farm: Farm, plan: Plan) -> None:
        self.farm, self.plan = farm, plan
        self.snapshot: Snapshot | None = None

    async def perform(self, action: Action) -> ActionResult:
        """Perform an action. External failures are part of the result, not exceptions."""
        if action.kind in (ActionKind.CORDON, ActionKind.UNCORDON):
            return await self.call_all_nodes(action.kind.value, action.member)
        if action.kind is ActionKind.PING:
            return await self.ping(action.member)
        commands = self.plan.commands
        words = {
            ActionKind.RESTART: commands.restart,
            ActionKind.STOP: commands.stop,
            ActionKind.VERSION: commands.version,
            ActionKind.CHECK: commands.check,
        }[action.kind]
        assert words is not None, "the plan has every command that its steps use"
        return await run_command(
            command_line(words, action.member, action.version, action.admin_address), commands.time_limit_s
        )

    async def call_all_nodes(self, call: str, server: str) -> ActionResult:
        """Make an admin call for a job server at every node; it succeeds if all nodes accept it."""
        outcomes = await asyncio.gather(
            *(self.call_node(node.doors, call, server) for node in self.farm.nodes)
        )
        failures = [
            f"{node.name}: {why}"
            for node, why in zip(self.farm.nodes, outcomes, strict=True)
            if why is not None
        ]
        return ActionResult(not failures, "; ".join(failures))

    async def call_node(self, admin_addresses: tuple[str, ...], call: str, server: str) -> str | None:
        """Why a node did not accept a call, or None. One process is enough: processes of a node share
        cordons.
        """
        why = ""
        for admin_address in admin_addresses:
            status, body = await call_text(admin_address, "POST", f"/admin/{call}", server.encode())
            # A node that does not know the server has no cordon to remove.
            if 200 <= status < 300 or (status == 404 and call == "uncordon"):
                return None
            why = f"{status} {body}" if status else why or body
        return why

    async def ping(self, server: str) -> ActionResult:
        line = (self.snapshot.listed or {}).get(server) if self.snapshot is not None else None
        if line is None:
            return ActionResult(False, "not in the list")
        status, body = await call_text(line.address, "GET", "/ping")
        return ActionResult(status == 200, body if status in (0, 200) else f"{status} to a ping")


async def run_command(words: list[str], seconds: float) -> ActionResult:
    """Run a command without a shell. The result has its output, or the last line of its errors. It is killed
    at the time limit.
    """
    parent = os.getpid()
    try:
        process = await asyncio.create_subprocess_exec(
            *words,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
            preexec_fn=lambda: kill_with_parent(parent),
        )
    except OSError as error:
        return ActionResult(False, f"{words[0]}: {error.strerror}")
    try:
        async with asyncio.timeout(seconds):
            out, errors = await process.communicate()
    except TimeoutError:
        await kill_process_group(process)
        return ActionResult(False, f"{words[0]}: not done after {seconds:g} s", outcome_known=False)
    except BaseException:  # the controller is cancelled: its commands end with it
        await kill_process_group(process)
        raise
    last = (errors[-MAX_OUTPUT_BYTES:].decode(errors="replace").strip().splitlines() or [""])[-1]
    if process.returncode:
        return ActionResult(False, f"{words[0]}: exit code {process.returncode} {last}".strip())
    return ActionResult(True, out[:MAX_OUTPUT_BYTES].decode(errors="replace").strip())


async def kill_process_group(process: asyncio.subprocess.Process) -> None:
    """Kill a command and the processes that it started in its session."""
    with suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)
    await asyncio.shield(process.wait())
