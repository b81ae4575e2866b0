"""`irondrum drill`: run real processes with faults between them, and judge the outcome."""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop
from rich.table import Table

from loadbalancer.cli.output import output_console
from loadbalancer.cli.usage_error import UsageError, find_file
from loadbalancer.drill import history, seeded_defects
from loadbalancer.drill.checks import judgement
from loadbalancer.drill.checks.timeline import Check
from loadbalancer.drill.execution.player import Drive
from loadbalancer.drill.scenario import definition

app = typer.Typer(no_args_is_help=True, help="A fleet of real processes on this machine, with faults.")
DRILL_FOLDER = Path("drills")
EXIT_CHECK_FAILED = 1
PRINTED_CHECK_FIELDS = ("name", "held", "measured", "bound")  # of each check, by `--json`


def play(path: Path, drill: definition.Script, seed: int, out: Path, defect: str = "") -> list[Check]:
    """Play a drill from its file in an empty folder, and judge it; DriveError if it can't be played."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(Drive(drill, seed, out, defect).run())
    (out / "drill.toml").write_bytes(path.read_bytes())
    found = judgement.judge(drill, history.read(out))
    verdict = {"seed": seed, "plant": defect} | encode_verdict(path.stem, found, Check.__struct_fields__)
    (out / "verdict.json").write_text(json.dumps(verdict) + "\n", encoding="utf-8")
    return found


@app.command("list")
def list_() -> None:
    """List the drills in `drills/`, and the defects that can be seeded."""
    table = Table("drill", "what happens")
    for path in sorted(DRILL_FOLDER.glob("*.toml")):
        table.add_row(path.stem, definition.load(path).title)
    output_console().print(table)
    output_console().print(f"--plant: {', '.join(seeded_defects.DEFECTS)}", highlight=False)


@app.command()
def run(
    names: Annotated[list[str], typer.Argument(help="Names in drills/, or paths of .toml files.")],
    seed: Annotated[int, typer.Option(help="Chance of load and faults.")] = 1,
    out: Annotated[Path | None, typer.Option(help="Folder for all that is written; empty or new.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="One line of JSON for each drill.")] = False,
    defect: Annotated[str, typer.Option("--plant", help="Start balancers with a known defect.")] = "",
) -> None:
    """Play drills one after another: exit 0 if all checks held, 1 if one did not.

    Example: irondrum drill run calm server-killed --seed 2 --out found/drills
    """
    if defect and defect not in seeded_defects.DEFECTS:
        raise UsageError(f"no defect {defect!r}; there are {', '.join(seeded_defects.DEFECTS)}")
    paths = [find_file(DRILL_FOLDER, "drill", name) for name in names]
    drills = [(path, definition.load(path)) for path in paths]  # all are sound before the first is played
    is_passed = True
    with tempfile.TemporaryDirectory() as spare:
        for path, drill in drills:
            into = (out or Path(spare)) / path.stem
            found = play(path, drill, seed, into, defect)
            is_passed = is_passed and all(check.held for check in found)
            if as_json:
                typer.echo(json.dumps(encode_verdict(path.stem, found, PRINTED_CHECK_FIELDS)))
            else:
                _show(path.stem, found)
    if not is_passed:
        raise typer.Exit(EXIT_CHECK_FAILED)


@app.command()
def report(
    folder: Annotated[Path, typer.Argument(help="What --out named, or one drill's folder in it.")],
) -> None:
    """Write one HTML page on the drills in a folder, with plots of what each second was like.

    Example: irondrum drill report found/drills
    """
    from loadbalancer.drill import report as pages  # matplotlib takes a second to load

    try:
        typer.echo(pages.write(folder))
    except pages.ReportError as error:
        raise UsageError(str(error)) from error


def encode_verdict(name: str, found: list[Check], fields: Iterable[str]) -> dict[str, Any]:
    """Return the verdict of a drill, with these fields of each check."""
    checks = [{field: getattr(check, field) for field in fields} for check in found]
    return {"drill": name, "held": all(check.held for check in found), "checks": checks}


def _show(name: str, found: list[Check]) -> None:
    table = Table("check", "held", "measured", "bound", "first that broke it", title=name)
    for check in found:
        word = "yes" if check.held else "[red]no[/red]"
        table.add_row(
            check.name, word, f"{check.measured:g}", f"{check.bound:g}", "" if check.held else check.first
        )
    output_console().print(table)
