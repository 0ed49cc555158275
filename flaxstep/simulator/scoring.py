"""Scores a run: worth served, costs, and breaches of the four rules of WIRE with their time and place."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from flaxstep.simulator.scenario import Scenario

WINDOW_S = 10  # length of the worst window that is looked for
MAX_DETAILED_BREACHES_PER_RULE = 50  # further ones are only counted


class Breach(msgspec.Struct, frozen=True):
    """A broken rule: which one, when (`at`, ms), and at which node, request and server (-1: none)."""

    rule: str
    at: float
    node: int
    request: int
    server: int
    what: str


class Verdict(msgspec.Struct, frozen=True):
    """The score of a run.

    `g` is the weighted sum of the served shares, minus the prices. `served`, `worst_*`, `classes` and
    `tenants` are shares of the worth that was requested. `worst_window` is the lowest share in any window of
    10 s, `worst_from` the second in which that window begins. `prices` are the amounts subtracted from `g`.
    """

    g: float
    served: float
    worst_window: float
    worst_from: int
    worst_class: float
    worst_tenant: float
    classes: dict[str, float]
    tenants: dict[str, float]
    prices: dict[str, float]
    breaches: int


@dataclass(slots=True)
class CostCounters:
    """Counts from which the prices are computed."""

    attempts: int = 0
    cross_zone_attempts: int = 0
    probes: int = 0
    peer_bytes: int = 0
    late_unserved_worth: float = 0.0  # of requests that ended unserved after their aim
    requested_work_ms: float = 0.0


@dataclass(slots=True)
class Scorer:
    """Collects what happens in a run and computes its verdict."""

    scenario: Scenario
    seconds: int
    asked: list[float] = field(default_factory=list)  # worth requested, by second of the first try
    earned: list[float] = field(default_factory=list)  # worth served, by second of the first try
    by_class: list[list[float]] = field(default_factory=list)  # worth requested and served
    by_tenant: list[list[float]] = field(default_factory=list)
    refused: list[int] = field(default_factory=list)  # by second
    failed: list[int] = field(default_factory=list)
    first_tries: int = 0
    tries: int = 0
    breaches: list[Breach] = field(default_factory=list)
    breach_count: int = 0
    breaches_by_rule: dict[str, int] = field(default_factory=dict)
    counters: CostCounters = field(default_factory=CostCounters)

    def __post_init__(self) -> None:
        self.asked, self.earned = [0.0] * self.seconds, [0.0] * self.seconds
        self.refused, self.failed = [0] * self.seconds, [0] * self.seconds
        self.by_class = [[1e-9, 0.0] for _ in self.scenario.classes]
        self.by_tenant = [[1e-9, 0.0] for _ in self.scenario.tenants]

    def record_breach(self, rule: str, at: float, node: int, request: int, server: int, what: str) -> None:
        self.breach_count += 1
        self.breaches_by_rule[rule] = self.breaches_by_rule.get(rule, 0) + 1
        if self.breaches_by_rule[rule] <= MAX_DETAILED_BREACHES_PER_RULE:
            self.breaches.append(Breach(rule, round(at, 3), node, request, server, what))

    def record_request(self, second: int, cls: int, tenant: int, worth: float, within_quota: bool) -> None:
        """Add the worth of a first try. Beyond its tenant's quota it doesn't count for the tenant."""
        self.first_tries += 1
        self.asked[second] += worth
        self.by_class[cls][0] += worth
        if within_quota and self.by_tenant:
            self.by_tenant[tenant][0] += worth

    def record_served(self, second: int, cls: int, tenant: int, worth: float, within_quota: bool) -> None:
        self.earned[second] += worth
        self.by_class[cls][1] += worth
        if within_quota and self.by_tenant:
            self.by_tenant[tenant][1] += worth

    def compute_verdict(self, useful_ms: float, done_ms: float, throttled_share: float) -> Verdict:
        """The verdict; `throttled_share` is the share of the servers that were ever throttled."""
        goal, prices, counters = self.scenario.goal, self.scenario.prices, self.counters
        asked, tries = sum(self.asked) or 1.0, max(self.first_tries, 1)
        served_share = sum(self.earned) / asked
        worst_share, worst_from = served_share, 0
        for start in range(1, max(2, self.seconds - WINDOW_S)):
            asked_in_window = sum(self.asked[start : start + WINDOW_S])
            window_share = (
                sum(self.earned[start : start + WINDOW_S]) / asked_in_window if asked_in_window else 1.0
            )
            if window_share < worst_share:
                worst_share, worst_from = window_share, start
        classes = {c.name: e / a for c, (a, e) in zip(self.scenario.classes, self.by_class, strict=True)}
        tenants = {t.name: e / a for t, (a, e) in zip(self.scenario.tenants, self.by_tenant, strict=True)}
        costs = {
            "cross_zone": prices.cross_zone * counters.cross_zone_attempts / tries,
            "waste": prices.waste * max(0.0, done_ms - useful_ms) / max(counters.requested_work_ms, 1.0),
            "probe": prices.probe * counters.probes / tries,
            "peer": prices.peer * counters.peer_bytes / 256 / tries,
            "late_fail": prices.late_fail * counters.late_unserved_worth / asked,
            "overdriven": self.scenario.choke.price * throttled_share,
        }
        g = (
            goal.whole * served_share
            + goal.worst_window * worst_share
            + goal.worst_class * min(classes.values())
            + goal.worst_tenant * min(tenants.values(), default=served_share)
            - sum(costs.values())
        )
        return Verdict(
            g=round(g, 6),
            served=round(served_share, 6),
            worst_window=round(worst_share, 6),
            worst_from=worst_from,
            worst_class=round(min(classes.values()), 6),
            worst_tenant=round(min(tenants.values(), default=served_share), 6),
            classes={name: round(value, 6) for name, value in classes.items()},
            tenants={name: round(value, 6) for name, value in tenants.items()},
            prices={name: round(value, 6) for name, value in costs.items()},
            breaches=self.breach_count,
        )
