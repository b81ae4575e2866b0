"""What a replaced configuration changes: what a running process follows, and what needs a restart."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.net.config import Config, changed_settings

_STARTUP_SETTINGS = frozenset({"known", "seed"})  # of use at the start alone: a change needs nothing


@dataclass(frozen=True, slots=True)
class ReloadReport:
    """The settings that have changed, by the names that operators read."""

    applied: list[str]
    needs_restart: list[str]


def compare_configurations(old: Config, new: Config) -> ReloadReport:
    """Return which of the settings that differ are followed at once, and which need a restart."""
    followed = {"discovery"}
    if old.registry and old.registry.can_change_to(new.registry):
        followed.add("lists")
    changed = changed_settings(old, new)
    return ReloadReport(
        applied=[name for name in changed if name in followed],
        needs_restart=[name for name in changed if name not in followed | _STARTUP_SETTINGS],
    )
