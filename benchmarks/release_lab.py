"""Simulated staged releases: how often a good version is halted, how soon a bad one, the harm, and crashes of
cold servers.

From the root: .venv-lab/bin/python -B -m benchmarks.release_lab [COUNT [WORKERS [VERSION...]]]. Each seed
draws a farm (nodes, job servers, load), half of them with one trouble. The run of a bad version is repeated
with a good version up to the time at which the first release ended. The harm is the number of requests that
the second run served in time and the first did not.
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
from flaxstep.simulator.engine import RandomStreams
from flaxstep.simulator.fault_config import VersionBehaviour
from flaxstep.simulator.runner import CURRENT_CHECKOUT, find_policy
from flaxstep.simulator.scenario import Scenario, read_scenario
from flaxstep.simulator.scheduled_events import start_happening
from flaxstep.simulator.simulation import Simulation
from flaxstep.simulator.staged_rollout import SimulatedRollout

SCENARIO = Path(__file__).resolve().parents[1] / "scenarios" / "release.toml"
VERSIONS = {
    "good": VersionBehaviour(),
    "a third slower": VersionBehaviour(slow=4 / 3),
    "2% errors": VersionBehaviour(errors=0.02),
    "falls over under load": VersionBehaviour(slow=3, slow_over=1),
}
TROUBLED = 0.5  # share of the runs with a trouble


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


def draw_scenario(seed: int, servers: int = 0) -> Scenario:
    """The scenario with a farm drawn from the seed, and with one trouble or none."""
    scenario, chance = read_scenario(SCENARIO), np.random.default_rng([seed, 7])
    fleet = msgspec.structs.replace(
        scenario.fleet, nodes=int(chance.integers(2, 6)), servers=servers or int(chance.integers(6, 16))
    )
    troubles = scenario.troubles
    picked = [troubles[int(chance.integers(len(troubles)))]] if chance.random() < TROUBLED else []
    return msgspec.structs.replace(scenario, fleet=fleet, troubles=picked)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one release. Times in s. `in_time` of `asked` first tries were served in time."""

    state: State
    why: str
    ended_at: float
    released: int
    members_at_halt: int  # members on the new version when it was found bad
    max_members_out: int
    crashes: int
    breaches: int
    first_tries: int
    in_time: int


def play(seed: int, version: str, until: float = float("inf"), servers: int = 0) -> Outcome:
    """Simulate a release on a seed's farm. No first tries are sent after `until` or the release's end."""
    policy_source = find_policy(CURRENT_CHECKOUT)
    simulation = Simulation(
        draw_scenario(seed, servers), seed, policy_source.make_policy, policy_source.knows_event
    )
    chance = RandomStreams(seed).uniform("release")
    release = SimulatedRollout(simulation, plan_for(max(1, servers // 10)), VERSIONS[version], chance)
    if until == float("inf"):
        release.on_release_over = simulation.clients.stop_first_tries
    else:
        simulation.engine.call_at(1000 * until, simulation.clients.stop_first_tries)
    simulation.run(partial(start_happening, simulation))
    run = simulation.build_result(policy_source.name)
    return Outcome(
        release.release.state,
        release.release.why,
        release.ended_at,
        sum(version == "v2" for version in release.running_versions.values()),
        release.members_at_halt,
        release.max_members_out,
        len(run.fallen),
        len(run.breaches),
        run.first_tries,
        sum(run.outcomes.in_time),
    )


def play_with_harm(seed: int, version: str) -> tuple[Outcome, float]:
    """Simulate a release; also returns the share of its requests that its version harmed."""
    outcome = play(seed, version)
    if version == "good":
        return outcome, 0.0
    good_run = play(seed, "good", outcome.ended_at)
    return outcome, max(0, good_run.in_time - outcome.in_time) / max(1, good_run.first_tries)


def summary(version: str, results: list[tuple[Outcome, float]], seconds: float) -> str:
    outcomes = [outcome for outcome, _ in results]
    done = sum(o.state is State.DONE for o in outcomes)
    went_back = [o for o in outcomes if o.state is State.ROLLED_BACK]
    gave_up = sum(o.state is State.ABANDONED for o in outcomes)
    text = f"{version}: of {len(outcomes)} {done} done, {len(went_back)} went back, {gave_up} gave up"
    crashes, breaches = sum(o.crashes for o in outcomes), sum(o.breaches for o in outcomes)
    text += f"; cold servers fallen {crashes}, rules broken {breaches}"
    if version == "good":
        text += f"; took {np.median([o.ended_at for o in outcomes]):.0f} s"
        text += "".join(f"\n  halted: {o.why}" for o in went_back)
    else:
        harm = np.array([harmed for _, harmed in results])
        canary_alone, ended_at = (
            sum(o.members_at_halt == 1 for o in went_back),
            np.median([o.ended_at for o in outcomes]),
        )
        p95_harm = np.percentile(harm, 95)
        text += f"; halted with the canary alone {canary_alone}; ended after {ended_at:.0f} s"
        text += f"; harmed of what was asked till then {np.median(harm):.3%} (95 of 100 under {p95_harm:.3%})"
    open_ = [number for number, o in enumerate(outcomes) if o.state not in END_STATES]
    text += f"; not over when the day ended, seeds {open_}" if open_ else ""
    return f"{text}; {seconds:.0f} s"


def main() -> None:
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    workers = int(sys.argv[2]) if len(sys.argv) > 2 else 8
    with Pool(workers) as pool:
        for version in sys.argv[3:] or VERSIONS:
            started_at = time.monotonic()
            results = pool.map(partial(play_with_harm, version=version), range(count), chunksize=1)
            print(summary(version, results, time.monotonic() - started_at), flush=True)


if __name__ == "__main__":
    main()
