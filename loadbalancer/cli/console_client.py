"""Parallel calls to balancers' consoles, and printing of their responses."""

from __future__ import annotations

import http.client
import json
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Annotated, Any

import typer

from loadbalancer.cli.usage_error import UsageError

CONSOLE_TIMEOUT_S = 2.0
MAX_PARALLEL_CALLS = 32
EXIT_NOT_ACCEPTED = 1
Consoles = Annotated[
    list[str], typer.Option("--console", help="HOST:PORT of a balancer's console; once for each.")
]


@dataclass(frozen=True)
class ConsoleResponse:
    """A console's response; status 0 if there was none."""

    console: str
    status: int
    text: str

    @property
    def is_accepted(self) -> bool:
        """Whether the console accepted the call."""
        return 200 <= self.status < 300


def call_console(console: str, method: str, path: str, body: str = "") -> ConsoleResponse:
    """Make one call to one console; UsageError if its address is invalid."""
    host, _, port = console.rpartition(":")
    if not host or not port.isdigit():
        raise UsageError(f"--console {console!r}: give HOST:PORT, such as 127.0.0.1:9901")
    connection = http.client.HTTPConnection(host, int(port), timeout=CONSOLE_TIMEOUT_S)
    try:
        connection.request(method, path, body=body or None)
        response = connection.getresponse()
        return ConsoleResponse(console, response.status, response.read().decode(errors="replace").strip())
    except (OSError, http.client.HTTPException) as error:
        return ConsoleResponse(console, 0, f"no answer: {error}")
    finally:
        connection.close()


def call_consoles(consoles: list[str], method: str, path: str, body: str = "") -> list[ConsoleResponse]:
    """Make the same call to several consoles at once; return the responses in their order."""
    with ThreadPoolExecutor(min(len(consoles), MAX_PARALLEL_CALLS)) as pool:
        return list(pool.map(lambda console: call_console(console, method, path, body), consoles))


def fetch_reports(consoles: list[str], path: str) -> tuple[dict[str, Any], list[ConsoleResponse]]:
    """Return the JSON at a path by console, and the responses that were not accepted."""
    responses = call_consoles(consoles, "GET", path)
    reports = {response.console: json.loads(response.text) for response in responses if response.is_accepted}
    return reports, [response for response in responses if not response.is_accepted]


def print_responses(responses: list[ConsoleResponse]) -> None:
    """Print each response; exit 1 and name the consoles that did not accept the call."""
    for response in responses:
        typer.echo(f"{response.console}  {response.text}", err=not response.is_accepted)
    failed = [response.console for response in responses if not response.is_accepted]
    if failed:
        typer.echo(
            f"irondrum: {len(failed)} of {len(responses)} did not accept: {', '.join(failed)}", err=True
        )
        raise typer.Exit(EXIT_NOT_ACCEPTED)
