"""A small proxy that breaks one rule on purpose, named by its argument: what the rig's judge must catch.

It sends each request to a server drawn at random, one attempt, and answers what came. It follows discovery
and the operators' door only as far as a breach needs it.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
from pathlib import Path
from typing import Any

HOLD = 2.5  # s that a lost answer is kept from its client
FAULT = sys.argv[1]
config = json.loads(Path(os.environ["ROUTER_CONFIG"]).read_bytes())
chance = random.Random(config["seed"])
listed: dict[str, dict] = {entry["instanceId"]: entry for entry in config["known"]["instances"]}
out: set[str] = set()
counted = 0


def usable() -> list[str]:
    left = [name for name, entry in listed.items() if entry["lifecycle"] == "active"]
    if FAULT == "drained":
        left = list(listed)
    if FAULT != "cordoned":
        left = [name for name in left if name not in out]
    return left


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[str, str], bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines) if k}
    return first.encode(), headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def attempt(name: str, *request: Any) -> bytes:
    try:
        return await forward(name, *request)
    except (OSError, asyncio.IncompleteReadError):
        return b""


async def forward(name: str, first: bytes, headers: dict[str, str], body: bytes, wait: bool = True) -> bytes:
    host, port = listed[name]["hostPort"].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    kept = {k: v for k, v in headers.items() if k in ("request-id", "idempotency-key")}
    lines = "".join(f"{k}: {v}\r\n" for k, v in kept.items())
    writer.write(first + b"\r\n" + lines.encode() + b"content-length: %d\r\n\r\n" % len(body) + body)
    if not wait:
        await asyncio.sleep(0.005)
        asyncio.get_running_loop().call_later(3.0, writer.close)
        return b""
    try:
        status, _, answer = await read_message(reader)
    finally:
        writer.close()
    return answer if b" 200 " in status else b""


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    global counted
    try:
        while True:
            first, headers, body = await read_message(reader)
            if b"/_health" in first:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                writer.close()
                return
            counted += 1
            await answer(writer, first, headers, body, planted=counted % 10 == 5)
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def answer(
    writer: asyncio.StreamWriter, first: bytes, headers: dict[str, str], body: bytes, planted: bool
) -> None:
    names = usable()
    name = chance.choice(names)
    if FAULT == "cold" and (cold := [n for n in names if listed[n]["startedAtMs"]]):
        name = cold[0]
    status, made = b"200 OK", b""
    if planted and FAULT == "twice":
        await attempt(name, first, headers, body)
        name = chance.choice([other for other in names if listed[other]["cell"] != listed[name]["cell"]])
    elif planted and FAULT == "together":
        await attempt(name, first, headers, body, False)
        name = chance.choice([other for other in names if other != name])
    elif planted and FAULT == "strange":
        headers = headers | {"request-id": "feed" + headers["request-id"][4:]}
    if planted and FAULT == "invented":
        made = b'{"id": "0", "server": "s-9999", "version": "v1"}'
    else:
        made = await attempt(name, first, headers, body)
    if planted and FAULT == "silent":
        await asyncio.sleep(HOLD)
    elif planted and FAULT == "closed":
        await asyncio.sleep(0.05)
        writer.close()
        return
    elif planted and FAULT == "half":
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n" + made[:9])
        await asyncio.sleep(0.05)
        writer.close()
        return
    elif planted and FAULT == "refused":
        status = b"503 Service Unavailable"
    if not made:
        status = b"502 Bad Gateway"
    writer.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(made), made))


async def door(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    first, _, body = await read_message(reader)
    if b"uncordon" in first:
        out.discard(body.decode())
    elif b"cordon" in first:
        out.add(body.decode())
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
    writer.close()


async def follow() -> None:
    host, port = config["discovery"].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /catalog/members?watch=1&from=1 HTTP/1.1\r\nHost: x\r\n\r\n")
    while line := await reader.readline():
        if line.startswith(b"{"):
            for entry in json.loads(line)["instances"]:
                listed[entry["instanceId"]] = entry


async def main() -> None:
    host, port = config["listen"].split(":")
    await asyncio.start_server(serve, host, int(port))
    host, port = os.environ["ROUTER_ADMIN_ADDR"].split(":")
    await asyncio.start_server(door, host, int(port))
    await follow()
    await asyncio.sleep(60)


asyncio.run(main())
