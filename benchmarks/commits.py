"""The package as it was at an earlier commit, laid out in a folder."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tarfile
import tempfile
from io import BytesIO
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent


def run_at(commit: str, script: str, *args: str) -> Any:
    """What a script of this tree, named from its root, prints as JSON with the package of a commit.

    The script is started as a module; of this tree it finds nothing but itself. Raises
    `subprocess.CalledProcessError` where git does not know the commit, or the script fails.
    """
    archive = ["git", "archive", commit, "loadbalancer"]
    packed = subprocess.run(archive, cwd=ROOT, check=True, capture_output=True).stdout
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=BytesIO(packed)) as tar:
            tar.extractall(folder, filter="data")
        copy = Path(folder) / script
        copy.parent.mkdir(exist_ok=True)
        copy.write_text((ROOT / script).read_text(encoding="utf-8"), encoding="utf-8")
        module = script.removesuffix(".py").replace("/", ".")
        told = subprocess.run(
            [sys.executable, "-m", module, *args],
            cwd=folder,
            env=os.environ | {"PYTHONPATH": folder},
            check=True,
            stdout=subprocess.PIPE,
            text=True,
        ).stdout
    return json.loads(told)
