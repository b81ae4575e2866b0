"""A change of the registry as its history has it, and the errors of writes that change nothing."""

from __future__ import annotations

import enum

import msgspec

from loadbalancer.registry.entries import Entry


class ChangeKind(enum.StrEnum):
    """What a change did; the values stand in the stored history."""

    REGISTERED = "registered"
    RESTARTED = "started anew"
    UPDATED = "changed"
    DRAINED = "drained"
    REMOVED = "removed"
    PINNED = "pinned"
    UNPINNED = "unpinned"
    EXPIRED = "lapsed"
    RENEWED_AT_PEER = "renewed elsewhere"
    MERGED_FROM_PEER = "told by another instance"


class RejectionCause(enum.StrEnum):
    """Why a write was rejected; `GET /v1/state` counts by these values."""

    FLAPPING = "damped"
    OTHER_OWNER = "foreign"
    OTHER_TIER = "moved"
    DRAINING = "draining"
    OLDER_START = "older"
    STALE_LEASE = "stale"
    NOT_LISTED = "unknown"
    REVISION_MISMATCH = "overrun"


class RegistryError(Exception):
    """Base of the registry's errors; each is one line for people."""


class WriteRejectedError(RegistryError, ValueError):
    """A call that changes nothing: an HTTP status, and one line that says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


# The keys of changes in the answers of `GET /v1/history`, where they differ from the fields' names.
CHANGE_KEYS = {"revision": "index"}


class Change(msgspec.Struct, frozen=True, rename=CHANGE_KEYS):
    """One change, as the history has it; `what` is the value of a `ChangeKind`."""

    revision: int
    at_ms: float
    name: str
    what: str
    who: str
    why: str
    entry: Entry
    before: Entry | None = None
