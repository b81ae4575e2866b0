"""The configuration for people: one typed model for the platform's JSON and for TOML with units.

    config = read(Path("irondrum.toml"), on_unknown=print)           # as `net` takes it
    for error in validation_errors(tables): print(error)             # all, with path and what is allowed

`python -m loadbalancer` reads the platform's JSON by itself, leniently, and loads none of this.
"""

from loadbalancer.configuration.model import Configuration, schema
from loadbalancer.configuration.reader import (
    ConfigurationError,
    load_tables,
    parse,
    read,
    validation_errors,
)

__all__ = [
    "Configuration",
    "ConfigurationError",
    "load_tables",
    "parse",
    "read",
    "schema",
    "validation_errors",
]
