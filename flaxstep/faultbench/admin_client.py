"""Client of the admin API of the rig's nodes."""

from __future__ import annotations

from flaxstep.faultbench.fake_service import Address, require_loopback
from flaxstep.rollout.io.http_client import call_text

CALL_TIMEOUT_S = 1.0


async def call_admin(address: Address, method: str, call: str, body: str = "") -> tuple[int, str]:
    """Returns the status and the body; 0 and the reason if no response came within CALL_TIMEOUT_S."""
    host_port = f"{require_loopback(address[0])}:{address[1]}"
    return await call_text(host_port, method, f"/admin/{call}", body.encode(), CALL_TIMEOUT_S)
