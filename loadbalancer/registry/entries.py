"""What the registry holds of a server, what servers register, and the rules of lease expiry."""

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
    """A server's state, as the platform's list has it (PROTOCOL)."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


class Registration(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a server registers of itself; the fields' names are the keys in JSON. Times in ms."""

    address: Address
    zone: Text = ""
    type: Text = ""
    group: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    weight: Annotated[float, Meta(gt=0, le=1_000_000)] = 1.0
    tier: Name = "first"
    since_ms: Annotated[float, Meta(ge=0, le=1e15)] = 0.0
    """When it started, Unix ms; 0 for long ago. A later one is a new start, an earlier one is rejected."""
    version: Text = ""
    lease_ms: Annotated[float, Meta(ge=100, le=86_400_000)] = 10_000.0
    owner: Text = ""
    """Who registers it; another owner is rejected until the lease is over."""


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename=RULES_KEYS):
    """When a lease that ran out does not take its server off the list."""

    mass_expiry_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.3
    """If more than this share of a tier's leases run out within `mass_expiry_window_ms`, the registry takes
    the fault for its own: none expires until the window after the last of them is over."""
    mass_expiry_window_ms: Annotated[float, Meta(gt=0)] = 15_000.0
    settle_ms: Annotated[float, Meta(ge=0)] = 1_000.0
    """A lease expires only so long after its end: whether others run out, too, must be seen first."""
    learning_ms: Annotated[float, Meta(ge=0)] = 5_000.0
    """So long after a start with an empty database, watchers that have seen a list are told to keep it."""
    self_preservation_threshold: Annotated[float, Meta(ge=0, le=1)] = 0.5
    """Expiry leaves this share of any zone's, or group's, servers healthy; they are counted as they were
    `self_preservation_window_ms` ago."""
    self_preservation_window_ms: Annotated[float, Meta(gt=0)] = 600_000.0
    max_expirations: Annotated[int, Meta(ge=1)] = 3
    """A server that has expired so often within `flapping_window_ms` is kept out for `damping_ms`."""
    flapping_window_ms: Annotated[float, Meta(gt=0)] = 60_000.0
    damping_ms: Annotated[float, Meta(gt=0)] = 30_000.0
    max_tombstones: Annotated[int, Meta(ge=1)] = 10_000
    """Removed servers that are remembered for watchers; one that is further behind gets a full snapshot."""


class Entry(msgspec.Struct, kw_only=True, rename=ENTRY_KEYS):
    """One server; times are Unix ms by this instance's clock."""

    name: str
    registration: Registration
    reported_status: Status = Status.IN_SERVICE
    """As servers or operators reported it; expiry is nobody's report."""
    incarnation: int = 0
    """How often it was registered again after a removal, at one start of it."""
    change_count: int = 0
    renewal_count: int = 0
    """How often its lease was renewed, at any instance."""
    expired_at_renewal: int = -1
    """The count of renewals at which its lease expired: it is off the list until the next one."""
    revision: int = 0
    """The registry's revision at its last change."""
    last_renewal_ms: float = 0.0
    is_preserved: bool = False
    """Its lease has run out, and it is listed all the same: expiry is suspended, or would take too many."""
    is_pinned: bool = False
    """Operators keep it on the list: its lease never expires."""
    damped_until_ms: float = 0.0
    expirations_ms: list[float] = []
    former_zones: dict[str, dict[str, int]] = {}
    """Services that it was in, and their zones: the revision at which it was there last."""

    @property
    def is_expired(self) -> bool:
        """Whether it is off the list since its lease ran out, and not because anybody reported so."""
        return self.reported_status is not Status.TERMINATED and self.renewal_count <= self.expired_at_renewal

    @property
    def status(self) -> Status:
        """The state that balancers see."""
        return Status.TERMINATED if self.is_expired else self.reported_status

    @property
    def lease_expiry_ms(self) -> float:
        """When its lease runs out if nobody renews it."""
        return self.last_renewal_ms + self.registration.lease_ms

    @property
    def is_listed(self) -> bool:
        """Whether balancers see it as serving or draining."""
        return self.status is not Status.TERMINATED

    def to_endpoint(self) -> dict[str, Any]:
        """Return the entry as balancers get it."""
        registration = self.registration
        return {
            "name": self.name,
            "address": registration.address,
            "zone": registration.zone,
            "type": registration.type,
            "group": registration.group,
            "status": self.status.value,
            "weight": registration.weight,
            "since_ms": registration.since_ms,
        }
