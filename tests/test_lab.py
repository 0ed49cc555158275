"""Properties of the model: queues as theory has them, work conserved, days that repeat, judges that see."""

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
from flaxstep.simulator.engine import Engine, Streams
from flaxstep.simulator.job_servers import Attempt, ChokePlan, Server, ServerPlan, WorkTotals
from flaxstep.simulator.runner import Player, Run, encode, play, play_with, player
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


class Bench:
    """One server by itself, and what becomes of the attempts at it."""

    zone = 0

    def __init__(self, cores: int = 1, choke: float = 0.0, cold: bool = False, slots: int = 999) -> None:
        self.engine, self.tally = Engine(), WorkTotals()
        self.ended_at: list[tuple[float, Attempt, Result]] = []
        plan = ServerPlan(0, 0, 0, 0, cores, 1.0, slots, 10**6, 0.0, 10.0, 0.12, 10_000.0, 0.0, 900, 0.0)
        sticky = ChokePlan(choke > 0, choke or 5.0, 1500.0, 3.0, 2000.0, 0.3, 30_000.0)
        chance = Streams(1).chance("server")
        self.server = Server(
            self.engine, plan, sticky, (2.5, 2000.0, 24_000.0), self.tally, chance, self.answer
        )
        if cold:
            self.server.boot()

    def answer(self, attempt: Attempt, result: Result) -> None:
        self.ended_at.append((self.engine.now, attempt, result))

    def ended(self, attempt: Attempt, result: Result) -> None:
        """The owner's part: nobody asks here."""

    def give(self, at: float, work: float) -> None:
        attempt = Attempt(self, 0, 0, 0, 0, work, at, 0, 0)
        self.engine.at(at, self.server.arrive, attempt)

    def look(self) -> None:
        self.server.look()
        self.engine.after(100.0, self.look)


def test_an_idle_server_answers_in_its_service_time() -> None:
    bench = Bench(cores=2)
    bench.give(10.0, 25.0)
    bench.engine.run(100.0)
    assert [at for at, _, _ in bench.ended_at] == pytest.approx([35.0])


@pytest.mark.parametrize(("cores", "busy"), [(1, 0.5), (1, 0.7), (2, 0.7)])
def test_means_are_those_of_theory(cores: int, busy: float) -> None:
    """Exponential work, first come first served (slots = cores): M/M/1 and M/M/2 by Erlang's formula."""
    bench, draw = Bench(cores=cores, slots=cores), Streams(7).generator("theory")
    count, mean = 60_000, 10.0
    at = draw.exponential(mean / cores / busy, count).cumsum()
    work = draw.exponential(mean, count)
    for when, size in zip(at.tolist(), work.tolist(), strict=True):
        bench.give(when, size)
    bench.engine.run(float(at[-1]) + 10_000.0)
    took = sum(when - attempt.sent for when, attempt, _ in bench.ended_at) / count
    expected = mean / (1 - busy) if cores == 1 else mean / (1 - busy * busy)
    assert took == pytest.approx(expected, rel=0.06)
    assert bench.tally.done == pytest.approx(sum(work.tolist()))  # work is conserved


def test_a_tipped_cold_server_falls_and_one_spared_warms() -> None:
    tipped, spared = Bench(cold=True), Bench(cold=True)
    for i in range(100):
        tipped.give(20.0 + 20.0 * i, 20.0)  # eight times what it can do
        spared.give(20.0 + 250.0 * i, 20.0)
    for bench in (tipped, spared):
        bench.engine.run(25_000.0)
    assert tipped.tally.fallen and not tipped.server.up
    assert not spared.tally.fallen and spared.server.warmth() == 1.0


def test_an_overfilled_server_stays_slow_until_it_rests() -> None:
    bench = Bench(choke=5.0)
    bench.look()
    for i in range(12):
        bench.give(float(i), 400.0)
    bench.engine.run(4000.0)
    assert bench.server.choked
    bench.engine.run(14_000.0)  # three times slower: 4,800 ms of work take until 12 s
    assert not bench.server.held and bench.server.choked_at == float("inf")


def test_what_is_called_back_while_it_waits_is_not_done() -> None:
    bench = Bench(slots=1)
    bench.give(0.0, 50.0)
    waiting = Attempt(bench, 1, 0, 0, 0, 50.0, 1.0, 0, 0)
    bench.engine.at(1.0, bench.server.arrive, waiting)
    bench.engine.at(2.0, bench.server.drop, waiting, True)
    bench.engine.run(500.0)
    assert bench.tally.done == pytest.approx(50.0) and bench.server.held == 0


def test_one_seed_is_one_day_to_the_byte_and_under_any_hash() -> None:
    code = (
        "import sys; from tests.test_lab import SMALL;"
        "from flaxstep.simulator.runner import encode, play, player;"
        "sys.stdout.buffer.write(encode(play(SMALL, 5, player('here'))))"
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
    assert runs[0] == runs[1] == encode(play(SMALL, 5, player("here")))


def test_two_modules_meet_the_same_day() -> None:
    plain, seeing = (play(SMALL, 3, player(name)) for name in ("random", "seeing"))
    assert plain.asked == seeing.asked and plain.first_tries == seeing.first_tries
    assert seeing.verdict.g > plain.verdict.g


def test_the_day_of_hand_and_drain_hurts_the_module_and_not_the_one_that_sees() -> None:
    scenario = read_scenario(FILE)
    ours, seeing = (play(scenario, 2, player(name)) for name in ("here", "seeing"))
    assert ours.verdict.breaches == seeing.verdict.breaches == 0
    assert [name for name, _, _ in ours.happenings].count("cordon") == 2
    assert seeing.verdict.served > ours.verdict.served


class Wild:
    """Breaks what can be broken: sends to any server, repeats what failed, refuses what may have run."""

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


def test_the_judges_catch_planted_breaches() -> None:
    """Errors are sent again, taken-out servers get more, cold ones all that comes, time-outs no answer."""
    errors = Trouble("fast_errors", at_s=0.5, len_s=1.0, part=1.0, size=0.5)
    out = Act("cordon", at_s=1.0, for_s=4.0, count=9, down_s=0.1)
    scenario = msgspec.structs.replace(SMALL, acts=[out], troubles=[errors], load=Load(of_capacity=3.0))
    run = play(scenario, 1, Player("wild", Wild, frozenset({"Cordon"})))
    assert {"duplicate", "cordon", "cold server", "lost request"} <= {b.rule for b in run.breaches}
    assert all(b.at > 0 for b in run.breaches)


def test_events_of_every_name_play_and_break_nothing() -> None:
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
    run = play(scenario, 4, player("here"))
    assert len(run.happenings) == len(troubles) + len(acts)
    assert run.verdict.breaches == 0 and run.verdict.served > 0.5


@pytest.mark.parametrize(
    ("old", "new", "said"),
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
def test_a_faulty_scenario_is_one_line_and_exit_2(old: str, new: str, said: str, tmp_path: Path) -> None:
    text = FILE.read_text().replace(old, new, 1)
    with pytest.raises(ScenarioError) as caught:
        parse_scenario(text)
    assert said in str(caught.value) and "\n" not in str(caught.value)
    path = tmp_path / "faulty.toml"
    path.write_text(text)
    done = CliRunner().invoke(main, ["lab", "play", str(path)])
    assert done.exit_code == 2 and done.output.count("\n") == 1 and "faulty.toml" in done.output


def test_every_scenario_of_the_repository_can_be_read() -> None:
    for path in (ROOT / "scenarios").glob("*.toml"):
        assert isinstance(read_scenario(path), Scenario)


def test_lab_play_shows_the_day_and_keeps_its_result(tmp_path: Path) -> None:
    path, out = tmp_path / "short.toml", tmp_path / "run.json"
    path.write_text(FILE.read_text().replace("length_s = [25, 28]", "length_s = 4").split("[[acts]]")[0])
    done = CliRunner().invoke(main, ["lab", "play", str(path), "--seed", "2", "--out", str(out)])
    assert done.exit_code == 0 and "submit-build" in done.output and out.stat().st_size > 1000
    assert CliRunner().invoke(main, ["lab", "play", str(path), "--policy", "no-such"]).exit_code == 2


def git(*words: str) -> str:
    return subprocess.run(
        ["git", *words], cwd=ROOT, capture_output=True, check=True, text=True
    ).stdout.strip()


def test_modules_of_revisions_play_whatever_the_package_was_called(tmp_path: Path) -> None:
    """`cottonhall` became `flaxstep.routing` in a commit that changed nothing but names."""
    path = tmp_path / "short.toml"
    path.write_text(FILE.read_text().replace("length_s = [25, 28]", "length_s = 4").split("[[acts]]")[0])
    scenario = read_scenario(path)

    def played(policy: str) -> Run:
        run = play_with(policy, scenario, path, 2)
        assert run.policy == ("here" if policy == "here" else f"rev {git('rev-parse', policy)[:12]}")
        return msgspec.structs.replace(run, policy="")

    renamed = git("log", "-1", "--format=%H", "--", "cottonhall/rules.py")
    assert "flaxstep/routing" in git("ls-tree", "--name-only", renamed, "flaxstep/routing")
    assert encode(played(f"{renamed}^")) == encode(played(renamed))
    last, here = encode(played("HEAD")), encode(played("here"))
    changed = git("status", "--porcelain", "--", "flaxstep/routing")  # then what is here may decide otherwise
    assert changed or last == here
