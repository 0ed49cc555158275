"""Which package may import which, and that no modules import one another in a circle."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
REST = "flaxstep"  # the command line, the simulator, the fault bench and what else is in no package below
MAY: dict[str, set[str]] = {
    "flaxstep.routing": set(),
    "flaxstep.proxy": {"flaxstep.routing"},
    "flaxstep.rollout": set(),
    REST: {"flaxstep.routing", "flaxstep.proxy", "flaxstep.rollout"},
}


def package_of(module: str) -> str | None:
    """The package that a module belongs to; None for a module of somebody else."""
    for package in sorted(MAY, key=len, reverse=True):
        if module == package or module.startswith(f"{package}."):
            return package
    return None


def modules(package: str) -> dict[str, Path]:
    found = {".".join(p.relative_to(ROOT).with_suffix("").parts): p for p in (ROOT / REST).rglob("*.py")}
    return {name: path for name, path in found.items() if package_of(name) == package}


def imported(path: Path) -> set[str]:
    """Every module that a file names, in functions and under TYPE_CHECKING too."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            found |= {node.module} | {f"{node.module}.{name.name}" for name in node.names}
    return found


@pytest.mark.parametrize("package", MAY)
def test_a_package_imports_only_what_it_may(package: str) -> None:
    others = set(MAY) - {package} - MAY[package]
    inside = modules(package)
    assert inside
    for path in inside.values():
        assert not {name for name in imported(path) if package_of(name) in others}, path


@pytest.mark.parametrize("package", MAY)
def test_the_modules_of_a_package_form_no_circle(package: str) -> None:
    inside = modules(package)
    graph = {name: imported(path) & set(inside) - {name} for name, path in inside.items()}
    assert list(TopologicalSorter(graph).static_order())  # raises CycleError, which names the circle
