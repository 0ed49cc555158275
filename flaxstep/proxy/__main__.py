"""Starts a node: `python -m flaxstep.proxy`."""

from __future__ import annotations

import sys

from flaxstep.proxy.tls_placeholder import imports_without_openssl

if __name__ == "__main__":
    with imports_without_openssl():
        from flaxstep.proxy.main import main
    sys.exit(main())
