"""How figures and tables are written on the page of capacity."""

from __future__ import annotations

import math

NOTHING = 1e-9  # below it, a figure is what rounding has left


def number(value: float) -> str:
    """Three digits that count."""
    if not math.isfinite(value):
        return "none"
    if abs(value) < NOTHING:
        return "0"
    digits = 2 - math.floor(math.log10(abs(value)))
    return f"{round(value, digits):,.{max(digits, 0)}f}"


def table(head: list[str], rows: list[list[str]]) -> str:
    """A table in Markdown."""
    lines = [head, ["---"] * len(head), *rows]
    return "".join("| " + " | ".join(line) + " |\n" for line in lines)
