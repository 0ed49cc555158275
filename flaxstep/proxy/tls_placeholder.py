"""Imports without OpenSSL: a node speaks no TLS, and the libraries alone take 5 MB of its memory.

asyncio and hashlib cope without their OpenSSL modules, uvloop names parts of `ssl` when it is imported.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType

OPENSSL_MODULES = ("_hashlib", "_ssl")


class TLSUnavailable(OSError):
    """Stands for each class and function of `ssl`."""


class PlaceholderModule(ModuleType):
    """Stands for the module `ssl` while others are imported that name its parts, but call none."""

    def __getattr__(self, name: str) -> object:
        if name.startswith("__"):
            raise AttributeError(name)
        return 0 if name.startswith("SSL_ERROR_") else TLSUnavailable


@contextmanager
def imports_without_openssl() -> Iterator[None]:
    """Keep the modules imported within from loading OpenSSL. What is imported later may load it."""
    placeholders: dict[str, ModuleType | None] = dict.fromkeys(OPENSSL_MODULES)
    placeholders["ssl"] = PlaceholderModule("ssl")
    absent = {name: module for name, module in placeholders.items() if name not in sys.modules}
    sys.modules.update(absent)  # type: ignore[arg-type]  # importing a module that is None fails
    try:
        yield
    finally:
        for name in absent:
            del sys.modules[name]
