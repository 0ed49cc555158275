"""The node as a process: start, configuration, signals and graceful shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from tests.net import (
    TIMEOUT_S,
    FakeDiscovery,
    FakeServer,
    RawClient,
    ResponseScript,
    build_request,
    header_value,
    respond_ok,
)
from tests.test_simulator_wire import SETTINGS

COMMAND = [sys.executable, "-B", "-m", "flaxstep.proxy"]


def raw_config() -> dict[str, Any]:
    find = {"Name": "find", "Aim": 5000.0, "Deadline": 9000.0, "Idempotency": "free", "Worth": 1.0}
    allowed = {**SETTINGS["Allowed"], "DialTimeout": 5000.0, "ConnIdle": 15000.0}  # type: ignore[dict-item]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {**SETTINGS, "Classes": [find], "Allowed": allowed, "Customers": []},
    }


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"listen": "127.0.0.1"}, "not host:port"),
        ({"seed": "xyz"}, "xyz"),
        ({"known": "none"}, "dictionary"),
        ({"settings": {}}, "Allowed"),
        ({"limits": None}, "NoneType"),
        (None, "ROUTER_CONFIG"),
        ("not JSON", "line 1"),
        ("[]", "list"),
    ],
)
def test_invalid_configuration_exits_with_one_line(tmp_path: Path, change: Any, words: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(change if isinstance(change, str) else json.dumps(raw_config() | (change or {})))
    environ = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
    if change is not None:
        environ["ROUTER_CONFIG"] = str(path)
    completed = subprocess.run(COMMAND, env=environ, capture_output=True, text=True, check=False)
    assert (completed.returncode, completed.stdout) == (2, "")
    assert words in completed.stderr and completed.stderr.count("\n") == 1


@asynccontextmanager
async def running_process(
    path: Path, environ: Mapping[str, str] | None = None, wait: bool = True
) -> AsyncIterator[tuple[Process, int]]:
    """Run a node process; yield it and its port, with `wait` once it listens and has a list."""
    node = await asyncio.create_subprocess_exec(
        *COMMAND,
        env=os.environ | {"ROUTER_CONFIG": str(path)} | dict(environ or {}),
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        port, listed = 0, False
        while wait and not (port and listed):
            line = await log_line(node)
            if match := re.search(r"listens on 127\.0\.0\.1:(\d+)", line):
                port = int(match[1])
            listed = listed or "list 1" in line
        yield node, port
    finally:
        if node.returncode is None:
            node.kill()
            await node.wait()


async def connect(port: int) -> RawClient:
    return RawClient(*await asyncio.open_connection("127.0.0.1", port))


async def log_line(node: Process) -> str:
    assert node.stderr is not None
    line = (await asyncio.wait_for(node.stderr.readline(), TIMEOUT_S)).decode()
    assert line
    return line


def test_sigterm_serves_pending_and_new_requests(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def delayed_response(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await respond_ok(server, head, writer)

    async def test(script: ResponseScript) -> None:
        server = await FakeServer(script).start()
        agent = await FakeDiscovery([server.list_entry()]).start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{agent.port}"}))
        async with running_process(path) as (node, port):
            pending, idle = await connect(port), await connect(port)
            assert (await idle.send_request(b"GET /_health HTTP/1.1\r\n\r\n"))[0] == 200
            pending.writer.write(build_request())
            await asyncio.wait_for(server.requests.get(), TIMEOUT_S)
            node.send_signal(signal.SIGTERM)
            assert await idle.read_until_close() == b""  # an idle connection is closed
            newcomer = await connect(port)  # new ones are still accepted
            newcomer.writer.write(build_request())
            await asyncio.wait_for(server.requests.get(), TIMEOUT_S)
            release.set()
            for waiting in (pending, newcomer):
                status, head, _ = await waiting.read_response()
                assert (status, header_value(head, b"Connection")) == (200, b"close")
                waiting.writer.close()
            assert await asyncio.wait_for(node.wait(), TIMEOUT_S) == 0

    uvloop.run(test(delayed_response))


def test_sighup_moves_watch_and_keeps_connections(tmp_path: Path) -> None:
    async def test() -> None:
        server, later = await FakeServer().start(), await FakeServer().start()
        first = await FakeDiscovery([server.list_entry()]).start()
        second = await FakeDiscovery([later.list_entry()], generation=2).start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{first.port}"}))
        async with running_process(path) as (node, port):
            client = await connect(port)
            assert (await client.send_request(build_request()))[0] == 200
            for broken in ("not JSON", "[]", "{}", '{"discovery": 7}', '{"discovery": "nowhere"}'):
                path.write_text(broken)
                node.send_signal(signal.SIGHUP)
                while "configuration not reloaded" not in await log_line(node):
                    pass
            path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{second.port}"}))
            node.send_signal(signal.SIGHUP)
            assert (
                await asyncio.wait_for(second.request_targets.get(), TIMEOUT_S)
                == "/catalog/members?watch=1&from=1"
            )
            second.push_update(2, [server.list_entry(lifecycle="left"), later.list_entry("s-2")])
            while "list 2" not in await log_line(node):
                pass
            assert (await client.send_request(build_request()))[0] == 200
            assert later.requests.qsize() == 1

    uvloop.run(test())


async def wait_for_clean_exit(node: Process) -> None:
    """Wait for exit code 0 without a traceback or an error in the log."""
    assert node.stderr is not None
    log_text = (await asyncio.wait_for(node.stderr.read(), TIMEOUT_S)).decode()
    assert await asyncio.wait_for(node.wait(), TIMEOUT_S) == 0
    assert "Traceback" not in log_text and "ERROR" not in log_text, log_text


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM,),
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
    ],
    ids=lambda signals: " ".join(each.name for each in signals),
)
@pytest.mark.parametrize("ready", [True, False])
def test_signals_in_any_order_end_node_after_its_responses(
    tmp_path: Path, signals: tuple[signal.Signals, ...], ready: bool
) -> None:
    release = asyncio.Event()

    async def delayed_response(server: FakeServer, head: bytes, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        await respond_ok(server, head, writer)

    async def test() -> None:
        server = await FakeServer(delayed_response).start()
        agent = await FakeDiscovery([server.list_entry()]).start()
        raw = raw_config() | {"discovery": f"127.0.0.1:{agent.port}"}
        if not ready:
            raw["discovery"] = "127.0.0.1:1"  # nothing listens there: the node never gets a list
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw))
        async with running_process(path, wait=ready) as (node, port):
            if not ready:
                while "listens on" not in await log_line(node):
                    pass
            else:
                client = await connect(port)
                client.writer.write(build_request())
                await asyncio.wait_for(server.requests.get(), TIMEOUT_S)
            for number in signals:
                node.send_signal(number)
            if ready:
                while "stopping" not in await log_line(node):
                    pass
                release.set()
                status, head, _ = await client.read_response()
                assert (status, header_value(head, b"Connection")) == (200, b"close")
                assert await client.read_until_close() == b""
                client.writer.close()
            await wait_for_clean_exit(node)

    uvloop.run(test())


def test_unfinished_requests_get_responses_before_node_ends(tmp_path: Path) -> None:
    async def test() -> None:
        server = await FakeServer().start()
        agent = await FakeDiscovery([server.list_entry()]).start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{agent.port}"}))
        async with running_process(path) as (node, port):
            finishing, unfinished, data = await connect(port), await connect(port), build_request()
            finishing.writer.write(data[:40])
            unfinished.writer.write(data[:40])
            await finishing.writer.drain()
            await wait_for_loop_turn(port)
            node.send_signal(signal.SIGTERM)
            while "stopping" not in await log_line(node):
                pass
            finishing.writer.write(data[40:])
            assert (await finishing.read_response())[0] == 200
            status, head, _ = await unfinished.read_response()
            assert (status, header_value(head, b"Connection")) == (503, b"close")
            for each in (finishing, unfinished):
                assert await each.read_until_close() == b""
                each.writer.close()
            await wait_for_clean_exit(node)

    uvloop.run(test())


async def wait_for_loop_turn(port: int) -> None:
    """Wait for a turn of the node's loop, so that it has read everything sent before."""
    other = await connect(port)
    await other.send_request(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
    other.writer.close()
