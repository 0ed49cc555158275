"""Child processes that end when their parent does."""

from __future__ import annotations

import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def kill_with_parent(parent: int) -> None:
    """In the child, before its program starts: SIGKILL when the parent is gone, also if it is already."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        os._exit(1)
