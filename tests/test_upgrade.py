"""Upgrade of a node by a second process: no request is lost, and none is accepted too early."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
import uvloop

from flaxstep.proxy.node import connection_limits
from tests.net import TIMEOUT_S, FakeDiscovery, FakeServer, RawClient, build_request, run_node
from tests.test_admin import ADMIN_ADDRESS, HEALTH, wait_until
from tests.test_node import run
from tests.test_process import log_line, raw_config, running_process


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


async def wait_for_line(node: asyncio.subprocess.Process, words: str) -> None:
    while words not in await log_line(node):
        pass


async def prepare(folder: Path) -> tuple[Path, int, dict[str, str]]:
    """Write a configuration with one server; return its path, the clients' port and more variables."""
    peer = await FakeServer().start()
    agent = await FakeDiscovery([peer.list_entry()]).start()
    port = free_port()
    path = folder / "config.json"
    raw = {"discovery": f"127.0.0.1:{agent.port}", "listen": f"127.0.0.1:{port}"}
    path.write_text(json.dumps(raw_config() | raw))
    return path, port, {"TMPDIR": str(folder), "ROUTER_ADMIN_ADDR": "127.0.0.1:0"}


def test_a_successor_takes_over_and_no_request_is_lost(tmp_path: Path) -> None:
    async def test() -> None:
        path, port, environ = await prepare(tmp_path)
        served, unread, stopped = [0], [0], asyncio.Event()

        async def ask() -> None:
            while not stopped.is_set():
                try:
                    client = RawClient(*await asyncio.open_connection("127.0.0.1", port))
                    assert (await client.send_request(build_request()))[0] == 200
                except (ConnectionError, asyncio.IncompleteReadError):
                    # Closed before the request was read: clients then send it again. In an upgrade, a late
                    # event loop or the closing of the old listener may cause this twice (DAYS), but no more.
                    unread[0] += 1
                    assert unread[0] <= 2
                    continue
                served[0] += 1
                client.writer.close()

        async with AsyncExitStack() as stack:
            old, _ = await stack.enter_async_context(running_process(path, environ))
            asking = asyncio.create_task(ask())  # one at a time: four would overload the only server
            new, _ = await stack.enter_async_context(running_process(path, environ))
            await wait_for_line(old, "another process of this node is running")
            old.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.wait(), TIMEOUT_S) == 0
            await wait_for_line(new, "this is the node's only process again")
            before = served[0]
            await wait_until(lambda: served[0] > before + 20)
            stopped.set()
            await asking  # none was refused or unanswered, and few met a closing connection
            assert new.returncode is None

    uvloop.run(test())


def test_a_successor_without_a_list_leaves_the_old_process_serving(tmp_path: Path) -> None:
    async def test() -> None:
        path, port, environ = await prepare(tmp_path)
        async with AsyncExitStack() as stack:
            old, _ = await stack.enter_async_context(running_process(path, environ))
            with socket.socket() as silent_socket:  # accepts connections and never responds
                silent_socket.bind(("127.0.0.1", 0))
                silent_socket.listen()
                silent_discovery = environ | {
                    "ROUTER_DISCOVERY": f"127.0.0.1:{silent_socket.getsockname()[1]}"
                }
                new, _ = await stack.enter_async_context(running_process(path, silent_discovery, wait=False))
                await wait_for_line(old, "another process of this node is running")
                for _ in range(40):  # a second listener would get half of them
                    client = RawClient(*await asyncio.open_connection("127.0.0.1", port))
                    assert (await client.send_request(build_request()))[0] == 200
                    client.writer.close()
                new.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(new.wait(), TIMEOUT_S) == 0
            await wait_for_line(old, "this is the node's only process again")
            client = RawClient(*await asyncio.open_connection("127.0.0.1", port))
            assert (await client.send_request(HEALTH))[0] == 200

    uvloop.run(test())


def test_connections_that_the_kernel_has_queued_are_served_when_the_listener_closes() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start(), admin=ADMIN_ADDRESS) as stand:
            assert stand.node.client_listener is not None
            address = stand.node.client_listener.sockets[0].getsockname()
            queued = [socket.create_connection(address) for _ in range(5)]  # not accepted yet
            stand.node.listener.stop_accepting()
            for connection in queued:
                connection.setblocking(False)
                client = RawClient(*await asyncio.open_connection(sock=connection))
                assert (await client.send_request(build_request()))[0] == 200
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*address)

    run(test())


def test_two_processes_halve_the_limits_of_each(tmp_path: Path) -> None:
    async def test() -> None:
        peer = await FakeServer().start()
        async with run_node(peer, admin=ADMIN_ADDRESS, shared_folder=tmp_path, sockets=256) as old:
            clients = [await old.connect_client() for _ in range(90)]
            for client in clients:
                assert (await client.send_request(build_request()))[0] == 200
            whole = (old.node.listener.max_connections, old.node.pool.max_connections)
            assert whole == connection_limits(256) and sum(whole) < 256
            async with run_node(peer, admin=ADMIN_ADDRESS, shared_folder=tmp_path, sockets=256) as new:
                await wait_until(lambda: old.node.listener.max_connections < whole[0])
                half = connection_limits(128)
                for stand in (old, new):
                    assert (stand.node.listener.max_connections, stand.node.pool.max_connections) == half
                assert 2 * sum(half) <= sum(whole)
                assert len(old.node.listener.connections) <= half[0]
                assert (await clients[-1].send_request(build_request()))[
                    0
                ] == 200  # those idle for longest were closed
            await wait_until(
                lambda: (old.node.listener.max_connections, old.node.pool.max_connections) == whole
            )

    run(test())


def test_without_an_admin_port_a_second_process_can_not_listen() -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start()) as stand:
            assert stand.node.client_listener is not None
            taken = stand.node.client_listener.sockets[0].getsockname()
            with pytest.raises(OSError, match="in use"):
                async with run_node(listen=taken[:2]):
                    pass

    run(test())
