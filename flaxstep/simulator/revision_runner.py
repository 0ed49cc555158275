"""Simulates a run with the routing package of another revision, in a process that runner.py starts."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

import flaxstep

OLD_MODULE_NAMES = {  # modules of flaxstep.routing, and their names in the former package cottonhall
    "interface": "interface",
    "membership": "membership",
    "hash_ring": "ring",
    "policy": "rules",
    "simulator_wire": "wire",
}


def use_routing_package_in(folder: Path) -> None:
    """Make `flaxstep.routing` the package in this folder. Nothing may have imported it before."""
    assert "flaxstep.routing" not in sys.modules
    if (folder / "flaxstep" / "routing").is_dir():
        flaxstep.__path__.insert(0, str(folder / "flaxstep"))
        return
    sys.path.insert(0, str(folder))  # a revision from before the package had its present name
    sys.modules["flaxstep.routing"] = importlib.import_module("cottonhall")
    for name, old_name in OLD_MODULE_NAMES.items():
        if (folder / "cottonhall" / f"{old_name}.py").exists():
            module = importlib.import_module(f"cottonhall.{old_name}")
            sys.modules[f"flaxstep.routing.{name}"] = module


def main(folder: str, scenario_file: str, seed: str, revision_name: str) -> None:
    use_routing_package_in(Path(folder))
    from flaxstep.simulator.runner import (  # imports flaxstep.routing
        encode_result,
        find_policy,
        play_scenario,
    )
    from flaxstep.simulator.scenario import read_scenario

    result = play_scenario(read_scenario(Path(scenario_file)), int(seed), find_policy(f"rev {revision_name}"))
    sys.stdout.buffer.write(encode_result(result))


if __name__ == "__main__":
    main(*sys.argv[1:])
