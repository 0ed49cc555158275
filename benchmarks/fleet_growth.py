"""What a change of the list and a request cost the decisions, for fleets of 200 to 3,200 endpoints.

From the root: .venv-dev/bin/python -B -m benchmarks.fleet_growth [OTHER_TREE]. Each tree is measured in a
process of its own, in turns, and each figure is the median of its turns: microseconds of processor time for
one change of the list (an endpoint drains, then is ready again) and for one request with its outcome, and the
memory that one policy takes, in KiB.
"""

from __future__ import annotations

import importlib
import json
import statistics
import subprocess
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Any

SIZES = (200, 800, 3200)
TURNS = 5
CHANGES = 60
REQUESTS = 10000


def measure(size: int) -> tuple[float, float, float]:
    """us a change, us a request, KiB."""
    package = "flaxstep.routing" if Path("flaxstep/routing").is_dir() else "cottonhall"  # of the tree's age
    interface = importlib.import_module(f"{package}.interface")
    Policy = importlib.import_module(package).Policy
    Effect = interface.Effect
    ListKind = interface.ListKind
    Outcome = interface.Outcome
    Request = interface.Request
    RequestClass = interface.RequestClass
    Result = interface.Result
    Send = interface.Send
    ServerEntry = interface.ServerEntry
    ServerList = interface.ServerList
    Settings = interface.Settings
    State = interface.State

    def entry(number: int, state: object) -> Any:
        return ServerEntry(number, number % 3, number % 2, 0, state, 1.0, 0.0)

    cls = RequestClass(aim=200.0, deadline=1000.0, worth=1.0, effect=Effect.SAFE)
    settings = Settings(classes=(cls,), warm_keys=True, max_attempts=2, may_cancel=True)
    tracemalloc.start()
    policy = Policy(settings, 1)
    policy.handle(
        0.0,
        ServerList(ListKind.FULL, 1, [entry(i, State.READY) for i in range(1, size + 1)]),
    )
    memory = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    now = 1.0
    begun = time.process_time()
    for i in range(CHANGES):
        now += 200.0
        state = State.DRAINING if i % 2 == 0 else State.READY
        policy.handle(now, ServerList(ListKind.DELTA, 2 + i, [entry(1 + i // 2, state)]))
    change = (time.process_time() - begun) / CHANGES
    begun = time.process_time()
    for i in range(REQUESTS):
        now += 10.0
        for action in policy.handle(now, Request(i, 0, now + 1000.0, key=1 + i % 50)):
            if isinstance(action, Send):
                now += 1.0
                policy.handle(now, Outcome(i, action.server, True, Result.OK, 0, 30.0))
    request = (time.process_time() - begun) / REQUESTS
    return change * 1e6, request * 1e6, memory


def in_tree(tree: Path) -> list[tuple[float, float, float]]:
    """The figures by size, from a process that imports that tree's decisions."""
    code = Path(__file__).read_text() + "\nprint(json.dumps([measure(size) for size in SIZES]))\n"
    done = subprocess.run(
        [sys.executable, "-B", "-c", code], cwd=tree, capture_output=True, text=True, check=True
    )
    found: list[tuple[float, float, float]] = json.loads(done.stdout)
    return found


def main() -> None:
    trees = [Path.cwd(), *(Path(word).resolve() for word in sys.argv[1:2])]
    figures: dict[Path, list[list[tuple[float, float, float]]]] = {tree: [] for tree in trees}
    for _ in range(TURNS):
        for tree in trees:
            figures[tree].append(in_tree(tree))
    print(f"{'tree':10} {'endpoints':>9} {'us a change':>12} {'us a request':>13} {'KiB':>8}")
    for number, tree in enumerate(trees):
        for at, size in enumerate(SIZES):
            change, request, memory = (statistics.median(t[at][i] for t in figures[tree]) for i in range(3))
            name = "this" if number == 0 else "other"
            print(f"{name:10} {size:9} {change:12.0f} {request:13.1f} {memory:8.0f}")


if __name__ == "__main__" and sys.argv[0] != "-c":
    main()
