"""Reads a configuration from TOML or JSON, and reports all its errors at once."""

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
    """A configuration is invalid; holds all its errors, one per line."""

    def __init__(self, lines: list[str]) -> None:
        """`lines` has one error each; the message joins them."""
        super().__init__("\n".join(lines))
        self.lines = lines


def read(path: Path, on_unknown: Callable[[str], None]) -> Config:
    """Return the configuration in a file; ConfigurationError holds all its errors.

    `on_unknown` receives a message for each setting that is ignored.
    """
    tables = load_tables(path)
    if errors := validation_errors(tables):
        raise ConfigurationError([f"{path}: {error}" for error in errors])
    return parse(tables, on_unknown)


def load_tables(path: Path) -> Tables:
    """Return the content of a file: JSON if its name ends in `.json`, else TOML.

    ConfigurationError if it can't be read.
    """
    try:
        text = path.read_text(encoding="utf-8")
        tables = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:  # includes the decode errors of TOML and JSON
        raise ConfigurationError([f"{path}: can't be read: {' '.join(str(error).split())}"]) from error
    if not isinstance(tables, dict):
        raise ConfigurationError([f"{path}: must be a table, not {type(tables).__name__}"])
    return tables


def validation_errors(tables: Tables) -> list[str]:
    """Return all errors, as `path: problem; allowed: ...`; empty if the configuration is valid."""
    errors = list(find_errors(tables, Configuration))
    if not errors:
        try:
            parse(tables, lambda unknown: None)
        except ConfigError as error:  # inconsistency across several keys
            errors.append(str(error))
    return errors


def parse(tables: Tables, on_unknown: Callable[[str], None]) -> Config:
    """Convert valid tables; ConfigError or msgspec.ValidationError on the first error."""
    configuration = msgspec.convert(tables, type=Configuration)
    plain = with_durations_in_ms(msgspec.to_builtins(configuration), Configuration)
    return read_config(json.dumps(plain), on_unknown)
