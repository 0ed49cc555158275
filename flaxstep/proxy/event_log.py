"""Log lines about single requests, attempts and connections: `event=NAME key=value ...`.

They are written at the level DEBUG, which `log_level` in the configuration or ROUTER_LOG_LEVEL selects. At
other levels a call only checks the level.
"""

from __future__ import annotations

import logging

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}

log = logging.getLogger("flaxstep.proxy.events")


def log_event(name: str, **fields: object) -> None:
    """Log an event with its fields at the level DEBUG."""
    if log.isEnabledFor(logging.DEBUG):
        pairs = [f"{key}={format_value(value)}" for key, value in fields.items()]
        log.debug("%s", " ".join([f"event={name}", *pairs]))


def format_value(value: object) -> str:
    """Format a value as one word: floats with three decimals, text quoted and escaped where needed."""
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    text = str(value)
    if not text.isprintable() or not text or any(c in ' "=' for c in text):
        return '"' + text.encode("unicode_escape").decode().replace('"', '\\"') + '"'
    return text
