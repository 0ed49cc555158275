"""Client of the rig that the commands of a release plan run in place of the platform's own tools:

    python -m flaxstep.faultbench.commands HOST:PORT restart s-0003 v2  restarts a job server with a version
    python -m flaxstep.faultbench.commands HOST:PORT version s-0003     prints the version that it runs
    python -m flaxstep.faultbench.commands HOST:PORT check s-0003       checks its self-test
    python -m flaxstep.faultbench.commands HOST:PORT start n0 v2 DOOR   starts a node's second process

Exits with 0 and the result on standard output, or with 1 and the error on standard error.
"""

from __future__ import annotations

import json
import socket
import sys


def main(argv: list[str]) -> int:
    address, command, *arguments = argv
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as connection, connection.makefile("rwb") as lines:
        lines.write(json.dumps([command, *arguments]).encode() + b"\n")
        lines.flush()
        response = json.loads(lines.readline() or b'{"ok": false, "text": "the rig has ended"}')
    print(response["text"], file=sys.stdout if response["ok"] else sys.stderr)
    return 0 if response["ok"] else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
