"""The tables of what is played as a whole: what the program adds to a call, and the scale run."""

from __future__ import annotations

import statistics
from typing import Any

from benchmarks.capacity_slopes import Assumed
from benchmarks.capacity_text import number, table

CAUSES = {
    "kept": "connections kept: the way through the process",
    "client_dials": "the client dials for each call",
    "upstream_dials": "the upstream closes after each answer, the client dials for each call",
    "changes": "five changes of the list a second",
    "whole_lists": "a whole list each 5 s",
}
SCALE = "scale-"
ROLE_FIGURES = {
    "cpu": ("of a core", 100.0, "%"),
    "bytes_s": ("bytes a second", 1e-3, " KB"),
    "calls_s": ("calls a second", 1.0, ""),
}


def added(figures: dict[str, Any], told: Assumed) -> str:
    """Each cause: direct calls and calls by way of the program, and the difference."""
    if "added" not in figures:
        return "Not run.\n"
    rows = figures["added"]["rows"]
    allowed, depth = told["allowance"]["added_ms"], told["target"]["depth"]
    lines = [_cause(step, what, rows, allowed) for step, what in CAUSES.items()]
    head = [
        "", "calls", "processor time of a call, ms", "direct: median, 99 in 100", "by way of it",
        "adds to the median", "adds to 99 in 100: plays", f"allowed {allowed:g} ms",
    ]  # fmt: skip
    chain = depth * statistics.mean(_adds(row, "kept", "p50") for row in rows)
    beyond = 1 - 0.99**depth
    return table(head, lines) + (
        f"\nA chain of {depth:g} calls, one after another, takes {depth:g} times the median more,"
        f" {number(chain)} ms with kept connections, and {beyond:.0%} of such chains hold a call past the"
        " 99 in 100 (reckoned).\n"
    )


def _adds(row: dict[str, float], step: str, part: str) -> float:
    return row[f"{step}_{part}_ms"] - row[f"{step}_direct_{part}_ms"]


def _cause(step: str, what: str, rows: list[dict[str, float]], allowed: float) -> list[str]:
    def middle(key: str) -> str:
        return number(statistics.median(row[f"{step}_{key}_ms"] for row in rows))

    tails = sorted(_adds(row, step, "p99") for row in rows)
    calls = sum(int(row[f"{step}_calls"]) for row in rows)
    failed = sum(int(row[f"{step}_failed"]) for row in rows)
    over = sum(tail > allowed for tail in tails)
    return [
        what, f"{calls:,}" + (f", {failed} failed" if failed else ""),
        middle("core"),
        f"{middle('direct_p50')}, {middle('direct_p99')}", f"{middle('p50')}, {middle('p99')}",
        number(statistics.median(_adds(row, step, "p50") for row in rows)),
        ", ".join(number(tail) for tail in tails),
        "in" if not over else f"**over** in {over} of {len(rows)}",
    ]  # fmt: skip


def scale(figures: dict[str, Any]) -> str:
    """The scale runs that are kept: the most of each role over all steps, and changes in force by step."""
    runs = sorted(
        (run for name, run in figures.items() if name.startswith(SCALE)),
        key=lambda run: (run["size"], run["mechanism"]),
    )
    if not runs:
        return "No scale run is kept.\n"
    return _by_role(runs) + "\n" + _in_force(runs)


def _by_role(runs: list[dict[str, Any]]) -> str:
    rows = []
    for run in runs:
        for role in sorted({role for step in run["steps"].values() for role in step["roles"]}):
            rows.append([f"{run['size']:,}", run["mechanism"], role, *_most(run, role)])
    names = [f"{what}: mean, worst 10 s, worst second" for what, _, _ in ROLE_FIGURES.values()]
    return table(["balancers", "lists", "role", *names, "PSS, MB"], rows)


def _most(run: dict[str, Any], role: str) -> list[str]:
    """The most of a role's figures over the steps, each with its step."""
    there = {name: step["roles"][role] for name, step in run["steps"].items() if role in step["roles"]}
    cells = []
    for key, (_, factor, unit) in ROLE_FIGURES.items():
        said = []
        for part in ("mean", "worst10", "worst"):
            said.append(_worst(there, f"{key}_{part}", factor, unit))
        cells.append(", ".join(said))
    return [*cells, _worst(there, "pss_mb", 1.0, "")]


def _worst(steps: dict[str, dict[str, float]], key: str, factor: float, unit: str) -> str:
    """The most of a figure over steps, and the step; said so where none has it."""
    there = {name: role[key] for name, role in steps.items() if key in role}
    if not there:
        return "not told"
    step = max(there, key=lambda name: there[name])
    return f"{number(there[step] * factor)}{unit} ({step})"


def _in_force(runs: list[dict[str, Any]]) -> str:
    """By step and run: 99 in 100 and the most in ms, those never told and stale ones after it."""
    steps = list(dict.fromkeys(name for run in runs for name in run["steps"]))
    rows = []
    for name in steps:
        cells = [_force(run["steps"].get(name, {}).get("in_force_ms")) for run in runs]
        if any(cells):
            rows.append([name, *cells])
    heads = [f"{run['size']:,} {run['mechanism']}" for run in runs]
    head = ["ms until in force at the last balancer: 99 in 100, most", *heads]
    return table(head, rows)


def _force(told: dict[str, float] | None) -> str:
    if not told or told.get("p99") is None or told.get("count") == 0:
        return ""
    said = f"{number(told['p99'])}, {number(told['max'])}"
    for key, word in (("never_told", "never told"), ("stale_after", "stale after")):
        if told.get(key):
            said += f"; {told[key]:g} {word}"
    return said
