"""`irondrum scale`: a fleet of future size on one machine, measured step by step."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from loadbalancer.cli.output import output_console
from loadbalancer.scale.figures import without_samples
from loadbalancer.scale.plan import DEFAULT_STEPS, Plan
from loadbalancer.scale.play import ScaleRun

app = typer.Typer(no_args_is_help=True, help="Thousands of hollow balancers beside real ones, measured.")


@app.callback()
def scale() -> None:
    """Thousands of hollow balancers beside real ones, measured."""


@app.command()
def keep(
    folder: Annotated[Path, typer.Argument(help="The --out folder of a run.")],
    into: Annotated[Path, typer.Argument(help="Folder, such as benchmarks/figures.")],
) -> None:
    """Keep a run's figures, without those of each second, as scale-SIZE-MECHANISM.json.

    Example: irondrum scale keep found/scale benchmarks/figures
    """
    figures = without_samples(json.loads((folder / "figures.json").read_text(encoding="utf-8")))
    path = into / f"scale-{figures['size']}-{figures['mechanism']}.json"
    path.write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")
    typer.echo(path)


@app.command()
def report(
    folder: Annotated[Path, typer.Argument(help="The --out folder of a run.")],
    sizes: Annotated[Path | None, typer.Option(help="Folder of kept figures, for plots by size.")] = None,
) -> None:
    """Write page.md on a run, with plots by time, and by size where figures are kept.

    Example: irondrum scale report found/scale --sizes benchmarks/figures
    """
    from loadbalancer.scale import report as pages  # matplotlib takes a second to load

    typer.echo(pages.write_report(folder, sizes))


@app.command()
def run(
    balancers: Annotated[int, typer.Option(help="Upstreams listed, each with its balancer.")],
    out: Annotated[Path, typer.Option(help="Output folder; empty or new.")],
    real: Annotated[int, typer.Option(help="Real balancers; half of them are called.")] = 2,
    hollow: Annotated[int, typer.Option(help="Hollow balancers; -1 for all that are not real.")] = -1,
    hosts: Annotated[int, typer.Option(help="Processes that run the hollow balancers.")] = 2,
    instances: Annotated[int, typer.Option(help="Instances of the registry.")] = 2,
    services: Annotated[int, typer.Option(help="Services that the upstreams belong to.")] = 1,
    lists: Annotated[str, typer.Option(help="How lists are requested: whole, or by interest.")] = "whole",
    part: Annotated[int, typer.Option(help="By interest: servers of a service held in each zone.")] = 0,
    shared_reading: Annotated[
        bool, typer.Option("--shared-reading", help="A host's hollow ones read the same answer once.")
    ] = False,
    start_s: Annotated[float, typer.Option(help="Time over which their start is spread.")] = 0.0,
    steps: Annotated[str, typer.Option(help="Comma-separated; start is the first.")] = ",".join(
        DEFAULT_STEPS
    ),
    quiet_s: Annotated[float, typer.Option(help="Length of the quiet step.")] = 20.0,
    away_s: Annotated[float, typer.Option(help="How long all instances are down.")] = 30.0,
    changes: Annotated[int, typer.Option(help="Changes in the step of changes.")] = 60,
    changes_per_s: Annotated[float, typer.Option(help="Changes per second; 15,000 a day are 0.17.")] = 3.0,
    settle_s: Annotated[float, typer.Option(help="Settling time after each step, part of it.")] = 8.0,
    extra_wait_s: Annotated[
        float, typer.Option("--patience-s", help="Extra wait for those stale or not notified.")
    ] = 0.0,
    seed: Annotated[int, typer.Option(help="Random seed of what is changed.")] = 1,
    defect: Annotated[str, typer.Option("--plant", help="Start with a known defect.")] = "",
) -> None:
    """Play the steps and write figures.json.

    Example: irondrum scale run --balancers 60 --out found/scale
    """
    plan = Plan(
        balancers=balancers, hollow=balancers - real if hollow < 0 else hollow, real=real, hosts=hosts,
        instances=instances, services=services, lists=lists, steps=tuple(steps.split(",")), seed=seed,
        subset_size=part, shared_reading=shared_reading, start_s=start_s, quiet_s=quiet_s,
        away_s=away_s, changes=changes, changes_per_s=changes_per_s, settle_s=settle_s,
        convergence_timeout_s=extra_wait_s, defect=defect,
    )  # fmt: skip
    _play(plan, out)
    typer.echo(out / "figures.json")


def _play(plan: Plan, out: Path) -> None:
    play = ScaleRun(plan, out, lambda line: output_console().print(line, highlight=False))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(play.run())
