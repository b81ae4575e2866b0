"""Registry changes as recorded in the history, and the errors of rejected writes."""

from __future__ import annotations

import enum

import msgspec

from loadbalancer.registry.entries import Entry


class ChangeKind(enum.StrEnum):
    """What a change did; the values are stored in the history."""

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
    """Base of the registry's errors; each message is one line."""


class WriteRejectedError(RegistryError, ValueError):
    """A rejected call, which changes nothing: an HTTP status and a one-line reason."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


# The keys in the answers of `GET /v1/history` that differ from the field names.
CHANGE_KEYS = {"revision": "index"}


class Change(msgspec.Struct, frozen=True, rename=CHANGE_KEYS):
    """A change as recorded in the history; `what` is the value of a `ChangeKind`."""

    revision: int
    at_ms: float
    name: str
    what: str
    who: str
    why: str
    entry: Entry
    before: Entry | None = None
