"""The schedule of a play, the validation of its faults, and the HTML report of its result."""

from __future__ import annotations

import re
import xml.etree.ElementTree as ET
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from flaxstep.cli import main
from flaxstep.faultbench.report import render_report
from flaxstep.faultbench.result import Result, Second, TableRow
from flaxstep.faultbench.rule_checks import Breach
from flaxstep.faultbench.schedule import Schedule
from flaxstep.simulator.sampling import draw_plan
from flaxstep.simulator.scenario import Act, ScenarioError, Trouble, parse_scenario, read_scenario
from flaxstep.simulator.scoring import Verdict
from flaxstep.simulator.simulation import Outcomes

DEMO = Path(__file__).parent.parent / "scenarios" / "demo.toml"


def test_the_schedule_depends_on_the_seed_and_every_fault_that_begins_also_ends() -> None:
    scenario = read_scenario(DEMO)
    names = (
        "slow",
        "fast_errors",
        "lost",
        "resets",
        "pauses",
        "neighbour",
        "cut",
        "replace",
        "kill",
        "burst",
    )
    troubles = [Trouble(name, at_s=(5, 9), len_s=4, part=0.3, size=0.5, extra=0.5) for name in names]
    acts = [Act(name, at_s=20, for_s=3) for name in ("cordon", "quiesce", "upgrade", "restart")]
    scenario = msgspec.structs.replace(scenario, troubles=troubles, acts=acts)
    one, again, other = (Schedule(scenario, draw_plan(scenario, seed)).steps for seed in (3, 3, 4))
    assert one == again != other and one == sorted(one, key=lambda step: step.at)
    last: dict[str, object] = {}
    for step in one:
        if step.do == "set_server":
            last |= {
                f"{step.arguments['server']} {key}": v for key, v in step.arguments.items() if key != "server"
            }
    assert set(last.values()) <= {1.0, 0.0}  # every changed setting is reset
    done = [step.do for step in one]
    for begin, end in (("fault", "heal"), ("cordon", "uncordon"), ("quiesce", "resume"), ("kill", "start")):
        assert 0 < done.count(begin) <= done.count(end)


@pytest.mark.parametrize(
    ("fault", "words"),
    [
        ('name = "silent"\nat_s = 1', "rig.faults[0].between: silent needs two ends"),
        ('name = "silent"\nat_s = 1\nbetween = ["node:0", "moon"]', "'moon' names no process"),
        ('name = "silent"\nat_s = 1\nbetween = ["node:9", "*"]', "there are 3"),
        ('name = "silent"\nat_s = 1\nbetween = ["region:west", "*"]', "no such region"),
        ('name = "kill"\nat_s = 1', "of: kill needs one process"),
        ('name = "kill"\nat_s = 1\nof = "server:11"', "there are 9"),
        ('name = "disk"\nat_s = 1\nof = "server:1"', "of: disk is for nodes"),
        ('name = "term"\nat_s = 1\nof = "front"', "of: term is for nodes and servers"),
        ('name = "down"\nat_s = 1\nof = "node:1"', "of: down is for discovery"),
        ('name = "melt"\nat_s = 1', "rig.faults[0].name"),
    ],
)
def test_an_invalid_fault_is_rejected_with_one_line_that_names_its_key(fault: str, words: str) -> None:
    text = re.sub(r"\[\[rig.faults\]\][^[]*", f"[[rig.faults]]\n{fault}\n\n", DEMO.read_text())
    with pytest.raises(ScenarioError) as error:
        parse_scenario(text)
    assert words in str(error.value) and "\n" not in str(error.value)


def test_the_simulator_rejects_a_scenario_with_process_faults() -> None:
    done = CliRunner().invoke(main, ["lab", "play", str(DEMO)])
    assert done.exit_code == 2 and "rig.faults" in done.output and done.output.count("\n") == 1


def test_a_folder_that_is_not_empty_is_left_untouched(tmp_path: Path) -> None:
    (tmp_path / "mine").write_text("kept")
    done = CliRunner().invoke(main, ["demo", "--out", str(tmp_path)])
    assert done.exit_code == 2 and "exists already" in done.output
    assert [path.name for path in tmp_path.iterdir()] == ["mine"]


def test_the_report_needs_no_other_file_and_lists_the_breaches() -> None:
    rows = [TableRow("a <b>", asked=10.0, earned=5.0, in_time=3), TableRow("c")]
    verdict = Verdict(0.5, 0.6, 0.4, 1, 0.5, 0.5, {}, {}, {}, 1)
    second = Second(10.0, 5.0, [1, 0], [0, 2], [0.5, 3.0, 1.0])
    outcomes = Outcomes(*([0, 0] for _ in range(6)))
    latencies = {"a <b>": {"p50": 12.0, "p99": 80.0}}
    bands = [("cordon", 1.0, 3.0), ("silent zone:0 - zone:1", 9.0, 12.0)]
    listed_breaches = [Breach("duplicate", 1234.5, 1, "00ff", 2, "ran <twice>")]
    result = Result(
        "day & night", 7, 12, 100, 120, verdict, outcomes, rows, rows, rows, [second] * 12, latencies, {}, 4,
        bands, listed_breaches, 1, 0, 0,
    )  # fmt: skip
    page = render_report(result)
    assert page == render_report(result)  # rendering is reproducible
    assert (
        "day &amp; night" in page
        and "a &lt;b&gt;" in page
        and "ran &lt;twice&gt;" in page
        and "1.234" in page
    )
    assert "rules broken 1 times" in page and "silent zone:0 - zone:1, 9 to 12 s" in page
    assert not re.search(
        r"<(script|link|img)\b|(?:src|href)=\"(?!#|data:)", page.replace("xlink:href", "href")
    )
    plots = re.findall(r"<svg.*?</svg>", page, re.S)
    assert len(plots) == 5
    ids = [element.get("id") for plot in plots for element in ET.fromstring(plot).iter() if element.get("id")]
    clips = [name for name in ids if re.fullmatch(r"[pm][0-9a-f]{8,}", name or "")]
    assert clips and len(set(clips)) == len(clips)  # a clip path id used twice would clip another plot
