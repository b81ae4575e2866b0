"""Define the boundary of the decision module: settings, endpoints, events, actions and learned state.

A host turns I/O into events, passes them to `loadbalancer.policy.Balancer.handle` and carries out the actions
that it returns. All times and durations are milliseconds on one clock that never goes backwards; the proxy's
clock gives Unix time. Every type is an immutable value.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, fields


class Idempotency(enum.Enum):
    """Whether a request of a class may run more than once (RFC 9110, section 9.2.2)."""

    # The values are the `effect` of a class in scenarios; RFC 9110 calls only read-only methods "safe".
    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(enum.Enum):
    """Servers among which a repeated idempotency key is recognized and the duplicate dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Readiness(enum.Enum):
    """State of a server's process according to the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    DEAD = "gone"


class UpdateKind(enum.Enum):
    """Content of an endpoint list update; a failed one has none."""

    DELTA = "delta"
    FULL_SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(enum.Enum):
    """Result of an attempt or of a health check."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


OUTCOMES_WITHOUT_EFFECT = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
"""Outcomes that prove that the attempt never ran at the server."""


LIST_RETRY_MEAN_BACKOFF_MS = 25.0
"""Mean first backoff after a failed list request, multiplied by the number of balancers of the tier.

All of them retry after an outage.
"""
LIST_RETRY_JITTER = 0.5
"""Fraction by which a backoff is randomly shorter or longer, so that balancers do not retry in step."""
DEFAULT_LIST_RETRY_WITHIN_MS = 2_750.0
"""Time limit for retrying a failed list request, unless the host sets one (`endpoint_watch.time_budget`)."""


def _require(condition: bool, name: str, value: object, expected: str) -> None:
    if not condition:
        raise ValueError(f"{name} is {value!r}: it {expected}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: its latency objective, deadline, weight and idempotency.

    Raises ValueError if a value is out of range.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    priority_weight: float = 1.0
    late_value_fraction: float = 0.0
    """Fraction of its value that a response keeps after the latency objective; at 0 none is awaited."""
    is_streaming: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", self.name, "must not be empty")
        for field in ("latency_objective_ms", "deadline_ms"):
            value = getattr(self, field)
            _require(math.isfinite(value) and value > 0, field, value, "must be a finite number above 0")
        _require(
            self.deduplication_window_ms >= 0,
            "deduplication_window_ms",
            self.deduplication_window_ms,
            "must not be negative",
        )
        _require(self.priority_weight >= 0, "priority_weight", self.priority_weight, "must not be negative")
        _require(
            0 <= self.late_value_fraction <= 1,
            "late_value_fraction",
            self.late_value_fraction,
            "must be between 0 and 1",
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer and its quota in requests per second over all balancers.

    Raises ValueError if the name is empty or the quota negative.
    """

    name: str
    quota_per_s: float

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", self.name, "must not be empty")
        _require(self.quota_per_s >= 0, "quota_per_s", self.quota_per_s, "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of one balancer process; permissions are off unless the platform grants them.

    Raises ValueError if a value is out of range.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancer_count: int = 1
    balancer_index: int = 0
    """Index of this balancer, from 0 to `balancer_count` - 1."""
    tier: int = 0
    """0 at the edge; 1 or more for tiers that are called by another tier."""
    zone: str = ""
    polls_endpoint_list: bool = False
    """Whether `WatchEndpointList` starts the watch; otherwise the host starts it, and updates are pushed."""
    suspect_stale_fraction: float = 1.0
    """A full snapshot that omits more than this fraction of the ready servers is suspected stale."""
    poll_interval_ms: float = 10_000.0
    max_attempts: int = 3
    may_cancel: bool = False
    may_hedge: bool = False
    may_health_check: bool = False
    max_retry_after_ms: float = 0.0
    slow_start_ms: float = 0.0
    slow_start_initial_fraction: float = 1.0
    slow_start_overload_factor: float = 1.0
    """Limit on calls per window to a warming server, relative to its warm-up fraction of the peak rate."""
    slow_start_window_ms: float = 1_000.0
    over_quota_weight_factor: float = 1.0
    """Factor on the priority weight of a request that exceeds its tenant's quota."""
    tick_ms: float = 1.0
    load_report_fields: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", self.classes, "must name at least one class")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes", names, "must not name a class twice")
        for field in ("balancer_count", "max_attempts"):
            _require(getattr(self, field) >= 1, field, getattr(self, field), "must be 1 or more")
        for field in ("balancer_index", "tier", "max_retry_after_ms", "slow_start_ms"):
            _require(getattr(self, field) >= 0, field, getattr(self, field), "must not be negative")
        for field in ("poll_interval_ms", "slow_start_window_ms", "slow_start_overload_factor", "tick_ms"):
            _require(getattr(self, field) > 0, field, getattr(self, field), "must be above 0")
        for field in ("slow_start_initial_fraction", "suspect_stale_fraction"):
            _require(0 < getattr(self, field) <= 1, field, getattr(self, field), "must be above 0, at most 1")
        _require(
            0 <= self.over_quota_weight_factor <= 1,
            "over_quota_weight_factor",
            self.over_quota_weight_factor,
            "must be between 0 and 1",
        )
        for item in fields(self):
            value = getattr(self, item.name)
            _require(not isinstance(value, float) or math.isfinite(value), item.name, value, "must be finite")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server as the endpoint list describes it; `started_at_ms` is 0 if it started long ago."""

    server: str
    readiness: Readiness = Readiness.READY
    zone: str = ""
    cell: int = 0
    registered_capacity: float = 1.0
    started_at_ms: float = 0.0
    """On the clock of all times: the proxy passes on the `since_ms` of the list, which is Unix time."""


# ---- events -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A change of the endpoint list; a failed update carries no endpoints and keeps the previous list."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()
    is_rolled_back: bool = False
    """Whether the service has gone back to an older revision."""
    suspected_stale: frozenset[str] = frozenset()
    """Ready servers that a full snapshot omits, kept until proven dead: see `policy.list_validation`."""
    retry_within_ms: float = DEFAULT_LIST_RETRY_WITHIN_MS
    """For a failed update: time limit for the next list request, so that changes arrive in time."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; exactly one final response is due within `remaining_ms`."""

    request_id: int
    class_name: str
    remaining_ms: float
    tenant: str | None = None
    is_retry: bool = False
    expected_work_ms: float = 0.0
    """Expected work in milliseconds of a standard core; 0 if unknown."""
    is_complete: bool = True
    """Whether the body is complete; if not, `RequestCompleted` follows, and the deadline counts from then."""


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """The last byte of the body of a request that arrived incomplete has been received."""

    request_id: int
    elapsed_ms: float = 0.0
    """The part of its time that may have passed: the byte may have been written before it was received."""


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response is being forwarded: its deadline no longer applies, and it is not retried."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; `is_final` means that its response was the request's final one."""

    request_id: int
    attempt_index: int
    server: str
    outcome: Outcome
    is_final: bool = False
    load_report: tuple[float, ...] = ()
    is_body_discarded: bool = False
    """Whether the request cannot be sent again: forwarded parts of its body were not kept."""
    connect_duration_ms: float | None = None
    """Time to establish its connection; None if a pooled one was used, or none was established."""


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected; no response is due any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check has ended."""

    server: str
    outcome: Outcome
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set by `SetTimer` has expired."""

    token: str


@dataclass(frozen=True, slots=True)
class CordonChanged:
    """Operators have cordoned or uncordoned a server; list updates do not lift a cordon."""

    server: str
    is_cordoned: bool
    returned_at_ms: float = 0.0
    """When it was uncordoned, on the clock of all times (Unix time in the proxy).

    A server is restarted while cordoned, so it counts as started then, unless the list names a later start.
    """


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """Operators evacuate a zone or restore it, gradually from `started_at_ms` on over `duration_ms`."""

    zone: str
    is_evacuating: bool
    started_at_ms: float
    duration_ms: float = 0.0
    initial_fraction: float = 1.0
    """Fraction of its capacity that was in use at `started_at_ms`."""


@dataclass(frozen=True, slots=True)
class TakeoverChanged:
    """Another process of this balancer has taken over, or has died after it took over.

    From a take-over on this process only drains; after the other one has died, it serves again.
    """

    is_taken_over: bool


Event = (
    EndpointListUpdate
    | RequestArrived
    | RequestCompleted
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | HealthCheckEnded
    | TimerExpired
    | CordonChanged
    | ZoneEvacuation
    | TakeoverChanged
)


# ---- actions ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the next attempt of a request; attempts are numbered from 0."""

    request_id: int
    server: str
    timeout_ms: float
    write_within_ms: float = math.inf
    """Time limit for writing its last byte: written later, the request might run twice."""
    connect_within_ms: float = math.inf
    """Limit on establishing a new connection; past it the attempt ends as `CONNECT_FAILED`."""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final response: the request was not executed, and a retry is safe."""

    request_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final response: the request failed, and it is unknown whether it was executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerExpired` event at `at_ms`; the token contains no spaces."""

    at_ms: float
    token: str


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Send one health check to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle pooled connections to a server, so that the next attempt opens a new one."""

    server: str


@dataclass(frozen=True, slots=True)
class WatchEndpointList:
    """Open the watch of the endpoint list."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | CancelAttempt
    | Reject
    | Fail
    | SetTimer
    | SendHealthCheck
    | CloseIdleConnections
    | WatchEndpointList
    | LogMessage
)


# ---- hot restart --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ServerEvidence:
    """What one process has learned about one server."""

    started_at_ms: float
    """`Endpoint.started_at_ms` of the server: evidence about an earlier incarnation is invalid."""
    served_calls: float
    """Calls served, decayed over time."""
    in_flight_ms: float
    """Time that its calls spent in flight there, decayed over time."""
    slow_start_sends: tuple[float, ...] = ()
    """Times at which attempts were sent to it while it was warming up."""


@dataclass(frozen=True, slots=True)
class OverloadEvidence:
    """How late recently ended attempts were, as weighted sums; both are decayed to `updated_at_ms`."""

    lateness: float
    """Sum of weight x lateness, 0 to 1; rejections and failures count as 1."""
    responses: float
    """Sum of the weights."""
    updated_at_ms: float


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What one process has learned, for the process that takes over from it."""

    servers: Mapping[str, ServerEvidence]
    """By server ID."""
    latencies: Mapping[str, float]
    """By class: smoothed latency in milliseconds."""
    uncongested_latencies: Mapping[str, float]
    """By class: latency in milliseconds when no server is congested."""
    peak_rates: Mapping[str, float]
    """By zone: highest rate served to this balancer per unit of registered capacity, in calls per ms."""
    overload: OverloadEvidence
    median_capacity: float
    recent_requests: float
    """Requests received, decayed over the slow-start window."""
    recent_requests_at_peak: Mapping[str, float]
    """By zone: `recent_requests` at that peak; empty where an older version did not send it."""
