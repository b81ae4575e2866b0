"""Errors in the arguments of commands, and files that commands know by name."""

from __future__ import annotations

from pathlib import Path


class UsageError(ValueError):
    """An argument that can't be used; the text is one line that says which and why."""


def find_file(folder: Path, kind: str, name: str) -> Path:
    """Return a TOML file by its name in a folder, or by its path; UsageError lists which there are."""
    path = Path(name) if name.endswith(".toml") else folder / f"{name}.toml"
    if not path.exists():
        known = ", ".join(p.stem for p in sorted(folder.glob("*.toml"))) or f"none in {folder}"
        raise UsageError(f"no {kind} {name!r}; there are {known}")
    return path
