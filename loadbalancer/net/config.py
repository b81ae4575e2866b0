"""What the platform tells a balancer at its start: the file that `LB_CONFIG` names, as typed values.

The settings bear the names of the simulator's wire, nested. They are flattened to the wire's own form and
read by `loadbalancer.wire`, so that the simulator and the real balancer cannot come to differ.
"""

from __future__ import annotations

import ipaddress
import json
import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import Any

from loadbalancer import wire
from loadbalancer.interface import Endpoint, Readiness, Settings

Address = tuple[str, int]
DEFAULT_SUSPECT_STALE_FRACTION = (
    0.3  # of the ready servers: more do not go at once unsaid, but for a fault of the list itself
)
MAX_SERVICES, MAX_SUBSET_SIZE = 32, 100_000  # as a list service takes them
SERVICE_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")
DEFAULT_SNAPSHOT_INTERVAL_MS, MIN_SNAPSHOT_INTERVAL_MS = (
    10_000.0,
    100.0,
)  # evidence fades within 6 s: more often gains nothing

_READINESS = {
    "in_service": Readiness.READY,
    "terminating": Readiness.DRAINING,
    "terminated": Readiness.DEAD,
}


class ConfigError(ValueError):
    """The configuration can't be used; the text is one plain line."""


@dataclass(frozen=True, slots=True)
class AddressedEndpoint:
    """One entry of discovery's list: what the module sees of a server, and where to reach it."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One answer of discovery, in whole or only what changed."""

    index: int
    is_full_snapshot: bool
    endpoints: tuple[AddressedEndpoint, ...]
    is_rewound: bool = False
    """Whether its service has gone back to an older state, and nobody else has a newer one."""


@dataclass(frozen=True, slots=True)
class RegistryConfig:
    """How a list service of one's own is asked; the platform's is asked as PROTOCOL says, without this."""

    other_instances: tuple[Address, ...] = ()
    """Further instances that hold the same list."""
    tier: str = ""
    """The tier that is asked for; empty for the service's first."""
    suspect_stale_fraction: float = DEFAULT_SUSPECT_STALE_FRACTION
    """A whole list that leaves out more than this part of the ready servers is doubted: `list_doubt`."""
    services: tuple[str, ...] = ()
    """What is asked for in place of a tier, where the service knows interests; several are one pool."""
    subset_size: int = 0
    """Servers of each service that are held in each zone at the least; 0 for all."""

    def can_change_to(self, other: RegistryConfig | None) -> bool:
        """Whether another table can be followed while we run: where only the services or the part differ."""
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
    """The folder in which what was learned is kept; None where it is not."""
    snapshot_interval_ms: float = DEFAULT_SNAPSHOT_INTERVAL_MS
    registry: RegistryConfig | None = None
    """None for the platform's list."""

    def __post_init__(self) -> None:
        for name in ("max_sockets", "memory_mb", "connect_timeout_ms", "snapshot_interval_ms"):
            if not 0 < (value := getattr(self, name)) < math.inf:
                raise ConfigError(f"{_operator_name(name)} is {value!r}: it must be a finite number above 0")
        for name in ("idle_timeout_ms", "drain_grace_ms"):
            if not 0 <= (value := getattr(self, name)) < math.inf:
                raise ConfigError(
                    f"{_operator_name(name)} is {value!r}: it must be a finite number, not below 0"
                )


OPERATOR_NAMES = {
    "max_sockets": "sockets",
    "initial_list": "known",
    "idle_timeout_ms": "idle_ms",
    "snapshot_folder": "snapshots",
    "snapshot_interval_ms": "snapshot_every_ms",
    "registry": "lists",
}
"""What operators read for a field of `Config`, in errors and on a reload, where it differs from the field."""


def _operator_name(field: str) -> str:
    return OPERATOR_NAMES.get(field, field)


def changed_settings(old: Config, new: Config) -> list[str]:
    """Return the names, as operators read them, of the fields in which two configurations differ."""
    names = [field.name for field in fields(Config)]
    return [_operator_name(name) for name in names if getattr(old, name) != getattr(new, name)]


def read_address(text: object) -> Address:
    """`host:port` as a pair; the platform has no names to look up."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{text!r} is no address of the form host:port")
    try:
        return str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError:
        raise ConfigError(f"{text!r} holds no address of a machine") from None


def _read_endpoint(entry: Mapping[str, Any]) -> AddressedEndpoint:
    name = entry["name"]
    if not isinstance(name, str) or not name or name != "".join(name.split()):
        raise ValueError(f"{name!r} names no server")
    weight, since = float(entry.get("weight") or 1.0), float(entry.get("since_ms") or 0.0)
    if not (math.isfinite(weight) and math.isfinite(since)):
        raise ValueError(f"entry {entry['name']!r} holds figures that are none")
    member = Endpoint(
        server=name,
        readiness=_READINESS[entry["status"]],
        zone=str(entry.get("zone", "")),
        cell=int(entry.get("group") or 0),
        registered_capacity=weight,
        started_at_ms=since,
    )
    return AddressedEndpoint(member, read_address(entry["address"]))


def decode_endpoint_list(answer: Mapping[str, Any]) -> EndpointList:
    """A list in discovery's form; ValueError if it is anything else."""
    try:
        endpoints = tuple([_read_endpoint(entry) for entry in answer["endpoints"]])
        if len({e.endpoint.server for e in endpoints}) < len(endpoints):
            raise ValueError("a server is listed twice")
        return EndpointList(int(answer["index"]), bool(answer["snapshot"]), endpoints)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not a server list: {type(error).__name__}: {error}") from None


def encode_endpoint_list(news: EndpointList) -> dict[str, Any]:
    """A list in discovery's form, as `decode_endpoint_list` takes it."""
    status = {readiness: word for word, readiness in _READINESS.items()}
    endpoints = [
        {
            "name": e.endpoint.server,
            "address": f"{e.address[0]}:{e.address[1]}",
            "zone": e.endpoint.zone,
            "group": e.endpoint.cell,
            "status": status[e.endpoint.readiness],
            "weight": e.endpoint.registered_capacity,
            "since_ms": e.endpoint.started_at_ms,
        }
        for e in news.endpoints
    ]
    return {"index": news.index, "snapshot": news.is_full_snapshot, "endpoints": endpoints}


def flatten(value: object, prefix: str, into: wire.Fields) -> None:
    """Nested settings as the wire's path=value pairs."""
    if isinstance(value, dict):
        for name, inner in value.items():
            flatten(inner, f"{prefix}.{name}" if prefix else str(name), into)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        into[f"{prefix}.count"] = str(len(value))
        for i, item in enumerate(value):
            flatten(item, f"{prefix}.{i}", into)
    elif isinstance(value, list):
        into[prefix] = ",".join(map(_plain, value))
    elif value is not None:
        into[prefix] = _plain(value)


def _plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _read_peers(raw: Mapping[str, Any], settings: Settings, facts: wire.Fields) -> tuple[Address, ...]:
    """The addresses for notes, if notes are wanted and allowed."""
    wanted = raw.get("membership") is True and facts.get("limits.peers") == "true"
    if not wanted or not raw.get("peer_listen"):
        return ()
    peers = tuple(read_address(address) for address in raw.get("peers") or ())
    if not settings.balancer_index < len(peers) or len(set(peers)) < len(peers):
        raise ValueError(
            f"peers: {len(peers)} addresses for number {settings.balancer_index}, each may stand once"
        )
    return peers


def _read_lists(raw: Mapping[str, Any]) -> RegistryConfig | None:
    """How a list service of one's own is asked, if the configuration has one."""
    told = raw.get("lists")
    if not isinstance(told, Mapping):
        return None
    others = tuple(read_address(address) for address in told.get("others") or ())
    own = read_address(raw["discovery"])
    if len({own, *others}) < 1 + len(others):
        raise ValueError("lists.others: an instance stands twice, or is the one in `discovery`")
    tier, services, part = str(told.get("tier") or ""), _read_services(told), int(told.get("part") or 0)
    if services and tier:
        raise ValueError("lists.tier: is the one service of `lists.services`; give one of the two")
    if not 0 <= part <= MAX_SUBSET_SIZE or (part and not services):
        raise ValueError(
            f"lists.part: {part}; allowed: 0 to {MAX_SUBSET_SIZE}, and only with `lists.services`"
        )
    return RegistryConfig(
        others, tier, float(told.get("doubt", DEFAULT_SUSPECT_STALE_FRACTION)), services, part
    )


def _read_services(told: Mapping[str, Any]) -> tuple[str, ...]:
    """The services that are asked for, each once, in their order."""
    services = tuple(str(name) for name in told.get("services") or ())
    if len(set(services)) < len(services) or len(services) > MAX_SERVICES:
        raise ValueError(f"lists.services: {len(services)} names; allowed: {MAX_SERVICES}, each once")
    if odd := [name for name in services if not SERVICE_NAME_PATTERN.match(name)]:
        raise ValueError(f"lists.services: {odd[0]!r}; allowed: letters, digits, . _ : -")
    return tuple(sorted(services))


def read_config(text: str, note: Callable[[str], None], console: str = "") -> Config:
    """The configuration from its JSON text; ConfigError says in one line what is wrong with it.

    `console` is where operators call if the text does not say.
    """
    try:
        raw = json.loads(text)
        console = raw.get("console") or console
        facts: wire.Fields = {}
        flatten(raw["settings"], "", facts)
        settings, lists = wire.read_settings(facts, note), _read_lists(raw)
        if lists is not None:
            settings = replace(settings, suspect_stale_fraction=lists.suspect_stale_fraction)
        peers = _read_peers(raw, settings, facts)
        return Config(
            name=str(raw.get("name", "")),
            listen=read_address(raw["listen"]),
            discovery=read_address(raw["discovery"]),
            seed=int(str(raw.get("seed", "0")), 16),
            max_sockets=int(raw.get("limits", {}).get("sockets", 1024)),
            memory_mb=float(raw.get("limits", {}).get("memory_mb", 192)),
            console=read_address(console) if console else None,
            initial_list=decode_endpoint_list(
                raw.get("known") or {"index": 0, "snapshot": True, "endpoints": []}
            ),
            settings=settings,
            connect_timeout_ms=wire.read_number(facts, "limits.connectTimeout", 250.0),
            idle_timeout_ms=wire.read_number(facts, "limits.connIdle", 15_000.0),
            drain_grace_ms=wire.read_number(facts, "contract.drainGrace", 0.0),
            peers=peers,
            snapshot_folder=Path(str(raw["snapshots"])) if raw.get("snapshots") else None,
            snapshot_interval_ms=max(
                float(raw.get("snapshotEvery", DEFAULT_SNAPSHOT_INTERVAL_MS)), MIN_SNAPSHOT_INTERVAL_MS
            ),
            peer_listen=read_address(raw["peer_listen"]) if peers else None,
            registry=lists,
        )
    except KeyError as error:
        raise ConfigError(f"{error} is missing") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(" ".join(str(error).split())) from None
