"""One call at the operators' door of a node of the rig."""

from __future__ import annotations

from flaxstep.faultbench.fake_service import Address, loopback
from flaxstep.rollout.io.http_client import call_text

CALL_TIME = 1.0  # s that a caller waits


async def call_door(address: Address, method: str, call: str, body: str = "") -> tuple[int, str]:
    """Status and text; 0 and the reason if no answer came within a second."""
    place = f"{loopback(address[0])}:{address[1]}"
    return await call_text(place, method, f"/admin/{call}", body.encode(), CALL_TIME)
