"""`irondrum serve` and `irondrum check`: run a balancer from a configuration file, and validate one."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer

from loadbalancer import configuration, program
from loadbalancer.cli.usage_error import UsageError
from loadbalancer.net.log import Fields, Sink

LOG_FORMATS = ("text", "json")


def _create_sink(log_format: str) -> Sink:
    """Return a sink that writes events with structlog, as text or as JSON."""
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer(default=str)
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        wrapper_class=structlog.BoundLogger,
    )

    def write(name: str, event: str, text: str, fields: Fields) -> None:
        """Write one event of the balancer `name`."""
        logger.msg(event, balancer=name, text=text, **fields)

    return write


def serve(
    file: Annotated[Path, typer.Argument(help="The configuration, TOML or .json.")],
    log: Annotated[str, typer.Option(help="Log format: text or json.")] = "text",
) -> None:
    """Run one balancer until SIGTERM; SIGHUP reloads the file.

    Example: irondrum serve docs/irondrum.toml --log json
    """
    if log not in LOG_FORMATS:
        raise UsageError(f"--log {log!r}; allowed: {', '.join(LOG_FORMATS)}")
    config = configuration.read(file, lambda unknown: typer.echo(f"irondrum: {unknown}", err=True))
    status = program.run(config, lambda on_unknown: configuration.read(file, on_unknown), _create_sink(log))
    raise typer.Exit(status)


def check(
    file: Annotated[Path | None, typer.Argument(help="The configuration, TOML or .json.")] = None,
    schema: Annotated[bool, typer.Option("--schema", help="Print the JSON Schema instead.")] = False,
) -> None:
    """Print all errors of a configuration at once, each with its path and what is allowed.

    Example: irondrum check docs/irondrum.toml
    """
    if schema:
        typer.echo(json.dumps(configuration.schema(), indent=1))
        return
    if file is None:
        raise UsageError("check: give a file or --schema")
    config = configuration.read(file, lambda unknown: None)
    server_count = len(config.initial_list.endpoints)
    typer.echo(f"{file}: can be used; {len(config.settings.classes)} classes, {server_count} servers known")
