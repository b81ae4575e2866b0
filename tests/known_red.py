"""Tests that are known to fail for a real fault: `KNOWN-RED.txt` at the root names them, three at most.

A line is `test: cause: issue`. A run passes over just these and prints them. A fourth line, one of another
form, a test that is not there, or a listed test that passes fails the run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED_FILE = "KNOWN-RED.txt"
MAX_KNOWN_RED_TESTS = 3  # so that the list stays an exception
CAUSES = pytest.StashKey[dict[str, str]]()
"""Each listed test with its cause and issue."""


def parse_known_red(text: str) -> dict[str, str]:
    """Return each test with its cause and issue; ValueError says in one line what is wrong."""
    causes: dict[str, str] = {}
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED_TESTS:
        raise ValueError(f"{KNOWN_RED_FILE} names {len(lines)} tests: {MAX_KNOWN_RED_TESTS} at most")
    for line in lines:
        parts = [part.strip() for part in line.split(": ", 2)]
        if len(parts) < 3 or not all(parts) or "::" not in parts[0] or parts[0] in causes:
            raise ValueError(
                f"{KNOWN_RED_FILE}: {line!r} is not of the form `test: cause: issue`, each test once"
            )
        causes[parts[0]] = f"{parts[1]}: {parts[2]}"
    return causes


def pytest_configure(config: pytest.Config) -> None:
    """Read the list; a wrong one is a usage error."""
    path = Path(config.rootpath, KNOWN_RED_FILE)
    try:
        causes = parse_known_red(path.read_text(encoding="utf-8")) if path.exists() else {}
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[CAUSES] = causes


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that is not there is a usage error in a run of all tests."""
    items_by_test = {item.nodeid: item for item in items}
    for test, cause in config.stash[CAUSES].items():
        if test in items_by_test:
            items_by_test[test].add_marker(pytest.mark.xfail(reason=cause, strict=True))
        elif config.args_source is not pytest.Config.ArgsSource.ARGS:
            raise pytest.UsageError(f"{KNOWN_RED_FILE}: there is no test {test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the tests that are passed over."""
    for test, cause in config.stash[CAUSES].items():
        terminalreporter.write_line(f"known red, passed over: {test}: {cause}")
