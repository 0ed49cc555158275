"""One connection that sends requests at full speed: others get their answers, and memory stays bounded."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
import uvloop

from tests.crowds import limited_node, start_servers
from tests.net import build_request, respond_ok

MEMORY_MB = 32
FLOOD_S = 4.0
# Writes its data without end and drops the answers. It has a process of its own, to be as fast as possible.
FLOODER = """
import itertools, select, socket, sys, time
port, seconds, template = int(sys.argv[1]), float(sys.argv[2]), sys.stdin.buffer.read()
peer = socket.create_connection(("127.0.0.1", port))
peer.setblocking(False)
numbers, until, data = itertools.count(), time.monotonic() + seconds, b""
while time.monotonic() < until:
    readable, writable, _ = select.select([peer], [peer], [], 0.1)
    try:
        if readable and not peer.recv(1 << 18):
            break
        if writable:
            if len(data) < 1 << 16:
                data += b"".join(template.replace(b"NUMBER", b"%08x" % next(numbers)) for _ in range(500))
            data = data[peer.send(data):]
    except OSError:
        break
"""
CHUNKED_HEAD = build_request("pay", "1200m", Transfer_Encoding="chunked").replace(
    b"Content-Length: 0\r\n", b""
)
FLOODS = {
    "no headers": b"GET / HTTP/1.1\r\n\r\n",
    "new paths": b"GET /NUMBER HTTP/1.1\r\n\r\n",
    "new tenants": build_request("pay", "1200m", body=b"job", Tenant="NUMBER"),
    "health checks": b"GET /_health HTTP/1.1\r\n\r\n",
    "no time": build_request("find", "1m", key="NUMBER"),
    "proper requests": build_request("pay", "1200m", body=b"job").replace(b"-Id: 0000", b"-Id: NUMBER"),
    "tiny chunks": CHUNKED_HEAD + b"1\r\nb\r\n" * 2000 + b"0\r\n\r\n",
}  # fmt: skip


# Guards against: the node reads and serves one connection for as long as it sends, and others wait.
@pytest.mark.parametrize("connections", [1, 4])
@pytest.mark.parametrize("flood", FLOODS)
def test_connection_that_sends_at_full_speed_delays_no_other(
    flood: str, connections: int, tmp_path: Path
) -> None:
    async def test() -> None:
        async with limited_node(tmp_path, await start_servers(respond_ok), MEMORY_MB) as node:
            flooders = [
                subprocess.Popen(
                    [sys.executable, "-c", FLOODER, str(node.port), str(FLOOD_S)], stdin=subprocess.PIPE
                )
                for _ in range(connections)
            ]
            try:
                for flooder in flooders:
                    assert flooder.stdin is not None
                    flooder.stdin.write(FLOODS[flood])
                    flooder.stdin.close()
                results = await node.send_proper_requests(FLOOD_S)
            finally:
                for flooder in flooders:
                    flooder.kill()
                    flooder.wait()
            assert node.process.returncode is None and node.peak_mb <= MEMORY_MB, node.peak_mb
            assert results.late_count == 0, sorted(results.seconds)[-results.late_count :]

    uvloop.run(test())
