"""What a play came to: the lab's verdict, and tables by class, zone and ten seconds. Its file is this, as
JSON."""

from __future__ import annotations

from pathlib import Path

import msgspec
import numpy as np

from flaxstep.faultbench.records import read_records
from flaxstep.faultbench.rule_checks import Breach, breaches
from flaxstep.faultbench.schedule import Schedule
from flaxstep.faultbench.trace import Trace, TryTrace, tell
from flaxstep.simulator.sampling import Plan, draw_plan
from flaxstep.simulator.scenario import Scenario
from flaxstep.simulator.scoring import Scorer, Verdict
from flaxstep.simulator.simulation import Outcomes

TEN = 10  # s
BUSY = 20.0  # ms by which clients are late, 99 of 100, where the machine was too busy for the play
KEPT = 100  # breaches with their details; the rest are counted


class Line(msgspec.Struct):
    """A line of a table: what was asked and earned (worth), and how tries ended."""

    name: str
    asked: float = 0.0
    earned: float = 0.0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    unserved: int = 0  # first tries that never earned anything


class Second(msgspec.Struct):
    """One second of the play."""

    asked: float = 0.0
    earned: float = 0.0
    refused: list[int] = []  # by class
    failed: list[int] = []
    held: list[float] = []  # by server, the mean; -1: it wrote nothing


class Result(msgspec.Struct):
    scenario: str
    seed: int
    seconds: int
    first_tries: int
    tries: int
    verdict: Verdict
    outcomes: Outcomes
    classes: list[Line]
    zones: list[Line]
    tens: list[Line]
    by_second: list[Second]
    latency_ms: dict[
        str, dict[str, float]
    ]  # by class: p50, p90, p99 of first tries served, from their due start
    lateness_ms: dict[str, float]  # of the clients: how late tries were written; tells when the rig distorts
    crossings: int  # attempts between zones
    bands: list[tuple[str, float, float]]  # what, from s, to s
    breaches: list[Breach]
    broken: int
    slowed: int
    fell: int

    @property
    def distorted(self) -> str:
        """Why nothing may be concluded from the play, if that is so."""
        late = self.lateness_ms.get("p99", 0.0)
        return f"this machine was too busy for the play: clients late by {late:.0f} ms" if late > BUSY else ""


class Ledger:
    """Counts one story."""

    def __init__(self, scenario: Scenario, plan: Plan, story: Trace) -> None:
        self.scenario, self.plan, self.story = scenario, plan, story
        self.seconds = int(plan.length / 1000) + 1
        self.judge = Scorer(scenario, self.seconds)
        n = len(scenario.classes)
        self.outcomes = Outcomes(*([0] * n for _ in range(6)))
        self.classes = [Line(c.name) for c in scenario.classes]
        self.zones = [Line(f"zone {z}") for z in range(scenario.fleet.zones)]
        self.tens = [Line(f"{t}-{t + TEN} s") for t in range(0, self.seconds, TEN)]
        self.by_second = [Second(refused=[0] * n, failed=[0] * n) for _ in range(self.seconds)]
        self.took: list[list[float]] = [[] for _ in scenario.classes]
        self.written_late: list[float] = []
        self.ask()
        self.count()
        self.hold()

    def lines(self, first: int) -> tuple[Line, Line, Line]:
        tries = self.plan.tries
        second = min(int(tries.at[first] / 1000), self.seconds - 1)
        return self.classes[tries.cls[first]], self.zones[tries.zone[first]], self.tens[second // TEN]

    def ask(self) -> None:
        """What first tries ask for; beyond its tenant's share a request is worth little."""
        tries, quotas, scenario = self.plan.tries, self.plan.quotas, self.scenario
        levels, levels_at = [0.0] * len(quotas), [0.0] * len(quotas)
        self.inside: list[bool] = []
        self.worth: list[float] = []
        for first, (at, cls, tenant) in enumerate(zip(tries.at, tries.cls, tries.tenant, strict=True)):
            inside = True
            if quotas:
                left = max(0.0, levels[tenant] - (at - levels_at[tenant]) / 1000 * quotas[tenant])
                inside = left <= quotas[tenant]
                levels[tenant], levels_at[tenant] = left + inside, at
            worth = scenario.classes[cls].worth * (1.0 if inside else scenario.load.over_share_worth)
            self.inside.append(inside)
            self.worth.append(worth)
            second = min(int(at / 1000), self.seconds - 1)
            self.judge.record_request(second, cls, tenant, worth, inside)
            self.by_second[second].asked += worth
            for line in self.lines(first):
                line.asked += worth
            self.judge.counters.requested_work_ms += tries.work[first]

    def count(self) -> None:
        tries = self.plan.tries
        served: set[int] = set()
        for one in sorted(self.story.tries.values(), key=lambda one: one.asked.at):
            self.judge.tries += 1
            self.count_attempts(one)
            if one.asked.number == 0 and not one.asked.id[-2:].strip("0"):
                self.written_late.append(one.asked.at - tries.at[one.asked.first])
            if self.count_answer(one):
                served.add(one.asked.first)
        for first, cls in enumerate(tries.cls):
            if first not in served:
                self.outcomes.unserved[cls] += 1
                for line in self.lines(first):
                    line.unserved += 1

    def count_attempts(self, one: TryTrace) -> None:
        bill, zones = self.judge.counters, self.plan.node_zones
        for attempt in one.attempts:
            bill.attempts += 1
            bill.cross_zone_attempts += zones[attempt.node] != self.plan.servers[attempt.began.server].zone

    def count_answer(self, one: TryTrace) -> bool:
        """Book what a try came to; whether its client was served."""
        asked, answered = one.asked, one.answered
        wanted, first = self.scenario.classes[asked.cls], asked.first
        if answered is None:
            return False
        second = self.by_second[max(0, min(int(answered.at / 1000), self.seconds - 1))]
        if answered.status == -1 or answered.at > asked.due:
            self.outcomes.given_up[asked.cls] += 1
            self.judge.counters.late_unserved_worth += self.worth[first] * (
                answered.at > asked.began + wanted.aim_ms
            )
            return False
        if answered.status == 200 and answered.whole:
            return self.serve(one, answered.at - asked.began)
        refused = answered.status in (429, 503)
        (self.outcomes.refused if refused else self.outcomes.failed)[asked.cls] += 1
        (second.refused if refused else second.failed)[asked.cls] += 1
        for line in self.lines(first):
            line.refused += refused
            line.failed += not refused
        return False

    def serve(self, one: TryTrace, took: float) -> bool:
        asked = one.asked
        wanted, first = self.scenario.classes[asked.cls], asked.first
        in_time = took <= wanted.aim_ms
        part = 1.0 if in_time else wanted.late_worth if took <= wanted.deadline_ms else 0.0
        (self.outcomes.in_time if in_time else self.outcomes.late)[asked.cls] += 1
        worth, second = part * self.worth[first], min(int(asked.began / 1000), self.seconds - 1)
        self.judge.record_served(second, asked.cls, self.plan.tries.tenant[first], worth, self.inside[first])
        self.by_second[second].earned += worth
        self.took[asked.cls].append(took)
        for line in self.lines(first):
            line.earned += worth
            line.in_time += in_time
            line.late += not in_time
        return True

    def hold(self) -> None:
        """What servers held, and the work they did; a process that started anew counts from 0 again."""
        self.useful = self.done = 0.0
        self.slowed: set[int] = set()
        for second in self.by_second:
            second.held = [-1.0] * len(self.plan.servers)
        for server, samples in self.story.held.items():
            last_done = last_useful = 0.0
            counts: dict[int, list[int]] = {}
            for sample in samples:
                if sample.at < 0:
                    continue
                if sample.done < last_done:
                    self.done, self.useful = self.done + last_done, self.useful + last_useful
                last_done, last_useful = sample.done, sample.useful
                if sample.slowed:
                    self.slowed.add(server)
                counts.setdefault(int(sample.at / 1000), []).append(sample.held)
            self.done, self.useful = self.done + last_done, self.useful + last_useful
            for at, held in counts.items():
                if at < self.seconds:
                    self.by_second[at].held[server] = round(sum(held) / len(held), 2)


def percentiles(values: list[float], *parts: float) -> dict[str, float]:
    if not values:
        return {}
    return {f"p{part:g}": round(float(np.percentile(values, part)), 3) for part in parts}


def judge_play(scenario: Scenario, seed: int, folder: Path) -> Result:
    """The result of the records in a folder."""
    plan = draw_plan(scenario, seed)
    story = tell(read_records(folder), plan, scenario.rig.regions)
    ledger = Ledger(scenario, plan, story)
    broken = breaches(story, scenario)
    ledger.judge.breach_count = len(broken)
    verdict = ledger.judge.compute_verdict(ledger.useful, ledger.done, len(ledger.slowed) / len(plan.servers))
    length = plan.length / 1000
    bands = [
        (band.name, round(band.start / 1000, 3), round(min(band.end / 1000 or length, length), 3))
        for band in Schedule(scenario, plan).bands
        if band.start < plan.length
    ]
    return Result(
        scenario=scenario.name,
        seed=seed,
        seconds=ledger.seconds,
        first_tries=ledger.judge.first_tries,
        tries=ledger.judge.tries,
        verdict=verdict,
        outcomes=ledger.outcomes,
        classes=ledger.classes,
        zones=ledger.zones,
        tens=ledger.tens,
        by_second=ledger.by_second,
        latency_ms={
            c.name: percentiles(took, 50, 90, 99)
            for c, took in zip(scenario.classes, ledger.took, strict=True)
        },
        lateness_ms=percentiles(ledger.written_late, 50, 99, 100),
        crossings=ledger.judge.counters.cross_zone_attempts,
        bands=bands,
        breaches=broken[:KEPT],
        broken=len(broken),
        slowed=len(ledger.slowed),
        fell=len(story.fell),
    )


def write_result(result: Result, folder: Path) -> Path:
    path = folder / "result.json"
    path.write_bytes(msgspec.json.encode(result) + b"\n")
    return path


def read_result(folder: Path) -> Result:
    return msgspec.json.decode((folder / "result.json").read_bytes(), type=Result)
