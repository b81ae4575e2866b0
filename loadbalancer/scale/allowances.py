"""Cost limits of a step, by the operators' requirements and the design of watches, and their excesses."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

CONTROL_ROLES = ("hollow", "real_idle")  # the other roles' bytes and time include more than control


class Allowances(msgspec.Struct, frozen=True, kw_only=True):
    """For control traffic. The first four are the operators' requirements of 2026-12-02."""

    cpu: float = 0.021
    """Fraction of a core per balancer, over the worst ten seconds."""
    pss_mb: float = 32.0
    bytes_s: float = 7_000.0
    """Per balancer, over the worst ten seconds."""
    in_force_ms: float = 6_000.0
    quiet_calls_s: float = 1.0
    """Per balancer, on average while nothing changes: a watch waits at least 2.4 s."""
    bytes_a_call: float = 4_000.0
    """Per hollow balancer, on average while single upstreams change: the entries of a few of them."""
    dials_s: float = 2.0
    """Connects per balancer, over the worst ten seconds: backoff begins at half a second and doubles."""


Excess = dict[str, Any]


def find_excesses(run: dict[str, Any], allowances: Allowances = Allowances()) -> list[Excess]:  # noqa: B008
    """Return a run's figures that exceed their allowance: step, role, figure, value, allowed.

    Memory is checked for real processes only: a hollow balancer shares its process with others.
    """
    return [
        {"step": step, "role": role, "figure": figure, "value": value, "allowed": allowed}
        for step, figures in run["steps"].items()
        for role, figure, value, allowed in _checked_figures(step, figures, allowances)
        if value is not None and value > allowed
    ]


def _checked_figures(
    step: str, figures: dict[str, Any], allowances: Allowances
) -> Iterator[tuple[str, str, float | None, float]]:
    """Yield role, name, value and allowance of each checked figure of a step."""
    for role, cost in figures["roles"].items():
        if role not in CONTROL_ROLES:
            continue
        yield role, "cpu_worst10", cost.get("cpu_worst10"), allowances.cpu
        yield role, "bytes_s_worst10", cost.get("bytes_s_worst10"), allowances.bytes_s
        yield role, "dials_s_worst10", cost.get("dials_s_worst10"), allowances.dials_s
        if role == "real_idle":
            yield role, "pss_mb", cost["pss_mb"], allowances.pss_mb
        if step == "quiet":
            yield role, "calls_s_mean", cost.get("calls_s_mean"), allowances.quiet_calls_s
    hollow = figures["roles"].get("hollow", {})
    if step == "changes" and hollow.get("calls_s_mean"):
        bytes_a_call = hollow["bytes_s_mean"] / hollow["calls_s_mean"]
        yield "hollow", "bytes_a_call", bytes_a_call, allowances.bytes_a_call
    times = figures["in_force_ms"]
    yield "all", "in_force_ms", times["max"], allowances.in_force_ms
    yield "all", "never_told", times["never_told"], 0
    yield "all", "stale_after", times["stale_after"], 0
