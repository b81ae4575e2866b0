"""Drills with real processes: sound ones pass, planted defects are found, and no process is left behind."""

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


def command(*args: str) -> list[str]:
    return [sys.executable, "-c", "from loadbalancer.cli import main; main()", "drill", *args]


def drill(*args: str) -> tuple[int, list[dict[str, Any]], str]:
    """Run `irondrum drill`; return its exit status, verdicts and standard error."""
    done = subprocess.run(
        command(*args), cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    verdicts = [json.loads(line) for line in done.stdout.splitlines() if line.startswith("{")]
    return done.returncode, verdicts, done.stderr


def failed_checks(verdict: dict[str, Any]) -> list[str]:
    return [c["name"] for c in verdict["checks"] if not c["held"]]


def test_demo_ends_with_status_0_when_nothing_broke() -> None:
    argv = [*command()[:-1], "demo"]
    done = subprocess.run(argv, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
    assert (done.returncode, "Nothing broke" in done.stdout) == (0, True), done.stdout + done.stderr


def test_drills_of_the_sound_program_pass_every_check(tmp_path: Path) -> None:
    names = ["server-killed", "server-drained", "balancer-killed", "replace", "folder-full", "peers-killed"]
    with ThreadPoolExecutor(3) as pool:
        for status, verdicts, errors in pool.map(
            lambda name: drill("run", name, "--json", "--out", str(tmp_path / name)), names
        ):
            assert verdicts, errors
            assert (status, failed_checks(verdicts[0])) == (0, []), verdicts


def test_each_planted_defect_is_found_by_the_check_meant_for_it() -> None:
    with ThreadPoolExecutor(3) as pool:
        found = pool.map(
            lambda item: drill("run", item[1][0], "--json", "--plant", item[0]), SEEDED_DEFECTS.items()
        )
        for (defect, (_, check)), (status, verdicts, errors) in zip(
            SEEDED_DEFECTS.items(), found, strict=True
        ):
            assert verdicts, errors
            assert status == 1 and check in failed_checks(verdicts[0]), (defect, verdicts)


def test_version_from_another_folder_takes_over_without_failed_requests(tmp_path: Path) -> None:
    other = tmp_path / "other"
    for part in ("loadbalancer", "deploy"):
        shutil.copytree(ROOT / part, other / part, ignore=shutil.ignore_patterns("__pycache__"))
    with (other / "loadbalancer" / "__init__.py").open("a", encoding="utf-8") as file:
        file.write("\nimport sys\n\nprint('the other version', file=sys.stderr)\n")
    script = tmp_path / "versions.toml"
    script.write_text(
        "[load]\nrate = 100\nrequests = 400\n\n"
        f'[[step]]\nafter = 100\ndo = "replace"\nwho = "b0"\nfolder = "{other}"\n',
        encoding="utf-8",
    )
    out = tmp_path / "out"
    status, verdicts, errors = drill("run", str(script), "--json", "--out", str(out))
    assert verdicts, errors
    assert (status, failed_checks(verdicts[0])) == (0, []), verdicts
    assert "the other version" in (out / "versions" / "b0.log").read_text()
    assert "the other version" not in (out / "versions" / "b1.log").read_text()


def processes_of(out: Path) -> list[int]:
    """Return the processes whose command line or environment names a drill's folder."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                origin = (entry / "cmdline").read_bytes() + (entry / "environ").read_bytes()
            except OSError:
                continue
            if str(out).encode() in origin and (entry / "status").read_text().find("State:\tZ") < 0:
                found.append(int(entry.name))
    return found


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGINT])
def test_no_process_outlives_a_driver_that_is_killed_or_interrupted(tmp_path: Path, number: int) -> None:
    out = tmp_path / "out"
    with subprocess.Popen(
        command("run", "calm", "--out", str(out)), cwd=ROOT, stderr=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
    ) as driver:  # fmt: skip
        history = out / "calm" / "clients.history.jsonl"
        until = time.monotonic() + TIMEOUT_S
        while not history.exists() or not history.stat().st_size:
            assert driver.poll() is None and time.monotonic() < until
            time.sleep(0.05)
        assert len(processes_of(out)) > 5
        os.kill(driver.pid, number)
        driver.wait(TIMEOUT_S)
    while processes_of(out):
        assert time.monotonic() < until, "processes are left"
        time.sleep(0.05)


@pytest.mark.parametrize(("name", "module"), (DRILL_DEFECTS | SCALE_DEFECTS).items())
def test_every_named_defect_stands_in_the_module_that_is_named_with_it(name: str, module: str) -> None:
    holder = importlib.import_module(f"loadbalancer.drill.defects.{module}")
    assert callable(vars(holder)[name.replace("-", "_")])


def test_replacing_a_global_that_is_not_there_fails() -> None:
    module = ModuleType("patched")
    with pytest.raises(AttributeError, match="gone"):
        replace_global(module, "gone", None)
    assert not hasattr(module, "gone")


def test_fault_and_its_end_are_recorded_with_the_same_links() -> None:
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


def test_every_scenario_in_the_folder_can_be_read() -> None:
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
        ('[[step]]\nafter = 9999\ndo = "lift"\nname = "x"', "step[0].after: 9999; all together"),
        ("[load]\nrate = -1", "load.rate: -1.0; allowed: above 0"),
        ("rate = ", "not TOML"),
    ],
)
def test_scenario_that_cannot_be_used_is_rejected_in_one_line(text: str, message: str) -> None:
    with pytest.raises(DrillScenarioError) as caught:
        parse_scenario(text, "x.toml")
    assert message in str(caught.value) and "\n" not in str(caught.value)


def test_wrong_use_ends_with_status_2_and_one_line() -> None:
    for args in (("run", "no-such"), ("run", "calm", "--plant", "no-such")):
        status, _, errors = drill(*args)
        assert status == 2 and errors.startswith("irondrum: no ") and errors.count("\n") == 1
