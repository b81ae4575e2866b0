"""Membership by the size of a tier, in virtual time: detection, false deaths, notes and bytes, as plots.

python -m benchmarks.peers --out found/peers            # figures.json, and plots of them
python -m benchmarks.peers --hour 50 --out found/peers  # an hour of 50 members, too: false deaths
"""

from __future__ import annotations

import json
import statistics
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import typer
from matplotlib.figure import Figure

from loadbalancer.simulation.gossip import SimulatedTier

SIZES = {10: 40, 50: 30, 200: 12, 1_000: 2}  # members: deaths that are looked at
SETTLE_MS, LOOK_MS, PATIENCE_MS = 5_000.0, 20.0, 30_000.0
HOUR_MS = 3_600_000.0


@dataclass
class Death:
    """One member's death: when the first and when the last of the others knew, in ms."""

    first_ms: float
    all_ms: float


@dataclass
class Row:
    """A size of tier."""

    members: int
    loss: float
    deaths: list[Death]
    notes_per_s: float
    bytes_per_s: float
    false_deaths: int


def look(members: int, deaths: int, loss: float) -> Row:
    """Kill one member of each of so many tiers, and see when that is known."""
    found, notes, sizes, false = [], [], [], 0
    for seed in range(deaths):
        tier = SimulatedTier(members, seed, loss_rate=loss)
        tier.run(SETTLE_MS)
        before = tier.message_count, tier.byte_count
        tier.run(SETTLE_MS)
        notes.append((tier.message_count - before[0]) / members / SETTLE_MS * 1_000)
        sizes.append((tier.byte_count - before[1]) / members / SETTLE_MS * 1_000)
        dead = seed % members
        tier.kill(dead)
        began, first = tier.clock.now, None
        while (share := tier.fraction_aware_of_death(dead)) < 1.0 and tier.clock.now - began < PATIENCE_MS:
            if share and first is None:
                first = tier.clock.now - began
            tier.run(LOOK_MS)
        took = tier.clock.now - began
        found.append(Death(took if first is None else first, took))
        false += sum(report.member != dead for report in tier.death_reports)
    return Row(members, loss, found, statistics.mean(notes), statistics.mean(sizes), false)


def hour(members: int, loss: float, pauses: bool) -> int:
    """Deaths that an hour without any brings; with `pauses`, one member is stopped for 0.4 s each minute."""
    tier = SimulatedTier(members, seed=members, loss_rate=loss)
    for minute in range(60 if pauses else 0):
        tier.clock.at(minute * 60_000.0, tier.pause, minute % members, 400.0)
    tier.run(HOUR_MS)
    return len(tier.death_reports)


def draw(rows: list[Row]) -> Figure:
    """Time until a death is known, and notes and bytes, by the size of the tier."""
    figure = Figure(figsize=(10, 4), layout="constrained")
    known, cost = figure.subplots(1, 2)
    for loss in sorted({row.loss for row in rows}):
        some = [row for row in rows if row.loss == loss]
        sizes = [row.members for row in some]
        for name, style in (("first_ms", "o--"), ("all_ms", "o-")):
            middle = [statistics.median(getattr(d, name) for d in row.deaths) / 1_000 for row in some]
            most = [max(getattr(d, name) for d in row.deaths) / 1_000 for row in some]
            known.plot(sizes, middle, style, label=f"{name[:-3]}, median, {loss:.0%} lost")
            known.plot(sizes, most, style[0] + ":", label=f"{name[:-3]}, most, {loss:.0%} lost")
        cost.plot(sizes, [row.notes_per_s for row in some], "o-", label=f"notes, {loss:.0%} lost")
        cost.plot(
            sizes, [row.bytes_per_s / 100 for row in some], "s--", label=f"bytes / 100, {loss:.0%} lost"
        )
    for axes, label in ((known, "s until a death is known"), (cost, "a member a second")):
        axes.set_xscale("log")
        axes.set_xlabel("members")
        axes.set_ylabel(label)
        axes.set_ylim(bottom=0)
        axes.spines[["top", "right"]].set_visible(False)
        axes.legend(frameon=False, fontsize=7)
    return figure


def main(
    out: Annotated[Path, typer.Option(help="Folder for figures and plots.")] = Path("found/peers"),
    hours: Annotated[
        int, typer.Option("--hour", help="Members of the hours that are played; 0 for none.")
    ] = 0,
) -> None:
    """Measure, print, and draw."""
    out.mkdir(parents=True, exist_ok=True)
    rows = [look(members, deaths, loss) for loss in (0.0, 0.05) for members, deaths in SIZES.items()]
    for row in rows:
        first, every = ([getattr(d, n) for d in row.deaths] for n in ("first_ms", "all_ms"))
        print(
            f"{row.members:>5} members, {row.loss:.0%} lost: first {statistics.median(first):.0f} ms"
            f" (most {max(first):.0f}), all {statistics.median(every):.0f} ms (most {max(every):.0f}),"
            f" {row.notes_per_s:.1f} notes and {row.bytes_per_s:.0f} bytes a member a second,"
            f" {row.false_deaths} false deaths",
            flush=True,
        )
    told = {"rows": [asdict(row) for row in rows]}
    for loss, pauses in ((0.05, False), (0.1, False), (0.0, True)) if hours else ():
        name = f"hour of {hours}, {loss:.0%} lost{', pauses' if pauses else ''}"
        told[name] = [{"false_deaths": hour(hours, loss, pauses)}]
        print(f"{name}: {told[name][0]['false_deaths']} false deaths", flush=True)
    (out / "figures.json").write_text(json.dumps(told) + "\n", encoding="utf-8")
    draw(rows).savefig(out / "peers.svg")
    draw(rows).savefig(out / "peers.png", dpi=90)


if __name__ == "__main__":
    typer.run(main)
