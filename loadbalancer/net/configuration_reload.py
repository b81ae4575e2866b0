"""What a replaced configuration changes: which fields a running process follows, and which need a restart."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.net.config import Config

REPORTED_NAMES = {
    "name": "name",
    "listen": "listen",
    "discovery": "discovery",
    "seed": "seed",
    "sockets": "sockets",
    "memory_mb": "memory_mb",
    "console": "console",
    "known": "known",
    "settings": "settings",
    "connect_timeout_ms": "connect_timeout_ms",
    "idle_ms": "idle_ms",
    "drain_grace_ms": "drain_grace_ms",
    "peers": "peers",
    "peer_listen": "peer_listen",
    "snapshots": "snapshots",
    "snapshot_every_ms": "snapshot_every_ms",
    "lists": "lists",
}
"""The fields of `Config` by the names under which operators read of them in the log."""

_STARTUP_FIELDS = frozenset({"known", "seed"})  # of use at the start alone: a change needs nothing


@dataclass(frozen=True, slots=True)
class ReloadReport:
    """The fields that have changed, by the names that operators know."""

    applied: list[str]
    needs_restart: list[str]


def compare_configurations(old: Config, new: Config) -> ReloadReport:
    """Return which of the fields that differ are followed at once, and which need a restart."""
    followed = {"discovery"}
    if old.lists and old.lists.may_become(new.lists):
        followed.add("lists")
    changed = [field for field in REPORTED_NAMES if getattr(old, field) != getattr(new, field)]
    return ReloadReport(
        applied=[REPORTED_NAMES[field] for field in changed if field in followed],
        needs_restart=[REPORTED_NAMES[field] for field in changed if field not in followed | _STARTUP_FIELDS],
    )
