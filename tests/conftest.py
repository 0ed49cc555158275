"""Passes over the tests that KNOWN-RED.txt names, and says so; the list itself has to be in order."""

from __future__ import annotations

import pytest

from tests import known_red

REDS = pytest.StashKey[list[known_red.KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    path = config.rootpath / "KNOWN-RED.txt"
    try:
        config.stash[REDS] = known_red.read(path.read_text() if path.exists() else "")
    except known_red.BadList as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)  # before any are deselected
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    reds = config.stash[REDS]
    if config.args_source is pytest.Config.ArgsSource.TESTPATHS:  # else not all tests are here
        for red in known_red.unknown(reds, (item.nodeid for item in items)):
            raise pytest.UsageError(f"KNOWN-RED.txt: {red.test} names no test")
    for item in items:
        for red in reds:
            if red.names(item.nodeid):
                item.add_marker(pytest.mark.skip(reason=f"known red, issue {red.issue}: {red.cause}"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in config.stash[REDS]:
        terminalreporter.write_line(f"KNOWN RED, passed over: {red.test} (issue {red.issue}: {red.cause})")
