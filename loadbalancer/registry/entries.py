"""Registry entries, the registrations that servers send, and the rules of lease expiry."""

from __future__ import annotations

import enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

SERVER_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$"
Name = Annotated[str, Meta(pattern=SERVER_NAME_PATTERN)]
Text = Annotated[str, Meta(max_length=200)]
Address = Annotated[str, Meta(pattern=r"^(\[[0-9a-fA-F:.]+\]|[0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}$")]

# The keys in the registry's configuration file (`[rules]`) and in stored entries, by field name.
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
    """A server's state, with the values of the platform's list (PROTOCOL)."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


class Registration(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A server's registration; the field names are the JSON keys. Times are in ms."""

    address: Address
    zone: Text = ""
    type: Text = ""
    group: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    weight: Annotated[float, Meta(gt=0, le=1_000_000)] = 1.0
    tier: Name = "first"
    since_ms: Annotated[float, Meta(ge=0, le=1e15)] = 0.0
    """The server's start, Unix ms; 0 for long ago. A later one is a new start, an earlier one is rejected."""
    version: Text = ""
    lease_ms: Annotated[float, Meta(ge=100, le=86_400_000)] = 10_000.0
    owner: Text = ""
    """Who registers the server; another owner is rejected until the lease has run out."""


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename=RULES_KEYS):
    """When a lease that has run out does not remove its server from the list."""

    mass_expiry_ratio: Annotated[float, Meta(gt=0, le=1)] = 0.3
    """If more than this share of a tier's leases run out within `mass_expiry_window_ms`, the registry assumes
    that the fault is its own: no lease expires until one window after the last of them."""
    mass_expiry_window_ms: Annotated[float, Meta(gt=0)] = 15_000.0
    settle_ms: Annotated[float, Meta(ge=0)] = 1_000.0
    """How long after its end a lease expires: a mass expiry must be detected before that."""
    learning_ms: Annotated[float, Meta(ge=0)] = 5_000.0
    """How long after a start with an empty database watchers are told to keep the list they have."""
    self_preservation_threshold: Annotated[float, Meta(ge=0, le=1)] = 0.5
    """Expiry leaves this share of the servers of each zone and each group healthy; servers that expired
    within `self_preservation_window_ms` are counted, too."""
    self_preservation_window_ms: Annotated[float, Meta(gt=0)] = 600_000.0
    max_expirations: Annotated[int, Meta(ge=1)] = 3
    """A server that expired this often within `flapping_window_ms` can't register for `damping_ms`."""
    flapping_window_ms: Annotated[float, Meta(gt=0)] = 60_000.0
    damping_ms: Annotated[float, Meta(gt=0)] = 30_000.0
    max_tombstones: Annotated[int, Meta(ge=1)] = 10_000
    """Removed servers remembered for watchers; a watcher that is further behind gets a full snapshot."""


class Entry(msgspec.Struct, kw_only=True, rename=ENTRY_KEYS):
    """The entry of one server; times are Unix ms by this instance's clock."""

    name: str
    registration: Registration
    reported_status: Status = Status.IN_SERVICE
    """As reported by servers or operators; expiry does not change it."""
    incarnation: int = 0
    """How often this start of the server was registered again after a removal."""
    change_count: int = 0
    renewal_count: int = 0
    """How often its lease was renewed, at any instance."""
    expired_at_renewal: int = -1
    """The renewal count at which its lease expired; it is not listed until the next renewal."""
    revision: int = 0
    """The registry's revision at its last change."""
    last_renewal_ms: float = 0.0
    is_preserved: bool = False
    """Listed although its lease has run out: expiry is suspended, or would remove too many servers."""
    is_pinned: bool = False
    """Kept on the list by operators: its lease never expires."""
    damped_until_ms: float = 0.0
    expirations_ms: list[float] = []
    former_zones: dict[str, dict[str, int]] = {}
    """By service and zone that it has left: the revision at which it was last there."""

    @property
    def is_expired(self) -> bool:
        """Whether it is not listed because its lease expired, and not because it was removed."""
        return self.reported_status is not Status.TERMINATED and self.renewal_count <= self.expired_at_renewal

    @property
    def status(self) -> Status:
        """The state that balancers see."""
        return Status.TERMINATED if self.is_expired else self.reported_status

    @property
    def lease_expiry_ms(self) -> float:
        """When its lease runs out unless it is renewed."""
        return self.last_renewal_ms + self.registration.lease_ms

    @property
    def is_listed(self) -> bool:
        """Whether balancers see it as serving or draining."""
        return self.status is not Status.TERMINATED

    def to_endpoint(self) -> dict[str, Any]:
        """Return the entry as it is sent to balancers."""
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
