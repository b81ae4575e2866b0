"""The commands and environments that start balancers and registry instances."""

from __future__ import annotations

import os
import shlex
import sys
import tomllib
from pathlib import Path

from loadbalancer.drill.defects.names import REGISTRY_DEFECTS

ROOT = Path(__file__).parents[3]  # the root of this checkout
LAUNCHER = "loadbalancer.drill.defects.launch"


def balancer_command(folder: Path | None, defect: str = "") -> list[str]:
    """Return the command that starts a balancer: that of the folder's deploy file if the folder was built.

    Otherwise, as in a checkout without `.venv`, this interpreter runs the same module.
    """
    if defect and defect not in REGISTRY_DEFECTS:
        return [sys.executable, "-m", LAUNCHER, defect, "balancer"]
    root = folder or ROOT
    deploy = root / "deploy" / "balancer.toml"
    if deploy.exists():
        argv = shlex.split(tomllib.loads(deploy.read_text(encoding="utf-8"))["run"])
        if argv[0] == "exec" and (root / argv[1]).exists():
            return argv[1:]
    return [sys.executable, "-m", "loadbalancer"]


def registry_command(config: Path, defect: str = "") -> list[str]:
    """Return the command that starts an instance of the real registry."""
    if defect:
        return [sys.executable, "-m", LAUNCHER, defect, "registry", str(config)]
    cli = "from loadbalancer.cli import main; main()"
    return [sys.executable, "-c", cli, "directory", "serve", str(config)]


def process_environment(folder: Path | None, **variables: str) -> dict[str, str]:
    """Return the environment of a process that imports the package from `folder`."""
    return os.environ | {"PYTHONPATH": str(folder or ROOT)} | variables
