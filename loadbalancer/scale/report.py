"""The page on a scale run: the cost of each step, exceeded allowances, and plots by time and by size."""

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

WIDTH, HEIGHT = 9.0, 8.0  # inches
DOTS_PER_INCH = 110
ROLES = {"instance": "list service instance", "hollow": "hollow balancer", "real_idle": "real balancer"}
PLOTTED_STEPS = ("start", "changes", "instance-killed", "away")
COLUMNS = (
    "cpu_mean",
    "cpu_worst",
    "bytes_s_mean",
    "bytes_s_worst",
    "calls_s_mean",
    "calls_s_worst",
    "pss_mb",
)
MAX_DIFFERENCE = 0.2  # by which hollow and real balancers may differ
Row = dict[str, Any]


def read_figures(folder: Path) -> Row:
    """Read a run's figures; PlanError if the folder has none."""
    try:
        run: Row = json.loads((folder / "figures.json").read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise PlanError(f"{folder} holds no completed run: {error}") from error
    return run


def write_report(folder: Path, sizes: Path | None) -> Path:
    """Write page.md with its plots into a run's folder; `sizes` holds the figures of several runs."""
    run = read_figures(folder)
    draw_time(run).savefig(folder / "time.png", dpi=DOTS_PER_INCH)
    paths = sorted(sizes.glob("scale-*.json")) if sizes else []
    others = [json.loads(path.read_text()) for path in paths]
    if others:
        draw_sizes(others).savefig(folder / "size.png", dpi=DOTS_PER_INCH)
    page = folder / "page.md"
    page.write_text("\n".join(_lines(run, has_sizes=bool(others))) + "\n", encoding="utf-8")
    return page


def _lines(run: Row, *, has_sizes: bool) -> Iterable[str]:
    yield f"# {run['size']:,} balancers, lists {run['mechanism']}"
    yield ""
    yield (
        f"{run['hollow']:,} hollow balancers in {run['hosts']} processes, {run['real']} real ones, "
        f"{run['instances']} instances, {run['services']} services; seed {run['seed']}. "
        "Processor time in cores, bytes and calls a second, of one of its role; worst: the worst second."
    )
    yield ""
    yield from _table(run)
    yield ""
    yield from _excess_lines(run)
    yield ""
    yield "## Hollow beside real"
    yield ""
    yield from compare(run)
    yield ""
    yield "![by time](time.png)"
    if has_sizes:
        yield ""
        yield "![by size](size.png)"


def _table(run: Row) -> Iterable[str]:
    yield (
        "| step | role | " + " | ".join(COLUMNS) + " | in force, ms: median, p99, most | never told, stale |"
    )
    yield "| --- | --- | " + " | ".join("---" for _ in COLUMNS) + " | --- | --- |"
    for step, figures in run["steps"].items():
        times = figures["in_force_ms"]
        times_cell = f"{times['median']:,}, {times['p99']:,}, {times['max']:,}"
        missed_cell = f"{times['never_told']}, {times['stale_after']}"
        for number, (role, title) in enumerate(ROLES.items()):
            cost = figures["roles"].get(role, {})
            cells = " | ".join(f"{cost[key]:,.4g}" if key in cost else "" for key in COLUMNS)
            if number:
                yield f"|  | {title} | {cells} |  |  |"
            else:
                yield f"| {step} | {title} | {cells} | {times_cell} | {missed_cell} |"


def _excess_lines(run: Row) -> Iterable[str]:
    excesses = find_excesses(run)
    yield f"Over an allowance: {len(excesses) or 'nothing'}."
    for excess in excesses:
        where = f"{excess['step']}, {excess['role']}"
        yield f"- {where}: {excess['figure']} {excess['value']:,.4g}, allowed {excess['allowed']:g}"


def compare(run: Row) -> Iterable[str]:
    """Compare the control cost of a hollow and of a real balancer without calls, as lines of a table."""
    yield "| step | figure | hollow | real | hollow to real | within 20% |"
    yield "| --- | --- | --- | --- | --- | --- |"
    quiet = run["steps"].get("quiet", {}).get("roles", {})
    for step, figures in run["steps"].items():
        hollow, real = figures["roles"].get("hollow", {}), figures["roles"].get("real_idle", {})
        for key in ("bytes_s_mean", "calls_s_mean", "cpu_mean"):
            if key not in hollow or key not in real:
                continue
            name, hollow_value, real_value = key, hollow[key], real[key]
            if key == "cpu_mean" and quiet and step != "quiet":
                name = "cpu_mean over that of the quiet step"
                hollow_value -= quiet["hollow"][key]
                real_value -= quiet["real_idle"][key]
            ratio = hollow_value / real_value if real_value else 0.0
            is_similar = "yes" if abs(ratio - 1) <= MAX_DIFFERENCE else "no"
            yield f"| {step} | {name} | {hollow_value:.4g} | {real_value:.4g} | {ratio:.2f} | {is_similar} |"


def draw_time(run: Row) -> Figure:
    """Draw each second: processor time, bytes and calls of each role, with the steps marked."""
    figure = Figure(figsize=(WIDTH, HEIGHT), layout="constrained")
    plots = figure.subplots(3, 2, sharex=True)
    first = min(step["begin"] for step in run["steps"].values())
    for row, key in enumerate(("cpu", "bytes", "calls")):
        for column, roles in enumerate((("instance",), ("hollow", "real_idle"))):
            axes = plots[row][column]
            for role in roles:
                _draw_units(axes, run["by_time"].get(role, []), key, first, ROLES[role])
            for name, step in run["steps"].items():
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
    for number, unit in enumerate(units):
        points = [(int(second) - first, values[key]) for second, values in unit.items() if key in values]
        points = sorted((second, value) for second, value in points if second >= 0)
        gaps = [(second + 1, math.nan) for (second, _), (later, _) in pairwise(points) if later > second + 1]
        points = sorted([*points, *gaps])  # leaves a gap where a process was down
        label = f"{title} {number}" if len(units) > 1 else title
        axes.plot(
            [second for second, _ in points], [value for _, value in points], linewidth=0.9, label=label
        )


def draw_sizes(stored: list[Row]) -> Figure:
    """Draw costs of instances and real balancers, and times of changes, by size and mechanism."""
    figure = Figure(figsize=(WIDTH, HEIGHT), layout="constrained")
    times, cpu, traffic, memory = figure.subplots(2, 2).flatten()
    for mechanism, style in (("whole", "o-"), ("interest", "s--")):
        runs = sorted((run for run in stored if run["mechanism"] == mechanism), key=lambda run: run["size"])
        for step in PLOTTED_STEPS:
            played = [run for run in runs if step in run["steps"]]
            sizes, label = [run["size"] for run in played], f"{step}, {mechanism}"
            steps = [run["steps"][step] for run in played]
            times.plot(sizes, [s["in_force_ms"]["max"] / 1_000 for s in steps], style, label=label)
            cpu.plot(sizes, [s["roles"]["instance"]["cpu_worst"] for s in steps], style, label=label)
            traffic.plot(sizes, [_cost(s, "bytes_s_worst10") / 1_000 for s in steps], style, label=label)
            memory.plot(sizes, [_cost(s, "pss_mb") for s in steps], style, label=label)
    allowances = Allowances()
    for axes, title, allowed in (
        (times, "in force at the last balancer, s", allowances.in_force_ms / 1_000),
        (cpu, "an instance's worst second, cores", 1.0),
        (traffic, "a real balancer's worst ten seconds, KB a second", allowances.bytes_s / 1_000),
        (memory, "a real balancer's PSS, MB", allowances.pss_mb),
    ):
        axes.axhline(allowed, color="#b23a48", linewidth=0.8, linestyle=":")
        axes.set_xscale("log")
        axes.set_title(title, fontsize=9)
        axes.set_ylim(bottom=0)
        axes.set_xlabel("balancers and upstreams")
    times.legend(frameon=False, fontsize=6)
    return figure


def _cost(step: Row, key: str) -> float:
    """Return a cost of the real balancers without calls; NaN where there were none."""
    return float(step["roles"].get("real_idle", {}).get(key, float("nan")))
