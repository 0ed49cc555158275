"""The simulator: queueing theory, conserved work, repeatable runs, detection of broken rules."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from flaxstep.cli import main
from flaxstep.routing.interface import Outcome, Request, Result, Send, ServerList, Settings
from flaxstep.simulator.engine import Engine, RandomStreams
from flaxstep.simulator.job_servers import Attempt, Server, ServerPlan, ThrottlingPlan, WorkTotals
from flaxstep.simulator.runner import (
    PolicySource,
    Run,
    encode_result,
    find_policy,
    play_scenario,
    play_with_policy,
)
from flaxstep.simulator.scenario import (
    Act,
    Fleet,
    Load,
    Scenario,
    ScenarioError,
    Trouble,
    parse_scenario,
    read_scenario,
)

ROOT = Path(__file__).parent.parent
FILE = ROOT / "scenarios" / "hand-drain.toml"
SMALL = msgspec.structs.replace(read_scenario(FILE), length_s=6.0, acts=[], troubles=[])


class SingleServer:
    """A server without nodes, and the results of the attempts sent to it."""

    zone = 0

    def __init__(
        self, cores: int = 1, throttle_at: float = 0.0, cold: bool = False, slots: int = 999
    ) -> None:
        self.engine, self.work_totals = Engine(), WorkTotals()
        self.outcomes: list[tuple[float, Attempt, Result]] = []
        plan = ServerPlan(0, 0, 0, 0, cores, 1.0, slots, 10**6, 0.0, 10.0, 0.12, 10_000.0, 0.0, 900, 0.0)
        throttling = ThrottlingPlan(throttle_at > 0, throttle_at or 5.0, 1500.0, 3.0, 2000.0, 0.3, 30_000.0)
        uniform = RandomStreams(1).uniform("server")
        self.server = Server(
            self.engine,
            plan,
            throttling,
            (2.5, 2000.0, 24_000.0),
            self.work_totals,
            uniform,
            self.on_finished,
        )
        if cold:
            self.server.start_process()

    def on_finished(self, attempt: Attempt, result: Result) -> None:
        self.outcomes.append((self.engine.now, attempt, result))

    def on_attempt_outcome(self, attempt: Attempt, result: Result) -> None:
        """Part of AttemptOwner; not used here."""

    def submit(self, at: float, work: float) -> None:
        attempt = Attempt(self, 0, 0, 0, 0, work, at, 0, 0)
        self.engine.call_at(at, self.server.on_arrival, attempt)

    def update_server(self) -> None:
        self.server.update_state()
        self.engine.call_after(100.0, self.update_server)


def test_an_idle_server_answers_in_its_service_time() -> None:
    single = SingleServer(cores=2)
    single.submit(10.0, 25.0)
    single.engine.run(100.0)
    assert [at for at, _, _ in single.outcomes] == pytest.approx([35.0])


@pytest.mark.parametrize(("cores", "utilisation"), [(1, 0.5), (1, 0.7), (2, 0.7)])
def test_mean_response_times_match_queueing_theory(cores: int, utilisation: float) -> None:
    """Exponential work, first come first served (slots = cores): M/M/1 and M/M/2 by Erlang's formula."""
    single, draw = SingleServer(cores=cores, slots=cores), RandomStreams(7).generator("theory")
    count, mean = 60_000, 10.0
    at = draw.exponential(mean / cores / utilisation, count).cumsum()
    work = draw.exponential(mean, count)
    for at_ms, work_ms in zip(at.tolist(), work.tolist(), strict=True):
        single.submit(at_ms, work_ms)
    single.engine.run(float(at[-1]) + 10_000.0)
    took = sum(at_ms - attempt.sent_at for at_ms, attempt, _ in single.outcomes) / count
    expected = mean / (1 - utilisation) if cores == 1 else mean / (1 - utilisation * utilisation)
    assert took == pytest.approx(expected, rel=0.06)
    assert single.work_totals.done_ms == pytest.approx(sum(work.tolist()))  # work is conserved


def test_an_overloaded_cold_server_crashes_and_a_lightly_loaded_one_warms_up() -> None:
    overloaded, spared = SingleServer(cold=True), SingleServer(cold=True)
    for i in range(100):
        overloaded.submit(20.0 + 20.0 * i, 20.0)  # eight times its capacity
        spared.submit(20.0 + 250.0 * i, 20.0)
    for single in (overloaded, spared):
        single.engine.run(25_000.0)
    assert overloaded.work_totals.crashes and not overloaded.server.up
    assert not spared.work_totals.crashes and spared.server.warm_share() == 1.0


def test_an_overfilled_server_is_throttled_until_it_has_rested() -> None:
    single = SingleServer(throttle_at=5.0)
    single.update_server()
    for i in range(12):
        single.submit(float(i), 400.0)
    single.engine.run(4000.0)
    assert single.server.is_throttled
    single.engine.run(14_000.0)  # three times slower, so 4,800 ms of work take until 12 s
    assert not single.server.requests_held and single.server.throttled_at == float("inf")


def test_an_attempt_abandoned_in_the_queue_is_not_processed() -> None:
    single = SingleServer(slots=1)
    single.submit(0.0, 50.0)
    waiting = Attempt(single, 1, 0, 0, 0, 50.0, 1.0, 0, 0)
    single.engine.call_at(1.0, single.server.on_arrival, waiting)
    single.engine.call_at(2.0, single.server.abandon_attempt, waiting, True)
    single.engine.run(500.0)
    assert single.work_totals.done_ms == pytest.approx(50.0) and single.server.requests_held == 0


def test_a_seed_gives_the_same_result_byte_for_byte_under_any_hash_seed() -> None:
    code = (
        "import sys; from tests.test_lab import SMALL;"
        "from flaxstep.simulator.runner import encode_result, play_scenario, find_policy;"
        "sys.stdout.buffer.write(encode_result(play_scenario(SMALL, 5, find_policy('here'))))"
    )
    runs = [
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            env=os.environ | {"PYTHONHASHSEED": seed},
            capture_output=True,
        ).stdout
        for seed in ("1", "2")
    ]
    assert runs[0] == runs[1] == encode_result(play_scenario(SMALL, 5, find_policy("here")))


def test_two_policies_get_the_same_first_tries() -> None:
    plain, seeing = (play_scenario(SMALL, 3, find_policy(name)) for name in ("random", "seeing"))
    assert plain.asked == seeing.asked and plain.first_tries == seeing.first_tries
    assert seeing.verdict.g > plain.verdict.g


def test_hand_drain_serves_less_with_the_policy_than_with_the_omniscient_baseline() -> None:
    scenario = read_scenario(FILE)
    ours, seeing = (play_scenario(scenario, 2, find_policy(name)) for name in ("here", "seeing"))
    assert ours.verdict.breaches == seeing.verdict.breaches == 0
    assert [name for name, _, _ in ours.happenings].count("cordon") == 2
    assert seeing.verdict.served > ours.verdict.served


class RuleBreakingPolicy:
    """Breaks the rules: sends to any server, repeats what failed, refuses nothing."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.servers: list[int] = []
        self.turn = 0

    def handle(self, now: float, event: object) -> list[object]:
        if isinstance(event, ServerList) and event.servers:
            self.servers = self.servers or [entry.id for entry in event.servers]
        number = event.id if isinstance(event, Request) else 0
        if isinstance(event, Outcome) and not event.over and event.attempt < 4:
            number = event.id
        self.turn += 1
        return [Send(number, self.servers[self.turn % len(self.servers)], 0.0)] if number else []


def test_the_rule_checks_detect_deliberate_breaches() -> None:
    """Failed requests are sent again, also to cordoned and to cold servers, and time-outs get no response."""
    errors = Trouble("fast_errors", at_s=0.5, len_s=1.0, part=1.0, size=0.5)
    out = Act("cordon", at_s=1.0, for_s=4.0, count=9, down_s=0.1)
    scenario = msgspec.structs.replace(SMALL, acts=[out], troubles=[errors], load=Load(of_capacity=3.0))
    run = play_scenario(scenario, 1, PolicySource("wild", RuleBreakingPolicy, frozenset({"Cordon"})))
    assert {"duplicate", "cordon", "cold server", "lost request"} <= {b.rule for b in run.breaches}
    assert all(b.at > 0 for b in run.breaches)


def test_every_trouble_and_act_runs_without_a_breach() -> None:
    names = [
        "slow",
        "fast_errors",
        "pauses",
        "neighbour",
        "burst",
        "lost",
        "resets",
        "cut",
        "replace",
        "kill",
    ]
    troubles = [Trouble(n, at_s=1.0 + 0.1 * i, len_s=2.0, part=0.2, size=0.5) for i, n in enumerate(names)]
    troubles[2] = Trouble("pauses", at_s=1.0, len_s=3.0, part=0.3, size=80.0, extra=0.8)
    acts = [
        Act("cordon", at_s=1.0, for_s=2.0),
        Act("quiesce", at_s=1.5, for_s=1.0),
        Act("upgrade", at_s=2.0, count=2),
        Act("restart", at_s=3.0, for_s=1.0, count=2),
    ]
    scenario = msgspec.structs.replace(SMALL, acts=acts, troubles=troubles, fleet=Fleet(nodes=4, servers=12))
    run = play_scenario(scenario, 4, find_policy("here"))
    assert len(run.happenings) == len(troubles) + len(acts)
    assert run.verdict.breaches == 0 and run.verdict.served > 0.5


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("nodes = 2", "nodse = 2", "unknown field 'nodse' - at 'fleet'"),
        ("nodes = 2", 'nodes = "2"', "Expected 'int', got 'str' - at 'fleet.nodes'"),
        ("nodes = 2", "nodes = 0", "Expected 'int' >= 1 - at 'fleet.nodes'"),
        ("cores = 1", "cores = 1\nslots_per_core = [6, 2]", "kinds[0].slots_per_core: a range goes from low"),
        ("aim_ms = 200", "aim_ms = nan", "aim_ms"),
        ("cv = [0.3, 0.72]", "cv = -1", "classes[0].cv: a figure is at least 0"),
        ("count = 2", "count = 20", "acts[1]: 'from' and 'count' reach beyond the 9 there are"),
        ("[fleet]", "[fleet", "not TOML"),
    ],
)
def test_an_invalid_scenario_gives_one_line_and_exit_code_2(
    old: str, new: str, message: str, tmp_path: Path
) -> None:
    text = FILE.read_text().replace(old, new, 1)
    with pytest.raises(ScenarioError) as caught:
        parse_scenario(text)
    assert message in str(caught.value) and "\n" not in str(caught.value)
    path = tmp_path / "faulty.toml"
    path.write_text(text)
    completed = CliRunner().invoke(main, ["lab", "play", str(path)])
    assert (
        completed.exit_code == 2 and completed.output.count("\n") == 1 and "faulty.toml" in completed.output
    )


def test_every_scenario_of_the_repository_is_valid() -> None:
    for path in (ROOT / "scenarios").glob("*.toml"):
        assert isinstance(read_scenario(path), Scenario)


def test_lab_play_prints_the_run_and_writes_the_result_file(tmp_path: Path) -> None:
    path, out = tmp_path / "short.toml", tmp_path / "run.json"
    path.write_text(FILE.read_text().replace("length_s = [25, 28]", "length_s = 4").split("[[acts]]")[0])
    completed = CliRunner().invoke(main, ["lab", "play", str(path), "--seed", "2", "--out", str(out)])
    assert completed.exit_code == 0 and "submit-build" in completed.output and out.stat().st_size > 1000
    assert CliRunner().invoke(main, ["lab", "play", str(path), "--policy", "no-such"]).exit_code == 2


def run_git(*arguments: str) -> str:
    return subprocess.run(
        ["git", *arguments], cwd=ROOT, capture_output=True, check=True, text=True
    ).stdout.strip()


def test_policies_of_revisions_run_under_both_names_of_the_package(tmp_path: Path) -> None:
    """`cottonhall` became `flaxstep.routing` in a commit that changed only names."""
    path = tmp_path / "short.toml"
    path.write_text(FILE.read_text().replace("length_s = [25, 28]", "length_s = 4").split("[[acts]]")[0])
    scenario = read_scenario(path)

    def play_with_result(policy: str) -> Run:
        run = play_with_policy(policy, scenario, path, 2)
        assert run.policy == ("here" if policy == "here" else f"rev {run_git('rev-parse', policy)[:12]}")
        return msgspec.structs.replace(run, policy="")

    renamed = run_git("log", "-1", "--format=%H", "--", "cottonhall/rules.py")
    assert "flaxstep/routing" in run_git("ls-tree", "--name-only", renamed, "flaxstep/routing")
    assert encode_result(play_with_result(f"{renamed}^")) == encode_result(play_with_result(renamed))
    last, here = encode_result(play_with_result("HEAD")), encode_result(play_with_result("here"))
    changed = run_git(
        "status", "--porcelain", "--", "flaxstep/routing"
    )  # then the checkout may decide differently
    assert changed or last == here
