"""Child processes that are killed when their parent ends."""

from __future__ import annotations

import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def kill_with_parent(parent: int) -> None:
    """Run in the child before exec: request SIGKILL when the parent ends, or exit if it has ended already."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        os._exit(1)
