"""Measures the CPU time and memory of the routing policy for fleets of 200 to 3,200 endpoints.

From the root: .venv-dev/bin/python -B -m benchmarks.fleet_growth [OTHER_TREE]. Each tree is measured in a
process of its own, several times in alternation with the other tree. The figures are medians: microseconds
of CPU time per change of the list (an endpoint drains, then is ready again) and per request with its outcome,
and the memory of one policy in KiB.
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

FLEET_SIZES = (200, 800, 3200)
ROUNDS = 5
LIST_CHANGES = 60
REQUESTS = 10000


def measure_policy(size: int) -> tuple[float, float, float]:
    """Returns microseconds per list change, microseconds per request, and KiB of memory."""
    # Older trees have the package under the name cottonhall.
    package = "flaxstep.routing" if Path("flaxstep/routing").is_dir() else "cottonhall"
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

    def make_entry(server: int, state: object) -> Any:
        return ServerEntry(server, server % 3, server % 2, 0, state, 1.0, 0.0)

    cls = RequestClass(aim=200.0, deadline=1000.0, worth=1.0, effect=Effect.SAFE)
    settings = Settings(classes=(cls,), warm_keys=True, max_attempts=2, may_cancel=True)
    tracemalloc.start()
    policy = Policy(settings, 1)
    policy.handle(
        0.0,
        ServerList(ListKind.FULL, 1, [make_entry(i, State.READY) for i in range(1, size + 1)]),
    )
    memory_kib = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    now_ms = 1.0
    started_s = time.process_time()
    for i in range(LIST_CHANGES):
        now_ms += 200.0
        state = State.DRAINING if i % 2 == 0 else State.READY
        policy.handle(now_ms, ServerList(ListKind.DELTA, 2 + i, [make_entry(1 + i // 2, state)]))
    change_s = (time.process_time() - started_s) / LIST_CHANGES
    started_s = time.process_time()
    for i in range(REQUESTS):
        now_ms += 10.0
        for action in policy.handle(now_ms, Request(i, 0, now_ms + 1000.0, key=1 + i % 50)):
            if isinstance(action, Send):
                now_ms += 1.0
                policy.handle(now_ms, Outcome(i, action.server, True, Result.OK, 0, 30.0))
    request_s = (time.process_time() - started_s) / REQUESTS
    return change_s * 1e6, request_s * 1e6, memory_kib


def measure_tree(tree: Path) -> list[tuple[float, float, float]]:
    """Measures each fleet size in a process that imports the routing package of that tree."""
    code = (
        Path(__file__).read_text() + "\nprint(json.dumps([measure_policy(size) for size in FLEET_SIZES]))\n"
    )
    process = subprocess.run(
        [sys.executable, "-B", "-c", code], cwd=tree, capture_output=True, text=True, check=True
    )
    measurements: list[tuple[float, float, float]] = json.loads(process.stdout)
    return measurements


def main() -> None:
    trees = [Path.cwd(), *(Path(word).resolve() for word in sys.argv[1:2])]
    measurements_by_tree: dict[Path, list[list[tuple[float, float, float]]]] = {tree: [] for tree in trees}
    for _ in range(ROUNDS):
        for tree in trees:
            measurements_by_tree[tree].append(measure_tree(tree))
    print(f"{'tree':10} {'endpoints':>9} {'us a change':>12} {'us a request':>13} {'KiB':>8}")
    for tree_index, tree in enumerate(trees):
        for size_index, size in enumerate(FLEET_SIZES):
            change_us, request_us, memory_kib = (
                statistics.median(t[size_index][i] for t in measurements_by_tree[tree]) for i in range(3)
            )
            name = "this" if tree_index == 0 else "other"
            print(f"{name:10} {size:9} {change_us:12.0f} {request_us:13.1f} {memory_kib:8.0f}")


if __name__ == "__main__" and sys.argv[0] != "-c":
    main()
