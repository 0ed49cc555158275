"""A small proxy that breaks one rule on purpose, named by its argument, which the rig's judge must detect.

It sends each request to a random server in one attempt and forwards the response. It follows discovery and
the admin API only as far as a breach needs them.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
from pathlib import Path
from typing import Any

SILENT_HOLD_S = 2.5  # for which a response is withheld from the client
PLANTED_FAULT = sys.argv[1]
config = json.loads(Path(os.environ["ROUTER_CONFIG"]).read_bytes())
rng = random.Random(config["seed"])
list_entries: dict[str, dict] = {entry["instanceId"]: entry for entry in config["known"]["instances"]}
cordoned: set[str] = set()
request_count = 0


def usable_servers() -> list[str]:
    names = [name for name, entry in list_entries.items() if entry["lifecycle"] == "active"]
    if PLANTED_FAULT == "drained":
        names = list(list_entries)
    if PLANTED_FAULT != "cordoned":
        names = [name for name in names if name not in cordoned]
    return names


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
    host, port = list_entries[name]["hostPort"].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    forwarded_headers = {k: v for k, v in headers.items() if k in ("request-id", "idempotency-key")}
    lines = "".join(f"{k}: {v}\r\n" for k, v in forwarded_headers.items())
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
    global request_count
    try:
        while True:
            first, headers, body = await read_message(reader)
            if b"/_health" in first:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                writer.close()
                return
            request_count += 1
            await answer(writer, first, headers, body, planted=request_count % 10 == 5)
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def answer(
    writer: asyncio.StreamWriter, first: bytes, headers: dict[str, str], body: bytes, planted: bool
) -> None:
    names = usable_servers()
    name = rng.choice(names)
    if PLANTED_FAULT == "cold" and (cold := [n for n in names if list_entries[n]["startedAtMs"]]):
        name = cold[0]
    status, content = b"200 OK", b""
    if planted and PLANTED_FAULT == "twice":
        await attempt(name, first, headers, body)
        name = rng.choice(
            [other for other in names if list_entries[other]["cell"] != list_entries[name]["cell"]]
        )
    elif planted and PLANTED_FAULT == "together":
        await attempt(name, first, headers, body, False)
        name = rng.choice([other for other in names if other != name])
    elif planted and PLANTED_FAULT == "strange":
        headers = headers | {"request-id": "feed" + headers["request-id"][4:]}
    if planted and PLANTED_FAULT == "invented":
        content = b'{"id": "0", "server": "s-9999", "version": "v1"}'
    else:
        content = await attempt(name, first, headers, body)
    if planted and PLANTED_FAULT == "silent":
        await asyncio.sleep(SILENT_HOLD_S)
    elif planted and PLANTED_FAULT == "closed":
        await asyncio.sleep(0.05)
        writer.close()
        return
    elif planted and PLANTED_FAULT == "half":
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n" + content[:9])
        await asyncio.sleep(0.05)
        writer.close()
        return
    elif planted and PLANTED_FAULT == "refused":
        status = b"503 Service Unavailable"
    if not content:
        status = b"502 Bad Gateway"
    writer.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(content), content))


async def serve_admin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    first, _, body = await read_message(reader)
    if b"uncordon" in first:
        cordoned.discard(body.decode())
    elif b"cordon" in first:
        cordoned.add(body.decode())
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
    writer.close()


async def follow_discovery() -> None:
    host, port = config["discovery"].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /catalog/members?watch=1&from=1 HTTP/1.1\r\nHost: x\r\n\r\n")
    while line := await reader.readline():
        if line.startswith(b"{"):
            for entry in json.loads(line)["instances"]:
                list_entries[entry["instanceId"]] = entry


async def main() -> None:
    host, port = config["listen"].split(":")
    await asyncio.start_server(serve, host, int(port))
    host, port = os.environ["ROUTER_ADMIN_ADDR"].split(":")
    await asyncio.start_server(serve_admin, host, int(port))
    await follow_discovery()
    await asyncio.sleep(60)


asyncio.run(main())
