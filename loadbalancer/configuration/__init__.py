"""The configuration for people: one typed model for the platform's JSON and for TOML with units.

    config = read(Path("irondrum.toml"), note=print)      # what `run` reads, as `net` takes it
    for fault in faults(tables): print(fault)             # every one, with its path and what is allowed

`python -m loadbalancer` reads the platform's JSON by itself, leniently, and loads none of this.
"""

from loadbalancer.configuration.model import Configuration, schema
from loadbalancer.configuration.reader import ConfigurationError, parse, read, tables_of, validation_errors

__all__ = ["Configuration", "ConfigurationError", "parse", "read", "schema", "tables_of", "validation_errors"]
