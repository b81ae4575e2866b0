"""Two sets of plays side by side, paired by scenario and seed."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

import numpy as np

from loadbalancer.lab.plays import Record

RESAMPLES = 4_000
EVEN = 0.005  # a change of the figure under this is neither won nor lost


@dataclass(frozen=True)
class Row:
    """How a scenario changed: mean figures, the mean change and its bootstrap interval of 95 in 100."""

    scenario: str
    pairs: int
    before: float
    after: float
    change: float
    low: float
    high: float
    won: int
    lost: int


def compare(before: list[Record], after: list[Record]) -> list[Row]:
    """A row for each scenario that both have, and one for all; ValueError if nothing pairs.

    Where both sides hold several policies, the same ones are paired; where each holds one, these two.
    """
    one, other = ({r.policy for r in side} for side in (before, after))
    by_policy = len(one) > 1 or len(other) > 1
    known = {(r.scenario, r.seed, r.policy if by_policy else ""): r.figure for r in before}
    pairs: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for record in after:
        key = (record.scenario, record.seed, record.policy if by_policy else "")
        if key in known:
            pairs[record.scenario].append((known[key], record.figure))
    if not pairs:
        raise ValueError("nothing to compare: no scenario and seed stand in both")
    rows = [_row(name, pairs[name]) for name in sorted(pairs)]
    return [*rows, _row("all", [pair for name in sorted(pairs) for pair in pairs[name]])]


def _row(name: str, pairs: list[tuple[float, float]]) -> Row:
    figures = np.array(pairs)
    changes = figures[:, 1] - figures[:, 0]
    rng = np.random.default_rng(len(pairs))
    means = rng.choice(changes, (RESAMPLES, len(changes))).mean(axis=1)
    low, high = np.percentile(means, [2.5, 97.5])
    return Row(
        name, len(pairs), float(figures[:, 0].mean()), float(figures[:, 1].mean()), float(changes.mean()),
        float(low), float(high), int((changes > EVEN).sum()), int((changes < -EVEN).sum()),
    )  # fmt: skip
