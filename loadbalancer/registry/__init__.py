"""A service registry: who serves, by leases, revisions and watches, in the form of the platform's list.

    catalog = Catalog(Rules(), start_revision=first_revision(0, now_ms))
    change = catalog.register("s-1", Registration(address="127.0.0.1:5001", zone="east"), now=now_ms)
    print(catalog.changes_since(tier="first", after=change.revision - 1, now=now_ms))

`catalog` is a sans-I/O core that is given the time; `store` keeps it in SQLite, durable before it is
answered; `service` hosts both on HTTP by aiohttp. docs/registry.md is for users.
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
