"""What operators read of a balancer, as records; `console_codec` gives them the names of the console."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class BalancerStats:
    """Counts since the start of this process, and what it knows of its upstreams now."""

    succeeded: Mapping[str, int]
    """Requests that were answered with 200, by class; so are the next two."""
    rejected: Mapping[str, int]
    """Requests that were answered with 429 or 503."""
    failed: Mapping[str, int]
    """Requests that were answered with anything else."""
    attempts: int
    """Attempts written in full to upstreams."""
    requests_in_flight: int
    listed_servers: int
    ejected_servers: int


@dataclass(frozen=True, slots=True)
class EndpointListReport:
    """Where the endpoint list is from, how old it is, and what speaks against it; ages are None for never."""

    source: str
    """The address of the instance that was asked last, `snapshot` or `configuration`."""
    revision: int
    last_response_age_ms: float | None
    last_change_age_ms: float | None
    source_changes: int
    rewinds: int
    """How often the source has gone back to an older revision."""
    stalls: int
    """How often the source was left because its list stood still."""
    contradicted_servers: list[str]
    """Servers whose attempts contradict what the list says of them."""
    suspected_servers: list[str] = field(default_factory=list)
    """Servers in use though the list omits them: it is suspected to be stale."""


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What this balancer believes of one member of its tier."""

    index: int
    state: str
    state_age_s: float
    incarnation: int
    last_message_age_s: float | None
    """None where no message of the member has come."""


@dataclass(frozen=True, slots=True)
class GossipCounts:
    """Gossip messages since the start."""

    sent: int
    sent_bytes: int
    received: int
    dropped: Mapping[str, int]
    """Received messages that were not taken, by the reason."""


@dataclass(frozen=True, slots=True)
class MembershipReport:
    """The balancers of the tier as this one sees them."""

    own_index: int
    active_members: int
    is_participating: bool
    awareness_score: int
    members: tuple[MemberReport, ...]
    messages: GossipCounts
