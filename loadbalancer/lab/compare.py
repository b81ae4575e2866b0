"""Compare two sets of plays, paired by scenario and seed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from loadbalancer.lab.plays import Record

BOOTSTRAP_RESAMPLES = 4_000  # enough to make the third digit of the interval stable
MIN_FIGURE_CHANGE = 0.005  # a smaller change of the figure counts as neither won nor lost
Pair = tuple[float, float]
"""The figure of one scenario and seed, before and after."""


@dataclass(frozen=True)
class ScenarioComparison:
    """How a scenario changed: mean figures, the mean change and its 95% bootstrap interval.

    The fields' names are the keys of `lab compare --json`.
    """

    scenario: str
    pairs: int
    before: float
    after: float
    change: float
    low: float
    high: float
    won: int
    lost: int


def compare(before: Sequence[Record], after: Sequence[Record]) -> list[ScenarioComparison]:
    """Return a row for each scenario that both sides have, and one for all.

    Where a side holds several policies, the same ones are paired; where each holds one, these two. Raises
    ValueError if both have no scenario and seed in common.
    """
    has_several_policies = any(len({record.policy for record in side}) > 1 for side in (before, after))

    def key_of(record: Record) -> tuple[str, int, str]:
        return record.scenario, record.seed, record.policy if has_several_policies else ""

    figures_before = {key_of(record): record.figure for record in before}
    pairs: dict[str, list[Pair]] = defaultdict(list)
    for record in after:
        key = key_of(record)
        if key in figures_before:
            pairs[record.scenario].append((figures_before[key], record.figure))
    if not pairs:
        raise ValueError("nothing to compare: the sides have no scenario and seed in common")
    rows = [_compare_pairs(name, pairs[name]) for name in sorted(pairs)]
    return [*rows, _compare_pairs("all", [pair for name in sorted(pairs) for pair in pairs[name]])]


def _compare_pairs(name: str, pairs: list[Pair]) -> ScenarioComparison:
    """Return the row of a scenario; the seed of the resamples is fixed, so that it is reproducible."""
    figures = np.array(pairs)
    changes = figures[:, 1] - figures[:, 0]
    random = np.random.default_rng(len(pairs))
    means = random.choice(changes, (BOOTSTRAP_RESAMPLES, len(changes))).mean(axis=1)
    low, high = np.percentile(means, [2.5, 97.5])
    return ScenarioComparison(
        scenario=name,
        pairs=len(pairs),
        before=float(figures[:, 0].mean()),
        after=float(figures[:, 1].mean()),
        change=float(changes.mean()),
        low=float(low),
        high=float(high),
        won=int((changes > MIN_FIGURE_CHANGE).sum()),
        lost=int((changes < -MIN_FIGURE_CHANGE).sum()),
    )
