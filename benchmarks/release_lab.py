"""Releases in the lab's farm, in virtual time with the real decisions: how often a good version is halted,
how soon a bad one, what it harms, and whether a cold server was pushed over.

From the root: .venv-lab/bin/python -B -m benchmarks.release_lab [COUNT [WORKERS [VERSION...]]]. Each seed is
a drawn farm (nodes, job servers, load) with one trouble in half of them. A bad version's day is played once
more with a good one up to the same moment; the requests that were served in time then and not now are its
harm.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from functools import partial
from multiprocessing import Pool
from pathlib import Path

import msgspec
import numpy as np

from flaxstep.rollout.plan import CapacityLimits, Commands, Plan, Watch, Waves
from flaxstep.rollout.release import END_STATES, State
from flaxstep.simulator.engine import Streams
from flaxstep.simulator.fault_config import Figures
from flaxstep.simulator.runner import HERE, player
from flaxstep.simulator.scenario import Scenario, read_scenario
from flaxstep.simulator.scheduled_events import begin
from flaxstep.simulator.simulation import Simulation
from flaxstep.simulator.staged_rollout import SimulatedRollout

SCENARIO = Path(__file__).resolve().parents[1] / "scenarios" / "release.toml"
VERSIONS = {
    "good": Figures(),
    "a third slower": Figures(slow=4 / 3),
    "2% errors": Figures(errors=0.02),
    "falls over under load": Figures(slow=3, slow_over=1),
}
TROUBLED = 0.5  # of the days


def plan_for(out_at_once: int) -> Plan:
    return Plan(
        name="v2",
        what="servers",
        from_="v1",
        to="v2",
        commands=Commands(restart=("restart", "{id}", "{version}")),
        waves=Waves(shares=(0.3, 1.0)),
        room=CapacityLimits(out_at_once=out_at_once, capacity=0.6),
        watch=Watch(warm_s=24.0),
    )


def drawn(seed: int, servers: int = 0) -> Scenario:
    """The scenario with a farm of this seed's, and one trouble or none."""
    scenario, chance = read_scenario(SCENARIO), np.random.default_rng([seed, 7])
    fleet = msgspec.structs.replace(
        scenario.fleet, nodes=int(chance.integers(2, 6)), servers=servers or int(chance.integers(6, 16))
    )
    troubles = scenario.troubles
    picked = [troubles[int(chance.integers(len(troubles)))]] if chance.random() < TROUBLED else []
    return msgspec.structs.replace(scenario, fleet=fleet, troubles=picked)


@dataclass(frozen=True, slots=True)
class Outcome:
    """One release. Times in s; `in_time` of `asked` first tries."""

    state: State
    why: str
    ended: float
    released: int
    halted_with: int  # members that had the version when it was found bad
    most_out: int
    fallen: int
    broken: int
    asked: int
    in_time: int


def play(seed: int, version: str, until: float = float("inf"), servers: int = 0) -> Outcome:
    """A release on a seed's farm; `until`: what is asked for later does not count."""
    module = player(HERE)
    world = Simulation(drawn(seed, servers), seed, module.make, module.knows)
    chance = Streams(seed).chance("release")
    release = SimulatedRollout(world, plan_for(max(1, servers // 10)), VERSIONS[version], chance)
    if until == float("inf"):
        release.at_over = world.clients.stop
    else:
        world.engine.at(1000 * until, world.clients.stop)
    world.play(partial(begin, world))
    run = world.result(module.name)
    return Outcome(
        release.release.state,
        release.release.why,
        release.ended_at,
        sum(version == "v2" for version in release.runs.values()),
        release.halted_with,
        release.most_out,
        len(run.fallen),
        len(run.breaches),
        run.first_tries,
        sum(run.outcomes.in_time),
    )


def one(seed: int, version: str) -> tuple[Outcome, float]:
    """A release, and the part of the whole release's requests that its version spoilt."""
    outcome = play(seed, version)
    if version == "good":
        return outcome, 0.0
    beside = play(seed, "good", outcome.ended)
    return outcome, max(0, beside.in_time - outcome.in_time) / max(1, beside.asked)


def summary(version: str, found: list[tuple[Outcome, float]], seconds: float) -> str:
    outcomes = [outcome for outcome, _ in found]
    done = sum(o.state is State.DONE for o in outcomes)
    back = [o for o in outcomes if o.state is State.ROLLED_BACK]
    gave_up = sum(o.state is State.ABANDONED for o in outcomes)
    line = f"{version}: of {len(outcomes)} {done} done, {len(back)} went back, {gave_up} gave up"
    fallen, broken = sum(o.fallen for o in outcomes), sum(o.broken for o in outcomes)
    line += f"; cold servers fallen {fallen}, rules broken {broken}"
    if version == "good":
        line += f"; took {np.median([o.ended for o in outcomes]):.0f} s"
        line += "".join(f"\n  halted: {o.why}" for o in back)
    else:
        harm = np.array([harmed for _, harmed in found])
        alone, ended = sum(o.halted_with == 1 for o in back), np.median([o.ended for o in outcomes])
        most = np.percentile(harm, 95)
        line += f"; halted with the canary alone {alone}; ended after {ended:.0f} s"
        line += f"; harmed of what was asked till then {np.median(harm):.3%} (95 of 100 under {most:.3%})"
    open_ = [number for number, o in enumerate(outcomes) if o.state not in END_STATES]
    line += f"; not over when the day ended, seeds {open_}" if open_ else ""
    return f"{line}; {seconds:.0f} s"


def main() -> None:
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    workers = int(sys.argv[2]) if len(sys.argv) > 2 else 8
    with Pool(workers) as pool:
        for version in sys.argv[3:] or VERSIONS:
            begun = time.monotonic()
            found = pool.map(partial(one, version=version), range(count), chunksize=1)
            print(summary(version, found, time.monotonic() - begun), flush=True)


if __name__ == "__main__":
    main()
