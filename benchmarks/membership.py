"""Membership by the size of a tier, in virtual time: detection, false deaths, messages and bytes, as plots.

python -m benchmarks.membership --out found/peers            # figures.json, and plots of them
python -m benchmarks.membership --hour 50 --out found/peers  # an hour of 50 members, too: false deaths
"""

from __future__ import annotations

import json
import statistics
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any

import typer
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from loadbalancer.simulation.gossip import SimulatedTier

DEATHS_BY_SIZE = {10: 40, 50: 30, 200: 12, 1_000: 2}  # members: deaths that are measured
LOSS_RATES = (0.0, 0.05)
HOUR_CONDITIONS = ((0.05, False), (0.1, False), (0.0, True))  # loss rate, whether members pause
SETTLE_MS = 5_000.0
POLL_INTERVAL_MS = 20.0
MAX_DETECTION_MS = 30_000.0
HOUR_MS = 3_600_000.0
MINUTE_MS = 60_000.0
PAUSE_MS = 400.0


@dataclass
class Detection:
    """One member's death: when the first and when the last of the others knew, in ms."""

    first_ms: float
    all_ms: float


@dataclass
class Row:
    """The figures of a size of tier; the names are the keys of figures.json."""

    members: int
    loss: float
    deaths: list[Detection]
    notes_per_s: float
    bytes_per_s: float
    false_deaths: int


def measure(members: int, deaths: int, loss: float) -> Row:
    """Kill one member in each of `deaths` tiers, and measure when that is known."""
    detections, message_rates, byte_rates = [], [], []
    false_deaths = 0
    for seed in range(deaths):
        tier = SimulatedTier(members, seed, loss_rate=loss)
        tier.run(SETTLE_MS)
        messages_before, bytes_before = tier.message_count, tier.byte_count
        tier.run(SETTLE_MS)
        message_rates.append((tier.message_count - messages_before) / members / SETTLE_MS * 1_000)
        byte_rates.append((tier.byte_count - bytes_before) / members / SETTLE_MS * 1_000)
        dead = seed % members
        detections.append(_measure_detection(tier, dead))
        false_deaths += sum(report.member != dead for report in tier.death_reports)
    return Row(
        members, loss, detections, statistics.mean(message_rates), statistics.mean(byte_rates), false_deaths
    )


def _measure_detection(tier: SimulatedTier, dead: int) -> Detection:
    """Kill a member; return when its death was known."""
    tier.kill(dead)
    killed_at_ms = tier.clock.now
    first_ms: float | None = None
    while (aware := tier.fraction_aware_of_death(dead)) < 1.0 and (
        tier.clock.now - killed_at_ms < MAX_DETECTION_MS
    ):
        if aware and first_ms is None:
            first_ms = tier.clock.now - killed_at_ms
        tier.run(POLL_INTERVAL_MS)
    all_ms = tier.clock.now - killed_at_ms
    return Detection(all_ms if first_ms is None else first_ms, all_ms)


def count_false_deaths_in_an_hour(members: int, loss: float, *, has_pauses: bool) -> int:
    """Return the deaths declared in an hour without any; with pauses, one stops for 0.4 s each minute."""
    tier = SimulatedTier(members, seed=members, loss_rate=loss)
    for minute in range(60 if has_pauses else 0):
        tier.clock.at(minute * MINUTE_MS, tier.pause, minute % members, PAUSE_MS)
    tier.run(HOUR_MS)
    return len(tier.death_reports)


def draw(rows: list[Row]) -> Figure:
    """Return plots of the time until a death is known, and of messages and bytes, by the size of the tier."""
    figure = Figure(figsize=(10, 4), layout="constrained")
    detection, cost = figure.subplots(1, 2)
    for loss in sorted({row.loss for row in rows}):
        rows_of_loss = [row for row in rows if row.loss == loss]
        _plot_detection(detection, rows_of_loss, loss)
        _plot_cost(cost, rows_of_loss, loss)
    for axes, label in ((detection, "s until a death is known"), (cost, "a member a second")):
        axes.set_xscale("log")
        axes.set_xlabel("members")
        axes.set_ylabel(label)
        axes.set_ylim(bottom=0)
        axes.spines[["top", "right"]].set_visible(False)
        axes.legend(frameon=False, fontsize=7)
    return figure


def _plot_detection(axes: Axes, rows: list[Row], loss: float) -> None:
    sizes = [row.members for row in rows]
    for name, style in (("first_ms", "o--"), ("all_ms", "o-")):
        seconds = [[getattr(death, name) / 1_000 for death in row.deaths] for row in rows]
        axes.plot(
            sizes, list(map(statistics.median, seconds)), style, label=f"{name[:-3]}, median, {loss:.0%} lost"
        )
        axes.plot(sizes, list(map(max, seconds)), style[0] + ":", label=f"{name[:-3]}, most, {loss:.0%} lost")


def _plot_cost(axes: Axes, rows: list[Row], loss: float) -> None:
    sizes = [row.members for row in rows]
    axes.plot(sizes, [row.notes_per_s for row in rows], "o-", label=f"messages, {loss:.0%} lost")
    axes.plot(sizes, [row.bytes_per_s / 100 for row in rows], "s--", label=f"bytes / 100, {loss:.0%} lost")


def _print_row(row: Row) -> None:
    first = [death.first_ms for death in row.deaths]
    everyone = [death.all_ms for death in row.deaths]
    print(
        f"{row.members:>5} members, {row.loss:.0%} lost: first {statistics.median(first):.0f} ms"
        f" (most {max(first):.0f}), all {statistics.median(everyone):.0f} ms (most {max(everyone):.0f}),"
        f" {row.notes_per_s:.1f} messages and {row.bytes_per_s:.0f} bytes a member a second,"
        f" {row.false_deaths} false deaths",
        flush=True,
    )


def main(
    out: Annotated[Path, typer.Option(help="Folder for figures and plots.")] = Path("found/peers"),
    hour_members: Annotated[
        int, typer.Option("--hour", help="Members of the hours that are played; 0 for none.")
    ] = 0,
) -> None:
    """Measure, print, and draw."""
    out.mkdir(parents=True, exist_ok=True)
    rows = [
        measure(members, deaths, loss) for loss in LOSS_RATES for members, deaths in DEATHS_BY_SIZE.items()
    ]
    for row in rows:
        _print_row(row)
    figures: dict[str, list[dict[str, Any]]] = {"rows": [asdict(row) for row in rows]}
    for loss, has_pauses in HOUR_CONDITIONS if hour_members else ():
        name = f"hour of {hour_members}, {loss:.0%} lost{', pauses' if has_pauses else ''}"
        false_deaths = count_false_deaths_in_an_hour(hour_members, loss, has_pauses=has_pauses)
        figures[name] = [{"false_deaths": false_deaths}]
        print(f"{name}: {false_deaths} false deaths", flush=True)
    (out / "figures.json").write_text(json.dumps(figures) + "\n", encoding="utf-8")
    draw(rows).savefig(out / "peers.svg")
    draw(rows).savefig(out / "peers.png", dpi=90)


if __name__ == "__main__":
    typer.run(main)
