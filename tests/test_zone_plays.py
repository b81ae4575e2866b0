"""Test what `benchmarks.zones` measures: the worst second, the recovery, and changes of direction."""

from __future__ import annotations

import pytest

from benchmarks.zones import SWING, Play, judge
from loadbalancer.simulation.direction_changes import count_direction_changes


def test_only_large_moves_of_a_share_count_as_direction_changes() -> None:
    assert count_direction_changes([], SWING) == 0
    assert count_direction_changes([0.33, 0.36, 0.30, 0.34], SWING) == 0
    assert count_direction_changes([0.33, 0.05, 0.04, 0.33], SWING) == 1
    assert count_direction_changes([0.33, 0.05, 0.33, 0.05, 0.33], SWING) == 3
    assert count_direction_changes([0.3, 0.35, 0.4, 0.45, 0.3], SWING) == 1


def test_the_worst_second_and_the_recovery_count_from_the_start_of_the_fault() -> None:
    served = {s: 1.0 for s in range(20)} | {1: 0.2, 8: 0.5, 9: 0.9, 13: 0.9}
    done = Play("x", 1, served, {s: {"c": 0.3} for s in range(20)}, 8, 12, 0.0, 1.0)
    judge(done, "c")
    assert (done.worst, done.back_s, done.direction_changes) == (0.5, 2, 0)
    done.served = {s: 1.0 for s in range(20)} | {9: 0.9}
    judge(done, "c")
    assert done.back_s == pytest.approx(-2), "recovered before the fault ended"
