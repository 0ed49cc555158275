"""What a release's commands call on the rig, in the place of the platform's own tools:

    python -m flaxstep.faultbench.commands HOST:PORT restart s-0003 v2  a job server's process, with a version
    python -m flaxstep.faultbench.commands HOST:PORT version s-0003     the version that runs there
    python -m flaxstep.faultbench.commands HOST:PORT check s-0003       whether it answers rightly
    python -m flaxstep.faultbench.commands HOST:PORT start n0 v2 DOOR   a node's second process, and so on

Exit code 0 and what was asked on standard output, or 1 and why not on standard error.
"""

from __future__ import annotations

import json
import socket
import sys


def main(words: list[str]) -> int:
    place, do, *arguments = words
    host, _, port = place.rpartition(":")
    with socket.create_connection((host, int(port))) as way, way.makefile("rwb") as lines:
        lines.write(json.dumps([do, *arguments]).encode() + b"\n")
        lines.flush()
        answer = json.loads(lines.readline() or b'{"ok": false, "text": "the rig has ended"}')
    print(answer["text"], file=sys.stdout if answer["ok"] else sys.stderr)
    return 0 if answer["ok"] else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
