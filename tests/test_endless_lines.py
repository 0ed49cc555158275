"""Lines that do not end, in every place where a line can stand: bounded, rejected, and no request is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from flaxstep.proxy.discovery import MalformedListError, ResponseBody
from flaxstep.proxy.header_limit import MAX_HEADER_BYTES, MAX_HEADER_FIELDS
from flaxstep.rollout.io import http_client
from flaxstep.routing.interface import Result
from tests.net import (
    TIMEOUT_S,
    FakeServer,
    body_counting_server,
    build_request,
    repeat_requests,
    respond_with,
    run_node,
)
from tests.test_admin import ADMIN_ADDRESS, wait_until
from tests.test_bodies import LARGE_BODY, chunked, upload_request
from tests.test_node import run

ENDLESS = b"a" * 300_000  # far over the limit, and so much in all: the sender then waits
SHORT_LINES = b"X-Trailer: aaaa\r\n" * 20_000
LAST_CHUNK = b"0\r\n\r\n"
HEAD = build_request("pay").removesuffix(b"\r\n")
CHUNKED_HEAD = build_request("pay", Transfer_Encoding="chunked").replace(b"Content-Length: 0\r\n", b"")
OFFER = {"Connection": "Upgrade, keep-alive", "Upgrade": "h2c"}
OFFERING_HEAD = build_request("pay", Transfer_Encoding="chunked", **OFFER).replace(
    b"Content-Length: 0\r\n", b""
)

# What a client sends before ENDLESS, and the statuses of the responses before the last one.
REQUEST_LINES: dict[str, tuple[bytes, list[int]]] = {
    "request line": (b"GET /", []),
    "header name": (HEAD + b"X-", []),
    "header value": (HEAD + b"X-Long: ", []),
    "many headers": (HEAD + SHORT_LINES, []),
    "trailer name": (CHUNKED_HEAD + b"0\r\nX-", []),
    "trailer value": (CHUNKED_HEAD + b"0\r\nX-Trailer: ", []),
    "many trailers": (CHUNKED_HEAD + b"0\r\n" + SHORT_LINES, []),
    "trailer behind chunks": (CHUNKED_HEAD + b"2\r\nhi\r\n0\r\nX-Trailer: ", []),
    "chunk extension": (CHUNKED_HEAD + b"2;", []),
    "extension of the last chunk": (CHUNKED_HEAD + b"2\r\nhi\r\n0;", []),
    "trailer of a long body": (
        upload_request(LARGE_BODY, "chunked").removesuffix(b"\r\n") + b"X-Trailer: ",
        [],
    ),
    "trailer behind an offer": (OFFERING_HEAD + b"2\r\nhi\r\n0\r\nX-Trailer: ", []),
    "header behind a body": (build_request("pay", body=b"b" * 60_000) + HEAD + b"X-Long: ", [200]),
    "header behind chunks": (CHUNKED_HEAD + chunked(b"c" * 60_000) + HEAD + b"X-Long: ", [200]),
    "trailer of a later request": (
        build_request() + CHUNKED_HEAD + LAST_CHUNK + CHUNKED_HEAD + b"0\r\nX-Trailer: ",
        [200, 200],
    ),
}


# Guards against: a client's line without an end is collected until the node is killed for memory.
@pytest.mark.parametrize("place", REQUEST_LINES)
def test_endless_line_of_a_client_is_rejected_and_requests_before_it_are_served(place: str) -> None:
    prefix, statuses = REQUEST_LINES[place]

    async def test() -> None:
        async with run_node(await body_counting_server()) as fixture:
            client = await fixture.connect_client()
            client.writer.write(prefix + ENDLESS)
            assert [(await client.read_response())[0] for _ in statuses] == statuses
            status, head, _ = await client.read_response()
            assert status == 431 and b"Connection: close" in head
            assert await client.read_until_close() == b""
            assert not fixture.node.pending_requests and fixture.held_beyond_connections == 0

    run(test())


# Guards against: a head of thousands of short fields costs far more than its length.
@pytest.mark.parametrize(("more", "status"), [(0, 200), (1, 431)])
def test_request_with_too_many_headers_is_rejected(more: int, status: int) -> None:
    head = build_request("pay").removesuffix(b"\r\n")
    fields = b"a:\r\n" * (MAX_HEADER_FIELDS - head.count(b":") + more)

    async def test() -> None:
        async with run_node(await body_counting_server()) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(head + fields + b"\r\n"))[0] == status

    run(test())


# Guards against: the same at the address of the operators.
@pytest.mark.parametrize("trailers", [b"X-Trailer: " + ENDLESS, SHORT_LINES], ids=["endless", "many"])
def test_endless_trailers_of_an_operator_are_rejected(trailers: bytes) -> None:
    async def test() -> None:
        async with run_node(await FakeServer().start(), admin=ADMIN_ADDRESS) as fixture:
            caller = await fixture.connect_admin()
            head = b"POST /admin/quiesce HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            assert (await caller.send_request(head + b"0\r\n" + trailers))[0] == 431
            assert not fixture.node.quiesced

    run(test())


# Messages that are long in a way that is allowed.
LONG_VALUE = "v" * (MAX_HEADER_BYTES - 1000)
SOUND_REQUESTS = {
    "long header": build_request("pay", body=b"hi", X_Long=LONG_VALUE),
    "long trailer": CHUNKED_HEAD + b"2\r\nhi\r\n0\r\nX-Trailer: " + LONG_VALUE.encode() + b"\r\n\r\n",
    "chunks of one byte": CHUNKED_HEAD + b"1;x=1\r\nb\r\n" * 30_000 + LAST_CHUNK,
    "body without a line break": build_request("pay", body=b"b" * 60_000),
    "long body in chunks of one byte": CHUNKED_HEAD + b"1\r\nb\r\n" * 70_000 + LAST_CHUNK,
}


CUTS: dict[str, Callable[[bytes], list[bytes]]] = {
    "whole": lambda data: [data],
    "every 5000 bytes": lambda data: [data[i : i + 5000] for i in range(0, len(data), 5000)],
    "each of the last bytes": lambda data: [data[:-30], *(bytes([byte]) for byte in data[-30:])],
}


# Guards against: what is allowed counts as a line without an end.
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("name", SOUND_REQUESTS)
def test_long_but_allowed_requests_are_served(name: str, cut: str) -> None:
    data = SOUND_REQUESTS[name]

    async def test() -> None:
        async with run_node(await body_counting_server()) as fixture:
            client = await fixture.connect_client()
            for _ in range(2):  # the second request begins behind the first one's last line
                for piece in CUTS[cut](repeat_requests(data, 1)):
                    client.writer.write(piece)
                    await asyncio.sleep(0.001)
                status, _, body = await client.read_response()
                assert (status, body) == (200, b"%d" % body_bytes(data))

    run(test())


def body_bytes(request: bytes) -> int:
    """The length of the body of one of SOUND_REQUESTS."""
    head, _, rest = request.partition(b"\r\n\r\n")
    if b"Transfer-Encoding" not in head:
        return len(rest)
    size = 0
    while length := int(rest.partition(b"\r\n")[0].partition(b";")[0], 16):
        rest = rest.partition(b"\r\n")[2][length + 2 :]
        size += length
    return size


# What a job server sends before ENDLESS, and whether a part of the response has gone to the client by then.
CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSE_LINES: dict[str, tuple[bytes, bool]] = {
    "status line": (b"HTTP/1.1 200 ", False),
    "header name": (b"HTTP/1.1 200 OK\r\nX-", False),
    "header value": (b"HTTP/1.1 200 OK\r\nX-Padding: ", False),
    "header value of an error": (b"HTTP/1.1 500 Internal Server Error\r\nX-Padding: ", False),
    "many headers": (b"HTTP/1.1 200 OK\r\n" + SHORT_LINES, False),
    "header behind an interim response": (
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Padding: ",
        False,
    ),
    "header of an interim response": (b"HTTP/1.1 103 Early Hints\r\nLink: ", False),
    "trailer": (CHUNKED_RESPONSE + b"4\r\ndone\r\n0\r\nX-Trailer: ", False),
    "many trailers": (CHUNKED_RESPONSE + b"4\r\ndone\r\n0\r\n" + SHORT_LINES, False),
    "chunk extension": (CHUNKED_RESPONSE + b"4;", False),
    "trailer of a long response": (CHUNKED_RESPONSE + chunked(LARGE_BODY)[:-4] + b"X-Trailer: ", True),
}


# Guards against: a job server's line without an end is collected until the node is killed for memory.
@pytest.mark.parametrize("place", RESPONSE_LINES)
def test_endless_line_of_a_job_server_fails_the_attempt(place: str) -> None:
    prefix, streamed = RESPONSE_LINES[place]

    async def test() -> None:
        server = await FakeServer(respond_with(prefix + ENDLESS)).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            client.writer.write(build_request("pay", body=b"job"))
            if streamed:
                with pytest.raises(ConnectionResetError):  # the client can tell that its response is broken
                    await client.read_until_close()
            else:
                assert (await client.read_response())[0] == 502
            assert (await fixture.next_outcome()).result is Result.ERROR
            await wait_until(lambda: not fixture.node.pool.connections)
            assert not fixture.node.pending_requests and fixture.held_beyond_connections == 0

    run(test())


# Guards against: what is allowed counts as a line without an end.
def test_long_but_allowed_headers_and_trailers_of_a_job_server_are_accepted() -> None:
    line = b"X-Padding: " + LONG_VALUE[: MAX_HEADER_BYTES // 2 - 500].encode() + b"\r\n"
    response = b"HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n4;e=1\r\ndone\r\n0\r\n%b\r\n" % (
        line,
        line,
    )

    async def test() -> None:
        server = await FakeServer(respond_with(response)).start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            for _ in range(2):
                assert (await client.send_request(build_request("pay")))[::2] == (200, b"done")
            assert server.connection_count == 1

    run(test())


# Guards against: the same in what discovery sends.
@pytest.mark.parametrize(
    "start",
    [b"HTTP/1.1 200 OK\r\nX-Padding: ", CHUNKED_RESPONSE + b"0\r\nX-Trailer: ", CHUNKED_RESPONSE + b"4;"],
    ids=["header", "trailer", "chunk extension"],
)
def test_endless_line_of_discovery_ends_the_call(start: bytes) -> None:
    async def test() -> None:
        reader = asyncio.StreamReader()
        body = ResponseBody()
        reader.feed_data(start)
        await body.read_more(reader, TIMEOUT_S)
        with pytest.raises(MalformedListError):
            for _ in range(2 * MAX_HEADER_BYTES // 1000):
                reader.feed_data(b"a" * 1000)
                await body.read_more(reader, TIMEOUT_S)

    run(test())


# Guards against: the same in what a node sends to the release controller.
def test_endless_line_of_a_node_ends_the_call(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_client, "MAX_RESPONSE_BYTES", 100_000)

    async def test() -> None:
        server = await FakeServer(respond_with(b"HTTP/1.1 200 OK\r\nX-Padding: " + ENDLESS)).start()
        with pytest.raises(http_client.CallError, match="too long"):
            await http_client.call(f"127.0.0.1:{server.port}", "GET", "/admin/stats", seconds=TIMEOUT_S)

    run(test())
