"""Histories of a drill, a scale run and the lab that d282128 wrote are read, judged and made again."""

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
from loadbalancer.drill.scenario import definition
from loadbalancer.scale.figures import kept
from loadbalancer.scale.report import write
from tests.golden import replay

GOLDEN = Path(__file__).parent / "golden"
DRILL = GOLDEN / "drill"
PROGRAM = replay.Program(sys.executable, "loadbalancer", Path(__file__).parent.parent)


def figures_of(page: str) -> list[str]:
    return re.findall(r"(?<![\w.])-?[\d,]*\.?\d+(?:e[+-]\d+)?", page)


def form_of_history(folder: Path) -> dict[str, dict[str, list[str]]]:
    """Return, by process and kind of event, the keys of its first line in their order."""
    forms: dict[str, dict[str, list[str]]] = {}
    for path in sorted(folder.glob("*.history.jsonl")):
        form = forms.setdefault(path.name, {})
        for line in path.read_text(encoding="utf-8").splitlines():
            event = json.loads(line)
            form.setdefault(event["what"], list(event))
    return forms


def test_history_of_a_drill_is_judged_as_recorded() -> None:
    found = judgement.judge(definition.load(DRILL / "drill.toml"), history.read(DRILL))
    verdict = json.loads((DRILL / "verdict.json").read_text(encoding="utf-8"))
    assert json.loads(msgspec.json.encode(found)) == verdict["checks"]
    assert list(json.loads(msgspec.json.encode(found[0]))) == list(verdict["checks"][0])


def test_history_of_a_drill_is_read_whole() -> None:
    events = history.read(DRILL)
    lines = [line for path in DRILL.glob("*.history.jsonl") for line in path.read_bytes().splitlines()]
    assert sorted(json.dumps(event) for event in events) == sorted(line.decode() for line in lines)


def test_drill_writes_histories_and_a_verdict_of_the_recorded_form(tmp_path: Path) -> None:
    command = PROGRAM.command_line("drill", "run", str(DRILL / "drill.toml"), "--out", str(tmp_path))
    done = subprocess.run(command, cwd=PROGRAM.cwd, check=False, stdout=subprocess.DEVNULL)
    assert done.returncode in (0, 1)  # whether its bounds held on this machine is not asked here
    played = tmp_path / "drill"
    recorded_form, form = form_of_history(DRILL), form_of_history(played)
    assert list(form) == list(recorded_form)
    for name in ("clients.history.jsonl", "driver.history.jsonl", "list.history.jsonl"):
        assert form[name] == recorded_form[name]
    verdict = json.loads((played / "verdict.json").read_text(encoding="utf-8"))
    recorded = json.loads((DRILL / "verdict.json").read_text(encoding="utf-8"))
    assert list(verdict) == list(recorded)
    assert [check["name"] for check in verdict["checks"]] == [check["name"] for check in recorded["checks"]]
    assert [list(check) for check in verdict["checks"]] == [list(check) for check in recorded["checks"]]


def test_figures_of_a_scale_run_are_kept_as_recorded() -> None:
    data = (GOLDEN / "scale-figures.json").read_text(encoding="utf-8")
    recorded = (GOLDEN / "scale-kept.json").read_text(encoding="utf-8")
    assert json.dumps(kept(json.loads(data))) + "\n" == recorded


def test_page_on_a_scale_run_holds_the_recorded_figures(tmp_path: Path) -> None:
    """The page's text is for readers and may change; its figures and their order may not."""
    shutil.copy(GOLDEN / "scale-figures.json", tmp_path / "figures.json")
    page = write(tmp_path, None).read_text(encoding="utf-8")
    recorded = (GOLDEN / "scale-page.md").read_text(encoding="utf-8")
    assert figures_of(page) == figures_of(recorded)


@pytest.mark.parametrize("key", ["size", "mechanism", "steps"])
def test_figures_of_a_scale_run_hold_what_others_read(key: str) -> None:
    assert key in json.loads((GOLDEN / "scale-figures.json").read_text(encoding="utf-8"))


def test_plays_of_the_lab_have_the_recorded_results_byte_for_byte(tmp_path: Path) -> None:
    """Nothing is masked: a play hangs on its scenario and seed alone."""
    options = ("--seeds", "1", "--policy", "ours,least,oracle", "--set", "load.seconds=5", "--jobs", "1")
    command = PROGRAM.command_line("lab", "run", "zone-returns-cold", *options, "--out", str(tmp_path))
    subprocess.run(command, cwd=PROGRAM.cwd, check=True, stdout=subprocess.DEVNULL)
    assert (tmp_path / "results.jsonl").read_bytes() == (GOLDEN / "lab-results.jsonl").read_bytes()
