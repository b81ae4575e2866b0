"""`irondrum drill`: run real processes with faults between them, and judge the outcome."""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
import uvloop
from rich.table import Table

from loadbalancer.cli.output import output_console
from loadbalancer.cli.soak import soak
from loadbalancer.cli.usage_error import UsageError, find_file
from loadbalancer.drill import history
from loadbalancer.drill.checks import judgement
from loadbalancer.drill.checks.timeline import CheckResult
from loadbalancer.drill.defects.names import DRILL_DEFECTS
from loadbalancer.drill.execution.player import DrillPlayer
from loadbalancer.drill.scenario.loading import load_scenario
from loadbalancer.drill.scenario.tables import DrillScenario

app = typer.Typer(no_args_is_help=True, help="A fleet of real processes on this machine, with faults.")
app.command()(soak)
DRILL_FOLDER = Path("drills")
EXIT_CHECK_FAILED = 1
PRINTED_CHECK_FIELDS = ("name", "held", "measured", "bound")  # of each check, by `--json`


def play(path: Path, drill: DrillScenario, seed: int, out: Path, defect: str = "") -> list[CheckResult]:
    """Play a drill from its file in an empty folder, and judge it; DrillError if it can't be played."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(DrillPlayer(drill, seed, out, defect).run())
    (out / "drill.toml").write_bytes(path.read_bytes())
    results = judgement.judge(drill, history.read_history(out))
    verdict = {"seed": seed, "plant": defect} | encode_verdict(
        path.stem, results, CheckResult.__struct_encode_fields__
    )
    (out / "verdict.json").write_text(json.dumps(verdict) + "\n", encoding="utf-8")
    return results


@app.command("list")
def list_() -> None:
    """List the drills in `drills/`, and the defects that can be seeded."""
    table = Table("drill", "what happens")
    for path in sorted(DRILL_FOLDER.glob("*.toml")):
        table.add_row(path.stem, load_scenario(path).title)
    output_console().print(table)
    output_console().print(f"--plant: {', '.join(DRILL_DEFECTS)}", highlight=False)


@app.command()
def run(
    names: Annotated[list[str], typer.Argument(help="Names in drills/, or paths of .toml files.")],
    seed: Annotated[int, typer.Option(help="Random seed of load and faults.")] = 1,
    out: Annotated[Path | None, typer.Option(help="Output folder; empty or new.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="One line of JSON for each drill.")] = False,
    defect: Annotated[str, typer.Option("--plant", help="Start balancers with a known defect.")] = "",
) -> None:
    """Play drills one after another: exit 0 if all checks held, 1 if one did not.

    Example: irondrum drill run calm server-killed --seed 2 --out found/drills
    """
    if defect and defect not in DRILL_DEFECTS:
        raise UsageError(f"no defect {defect!r}; available: {', '.join(DRILL_DEFECTS)}")
    paths = [find_file(DRILL_FOLDER, "drill", name) for name in names]
    drills = [(path, load_scenario(path)) for path in paths]  # all are validated before the first is played
    is_passed = True
    with tempfile.TemporaryDirectory() as temporary:
        for path, drill in drills:
            drill_out = (out or Path(temporary)) / path.stem
            results = play(path, drill, seed, drill_out, defect)
            is_passed = is_passed and all(check.passed for check in results)
            if as_json:
                typer.echo(json.dumps(encode_verdict(path.stem, results, PRINTED_CHECK_FIELDS)))
            else:
                _show(path.stem, results)
    if not is_passed:
        raise typer.Exit(EXIT_CHECK_FAILED)


@app.command()
def report(
    folder: Annotated[Path, typer.Argument(help="The --out folder, or one drill's folder in it.")],
) -> None:
    """Write one HTML page on the drills in a folder, with plots by second.

    Example: irondrum drill report found/drills
    """
    from loadbalancer.drill import report as pages  # matplotlib takes a second to load

    try:
        typer.echo(pages.write_report(folder))
    except pages.ReportError as error:
        raise UsageError(str(error)) from error


def encode_verdict(name: str, results: list[CheckResult], fields: Iterable[str]) -> dict[str, Any]:
    """Return the verdict of a drill, with these fields of each check."""
    checks = [{field: record[field] for field in fields} for record in map(msgspec.to_builtins, results)]
    return {"drill": name, "held": all(check.passed for check in results), "checks": checks}


def _show(name: str, results: list[CheckResult]) -> None:
    table = Table("check", "held", "measured", "bound", "first that broke it", title=name)
    for check in results:
        word = "yes" if check.passed else "[red]no[/red]"
        table.add_row(
            check.name,
            word,
            f"{check.measured:g}",
            f"{check.bound:g}",
            "" if check.passed else check.first_violation,
        )
    output_console().print(table)
