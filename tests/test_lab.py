"""Test the lab: results are reproducible to the byte, comparisons, and errors for wrong arguments."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from typer.testing import CliRunner

from loadbalancer.cli.lab import load_scenario, parse_seeds
from loadbalancer.cli.main import app
from loadbalancer.cli.usage_error import UsageError
from loadbalancer.lab import plays
from loadbalancer.lab.compare import compare
from loadbalancer.simulation.scenario import ScenarioError

ROOT = Path(__file__).parent.parent
TINY = ["--set", "load.seconds=3", "--set", "fleet.servers=3"]
RUN = ["lab", "run", "calm", "--seeds", "1-2", "--policy", "ours,p2c", *TINY]


@pytest.fixture(autouse=True)
def _in_the_root(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(ROOT)


def run(*args: str) -> str:
    done = CliRunner().invoke(app, args, catch_exceptions=False)
    assert done.exit_code == 0
    return done.output


def record(scenario: str, seed: int, figure: float, policy: str = "ours") -> plays.Record:
    return plays.Record(
        scenario, seed, policy, figure, 0.0, 0.0, 0.0, 0.0, {}, {}, {}, 0, 0, [], {}
    )  # fmt: skip


def test_results_are_the_same_bytes_whatever_the_number_of_jobs(tmp_path: Path) -> None:
    for jobs in ("1", "3"):
        run(*RUN, "--jobs", jobs, "--out", str(tmp_path / jobs))
    one, other = ((tmp_path / jobs / plays.RESULTS_FILE).read_bytes() for jobs in ("1", "3"))
    assert one == other and len(one.splitlines()) == 4


def test_an_interrupted_run_continues_after_the_complete_lines(tmp_path: Path) -> None:
    run(*RUN, "--jobs", "1", "--out", str(tmp_path))
    whole = (tmp_path / plays.RESULTS_FILE).read_bytes()
    lines = whole.splitlines(keepends=True)
    (tmp_path / plays.RESULTS_FILE).write_bytes(b"".join(lines[:2]) + lines[2][:40])
    told = run(*RUN, "--jobs", "1", "--out", str(tmp_path))
    assert (tmp_path / plays.RESULTS_FILE).read_bytes() == whole
    assert sum(line.startswith("calm") for line in told.splitlines()) == 2, "two plays were missing"


def test_a_summary_for_scripts_has_a_row_for_each_scenario_and_policy(tmp_path: Path) -> None:
    rows = json.loads(run(*RUN, "--jobs", "1", "--out", str(tmp_path), "--json"))
    assert [(row["scenario"], row["policy"], row["days"]) for row in rows] == [
        ("calm", "ours", 2), ("calm", "p2c", 2),
    ]  # fmt: skip
    assert all(0 < row["figure"] <= 1 and row["broken"] == 0 for row in rows)


def test_latencies_are_stored_as_histograms(tmp_path: Path) -> None:
    run(*RUN, "--jobs", "1", "--out", str(tmp_path))
    first = plays.read(tmp_path)[0]
    assert 20 < first.percentile("karta", 50) < first.percentile("karta", 99) < 2_000


def test_the_policy_of_an_earlier_commit_can_be_played(tmp_path: Path) -> None:
    """The replacement runs in a separate process, as it lasts until the process ends."""
    old = tmp_path / "loadbalancer"
    old.mkdir()
    (old / "policy.py").write_text(
        "from loadbalancer.simulation.baselines import LeastRequest as Balancer\n", encoding="utf-8"
    )
    script = (
        "import sys; from pathlib import Path; from loadbalancer.lab import policies, plays\n"
        "from loadbalancer.cli.lab import load_scenario\n"
        "policies.replace_policy(Path(sys.argv[1]))\n"
        "plan = load_scenario('calm', ['load.seconds=3'])\n"
        "print(*(plays.play(plays.Job('calm', 1, name, name, plan)).figure for name in ('ours', 'least')))\n"
    )
    told = subprocess.run(
        [sys.executable, "-c", script, str(tmp_path)], check=True, capture_output=True, text=True
    ).stdout.split()
    assert told[0] == told[1]


def test_a_comparison_pairs_by_scenario_and_seed() -> None:
    before = [record("a", seed, 0.5) for seed in range(8)] + [record("b", 1, 0.9)]
    after = [record("a", seed, 0.6 if seed else 0.4) for seed in range(9)] + [record("c", 1, 0.1)]
    row, everything = compare(before, after)
    assert (row.scenario, row.pairs, row.won, row.lost) == ("a", 8, 7, 1)
    assert row.change == pytest.approx(0.6 / 8) and row.low < row.change < row.high <= 0.1
    assert everything.pairs == 8
    with pytest.raises(ValueError, match="nothing to compare"):
        compare(before, [record("z", 1, 0.5)])


def test_results_of_several_policies_are_paired_by_policy() -> None:
    before = [record("a", 1, 0.5), record("a", 1, 0.2, "p2c")]
    after = [record("a", 1, 0.5), record("a", 1, 0.2, "p2c")]
    assert [(row.pairs, row.change) for row in compare(before, after)] == [(2, 0.0), (2, 0.0)]


def test_seeds_are_parsed_as_numbers_and_ranges() -> None:
    assert parse_seeds("1-3,7,2") == [1, 2, 3, 7]
    for text in ("", "x", "3-1", "1-99999"):
        with pytest.raises(UsageError, match="--seeds"):
            parse_seeds(text)


def test_every_scenario_of_the_repository_is_valid() -> None:
    names = [path.stem for path in sorted((ROOT / "scenarios").glob("*.toml"))]
    assert len(names) >= 13
    assert all(load_scenario(name, []).title for name in names)
    assert "crowd" in run("lab", "list")


@pytest.mark.parametrize(
    ("change", "told"),
    [
        ("choke.att=5", "choke: Object contains unknown field `att`; allowed: share, at"),
        ("choke", "--set 'choke'"),
    ],
)
def test_invalid_changes_are_reported_in_one_line(change: str, told: str) -> None:
    with pytest.raises((UsageError, ScenarioError), match=told) as caught:
        load_scenario("calm", [change])
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    "args", [["lab", "run", "nosuch", "--out", "x"], ["lab", "run", "calm", "--policy", "best", "--out", "x"],
             ["lab", "compare", "nosuch", "neither"]],
)  # fmt: skip
def test_usage_errors_exit_with_status_2_and_one_line(args: list[str]) -> None:
    command = [sys.executable, "-c", "from loadbalancer.cli import main; main()", *args]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2 and done.stderr.startswith("irondrum: ")
    assert len(done.stderr.splitlines()) == 1 and not done.stdout
