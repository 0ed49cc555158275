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
from flaxstep.simulator.scheduled_events import begin
from flaxstep.simulator.simulated_node import Module
from flaxstep.simulator.simulation import MakePolicy, Run, Simulation

ROOT = Path(__file__).resolve().parents[2]
HERE = "here"


class NotPlayable(Exception):
    """A module that can't be had: why, in one line."""


@dataclass(slots=True, frozen=True)
class Player:
    """A module to play with: how to make one for a node, and which events it knows."""

    name: str
    make: MakePolicy
    events: frozenset[str]

    def knows(self, event: str) -> bool:
        return event in self.events


def make_policy(settings: Settings, seed: int) -> Module:
    return Policy(settings, seed)


def player(name: str) -> Player:
    """The module of the routing package that this process has loaded, or one of the baselines."""
    if name == HERE or name.startswith("rev "):
        return Player(name, make_policy, frozenset(vars(interface)))
    from flaxstep.simulator.baselines import BASELINES  # needs today's interface, which a revision may lack

    return Player(name, BASELINES[name], frozenset({"Cordon", "Uncordon"}))


def play(scenario: Scenario, seed: int, module: Player) -> Run:
    """One day. The same scenario, seed and module give the same result, to the byte."""
    world = Simulation(scenario, seed, module.make, module.knows)
    world.play(partial(begin, world))
    return world.result(module.name)


def play_with(policy: str, scenario: Scenario, path: Path, seed: int) -> Run:
    """One day with a module by name. A revision's has a process of its own: its interface differs."""
    if scenario.rig.faults:
        raise NotPlayable(f"{path}: rig.faults: the lab has no links and processes; 'flaxstep rig play' has")
    from flaxstep.simulator.baselines import BASELINES

    if policy == HERE or policy in BASELINES:
        return play(scenario, seed, player(policy))
    commit, folder = revision(policy)
    module = "flaxstep.simulator.revision_runner"
    command = [sys.executable, "-B", "-m", module, str(folder), str(path.resolve()), str(seed), commit]
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    done = subprocess.run(command, env=environment, cwd=folder, capture_output=True, check=False)
    if done.returncode:
        last = done.stderr.decode(errors="replace").strip().splitlines()[-1:]
        raise NotPlayable(f"{policy}: its module can't be played: {' '.join(last)}")
    return msgspec.json.decode(done.stdout, type=Run)


def revision(name: str) -> tuple[str, Path]:
    """The commit that a name means, and a folder with its routing package; kept for the next time."""
    commit = git("rev-parse", "--verify", "--quiet", f"{name}^{{commit}}").decode().strip()
    if not commit:
        raise NotPlayable(f"{name}: neither 'here', nor a baseline, nor a revision of this repository")
    folder = ROOT / "runs" / "modules" / commit
    if not folder.exists():
        archive = git("archive", "--format=tar", commit, "flaxstep/routing")
        archive = archive or git("archive", "--format=tar", commit, "cottonhall")  # its earlier name
        if not archive:
            raise NotPlayable(f"{name}: has neither flaxstep/routing nor cottonhall")
        half = folder.with_name(f"{commit}.{os.getpid()}")
        half.mkdir(parents=True)
        with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
            tar.extractall(half, filter="data")
        try:
            half.rename(folder)
        except OSError:  # another process was first
            if not folder.exists():
                raise
    return commit[:12], folder


def git(*arguments: str) -> bytes:
    try:
        return subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, check=False).stdout
    except FileNotFoundError:
        raise NotPlayable("git is missing, so only 'here' and the baselines can be played") from None


def encode(run: Run) -> bytes:
    """The result file: JSON, keys in their order."""
    return msgspec.json.encode(run) + b"\n"
