"""Serves the registry from a configuration file, for the command `directory serve`."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec
from aiohttp import web

from loadbalancer.registry.anti_entropy import MAX_INSTANCES
from loadbalancer.registry.changes import RegistryError
from loadbalancer.registry.entries import Address, Rules
from loadbalancer.registry.service import RegistryService
from loadbalancer.registry.store import CatalogStore

SHUTDOWN_TIMEOUT_S = 1.0


class RegistryServerError(RegistryError, ValueError):
    """An invalid configuration file or unusable address; the message is one line."""


class RegistryConfiguration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The registry's configuration file; the field names are its keys."""

    listen: Address
    """Loopback or a specific address, since there is no authentication."""
    database: str
    instances: tuple[Address, ...] = ()
    """The addresses of all instances, in the same order in all their files; empty for a single instance."""
    instance: Annotated[int, msgspec.Meta(ge=0)] = 0
    """The index of this instance in `instances`, from 0."""
    rules: Rules = Rules()


def read_configuration(path: Path) -> RegistryConfiguration:
    """Read a configuration file; `RegistryServerError` says in one line what is wrong with it."""
    try:
        text = path.read_text(encoding="utf-8")
        configuration = msgspec.convert(tomllib.loads(text), type=RegistryConfiguration)
        _check_instances(configuration)
    except (OSError, ValueError) as error:
        raise RegistryServerError(f"{path}: {' '.join(str(error).split())}") from error
    return configuration


def _check_instances(configuration: RegistryConfiguration) -> None:
    instances = configuration.instances
    if len(instances) > MAX_INSTANCES or len(set(instances)) < len(instances):
        raise ValueError(f"instances: {len(instances)}; allowed: {MAX_INSTANCES} at most, each once")
    highest = max(len(instances), 1) - 1
    if configuration.instance > highest:
        raise ValueError(f"instance: {configuration.instance}; allowed: 0 to {highest}")


def open_service(configuration: RegistryConfiguration) -> RegistryService:
    """Return the service with its database loaded; `CatalogStoreError` if that can't be used."""
    store = CatalogStore(configuration.database)
    return RegistryService(store, configuration.rules, configuration.instances, configuration.instance)


def serve(configuration: RegistryConfiguration, service: RegistryService) -> None:
    """Serve until SIGTERM; `RegistryServerError` if the address can't be used."""
    host, _, port = configuration.listen.rpartition(":")
    try:
        web.run_app(
            service.create_application(),
            host=host,
            port=int(port),
            access_log=None,
            print=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
    except OSError as error:
        raise RegistryServerError(f"can't listen on {configuration.listen}: {error}") from error
