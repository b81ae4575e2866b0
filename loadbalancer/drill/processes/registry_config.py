"""The configuration file of one instance of the real registry, for drills and scale runs."""

from __future__ import annotations

import json
from pathlib import Path


def write_registry_config(
    path: Path, *, listen: str, database: Path, instances: list[str], number: int
) -> None:
    """Write the file of instance `number`; `instances` are the addresses of all, as it reaches them."""
    lines = [f'listen = "{listen}"', f'database = "{database}"']
    if len(instances) > 1:
        lines += [f"instances = {json.dumps(instances)}", f"instance = {number}"]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
