"""`irondrum zone`: leave a zone by hand, come back to it, and see how it stands, at several balancers."""

from __future__ import annotations

import json
from typing import Annotated, Any

import typer
from rich.table import Table

from loadbalancer.cli.misuse import Misuse
from loadbalancer.cli.operate import Consoles, ask_all, reports, tell
from loadbalancer.cli.screen import screen
from loadbalancer.configuration.units import duration_ms

app = typer.Typer(no_args_is_help=True, help="Leave a zone by hand, and come back to it.")
Zone = Annotated[str, typer.Argument(help="The zone's name, as on the list.")]
Over = Annotated[str, typer.Option("--over", help='How long it takes, such as "60s".')]


def _seconds(text: str) -> float:
    try:
        return duration_ms(text) / 1_000
    except ValueError:
        raise Misuse(f'--over {text!r}: give a time such as "60s", "500ms" or "2m"') from None


@app.command()
def leave(
    zone: Zone, console: Consoles, over: Over = "0s",
    force: Annotated[bool, typer.Option("--force", help="Go on though the others have no room.")] = False,
) -> None:  # fmt: skip
    """Have balancers draw less and less from a zone, until nothing goes there; exit 1 if one did not.

    Example: irondrum zone leave east --over 60s --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    body = f"{zone} over={_seconds(over):g}" + (" force" if force else "")
    tell(ask_all(console, "POST", "/admin/zone/leave", body))


@app.command("return")
def return_(zone: Zone, console: Consoles, over: Over = "30s") -> None:
    """Have balancers come back to a zone in steps; exit 1 if one did not take it.

    Example: irondrum zone return east --over 60s --console 127.0.0.1:9901
    """
    tell(ask_all(console, "POST", "/admin/zone/return", f"{zone} over={_seconds(over):g}"))


@app.command()
def status(console: Consoles, as_json: Annotated[bool, typer.Option("--json")] = False) -> None:
    """Show each zone's part in draws, its ready servers, calls out and room; exit 1 if one does not say.

    Example: irondrum zone status --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    told, missing = reports(console, "/admin/zones")
    if as_json:
        typer.echo(json.dumps(told, indent=1))
    else:
        screen().print(table_of(told))
    tell(missing)


def table_of(told: dict[str, dict[str, Any]]) -> Table:
    """A row for each balancer and zone."""
    table = Table("balancer", "zone", "part drawn from", "ready", "calls out", "room")
    for console, zones in told.items():
        for zone, one in zones.items():
            figures = [f"{one['share']:.0%}", str(one["ready"]), f"{one['out']:.1f}", f"{one['room']:.1f}"]
            table.add_row(console, zone or "(none)", *figures)
    return table
