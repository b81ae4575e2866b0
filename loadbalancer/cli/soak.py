"""`loadbalancer drill soak`: drills generated from seeds, with restarts, series of signals and crowds."""

from __future__ import annotations

import asyncio
import re
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from loadbalancer.cli.usage_error import UsageError
from loadbalancer.drill.defects.names import DRILL_DEFECTS
from loadbalancer.drill.soak import run as runs
from loadbalancer.drill.soak.plan import describe, make_scenario

MAX_JOBS = 32


def soak(  # noqa: PLR0913 - typer makes an option of each argument
    *,
    seeds: Annotated[str, typer.Option(help="A seed, or a range such as 1-50.")] = "1",
    jobs: Annotated[int, typer.Option(help="Drills played at once.", min=1, max=MAX_JOBS)] = 1,
    out: Annotated[Path | None, typer.Option(help="Folder for failed drills; new or empty.")] = None,
    defect: Annotated[str, typer.Option("--plant", help="Start balancers with a known defect.")] = "",
    replay: Annotated[Path | None, typer.Option(help="Play the plan in this folder again.")] = None,
    is_shortened: Annotated[
        bool, typer.Option("--shorten", help="With --replay: drop steps while it fails.")
    ] = False,
    is_plan_only: Annotated[bool, typer.Option("--plan", help="Print the plans, and play nothing.")] = False,
) -> None:
    """Play drills generated from seeds: exit 0 if all checks held, 1 if one did not.

    Example: loadbalancer drill soak --seeds 1-50 --jobs 4 --out found/soak
    """
    if defect and defect not in DRILL_DEFECTS:
        raise UsageError(f"no defect {defect!r}; available: {', '.join(DRILL_DEFECTS)}")
    if is_shortened and replay is None:
        raise UsageError("--shorten: needs --replay DIR")
    chosen = _parse_seeds(seeds)
    with tempfile.TemporaryDirectory() as temporary:
        folder = out or Path(temporary)
        if is_plan_only:
            for seed in chosen:
                _print_plan(seed)
            return
        if replay is not None:
            all_passed = _replay(replay, folder, defect, is_shortened=is_shortened)
        elif len(chosen) == 1:
            _print_plan(chosen[0])
            result = runs.play_seed(chosen[0], folder, defect)
            typer.echo(str(result))
            all_passed = not result.failed
        else:
            all_passed = asyncio.run(runs.play_in_processes(chosen, jobs, folder, defect, typer.echo))
    if not all_passed:
        raise typer.Exit(runs.EXIT_CHECK_FAILED)


def _parse_seeds(text: str) -> range:
    matched = re.fullmatch(r"(\d{1,9})(?:-(\d{1,9}))?", text)
    if matched is None or int(matched[2] or matched[1]) < int(matched[1]):
        raise UsageError(f"--seeds {text!r}; allowed: a number, or a range such as 1-50")
    return range(int(matched[1]), int(matched[2] or matched[1]) + 1)


def _print_plan(seed: int) -> None:
    typer.echo(f"seed {seed}")
    for line in describe(make_scenario(seed)):
        typer.echo(line)


def _replay(folder: Path, out: Path, defect: str, *, is_shortened: bool) -> bool:
    try:
        seed, scenario = runs.read_plan(folder)
    except (OSError, ValueError, KeyError) as error:
        raise UsageError(f"--replay {folder}: holds no plan: {error}") from error
    if is_shortened:
        scenario = runs.shorten(scenario, seed, out, defect, typer.echo)
    typer.echo(f"seed {seed}")
    for line in describe(scenario):
        typer.echo(line)
    result = runs.play(scenario, seed, out / "replay", defect)
    typer.echo(str(result))
    return not result.failed
