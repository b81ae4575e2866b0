"""How often a figure turns: a share that swings to and fro is worse than one that falls and rises once."""

from __future__ import annotations

from collections.abc import Sequence


def turns(figures: Sequence[float], least: float) -> int:
    """How often a line of figures changes its direction by more than `least`."""
    if not figures:
        return 0
    count, way, low, high = 0, 0, figures[0], figures[0]
    for figure in figures:
        low, high = min(low, figure), max(high, figure)
        if way >= 0 and figure < high - least:
            count, way, low = count + (way > 0), -1, figure
        elif way <= 0 and figure > low + least:
            count, way, high = count + (way < 0), 1, figure
    return count
