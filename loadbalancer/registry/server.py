"""Serves the list from a file that says where: what `irondrum directory serve` does."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec
from aiohttp import web

from loadbalancer.registry.anti_entropy import MAX_INSTANCES
from loadbalancer.registry.entries import Address, Rules
from loadbalancer.registry.service import RegistryService
from loadbalancer.registry.store import CatalogStore

SHUTDOWN_TIMEOUT_S = 1.0


class RegistryServerError(ValueError):
    """What can't be served: one line."""


class RegistryConfiguration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the service is told."""

    listen: Address
    """Loopback, or a named address: there is no sign-in."""
    database: str
    instances: tuple[Address, ...] = ()
    """All that hold this list, in the same order in the files of all; none for a list held by one."""
    instance: Annotated[int, msgspec.Meta(ge=0)] = 0
    """Which of them this one is, from 0."""
    rules: Rules = Rules()


def read_configuration(path: Path) -> RegistryConfiguration:
    """The service's file; HostError tells in a line what is wrong with it."""
    try:
        told = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), type=RegistryConfiguration)
        count = len(told.instances)
        if count > MAX_INSTANCES or len(set(told.instances)) < count:
            raise ValueError(f"instances: {count}; allowed: {MAX_INSTANCES} at most, each once")
        if told.instance >= max(count, 1):
            raise ValueError(f"instance: {told.instance}; allowed: 0 to {max(count, 1) - 1}")
        return told
    except (OSError, ValueError) as error:
        raise RegistryServerError(f"{path}: {' '.join(str(error).split())}") from None


def open_service(told: RegistryConfiguration) -> RegistryService:
    """The service with all that its database holds; StoreError if that can't be used."""
    return RegistryService(CatalogStore(told.database), told.rules, told.instances, told.instance)


def serve(told: RegistryConfiguration, service: RegistryService) -> None:
    """Serve until SIGTERM; HostError if the address can't be had."""
    host, _, port = told.listen.rpartition(":")
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
        raise RegistryServerError(f"can't listen on {told.listen}: {error}") from None
