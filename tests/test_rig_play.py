"""A scenario with every kind of fault in it, played as 'rig play' plays it."""

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

LINKS = {
    "delay": "size = 20\njitter = 10",
    "rate": "size = 300000",
    "silent": 'way = "there"',
    "reset": "",
    "refuse": "",
    "hold": "",
}
PROCESSES = {
    "stop": ("server:1", ""),
    "kill": ("server:2", ""),
    "restart": ("node:1", "keep = false"),
    "down": ("discovery", ""),
    "clock": ("node:0", "size = 2"),
    "disk": ("node:0", "size = 0"),
}
ENDS = (("node:0", "server:3"), ("node:1", "not region:east"), ("nodes", "region:east"))


def faults() -> str:
    """Each fault for 0.4 s, one after the other; those of processes beside those of links."""
    lines = [
        "[rig]\nregions = { east = [1] }\nbody_bytes = [10, 200000]\nslow_part = 0.05\nearly_part = 0.05\n"
    ]
    lines.append("slow_bytes_s = 400000\n")
    for i, (name, more) in enumerate(LINKS.items()):
        between = ENDS[i % len(ENDS)]
        lines.append(f'[[rig.faults]]\nname = "{name}"\nat_s = {0.3 + 0.5 * i}\nfor_s = 0.4\n{more}')
        lines.append(f'between = ["{between[0]}", "{between[1]}"]\n')
    for i, (name, (whom, more)) in enumerate(PROCESSES.items()):
        lines.append(
            f'[[rig.faults]]\nname = "{name}"\nat_s = {0.4 + 0.5 * i}\nfor_s = 0.4\nof = "{whom}"\n{more}\n'
        )
    acts = ('name = "upgrade"\nat_s = 3.6', 'name = "quiesce"\nat_s = 4\nfrom = 1\nfor_s = 0.5')
    return "\n".join(lines) + "".join(f"[[acts]]\n{act}\n" for act in acts)


def test_every_fault_of_a_scenario_is_played_and_no_rule_is_broken(tmp_path: Path) -> None:
    path = tmp_path / "scenario.toml"
    path.write_text(SMALL.format(seconds=5, nodes=2, load=0.3) + faults())
    scenario = read_scenario(path)
    seen: list[str] = []
    asyncio.run(play(scenario, path, 5, tmp_path / "play", lambda _, __, what: seen.append(what), run=NODE))
    result = judge_play(scenario, 5, tmp_path / "play")
    trace = build_trace(read_records(tmp_path / "play"), draw_plan(scenario, 5), scenario.rig.regions)
    assert not [line for line in trace.events if line.what == "step failed"]
    assert not result.breaches
    assert {fault.kind for fault, _ in trace.faults} == set(LINKS)
    assert all(span.end - span.start < 3000 for _, span in trace.faults)
    done = {line.what for line in trace.events}
    assert {"stopped", "goes on", "killed", "term", "clock", "disk", "down", "up", "quiesce yes"} <= done
    assert result.verdict.served > 0.3
    assert max(one.sent.at for one in trace.tries.values()) > 4500


def test_the_old_path_of_the_commands_leads_to_them() -> None:
    """Release plans that were stored before the fault bench had its name call flaxstep/rig/hand.py."""
    answered = []
    for path in ("flaxstep/faultbench/commands.py", "flaxstep/rig/hand.py"):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            place = f"127.0.0.1:{listener.getsockname()[1]}"
            words = [sys.executable, "-B", str(ROOT / path), place, "restart", "s-99", "v2"]
            process = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
            listener.settimeout(20.0)
            connection, _ = listener.accept()
            with connection, connection.makefile("rwb") as lines:
                asked = json.loads(lines.readline())
                lines.write(b'{"ok": false, "text": "no server s-99"}\n')
                lines.flush()
            out, errors = process.communicate(timeout=20.0)
            answered.append((asked, process.returncode, out, errors))
    assert answered == [(["restart", "s-99", "v2"], 1, "", "no server s-99\n")] * 2
