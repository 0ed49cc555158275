"""Plays a scenario with every kind of fault, as `rig play` does."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
from pathlib import Path

from flaxstep.faultbench.records import read_records
from flaxstep.faultbench.result import judge_play
from flaxstep.faultbench.runner import play
from flaxstep.faultbench.trace import build_trace
from flaxstep.simulator.sampling import draw_plan
from flaxstep.simulator.scenario import read_scenario
from tests.rigs import NODE, ROOT, SMALL

LINK_FAULTS = {
    "delay": "size = 20\njitter = 10",
    "rate": "size = 300000",
    "silent": 'way = "there"',
    "reset": "",
    "refuse": "",
    "hold": "",
}
PROCESS_FAULTS = {
    "stop": ("server:1", ""),
    "kill": ("server:2", ""),
    "restart": ("node:1", "keep = false"),
    "down": ("discovery", ""),
    "clock": ("node:0", "size = 2"),
    "disk": ("node:0", "size = 0"),
}
LINK_ENDS = (("node:0", "server:3"), ("node:1", "not region:east"), ("nodes", "region:east"))


def faults_toml() -> str:
    """The [rig] table and acts: each fault for 0.4 s in sequence, link and process faults concurrently."""
    lines = [
        "[rig]\nregions = { east = [1] }\nbody_bytes = [10, 200000]\nslow_part = 0.05\nearly_part = 0.05\n"
    ]
    lines.append("slow_bytes_s = 400000\n")
    for i, (name, extra) in enumerate(LINK_FAULTS.items()):
        between = LINK_ENDS[i % len(LINK_ENDS)]
        lines.append(f'[[rig.faults]]\nname = "{name}"\nat_s = {0.3 + 0.5 * i}\nfor_s = 0.4\n{extra}')
        lines.append(f'between = ["{between[0]}", "{between[1]}"]\n')
    for i, (name, (of, extra)) in enumerate(PROCESS_FAULTS.items()):
        lines.append(
            f'[[rig.faults]]\nname = "{name}"\nat_s = {0.4 + 0.5 * i}\nfor_s = 0.4\nof = "{of}"\n{extra}\n'
        )
    acts = ('name = "upgrade"\nat_s = 3.6', 'name = "quiesce"\nat_s = 4\nfrom = 1\nfor_s = 0.5')
    return "\n".join(lines) + "".join(f"[[acts]]\n{act}\n" for act in acts)


def test_every_fault_of_a_scenario_is_played_and_no_rule_is_broken(tmp_path: Path) -> None:
    path = tmp_path / "scenario.toml"
    path.write_text(SMALL.format(seconds=5, nodes=2, load=0.3) + faults_toml())
    scenario = read_scenario(path)
    progress_lines: list[str] = []
    asyncio.run(
        play(scenario, path, 5, tmp_path / "play", lambda _, __, what: progress_lines.append(what), run=NODE)
    )
    result = judge_play(scenario, 5, tmp_path / "play")
    trace = build_trace(read_records(tmp_path / "play"), draw_plan(scenario, 5), scenario.rig.regions)
    assert not [line for line in trace.events if line.what == "step failed"]
    assert not result.breaches
    assert {fault.kind for fault, _ in trace.faults} == set(LINK_FAULTS)
    assert all(span.end - span.start < 3000 for _, span in trace.faults)
    recorded_events = {line.what for line in trace.events}
    assert {
        "stopped",
        "goes on",
        "killed",
        "term",
        "clock",
        "disk",
        "down",
        "up",
        "quiesce yes",
    } <= recorded_events
    assert result.verdict.served > 0.3
    assert max(one.sent.at for one in trace.tries.values()) > 4500


def test_the_old_path_of_the_commands_leads_to_them() -> None:
    """Release plans stored before the package was renamed to faultbench run flaxstep/rig/hand.py."""
    outcomes = []
    for path in ("flaxstep/faultbench/commands.py", "flaxstep/rig/hand.py"):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            command = [sys.executable, "-B", str(ROOT / path), address, "restart", "s-99", "v2"]
            process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
            listener.settimeout(20.0)
            connection, _ = listener.accept()
            with connection, connection.makefile("rwb") as lines:
                call = json.loads(lines.readline())
                lines.write(b'{"ok": false, "text": "no server s-99"}\n')
                lines.flush()
            out, errors = process.communicate(timeout=20.0)
            outcomes.append((call, process.returncode, out, errors))
    assert outcomes == [(["restart", "s-99", "v2"], 1, "", "no server s-99\n")] * 2
