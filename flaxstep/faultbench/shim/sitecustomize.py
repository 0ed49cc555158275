"""Loaded by a node's Python at its start when the rig asks for it: a clock that is off, a folder that can't
be written.

`RIG_SHIM` names a JSON file that the rig replaces in mid-play: `offset_s` for the wall clock (the monotonic
one is the machine's), `disk` "full" or "failing" for what is opened for writing, renamed or synced below
`folder`.
"""

from __future__ import annotations

import builtins
import errno
import io
import json
import os
import time
from typing import Any

_path = os.environ.get("RIG_SHIM", "")
_real_time, _real_time_ns = time.time, time.time_ns
_state: tuple[int, dict[str, Any]] = (-1, {})


def _told() -> dict[str, Any]:
    """What the file says; it is read anew when it has been replaced."""
    global _state
    stamp = os.stat(_path).st_mtime_ns
    if stamp != _state[0]:
        with io.FileIO(_path) as file:
            _state = stamp, json.loads(file.readall())
    return _state[1]


def _refuse(path: Any) -> None:
    told = _told()
    if not told.get("disk"):
        return
    name = os.path.abspath(os.fsdecode(path))
    if name.startswith(told["folder"] + os.sep):
        code = errno.ENOSPC if told["disk"] == "full" else errno.EIO
        raise OSError(code, os.strerror(code), name)


def _guard(real: Any, writes: Any) -> Any:
    def call(path: Any, *arguments: Any, **named: Any) -> Any:
        if not isinstance(path, int) and writes(*arguments, **named):
            _refuse(path)
        return real(path, *arguments, **named)

    return call


def _mode_writes(mode: str = "r", *_: Any, **__: Any) -> bool:
    return any(letter in mode for letter in "wax+")


def _flags_write(flags: int, *_: Any, **__: Any) -> bool:
    return bool(flags & (os.O_WRONLY | os.O_RDWR | os.O_CREAT))


if _path:
    time.time = lambda: _real_time() + _told().get("offset_s", 0.0)
    time.time_ns = lambda: _real_time_ns() + int(1e9 * _told().get("offset_s", 0.0))
    builtins.open = io.open = _guard(io.open, _mode_writes)
    os.open = _guard(os.open, _flags_write)
    os.replace, os.rename = (_guard(real, lambda *_, **__: True) for real in (os.replace, os.rename))
