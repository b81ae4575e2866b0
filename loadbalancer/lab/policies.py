"""The policies that can be played: ours, ours at an earlier commit, and the baselines."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
import tarfile
from io import BytesIO
from pathlib import Path

from loadbalancer.simulation.baselines import BASELINES, Oracle
from loadbalancer.simulation.fleet import SimulatedFleet
from loadbalancer.simulation.scenario import Day

OURS = "ours"
NAMES = (OURS, *BASELINES)


class PolicyError(ValueError):
    """A policy or a commit that is not there: one line that names it."""


def world(day: Day, name: str) -> SimulatedFleet:
    """The world of a day with a policy in all its balancers; PolicyError if there is none of that name."""
    if name == OURS:
        from loadbalancer.policy import Balancer  # late: `use` may have put another in its place

        return SimulatedFleet(day, Balancer)
    if name not in BASELINES:
        raise PolicyError(f"no policy {name!r}; there are {', '.join(NAMES)}")
    kind = BASELINES[name]
    if kind is not Oracle:
        return SimulatedFleet(day, kind)
    seeing = type("Seeing", (Oracle,), {})
    made = SimulatedFleet(day, seeing)
    seeing.world = made  # type: ignore[attr-defined]
    return made


def unpack(commit: str, repository: Path, folder: Path) -> None:
    """Lay the decisions of a commit into a folder; PolicyError if git has none there."""
    for part in ("loadbalancer/policy", "loadbalancer/policy.py"):
        done = subprocess.run(
            ["git", "archive", commit, part], cwd=repository, capture_output=True, check=False
        )
        if done.returncode == 0:
            with tarfile.open(fileobj=BytesIO(done.stdout)) as tar:
                tar.extractall(folder, filter="data")
            return
    raise PolicyError(f"no decisions at commit {commit!r} of {repository}")


def use(folder: Path) -> None:
    """Put unpacked decisions in the place of this tree's, in this process, for good."""
    for name in [n for n in sys.modules if n.split(".")[:2] == ["loadbalancer", "policy"]]:
        del sys.modules[name]
    home = folder / "loadbalancer"
    is_package = (home / "policy").is_dir()
    path = home / "policy" / "__init__.py" if is_package else home / "policy.py"
    spec = importlib.util.spec_from_file_location(
        "loadbalancer.policy", path, submodule_search_locations=[str(path.parent)] if is_package else None
    )
    assert spec is not None and spec.loader is not None, "a file of Python has a loader"
    module = importlib.util.module_from_spec(spec)
    sys.modules["loadbalancer.policy"] = module
    spec.loader.exec_module(module)
