"""Requests that offer to change the protocol are served like others, with their body."""

from __future__ import annotations

import asyncio

import pytest

from tests.net import FakeServer, RawClient, build_request, header_value, respond_with, run_node
from tests.test_bodies import LARGE_BODY, LAST_CHUNK, ControlledServer, chunked
from tests.test_node import run

OFFERS = {
    "h2c": {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2-Settings": "AAMAAABkAAQAAP__"},
    "websocket": {"Connection": "keep-alive, upgrade", "Upgrade": "websocket"},
    "last": {"Connection": "Upgrade, close", "Upgrade": "h2c"},
}
BODIES = {"empty": b"", "short": b"\x00job" * 500, "30 KB": bytes(30_000), "2 MB": LARGE_BODY}


def offering_request(offer: str, body: bytes, framing: str, **headers: str) -> bytes:
    data = build_request("pay", body=body, **OFFERS[offer], **headers)
    if framing == "length":
        return data
    head = data.partition(b"\r\n\r\n")[0].replace(b"Content-Length: %d" % len(body), b"X-Sized: no")
    return head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body)


async def write_in_pieces(client: RawClient, data: bytes, size: int) -> None:
    for start in range(0, len(data), size):
        client.writer.write(data[start : start + size])
        await asyncio.sleep(0.001)


# Guards against: a request that offers an upgrade reaches the job server without its body, and runs.
@pytest.mark.parametrize("pieces", ["whole", "in pieces", "asks first"])
@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("offer", OFFERS)
def test_request_that_offers_an_upgrade_keeps_its_body(
    offer: str, body: str, framing: str, pieces: str
) -> None:
    async def test() -> None:
        server = ControlledServer()
        async with run_node(await server.start()) as fixture:
            client = await fixture.connect_client()
            expect = {"Expect": "100-continue"} if pieces == "asks first" and BODIES[body] else {}
            data = offering_request(offer, BODIES[body], framing, **expect)
            if expect:
                head, _, rest = data.partition(b"\r\n\r\n")
                assert (await client.send_request(head + b"\r\n\r\n"))[0] == 100
                data = rest
            piece_bytes = max(len(data) // 50, 20) if pieces == "in pieces" else len(data)
            await write_in_pieces(client, data, piece_bytes)
            status, head, _ = await client.read_response()
            assert (status, bytes(server.body)) == (200, BODIES[body])
            assert (header_value(head, b"Connection") == b"close") == (offer == "last")
            assert fixture.held_beyond_connections == 0 and not fixture.node.pending_requests

    run(test())


# Guards against: requests written behind one that offers an upgrade are thrown away unread.
def test_requests_behind_an_offer_are_served_on_the_same_connection() -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            requests = [
                build_request(),
                build_request(Connection="upgrade", Upgrade="websocket"),
                offering_request("h2c", b"first", "length"),
                offering_request("h2c", b"second", "length"),
                build_request("pay", body=b"third"),
                offering_request("last", b"fourth", "length"),
            ]
            client.writer.write(b"".join(requests))
            for _ in requests:
                assert (await client.read_response())[0] == 200
            assert await client.read_until_close() == b""
            bodies = [server.requests.get_nowait().partition(b"\r\n\r\n")[2] for _ in requests]
            assert bodies == [b"", b"", b"first", b"second", b"third", b"fourth"]

    run(test())


INVALID_REQUESTS = {
    "safe with a body": build_request(Content_Length="2", **OFFERS["h2c"]) + b"hi",
    "safe with chunks": build_request(Transfer_Encoding="chunked", **OFFERS["h2c"]) + b"2\r\nhi\r\n0\r\n\r\n",
    "no timeout": build_request("pay", Request_Timeout="soon", body=b"hi", **OFFERS["h2c"]),
    "malformed chunk": offering_request("h2c", b"", "chunked").removesuffix(LAST_CHUNK) + b"x\r\n",
    "tunnel": b"CONNECT backend.local:80 HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi",
}


@pytest.mark.parametrize("data", INVALID_REQUESTS.values(), ids=INVALID_REQUESTS)
def test_invalid_request_with_an_offer_is_rejected_and_not_forwarded(data: bytes) -> None:
    async def test() -> None:
        server = await FakeServer().start()
        async with run_node(server) as fixture:
            client = await fixture.connect_client()
            assert (await client.send_request(data))[0] == 400
            assert server.requests.empty()

    run(test())


# Guards against: the same fault on the way back, as many servers offer an upgrade in their responses.
@pytest.mark.parametrize(("status", "expected"), [("200 OK", 200), ("101 Switching Protocols", 502)])
def test_offer_of_a_job_server_is_ignored(status: str, expected: int) -> None:
    async def test() -> None:
        response = (
            f"HTTP/1.1 {status}\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 4\r\n\r\ndone"
        )
        async with run_node(await FakeServer(respond_with(response.encode())).start()) as fixture:
            got, _, body = await (await fixture.connect_client()).send_request(build_request("pay"))
            assert got == expected and (body == b"done") == (expected == 200)

    run(test())
