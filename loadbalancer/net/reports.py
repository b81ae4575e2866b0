"""Reports on a balancer for operators; `console_codec` encodes them under the console's names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class BalancerStats:
    """Counts since the start of this process, and the current state of its upstreams."""

    succeeded: Mapping[str, int]
    """Requests answered with 200, by class, like the next two counts."""
    rejected: Mapping[str, int]
    """Requests answered with 429 or 503."""
    failed: Mapping[str, int]
    """Requests answered with any other status."""
    attempts: int
    """Attempts written in full to upstreams."""
    requests_in_flight: int
    listed_servers: int
    ejected_servers: int
    attempt_outcomes: Mapping[str, int] = field(default_factory=dict)
    """Attempts by how they ended."""
    close_reasons: Mapping[str, int] = field(default_factory=dict)
    """Requests that were closed by neither an attempt nor the decision module, by reason."""
    rejected_inputs: Mapping[str, int] = field(default_factory=dict)
    """What clients sent that was no acceptable request, by the status of the response."""


@dataclass(frozen=True, slots=True)
class ResourceStats:
    """What the process holds for its clients, and its bounds."""

    client_connections: int
    buffered_bytes: int
    buffer_limit_bytes: int
    resident_bytes: int
    """0 if the kernel does not tell."""
    shed_response_heads: int
    """Responses that were given up for the memory of their head or trailers."""


@dataclass(frozen=True, slots=True)
class EndpointListReport:
    """The endpoint list's source, age and contradictions; an age is None if the event never happened."""

    source: str
    """The address of the instance that was last polled, `snapshot` or `configuration`."""
    revision: int
    last_response_age_ms: float | None
    last_change_age_ms: float | None
    source_changes: int
    rewinds: int
    """How often the source returned to an older revision."""
    stalls: int
    """How often the source was changed because its list did not advance."""
    contradicted_servers: list[str]
    """Servers whose attempts contradict what the list says of them."""
    suspected_servers: list[str] = field(default_factory=list)
    """Servers kept in use although the list omits them, since it is suspected stale."""


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The state of one member of the tier as this balancer knows it."""

    index: int
    state: str
    state_age_s: float
    incarnation: int
    last_message_age_s: float | None
    """None if no message from the member was received."""


@dataclass(frozen=True, slots=True)
class GossipCounts:
    """Gossip messages since the start."""

    sent: int
    sent_bytes: int
    received: int
    dropped: Mapping[str, int]
    """Received messages that were dropped, by reason."""


@dataclass(frozen=True, slots=True)
class MembershipReport:
    """The balancers of the tier as this one knows them."""

    own_index: int
    active_members: int
    is_participating: bool
    awareness_score: int
    members: tuple[MemberReport, ...]
    messages: GossipCounts
