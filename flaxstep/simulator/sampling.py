"""Draws a run from a scenario and a seed: properties of the servers, first tries of the clients, troubles."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import numpy as np
import numpy.typing as npt

from flaxstep.simulator.config_types import Range
from flaxstep.simulator.engine import RandomStreams
from flaxstep.simulator.job_servers import ServerPlan, ThrottlingPlan
from flaxstep.simulator.scenario import Act, Scenario, Trouble

NOISE_TABLE_SIZE = 1 << 14  # factors per class, for the work of single attempts
Floats = npt.NDArray[np.float64]


def draw_value(generator: np.random.Generator, value: Range) -> float:
    """The number itself, or one drawn uniformly from the range."""
    return float(generator.uniform(*value)) if isinstance(value, tuple) else float(value)


def lognormal(generator: np.random.Generator, cv: float, size: int) -> Floats:
    """Lognormal numbers with mean 1 and the given coefficient of variation."""
    if cv <= 0:
        return np.ones(size)
    sigma = np.sqrt(np.log1p(cv * cv))
    return generator.lognormal(-sigma * sigma / 2, sigma, size)


def split_by_shares(shares: list[float], total: int) -> list[int]:
    """Split `total` by shares into whole numbers, by the largest remainders."""
    whole = sum(shares)
    exact = [total * share / whole for share in shares]
    parts = [int(part) for part in exact]
    order = sorted(range(len(shares)), key=lambda i: parts[i] - exact[i])
    for i in order[: total - sum(parts)]:
        parts[i] += 1
    return parts


@dataclass(slots=True)
class Happening:
    """A trouble or an act with its drawn values. Times in ms; `size` and `extra` depend on the name."""

    name: str
    at: float
    length: float
    part: float = 0.0  # share of the servers or nodes
    size: float = 1.0
    extra: float = 1.0
    steps: int = 1
    first: int = 0  # number of the first server or node of an act
    count: int = 0
    seed: int = 0  # of its own random stream


@dataclass(slots=True)
class FirstTries:
    """The first tries of a run in order of arrival, as columns of equal length."""

    at: list[float]  # arrival, ms
    cls: list[int]
    tenant: list[int]
    zone: list[int]
    work: list[float]  # ms on a standard core


@dataclass(slots=True)
class Plan:
    """Everything that a seed determines about a run."""

    seed: int
    length: float  # ms
    servers: list[ServerPlan]
    node_zones: list[int]  # by node
    choke: ThrottlingPlan
    figures: dict[str, float]  # by TABLE.KEY, of the tables net, conn, clients, front and discovery
    troubles: list[Happening]
    acts: list[Happening]
    tries: FirstTries
    quotas: list[float]  # by tenant: requests per second, over all nodes
    noise: list[list[float]]  # by class: factors for the work of attempts


def draw_plan(scenario: Scenario, seed: int) -> Plan:
    """Draw a run. The order of the draws matters: a change of it changes the runs of every seed."""
    streams = RandomStreams(seed)
    day_draws = streams.generator("day")
    length = 1000.0 * draw_value(day_draws, scenario.length_s)
    servers = draw_servers(scenario, streams.generator("servers"))
    choke = scenario.choke
    on = float(day_draws.random()) < choke.share
    throttling = ThrottlingPlan(
        on=on,
        at=float(day_draws.uniform(*choke.at)),
        over_ms=1000 * float(day_draws.uniform(*choke.over_s)),
        slower=float(day_draws.uniform(*choke.slower)),
        rest_ms=1000 * float(day_draws.uniform(*choke.rest_s)),
        below=float(day_draws.uniform(*choke.below)),
        most_ms=1000 * float(day_draws.uniform(*choke.most_s)),
    )
    figures = {
        f"{name}.{key}": draw_value(day_draws, value)
        for name in ("net", "conn", "clients", "front", "discovery")
        for key, value in msgspec.structs.asdict(getattr(scenario, name)).items()
        if isinstance(value, int | float | tuple)
    }
    figures["cancel_running"] = float(day_draws.random() < 0.5)
    zones = scenario.fleet.zones
    node_zones = [i % zones for i in range(scenario.fleet.nodes)]
    troubles = [draw_happening(t, streams.generator(f"trouble {i}")) for i, t in enumerate(scenario.troubles)]
    acts = [draw_happening(a, streams.generator(f"act {i}")) for i, a in enumerate(scenario.acts)]
    bursts = [t for t in troubles if t.name == "burst"]
    tries, quotas = draw_first_tries(scenario, streams, servers, length, bursts)
    noise = [
        lognormal(generator, draw_value(generator, c.attempt_noise), NOISE_TABLE_SIZE).tolist()
        for c in scenario.classes
        for generator in [streams.generator(f"noise {c.name}")]
    ]
    return Plan(seed, length, servers, node_zones, throttling, figures, troubles, acts, tries, quotas, noise)


def draw_happening(config: Trouble | Act, generator: np.random.Generator) -> Happening:
    at = 1000 * draw_value(generator, config.at_s)
    seed = int(generator.integers(1 << 62))
    if isinstance(config, Act):
        length, down_ms = (
            1000 * draw_value(generator, config.for_s),
            1000 * draw_value(generator, config.down_s),
        )
        return Happening(
            config.name, at, length, extra=down_ms, first=config.from_, count=config.count, seed=seed
        )
    length = 1000 * draw_value(generator, config.len_s)
    part, size, extra = (draw_value(generator, value) for value in (config.part, config.size, config.extra))
    return Happening(config.name, at, length, part, size, extra, config.steps, seed=seed)


def draw_servers(scenario: Scenario, generator: np.random.Generator) -> list[ServerPlan]:
    """Draw the servers: their kinds, zones and cells, and the properties of each."""
    fleet, conn = scenario.fleet, scenario.conn
    counts = split_by_shares([kind.share for kind in scenario.kinds], fleet.servers)
    kinds = [i for i, count in enumerate(counts) for _ in range(count)]
    generator.shuffle(kinds)
    skew = draw_value(generator, fleet.server_skew)
    shares = [max(0.1, 1.0 + skew * float(generator.uniform(-1, 1))) for _ in range(fleet.zones)]
    zones = [z for z, count in enumerate(split_by_shares(shares, fleet.servers)) for _ in range(count)]
    cell_size = max(1, round(draw_value(generator, fleet.cell_size)))
    speeds = [draw_value(generator, kind.speed) for kind in scenario.kinds]
    spreads = [draw_value(generator, kind.speed_cv) for kind in scenario.kinds]
    connections, tax = draw_value(generator, conn.cap_per_core), draw_value(generator, conn.full_tax)
    kind_values = [
        (
            draw_value(generator, kind.slots_per_core),
            draw_value(generator, kind.queue_per_core),
            draw_value(generator, kind.thrash),
            draw_value(generator, kind.thrash_at),
            draw_value(generator, kind.cold_from),
            1000 * draw_value(generator, kind.cold_s),
            draw_value(generator, kind.error_rate),
        )
        for kind in scenario.kinds
    ]
    plans = []
    for number, (kind_index, zone) in enumerate(zip(kinds, zones, strict=True)):
        cores = scenario.kinds[kind_index].cores
        slots, queue, thrash, thrash_at, cold_from, cold_ms, error_rate = kind_values[kind_index]
        plans.append(
            ServerPlan(
                number=number,
                zone=zone,
                kind=kind_index,
                cell=number // cell_size,
                cores=cores,
                speed=speeds[kind_index] * float(lognormal(generator, spreads[kind_index], 1)[0]),
                slots=max(cores, round(slots * cores)),
                queue=round(queue * cores),
                thrash=thrash,
                thrash_at=thrash_at,
                cold_from=max(cold_from, scenario.rules.cold_from),
                cold_ms=cold_ms,
                error_rate=error_rate,
                connections=round(connections * cores),
                full_tax=tax,
            )
        )
    return plans


def draw_first_tries(
    scenario: Scenario,
    streams: RandomStreams,
    servers: list[ServerPlan],
    length: float,
    bursts: list[Happening],
) -> tuple[FirstTries, list[float]]:
    """Arrivals: a Poisson process with a slow wave and bursts, split over classes, tenants and zones.

    Returns the first tries and the quota of each tenant.
    """
    generator, load = streams.generator("arrivals"), scenario.load
    capacity = sum(plan.cores * plan.speed for plan in servers)  # ms of work per ms
    works = [draw_value(generator, c.work_ms) for c in scenario.classes]
    spreads = [draw_value(generator, c.cv) for c in scenario.classes]
    class_part = np.array([c.share for c in scenario.classes]) / sum(c.share for c in scenario.classes)
    mean_work = float(np.dot(class_part, works))
    rate = draw_value(generator, load.of_capacity) * capacity / mean_work  # per ms
    quota = draw_value(generator, load.quota_of_capacity) * capacity / mean_work * 1000
    swing, period = draw_value(generator, load.swing), 1000 * draw_value(generator, load.wave_s)
    phase = float(generator.uniform(0, 2 * np.pi))
    peak_rate = rate * (1 + swing) * max([1.0] + [burst.size for burst in bursts])
    count = int(generator.poisson(peak_rate * length))
    at = np.sort(generator.uniform(0, length, count))
    rate_at = rate * (1 + swing * np.sin(2 * np.pi * at / period + phase))
    for burst in bursts:
        rise = max(1000 * burst.extra, 1.0)
        up = np.clip((at - burst.at) / rise, 0, 1)
        down = np.clip((burst.at + burst.length - at) / rise, 0, 1)
        rate_at *= 1 + (burst.size - 1) * np.minimum(up, down)
    at = at[generator.uniform(0, peak_rate, count) < rate_at]
    n = len(at)
    cls = streams.generator("classes").choice(len(class_part), n, p=class_part)
    sizes = streams.generator("work")
    work = np.empty(n)
    for i, mean in enumerate(works):
        of_class = cls == i
        work[of_class] = mean * lognormal(sizes, spreads[i], int(of_class.sum()))
    tenants = [t.share * draw_value(generator, t.usage) for t in scenario.tenants] or [1.0]
    part = np.array(tenants) / sum(tenants)
    tenant = streams.generator("tenants").choice(len(part), n, p=part)
    skew = draw_value(generator, load.zone_skew)
    zone_part = 1 + skew * generator.uniform(-1, 1, scenario.fleet.zones)
    zone = streams.generator("zones").choice(scenario.fleet.zones, n, p=zone_part / zone_part.sum())
    tries = FirstTries(at.tolist(), cls.tolist(), tenant.tolist(), zone.tolist(), work.tolist())
    return tries, [quota * t.share for t in scenario.tenants]
