"""Numbers that stand for names in the decisions."""

from __future__ import annotations

from hashlib import blake2b


def stable_id(name: bytes) -> int:
    """Hash a name to a non-zero number that is the same at every node and after every start."""
    return int.from_bytes(blake2b(name, digest_size=8).digest()) or 1
