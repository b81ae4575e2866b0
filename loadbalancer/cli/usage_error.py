"""Arguments that can't be used, and files that commands know by name."""

from __future__ import annotations

from pathlib import Path


class UsageError(ValueError):
    """An argument that can't be used: one line that tells which and why."""


def find_file(folder: Path, kind: str, name: str) -> Path:
    """A TOML file by its name in a folder, or by its path; Misuse tells which there are."""
    path = Path(name) if name.endswith(".toml") else folder / f"{name}.toml"
    if not path.exists():
        known = ", ".join(p.stem for p in sorted(folder.glob("*.toml"))) or f"none in {folder}"
        raise UsageError(f"no {kind} {name!r}; there are {known}")
    return path
