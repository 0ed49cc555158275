"""Limits on the source text of the decision module and its package."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_every_module_of_the_routing_package_keeps_to_110_columns() -> None:
    modules = sorted((ROOT / "flaxstep" / "routing").glob("*.py"))
    assert ROOT / "flaxstep" / "routing" / "policy.py" in modules
    for module in modules:
        assert max(map(len, module.read_text().splitlines()), default=0) <= 110, module.name


def test_module_names_its_interface_at_the_top() -> None:
    first_line = (ROOT / "flaxstep" / "routing" / "policy.py").read_text().splitlines()[0]
    assert "flaxstep/routing/interface.py" in first_line
