"""The configuration of a node: the ROUTER_* environment variables, and the JSON file that they name."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from flaxstep.proxy.event_log import LEVELS
from flaxstep.routing.interface import Settings
from flaxstep.routing.simulator_wire import WireError, read_settings

Address = tuple[str, int]


class ConfigError(Exception):
    """An invalid configuration. The message says in one line what is wrong."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one node, as read at its start."""

    name: str
    listen: Address
    discovery: Address
    admin: Address | None  # of the admin port; None: there is none
    shared_folder: Path | None  # with the state that the node's processes share; None: no such state
    seed: int
    sockets: int  # limit of file descriptors of the process
    memory_mb: int  # limit of memory; over it the process is killed
    known_list: dict[str, Any]  # the server list that the node had before its start; empty: none
    settings: Settings
    # From names in the settings to their positions there.
    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    kinds: dict[str, int]
    zones: dict[str, int]
    dial_timeout_ms: float
    idle_timeout_ms: float  # after which servers close idle connections
    log_level: int = logging.INFO  # DEBUG adds a line for each attempt, response and closed connection


def parse_address(text: str) -> Address:
    """Return the host and port of `host:port`; raise ValueError if it is malformed."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


@contextmanager
def _one_line_errors(path: str) -> Iterator[None]:
    """Turn each error in reading the file into a ConfigError of one line."""
    try:
        yield
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (TypeError, ValueError, AttributeError, RecursionError, WireError) as error:
        raise ConfigError(f"{path}: {error}") from None


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the node's configuration. Environment variables override the same values in the file."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    with _one_line_errors(path):
        raw = json.loads(Path(path).read_bytes())
        settings = raw["settings"]
        allowed = settings["Allowed"]
        admin = environ.get("ROUTER_ADMIN_ADDR") or raw.get("admin_addr")
        return Config(
            name=str(environ.get("ROUTER_NAME") or raw["name"]),
            listen=parse_address(environ.get("ROUTER_LISTEN") or raw["listen"]),
            discovery=parse_address(environ.get("ROUTER_DISCOVERY") or raw["discovery"]),
            admin=parse_address(admin) if admin else None,
            shared_folder=Path(environ["TMPDIR"]) if admin and environ.get("TMPDIR") else None,
            seed=int(raw["seed"], 16),
            sockets=int(raw["limits"]["sockets"]),
            memory_mb=int(raw["limits"]["memory_mb"]),
            known_list=dict(raw.get("known") or {}),
            settings=read_settings(json.dumps(settings).encode()),
            classes={entry["Name"].encode(): i for i, entry in enumerate(settings["Classes"])},
            tenants={entry["Name"].encode(): i for i, entry in enumerate(settings.get("Customers", ()))},
            kinds={name: i for i, name in enumerate(settings.get("Kinds", ()))},
            zones={name: i for i, name in enumerate(settings.get("Azs", ()))},
            dial_timeout_ms=float(allowed["DialTimeout"]),
            idle_timeout_ms=float(allowed["ConnIdle"]),
            log_level=read_log_level(environ.get("ROUTER_LOG_LEVEL") or raw.get("log_level") or "info"),
        )


def read_log_level(text: Any) -> int:
    """Return the level of the logging module for a name in LEVELS; raise ValueError for any other."""
    level = LEVELS.get(str(text).lower())
    if level is None:
        raise ValueError(f"log_level is {text!r}, not one of {', '.join(LEVELS)}")
    return level


def read_discovery(path: str) -> Address:
    """Read the address of discovery again.

    Only the file is read, as the environment variables can't have changed since the start.
    """
    with _one_line_errors(path):
        return parse_address(json.loads(Path(path).read_bytes())["discovery"])
