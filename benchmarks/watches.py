"""A list service at size, in virtual time: a release of all servers, and an outage in the middle of it.

    python -m benchmarks.watches --balancers 1000 --servers 10000 --instances 2 --out found/watches

Writes figures.json and a plot: calls a second at the service, and the share of draws that meet an
ended server.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Annotated

import typer
from matplotlib.figure import Figure

from loadbalancer.simulation.watches import ListServiceSimulation

SETTLE_MS = 10_000.0  # before the release, and twice after it


def play(
    balancers: int, servers: int, instances: int, seed: int, release_s: float, outage_s: float
) -> ListServiceSimulation:
    """Return a play of a release over `release_s`, with an outage of all instances in its middle."""
    fleet = ListServiceSimulation(balancers, servers, instances, seed)
    fleet.run(SETTLE_MS)
    fleet.release(release_s * 1_000)
    fleet.run(release_s * 500)
    fleet.outage(outage_s * 1_000)
    fleet.run(release_s * 500 + outage_s * 1_000 + 2 * SETTLE_MS)
    return fleet


def draw(fleet: ListServiceSimulation) -> Figure:
    """Plot the calls and the stale draws over time."""
    figure = Figure(figsize=(9, 4), layout="constrained")
    calls, stale = figure.subplots(2, 1, sharex=True)
    seconds = sorted(fleet.calls_by_second)
    calls.plot(seconds, [fleet.calls_by_second[s] for s in seconds], lw=0.8)
    calls.set_ylabel("calls a second")
    stale.plot(
        [t / 1_000 for t, _ in fleet.stale_draws], [100 * share for _, share in fleet.stale_draws], lw=0.8
    )
    stale.set_ylabel("% of draws that meet an ended server", fontsize=7)
    stale.set_xlabel("s")
    for axes in (calls, stale):
        axes.set_ylim(bottom=0)
        axes.spines[["top", "right"]].set_visible(False)
    return figure


def main(
    balancers: Annotated[int, typer.Option(min=1)] = 1_000,
    servers: Annotated[int, typer.Option(min=1)] = 10_000,
    instances: Annotated[int, typer.Option(min=1, max=8)] = 2,
    seed: Annotated[int, typer.Option()] = 1,
    release_s: Annotated[float, typer.Option()] = 300.0,
    outage_s: Annotated[float, typer.Option()] = 30.0,
    out: Annotated[Path, typer.Option()] = Path("found/watches"),
) -> None:
    """Play it once, and write its figures and plot."""
    began = time.monotonic()
    fleet = play(balancers, servers, instances, seed, release_s, outage_s)
    figures: dict[str, float] = {
        "balancers": balancers,
        "servers": servers,
        "instances": instances,
        "seed": seed,
    }
    figures |= fleet.figures() | {"steps": fleet.clock.steps, "real_s": time.monotonic() - began}
    out.mkdir(parents=True, exist_ok=True)
    (out / "figures.json").write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")
    draw(fleet).savefig(out / "watches.png", dpi=120)
    typer.echo(json.dumps(figures, indent=1))


if __name__ == "__main__":
    typer.run(main)
