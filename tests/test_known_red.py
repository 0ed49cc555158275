"""The list of known red tests, played by a test run of its own in another folder."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
GOOD = "tests/test_it.py::test_red | a fault | issue 7\n"


def play(root: Path, listed: str | None) -> tuple[int, str]:
    """Exit code and output of pytest over one green and two red tests."""
    (root / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(HERE / name, root / "tests" / name)
    (root / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (root / "tests" / "test_it.py").write_text(
        "import pytest\n"
        "def test_green(): pass\n"
        "@pytest.mark.parametrize('n', [1, 2])\n"
        "def test_red(n): raise AssertionError('red')\n"
    )
    if listed is not None:
        (root / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=root,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


def test_a_listed_test_is_passed_over_and_printed(tmp_path: Path) -> None:
    code, out = play(tmp_path, GOOD)
    assert code == 0 and "1 passed, 2 skipped" in out
    assert "KNOWN RED, passed over: tests/test_it.py::test_red (issue 7: a fault)" in out


@pytest.mark.parametrize("listed", [None, ""])
def test_without_the_list_red_is_red(tmp_path: Path, listed: str | None) -> None:
    code, out = play(tmp_path, listed)
    assert code == 1 and "2 failed, 1 passed" in out and "KNOWN RED" not in out


@pytest.mark.parametrize(
    ("listed", "words"),
    [
        (GOOD + "tests/test_it.py::test_gone | a fault | issue 7\n", "test_gone names no test"),
        ("".join(f"tests/test_it.py::test_{i} | a fault | issue 7\n" for i in range(4)), "3 at most"),
        (GOOD + GOOD, "named twice"),
        (GOOD + "\n", "line 2"),
        ("tests/test_it.py::test_red\n", "line 1"),
        ("tests/test_it.py::test_red | | issue 7\n", "line 1"),
        ("tests/test_it.py::test_red | a fault | soon\n", "line 1"),
        ("# tests/test_it.py::test_red | a fault | issue 7\n", "line 1"),
    ],
)
def test_a_list_that_is_not_in_order_fails(tmp_path: Path, listed: str, words: str) -> None:
    code, out = play(tmp_path, listed)
    assert code != 0 and words in out and "Traceback" not in out
