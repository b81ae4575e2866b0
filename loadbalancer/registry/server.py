"""Serves the registry as a file says: what the command `directory serve` does."""

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
    """A file that is wrong, or an address that can't be used: one line."""


class RegistryConfiguration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The registry's file; the fields' names are its keys."""

    listen: Address
    """Loopback, or a named address: there is no sign-in."""
    database: str
    instances: tuple[Address, ...] = ()
    """All that hold this list, in the same order in the files of all; none for a list held by one."""
    instance: Annotated[int, msgspec.Meta(ge=0)] = 0
    """Which of them this one is, from 0."""
    rules: Rules = Rules()


def read_configuration(path: Path) -> RegistryConfiguration:
    """Return what a file says; `RegistryServerError` has in a line what is wrong with it."""
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
    """Return the service with all that its database holds; `CatalogStoreError` if that can't be used."""
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
