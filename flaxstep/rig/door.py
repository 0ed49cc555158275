"""One call at the operators' door of a node."""

from __future__ import annotations

import asyncio

from flaxstep.rig.standin import Address, loopback

CALL_TIME = 1.0  # s that a caller waits


async def call_door(address: Address, method: str, call: str, body: str = "") -> tuple[int, str]:
    """Status and text; 0 and the reason if no answer came within a second."""
    data = body.encode()
    head = f"{method} /admin/{call} HTTP/1.1\r\nHost: door\r\nContent-Length: {len(data)}\r\n\r\n"
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(CALL_TIME):
            reader, writer = await asyncio.open_connection(loopback(address[0]), address[1])
            writer.write(head.encode() + data)
            answer = await reader.read()
    except TimeoutError:
        return 0, "no answer within 1 s"
    except OSError as error:
        return 0, error.strerror or type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    head_bytes, _, text = answer.partition(b"\r\n\r\n")
    parts = head_bytes.split(b" ", 2)
    if len(parts) < 2 or not parts[1].isdigit():
        return 0, "no proper answer"
    return int(parts[1]), text.decode(errors="replace").strip()
