"""Zones in trouble, in virtual time: what is served, and where calls go, by the second.

    python -m benchmarks.zones --seeds 3 --out found/zones
    python -m benchmarks.zones --scenario zone-errors --told-s 0.5     # as if all knew of it so soon

Of each scenario: the share served in the worst second from the trouble on, seconds until the share is back
within 5% of what it was before and stays so, and how often the troubled zone's part of all calls turned.
"""

from __future__ import annotations

import json
import statistics
from collections import Counter, defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated

import typer
from matplotlib.figure import Figure

from loadbalancer.interface import ZoneEvacuation
from loadbalancer.lab import policies
from loadbalancer.simulation.direction_changes import count_direction_changes
from loadbalancer.simulation.fleet import START_MS, SimulatedFleet
from loadbalancer.simulation.scenario import draw, load

SCENARIOS = (
    "zone-errors", "zone-slow", "zone-half", "zone-returns-cold", "zone-flaps", "own-link-down",
    "unequal-zones", "everything-bad",
)  # fmt: skip
BACK_PART = 0.05
RETURN_MS = 3_000.0
SWING = 0.1  # a turn of a zone's part that is smaller counts as none: chance alone makes 0.04
LEAST = 20  # first tries in a second, below which its share says nothing


@dataclass
class Play:
    """One play, by the second from its start."""

    scenario: str
    seed: int
    served: dict[int, float]
    parts: dict[int, dict[str, float]]
    began_s: int
    ended_s: int
    figure: float
    attempts: float
    worst: float = 0.0
    back_s: int = 0
    direction_changes: int = 0
    breaches: list[str] = field(default_factory=list)


def play(scenario: str, seed: int, policy: str, told_s: float) -> Play:
    """Play a day of a scenario, and look at its zones.

    With `told_s` 0 or more, all balancers are told to leave the troubled zone so long after its trouble
    began, and to come back so long after it has ended: what perfect and free knowledge would gain.
    """
    day = draw(load(Path("scenarios") / f"{scenario}.toml"), seed)
    world = policies.create_fleet(day, policy)
    for trouble in day.scenario.trouble if told_s >= 0 else ():
        at, span = float(trouble.at_s), float(trouble.for_s)  # type: ignore[arg-type]
        for when, out in ((at, True), (at + span, False)):
            world.clock.after((when + told_s) * 1_000, tell_all, world, out)
    result = world.run()
    tries: dict[int, Counter[bool]] = defaultdict(Counter)
    for wish in world.ledger.requested_values:
        tries[int(wish.requested_at_ms / 1_000)][wish.ending in ("in time", "late")] += 1
    served = {s: c[True] / c.total() for s, c in sorted(tries.items()) if c.total() >= LEAST}
    first = int(START_MS / 1_000)
    parts = {
        second - first: {zone: count / counts.total() for zone, count in sorted(counts.items())}
        for second, counts in sorted(world.ledger.by_zone.items())
    }
    spans = [(t.at_s, t.for_s) for t in day.scenario.trouble]
    began = min((int(float(at)) for at, _ in spans), default=1)  # type: ignore[arg-type]
    ended = max((int(float(at) + float(span)) for at, span in spans), default=1)  # type: ignore[arg-type]
    done = Play(
        scenario, seed, served, parts, began, ended, result.utility.figure,
        result.attempts / max(len(world.ledger.requested_values), 1),
        breaches=[f"{b.rule}: {b.detail}" for b in result.violations[:5]],
    )  # fmt: skip
    judge(done, world.zones[-1])
    return done


def tell_all(world: SimulatedFleet, out: bool) -> None:
    """All balancers leave the last zone at once, or come back to it over some seconds."""
    now = world.clock.now
    held = ZoneEvacuation(
        world.zones[-1], out, now, 0.0 if out else RETURN_MS, initial_fraction=1.0 if out else 0.0
    )
    for host in [*world.front_balancers, *world.inner_balancers.values()]:
        if host is not None:
            host.handle_event(held)


def judge(done: Play, zone: str) -> None:
    """The worst second, the way back, and the changes of direction."""
    before = statistics.mean([share for s, share in done.served.items() if 2 <= s < done.began_s] or [1.0])
    after = {s: share for s, share in done.served.items() if s >= done.began_s}
    done.worst = min(after.values(), default=1.0)
    bad = [s for s, share in after.items() if share < before - BACK_PART]
    done.back_s = max(bad) + 1 - done.ended_s if bad else 0
    done.direction_changes = count_direction_changes(
        [p.get(zone, 0.0) for s, p in done.parts.items() if s >= done.began_s - 2], SWING
    )


def draw_plays(plays: list[Play]) -> Figure:
    """Where calls go, one panel a play."""
    figure = Figure(figsize=(9, 2.2 * len(plays)), layout="constrained")
    for axes, done in zip(figure.subplots(len(plays), 1, squeeze=False).flat, plays, strict=True):
        seconds = sorted(done.parts)
        for zone in sorted({zone for part in done.parts.values() for zone in part}):
            axes.plot(seconds, [done.parts[s].get(zone, 0.0) for s in seconds], label=f"to {zone}", lw=1)
        axes.plot(list(done.served), list(done.served.values()), "k:", label="served", lw=1)
        axes.axvspan(done.began_s, done.ended_s, color="0.92")
        axes.set_title(f"{done.scenario}, seed {done.seed}", fontsize=8, loc="left")
        axes.set_ylim(0, 1.02)
        axes.spines[["top", "right"]].set_visible(False)
        axes.legend(frameon=False, fontsize=7, loc="lower left", ncols=4)
    return figure


def main(
    scenario: Annotated[list[str] | None, typer.Option(help="Those to play; all if none.")] = None,
    seeds: Annotated[int, typer.Option(min=1)] = 3,
    policy: Annotated[str, typer.Option()] = policies.OWN_POLICY,
    told_s: Annotated[float, typer.Option(help="All know of the trouble so soon; below 0: nobody.")] = -1.0,
    workers: Annotated[int, typer.Option(min=1)] = 2,
    out: Annotated[Path, typer.Option()] = Path("found/zones"),
) -> None:
    """Play scenarios of zones, and print a row for each."""
    names = scenario or list(SCENARIOS)
    jobs = [(name, seed, policy, told_s) for name in names for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(workers) as pool:
        plays = list(pool.map(play, *zip(*jobs, strict=True)))
    out.mkdir(parents=True, exist_ok=True)
    (out / "plays.json").write_text(json.dumps([asdict(done) for done in plays]), encoding="utf-8")
    draw_plays([done for done in plays if done.seed == 1]).savefig(out / "zones.png", dpi=100)
    typer.echo("| scenario | worst second | back, s | turns | figure | calls a request | rules broken |")
    typer.echo("| --- | --- | --- | --- | --- | --- | --- |")
    for name in names:
        some = [done for done in plays if done.scenario == name]
        cells = [
            " ".join(f"{done.worst:.2f}" for done in some), " ".join(str(done.back_s) for done in some),
            " ".join(str(done.direction_changes) for done in some),
            f"{statistics.mean(d.figure for d in some):.3f}",
            f"{statistics.mean(d.attempts for d in some):.2f}", str(sum(len(d.breaches) for d in some)),
        ]  # fmt: skip
        typer.echo(f"| `{name}` | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    typer.run(main)
