"""The promises made of the module's text."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_module_stays_short_and_narrow() -> None:
    lines = (ROOT / "flaxstep" / "routing" / "policy.py").read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 800
    assert max(map(len, lines)) <= 110


def test_module_names_its_interface_at_the_top() -> None:
    first_line = (ROOT / "flaxstep" / "routing" / "policy.py").read_text().splitlines()[0]
    assert "flaxstep/routing/interface.py" in first_line
