"""Command line of `loadbalancer` (old name: `irondrum`); each command wraps a part of the package."""

from __future__ import annotations

import sys
from importlib.metadata import version
from typing import Annotated

import typer

from loadbalancer.cli import demo, drill, lab, operations, registry, scale, serve, zone
from loadbalancer.cli.usage_error import UsageError
from loadbalancer.configuration import ConfigurationError
from loadbalancer.drill.errors import DrillError
from loadbalancer.drill.open_load import LoadError
from loadbalancer.drill.scenario.loading import DrillScenarioError
from loadbalancer.lab.policies import PolicyError
from loadbalancer.registry.client import RegistryCallError
from loadbalancer.registry.server import RegistryServerError
from loadbalancer.registry.store import CatalogStoreError
from loadbalancer.scale.plan import PlanError
from loadbalancer.simulation.scenario import ScenarioError

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
app.add_typer(lab.app, name="lab")
app.add_typer(drill.app, name="drill")
app.add_typer(registry.app, name="directory")
app.add_typer(zone.app, name="zone")
app.add_typer(scale.app, name="scale")
for command in (
    serve.serve,
    serve.check,
    operations.health,
    operations.stats,
    operations.cordon,
    operations.uncordon,
    operations.top,
    operations.peers,
    operations.lists,
    demo.demo,
):
    app.command()(command)
app.command("load")(demo.load_)
EXIT_USAGE_ERROR = 2
EXIT_INTERRUPTED = 130  # as a shell reports SIGINT
USAGE_ERRORS = (
    UsageError,
    ScenarioError,
    PolicyError,
    DrillScenarioError,
    DrillError,
    LoadError,
    RegistryServerError,
    RegistryCallError,
    CatalogStoreError,
    PlanError,
)


def _show_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"irondrum {version('loadbalancer')}")
        raise typer.Exit


@app.callback()
def loadbalancer(
    show: Annotated[
        bool, typer.Option("--version", callback=_show_version, is_eager=True, help="Print the version.")
    ] = False,
) -> None:
    """A load balancer for service-to-service calls, and its tools."""


def main() -> None:
    """Run a command; a usage error is one line on standard error, and status 2."""
    try:
        app()
    except ConfigurationError as error:
        for line in error.lines:
            print(f"irondrum: {line}", file=sys.stderr)
        sys.exit(EXIT_USAGE_ERROR)
    except USAGE_ERRORS as error:
        print(f"irondrum: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE_ERROR)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
