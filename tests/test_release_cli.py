"""The command line of releases: its errors, its output, and orders of operators."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from flaxstep.cli import main
from flaxstep.rollout.actions import Action, ActionKind, ActionResult, MemberState
from flaxstep.rollout.farm import read_farm
from flaxstep.rollout.io.controller import resume_or_create_release
from flaxstep.rollout.io.store import Store, StoreError
from flaxstep.rollout.release import Release, State
from tests.farms import plan

FARM = """
name = "farm"
discovery = "127.0.0.1:1"
state = "kept/state"
[[nodes]]
name = "n0"
doors = ["127.0.0.1:1"]
"""
PLAN = """
name = "v2"
what = "servers"
from = "v1"
to = "v2"
commands = { restart = ["true", "{id}"] }
"""


def run_release_command(folder: Path, *words: str) -> Result:
    return CliRunner().invoke(main, ["release", *words, "--farm", str(folder / "farm.toml")])


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "farm.toml").write_text(FARM)
    (tmp_path / "plan.toml").write_text(PLAN)
    return tmp_path


@pytest.mark.parametrize(
    ("farm", "words"),
    [
        ("name = 3", ["name: ", "discovery: is missing", "state: is missing", "nodes: is missing"]),
        (FARM + '[[nodes]]\nname = "n0"\ndoors = ["here"]\n', ["nodes[1].doors[0]: "]),
        (
            FARM + '[[nodes]]\nname = "n0"\ndoors = ["127.0.0.1:1"]\n',
            ["node n0 is listed twice", "door 127.0.0.1:1"],
        ),
        (FARM.replace("[[nodes]]", "[nodes]"), ["nodes: an array of tables is required"]),
        ("name = ", ["not TOML"]),
        (None, ["farm.toml: No such file or directory"]),
    ],
)
def test_every_fault_of_a_farm_file_is_reported(folder: Path, farm: str | None, words: list[str]) -> None:
    (folder / "farm.toml").unlink()
    if farm is not None:
        (folder / "farm.toml").write_text(farm)
    for command in (["status"], ["run", str(folder / "plan.toml")], ["check", str(folder / "plan.toml")]):
        done = run_release_command(folder, *command)
        assert done.exit_code == 2 and all(word in done.output for word in words), done.output
        assert len(done.output.splitlines()) == len(words)


def test_commands_report_that_a_farm_is_missing(folder: Path) -> None:
    for command, word in (
        (["status"], "no release has been started"),
        (["pause"], "no release has been started"),
        (["check", str(folder / "plan.toml")], "the list service at 127.0.0.1:1 does not respond"),
        (["run", str(folder / "plan.toml")], "the list service at 127.0.0.1:1 does not respond"),
    ):
        done = run_release_command(folder, *command)
        assert done.exit_code == 2 and word in done.output and len(done.output.splitlines()) == 1


def test_an_open_release_resumes_with_another_on_bad_but_not_with_another_plan(folder: Path) -> None:
    farm, store, first = read_farm(folder / "farm.toml"), Store(folder / "kept" / "state"), plan()
    store.acquire_claim()
    number = store.create_release(first, Release(), {"s-1": MemberState("s-1", "a", 1.0, "v1")})
    found = asyncio.run(resume_or_create_release(farm, store, plan(watch='on_bad = "hold"')))
    assert (found.id, found.plan.watch.on_bad) == (number, "hold")
    with pytest.raises(StoreError, match="is not over"):
        asyncio.run(resume_or_create_release(farm, store, plan(watch="slower = 2")))
    store.close()


def test_status_history_and_orders_of_a_release_without_a_controller(folder: Path) -> None:
    store = Store(folder / "kept" / "state")
    store.acquire_claim()
    members = {"s-1": MemberState("s-1", "a", 1.0, "v1"), "s-2": MemberState("s-2", "b", 1.0, "v1", wave=1)}
    number = store.create_release(
        plan(), Release(state=State.IN_PROGRESS, waiting="node n0 does not respond"), members
    )
    [action] = store.write_intents(
        number, Release(state=State.IN_PROGRESS), members, [Action(ActionKind.CORDON, "s-1")]
    )
    store.write_result(
        number, Release(state=State.IN_PROGRESS), members, action, ActionResult(False, "n0: no answer")
    )
    assert f"process {store.holder().split()[-1]}" in run_release_command(folder, "status").output
    store.release_claim()

    status = json.loads(run_release_command(folder, "status", "--json").output)
    assert (status["state"], status["wave"], status["waves"], status["controller"]) == ("under way", 1, 2, "")
    assert [member["id"] for member in status["members"]] == ["s-1", "s-2"]
    [line] = json.loads(run_release_command(folder, "history", "--json").output)
    assert (line["act"], line["member"], line["ok"], line["said"]) == (
        "cordon",
        "s-1",
        False,
        "n0: no answer",
    )
    assert "no: n0: no answer" in run_release_command(folder, "history").output
    assert run_release_command(folder, "close").exit_code == 2  # it is under way
    paused = run_release_command(folder, "pause")
    assert paused.exit_code == 0 and "no controller runs" in paused.output
    assert [what for _, what in store.pending_orders(number)] == ["pause"]

    store.acquire_claim()
    with store.transaction():
        store.save(number, Release(state=State.HALTED), members)
    store.release_claim()
    assert run_release_command(folder, "close").exit_code == 0
    assert "is over: halted" in run_release_command(folder, "back").output
    store.close()
