"""A service registry: lists servers by lease, with revisions and watches, in the platform's list format.

    catalog = Catalog(Rules(), start_revision=first_revision(0, now_ms))
    change = catalog.register("s-1", Registration(address="127.0.0.1:5001", zone="east"), now=now_ms)
    print(catalog.changes_since(tier="first", after=change.revision - 1, now=now_ms))

`catalog` is a sans-I/O core to which callers pass the time; `store` persists it in SQLite before a write is
answered; `service` serves both over HTTP with aiohttp. The user documentation is docs/registry.md.
"""

from loadbalancer.registry.catalog import Catalog
from loadbalancer.registry.changes import Change, ChangeKind, RegistryError, WriteRejectedError
from loadbalancer.registry.entries import Entry, Registration, Rules, Status
from loadbalancer.registry.revisions import RevisionRange, first_revision

__all__ = [
    "Catalog",
    "Change",
    "ChangeKind",
    "Entry",
    "Registration",
    "RegistryError",
    "RevisionRange",
    "Rules",
    "Status",
    "WriteRejectedError",
    "first_revision",
]
