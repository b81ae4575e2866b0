"""Tests that are known to fail for a real fault: `KNOWN-RED.txt` at the root names them, three at most.

A line is `test: cause: issue`. A run passes over just these and prints them. A fourth line, one of another
form, a test that is not there, or a listed test that passes fails the run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


def read(text: str) -> dict[str, str]:
    """Each test with its cause and issue; ValueError says in one line what is wrong."""
    known: dict[str, str] = {}
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ValueError(f"{FILE} names {len(lines)} tests: {MOST} at most")
    for line in lines:
        parts = [part.strip() for part in line.split(": ", 2)]
        if len(parts) < 3 or not all(parts) or "::" not in parts[0] or parts[0] in known:
            raise ValueError(f"{FILE}: {line!r} is no line of the form `test: cause: issue`, each test once")
        known[parts[0]] = f"{parts[1]}: {parts[2]}"
    return known


def pytest_configure(config: pytest.Config) -> None:
    path = Path(config.rootpath, FILE)
    try:
        known = read(path.read_text(encoding="utf-8")) if path.exists() else {}
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    config.stash[KNOWN] = known


KNOWN = pytest.StashKey[dict[str, str]]()


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known, there = config.stash[KNOWN], {item.nodeid: item for item in items}
    for test, why in known.items():
        if test in there:
            there[test].add_marker(pytest.mark.xfail(reason=why, strict=True))
        elif config.args_source is not pytest.Config.ArgsSource.ARGS:
            raise pytest.UsageError(f"{FILE}: there is no test {test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for test, why in config.stash[KNOWN].items():
        terminalreporter.write_line(f"known red, passed over: {test}: {why}")
