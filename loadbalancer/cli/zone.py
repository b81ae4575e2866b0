"""`irondrum zone`: evacuate a zone by hand, return to it, and show its state, at several balancers."""

from __future__ import annotations

import json
from typing import Annotated

import typer

from loadbalancer.cli.console_client import Consoles, call_consoles, fetch_reports, print_responses
from loadbalancer.cli.console_tables import zone_table
from loadbalancer.cli.output import output_console
from loadbalancer.cli.usage_error import UsageError
from loadbalancer.configuration.units import duration_ms

app = typer.Typer(no_args_is_help=True, help="Evacuate a zone by hand, and return to it.")
Zone = Annotated[str, typer.Argument(help="The zone's name, as in the list.")]
Over = Annotated[str, typer.Option("--over", help='How long it takes, such as "60s".')]


def _seconds(text: str) -> float:
    try:
        return duration_ms(text) / 1_000
    except ValueError:
        raise UsageError(f'--over {text!r}: give a time such as "60s", "500ms" or "2m"') from None


@app.command()
def leave(
    zone: Zone,
    console: Consoles,
    over: Over = "0s",
    force: Annotated[bool, typer.Option("--force", help="Go on even if the others lack capacity.")] = False,
) -> None:
    """Have balancers gradually reduce a zone's traffic to nothing; exit 1 if one did not accept it.

    Example: irondrum zone leave east --over 60s --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    body = f"{zone} over={_seconds(over):g}" + (" force" if force else "")
    print_responses(call_consoles(console, "POST", "/admin/zone/leave", body))


@app.command("return")
def return_(zone: Zone, console: Consoles, over: Over = "30s") -> None:
    """Have balancers return to a zone in steps; exit 1 if one did not accept it.

    Example: irondrum zone return east --over 60s --console 127.0.0.1:9901
    """
    print_responses(call_consoles(console, "POST", "/admin/zone/return", f"{zone} over={_seconds(over):g}"))


@app.command()
def status(console: Consoles, as_json: Annotated[bool, typer.Option("--json")] = False) -> None:
    """Show each zone's fraction of traffic, ready servers, calls in flight and free capacity.

    Exit 1 if one does not answer.

    Example: irondrum zone status --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    reports, failed = fetch_reports(console, "/admin/zones")
    if as_json:
        typer.echo(json.dumps(reports, indent=1))
    else:
        output_console().print(zone_table(reports))
    print_responses(failed)
