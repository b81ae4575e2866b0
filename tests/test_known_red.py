"""The list of tests that are known to fail, tried on a small suite of its own."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
SEEN_AND_ISSUE = "seen: the thing is broken\nissue: 7"


def entry(test: str) -> str:
    """Return an entry for a test or a run."""
    return f"test: {test}\ncommand: pytest --seed 3\n{SEEN_AND_ISSUE}\n"


RED = entry("tests/test_small.py::test_red")
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
    assert "known red, passed over: tests/test_small.py::test_red: the thing is broken: issue 7" in output


def test_a_run_by_hand_is_printed_with_the_others(tmp_path: Path) -> None:
    status, output = run_suite(
        tmp_path, RED + "\n" + entry("soak seed 7") + "\n" + entry("bench herd seed 3")
    )
    assert status == 0
    assert "known red, run by hand: soak seed 7: the thing is broken: issue 7" in output
    assert "known red, run by hand: bench herd seed 3: the thing is broken: issue 7" in output


def test_any_number_of_failing_tests_can_be_listed(tmp_path: Path) -> None:
    """The limit of three was an earlier letter's; now whatever fails for a real fault is listed."""
    lists = "\n".join(
        [RED, entry("tests/test_small.py::test_other"), *(entry(f"soak {n}") for n in range(3))]
    )
    assert run_suite(tmp_path, lists, other=False)[0] == 0


def test_a_line_that_begins_with_a_space_goes_on_with_its_field(tmp_path: Path) -> None:
    status, output = run_suite(tmp_path, RED.replace("the thing", "the\n  thing"))
    assert status == 0
    assert "the thing is broken" in output


def test_a_failing_test_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    assert run_suite(tmp_path, RED, other=False)[0] == 1


@pytest.mark.parametrize(
    "known_red",
    [
        RED + "\n" + entry("tests/test_small.py::test_green"),
        RED + "\n" + entry("tests/test_small.py::test_gone"),
        RED + "\n" + RED,
        RED + "\n" + entry("test_other"),
        RED + "\n" + entry(""),
        RED + entry("tests/test_small.py::test_other"),
        *(RED.replace(line, "") for line in RED.splitlines(keepends=True)),
        *(RED.replace(line, line.partition(":")[0] + ":\n") for line in RED.splitlines(keepends=True)),
        RED + "cause: an unknown field\n",
        "tests/test_small.py::test_red: the thing is broken: issue 7\n",
    ],
)
def test_an_invalid_list_fails_the_run(tmp_path: Path, known_red: str) -> None:
    status, output = run_suite(tmp_path, known_red)
    assert status != 0, output
