"""The configuration of a balancer as typed values; `config_reader` reads it from the file."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, fields, replace
from pathlib import Path

from loadbalancer.interface import Endpoint, Settings
from loadbalancer.net.address import Address

DEFAULT_SUSPECT_STALE_FRACTION = 0.3
"""Of the ready servers: only a fault of the list removes more of them at once without draining."""
MAX_SERVICES = 32  # a registry accepts no more in one request
MAX_SUBSET_SIZE = 100_000  # a registry accepts no more
SERVICE_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")
DEFAULT_SNAPSHOT_INTERVAL_MS = 10_000.0
MIN_SNAPSHOT_INTERVAL_MS = 100.0  # evidence decays within 6 s: shorter intervals gain nothing

OPERATOR_NAMES = {
    "max_sockets": "sockets",
    "initial_list": "known",
    "idle_timeout_ms": "idle_ms",
    "snapshot_folder": "snapshots",
    "snapshot_interval_ms": "snapshot_every_ms",
    "registry": "lists",
}
"""The names of `Config` fields in errors and reload reports, where they differ from the field's name."""


class ConfigError(ValueError):
    """The configuration is invalid; the text is a single line."""


@dataclass(frozen=True, slots=True)
class AddressedEndpoint:
    """One entry of the endpoint list: a server as the decision module knows it, and its address."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One response of discovery: the full list, or only its changes."""

    index: int
    is_full_snapshot: bool
    endpoints: tuple[AddressedEndpoint, ...]
    is_rewound: bool = False
    """Whether the list service returned to an older state and no other instance has a newer one."""


@dataclass(frozen=True, slots=True)
class RegistryConfig:
    """How a self-hosted registry is polled (the key `lists`); the platform's is polled as PROTOCOL says."""

    other_instances: tuple[Address, ...] = ()
    """Further instances that serve the same list."""
    tier: str = ""
    """The requested tier; empty for the registry's first."""
    suspect_stale_fraction: float = DEFAULT_SUSPECT_STALE_FRACTION
    """A full list that omits more than this fraction of the ready servers is suspected stale."""
    services: tuple[str, ...] = ()
    """Requested in place of a tier, if the registry supports interests; the servers of all form one pool."""
    subset_size: int = 0
    """The minimum number of servers of each service in each zone for this balancer; 0 for all."""

    def can_change_to(self, other: RegistryConfig | None) -> bool:
        """Return whether a reload can apply `other`: only services or subset size may differ."""
        if other is None or not (self.services and other.services):
            return False
        return replace(self, services=other.services, subset_size=other.subset_size) == other


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of a balancer."""

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
    """One for each balancer of the tier, by index; empty if membership is off."""
    peer_listen: Address | None = None
    snapshot_folder: Path | None = None
    """Where snapshots of learned state are saved; None to save none."""
    snapshot_interval_ms: float = DEFAULT_SNAPSHOT_INTERVAL_MS
    registry: RegistryConfig | None = None
    """None for the platform's discovery."""

    def __post_init__(self) -> None:
        """Check the numbers; ConfigError names the first invalid one."""
        for field in ("max_sockets", "memory_mb", "connect_timeout_ms", "snapshot_interval_ms"):
            if not 0 < (value := getattr(self, field)) < math.inf:
                raise ConfigError(f"{_operator_name(field)} is {value!r}: it must be a finite number above 0")
        for field in ("idle_timeout_ms", "drain_grace_ms"):
            if not 0 <= (value := getattr(self, field)) < math.inf:
                raise ConfigError(
                    f"{_operator_name(field)} is {value!r}: it must be a finite number, not below 0"
                )


def changed_settings(old: Config, new: Config) -> list[str]:
    """Return the operators' names of the fields in which two configurations differ."""
    names = [field.name for field in fields(Config)]
    return [_operator_name(name) for name in names if getattr(old, name) != getattr(new, name)]


def _operator_name(field: str) -> str:
    return OPERATOR_NAMES.get(field, field)
