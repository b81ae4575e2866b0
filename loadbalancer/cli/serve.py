"""`irondrum serve` and `irondrum check`: a configuration of one's own, and what is wrong with it."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer

from loadbalancer import __main__ as program
from loadbalancer import configuration
from loadbalancer.cli.misuse import Misuse
from loadbalancer.net.log import Fields, Sink

FORMS = ("text", "json")


def _sink(form: str) -> Sink:
    """Events by structlog, as text or as JSON."""
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer(default=str)
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        wrapper_class=structlog.BoundLogger,
    )

    def write(name: str, event: str, text: str, fields: Fields) -> None:
        logger.msg(event, balancer=name, text=text, **fields)

    return write


def serve(
    file: Annotated[Path, typer.Argument(help="The configuration, TOML or .json.")],
    log: Annotated[str, typer.Option(help="Form of the log: text or json.")] = "text",
) -> None:
    """Start one balancer until SIGTERM; SIGHUP reads the file again.

    Example: irondrum serve docs/irondrum.toml --log json
    """
    if log not in FORMS:
        raise Misuse(f"--log {log!r}; allowed: {', '.join(FORMS)}")
    config = configuration.read(file, lambda note: typer.echo(f"irondrum: {note}", err=True))
    raise typer.Exit(program.run(config, lambda note: configuration.read(file, note), _sink(log)))


def check(
    file: Annotated[Path | None, typer.Argument(help="The configuration, TOML or .json.")] = None,
    schema: Annotated[bool, typer.Option("--schema", help="Print the JSON Schema instead.")] = False,
) -> None:
    """Tell every fault of a configuration at once, each with its path and what is allowed.

    Example: irondrum check docs/irondrum.toml
    """
    if schema:
        typer.echo(json.dumps(configuration.schema(), indent=1))
        return
    if file is None:
        raise Misuse("check: name a file, or give --schema")
    config = configuration.read(file, lambda note: None)
    known = len(config.initial_list.endpoints)
    typer.echo(f"{file}: can be used; {len(config.settings.classes)} classes, {known} servers known")
