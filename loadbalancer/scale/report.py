"""The page on a scale run: each step's cost and what is over its allowance, plots by time and by size."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from itertools import pairwise
from pathlib import Path
from typing import Any

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from loadbalancer.scale.allowances import Allowances, find_excesses
from loadbalancer.scale.plan import PlanError

WIDTH, HEIGHT, DOTS = 9.0, 8.0, 110
ROLES = {"instance": "list service instance", "hollow": "hollow balancer", "real_idle": "real balancer"}
SHOWN = ("start", "changes", "instance-killed", "away")
COLUMNS = (
    "cpu_mean",
    "cpu_worst",
    "bytes_s_mean",
    "bytes_s_worst",
    "calls_s_mean",
    "calls_s_worst",
    "pss_mb",
)
ALIKE = 0.2  # part by which hollow and real may differ
Row = dict[str, Any]


def read(folder: Path) -> Row:
    """A run's figures; PlanError if the folder holds none."""
    try:
        told: Row = json.loads((folder / "figures.json").read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise PlanError(f"{folder} holds no run that came to its end: {error}") from None
    return told


def write(folder: Path, kept: Path | None) -> Path:
    """Write page.md with its plots into a run's folder; `kept` holds the figures of several sizes."""
    told = read(folder)
    draw_time(told).savefig(folder / "time.png", dpi=DOTS)
    others = [json.loads(path.read_text()) for path in sorted(kept.glob("scale-*.json"))] if kept else []
    if others:
        draw_sizes(others).savefig(folder / "size.png", dpi=DOTS)
    page = folder / "page.md"
    page.write_text("\n".join(_lines(told, bool(others))) + "\n", encoding="utf-8")
    return page


def _lines(told: Row, has_sizes: bool) -> Iterable[str]:
    yield f"# {told['size']:,} balancers, lists {told['mechanism']}"
    yield ""
    yield (
        f"{told['hollow']:,} hollow balancers in {told['hosts']} processes, {told['real']} real ones, "
        f"{told['instances']} instances, {told['services']} services; seed {told['seed']}. "
        "Processor time in cores, bytes and calls a second, of one of its role; worst: the worst second."
    )
    yield ""
    yield from _table(told)
    yield ""
    yield from _over(told)
    yield ""
    yield "## Hollow beside real"
    yield ""
    yield from compare(told)
    yield ""
    yield "![by time](time.png)"
    if has_sizes:
        yield ""
        yield "![by size](size.png)"


def _table(told: Row) -> Iterable[str]:
    yield (
        "| step | role | " + " | ".join(COLUMNS) + " | in force, ms: median, p99, most | never told, stale |"
    )
    yield "| --- | --- | " + " | ".join("---" for _ in COLUMNS) + " | --- | --- |"
    for step, one in told["steps"].items():
        force = one["in_force_ms"]
        for place, (role, title) in enumerate(ROLES.items()):
            cost = one["roles"].get(role, {})
            cells = " | ".join(f"{cost[key]:,.4g}" if key in cost else "" for key in COLUMNS)
            ends = f"{force['median']:,}, {force['p99']:,}, {force['max']:,}" if not place else ""
            left = f"{force['never_told']}, {force['stale_after']}" if not place else ""
            yield f"| {step if not place else ''} | {title} | {cells} | {ends} | {left} |"


def _over(told: Row) -> Iterable[str]:
    found = find_excesses(told)
    yield f"Over an allowance: {len(found) or 'nothing'}."
    for one in found:
        where = f"{one['step']}, {one['role']}"
        yield f"- {where}: {one['figure']} {one['value']:,.4g}, allowed {one['allowed']:g}"


def compare(told: Row) -> Iterable[str]:
    """Control of a hollow balancer beside that of a real one without calls, as lines of a table."""
    yield "| step | figure | hollow | real | hollow to real | within 20% |"
    yield "| --- | --- | --- | --- | --- | --- |"
    quiet = told["steps"].get("quiet", {}).get("roles", {})
    for step, one in told["steps"].items():
        hollow, real = one["roles"].get("hollow", {}), one["roles"].get("real_idle", {})
        for key in ("bytes_s_mean", "calls_s_mean", "cpu_mean"):
            if key not in hollow or key not in real:
                continue
            ours, theirs = hollow[key], real[key]
            name = key
            if key == "cpu_mean" and quiet and step != "quiet":
                name = "cpu_mean over that of the quiet step"
                ours, theirs = ours - quiet["hollow"][key], theirs - quiet["real_idle"][key]
            part = ours / theirs if theirs else 0.0
            word = "yes" if abs(part - 1) <= ALIKE else "no"
            yield f"| {step} | {name} | {ours:.4g} | {theirs:.4g} | {part:.2f} | {word} |"


def draw_time(told: Row) -> Figure:
    """Each second: processor time, bytes and calls of each role, with the steps marked."""
    figure = Figure(figsize=(WIDTH, HEIGHT), layout="constrained")
    plots = figure.subplots(3, 2, sharex=True)
    first = min(step["begin"] for step in told["steps"].values())
    for row, key in enumerate(("cpu", "bytes", "calls")):
        for column, roles in enumerate((("instance",), ("hollow", "real_idle"))):
            axes = plots[row][column]
            for role in roles:
                _draw_units(axes, told["by_time"].get(role, []), key, first, ROLES[role])
            for name, step in told["steps"].items():
                axes.axvline(step["begin"] - first, color="#999999", linewidth=0.7)
                if not row:
                    where = (step["begin"] - first, 1.0)
                    axes.annotate(name, where, xycoords=("data", "axes fraction"), rotation=35, fontsize=7)
            axes.set_ylabel("cores" if key == "cpu" else f"{key} a second")
            axes.set_ylim(bottom=0)
            axes.legend(frameon=False, fontsize=7)
    for axes in plots[-1]:
        axes.set_xlabel("s since the first step")
    return figure


def _draw_units(axes: Axes, units: list[Row], key: str, first: int, title: str) -> None:
    for place, unit in enumerate(units):
        points = [(int(at) - first, values[key]) for at, values in unit.items() if key in values]
        points = sorted((at, value) for at, value in points if at >= 0)
        gaps = [(at + 1, math.nan) for (at, _), (later, _) in pairwise(points) if later > at + 1]
        points = sorted([*points, *gaps])  # nothing is drawn where a process was away
        label = f"{title} {place}" if len(units) > 1 else title
        axes.plot([at for at, _ in points], [value for _, value in points], linewidth=0.9, label=label)


def draw_sizes(kept: list[Row]) -> Figure:
    """By size and mechanism: what an instance and a real balancer cost, and when changes are in force."""
    figure = Figure(figsize=(WIDTH, HEIGHT), layout="constrained")
    force, cpu, bytes_, memory = figure.subplots(2, 2).flatten()
    for mechanism, style in (("whole", "o-"), ("interest", "s--")):
        runs = sorted((run for run in kept if run["mechanism"] == mechanism), key=lambda run: run["size"])
        for step in SHOWN:
            own = [run for run in runs if step in run["steps"]]
            sizes, label = [run["size"] for run in own], f"{step}, {mechanism}"
            steps = [run["steps"][step] for run in own]
            force.plot(sizes, [s["in_force_ms"]["max"] / 1_000 for s in steps], style, label=label)
            cpu.plot(sizes, [s["roles"]["instance"]["cpu_worst"] for s in steps], style, label=label)
            bytes_.plot(sizes, [_cost(s, "bytes_s_worst10") / 1_000 for s in steps], style, label=label)
            memory.plot(sizes, [_cost(s, "pss_mb") for s in steps], style, label=label)
    allowed = Allowances()
    for axes, title, most in (
        (force, "in force at the last balancer, s", allowed.in_force_ms / 1_000),
        (cpu, "an instance's worst second, cores", 1.0),
        (bytes_, "a real balancer's worst ten seconds, KB a second", allowed.bytes_s / 1_000),
        (memory, "a real balancer's PSS, MB", allowed.pss_mb),
    ):
        axes.axhline(most, color="#b23a48", linewidth=0.8, linestyle=":")
        axes.set_xscale("log")
        axes.set_title(title, fontsize=9)
        axes.set_ylim(bottom=0)
        axes.set_xlabel("balancers and upstreams")
    force.legend(frameon=False, fontsize=6)
    return figure


def _cost(step: Row, key: str) -> float:
    """Of the real balancers without calls; NaN where there were none."""
    return float(step["roles"].get("real_idle", {}).get(key, float("nan")))
