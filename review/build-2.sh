#!/bin/sh
# Builds what the cases 6 to 10 start beside the node. Their stand-ins are Python files that use the standard
# library alone and run with the Python of the deploy file's build, so there is nothing to compile: it is only
# checked that they can be read.
set -e
cd "$(dirname "$0")"
test -x ../.venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in lib-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    test -e "$file" || continue
    ../.venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
