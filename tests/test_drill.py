"""Drills with real processes: they hold, planted defects are found, and nothing is left behind."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from loadbalancer.drill.execution.step_execution import StepExecutor
from loadbalancer.drill.links.faults import LinkFault
from loadbalancer.drill.scenario.loading import DrillScenarioError, load_scenario, parse_scenario
from loadbalancer.drill.scenario.steps import ClearLinkFault, SetLinkFault

ROOT = Path(__file__).parent.parent
PATIENCE_S = 300
PLANTS = {
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
    """The exit status, the verdicts and the complaints of `irondrum drill`."""
    done = subprocess.run(
        command(*args), cwd=ROOT, capture_output=True, text=True, timeout=PATIENCE_S, check=False
    )
    verdicts = [json.loads(line) for line in done.stdout.splitlines() if line.startswith("{")]
    return done.returncode, verdicts, done.stderr


def broken(verdict: dict[str, Any]) -> list[str]:
    return [c["name"] for c in verdict["checks"] if not c["held"]]


def test_the_demo_ends_well() -> None:
    asked = [*command()[:-1], "demo"]
    done = subprocess.run(asked, cwd=ROOT, capture_output=True, text=True, timeout=PATIENCE_S, check=False)
    assert (done.returncode, "Nothing broke" in done.stdout) == (0, True), done.stdout + done.stderr


def test_drills_hold(tmp_path: Path) -> None:
    names = ["server-killed", "server-drained", "balancer-killed", "replace", "folder-full", "peers-killed"]
    with ThreadPoolExecutor(3) as pool:
        for code, verdicts, told in pool.map(
            lambda name: drill("run", name, "--json", "--out", str(tmp_path / name)), names
        ):
            assert verdicts, told
            assert (code, broken(verdicts[0])) == (0, []), verdicts


def test_each_planted_defect_is_found_by_the_check_meant_for_it() -> None:
    with ThreadPoolExecutor(3) as pool:
        found = pool.map(lambda item: drill("run", item[1][0], "--json", "--plant", item[0]), PLANTS.items())
        for (plant, (_, check)), (code, verdicts, told) in zip(PLANTS.items(), found, strict=True):
            assert verdicts, told
            assert code == 1 and check in broken(verdicts[0]), (plant, verdicts)


def test_another_version_from_another_folder_takes_over(tmp_path: Path) -> None:
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
    code, verdicts, told = drill("run", str(script), "--json", "--out", str(out))
    assert verdicts, told
    assert (code, broken(verdicts[0])) == (0, []), verdicts
    assert "the other version" in (out / "versions" / "b0.log").read_text()
    assert "the other version" not in (out / "versions" / "b1.log").read_text()


def children(out: Path) -> list[int]:
    """The processes whose command line or environment names a drill's folder."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                told = (entry / "cmdline").read_bytes() + (entry / "environ").read_bytes()
            except OSError:
                continue
            if str(out).encode() in told and (entry / "status").read_text().find("State:\tZ") < 0:
                found.append(int(entry.name))
    return found


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGINT])
def test_no_process_is_left_when_the_driver_is_killed_or_interrupted(tmp_path: Path, number: int) -> None:
    out = tmp_path / "out"
    with subprocess.Popen(
        command("run", "calm", "--out", str(out)), cwd=ROOT, stderr=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
    ) as driver:  # fmt: skip
        history = out / "calm" / "clients.history.jsonl"
        until = time.monotonic() + PATIENCE_S
        while not history.exists() or not history.stat().st_size:
            assert driver.poll() is None and time.monotonic() < until
            time.sleep(0.05)
        assert len(children(out)) > 5
        os.kill(driver.pid, number)
        driver.wait(PATIENCE_S)
    while children(out):
        assert time.monotonic() < until, "processes are left"
        time.sleep(0.05)


def test_a_fault_and_its_end_name_the_same_links() -> None:
    class Link:
        name = "clients>b0"

        def set(self, *args: object) -> None:
            pass

        lift = set

    told: list[dict[str, Any]] = []
    fleet: Any = SimpleNamespace(matching=lambda pattern: [Link()])
    history: Any = SimpleNamespace(write=lambda what, **fields: told.append(fields))
    rest: Any = None
    deeds = StepExecutor(fleet, rest, rest, history, rest, 1, track=rest)
    for step in (SetLinkFault(name="cut", link="*", fault=LinkFault(cut=True)), ClearLinkFault(name="cut")):
        asyncio.run(deeds.execute(step))
    assert [(e["on"], e["targets"]) for e in told] == [(True, ["clients>b0"]), (False, ["clients>b0"])]


def test_every_drill_in_the_folder_can_be_read() -> None:
    names = {path.stem for path in (ROOT / "drills").glob("*.toml") if load_scenario(path).title}
    assert names >= set(
        "calm server-killed server-silent server-slow balancer-killed balancer-stopped replace list-down "
        "reset-storm retry-storm".split()
    )


@pytest.mark.parametrize(
    ("text", "told"),
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
def test_a_drill_that_cannot_be_used_is_told_in_a_line(text: str, told: str) -> None:
    with pytest.raises(DrillScenarioError) as caught:
        parse_scenario(text, "x.toml")
    assert told in str(caught.value) and "\n" not in str(caught.value)


def test_wrong_use_ends_with_status_2_and_one_line() -> None:
    for args in (("run", "no-such"), ("run", "calm", "--plant", "no-such")):
        code, _, told = drill(*args)
        assert code == 2 and told.startswith("irondrum: no ") and told.count("\n") == 1
