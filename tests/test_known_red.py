"""The list of tests that are known to fail, tried on a small suite of its own."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
RED = "tests/test_small.py::test_red: the thing is broken: issue 7"
SUITE = """
def test_green(): assert True
def test_red(): assert False
def test_other(): assert OTHER
"""


def run_suite(folder: Path, known_red: str | None, *, other: bool = True) -> tuple[int, str]:
    """Return the exit status and the output of the small suite with a list."""
    tests = folder / "tests"
    tests.mkdir()
    for name in ("known_red.py", "conftest.py"):
        (tests / name).write_bytes((HERE / name).read_bytes())
    (tests / "__init__.py").touch()
    (tests / "test_small.py").write_text(f"OTHER = {other}\n{SUITE}")
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if known_red is not None:
        (folder / "KNOWN-RED.txt").write_text(known_red)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=folder, capture_output=True, text=True,
    )  # fmt: skip
    return done.returncode, done.stdout + done.stderr


def test_without_a_list_a_failing_test_fails_the_run(tmp_path: Path) -> None:
    assert run_suite(tmp_path, None)[0] == 1


def test_a_listed_test_is_passed_over_and_printed(tmp_path: Path) -> None:
    status, output = run_suite(tmp_path, RED + "\n")
    assert status == 0
    assert f"known red, passed over: {RED}" in output


def test_a_failing_test_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    assert run_suite(tmp_path, RED, other=False)[0] == 1


@pytest.mark.parametrize(
    "known_red",
    [
        RED + "\ntests/test_small.py::test_green: it passes: issue 7",
        RED + "\ntests/test_small.py::test_gone: it is not there: issue 7",
        RED + "\n" + RED,
        RED + "\ntests/test_small.py::test_other: no issue",
        RED + "\ntest_other: no path: issue 7",
        RED + "\ntests/test_small.py::test_other: : issue 7",
        "\n".join(f"tests/test_small.py::test_{i}: cause: issue {i}" for i in range(4)),
    ],
)
def test_an_invalid_list_fails_the_run(tmp_path: Path, known_red: str) -> None:
    status, output = run_suite(tmp_path, known_red)
    assert status != 0, output
