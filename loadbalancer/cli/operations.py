"""Operator commands for running balancers: `irondrum health|stats|cordon|uncordon|top|peers|lists`."""

from __future__ import annotations

import json
from typing import Annotated

import typer
from rich.live import Live

from loadbalancer.cli.console_client import (
    EXIT_NOT_ACCEPTED,
    Consoles,
    call_consoles,
    fetch_reports,
    print_responses,
)
from loadbalancer.cli.console_tables import endpoint_list_table, membership_table, watch_tables
from loadbalancer.cli.output import output_console


def health(console: Consoles) -> None:
    """Show whether balancers accept clients; exit 1 if one does not.

    Example: irondrum health --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    print_responses(call_consoles(console, "GET", "/admin/health"))


def stats(console: Consoles) -> None:
    """Print balancers' statistics as one JSON object, by console.

    Example: irondrum stats --console 127.0.0.1:9901
    """
    reports, failed = fetch_reports(console, "/admin/stats")
    typer.echo(json.dumps(reports, indent=1))
    print_responses(failed)


def cordon(server: Annotated[str, typer.Argument(help="The server's ID.")], console: Consoles) -> None:
    """Cordon a server at every balancer named; exit 1 and name those that did not accept it.

    Example: irondrum cordon s-5be2a07c --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    print_responses(call_consoles(console, "POST", "/admin/cordon", server))


def uncordon(server: Annotated[str, typer.Argument(help="The server's ID.")], console: Consoles) -> None:
    """Return a server to service at every balancer named; exit 1 and name those that did not accept it.

    Example: irondrum uncordon s-5be2a07c --console 127.0.0.1:9901
    """
    print_responses(call_consoles(console, "POST", "/admin/uncordon", server))


def top(
    console: Consoles,
    every: Annotated[float, typer.Option(help="Seconds between polls.", min=0.1)] = 1.0,
    polls: Annotated[int, typer.Option("--looks", help="Stop after so many; 0 for never.", min=0)] = 0,
) -> None:
    """Watch how much balancers serve, reject and fail per second.

    Example: irondrum top --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    with Live(console=output_console(), auto_refresh=False) as live:
        for number, table in enumerate(watch_tables(console, every), 1):
            live.update(table, refresh=True)
            if number == polls:
                return


def peers(console: Consoles) -> None:
    """Show how several balancers of a tier see one another; exit 1 if they disagree, or one does not answer.

    Example: irondrum peers --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    views, failed = fetch_reports(console, "/admin/peers")
    table, do_agree = membership_table(views)
    output_console().print(table)
    print_responses(failed)
    if not do_agree:
        typer.echo("irondrum: the balancers' membership views differ", err=True)
        raise typer.Exit(EXIT_NOT_ACCEPTED)


def lists(console: Consoles) -> None:
    """Show the source and age of balancers' endpoint lists; exit 1 if one does not answer.

    Example: irondrum lists --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    reports, failed = fetch_reports(console, "/admin/list")
    output_console().print(endpoint_list_table(reports))
    print_responses(failed)
