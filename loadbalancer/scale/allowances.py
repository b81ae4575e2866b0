"""What a step may cost, by the operators' letter, and by what the watches promise; what goes over it."""

from __future__ import annotations

from typing import Any

import msgspec


class Allowances(msgspec.Struct, frozen=True, kw_only=True):
    """For control. The first four are the letter's (2026-12-02)."""

    cpu: float = 0.021
    """Of a core, a balancer, over the worst ten seconds."""
    pss_mb: float = 32.0
    bytes_s: float = 7_000.0
    """A balancer, over the worst ten seconds."""
    in_force_ms: float = 6_000.0
    quiet_calls_s: float = 1.0
    """A balancer, on average while nothing changes: a watch waits 2.4 s at the least."""
    bytes_a_call: float = 4_000.0
    """A hollow balancer, on average while single upstreams change: the entries of a few of them."""
    dials_s: float = 2.0
    """A balancer, over the worst ten seconds: pauses begin at half a second and double."""


def find_excesses(told: dict[str, Any], allowed: Allowances = Allowances()) -> list[dict[str, Any]]:  # noqa: B008
    """What is over its allowance in the `steps` of a run's figures: step, role, figure, value, allowance.

    Memory is judged of real processes only: a hollow balancer shares its process with others.
    """
    found: list[dict[str, Any]] = []

    def judge(step: str, role: str, figure: str, value: float | None, most: float) -> None:
        if value is not None and value > most:
            found.append({"step": step, "role": role, "figure": figure, "value": value, "allowed": most})

    for step, one in told["steps"].items():
        for role, cost in one["roles"].items():
            if role not in ("hollow", "real_idle"):
                continue  # the others' bytes and time are not for control alone
            judge(step, role, "cpu_worst10", cost.get("cpu_worst10"), allowed.cpu)
            judge(step, role, "bytes_s_worst10", cost.get("bytes_s_worst10"), allowed.bytes_s)
            judge(step, role, "dials_s_worst10", cost.get("dials_s_worst10"), allowed.dials_s)
            if role == "real_idle":
                judge(step, role, "pss_mb", cost["pss_mb"], allowed.pss_mb)
            if step == "quiet":
                judge(step, role, "calls_s_mean", cost.get("calls_s_mean"), allowed.quiet_calls_s)
        hollow = one["roles"].get("hollow", {})
        if step == "changes" and hollow.get("calls_s_mean"):
            a_call = hollow["bytes_s_mean"] / hollow["calls_s_mean"]
            judge(step, "hollow", "bytes_a_call", a_call, allowed.bytes_a_call)
        force = one["in_force_ms"]
        judge(step, "all", "in_force_ms", force["max"], allowed.in_force_ms)
        judge(step, "all", "never_told", force["never_told"], 0)
        judge(step, "all", "stale_after", force["stale_after"], 0)
    return found
