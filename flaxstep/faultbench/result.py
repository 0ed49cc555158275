"""The result of a play: the simulator's verdict, and tables by class, by zone and by ten seconds.

It is written as JSON to `result.json` in the play's folder.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import numpy as np

from flaxstep.faultbench.records import read_records
from flaxstep.faultbench.rule_checks import Breach, find_breaches
from flaxstep.faultbench.schedule import Schedule
from flaxstep.faultbench.trace import Trace, TryTrace, build_trace
from flaxstep.simulator.sampling import Plan, draw_plan
from flaxstep.simulator.scenario import Scenario
from flaxstep.simulator.scoring import Scorer, Verdict
from flaxstep.simulator.simulation import Outcomes

TABLE_INTERVAL_S = 10
MAX_CLIENT_LATENESS_MS = 20.0  # above this 99th percentile the machine was too busy for the play
MAX_LISTED_BREACHES = 100  # further ones are only counted


class TableRow(msgspec.Struct):
    """One row of a table: the worth asked for and earned, and the number of tries by outcome."""

    name: str
    asked: float = 0.0
    earned: float = 0.0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    unserved: int = 0  # requests of which no try was served


class Second(msgspec.Struct):
    """Worth and unserved tries of one second of the play, and the load of each server in it."""

    asked: float = 0.0
    earned: float = 0.0
    refused: list[int] = []  # tries by class
    failed: list[int] = []  # tries by class
    held: list[float] = []  # requests at each server, mean of the samples; -1 if there is no sample


class Result(msgspec.Struct):
    """All figures of one play, as stored and as shown by the report."""

    scenario: str
    seed: int
    seconds: int
    first_tries: int
    tries: int
    verdict: Verdict
    outcomes: Outcomes
    classes: list[TableRow]
    zones: list[TableRow]
    tens: list[TableRow]  # by ten seconds
    by_second: list[Second]
    latency_ms: dict[str, dict[str, float]]  # p50, p90, p99 by class: from a request's due start to its 200
    lateness_ms: dict[str, float]  # how late clients wrote first tries; high if the machine was too busy
    crossings: int  # attempts between zones
    bands: list[tuple[str, float, float]]  # each fault, trouble and act: its name, start and end in s
    breaches: list[Breach]
    broken: int  # all breaches, also those not listed
    slowed: int  # servers that were throttled at some time
    fell: int  # failures of cold servers that were sent more than they can bear

    @property
    def distorted(self) -> str:
        """Why the play is not valid as a measurement, or an empty string if it is."""
        lateness_ms = self.lateness_ms.get("p99", 0.0)
        return (
            f"this machine was too busy for the play: clients late by {lateness_ms:.0f} ms"
            if lateness_ms > MAX_CLIENT_LATENESS_MS
            else ""
        )


class ResultCounter:
    """Counts the tries, attempts and server load of a trace, for the tables and the simulator's scorer."""

    def __init__(self, scenario: Scenario, plan: Plan, trace: Trace) -> None:
        self.scenario, self.plan, self.trace = scenario, plan, trace
        self.seconds = int(plan.length / 1000) + 1
        self.scorer = Scorer(scenario, self.seconds)
        class_count = len(scenario.classes)
        self.outcomes = Outcomes(*([0] * class_count for _ in range(6)))
        self.classes = [TableRow(c.name) for c in scenario.classes]
        self.zones = [TableRow(f"zone {z}") for z in range(scenario.fleet.zones)]
        self.tens = [
            TableRow(f"{t}-{t + TABLE_INTERVAL_S} s") for t in range(0, self.seconds, TABLE_INTERVAL_S)
        ]
        self.by_second = [
            Second(refused=[0] * class_count, failed=[0] * class_count) for _ in range(self.seconds)
        ]
        self.latencies_ms: list[list[float]] = [[] for _ in scenario.classes]
        self.lateness_ms: list[float] = []
        self.count_demand()
        self.count_tries()
        self.count_server_load()

    def rows_of(self, first: int) -> tuple[TableRow, TableRow, TableRow]:
        """The rows of a request's class, zone and ten seconds."""
        tries = self.plan.tries
        second = min(int(tries.at[first] / 1000), self.seconds - 1)
        return (
            self.classes[tries.cls[first]],
            self.zones[tries.zone[first]],
            self.tens[second // TABLE_INTERVAL_S],
        )

    def count_demand(self) -> None:
        """Count the worth that first tries ask for; a request beyond its tenant's quota is worth less."""
        tries, quotas, scenario = self.plan.tries, self.plan.quotas, self.scenario
        quota_levels, level_times = [0.0] * len(quotas), [0.0] * len(quotas)
        self.within_quota: list[bool] = []
        self.worth: list[float] = []
        for first, (at, cls, tenant) in enumerate(zip(tries.at, tries.cls, tries.tenant, strict=True)):
            within_quota = True
            if quotas:
                level = max(0.0, quota_levels[tenant] - (at - level_times[tenant]) / 1000 * quotas[tenant])
                within_quota = level <= quotas[tenant]
                quota_levels[tenant], level_times[tenant] = level + within_quota, at
            worth = scenario.classes[cls].worth * (1.0 if within_quota else scenario.load.over_share_worth)
            self.within_quota.append(within_quota)
            self.worth.append(worth)
            second = min(int(at / 1000), self.seconds - 1)
            self.scorer.record_request(second, cls, tenant, worth, within_quota)
            self.by_second[second].asked += worth
            for row in self.rows_of(first):
                row.asked += worth
            self.scorer.counters.requested_work_ms += tries.work[first]

    def count_tries(self) -> None:
        """Count each try by its outcome, and the requests of which no try was served."""
        tries = self.plan.tries
        served: set[int] = set()
        for try_trace in sorted(self.trace.tries.values(), key=lambda try_trace: try_trace.sent.at):
            self.scorer.tries += 1
            self.count_attempts(try_trace)
            if try_trace.sent.number == 0 and not try_trace.sent.id[-2:].strip("0"):
                self.lateness_ms.append(try_trace.sent.at - tries.at[try_trace.sent.first])
            if self.count_response(try_trace):
                served.add(try_trace.sent.first)
        for first, cls in enumerate(tries.cls):
            if first not in served:
                self.outcomes.unserved[cls] += 1
                for row in self.rows_of(first):
                    row.unserved += 1

    def count_attempts(self, try_trace: TryTrace) -> None:
        """Count a try's attempts, and those that went to another zone."""
        counters, zones = self.scorer.counters, self.plan.node_zones
        for attempt in try_trace.attempts:
            counters.attempts += 1
            counters.cross_zone_attempts += (
                zones[attempt.node] != self.plan.servers[attempt.arrival.server].zone
            )

    def count_response(self, try_trace: TryTrace) -> bool:
        """Count a try by its outcome. True if its client was served."""
        sent, response = try_trace.sent, try_trace.response
        request_class, first = self.scenario.classes[sent.cls], sent.first
        if response is None:
            return False
        second = self.by_second[max(0, min(int(response.at / 1000), self.seconds - 1))]
        if response.status == -1 or response.at > sent.due:
            self.outcomes.given_up[sent.cls] += 1
            self.scorer.counters.late_unserved_worth += self.worth[first] * (
                response.at > sent.began + request_class.aim_ms
            )
            return False
        if response.status == 200 and response.whole:
            return self.count_served(try_trace, response.at - sent.began)
        refused = response.status in (429, 503)
        (self.outcomes.refused if refused else self.outcomes.failed)[sent.cls] += 1
        (second.refused if refused else second.failed)[sent.cls] += 1
        for row in self.rows_of(first):
            row.refused += refused
            row.failed += not refused
        return False

    def count_served(self, try_trace: TryTrace, latency_ms: float) -> bool:
        """Count a try that was served, with its worth; always True."""
        sent = try_trace.sent
        request_class, first = self.scenario.classes[sent.cls], sent.first
        in_time = latency_ms <= request_class.aim_ms
        earned_share = (
            1.0 if in_time else request_class.late_worth if latency_ms <= request_class.deadline_ms else 0.0
        )
        (self.outcomes.in_time if in_time else self.outcomes.late)[sent.cls] += 1
        worth, second = earned_share * self.worth[first], min(int(sent.began / 1000), self.seconds - 1)
        self.scorer.record_served(
            second, sent.cls, self.plan.tries.tenant[first], worth, self.within_quota[first]
        )
        self.by_second[second].earned += worth
        self.latencies_ms[sent.cls].append(latency_ms)
        for row in self.rows_of(first):
            row.earned += worth
            row.in_time += in_time
            row.late += not in_time
        return True

    def count_server_load(self) -> None:
        """Sum up the load of the servers and their work; a restarted process counts its work from 0 again."""
        self.useful_work_ms = self.done_work_ms = 0.0
        self.slowed_servers: set[int] = set()
        for second in self.by_second:
            second.held = [-1.0] * len(self.plan.servers)
        for server, samples in self.trace.load_samples.items():
            last_done = last_useful = 0.0
            held_by_second: dict[int, list[int]] = {}
            for sample in samples:
                if sample.at < 0:
                    continue
                if sample.done < last_done:
                    self.done_work_ms, self.useful_work_ms = (
                        self.done_work_ms + last_done,
                        self.useful_work_ms + last_useful,
                    )
                last_done, last_useful = sample.done, sample.useful
                if sample.slowed:
                    self.slowed_servers.add(server)
                held_by_second.setdefault(int(sample.at / 1000), []).append(sample.held)
            self.done_work_ms, self.useful_work_ms = (
                self.done_work_ms + last_done,
                self.useful_work_ms + last_useful,
            )
            for at, held in held_by_second.items():
                if at < self.seconds:
                    self.by_second[at].held[server] = round(sum(held) / len(held), 2)


def percentiles(values: list[float], *ranks: float) -> dict[str, float]:
    """Percentiles by name, such as p99; empty if there are no values."""
    if not values:
        return {}
    return {f"p{rank:g}": round(float(np.percentile(values, rank)), 3) for rank in ranks}


def judge_play(scenario: Scenario, seed: int, folder: Path) -> Result:
    """Compute a play's result from the records in its folder."""
    plan = draw_plan(scenario, seed)
    trace = build_trace(read_records(folder), plan, scenario.rig.regions)
    counter = ResultCounter(scenario, plan, trace)
    rule_breaches = find_breaches(trace, scenario)
    counter.scorer.breach_count = len(rule_breaches)
    verdict = counter.scorer.compute_verdict(
        counter.useful_work_ms, counter.done_work_ms, len(counter.slowed_servers) / len(plan.servers)
    )
    length_s = plan.length / 1000
    bands = [
        (band.name, round(band.start / 1000, 3), round(min(band.end / 1000 or length_s, length_s), 3))
        for band in Schedule(scenario, plan).bands
        if band.start < plan.length
    ]
    return Result(
        scenario=scenario.name,
        seed=seed,
        seconds=counter.seconds,
        first_tries=counter.scorer.first_tries,
        tries=counter.scorer.tries,
        verdict=verdict,
        outcomes=counter.outcomes,
        classes=counter.classes,
        zones=counter.zones,
        tens=counter.tens,
        by_second=counter.by_second,
        latency_ms={
            c.name: percentiles(latencies_ms, 50, 90, 99)
            for c, latencies_ms in zip(scenario.classes, counter.latencies_ms, strict=True)
        },
        lateness_ms=percentiles(counter.lateness_ms, 50, 99, 100),
        crossings=counter.scorer.counters.cross_zone_attempts,
        bands=bands,
        breaches=rule_breaches[:MAX_LISTED_BREACHES],
        broken=len(rule_breaches),
        slowed=len(counter.slowed_servers),
        fell=len(trace.overload_failures),
    )


def write_result(result: Result, folder: Path) -> Path:
    """Write `result.json`."""
    path = folder / "result.json"
    path.write_bytes(msgspec.json.encode(result) + b"\n")
    return path


def read_result(folder: Path) -> Result:
    """Read `result.json`."""
    return msgspec.json.decode((folder / "result.json").read_bytes(), type=Result)
