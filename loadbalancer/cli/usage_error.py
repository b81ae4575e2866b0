"""Errors in command arguments, and lookup of files by name."""

from __future__ import annotations

from pathlib import Path


class UsageError(ValueError):
    """An invalid argument; the message is one line that says which and why."""


def find_file(folder: Path, kind: str, name: str) -> Path:
    """Return a TOML file by its name in a folder, or by its path; UsageError lists those available."""
    path = Path(name) if name.endswith(".toml") else folder / f"{name}.toml"
    if not path.exists():
        known = ", ".join(p.stem for p in sorted(folder.glob("*.toml"))) or f"none in {folder}"
        raise UsageError(f"no {kind} {name!r}; available: {known}")
    return path
