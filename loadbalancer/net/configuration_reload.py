"""Configuration reload: which changed settings a running process applies, and which need a restart."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.net.config import Config, changed_settings

_STARTUP_SETTINGS = frozenset({"known", "seed"})  # used only at the start: a change needs no action


@dataclass(frozen=True, slots=True)
class ReloadReport:
    """The changed settings, by the operators' names."""

    applied: list[str]
    needs_restart: list[str]


def compare_configurations(old: Config, new: Config) -> ReloadReport:
    """Return which of the changed settings apply at once, and which need a restart."""
    applicable = {"discovery"}
    if old.registry and old.registry.can_change_to(new.registry):
        applicable.add("lists")
    changed = changed_settings(old, new)
    return ReloadReport(
        applied=[name for name in changed if name in applicable],
        needs_restart=[name for name in changed if name not in applicable | _STARTUP_SETTINGS],
    )
