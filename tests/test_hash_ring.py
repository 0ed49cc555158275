"""The hash ring and the fleet's figures: incremental changes give the same result as a rebuild."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from flaxstep.routing.hash_ring import HashRing
from flaxstep.routing.interface import (
    Cordon,
    Effect,
    ListKind,
    RequestClass,
    ServerEntry,
    ServerList,
    Settings,
    State,
    Uncordon,
)
from flaxstep.routing.policy import Policy

counts = st.dictionaries(st.integers(1, 40), st.integers(0, 17), max_size=12)


@given(st.lists(counts, max_size=6))
def test_a_changed_ring_equals_a_rebuilt_one(changes: list[dict[int, int]]) -> None:
    ring, expected_counts = HashRing(), {100 + i: 17 for i in range(50)}
    ring.assign(expected_counts)
    for change in changes:
        ring.update(change)
        expected_counts |= change
    rebuilt = HashRing()
    rebuilt.assign(expected_counts)
    assert len(ring) == len(rebuilt) == sum(expected_counts.values())
    assert [ring.find_endpoint(key, n) for key in range(60) for n in (0, 1)] == [
        rebuilt.find_endpoint(key, n) for key in range(60) for n in (0, 1)
    ]


CLASS = RequestClass(aim=1000.0, deadline=2000.0, worth=1.0, effect=Effect.SAFE)
SETTINGS = Settings(classes=(CLASS,), cold_from=0.2, ramp_time=5000.0, max_attempts=2)
entries = st.builds(
    ServerEntry,
    id=st.integers(1, 30),
    zone=st.just(0),
    kind=st.integers(0, 2),
    cell=st.just(0),
    state=st.sampled_from(State),
    size=st.sampled_from([0.0, 1.0, 2.0]),
    started=st.sampled_from([0.0, 900.0, 2500.0]),
)
events = st.lists(
    st.builds(ServerList, st.sampled_from([ListKind.DELTA, ListKind.FULL]), st.just(1), st.lists(entries))
    | st.builds(Cordon, st.integers(1, 30))
    | st.builds(Uncordon, st.integers(1, 30), st.just(1000.0)),
    max_size=12,
)


@given(events)
def test_fleet_figures_updated_by_changes_equal_recomputed_ones(history: list[object]) -> None:
    policy = Policy(SETTINGS, 1)
    for step, event in enumerate(history):
        policy.handle(1000.0 + 100 * step, event)  # type: ignore[arg-type]
        ready = {
            i: s.entry
            for i, s in policy.endpoints.items()
            if s.entry.state is State.READY and i not in policy.cordoned
        }
        assert set(policy.ready_servers) == set(ready) == set(policy.subset_servers)
        assert sum(map(len, policy.ready_by_size_and_kind.values())) == len(ready)
        warm = max(sum(policy.compute_cold_share(policy.endpoints[i]) for i in ready), 1.0)
        assert abs(policy.warm_servers - warm) < 1e-9
        strengths = [policy.compute_capacity(policy.endpoints[i]) for i in ready]
        assert abs(policy.mean_capacity - sum(strengths) / max(1, len(ready))) < 1e-9
        assert len(policy.ring) == sum(policy.count_ring_points(*policy.get_size_and_kind(i)) for i in ready)
        assert all(s.entry.state is not State.GONE for s in policy.endpoints.values())
