"""What the service holds of a server, what it may be told, and the rules by which it doubts."""

from __future__ import annotations

import enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

SERVER_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$"
Name = Annotated[str, Meta(pattern=SERVER_NAME_PATTERN)]
Text = Annotated[str, Meta(max_length=200)]
Address = Annotated[str, Meta(pattern=r"^(\[[0-9a-fA-F:.]+\]|[0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}$")]

# The keys of the registry's file (`[rules]`) and of stored entries, by the fields' names.
RULES_KEYS = {
    "mass_expiry_ratio": "doubt_part",
    "mass_expiry_window_ms": "doubt_ms",
    "learning_ms": "learn_ms",
    "self_preservation_threshold": "floor_part",
    "self_preservation_window_ms": "floor_ms",
    "max_expirations": "flaps",
    "flapping_window_ms": "flap_ms",
    "damping_ms": "damp_ms",
    "max_tombstones": "tombstones",
}
ENTRY_KEYS = {
    "registration": "told",
    "reported_status": "said",
    "incarnation": "life",
    "change_count": "rev",
    "renewal_count": "beats",
    "expired_at_renewal": "lapsed_at",
    "revision": "index",
    "last_renewal_ms": "renewed_ms",
    "is_preserved": "lapsed",
    "is_pinned": "pinned",
    "expirations_ms": "lapses_ms",
    "former_zones": "left",
}


class Status(enum.Enum):
    """A server as PROTOCOL's list has it."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


class Registration(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a server tells of itself; times in ms."""

    address: Address
    zone: Text = ""
    type: Text = ""
    group: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    weight: Annotated[float, Meta(gt=0, le=1_000_000)] = 1.0
    tier: Name = "first"
    since_ms: Annotated[float, Meta(ge=0, le=1e15)] = 0.0
    """When it started, Unix ms; 0 for long ago. A later one is a new start, an earlier one is refused."""
    version: Text = ""
    lease_ms: Annotated[float, Meta(ge=100, le=86_400_000)] = 10_000.0
    owner: Text = ""
    """Who speaks for it; another owner is refused until the lease is over."""


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename=RULES_KEYS):
    """When the service doubts what it sees."""

    mass_expiry_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.3
    """More than this part of a tier's servers lapsing within `doubt_ms` is our own fault until shown."""
    mass_expiry_window_ms: Annotated[float, Meta(gt=0)] = 15_000.0
    settle_ms: Annotated[float, Meta(ge=0)] = 1_000.0
    """A lapse stands only so long after the lease's end: whether others lapse, too, must be seen first."""
    learning_ms: Annotated[float, Meta(ge=0)] = 5_000.0
    """So long after a start without any memory, who has seen a list before is told to keep it."""
    self_preservation_threshold: Annotated[float, Meta(ge=0, le=1)] = 0.5
    """Lapses take at most the rest of any zone's, or group's, servers, as they were `floor_ms` ago."""
    self_preservation_window_ms: Annotated[float, Meta(gt=0)] = 600_000.0
    max_expirations: Annotated[int, Meta(ge=1)] = 3
    """So many lapses within `flap_ms` and a server is kept out for `damp_ms`."""
    flapping_window_ms: Annotated[float, Meta(gt=0)] = 60_000.0
    damping_ms: Annotated[float, Meta(gt=0)] = 30_000.0
    max_tombstones: Annotated[int, Meta(ge=1)] = 10_000
    """Removed servers that are remembered for watches; past it, a watch gets the whole list."""


class Entry(msgspec.Struct, kw_only=True, rename=ENTRY_KEYS):
    """One server; `index` is the list's version at its last change."""

    name: str
    registration: Registration
    reported_status: Status = Status.IN_SERVICE
    """What servers or operators said of it; a lapse is nobody's word."""
    incarnation: int = 0
    """How often it was registered again after a removal, at one start of it."""
    change_count: int = 0
    """How often the entry was changed."""
    renewal_count: int = 0
    """How often its lease was renewed, at any instance."""
    expired_at_renewal: int = -1
    """The beats at which its lease was held for over: it is off the list until the next one."""
    revision: int = 0
    last_renewal_ms: float = 0.0
    is_preserved: bool = False
    """Its lease has run out, and it is listed all the same: we doubt ourselves, or are at a floor."""
    is_pinned: bool = False
    """Operators hold it: no lapse touches it."""
    damped_until_ms: float = 0.0
    expirations_ms: list[float] = []
    former_zones: dict[str, dict[str, int]] = {}
    """Services that it was in, and their zones: the version at which it was there last."""

    @property
    def is_expired(self) -> bool:
        """Whether it is off the list since its lease ran out, and not because anybody said so."""
        return self.reported_status is not Status.TERMINATED and self.renewal_count <= self.expired_at_renewal

    @property
    def status(self) -> Status:
        """As balancers see it."""
        return Status.TERMINATED if self.is_expired else self.reported_status

    @property
    def lease_expiry_ms(self) -> float:
        """When its lease runs out if nobody renews it, by this instance's clock."""
        return self.last_renewal_ms + self.registration.lease_ms

    @property
    def is_listed(self) -> bool:
        """Whether balancers see it."""
        return self.status is not Status.TERMINATED

    def to_endpoint(self) -> dict[str, Any]:
        """As balancers get it."""
        told = self.registration
        return {
            "name": self.name,
            "address": told.address,
            "zone": told.zone,
            "type": told.type,
            "group": told.group,
            "status": self.status.value,
            "weight": told.weight,
            "since_ms": told.since_ms,
        }
