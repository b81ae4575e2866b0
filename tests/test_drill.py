"""Drills with real processes: all checks pass, seeded defects are detected, and no process is left behind."""

from __future__ import annotations

import asyncio
import importlib
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import ModuleType, SimpleNamespace
from typing import Any

import pytest

from loadbalancer.drill.defects.names import DRILL_DEFECTS, SCALE_DEFECTS
from loadbalancer.drill.execution.step_execution import StepExecutor
from loadbalancer.drill.links.faults import LinkFault
from loadbalancer.drill.patching import replace_global
from loadbalancer.drill.scenario.loading import DrillScenarioError, load_scenario, parse_scenario
from loadbalancer.drill.scenario.steps import ClearLinkFault, SetLinkFault

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 300
SEEDED_DEFECTS = {
    "sends-twice": ("calm", "once"),
    "answers-from-nowhere": ("calm", "from_servers"),
    "forgets-drain": ("server-drained", "drains"),
    "keeps-dead-server": ("server-killed", "drains"),
    "trusts-any-list": ("list-stale", "drains"),
    "deaf-to-peers": ("peers-join", "views"),
    "never-gives-up": ("peers-killed", "views"),
    "forgets-returns": ("peers-heal", "views"),
    "forgets-snapshot": ("warm-start", "served"),
    "believes-lapses": ("lease-storm", "served"),
    "reuses-versions": ("list-lost", "versions"),
    "lapses-unheard": ("list-split", "kept"),
    "obeys-lists": ("list-empty", "served"),
    "stays-with-one": ("list-one-down", "heard"),
    "moves-at-once": ("zone-hand", "ramps"),
}


def drill_command(*args: str) -> list[str]:
    return [sys.executable, "-c", "from loadbalancer.cli import main; main()", "drill", *args]


def run_drill(*args: str) -> tuple[int, list[dict[str, Any]], str]:
    """Run `irondrum drill`; return its exit status, verdicts and standard error."""
    completed = subprocess.run(
        drill_command(*args), cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    verdicts = [json.loads(line) for line in completed.stdout.splitlines() if line.startswith("{")]
    return completed.returncode, verdicts, completed.stderr


def failed_checks(verdict: dict[str, Any]) -> list[str]:
    return [c["name"] for c in verdict["checks"] if not c["held"]]


def test_demo_exits_with_status_0_when_every_check_passes() -> None:
    argv = [*drill_command()[:-1], "demo"]
    completed = subprocess.run(argv, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
    assert (completed.returncode, "Nothing broke" in completed.stdout) == (0, True), (
        completed.stdout + completed.stderr
    )


def test_drills_without_a_seeded_defect_pass_every_check(tmp_path: Path) -> None:
    names = ["server-killed", "server-drained", "balancer-killed", "replace", "folder-full", "peers-killed"]
    with ThreadPoolExecutor(3) as pool:
        for status, verdicts, errors in pool.map(
            lambda name: run_drill("run", name, "--json", "--out", str(tmp_path / name)), names
        ):
            assert verdicts, errors
            assert (status, failed_checks(verdicts[0])) == (0, []), verdicts


def test_each_seeded_defect_fails_the_check_meant_for_it() -> None:
    with ThreadPoolExecutor(3) as pool:
        runs = pool.map(
            lambda item: run_drill("run", item[1][0], "--json", "--plant", item[0]), SEEDED_DEFECTS.items()
        )
        for (defect, (_, check)), (status, verdicts, errors) in zip(
            SEEDED_DEFECTS.items(), runs, strict=True
        ):
            assert verdicts, errors
            assert status == 1 and check in failed_checks(verdicts[0]), (defect, verdicts)


def test_hot_restart_from_another_program_folder_fails_no_requests(tmp_path: Path) -> None:
    other = tmp_path / "other"
    for part in ("loadbalancer", "deploy"):
        shutil.copytree(ROOT / part, other / part, ignore=shutil.ignore_patterns("__pycache__"))
    with (other / "loadbalancer" / "__init__.py").open("a", encoding="utf-8") as file:
        file.write("\nimport sys\n\nprint('the other version', file=sys.stderr)\n")
    scenario = tmp_path / "versions.toml"
    scenario.write_text(
        "[load]\nrate = 100\nrequests = 400\n\n"
        f'[[step]]\nafter = 100\ndo = "replace"\nwho = "b0"\nfolder = "{other}"\n',
        encoding="utf-8",
    )
    out = tmp_path / "out"
    status, verdicts, errors = run_drill("run", str(scenario), "--json", "--out", str(out))
    assert verdicts, errors
    assert (status, failed_checks(verdicts[0])) == (0, []), verdicts
    assert "the other version" in (out / "versions" / "b0.log").read_text()
    assert "the other version" not in (out / "versions" / "b1.log").read_text()


def processes_of(out: Path) -> list[int]:
    """Return the ids of running processes whose command line or environment contains a drill's folder."""
    pids = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                invocation = (entry / "cmdline").read_bytes() + (entry / "environ").read_bytes()
            except OSError:
                continue
            if str(out).encode() in invocation and (entry / "status").read_text().find("State:\tZ") < 0:
                pids.append(int(entry.name))
    return pids


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGINT])
def test_no_process_outlives_a_killed_or_interrupted_driver(tmp_path: Path, signal_number: int) -> None:
    out = tmp_path / "out"
    with subprocess.Popen(
        drill_command("run", "calm", "--out", str(out)), cwd=ROOT, stderr=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
    ) as driver:  # fmt: skip
        history = out / "calm" / "clients.history.jsonl"
        until = time.monotonic() + TIMEOUT_S
        while not history.exists() or not history.stat().st_size:
            assert driver.poll() is None and time.monotonic() < until
            time.sleep(0.05)
        assert len(processes_of(out)) > 5
        os.kill(driver.pid, signal_number)
        driver.wait(TIMEOUT_S)
    while processes_of(out):
        assert time.monotonic() < until, "processes are left"
        time.sleep(0.05)


@pytest.mark.parametrize(("name", "module"), (DRILL_DEFECTS | SCALE_DEFECTS).items())
def test_every_named_defect_is_defined_in_the_module_listed_for_it(name: str, module: str) -> None:
    defects = importlib.import_module(f"loadbalancer.drill.defects.{module}")
    assert callable(vars(defects)[name.replace("-", "_")])


def test_replacing_a_global_that_does_not_exist_fails() -> None:
    module = ModuleType("patched")
    with pytest.raises(AttributeError, match="gone"):
        replace_global(module, "gone", None)
    assert not hasattr(module, "gone")


def test_setting_and_clearing_a_fault_are_recorded_with_the_same_links() -> None:
    class Link:
        name = "clients>b0"

        def set(self, *args: object) -> None:
            pass

        clear = set

    recorded: list[dict[str, Any]] = []
    topology: Any = SimpleNamespace(matching=lambda pattern: [Link()])
    history: Any = SimpleNamespace(write=lambda what, **fields: recorded.append(fields))
    unused: Any = None
    executor = StepExecutor(topology, unused, unused, history, unused, 1, track=unused)
    for step in (SetLinkFault(name="cut", link="*", fault=LinkFault(cut=True)), ClearLinkFault(name="cut")):
        asyncio.run(executor.execute(step))
    assert [(e["on"], e["targets"]) for e in recorded] == [(True, ["clients>b0"]), (False, ["clients>b0"])]


def test_every_scenario_in_the_drills_folder_is_valid() -> None:
    names = {path.stem for path in (ROOT / "drills").glob("*.toml") if load_scenario(path).title}
    assert names >= set(
        "calm server-killed server-silent server-slow balancer-killed balancer-stopped replace list-down "
        "reset-storm retry-storm".split()
    )


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (
            "[fleet]\nservres = 3",
            "fleet: Object contains unknown field `servres`; allowed: balancers, servers",
        ),
        ("[fleet]\nservers = 0", "fleet.servers: 0; allowed: 1 or more"),
        ('[[step]]\ndo = "kill"\nwho = "s9"', "step[0].who: 's9'; allowed: b0, b1, s0"),
        ('[[step]]\ndo = "burn"', "step[0].do: Invalid value 'burn'"),
        (
            '[[step]]\nafter = 9999\ndo = "lift"\nname = "x"',
            "step[0].after: 9999; allowed: 0 or more, in total",
        ),
        ("[load]\nrate = -1", "load.rate: -1.0; allowed: above 0"),
        ("rate = ", "not TOML"),
    ],
)
def test_invalid_scenario_is_rejected_with_one_line(text: str, message: str) -> None:
    with pytest.raises(DrillScenarioError) as caught:
        parse_scenario(text, "x.toml")
    assert message in str(caught.value) and "\n" not in str(caught.value)


def test_usage_error_exits_with_status_2_and_one_line() -> None:
    for args in (("run", "no-such"), ("run", "calm", "--plant", "no-such")):
        status, _, errors = run_drill(*args)
        assert status == 2 and errors.startswith("irondrum: no ") and errors.count("\n") == 1
