"""What operators ask of balancers that run: `irondrum health|stats|cordon|uncordon|top`."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Annotated, Any

import typer
from rich.live import Live
from rich.table import Table

from loadbalancer.cli.output import output_console
from loadbalancer.cli.usage_error import UsageError

CONSOLE_TIMEOUT_S = 2.0
EXIT_NOT_ACCEPTED = 1
Consoles = Annotated[
    list[str], typer.Option("--console", help="HOST:PORT of a balancer's console; once for each.")
]


@dataclass(frozen=True)
class ConsoleResponse:
    """What a console said; status 0 where nobody answered."""

    console: str
    status: int
    text: str

    @property
    def is_accepted(self) -> bool:
        """Whether it was a yes."""
        return 200 <= self.status < 300


def call_console(console: str, method: str, path: str, body: str = "") -> ConsoleResponse:
    """One call to one console; Misuse if that is no address."""
    host, _, port = console.rpartition(":")
    if not host or not port.isdigit():
        raise UsageError(f"--console {console!r}: give HOST:PORT, such as 127.0.0.1:9901")
    connection = http.client.HTTPConnection(host, int(port), timeout=CONSOLE_TIMEOUT_S)
    try:
        connection.request(method, path, body=body or None)
        answer = connection.getresponse()
        return ConsoleResponse(console, answer.status, answer.read().decode(errors="replace").strip())
    except (OSError, http.client.HTTPException) as error:
        return ConsoleResponse(console, 0, f"no answer: {error}")
    finally:
        connection.close()


def call_consoles(consoles: list[str], method: str, path: str, body: str = "") -> list[ConsoleResponse]:
    """The same call to several consoles at once, answers in their order."""
    with ThreadPoolExecutor(min(len(consoles), 32)) as pool:
        return list(pool.map(lambda console: call_console(console, method, path, body), consoles))


def print_responses(answers: list[ConsoleResponse]) -> None:
    """Print who said what; exit 1 if one did not say yes."""
    for answer in answers:
        typer.echo(f"{answer.console}  {answer.text}", err=not answer.is_accepted)
    no = [answer.console for answer in answers if not answer.is_accepted]
    if no:
        typer.echo(f"irondrum: {len(no)} of {len(answers)} did not say yes: {', '.join(no)}", err=True)
        raise typer.Exit(EXIT_NOT_ACCEPTED)


def fetch_reports(consoles: list[str], path: str) -> tuple[dict[str, Any], list[ConsoleResponse]]:
    """What consoles tell at a path, by console, and the answers of those that did not."""
    answers = call_consoles(consoles, "GET", path)
    told = {answer.console: json.loads(answer.text) for answer in answers if answer.is_accepted}
    return told, [answer for answer in answers if not answer.is_accepted]


def health(console: Consoles) -> None:
    """Whether balancers take clients; exit 1 if one does not.

    Example: irondrum health --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    print_responses(call_consoles(console, "GET", "/admin/health"))


def stats(console: Consoles) -> None:
    """The figures of balancers as one JSON object, by console.

    Example: irondrum stats --console 127.0.0.1:9901
    """
    told, missing = fetch_reports(console, "/admin/stats")
    typer.echo(json.dumps(told, indent=1))
    print_responses(missing)


def cordon(server: Annotated[str, typer.Argument(help="The server's ID.")], console: Consoles) -> None:
    """Take a server out at every balancer named; exit 1, and who it was, if one did not take it.

    Example: irondrum cordon s-5be2a07c --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    print_responses(call_consoles(console, "POST", "/admin/cordon", server))


def uncordon(server: Annotated[str, typer.Argument(help="The server's ID.")], console: Consoles) -> None:
    """Put a server back at every balancer named; exit 1, and who it was, if one did not take it.

    Example: irondrum uncordon s-5be2a07c --console 127.0.0.1:9901
    """
    print_responses(call_consoles(console, "POST", "/admin/uncordon", server))


def top(
    console: Consoles,
    every: Annotated[float, typer.Option(help="Seconds between looks.", min=0.1)] = 1.0,
    looks: Annotated[int, typer.Option(help="End after so many; 0 for never.", min=0)] = 0,
) -> None:
    """Watch several balancers: what they serve, refuse and fail a second.

    Example: irondrum top --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    with Live(console=output_console(), auto_refresh=False) as live:
        for number, table in enumerate(watch_tables(console, every), 1):
            live.update(table, refresh=True)
            if number == looks:
                return


def watch_tables(consoles: list[str], every: float) -> Iterator[Table]:
    """A table of all balancers, again and again; rates are against the look before."""
    before: dict[str, dict[str, Any]] = {}
    then = time.monotonic()
    while True:
        found, _ = fetch_reports(consoles, "/admin/stats")
        now = time.monotonic()
        yield stats_table(consoles, found, before, max(now - then, 1e-9))
        before, then = found, now
        time.sleep(every)


def stats_table(
    consoles: list[str], found: dict[str, dict[str, Any]], before: dict[str, dict[str, Any]], span_s: float
) -> Table:
    """One look: rates a second where there was a look before, and how things stand."""
    heads = ("served/s", "refused/s", "failed/s", "attempts/s", "open", "servers", "avoided")
    table = Table("balancer", *heads)
    for name in consoles:
        figures, last = found.get(name), before.get(name)
        if figures is None:
            table.add_row(name, "[red]no answer[/red]", *[""] * (len(heads) - 1))
            continue
        counts = [sum(figures[k].values()) for k in ("succeeded", "declined", "aborted")]
        counts.append(figures["forwards"])
        rates = ["-"] * len(counts)
        if last is not None:
            old = [sum(last[k].values()) for k in ("succeeded", "declined", "aborted")]
            old.append(last["forwards"])
            rates = [f"{max(a - b, 0) / span_s:.1f}" for a, b in zip(counts, old, strict=True)]
        standing = [str(figures[k]) for k in ("outstanding", "discovered", "ejected")]
        table.add_row(name, *rates, *standing)
    return table


def peers(console: Consoles) -> None:
    """What several balancers of a tier believe of one another; exit 1 if they disagree, or one does not say.

    Example: irondrum peers --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    views, missing = fetch_reports(console, "/admin/peers")
    table, agreed = membership_table(views)
    output_console().print(table)
    print_responses(missing)
    if not agreed:
        typer.echo("irondrum: they disagree", err=True)
        raise typer.Exit(EXIT_NOT_ACCEPTED)


def membership_table(views: dict[str, dict[str, Any]]) -> tuple[Table, bool]:
    """A row for each member, a column for each view; where views differ, the row is marked."""
    table = Table("member", *views, "")
    agreed = True
    for number in range(max((len(view["members"]) for view in views.values()), default=0)):
        row = [view["members"][number] for view in views.values() if number < len(view["members"])]
        states = [m["state"] for m in row]
        same = len(set(states)) == 1 and len(row) == len(views)
        agreed = agreed and same
        cells = [f"{m['state']} {m['incarnation']}" for m in row]
        table.add_row(str(number), *cells, "" if same else "[red]differs[/red]")
    return table, agreed


def lists(console: Consoles) -> None:
    """Where several balancers have their list from, and how old it is; exit 1 if one does not say.

    Example: irondrum lists --console 127.0.0.1:9901 --console 127.0.0.1:9902
    """
    told, missing = fetch_reports(console, "/admin/list")
    output_console().print(endpoint_list_table(told))
    print_responses(missing)


def endpoint_list_table(told: dict[str, dict[str, Any]]) -> Table:
    """A row for each balancer: ages in seconds, and the servers on which list and evidence differ."""
    table = Table(
        "balancer", "from", "version", "heard s", "changed s", "moves", "rewound", "doubted, silent"
    )
    for console, report in told.items():
        ages = [
            "never" if report[key] is None else f"{report[key] / 1_000:.1f}"
            for key in ("heard_ms_ago", "changed_ms_ago")
        ]
        counts = [str(report["moves"]), str(report["rewound"])]
        odd = " ".join([*report["doubted"], *(f"{name} is silent" for name in report["contradicted"])])
        table.add_row(console, report["from"], str(report["index"]), *ages, *counts, odd)
    return table
