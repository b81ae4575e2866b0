"""The commands `directory …`: serve the registry, and operate it."""

from __future__ import annotations

import asyncio
import getpass
import json
import signal
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.table import Table

from loadbalancer.cli.output import output_console
from loadbalancer.cli.usage_error import UsageError
from loadbalancer.registry import server
from loadbalancer.registry.agent import Agent, passes_health_check
from loadbalancer.registry.agent import run as run_agent
from loadbalancer.registry.client import RegistryClient
from loadbalancer.registry.entries import Registration
from loadbalancer.registry.store import CatalogStore, CatalogStoreError

app = typer.Typer(no_args_is_help=True, help="A registry of servers, with leases.")
At = Annotated[str, typer.Option("--at", help="HOST:PORT of the service.", envvar="IRONDRUM_DIRECTORY")]
Tier = Annotated[str, typer.Option(help="The tier.")]
Why = Annotated[str, typer.Option(help="Reason for the history.")]
Match = Annotated[int | None, typer.Option("--if-match", help="Only if the entry is still at this version.")]
Server = Annotated[str, typer.Argument(help="The server's name.")]


def _client(at: str) -> RegistryClient:
    return RegistryClient(at, who=getpass.getuser())


@app.command()
def serve(file: Annotated[Path, typer.Argument(help="TOML: listen, database, [rules].")]) -> None:
    """Serve the registry until SIGTERM; acknowledged changes survive any exit or crash.

    Example: irondrum directory serve docs/directory.toml
    """
    configuration = server.read_configuration(file)
    service = server.open_service(configuration)
    typer.echo(f"registry listens on {configuration.listen}, version {service.catalog.revision}", err=True)
    server.serve(configuration, service)


@app.command()
def register(
    name: Server,
    at: At,
    address: Annotated[str, typer.Option(help="Where it serves, HOST:PORT.")],
    zone: Annotated[str, typer.Option()] = "",
    tier: Tier = "first",
    weight: Annotated[float, typer.Option(help="Its cores, or its concurrency.")] = 1.0,
    since_ms: Annotated[float, typer.Option(help="When it started, Unix ms; 0 for long ago.")] = 0.0,
    lease_s: Annotated[float, typer.Option(help="Seconds until it lapses if not renewed.")] = 86_400.0,
    why: Why = "",
    if_match: Match = None,
) -> None:
    """Put a server on the list by hand, or change its entry.

    Example: irondrum directory register s-1 --at 127.0.0.1:8500 --address 127.0.0.1:5001 --weight 4
    """
    body = {
        "address": address,
        "zone": zone,
        "tier": tier,
        "weight": weight,
        "since_ms": since_ms,
        "lease_ms": lease_s * 1_000,
    }
    _print_revision(_client(at).call_server("PUT", name, body=body, why=why, if_match=if_match))


@app.command()
def drain(name: Server, at: At, why: Why = "", if_match: Match = None) -> None:
    """Let a server finish its requests, and get no new ones.

    Example: irondrum directory drain s-1 --at 127.0.0.1:8500 --why "new kernel"
    """
    _print_revision(_client(at).call_server("POST", name, "/drain", why=why, if_match=if_match))


@app.command()
def remove(name: Server, at: At, why: Why = "", if_match: Match = None) -> None:
    """Take a server off the list.

    Example: irondrum directory remove s-1 --at 127.0.0.1:8500
    """
    _print_revision(_client(at).call_server("DELETE", name, why=why, if_match=if_match))


@app.command()
def pin(
    name: Server,
    at: At,
    off: Annotated[bool, typer.Option("--off", help="Unpin it.")] = False,
    why: Why = "",
) -> None:
    """Keep a server on the list even if its lease expires.

    Example: irondrum directory pin s-1 --at 127.0.0.1:8500
    """
    _print_revision(_client(at).call_server("POST", name, "/unpin" if off else "/pin", why=why))


def _print_revision(answer: dict[str, object]) -> None:
    typer.echo(f"version {answer['index']}" + ("" if answer["changed"] else ", unchanged"))


@app.command("list")
def list_(at: At, as_json: Annotated[bool, typer.Option("--json")] = False) -> None:
    """Show all servers with their leases and marks, and tiers in self-preservation.

    Example: irondrum directory list --at 127.0.0.1:8500
    """
    state = _client(at).call("GET", "/v1/state")
    if as_json:
        typer.echo(json.dumps(state, indent=1))
        return
    table = Table("server", "tier", "address", "zone", "status", "weight", "lease s", "marks", "version")
    for entry in sorted(state["entries"], key=lambda e: (e["tier"], e["name"])):
        marks = ", ".join(mark for mark in ("lapsed", "pinned") if entry[mark])
        table.add_row(
            entry["name"],
            entry["tier"],
            entry["address"],
            entry["zone"],
            entry["status"],
            f"{entry['weight']:g}",
            f"{entry['lease_left_ms'] / 1_000:.1f}",
            marks,
            str(entry["index"]),
        )
    output_console().print(table)
    for tier, left in state["doubts"].items():
        typer.echo(f"tier {tier}: many leases expired at once; no entry lapses for {left / 1_000:.0f} s more")


@app.command()
def watch(
    at: At, tier: Tier = "first", max_answers: Annotated[int, typer.Option("--looks", min=0)] = 0
) -> None:
    """Print the list of a tier and then each change, as balancers get them.

    Example: irondrum directory watch --at 127.0.0.1:8500
    """
    client = RegistryClient(at, timeout_s=70.0)
    after = -1
    number = 0
    while not max_answers or number < max_answers:
        answer = client.list_endpoints(tier, after, 30_000.0)
        typer.echo(json.dumps(answer))
        after = answer["index"]
        number += 1


@app.command()
def history(
    at: At, name: Annotated[str, typer.Argument()] = "", most: Annotated[int, typer.Option()] = 50
) -> None:
    """Show who changed what, when and why, the newest first.

    Example: irondrum directory history s-1 --at 127.0.0.1:8500
    """
    query = f"/v1/history?most={most}" + (f"&name={name}" if name else "")
    table = Table("version", "at", "server", "what", "who", "why")
    for change in _client(at).call("GET", query):
        at_s = f"{change['at_ms'] / 1_000:.3f}"
        table.add_row(
            str(change["index"]), at_s, change["name"], change["what"], change["who"], change["why"]
        )
    output_console().print(table)


@app.command()
def export(at: At) -> None:
    """Print all entries as JSON lines, for `import`.

    Example: irondrum directory export --at 127.0.0.1:8500 > servers.jsonl
    """
    keys = {field.encode_name for field in msgspec.structs.fields(Registration)}
    for entry in _client(at).call("GET", "/v1/state")["entries"]:
        registration = {key: value for key, value in entry.items() if key in keys}
        typer.echo(json.dumps({"name": entry["name"]} | registration))


@app.command("import")
def import_(at: At, file: Annotated[Path, typer.Argument()], why: Why = "import") -> None:
    """Register all entries of an export; all are parsed before the first is sent.

    Example: irondrum directory import servers.jsonl --at 127.0.0.1:8500
    """
    registrations = []
    for number, line in enumerate(file.read_text(encoding="utf-8").splitlines(), 1):
        try:
            entry = json.loads(line)
            registrations.append((entry.pop("name"), msgspec.convert(entry, type=Registration)))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise UsageError(f"{file}: line {number}: {' '.join(str(error).split())}") from error
    client = _client(at)
    for name, registration in registrations:
        client.call_server("PUT", name, body=msgspec.to_builtins(registration), why=why)
    typer.echo(f"{len(registrations)} servers")


@app.command()
def verify(database: Annotated[Path, typer.Argument(help="The service's file.")]) -> None:
    """Check a database file; exit 1 and print what is wrong if it is not sound.

    Example: irondrum directory verify /var/lib/irondrum/list.sqlite
    """
    if not database.exists():
        raise UsageError(f"{database}: there is no such file")
    try:
        faults = list(CatalogStore(database).verify())
    except CatalogStoreError as error:
        faults = [str(error)]
    for fault in faults:
        typer.echo(fault, err=True)
    if faults:
        raise typer.Exit(1)
    typer.echo(f"{database}: sound")


@app.command()
def agent(
    name: Server,
    at: At,
    address: Annotated[str, typer.Option(help="Where the server serves, HOST:PORT.")],
    zone: Annotated[str, typer.Option()] = "",
    tier: Tier = "first",
    weight: Annotated[float, typer.Option()] = 1.0,
    lease_s: Annotated[float, typer.Option(help="Seconds until it lapses if not renewed.")] = 10.0,
    health: Annotated[str, typer.Option(help="Path that answers 200 while it is healthy.")] = "/healthz",
    grace_s: Annotated[float, typer.Option(help="Seconds between drain and removal on exit.")] = 5.0,
) -> None:
    """Register a server that can't do so itself while its health checks pass; drain it on SIGTERM.

    Example: irondrum directory agent s-1 --at 127.0.0.1:8500 --address 127.0.0.1:5001
    """
    registration = Registration(
        address=address, zone=zone, tier=tier, weight=weight, lease_ms=lease_s * 1_000, owner=f"agent {name}"
    )
    server_agent = Agent(
        name,
        registration,
        RegistryClient(at, who="agent", timeout_s=2.0),
        lambda: passes_health_check(address, health),
        lambda text: print(text, file=sys.stderr, flush=True),
    )

    asyncio.run(_run_until_signal(server_agent, grace_s))


async def _run_until_signal(server_agent: Agent, grace_s: float) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await run_agent(server_agent, stop, grace_s)
