"""What the rig's links do to bytes and to new connections, each fault by itself, on real sockets."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from flaxstep.faultbench.fake_service import FaultBenchError, loopback
from flaxstep.faultbench.farm import claim
from flaxstep.faultbench.links import Links
from flaxstep.faultbench.records import Recorder, Turn, read_records

WAIT = 10.0
SOON = 0.15  # s in which what is not to come would have come


class Wire:
    """A link to an echo, and what the echo has heard."""

    def __init__(self, links: Links, host: str) -> None:
        self.links, self.host, self.heard = links, host, bytearray()

    async def echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(1 << 16):
                self.heard += data
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
async def wired(folder: Path) -> AsyncIterator[Wire]:
    held, host = claim()
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
    wire = Wire(links, host)
    server = await asyncio.start_server(wire.echo, host, 3)
    await links.start()
    try:
        yield wire
    finally:
        server.close()
        links.do_down("server:0")
        recorder.close()
        held.close()


async def says(reader: asyncio.StreamReader, words: bytes) -> None:
    async with asyncio.timeout(WAIT):
        assert await reader.readexactly(len(words)) == words


async def says_nothing(reader: asyncio.StreamReader) -> None:
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(SOON):
            await reader.read(1)


@pytest.mark.parametrize("way", ["there", "back", "both"])
def test_a_silent_way_swallows_and_is_reset_when_it_heals(tmp_path: Path, way: str) -> None:
    async def test() -> None:
        async with wired(tmp_path) as wire:
            reader, writer = await wire.connect()
            writer.write(b"one")
            await says(reader, b"one")
            wire.fault("silent", way=way)
            writer.write(b"two")
            await says_nothing(reader)
            assert (b"two" in wire.heard) is (way == "back")  # one way only: the other goes on
            with pytest.raises(TimeoutError):  # a new connection never comes up
                async with asyncio.timeout(SOON):
                    await wire.connect()
            wire.heal()
            with pytest.raises(ConnectionError):
                async with asyncio.timeout(WAIT):
                    await reader.readexactly(1)
            reader, writer = await wire.connect()
            writer.write(b"three")
            await says(reader, b"three")

    uvloop.run(test())


def test_a_silent_way_also_swallows_an_end(tmp_path: Path) -> None:
    async def test() -> None:
        async with wired(tmp_path) as wire:
            reader, writer = await wire.connect()
            writer.write(b"one")
            await says(reader, b"one")
            wire.fault("silent", way="there")
            writer.close()
            await asyncio.sleep(SOON)
            [pair] = wire.links.links[0].pairs
            assert pair.callee.transport is not None and not pair.callee.transport.is_closing()
            wire.heal()
            await asyncio.sleep(SOON)
            assert not wire.links.links[0].pairs

    uvloop.run(test())


def test_delay_and_rate_take_the_time_that_they_say_and_keep_the_order(tmp_path: Path) -> None:
    async def test() -> None:
        async with wired(tmp_path) as wire:
            reader, writer = await wire.connect()
            for name, size, least in (("delay", 60.0, 0.12), ("rate", 200_000.0, 0.25)):
                wire.fault(name, size)
                begun = time.monotonic()
                words = bytes(i % 251 for i in range(50_000))
                for i in range(0, len(words), 5000):
                    writer.write(words[i : i + 5000])
                await says(reader, words)
                assert time.monotonic() - begun >= least  # there and back, or 50,000 bytes at that rate
                wire.heal()

    uvloop.run(test())


def test_reset_and_refuse_and_a_callee_that_is_gone(tmp_path: Path) -> None:
    async def test() -> None:
        async with wired(tmp_path) as wire:
            reader, writer = await wire.connect()
            writer.write(b"one")
            await says(reader, b"one")
            wire.fault("reset")
            with pytest.raises(ConnectionError):
                async with asyncio.timeout(WAIT):
                    await reader.readexactly(1)
            wire.heal()
            wire.fault("refuse")
            with pytest.raises(ConnectionRefusedError):
                await wire.connect()
            wire.heal()
            wire.links.do_down("server:0")
            with pytest.raises(ConnectionRefusedError):
                await wire.connect()
            wire.links.do_up("server:0")
            await wire.connect()

    uvloop.run(test())


def test_each_turn_is_written_down_by_its_bytes(tmp_path: Path) -> None:
    async def test() -> None:
        async with wired(tmp_path) as wire:
            reader, writer = await wire.connect()
            for words in (b"one", b"two"):
                writer.write(words)
                await says(reader, words)
            writer.close()
            await asyncio.sleep(SOON)

    uvloop.run(test())
    turns = [record for record in read_records(tmp_path) if isinstance(record, Turn)]
    assert [turn.turn for turn in turns] == [0, 1]
    assert all(turn.first <= turn.last <= turn.at for turn in turns)


@pytest.mark.parametrize("host", ["192.0.2.1", "localhost", "0.0.0.0", "::1", "128.0.0.1"])
def test_no_target_but_loopback(host: str) -> None:
    with pytest.raises(FaultBenchError, match="loopback"):
        loopback(host)
