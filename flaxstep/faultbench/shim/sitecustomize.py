"""Injects clock and disk faults into a node's Python process, which loads this module at its start.

`RIG_SHIM` names a JSON file that the rig replaces during a play. `offset_s` shifts the wall clock (the
monotonic clock is unchanged). `disk`, "full" or "failing", makes opening for writing, renaming and replacing
fail for files below `folder`.
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
_original_time, _original_time_ns = time.time, time.time_ns
_state: tuple[int, dict[str, Any]] = (-1, {})


def _read_state() -> dict[str, Any]:
    """Returns the content of the file; reads it again when it has been replaced."""
    global _state
    modified_ns = os.stat(_path).st_mtime_ns
    if modified_ns != _state[0]:
        with io.FileIO(_path) as file:
            _state = modified_ns, json.loads(file.readall())
    return _state[1]


def _fail_if_faulty(path: Any) -> None:
    state = _read_state()
    if not state.get("disk"):
        return
    name = os.path.abspath(os.fsdecode(path))
    if name.startswith(state["folder"] + os.sep):
        code = errno.ENOSPC if state["disk"] == "full" else errno.EIO
        raise OSError(code, os.strerror(code), name)


def _wrap_write(original: Any, is_write: Any) -> Any:
    def call(path: Any, *arguments: Any, **named: Any) -> Any:
        if not isinstance(path, int) and is_write(*arguments, **named):
            _fail_if_faulty(path)
        return original(path, *arguments, **named)

    return call


def _mode_writes(mode: str = "r", *_: Any, **__: Any) -> bool:
    return any(letter in mode for letter in "wax+")


def _flags_write(flags: int, *_: Any, **__: Any) -> bool:
    return bool(flags & (os.O_WRONLY | os.O_RDWR | os.O_CREAT))


if _path:
    time.time = lambda: _original_time() + _read_state().get("offset_s", 0.0)
    time.time_ns = lambda: _original_time_ns() + int(1e9 * _read_state().get("offset_s", 0.0))
    builtins.open = io.open = _wrap_write(io.open, _mode_writes)
    os.open = _wrap_write(os.open, _flags_write)
    os.replace, os.rename = (
        _wrap_write(original, lambda *_, **__: True) for original in (os.replace, os.rename)
    )
