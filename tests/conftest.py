"""Skips the tests that KNOWN-RED.txt lists and reports each; a malformed list is a usage error."""

from __future__ import annotations

import pytest

from tests import known_red

KNOWN_REDS = pytest.StashKey[list[known_red.KnownRed]]()


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
