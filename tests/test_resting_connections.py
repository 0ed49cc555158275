"""Connections that rest between requests: nothing of the requests and responses before is kept."""

from __future__ import annotations

import gc
from collections import deque
from types import MethodType

import pytest

from tests.net import NodeFixture, body_counting_server, build_request, repeat_requests, run_node
from tests.test_admin import wait_until
from tests.test_bodies import upload_request
from tests.test_node import run

BODY = b"b" * 60_000
LONG_VALUE = "v" * 12_000
CONTAINERS = (dict, list, tuple, set, deque, MethodType)
KEPT_BYTES = 4096  # what an object of a resting connection may hold, at most
LONG_CONTENT_TYPE = b"Content-Type: text/%b\r\n" % LONG_VALUE.encode()

# What a client sends before it rests, and the statuses of the responses.
REQUESTS: dict[str, tuple[bytes, list[int]]] = {
    "body": (build_request("pay", body=BODY), [200]),
    "chunked body": (upload_request(BODY, "chunked"), [200]),
    "body passed on while it comes": (upload_request(BODY * 3), [200]),
    "rejected body": (build_request("pay", body=BODY).replace(b"/pay/", b"/unknown/"), [404]),
    "rejected head": (build_request("pay", timeout="soon", X_Long=LONG_VALUE), [400]),
    "long headers": (build_request("pay", X_Long=LONG_VALUE), [200]),
    "long target": (build_request("pay", key=LONG_VALUE), [200]),
    "long trailers": (
        upload_request(BODY, "chunked").replace(b"X-Sum: 1", b"X-Sum: " + LONG_VALUE.encode()),
        [200],
    ),
    "offer of an upgrade": (
        build_request("pay", body=BODY, Connection="Upgrade, keep-alive", Upgrade="h2c"),
        [200],
    ),
    "several": (repeat_requests(build_request("pay", body=BODY[:30_000]), 3), [200] * 3),
    "body, then health check": (
        build_request("pay", body=BODY) + b"GET /_health HTTP/1.1\r\n\r\n", [200, 200]
    ),
}  # fmt: skip


def kept_parts(fixture: NodeFixture) -> list[int]:
    """The sizes of the large byte strings that hang on the connections, whatever holds them there."""
    node, seen, sizes = fixture.node, set[int](), []
    # The shared read buffer and the node's other parts belong to no connection.
    shared = {
        id(part)
        for part in (node, node.listener, node.pool, node.account, node.loop, *node.pool.servers.values())
    }
    pending: list[object] = [*node.listener.connections, *node.pool.connections]
    while pending:
        value = pending.pop()
        if id(value) in seen or id(value) in shared or isinstance(value, type):
            continue
        seen.add(id(value))
        if isinstance(value, bytes | bytearray | str):
            sizes.append(len(value))
        elif isinstance(value, CONTAINERS) or type(value).__module__.startswith("flaxstep.proxy"):
            pending += gc.get_referents(value)
    return [size for size in sizes if size > KEPT_BYTES]


# Guards against: clients that rest after long requests take the node over its memory limit.
@pytest.mark.parametrize("kind", REQUESTS)
def test_resting_connection_keeps_no_part_of_its_requests(kind: str) -> None:
    data, statuses = REQUESTS[kind]

    async def test() -> None:
        async with run_node(await body_counting_server(LONG_CONTENT_TYPE)) as fixture:
            client = await fixture.connect_client()
            client.writer.write(data)
            assert [(await client.read_response())[0] for _ in statuses] == statuses
            await wait_until(lambda: fixture.node.listener.idle)
            assert not kept_parts(fixture)

    run(test())
