"""The rooms: who may import whom, and that no modules import one another in a circle."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MAY: dict[str, set[str]] = {
    "cottonhall": set(),
    "badgercart": {"cottonhall"},
    "releases": set(),
    "flaxstep": {"cottonhall", "badgercart", "releases"},
}


def modules(room: str) -> dict[str, Path]:
    return {".".join(p.relative_to(ROOT).with_suffix("").parts): p for p in (ROOT / room).rglob("*.py")}


def imported(path: Path) -> set[str]:
    """Every module that a file names, in functions and under TYPE_CHECKING too."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            found |= {node.module} | {f"{node.module}.{name.name}" for name in node.names}
    return found


@pytest.mark.parametrize("room", MAY)
def test_a_room_imports_only_what_it_may(room: str) -> None:
    others = set(MAY) - {room} - MAY[room]
    for path in modules(room).values():
        assert not {name for name in imported(path) if name.split(".")[0] in others}, path


@pytest.mark.parametrize("room", MAY)
def test_the_modules_of_a_room_form_no_circle(room: str) -> None:
    inside = modules(room)
    graph = {name: imported(path) & set(inside) - {name} for name, path in inside.items()}
    assert list(TopologicalSorter(graph).static_order())  # raises CycleError, which names the circle
