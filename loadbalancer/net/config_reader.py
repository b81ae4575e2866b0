"""Reads the file that `LB_CONFIG` names, leniently: what is not known is noted and passed over.

The settings bear the names of the simulator's wire, nested. They are flattened to the wire's own form and
read by `loadbalancer.wire`, so that the simulator and the real balancer cannot come to differ. The other keys
are mapped here, and only here, to the fields of `Config`.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from loadbalancer import wire
from loadbalancer.interface import Settings
from loadbalancer.net.address import Address, parse_address
from loadbalancer.net.config import (
    DEFAULT_SNAPSHOT_INTERVAL_MS,
    DEFAULT_SUSPECT_STALE_FRACTION,
    MAX_SERVICES,
    MAX_SUBSET_SIZE,
    MIN_SNAPSHOT_INTERVAL_MS,
    SERVICE_NAME_PATTERN,
    Config,
    ConfigError,
    RegistryConfig,
)
from loadbalancer.net.endpoint_list_codec import decode_endpoint_list

DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0


def read_config(text: str, on_unknown: Callable[[str], None], console: str = "") -> Config:
    """Return the configuration in a JSON text; ConfigError says in one line what is wrong with it.

    `on_unknown` gets a line on each setting that is passed over; `console` is where operators call if the
    text does not say.
    """
    try:
        return _decode_config(json.loads(text), on_unknown, console)
    except KeyError as error:
        raise ConfigError(f"{error} is missing") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(" ".join(str(error).split())) from error


def _decode_config(raw: Mapping[str, Any], on_unknown: Callable[[str], None], console: str) -> Config:
    console = raw.get("console") or console
    flat: wire.Fields = {}
    _flatten(raw["settings"], "", flat)
    settings = wire.read_settings(flat, on_unknown)
    registry = _decode_registry(raw)
    if registry is not None:
        settings = replace(settings, suspect_stale_fraction=registry.suspect_stale_fraction)
    peers = _decode_peers(raw, settings, flat)
    return Config(
        name=str(raw.get("name", "")),
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int(str(raw.get("seed", "0")), 16),
        max_sockets=int(raw.get("limits", {}).get("sockets", DEFAULT_MAX_SOCKETS)),
        memory_mb=float(raw.get("limits", {}).get("memory_mb", DEFAULT_MEMORY_MB)),
        console=parse_address(console) if console else None,
        initial_list=decode_endpoint_list(
            raw.get("known") or {"index": 0, "snapshot": True, "endpoints": []}
        ),
        settings=settings,
        connect_timeout_ms=wire.read_number(flat, "limits.connectTimeout", DEFAULT_CONNECT_TIMEOUT_MS),
        idle_timeout_ms=wire.read_number(flat, "limits.connIdle", DEFAULT_IDLE_TIMEOUT_MS),
        drain_grace_ms=wire.read_number(flat, "contract.drainGrace", 0.0),
        peers=peers,
        snapshot_folder=Path(str(raw["snapshots"])) if raw.get("snapshots") else None,
        snapshot_interval_ms=max(
            float(raw.get("snapshotEvery", DEFAULT_SNAPSHOT_INTERVAL_MS)), MIN_SNAPSHOT_INTERVAL_MS
        ),
        peer_listen=parse_address(raw["peer_listen"]) if peers else None,
        registry=registry,
    )


def _flatten(value: object, prefix: str, into: wire.Fields) -> None:
    """Add nested settings as the wire's path=value pairs."""
    if isinstance(value, dict):
        for name, inner in value.items():
            _flatten(inner, f"{prefix}.{name}" if prefix else str(name), into)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        into[f"{prefix}.count"] = str(len(value))
        for index, item in enumerate(value):
            _flatten(item, f"{prefix}.{index}", into)
    elif isinstance(value, list):
        into[prefix] = ",".join(map(_plain_text, value))
    elif value is not None:
        into[prefix] = _plain_text(value)


def _plain_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _decode_peers(raw: Mapping[str, Any], settings: Settings, flat: wire.Fields) -> tuple[Address, ...]:
    """Return the addresses for gossip, if it is wanted and allowed."""
    is_on = raw.get("membership") is True and flat.get("limits.peers") == "true"
    if not is_on or not raw.get("peer_listen"):
        return ()
    peers = tuple(parse_address(address) for address in raw.get("peers") or ())
    if not settings.balancer_index < len(peers) or len(set(peers)) < len(peers):
        raise ValueError(
            f"peers: {len(peers)} addresses for number {settings.balancer_index}, each may stand once"
        )
    return peers


def _decode_registry(raw: Mapping[str, Any]) -> RegistryConfig | None:
    """Return how a registry of one's own is polled, if the configuration has one."""
    table = raw.get("lists")
    if not isinstance(table, Mapping):
        return None
    others = tuple(parse_address(address) for address in table.get("others") or ())
    own = parse_address(raw["discovery"])
    if len({own, *others}) < 1 + len(others):
        raise ValueError("lists.others: an instance is listed twice, or is the one in `discovery`")
    tier = str(table.get("tier") or "")
    services = _decode_services(table)
    subset_size = int(table.get("part") or 0)
    if services and tier:
        raise ValueError("lists.tier: is the one service of `lists.services`; give one of the two")
    if not 0 <= subset_size <= MAX_SUBSET_SIZE or (subset_size and not services):
        raise ValueError(
            f"lists.part: {subset_size}; allowed: 0 to {MAX_SUBSET_SIZE}, and only with `lists.services`"
        )
    fraction = float(table.get("doubt", DEFAULT_SUSPECT_STALE_FRACTION))
    return RegistryConfig(others, tier, fraction, services, subset_size)


def _decode_services(table: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the services that are requested, each once, sorted."""
    services = tuple(str(name) for name in table.get("services") or ())
    if len(set(services)) < len(services) or len(services) > MAX_SERVICES:
        raise ValueError(f"lists.services: {len(services)} names; allowed: {MAX_SERVICES}, each once")
    invalid = [name for name in services if not SERVICE_NAME_PATTERN.match(name)]
    if invalid:
        raise ValueError(f"lists.services: {invalid[0]!r}; allowed: letters, digits, . _ : -")
    return tuple(sorted(services))
