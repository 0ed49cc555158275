"""Checks which package may import which, and that no package has an import cycle."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Stands for each module outside the packages below: the command line, the simulator and the fault bench.
REMAINING_MODULES = "flaxstep"
ALLOWED_IMPORTS: dict[str, set[str]] = {
    "flaxstep.routing": set(),
    "flaxstep.proxy": {"flaxstep.routing"},
    "flaxstep.rollout": set(),
    REMAINING_MODULES: {"flaxstep.routing", "flaxstep.proxy", "flaxstep.rollout"},
}


def package_of(module: str) -> str | None:
    """Returns the package that a module belongs to, or None for a module from outside this project."""
    for package in sorted(ALLOWED_IMPORTS, key=len, reverse=True):
        if module == package or module.startswith(f"{package}."):
            return package
    return None


def modules_of(package: str) -> dict[str, Path]:
    module_paths = {
        ".".join(p.relative_to(ROOT).with_suffix("").parts): p
        for p in (ROOT / REMAINING_MODULES).rglob("*.py")
    }
    return {name: path for name, path in module_paths.items() if package_of(name) == package}


def imported_modules(path: Path) -> set[str]:
    """Returns every module that a file imports, also inside functions and under TYPE_CHECKING."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            found |= {node.module} | {f"{node.module}.{name.name}" for name in node.names}
    return found


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_package_imports_only_allowed_packages(package: str) -> None:
    forbidden = set(ALLOWED_IMPORTS) - {package} - ALLOWED_IMPORTS[package]
    modules = modules_of(package)
    assert modules
    for path in modules.values():
        assert not {name for name in imported_modules(path) if package_of(name) in forbidden}, path


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_package_has_no_import_cycle(package: str) -> None:
    modules = modules_of(package)
    graph = {name: imported_modules(path) & set(modules) - {name} for name, path in modules.items()}
    assert list(TopologicalSorter(graph).static_order())  # a cycle raises CycleError, which names its modules
