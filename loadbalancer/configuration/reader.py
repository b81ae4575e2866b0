"""Reads a configuration in TOML or JSON, and reports all its errors at once."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from loadbalancer.configuration.model import Configuration
from loadbalancer.configuration.units import with_durations_in_ms
from loadbalancer.configuration.validation import find_errors
from loadbalancer.net.config import Config, ConfigError
from loadbalancer.net.config_reader import read_config

Tables = dict[str, Any]


class ConfigurationError(ValueError):
    """A configuration that can't be used: all its errors, a line each."""

    def __init__(self, lines: list[str]) -> None:
        """Join the lines for the message, and keep them."""
        super().__init__("\n".join(lines))
        self.lines = lines


def read(path: Path, on_unknown: Callable[[str], None]) -> Config:
    """Return the configuration in a file; ConfigurationError holds all its errors.

    `on_unknown` gets a line on each setting that is passed over.
    """
    tables = load_tables(path)
    if errors := validation_errors(tables):
        raise ConfigurationError([f"{path}: {error}" for error in errors])
    return parse(tables, on_unknown)


def load_tables(path: Path) -> Tables:
    """Return what a file holds: JSON if its name ends in `.json`, else TOML.

    ConfigurationError if it can't be read.
    """
    try:
        text = path.read_text(encoding="utf-8")
        tables = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:  # of TOML and JSON, too
        raise ConfigurationError([f"{path}: can't be read: {' '.join(str(error).split())}"]) from error
    if not isinstance(tables, dict):
        raise ConfigurationError([f"{path}: must be a table, not {type(tables).__name__}"])
    return tables


def validation_errors(tables: Tables) -> list[str]:
    """Return all errors, as `path: what is wrong; allowed: ...`; none if the configuration can be used."""
    errors = list(find_errors(tables, Configuration))
    if not errors:
        try:
            parse(tables, lambda unknown: None)
        except ConfigError as error:  # several keys together can't be used
            errors.append(str(error))
    return errors


def parse(tables: Tables, on_unknown: Callable[[str], None]) -> Config:
    """Return the configuration in valid tables; ConfigError or msgspec.ValidationError on the first error."""
    configuration = msgspec.convert(tables, type=Configuration)
    plain = with_durations_in_ms(msgspec.to_builtins(configuration), Configuration)
    return read_config(json.dumps(plain), on_unknown)
