"""`irondrum drill`: play real processes with faults between them, and judge what came of it."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from rich.table import Table

from basaltspindle.cli.screen import screen
from basaltspindle.drill import checks, history, plants, script
from basaltspindle.drill.checks import Check
from basaltspindle.drill.drive import Drive

app = typer.Typer(no_args_is_help=True, help="A fleet of real processes on this machine, with faults.")
FOLDER = Path("drills")
NOT_HELD = 1


class Misuse(ValueError):
    """An argument that can't be used: one line that tells which and why."""


def find(name: str) -> Path:
    """The file of a drill, by its name or its path."""
    path = Path(name) if name.endswith(".toml") else FOLDER / f"{name}.toml"
    if not path.exists():
        known = ", ".join(p.stem for p in sorted(FOLDER.glob("*.toml"))) or f"none in {FOLDER}"
        raise Misuse(f"no drill {name!r}; there are {known}")
    return path


def play(path: Path, seed: int, out: Path, plant: str = "") -> list[Check]:
    """Play a drill in an empty folder, and judge it; DriveError if it can't be played."""
    drill = script.load(path)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(Drive(drill, seed, out, plant).run())
    (out / "drill.toml").write_bytes(path.read_bytes())
    found = checks.judge(drill, history.read(out))
    verdict = {"drill": path.stem, "seed": seed, "plant": plant, "held": all(c.held for c in found)}
    verdict["checks"] = [{n: getattr(c, n) for n in c.__struct_fields__} for c in found]
    (out / "verdict.json").write_text(json.dumps(verdict) + "\n", encoding="utf-8")
    return found


@app.command("list")
def list_() -> None:
    """Tell the drills in `drills/`, and the defects that can be planted."""
    table = Table("drill", "what happens")
    for path in sorted(FOLDER.glob("*.toml")):
        table.add_row(path.stem, script.load(path).title)
    screen().print(table)
    screen().print(f"--plant: {', '.join(plants.DEFECTS)}", highlight=False)


@app.command()
def run(
    names: Annotated[list[str], typer.Argument(help="Names in drills/, or paths of .toml files.")],
    seed: Annotated[int, typer.Option(help="Chance of load and faults.")] = 1,
    out: Annotated[Path | None, typer.Option(help="Folder for all that is written; empty or new.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="One line of JSON for each drill.")] = False,
    plant: Annotated[str, typer.Option(help="Start balancers with a known defect.")] = "",
) -> None:
    """Play drills one after another: exit 0 if all checks held, 1 if one did not.

    Example: irondrum drill run calm server-killed --seed 2 --out found/drills
    """
    if plant and plant not in plants.DEFECTS:
        raise Misuse(f"no defect {plant!r}; there are {', '.join(plants.DEFECTS)}")
    paths = [find(name) for name in names]
    for path in paths:
        script.load(path)  # all are sound before the first is played
    held = True
    with tempfile.TemporaryDirectory() as spare:
        for path in paths:
            into = (out or Path(spare)) / path.stem
            found = play(path, seed, into, plant)
            held = held and all(check.held for check in found)
            if as_json:
                typer.echo(verdict_line(path.stem, found))
            else:
                _show(path.stem, found)
    if not held:
        raise typer.Exit(NOT_HELD)


@app.command()
def report(
    folder: Annotated[Path, typer.Argument(help="What --out named, or one drill's folder in it.")],
) -> None:
    """Write one HTML page on the drills in a folder, with plots of what each second was like.

    Example: irondrum drill report found/drills
    """
    from basaltspindle.drill import report as pages  # matplotlib takes a second to load

    try:
        typer.echo(pages.write(folder))
    except pages.ReportError as error:
        raise Misuse(str(error)) from None


def verdict_line(name: str, found: list[Check]) -> str:
    """The verdict of a drill as a line of JSON."""
    told = [{"name": c.name, "held": c.held, "measured": c.measured, "bound": c.bound} for c in found]
    return json.dumps({"drill": name, "held": all(c.held for c in found), "checks": told})


def _show(name: str, found: list[Check]) -> None:
    table = Table("check", "held", "measured", "bound", "first that broke it", title=name)
    for check in found:
        word = "yes" if check.held else "[red]no[/red]"
        table.add_row(
            check.name, word, f"{check.measured:g}", f"{check.bound:g}", "" if check.held else check.first
        )
    screen().print(table)
