"""Injects documented errors of Linux system calls into a node process, by a preloaded C library."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import re
from contextlib import suppress
from pathlib import Path

import pytest
import uvloop

from tests.net import FakeDiscovery, FakeServer, build_request
from tests.shim import build_shim
from tests.test_process import connect, log_line, raw_config, running_process


@pytest.fixture(scope="module")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build_shim(tmp_path_factory.mktemp("shim"))


def environ(shim: Path, faults: str) -> dict[str, str]:
    return os.environ | {"LD_PRELOAD": str(shim), "RIG_FAULTS": faults}


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE])
def test_a_resource_shortage_delays_the_start_of_a_node_but_does_not_end_it(
    tmp_path: Path, shim: Path, error: int
) -> None:
    async def test() -> None:
        peer = await FakeServer().start()
        agent = await FakeDiscovery([peer.list_entry()]).start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{agent.port}"}))
        async with running_process(path, environ(shim, f"socket:{error}:1:12"), wait=False) as (node, _):
            delayed = False
            while not (match := re.search(r"listens on 127\.0\.0\.1:(\d+)", line := await log_line(node))):
                delayed = delayed or "not listening yet" in line
            assert delayed
            client = await connect(int(match[1]))
            async with asyncio.timeout(10.0):
                while (await client.send_request(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] != 200:
                    await asyncio.sleep(0.05)
            assert (await client.send_request(build_request()))[0] == 200

    uvloop.run(test())


ACCEPT_ERRORS = [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
CONNECT_ERRORS = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENOBUFS, errno.ETIMEDOUT]


@pytest.mark.parametrize(
    "faults",
    [f"accept4:{error}:3:40" for error in ACCEPT_ERRORS]
    + [f"connect:{error}:4:12" for error in CONNECT_ERRORS]
    + [f"socket:{error}:8:16" for error in (errno.ENOBUFS, errno.EMFILE, errno.ENFILE)],
)
def test_every_request_that_is_read_gets_a_response_while_system_calls_fail(
    tmp_path: Path, shim: Path, faults: str
) -> None:
    """A connection may be closed before its request is read; later requests succeed on other connections."""

    async def ask(port: int) -> int | None:
        with suppress(OSError, asyncio.IncompleteReadError):
            client = await connect(port)
            try:
                return (await client.send_request(build_request(timeout="3000m")))[0]
            finally:
                client.writer.close()
        return None

    async def test() -> None:
        peer = await FakeServer().start()
        agent = await FakeDiscovery([peer.list_entry()]).start()
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config() | {"discovery": f"127.0.0.1:{agent.port}"}))
        async with running_process(path, environ(shim, faults)) as (node, port):
            answers = [await ask(port) for _ in range(40)]
            assert set(answers) <= {200, 502, 503, None}
            assert answers[-1] == 200 and answers.count(200) > 10
            # A request that was never sent to a server is refused, so that a retry is safe.
            assert 502 not in answers
            assert node.returncode is None

    uvloop.run(test())
