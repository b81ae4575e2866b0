"""An HTML report on the drills in a folder: verdicts, and plots of requests per second with the faults."""

from __future__ import annotations

import html
import io
import json
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from loadbalancer.drill.checks.timeline import SECOND_MS, Timeline
from loadbalancer.drill.history import read_history

ENDINGS = {
    "served": "#2a7f62",
    "late": "#e3b23c",
    "refused": "#c97b3d",
    "failed": "#b23a48",
    "lost": "#5b2333",
    "left": "#777777",
    "gave up": "#777777",
}
WIDTH, HEIGHT = 10.0, 7.5  # inches
STYLE = (
    "body{font:15px/1.5 system-ui,sans-serif;max-width:70rem;margin:2rem auto;padding:0 1rem;color:#222}"
    "table{border-collapse:collapse}td,th{padding:.15rem .8rem;text-align:left;border-bottom:1px solid #ddd}"
    "td.n{text-align:right;font-variant-numeric:tabular-nums}.no{color:#b23a48;font-weight:600}"
    "svg{width:100%;height:auto}"
)
VerdictRecord = dict[str, Any]


class ReportError(ValueError):
    """A folder without a completed drill; the message is one line."""


def draw_timeline(timeline: Timeline) -> Figure:
    """Plot, second by second, request outcomes, calls by server and by zone, and the faults."""
    figure = Figure(figsize=(WIDTH, HEIGHT), layout="constrained")
    endings, servers, zones = figure.subplots(3, 1, sharex=True)
    _draw_endings(endings, timeline)
    by_server: dict[str, Counter[int]] = defaultdict(Counter)
    by_zone: dict[str, Counter[int]] = defaultdict(Counter)
    for event, balancer in timeline.arrivals():
        second = _second(timeline, event["t"])
        by_server[event["who"]][second] += 1
        source, target = timeline.zone_of(balancer), timeline.zone_of(event["who"])
        by_zone[source if source == target else f"{source} to {target}"][second] += 1
    _draw_counts(servers, by_server, "calls by server")
    _draw_counts(zones, by_zone, "calls by zone")
    zones.set_xlabel("s since the first request")
    for axes in (endings, servers, zones):
        _mark_faults(axes, timeline, with_names=axes is endings)
        axes.spines[["top", "right"]].set_visible(False)
        axes.set_ylim(bottom=0)
        axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), frameon=False, fontsize=8)
    return figure


def _second(timeline: Timeline, at_ms: float) -> int:
    return int((at_ms - timeline.start_ms) // SECOND_MS)


def _draw_endings(axes: Axes, timeline: Timeline) -> None:
    counts: dict[str, Counter[int]] = defaultdict(Counter)
    for event in timeline.events_by_kind["done"]:
        counts[event["ending"]][_second(timeline, event["first"])] += 1
    length = max((max(c) for c in counts.values()), default=0) + 1
    bottoms = [0] * length
    for ending, colour in ENDINGS.items():
        if ending in counts:
            heights = [counts[ending][second] for second in range(length)]
            axes.bar(range(length), heights, 0.9, bottoms, align="edge", color=colour, label=ending)
            bottoms = [a + b for a, b in zip(bottoms, heights, strict=True)]
    axes.set_ylabel("requests by ending")


def _draw_counts(axes: Axes, counts: dict[str, Counter[int]], label: str) -> None:
    length = max((max(c) for c in counts.values()), default=0) + 1
    for name in sorted(counts):
        axes.plot([s + 0.5 for s in range(length)], [counts[name][s] for s in range(length)], label=name)
    axes.set_ylabel(label)


def _mark_faults(axes: Axes, timeline: Timeline, *, with_names: bool) -> None:
    marks: dict[tuple[float, str, bool], list[str]] = defaultdict(list)
    for event in timeline.events_by_kind["fault"]:
        at_s = round(timeline.seconds(event["t"]), 1)  # simultaneous faults share one mark
        marks[at_s, event["kind"], event["on"]] += event["targets"]
    for (at_s, kind, on), targets in marks.items():
        axes.axvline(at_s, color="#444444", linewidth=0.8, linestyle="-" if on else ":")
        if with_names:
            target_names = ", ".join(targets[:2]) + (" ..." if len(targets) > 2 else "")
            text = f"{kind} {target_names}".strip() if on else f"{kind} over"
            axes.annotate(
                text, (at_s, 1.0), xycoords=("data", "axes fraction"), rotation=35, fontsize=7, va="bottom"
            )


def write_report(folder: Path) -> Path:
    """Write `report.html` on the drills in a folder; ReportError if it contains no completed drill."""
    drills = sorted(path.parent for path in folder.glob("**/verdict.json"))
    if not drills:
        raise ReportError(f"{folder} contains no completed drill")
    verdicts = [json.loads((drill / "verdict.json").read_text(encoding="utf-8")) for drill in drills]
    sections = [_overview(verdicts)]
    for drill, verdict in zip(drills, verdicts, strict=True):
        sections.append(_section(verdict, Timeline(read_history(drill))))
    page = folder / "report.html"
    page.write_text(
        "<!doctype html><html lang=en><meta charset=utf-8><title>Drills</title>"
        f"<style>{STYLE}</style><h1>Drills</h1>{''.join(sections)}</html>\n",
        encoding="utf-8",
    )
    return page


def _format_verdict(*, passed: bool) -> str:
    return "held" if passed else "<span class=no>not held</span>"


def _overview(verdicts: list[VerdictRecord]) -> str:
    rows = "".join(
        f"<tr><td><a href='#{_anchor(v)}'>{html.escape(v['drill'])}</a><td class=n>{v['seed']}"
        f"<td>{html.escape(v['plant'])}<td>{_format_verdict(passed=v['held'])}"
        for v in verdicts
    )
    return f"<table><tr><th>drill<th>seed<th>planted<th>verdict{rows}</table>"


def _anchor(verdict: VerdictRecord) -> str:
    return html.escape(f"{verdict['drill']}-{verdict['seed']}-{verdict['plant']}", quote=True)


def _section(verdict: VerdictRecord, timeline: Timeline) -> str:
    rows = "".join(
        f"<tr><td>{c['name']}<td>{_format_verdict(passed=c['held'])}"
        f"<td class=n>{c['measured']:g}<td class=n>{c['bound']:g}"
        f"<td>{'' if c['held'] else html.escape(c['first'])}"
        for c in verdict["checks"]
    )
    picture = io.StringIO()
    draw_timeline(timeline).savefig(picture, format="svg")
    svg = picture.getvalue()
    return (
        f"<h2 id='{_anchor(verdict)}'>{html.escape(verdict['drill'])}, seed {verdict['seed']}</h2>"
        f"{svg[svg.index('<svg') :]}"
        f"<table><tr><th>check<th>verdict<th>measured<th>bound<th>first violation{rows}</table>"
    )
