"""Skips the tests that KNOWN-RED.txt lists and reports each; a malformed list is a usage error.

The modules are compiled first, as by the build of the deploy file: a node that compiles them at its start
takes more memory for good.
"""

from __future__ import annotations

import shlex
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests import known_red

KNOWN_REDS = pytest.StashKey[list[known_red.KnownRed]]()


ROOT = Path(__file__).parents[1]


@pytest.fixture(scope="session", autouse=True)
def compiled_modules() -> None:
    """Run the last step of the deploy file's build with this interpreter."""
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    _, *arguments = shlex.split(build.rpartition("&&")[2])
    assert arguments[:2] == ["-m", "compileall"]
    subprocess.run([sys.executable, *arguments], cwd=ROOT, check=True)


def pytest_configure(config: pytest.Config) -> None:
    path = config.rootpath / "KNOWN-RED.txt"
    try:
        config.stash[KNOWN_REDS] = known_red.parse_list(path.read_text() if path.exists() else "")
    except known_red.InvalidList as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)  # before pytest deselects any, so that the check of the list sees all tests
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    reds = config.stash[KNOWN_REDS]
    # With paths on the command line only some of the tests are collected.
    if config.args_source is pytest.Config.ArgsSource.TESTPATHS:
        for red in known_red.find_stale_entries(reds, (item.nodeid for item in items), config.rootpath):
            raise pytest.UsageError(f"KNOWN-RED.txt: {red.test} names no test and no script")
    for item in items:
        for red in reds:
            if red.matches(item.nodeid):
                item.add_marker(pytest.mark.skip(reason=f"known red, issue {red.issue}: {red.seen}"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in config.stash[KNOWN_REDS]:
        terminalreporter.write_line(f"KNOWN RED, passed over: {red}")
