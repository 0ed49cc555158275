#!/bin/sh
# Checks what the cases need: the environment of the deploy file's build, and stand-ins that compile. They are plain
# Python and use the standard library only, so nothing is fetched or installed.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the deploy file's build first" >&2; exit 2; }
.venv/bin/python -B - review/lib/*.py review/[0-9]*/*.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, "rb") as file:
        compile(file.read(), path, "exec")
print(len(sys.argv) - 1, "stand-ins and tests compile")
PY
