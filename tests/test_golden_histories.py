"""Recorded histories of a drill, a scale run and the lab (from d282128) are read, judged and reproduced."""

from __future__ import annotations

import json
import re
import shutil
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from loadbalancer.drill import history
from loadbalancer.drill.checks import judgement
from loadbalancer.drill.scenario.loading import load_scenario
from loadbalancer.scale.figures import without_samples
from loadbalancer.scale.report import write_report
from tests.golden import replay

GOLDEN = Path(__file__).parent / "golden"
DRILL = GOLDEN / "drill"
PROGRAM = replay.Program(sys.executable, "loadbalancer", Path(__file__).parent.parent)


def figures_in(page: str) -> list[str]:
    return re.findall(r"(?<![\w.])-?[\d,]*\.?\d+(?:e[+-]\d+)?", page)


def event_keys(folder: Path) -> dict[str, dict[str, list[str]]]:
    """Return, by process and kind of event, the keys of the first such event in their order."""
    keys_by_process: dict[str, dict[str, list[str]]] = {}
    for path in sorted(folder.glob("*.history.jsonl")):
        keys_by_kind = keys_by_process.setdefault(path.name, {})
        for line in path.read_text(encoding="utf-8").splitlines():
            event = json.loads(line)
            keys_by_kind.setdefault(event["what"], list(event))
    return keys_by_process


def test_history_of_a_drill_is_judged_as_recorded() -> None:
    results = judgement.judge(load_scenario(DRILL / "drill.toml"), history.read_history(DRILL))
    verdict = json.loads((DRILL / "verdict.json").read_text(encoding="utf-8"))
    assert json.loads(msgspec.json.encode(results)) == verdict["checks"]
    assert list(json.loads(msgspec.json.encode(results[0]))) == list(verdict["checks"][0])


def test_history_of_a_drill_is_read_completely() -> None:
    events = history.read_history(DRILL)
    lines = [line for path in DRILL.glob("*.history.jsonl") for line in path.read_bytes().splitlines()]
    assert sorted(json.dumps(event) for event in events) == sorted(line.decode() for line in lines)


def test_drill_writes_histories_and_a_verdict_with_the_recorded_keys(tmp_path: Path) -> None:
    command = PROGRAM.command_line("drill", "run", str(DRILL / "drill.toml"), "--out", str(tmp_path))
    completed = subprocess.run(command, cwd=PROGRAM.cwd, check=False, stdout=subprocess.DEVNULL)
    assert completed.returncode in (0, 1)  # 1: checks may fail on a slow machine, which is not tested here
    played = tmp_path / "drill"
    recorded_keys, keys = event_keys(DRILL), event_keys(played)
    assert list(keys) == list(recorded_keys)
    for name in ("clients.history.jsonl", "driver.history.jsonl", "list.history.jsonl"):
        assert keys[name] == recorded_keys[name]
    verdict = json.loads((played / "verdict.json").read_text(encoding="utf-8"))
    recorded = json.loads((DRILL / "verdict.json").read_text(encoding="utf-8"))
    assert list(verdict) == list(recorded)
    assert [check["name"] for check in verdict["checks"]] == [check["name"] for check in recorded["checks"]]
    assert [list(check) for check in verdict["checks"]] == [list(check) for check in recorded["checks"]]


def test_figures_without_samples_of_a_scale_run_are_as_recorded() -> None:
    data = (GOLDEN / "scale-figures.json").read_text(encoding="utf-8")
    recorded = (GOLDEN / "scale-kept.json").read_text(encoding="utf-8")
    assert json.dumps(without_samples(json.loads(data))) + "\n" == recorded


def test_report_on_a_scale_run_contains_the_recorded_figures(tmp_path: Path) -> None:
    """The report's text may change; its figures and their order may not."""
    shutil.copy(GOLDEN / "scale-figures.json", tmp_path / "figures.json")
    page = write_report(tmp_path, None).read_text(encoding="utf-8")
    recorded = (GOLDEN / "scale-page.md").read_text(encoding="utf-8")
    assert figures_in(page) == figures_in(recorded)


@pytest.mark.parametrize("key", ["size", "mechanism", "steps"])
def test_figures_of_a_scale_run_have_the_keys_that_other_tools_read(key: str) -> None:
    assert key in json.loads((GOLDEN / "scale-figures.json").read_text(encoding="utf-8"))


def test_plays_of_the_lab_have_the_recorded_results_byte_for_byte(tmp_path: Path) -> None:
    """Nothing is masked, as a play depends on its scenario and seed alone."""
    options = ("--seeds", "1", "--policy", "ours,least,oracle", "--set", "load.seconds=5", "--jobs", "1")
    command = PROGRAM.command_line("lab", "run", "zone-returns-cold", *options, "--out", str(tmp_path))
    subprocess.run(command, cwd=PROGRAM.cwd, check=True, stdout=subprocess.DEVNULL)
    assert (tmp_path / "results.jsonl").read_bytes() == (GOLDEN / "lab-results.jsonl").read_bytes()
