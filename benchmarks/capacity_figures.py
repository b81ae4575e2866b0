"""The figures that the page of capacity is written from: what is played, at which sizes, where it is kept.

Each play is a process of its own; its row is kept in `figures/PART.json` beside the commit, the machine and
the command that gave it.
"""

from __future__ import annotations

import json
import os
import platform
import subprocess
import sys
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks import capacity_added, capacity_balancer, capacity_members, capacity_service

ROOT = Path(__file__).parent
FIGURES = ROOT / "figures"
ASSUMPTIONS = ROOT / "capacity.toml"
Row = dict[str, float]
PLAY_S = 300.0  # a play that takes longer has failed


@dataclass(frozen=True)
class Part:
    """What is played: one call a play, at some sizes, the last of which is left out of fits."""

    play: Callable[[int, int], Row]
    by: str
    sizes: tuple[int, ...]
    plays: int = 3


PARTS = {
    "balancer": Part(capacity_balancer.measure, "size", (500, 1_000, 3_000, 6_000, 12_000, 18_000)),
    "list": Part(capacity_service.by_list, "size", (500, 1_000, 3_000, 6_000, 12_000)),
    "watches": Part(capacity_service.by_watches, "watches", (250, 500, 1_000, 2_000, 4_000)),
    "instances": Part(capacity_service.by_instances, "instances", (2, 3, 4, 6, 8), plays=2),
    "renewals": Part(capacity_service.by_rate, "rate", (20, 40, 80, 160, 320), plays=2),
    "member": Part(capacity_members.member, "size", (500, 1_000, 3_000, 6_000, 12_000, 18_000)),
    "notes": Part(capacity_members.notes, "size", (100, 200, 400, 800, 1_200), plays=2),
    "herd": Part(capacity_members.herd, "size", (500, 1_000, 2_000, 4_000, 8_000)),
    "added": Part(capacity_added.measure, "size", (3_000,), plays=2),
    "lapse": Part(capacity_members.lapse, "size", (500, 1_000, 2_000, 4_000, 8_000, 18_000)),
    "pause": Part(capacity_members.pause, "size", (10, 100, 1_000, 6_000, 18_000)),
}


def assumptions(path: Path = ASSUMPTIONS) -> dict[str, dict[str, float]]:
    """The tables of `capacity.toml`."""
    return tomllib.loads(path.read_text(encoding="utf-8"))


def load(folder: Path = FIGURES) -> dict[str, Any]:
    """All kept figures by the names of their files."""
    return {path.stem: json.loads(path.read_text(encoding="utf-8")) for path in sorted(folder.glob("*.json"))}


def measure(name: str, sizes: list[int], plays: int, say: Callable[[str], None]) -> None:
    """Play a part, and keep its rows in place of those of before."""
    part = PARTS[name]
    rows = []
    for number in range(1, (plays or part.plays) + 1):
        for size in sizes or part.sizes:
            row = fresh(name, size, number)
            rows.append(row)
            say(f"{name} {json.dumps(row)}")
    keep(name, rows)


def fresh(name: str, size: int, number: int) -> Row:
    """One play in a new process; CalledProcessError or TimeoutExpired if it fails."""
    command = [sys.executable, "-m", "benchmarks.capacity", "play", name, str(size), str(number)]
    done = subprocess.run(
        command, cwd=ROOT.parent, capture_output=True, text=True, check=True, timeout=PLAY_S
    )
    row: Row = json.loads(done.stdout.splitlines()[-1])
    return row


def keep(name: str, rows: list[Row], folder: Path = FIGURES) -> None:
    """Write a part's file."""
    folder.mkdir(exist_ok=True)
    short = [{key: _short(value) for key, value in row.items()} for row in rows]
    lines = ",\n  ".join(json.dumps(row) for row in short)
    text = f'{{"about": {json.dumps(about(name), indent=1)},\n "rows": [\n  {lines}\n ]}}\n'
    (folder / f"{name}.json").write_text(text, encoding="utf-8")


def _short(value: float) -> float:
    return float(f"{value:.5g}")


def about(name: str) -> dict[str, Any]:
    """Which code, machine and command gave figures."""
    commit = subprocess.run(
        ["git", "log", "-1", "--format=%h", "--", "loadbalancer"],
        cwd=ROOT.parent, capture_output=True, text=True, check=True,
    ).stdout.strip()  # fmt: skip
    return {
        "program": commit, "python": platform.python_version(), "machine": platform.machine(),
        "cores": len(os.sched_getaffinity(0)), "command": f"python -m benchmarks.capacity measure {name}",
    }  # fmt: skip
