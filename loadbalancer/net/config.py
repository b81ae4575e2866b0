"""What a balancer is told at its start, as typed values; `config_reader` reads them from the file."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, fields, replace
from pathlib import Path

from loadbalancer.interface import Endpoint, Settings
from loadbalancer.net.address import Address

DEFAULT_SUSPECT_STALE_FRACTION = 0.3
"""Of the ready servers: more do not go at once without draining, but for a fault of the list itself."""
MAX_SERVICES = 32  # a registry takes no more in one request
MAX_SUBSET_SIZE = 100_000  # a registry takes no more
SERVICE_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")
DEFAULT_SNAPSHOT_INTERVAL_MS = 10_000.0
MIN_SNAPSHOT_INTERVAL_MS = 100.0  # evidence fades within 6 s: more often gains nothing

OPERATOR_NAMES = {
    "max_sockets": "sockets",
    "initial_list": "known",
    "idle_timeout_ms": "idle_ms",
    "snapshot_folder": "snapshots",
    "snapshot_interval_ms": "snapshot_every_ms",
    "registry": "lists",
}
"""What operators read for a field of `Config`, in errors and on a reload, where it differs from the field."""


class ConfigError(ValueError):
    """The configuration can't be used; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class AddressedEndpoint:
    """One entry of the endpoint list: what the decision module sees of a server, and where to reach it."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One response of discovery: the full list, or only what changed."""

    index: int
    is_full_snapshot: bool
    endpoints: tuple[AddressedEndpoint, ...]
    is_rewound: bool = False
    """Whether its service has gone back to an older state, and nobody else has a newer one."""


@dataclass(frozen=True, slots=True)
class RegistryConfig:
    """How a registry of one's own is polled (the key `lists`); the platform's is polled as PROTOCOL says."""

    other_instances: tuple[Address, ...] = ()
    """Further instances that have the same list."""
    tier: str = ""
    """The tier that is requested; empty for the registry's first."""
    suspect_stale_fraction: float = DEFAULT_SUSPECT_STALE_FRACTION
    """A full list that leaves out more than this fraction of the ready servers is suspected stale."""
    services: tuple[str, ...] = ()
    """What is requested in place of a tier, where the registry knows interests; several are one pool."""
    subset_size: int = 0
    """Servers of each service that this balancer is given in each zone at the least; 0 for all."""

    def can_change_to(self, other: RegistryConfig | None) -> bool:
        """Return whether `other` can be followed while we run: where only services or subset differ."""
        if other is None or not (self.services and other.services):
            return False
        return replace(self, services=other.services, subset_size=other.subset_size) == other


@dataclass(frozen=True, slots=True)
class Config:
    """All that a balancer is told at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    memory_mb: float
    console: Address | None
    initial_list: EndpointList
    settings: Settings
    connect_timeout_ms: float
    idle_timeout_ms: float
    drain_grace_ms: float
    peers: tuple[Address, ...] = ()
    """One for each balancer of the tier, by their numbers; none where membership is off."""
    peer_listen: Address | None = None
    snapshot_folder: Path | None = None
    """Where snapshots of what was learned are saved; None for nowhere."""
    snapshot_interval_ms: float = DEFAULT_SNAPSHOT_INTERVAL_MS
    registry: RegistryConfig | None = None
    """None for the platform's discovery."""

    def __post_init__(self) -> None:
        """Check the figures; ConfigError names the first that can't be used."""
        for field in ("max_sockets", "memory_mb", "connect_timeout_ms", "snapshot_interval_ms"):
            if not 0 < (value := getattr(self, field)) < math.inf:
                raise ConfigError(f"{_operator_name(field)} is {value!r}: it must be a finite number above 0")
        for field in ("idle_timeout_ms", "drain_grace_ms"):
            if not 0 <= (value := getattr(self, field)) < math.inf:
                raise ConfigError(
                    f"{_operator_name(field)} is {value!r}: it must be a finite number, not below 0"
                )


def changed_settings(old: Config, new: Config) -> list[str]:
    """Return the names, as operators read them, of the fields in which two configurations differ."""
    names = [field.name for field in fields(Config)]
    return [_operator_name(name) for name in names if getattr(old, name) != getattr(new, name)]


def _operator_name(field: str) -> str:
    return OPERATOR_NAMES.get(field, field)
