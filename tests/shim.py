"""Builds the C library that makes system calls of a node process fail (`flaxstep/faultbench/shim`)."""

from __future__ import annotations

import subprocess
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "flaxstep" / "faultbench" / "shim" / "syscalls.c"


def build_shim(folder: Path) -> Path:
    """Compile the library into `folder` and return its path."""
    built = folder / "syscalls.so"
    subprocess.run(
        ["cc", "-shared", "-fPIC", "-O2", "-Wall", "-Werror", "-o", built, SOURCE, "-ldl"], check=True
    )
    return built
