"""The operator's configuration: one typed model for the platform's JSON and for TOML with units.

    config = read(Path("irondrum.toml"), on_unknown=print)           # as used by `net`
    for error in validation_errors(tables): print(error)             # all, with path and allowed values

`python -m loadbalancer` does not import this package: it reads the platform's JSON with a lenient reader.
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
