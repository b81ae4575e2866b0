"""Select the policy of a play: the working tree's, that of an earlier commit, or a baseline."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
import tarfile
from io import BytesIO
from pathlib import Path

from loadbalancer.simulation.baselines import BASELINES, Oracle
from loadbalancer.simulation.fleet import SimulatedFleet
from loadbalancer.simulation.scenario import DrawnScenario

OWN_POLICY = "ours"
POLICY_NAMES = (OWN_POLICY, *BASELINES)


class PolicyError(ValueError):
    """A policy or a commit does not exist; the message is one line that names it."""


def create_fleet(drawn: DrawnScenario, name: str) -> SimulatedFleet:
    """Return the simulated fleet of a play, in which all balancers run the named policy.

    Raises PolicyError if there is no policy of that name.
    """
    if name == OWN_POLICY:
        from loadbalancer.policy import Balancer  # imported late: `replace_policy` may have replaced it

        return SimulatedFleet(drawn, Balancer)
    if name not in BASELINES:
        raise PolicyError(f"no policy {name!r}; there are {', '.join(POLICY_NAMES)}")
    baseline = BASELINES[name]
    if baseline is not Oracle:
        return SimulatedFleet(drawn, baseline)
    oracle = type("OracleOfOneFleet", (Oracle,), {})  # a class per play, because each play has its own fleet
    fleet = SimulatedFleet(drawn, oracle)
    oracle.fleet = fleet  # type: ignore[attr-defined]
    return fleet


def extract_policy(commit: str, repository: Path, folder: Path) -> None:
    """Extract the decision module of a commit into a folder; raises PolicyError if git has none there."""
    for part in ("loadbalancer/policy", "loadbalancer/policy.py"):
        done = subprocess.run(
            ["git", "archive", commit, part], cwd=repository, capture_output=True, check=False
        )
        if done.returncode == 0:
            with tarfile.open(fileobj=BytesIO(done.stdout)) as tar:
                tar.extractall(folder, filter="data")
            return
    raise PolicyError(f"no decision module at commit {commit!r} of {repository}")


def replace_policy(folder: Path) -> None:
    """Replace the working tree's decision module by an extracted one, for the rest of this process."""
    for name in [name for name in sys.modules if name.split(".")[:2] == ["loadbalancer", "policy"]]:
        del sys.modules[name]
    package = folder / "loadbalancer"
    is_package = (package / "policy").is_dir()
    path = package / "policy" / "__init__.py" if is_package else package / "policy.py"
    spec = importlib.util.spec_from_file_location(
        "loadbalancer.policy", path, submodule_search_locations=[str(path.parent)] if is_package else None
    )
    assert spec is not None and spec.loader is not None, "a Python source file has a loader"
    module = importlib.util.module_from_spec(spec)
    sys.modules["loadbalancer.policy"] = module
    spec.loader.exec_module(module)
