"""What has changed for a watcher since the revision that it has seen."""

from __future__ import annotations

from collections.abc import Iterator

from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.entries import Entry
from loadbalancer.registry.entry_table import as_terminated
from loadbalancer.registry.interest import SubsetView


def changes_for(catalog: Catalog, previous: SubsetView, view: SubsetView, after: int) -> list[Entry]:
    """Return the delta for a watcher that held `previous` at a revision and holds `view` from now on.

    The history must be complete since that revision. A server that is no longer held is sent as terminated.
    """
    changes: dict[str, Entry] = {}
    for service in dict.fromkeys((*previous.levels, *view.levels)):
        is_same = previous.levels.get(service) == view.levels.get(service)
        for name, revision in catalog.change_index.latest_changes(service):
            if revision <= after and is_same:
                break
            if name in changes:
                continue
            entry = catalog.entries[name]
            was_included = any(
                previous.includes(former, zone, name) for former, zone in _zones_since(entry, after)
            )
            if view.includes_entry(entry):
                if entry.revision > after or not was_included:
                    changes[name] = entry
            elif was_included and (entry.revision > after or entry.is_listed):
                changes[name] = as_terminated(entry)
    return list(changes.values())


def _zones_since(entry: Entry, after: int) -> Iterator[tuple[str, str]]:
    """Yield the services and zones in which a server may have been at a revision or since."""
    yield entry.registration.tier, entry.registration.zone
    if entry.revision > after:
        yield from former_zones_since(entry, after)


def former_zones_since(entry: Entry, after: int) -> Iterator[tuple[str, str]]:
    """Yield the services and zones that a server has left since a revision."""
    for service, zones in entry.former_zones.items():
        for zone, revision in zones.items():
            if revision > after:
                yield service, zone
