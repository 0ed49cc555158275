"""Simulates one run of a scenario with the routing policy of this checkout or another one."""

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
    """The scenario can't be played with this policy; the message says why, in one line."""


@dataclass(slots=True, frozen=True)
class PolicySource:
    """A routing policy to simulate: how to make one for a node, and which events it knows."""

    name: str
    make_policy: PolicyFactory
    events: frozenset[str]

    def knows_event(self, event: str) -> bool:
        return event in self.events


def make_current_policy(settings: Settings, seed: int) -> RoutingPolicy:
    return Policy(settings, seed)


def find_policy(name: str) -> PolicySource:
    """The policy of the routing package that this process has loaded, or one of the baselines."""
    if name == CURRENT_CHECKOUT or name.startswith("rev "):
        return PolicySource(name, make_current_policy, frozenset(vars(interface)))
    from flaxstep.simulator.baselines import BASELINES  # needs today's interface, which a revision may lack

    return PolicySource(name, BASELINES[name], frozenset({"Cordon", "Uncordon"}))


def play_scenario(scenario: Scenario, seed: int, policy_source: PolicySource) -> Run:
    """Simulate one run. The same scenario, seed and policy give the same result, byte for byte."""
    simulation = Simulation(scenario, seed, policy_source.make_policy, policy_source.knows_event)
    simulation.run(partial(start_happening, simulation))
    return simulation.build_result(policy_source.name)


def play_with_policy(policy: str, scenario: Scenario, path: Path, seed: int) -> Run:
    """Simulate one run with a policy given by name.

    The policy of a revision runs in a process of its own, as its interface differs.
    """
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
        raise NotPlayable(f"{policy}: its policy can't be played: {' '.join(last)}")
    return msgspec.json.decode(completed.stdout, type=Run)


def extract_revision(name: str) -> tuple[str, Path]:
    """Resolve a revision to its commit and a folder with its routing package, kept for later runs."""
    commit = run_git("rev-parse", "--verify", "--quiet", f"{name}^{{commit}}").decode().strip()
    if not commit:
        raise NotPlayable(f"{name}: neither 'here', nor a baseline, nor a revision of this repository")
    folder = ROOT / "runs" / "modules" / commit
    if not folder.exists():
        archive = run_git("archive", "--format=tar", commit, "flaxstep/routing")
        # Before it became flaxstep/routing the package was called cottonhall.
        archive = archive or run_git("archive", "--format=tar", commit, "cottonhall")
        if not archive:
            raise NotPlayable(f"{name}: has neither flaxstep/routing nor cottonhall")
        unpacked = folder.with_name(f"{commit}.{os.getpid()}")
        unpacked.mkdir(parents=True)
        with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
            tar.extractall(unpacked, filter="data")
        try:
            unpacked.rename(folder)
        except OSError:  # another process created it first
            if not folder.exists():
                raise
    return commit[:12], folder


def run_git(*arguments: str) -> bytes:
    try:
        return subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, check=False).stdout
    except FileNotFoundError:
        raise NotPlayable("git is missing, so only 'here' and the baselines can be played") from None


def encode_result(run: Run) -> bytes:
    """The content of the result file: JSON, keys in the order of the fields."""
    return msgspec.json.encode(run) + b"\n"
