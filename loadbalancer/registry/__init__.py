"""A list service of one's own: who serves, by leases, versions and watches, in PROTOCOL's form.

    catalog = Catalog(Rules(), start_index=first_index(0, now_ms))
    change = catalog.register("s-1", Registration(address="127.0.0.1:5001", zone="east"), now=now_ms)
    print(catalog.changes(tier="first", after=change.index - 1, now=now_ms))

`catalog` is a sans-I/O core that is told the time; `store` keeps it in SQLite, durable before it is answered;
`service` hosts both on HTTP by aiohttp. docs/directory.md is for users.
"""

from loadbalancer.registry.catalog import Catalog, Change, WriteRejectedError, first_revision
from loadbalancer.registry.entries import Entry, Registration, Rules, Status

__all__ = [
    "Catalog",
    "Change",
    "Entry",
    "Registration",
    "Rules",
    "Status",
    "WriteRejectedError",
    "first_revision",
]
