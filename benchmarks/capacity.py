"""The page of capacity: its tables are written from kept figures and the table of assumptions.

    python -m benchmarks.capacity                         # write the tables of docs/CAPACITY.md anew
    python -m benchmarks.capacity check                   # 1 if the page differs from what the figures give
    python -m benchmarks.capacity measure list watches    # play parts again, on cores that nobody else uses

Parts are the files in `benchmarks/figures/`; `measure` without a name plays all of them.
"""

from __future__ import annotations

import json
import sys
from typing import Annotated

import typer

from benchmarks import capacity_figures, capacity_page

app = typer.Typer(add_completion=False)


@app.callback(invoke_without_command=True)
def write(context: typer.Context) -> None:
    """Write the page's tables anew."""
    if context.invoked_subcommand is None:
        text = capacity_page.PAGE.read_text(encoding="utf-8")
        capacity_page.PAGE.write_text(capacity_page.fill(text, capacity_page.sections()), encoding="utf-8")


@app.command()
def check() -> None:
    """Say which sections differ; the exit status is 1 if any does."""
    text = capacity_page.PAGE.read_text(encoding="utf-8")
    odd = capacity_page.differing(text, capacity_page.sections())
    for name in odd:
        typer.echo(f"docs/CAPACITY.md: {name} is not what the figures give: python -m benchmarks.capacity")
    raise typer.Exit(1 if odd else 0)


@app.command()
def measure(
    parts: Annotated[list[str] | None, typer.Argument(help="Which; all without any.")] = None,
    size: Annotated[list[int] | None, typer.Option(help="Sizes in place of the part's own.")] = None,
    plays: Annotated[int, typer.Option(help="Plays of each size; 0 for the part's own number.")] = 0,
) -> None:
    """Play parts, and keep their figures."""
    for name in parts or capacity_figures.PARTS:
        capacity_figures.measure(name, size or [], plays, typer.echo)


@app.command(hidden=True)
def play(part: str, size: int, number: int) -> None:
    """One play, its figures as a line of JSON."""
    typer.echo(json.dumps(capacity_figures.PARTS[part].play(size, number)))


if __name__ == "__main__":
    sys.exit(app())
