"""What instances tell one another of a server, and how two accounts of it become one.

    ours, theirs = share(entry), Shared(...)
    joined = join(ours, theirs)          # the same whatever the order, and however often

Neither clock decides. A later start of the server goes before an earlier one, and a registration after a
removal (`life`) before that removal. Within one life each field joins by itself: what was said only goes on
from serving to draining to removed; of two entries the one that was changed more often stands; renewals are
counted (`beats`), and a lapse takes off the list only a server whose lease nobody has renewed since.
"""

from __future__ import annotations

import msgspec

from loadbalancer.registry.entries import Entry, Registration, Status

SAID = (Status.IN_SERVICE, Status.TERMINATING, Status.TERMINATED)  # in the order in which they replace


class SharedEntry(msgspec.Struct, frozen=True, array_like=True):
    """One server as instances tell it; leases, marks and versions are each instance's own."""

    name: str
    told: Registration
    said: Status
    life: int
    rev: int
    beats: int
    lapsed_at: int
    pinned: bool

    @property
    def start(self) -> tuple[float, int]:
        """Which of two accounts is of a later server."""
        return self.told.since_ms, self.life


def share(entry: Entry) -> SharedEntry:
    """What others are told of an entry."""
    return SharedEntry(
        entry.name, entry.told, entry.said, entry.life, entry.rev, entry.beats, entry.lapsed_at, entry.pinned
    )


def _order(one: SharedEntry) -> tuple[int, bytes]:
    return one.rev, msgspec.json.encode((one.told, one.pinned))


def join(one: SharedEntry, other: SharedEntry) -> SharedEntry:
    """Both accounts of a server as one."""
    if one.start != other.start:
        return max(one, other, key=lambda account: account.start)
    later = max(one, other, key=_order)
    return SharedEntry(
        one.name,
        later.told,
        max(one.said, other.said, key=SAID.index),
        one.life,
        later.rev,
        max(one.beats, other.beats),
        max(one.lapsed_at, other.lapsed_at),
        later.pinned,
    )


def disagree(one: SharedEntry, other: SharedEntry) -> bool:
    """Whether two accounts were made without knowing of one another: one of them is lost in the join."""
    return one.start == other.start and one.rev == other.rev and _order(one) != _order(other)
