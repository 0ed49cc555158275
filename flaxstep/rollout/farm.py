"""The farm that a release updates: its nodes with their admin addresses, its list service, and the file with
the state of the releases. Read from TOML, with all faults reported at once.
"""

from __future__ import annotations

import tomllib
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from flaxstep.rollout.config_decoding import convert_all
from flaxstep.rollout.plan import PlanError, Text

HostPort = Annotated[str, Meta(pattern=r"^[0-9a-zA-Z._-]+:[0-9]{1,5}$")]


class NodeConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node. `doors` are its admin addresses: the first process uses the first, a successor another."""

    name: Text
    doors: Annotated[tuple[HostPort, ...], Meta(min_length=1, max_length=8)]
    zone: Text = "-"


class Farm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The farm file. `state` is a path relative to the file; all controllers of the farm share the file
    there.
    """

    name: Text
    discovery: HostPort
    state: Text
    nodes: Annotated[tuple[NodeConfig, ...], Meta(min_length=1, max_length=10_000)]


def read_farm(path: Path) -> Farm:
    """Read a farm file and make `state` absolute; PlanError with all its faults."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise PlanError([f"{path}: {error.strerror}"]) from None
    except UnicodeDecodeError:
        raise PlanError([f"{path}: not UTF-8 text"]) from None
    except tomllib.TOMLDecodeError as error:
        raise PlanError([f"not TOML: {error}"]) from None
    farm, faults = convert_all(raw, Farm)
    if farm is not None:
        faults += repeated_entries(farm)
    if faults or farm is None:
        raise PlanError(faults)
    return msgspec.structs.replace(farm, state=str((path.parent / farm.state).resolve()))


def repeated_entries(farm: Farm) -> Iterator[str]:
    names = Counter(node.name for node in farm.nodes)
    doors = Counter(door for node in farm.nodes for door in node.doors)
    for what, counts in (("node", names), ("door", doors)):
        yield from (f"nodes: the {what} {name} is listed twice" for name, n in counts.items() if n > 1)
