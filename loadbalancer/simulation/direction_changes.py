"""Count changes of direction: a share that oscillates is worse than one that falls and rises once."""

from __future__ import annotations

from collections.abc import Sequence


def count_direction_changes(values: Sequence[float], min_change: float) -> int:
    """Return how often a series changes its direction by more than `min_change`, in the series' unit."""
    if not values:
        return 0
    count = 0
    direction = 0  # 1 while the series rises, -1 while it falls, 0 until it has moved far enough
    lowest = highest = values[0]  # since the last change of direction
    for value in values:
        lowest, highest = min(lowest, value), max(highest, value)
        if direction >= 0 and value < highest - min_change:
            count += direction > 0
            direction = -1
            lowest = value
        elif direction <= 0 and value > lowest + min_change:
            count += direction < 0
            direction = 1
            highest = value
    return count
