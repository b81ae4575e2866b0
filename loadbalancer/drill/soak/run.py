"""Playing of generated drills in parallel, keeping those that fail, and shortening of failing drills."""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import uvloop

from loadbalancer.drill import history
from loadbalancer.drill.checks import judgement
from loadbalancer.drill.checks.timeline import CheckResult
from loadbalancer.drill.execution.player import DrillPlayer
from loadbalancer.drill.scenario.tables import DrillScenario
from loadbalancer.drill.soak.plan import make_scenario

COMMAND = "from loadbalancer.cli import main; main()"
PLAN_FILE = "plan.json"
EXIT_CHECK_FAILED = 1
MAX_SHORTENING_PLAYS = 12


@dataclass(frozen=True)
class SoakResult:
    """The result of one play."""

    seed: int
    failed: tuple[CheckResult, ...]

    @property
    def failed_names(self) -> set[str]:
        """The names of the checks that did not hold."""
        return {check.name for check in self.failed}

    def __str__(self) -> str:
        if not self.failed:
            return f"seed {self.seed}: held"
        failures = "; ".join(
            f"{c.name} {c.measured:g}, allowed {c.bound:g}: {c.first_violation}" for c in self.failed
        )
        return f"seed {self.seed}: FAILED {failures}"


def write_plan(folder: Path, seed: int, scenario: DrillScenario) -> None:
    """Write a plan to a folder, so that it can be replayed."""
    folder.mkdir(parents=True, exist_ok=True)
    plan = {"seed": seed, "scenario": msgspec.to_builtins(scenario)}
    (folder / PLAN_FILE).write_text(json.dumps(plan, indent=1) + "\n", encoding="utf-8")


def read_plan(folder: Path) -> tuple[int, DrillScenario]:
    """Return the seed and the plan in a folder; OSError or ValueError if there is none."""
    plan = json.loads((folder / PLAN_FILE).read_text(encoding="utf-8"))
    return plan["seed"], msgspec.convert(plan["scenario"], type=DrillScenario)


def play(scenario: DrillScenario, seed: int, out: Path, defect: str = "") -> SoakResult:
    """Play a plan in an empty folder, and judge it; DrillError if it can't be completed."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(DrillPlayer(scenario, seed, out, defect).run())
    write_plan(out, seed, scenario)
    checks = judgement.judge(scenario, history.read_history(out))
    return SoakResult(seed, tuple(check for check in checks if not check.passed))


def play_seed(seed: int, out: Path, defect: str = "") -> SoakResult:
    """Play the drill of a seed in a folder of its own, which is kept only if the drill failed."""
    folder = out / f"seed-{seed}"
    result = play(make_scenario(seed), seed, folder, defect)
    if not result.failed:
        shutil.rmtree(folder)
    return result


async def play_in_processes(
    seeds: range, jobs: int, out: Path, defect: str, on_line: Callable[[str], None]
) -> bool:
    """Play seeds, `jobs` at a time, each in a process of its own; return whether all passed."""
    job_slots = asyncio.Semaphore(jobs)
    all_passed = True

    async def _play_one(seed: int) -> None:
        nonlocal all_passed
        async with job_slots:
            arguments = ["drill", "soak", "--seeds", f"{seed}-{seed}", "--out", str(out), "--plant", defect]
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", COMMAND, *arguments,
                stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
            )  # fmt: skip
            try:
                output, _ = await process.communicate()
            finally:
                if process.returncode is None:
                    process.terminate()
                    await process.wait()
            all_passed = all_passed and process.returncode == 0
            lines = output.decode().strip().splitlines()
            on_line(lines[-1] if lines else f"seed {seed}: exited with status {process.returncode}")

    async with asyncio.TaskGroup() as group:
        for seed in seeds:
            group.create_task(_play_one(seed))
    return all_passed


def shorten(
    scenario: DrillScenario, seed: int, out: Path, defect: str, on_line: Callable[[str], None]
) -> DrillScenario:
    """Remove steps, from the last to the first, each if one of the original checks still fails without it."""
    original_failures = play(scenario, seed, out / "whole", defect).failed_names
    if not original_failures:
        on_line("all checks held: there is nothing to shorten")
        return scenario
    index = len(scenario.step)
    for attempt in range(MAX_SHORTENING_PLAYS):
        index -= 1
        if index < 0:
            break
        shorter = _without_step(scenario, index)
        result = play(shorter, seed, out / f"without-{attempt}", defect)
        if result.failed_names & original_failures:
            scenario = shorter
            on_line(f"{len(scenario.step)} steps: {result}")
    write_plan(out / "short", seed, scenario)
    return scenario


def _without_step(scenario: DrillScenario, index: int) -> DrillScenario:
    """Remove a step; the steps after it keep their times."""
    remaining = list(scenario.step)
    dropped = remaining.pop(index)
    if index < len(remaining):
        following = remaining[index]
        remaining[index] = msgspec.structs.replace(following, after=following.after + dropped.after)
    return msgspec.structs.replace(scenario, step=tuple(remaining))
