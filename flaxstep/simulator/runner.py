"""Plays one day of a scenario with one module, of this checkout or of another revision."""

from __future__ import annotations

import io
import os
import subprocess
import sys
import tarfile
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec

from flaxstep.routing import interface
from flaxstep.routing.interface import Settings
from flaxstep.routing.policy import Policy
from flaxstep.simulator.scenario import Scenario
from flaxstep.simulator.scheduled_events import start_happening
from flaxstep.simulator.simulated_node import RoutingPolicy
from flaxstep.simulator.simulation import PolicyFactory, Run, Simulation

ROOT = Path(__file__).resolve().parents[2]
CURRENT_CHECKOUT = "here"


class NotPlayable(Exception):
    """A module that can't be had: why, in one line."""


@dataclass(slots=True, frozen=True)
class PolicySource:
    """A module to play with: how to make one for a node, and which events it knows."""

    name: str
    make_policy: PolicyFactory
    events: frozenset[str]

    def knows_event(self, event: str) -> bool:
        return event in self.events


def make_current_policy(settings: Settings, seed: int) -> RoutingPolicy:
    return Policy(settings, seed)


def find_policy(name: str) -> PolicySource:
    """The module of the routing package that this process has loaded, or one of the baselines."""
    if name == CURRENT_CHECKOUT or name.startswith("rev "):
        return PolicySource(name, make_current_policy, frozenset(vars(interface)))
    from flaxstep.simulator.baselines import BASELINES  # needs today's interface, which a revision may lack

    return PolicySource(name, BASELINES[name], frozenset({"Cordon", "Uncordon"}))


def play_scenario(scenario: Scenario, seed: int, module: PolicySource) -> Run:
    """One day. The same scenario, seed and module give the same result, to the byte."""
    simulation = Simulation(scenario, seed, module.make_policy, module.knows_event)
    simulation.run(partial(start_happening, simulation))
    return simulation.build_result(module.name)


def play_with_policy(policy: str, scenario: Scenario, path: Path, seed: int) -> Run:
    """One day with a module by name. A revision's has a process of its own: its interface differs."""
    if scenario.rig.faults:
        raise NotPlayable(f"{path}: rig.faults: the lab has no links and processes; 'flaxstep rig play' has")
    from flaxstep.simulator.baselines import BASELINES

    if policy == CURRENT_CHECKOUT or policy in BASELINES:
        return play_scenario(scenario, seed, find_policy(policy))
    commit, folder = extract_revision(policy)
    module = "flaxstep.simulator.revision_runner"
    command = [sys.executable, "-B", "-m", module, str(folder), str(path.resolve()), str(seed), commit]
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    completed = subprocess.run(command, env=environment, cwd=folder, capture_output=True, check=False)
    if completed.returncode:
        last = completed.stderr.decode(errors="replace").strip().splitlines()[-1:]
        raise NotPlayable(f"{policy}: its module can't be played: {' '.join(last)}")
    return msgspec.json.decode(completed.stdout, type=Run)


def extract_revision(name: str) -> tuple[str, Path]:
    """The commit that a name means, and a folder with its routing package; kept for the next time."""
    commit = run_git("rev-parse", "--verify", "--quiet", f"{name}^{{commit}}").decode().strip()
    if not commit:
        raise NotPlayable(f"{name}: neither 'here', nor a baseline, nor a revision of this repository")
    folder = ROOT / "runs" / "modules" / commit
    if not folder.exists():
        archive = run_git("archive", "--format=tar", commit, "flaxstep/routing")
        archive = archive or run_git("archive", "--format=tar", commit, "cottonhall")  # its earlier name
        if not archive:
            raise NotPlayable(f"{name}: has neither flaxstep/routing nor cottonhall")
        unpacked = folder.with_name(f"{commit}.{os.getpid()}")
        unpacked.mkdir(parents=True)
        with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
            tar.extractall(unpacked, filter="data")
        try:
            unpacked.rename(folder)
        except OSError:  # another process was first
            if not folder.exists():
                raise
    return commit[:12], folder


def run_git(*arguments: str) -> bytes:
    try:
        return subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, check=False).stdout
    except FileNotFoundError:
        raise NotPlayable("git is missing, so only 'here' and the baselines can be played") from None


def encode_result(run: Run) -> bytes:
    """The result file: JSON, keys in their order."""
    return msgspec.json.encode(run) + b"\n"
