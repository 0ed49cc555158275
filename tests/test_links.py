"""The effect of each link fault on bytes and on new connections, on real sockets."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from flaxstep.faultbench.fake_service import FaultBenchError, require_loopback
from flaxstep.faultbench.farm import lock_loopback_address
from flaxstep.faultbench.links import Links
from flaxstep.faultbench.records import Recorder, Turn, read_records

TIMEOUT_S = 10.0
ABSENCE_WAIT_S = 0.15  # bytes and connections that must not arrive would have arrived by then


class LinkToEcho:
    """A link to an echo server, and the bytes that the server received."""

    def __init__(self, links: Links, host: str) -> None:
        self.links, self.host, self.received = links, host, bytearray()

    async def echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(1 << 16):
                self.received += data
                writer.write(data)
        except ConnectionError:
            pass
        writer.close()

    def fault(self, name: str, size: float = 1.0, way: str = "both") -> None:
        spec = {"name": name, "between": ["node:0", "zone:1"], "way": way, "size": size, "jitter": 0.0}
        self.links.do_fault(1, spec)

    def heal(self) -> None:
        self.links.do_heal(1, {"name": "all", "between": ["node:0", "zone:1"], "way": "both"})

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(self.host, 2)


@asynccontextmanager
async def open_link(folder: Path) -> AsyncIterator[LinkToEcho]:
    lock, host = lock_loopback_address()
    spec: dict[str, Any] = {
        "caller": "node:0",
        "callee": "server:0",
        "caller_names": ["node:0", "zone:0", "*"],
        "callee_names": ["server:0", "zone:1", "*"],
        "listen": (host, 2),
        "target": (host, 3),
        "noted": True,
        "delay": 0.0,
        "jitter": 0.0,
    }
    loop = asyncio.get_running_loop()
    recorder = Recorder(folder / "links.jsonl", time.monotonic())
    links = Links({"seed": 1, "links": [spec], "down": []}, recorder, loop)
    link = LinkToEcho(links, host)
    server = await asyncio.start_server(link.echo, host, 3)
    await links.start()
    try:
        yield link
    finally:
        server.close()
        links.do_down("server:0")
        recorder.close()
        lock.close()


async def expect_bytes(reader: asyncio.StreamReader, data: bytes) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        assert await reader.readexactly(len(data)) == data


async def expect_no_bytes(reader: asyncio.StreamReader) -> None:
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(ABSENCE_WAIT_S):
            await reader.read(1)


@pytest.mark.parametrize("way", ["there", "back", "both"])
def test_a_silent_direction_drops_bytes_and_is_reset_when_it_heals(tmp_path: Path, way: str) -> None:
    async def test() -> None:
        async with open_link(tmp_path) as link:
            reader, writer = await link.connect()
            writer.write(b"one")
            await expect_bytes(reader, b"one")
            link.fault("silent", way=way)
            writer.write(b"two")
            await expect_no_bytes(reader)
            assert (b"two" in link.received) is (way == "back")  # only the other direction is unaffected
            with pytest.raises(TimeoutError):  # a new connection is never established
                async with asyncio.timeout(ABSENCE_WAIT_S):
                    await link.connect()
            link.heal()
            with pytest.raises(ConnectionError):
                async with asyncio.timeout(TIMEOUT_S):
                    await reader.readexactly(1)
            reader, writer = await link.connect()
            writer.write(b"three")
            await expect_bytes(reader, b"three")

    uvloop.run(test())


def test_a_silent_direction_also_drops_a_close(tmp_path: Path) -> None:
    async def test() -> None:
        async with open_link(tmp_path) as link:
            reader, writer = await link.connect()
            writer.write(b"one")
            await expect_bytes(reader, b"one")
            link.fault("silent", way="there")
            writer.close()
            await asyncio.sleep(ABSENCE_WAIT_S)
            [connection] = link.links.links[0].connections
            assert connection.callee.transport is not None and not connection.callee.transport.is_closing()
            link.heal()
            await asyncio.sleep(ABSENCE_WAIT_S)
            assert not link.links.links[0].connections

    uvloop.run(test())


def test_delay_and_rate_take_their_time_and_keep_the_order_of_bytes(tmp_path: Path) -> None:
    async def test() -> None:
        async with open_link(tmp_path) as link:
            reader, writer = await link.connect()
            for name, size, min_elapsed_s in (("delay", 60.0, 0.12), ("rate", 200_000.0, 0.25)):
                link.fault(name, size)
                started_at = time.monotonic()
                data = bytes(i % 251 for i in range(50_000))
                for i in range(0, len(data), 5000):
                    writer.write(data[i : i + 5000])
                await expect_bytes(reader, data)
                assert (
                    time.monotonic() - started_at >= min_elapsed_s
                )  # both directions, or 50,000 bytes at that rate
                link.heal()

    uvloop.run(test())


def test_reset_refuse_and_a_callee_that_is_down(tmp_path: Path) -> None:
    async def test() -> None:
        async with open_link(tmp_path) as link:
            reader, writer = await link.connect()
            writer.write(b"one")
            await expect_bytes(reader, b"one")
            link.fault("reset")
            with pytest.raises(ConnectionError):
                async with asyncio.timeout(TIMEOUT_S):
                    await reader.readexactly(1)
            link.heal()
            link.fault("refuse")
            with pytest.raises(ConnectionRefusedError):
                await link.connect()
            link.heal()
            link.links.do_down("server:0")
            with pytest.raises(ConnectionRefusedError):
                await link.connect()
            link.links.do_up("server:0")
            await link.connect()

    uvloop.run(test())


def test_each_turn_is_recorded_with_the_times_of_its_bytes(tmp_path: Path) -> None:
    async def test() -> None:
        async with open_link(tmp_path) as link:
            reader, writer = await link.connect()
            for data in (b"one", b"two"):
                writer.write(data)
                await expect_bytes(reader, data)
            writer.close()
            await asyncio.sleep(ABSENCE_WAIT_S)

    uvloop.run(test())
    turns = [record for record in read_records(tmp_path) if isinstance(record, Turn)]
    assert [turn.turn for turn in turns] == [0, 1]
    assert all(turn.first <= turn.last <= turn.at for turn in turns)


@pytest.mark.parametrize("host", ["192.0.2.1", "localhost", "0.0.0.0", "::1", "128.0.0.1"])
def test_addresses_other_than_loopback_are_rejected(host: str) -> None:
    with pytest.raises(FaultBenchError, match="loopback"):
        require_loopback(host)
