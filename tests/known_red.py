"""Tests and runs that are known to fail for a real fault: `KNOWN-RED.txt` at the root lists them.

Entries have a blank line between them and four fields each, a line beginning with a space goes on with the
field before it:

    test: tests/test_small.py::test_red
    command: python -m pytest "tests/test_small.py::test_red"
    seen: what happens, and what is known of the cause
    issue: 40, which is open

`test` is a test of CI, or names a run by hand: `bench ...`, `drill ...` or `soak ...`, whose command has the
seed.
A run of the tests passes over just the listed ones, and prints all entries. A missing or unknown field, a
test that is not there, and a listed test that passes fail the run.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED_FILE = "KNOWN-RED.txt"
FIELDS = ("test", "command", "seen", "issue")
RUNS_BY_HAND = ("bench ", "drill ", "soak ")


@dataclass(frozen=True)
class KnownRed:
    """One entry: a test or a run that fails, how to see it, what was seen, and the issue."""

    test: str
    command: str
    seen: str
    issue: str

    @property
    def is_run_by_hand(self) -> bool:
        """Whether it is no test of CI."""
        return self.test.startswith(RUNS_BY_HAND)


ENTRIES = pytest.StashKey[list[KnownRed]]()


def parse_known_red(text: str) -> list[KnownRed]:
    """Return the entries; ValueError says in one line what is wrong."""
    entries = [_parse_entry(block) for block in re.split(r"\n[ \t]*\n", text) if block.strip()]
    tests = [entry.test for entry in entries]
    for test in tests:
        if tests.count(test) > 1:
            raise ValueError(f"{KNOWN_RED_FILE}: {test} is listed more than once")
    return entries


def _parse_entry(block: str) -> KnownRed:
    fields: dict[str, str] = {}
    name = ""
    for line in block.strip("\n").splitlines():
        if line.startswith((" ", "\t")) and name:
            fields[name] += f" {line.strip()}"
            continue
        name, separator, value = line.partition(":")
        if not separator or name not in FIELDS or name in fields:
            raise ValueError(
                f"{KNOWN_RED_FILE}: {line!r} is none of the fields {', '.join(FIELDS)}, each once"
            )
        fields[name] = value.strip()
    for required in FIELDS:
        if not fields.get(required):
            raise ValueError(f"{KNOWN_RED_FILE}: an entry has no `{required}:` ({block.strip()[:80]!r})")
    entry = KnownRed(**fields)
    if "::" not in entry.test and not entry.is_run_by_hand:
        raise ValueError(f"{KNOWN_RED_FILE}: {entry.test!r} is neither a test nor a run by hand")
    return entry


def pytest_configure(config: pytest.Config) -> None:
    """Read the list; a wrong one is a usage error."""
    path = Path(config.rootpath, KNOWN_RED_FILE)
    try:
        entries = parse_known_red(path.read_text(encoding="utf-8")) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[ENTRIES] = entries


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that is not there is a usage error in a run of all tests."""
    items_by_test = {item.nodeid: item for item in items}
    for entry in config.stash[ENTRIES]:
        if entry.is_run_by_hand:
            continue
        if entry.test in items_by_test:
            reason = f"{entry.seen}: {entry.issue}"
            items_by_test[entry.test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif config.args_source is not pytest.Config.ArgsSource.ARGS:
            raise pytest.UsageError(f"{KNOWN_RED_FILE}: there is no test {entry.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the tests that are passed over, and the runs by hand that fail."""
    for entry in config.stash[ENTRIES]:
        kind = "run by hand" if entry.is_run_by_hand else "passed over"
        terminalreporter.write_line(f"known red, {kind}: {entry.test}: {entry.seen}: issue {entry.issue}")
