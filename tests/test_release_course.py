"""Releases on a farm in memory: updates, waits, rollbacks, and a controller killed at any point."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from flaxstep.rollout.io.store import ClaimLost, Store, StoreError
from flaxstep.rollout.release import Release, State
from tests.farms import FakeFarm, Run, plan

KINDS = ("servers", "nodes")


def versions(farm: FakeFarm, what: str) -> set[str]:
    if what == "servers":
        return {server.version for server in farm.servers.values()}
    return {version for doors in farm.doors.values() for version in doors.values()}


def nothing_out_of_service(farm: FakeFarm) -> bool:
    """Whether every server is in use and every node has one process."""
    return all(farm.in_use(s) for s in farm.servers) and all(len(doors) == 1 for doors in farm.doors.values())


@pytest.mark.parametrize("what", KINDS)
def test_a_good_version_is_released_wave_by_wave_and_leaves_nothing_out_of_service(
    tmp_path: Path, what: str
) -> None:
    farm = FakeFarm()
    run = Run(farm, plan(what), tmp_path / "state")
    assert run.run().state is State.DONE
    assert versions(farm, what) == {"v2"} and nothing_out_of_service(farm) and farm.most_out <= 1
    assert all(server.restarts in (["v2"], []) for server in farm.servers.values())


BAD = {
    "slower": ("worse than the rest", {}),
    "failing": ("worse than the rest", {}),
    "never ready": ("not ready", {}),
    "wrong": ("answers wrongly", {}),
    "hanging": ("not done after", {}),
}


@pytest.mark.parametrize("what", KINDS)
@pytest.mark.parametrize("fault", BAD)
@pytest.mark.parametrize("on_bad", ["back", "hold"])
def test_a_bad_version_is_halted_at_the_canary(tmp_path: Path, what: str, fault: str, on_bad: str) -> None:
    farm = FakeFarm(servers=6)
    farm.slowdown["v2"] = 2.0 if fault == "slower" and what == "servers" else 1.0
    farm.failure_share["v2"] = 0.1 if fault == "failing" else 0.002
    for name, versions_of in (
        ("never ready", farm.never_ready_versions), ("wrong", farm.wrong_versions),
        ("hanging", farm.hanging_versions),
    ):  # fmt: skip
        versions_of |= {"v2"} if fault == name else set()
    if what == "nodes" and fault in ("slower", "failing"):
        return  # this farm does not model how the version of a node affects its responses
    run = Run(farm, plan(what, f'on_bad = "{on_bad}"'), tmp_path / "state")
    release = run.run()
    assert release.state is (State.ROLLED_BACK if on_bad == "back" else State.HALTED), release
    assert BAD[fault][0] in release.why and release.wave == 0
    assert sum(len(server.restarts) for server in farm.servers.values()) <= 2
    if on_bad == "back":
        assert versions(farm, what) == {"v1"} and nothing_out_of_service(farm)


def test_a_failed_rollback_leaves_the_server_out_of_service_and_reports_it(tmp_path: Path) -> None:
    farm = FakeFarm()
    farm.never_ready_versions = {"v1", "v2"}
    run = Run(farm, plan(), tmp_path / "state")
    assert run.run().state is State.ROLLED_BACK
    [down] = [m for m in run.members.values() if m.phase.value.startswith("not in service")]
    assert not farm.servers[down.id].up and "not ready" in down.note
    assert sum(not farm.in_use(name) for name in farm.servers) == 1


WAITS = {
    "silent node": ("does not respond", lambda farm, on: farm.silent_nodes.update({"n1"} if on else ())),
    "burst": ("of the requested worth", lambda farm, on: setattr(farm, "served", 0.6 if on else 1.0)),
    "another's cordon": (
        "cordoned by somebody else",
        lambda farm, on: [out.add("s-2") for out in farm.cordons.values()],
    ),
}


@pytest.mark.parametrize("name", WAITS)
@pytest.mark.parametrize("heals", [True, False])
def test_a_release_waits_for_an_unfit_farm_and_gives_up_in_the_end(
    tmp_path: Path, name: str, heals: bool
) -> None:
    farm, (word, set_fault) = FakeFarm(servers=6), WAITS[name]
    run = Run(farm, plan(), tmp_path / "state")
    for _ in range(20):
        run.run_second()
    set_fault(farm, True)
    reasons = set()
    for _ in range(100):
        run.run_second()
        reasons.add(run.release.waiting)
        if heals and any(word in reason for reason in reasons):
            farm.silent_nodes.clear()
            farm.served = 1.0
            for out in farm.cordons.values():
                out.discard("s-2")
            break
    farm.silent_nodes.clear()  # it must respond in the end: members can return only then
    release = run.run()
    assert any(word in reason for reason in reasons), reasons
    assert release.state is (State.DONE if heals else State.ABANDONED)
    ours = {name for name in farm.servers if not farm.in_use(name)}
    assert ours <= ({"s-2"} if name == "another's cordon" else set())


def test_a_node_that_lost_its_cordons_is_sent_them_again_before_the_restart(tmp_path: Path) -> None:
    """The farm in memory asserts that nothing is restarted while a node may send to it."""
    farm = FakeFarm()
    run = Run(farm, plan(), tmp_path / "state")
    forgot = 0
    while not run.state_machine.finished:
        run.run_second()
        for member in run.members.values():
            if member.phase.value.startswith("out, waiting") and forgot < 3:
                farm.cordons["n2"].discard(member.id)
                forgot += 1
    assert run.release.state is State.DONE and forgot == 3 and nothing_out_of_service(farm)


def test_a_server_replaced_under_a_new_id_leaves_the_release_and_the_new_one_joins(tmp_path: Path) -> None:
    farm = FakeFarm()
    run = Run(farm, plan(), tmp_path / "state")
    for _ in range(12):
        run.run_second()
    farm.servers["s-9"] = farm.servers.pop("s-3")
    assert run.run().state is State.DONE
    assert run.members["s-3"].phase.value == "left the farm" and versions(farm, "servers") == {"v2"}


def test_operators_can_pause_resume_and_roll_back(tmp_path: Path) -> None:
    farm = FakeFarm()
    run = Run(farm, plan(), tmp_path / "state")
    while not any(server.version == "v2" for server in farm.servers.values()):
        run.run_second()
    assert (
        run.state_machine.apply_order("pause") == ""
        and run.state_machine.apply_order("pause") == "the release is paused"
    )
    for _ in range(40):
        run.run_second()
    assert nothing_out_of_service(farm) and sum(s.version == "v2" for s in farm.servers.values()) == 1
    assert run.state_machine.apply_order("resume") == ""
    for _ in range(10):
        run.run_second()
    assert run.state_machine.apply_order("back") == ""
    assert (
        run.run().state is State.ROLLED_BACK
        and versions(farm, "servers") == {"v1"}
        and nothing_out_of_service(farm)
    )


@pytest.mark.parametrize("what", KINDS)
@pytest.mark.parametrize("bad", [False, True])
def test_a_controller_killed_at_every_step_in_turn_leaves_no_member_out_of_service(
    tmp_path: Path, what: str, bad: bool
) -> None:
    """It is killed before the intent, between it and the action, and between the action and its result."""
    at = points = 0
    while at <= points:
        farm = FakeFarm(servers=4, nodes=3)
        if bad:
            farm.wrong_versions = {"v2"}
        run = Run(farm, plan(what), tmp_path / f"state-{at}")
        run.kill_at = {at} if at else set()
        release = run.run()
        points = points or run.kill_points
        assert release.state is (State.ROLLED_BACK if bad else State.DONE), (at, release)
        assert versions(farm, what) == ({"v1"} if bad else {"v2"}) and nothing_out_of_service(farm), at
        for server in farm.servers.values():  # a restart that took effect is not repeated
            assert server.restarts in ([], ["v2"], ["v2", "v1"]), (at, server.restarts)
        run.store.close()
        at += 1
    assert points >= 16 or bad


@pytest.mark.parametrize("seed", range(20))
def test_kills_and_silent_nodes_at_random_end_in_a_safe_state(tmp_path: Path, seed: int) -> None:
    chance, farm = random.Random(seed), FakeFarm(seed=seed)
    run = Run(farm, plan(), tmp_path / "state")
    run.kill_at = {chance.randint(1, 60) for _ in range(8)}
    while not run.state_machine.finished and farm.now < 900:
        farm.silent_nodes = {"n1"} if chance.random() < 0.05 else set()
        run.run_second()
    assert run.ended and nothing_out_of_service(farm) and farm.most_out <= 1
    assert len(versions(farm, "servers")) == 1 or run.release.state is State.ABANDONED


def test_only_one_controller_acts_and_one_that_lost_its_claim_writes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second = Store(tmp_path / "state"), Store(tmp_path / "state")
    first.acquire_claim()
    with pytest.raises(StoreError, match="acts on this farm"):
        second.acquire_claim()
    monkeypatch.setattr("flaxstep.rollout.io.store.LEASE_S", 0.0)  # the first was stopped for long
    second.acquire_claim()
    assert not first.holds_claim() and second.holds_claim()
    with pytest.raises(ClaimLost):
        first.write_intents(1, Release(), {}, [])
    first.release_claim()
    assert second.holds_claim()


def test_an_invalid_state_file_is_reported_in_one_line(tmp_path: Path) -> None:
    (tmp_path / "state").write_bytes(b"no database" * 100)
    with pytest.raises(StoreError, match="state: file is not a database"):
        Store(tmp_path / "state")
    with pytest.raises(StoreError, match="no release has been started"):
        Store(tmp_path / "none", must_exist=True)
