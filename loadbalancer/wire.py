"""Convert between the lines of the simulator's protocol and the types of `loadbalancer.interface`."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from loadbalancer.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    DeduplicationScope,
    Endpoint,
    EndpointListUpdate,
    Event,
    Fail,
    HealthCheckEnded,
    Idempotency,
    LogMessage,
    Outcome,
    Readiness,
    Reject,
    RequestArrived,
    RequestClass,
    ResponseStarted,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    Settings,
    Tenant,
    TimerExpired,
    UpdateKind,
    WatchEndpointList,
)

Fields = dict[str, str]
Note = Callable[[str], None]
"""Takes a message about unknown input that is ignored."""
Value = TypeVar("Value")

_OUTCOMES = {
    "0": Outcome.ERROR,
    "1": Outcome.SERVED,
    "2": Outcome.REJECTED,
    "3": Outcome.TIMED_OUT,
    "4": Outcome.CONNECT_FAILED,
    "5": Outcome.RESET,
    "6": Outcome.CANCELLED,
    "7": Outcome.NOT_SENT,
}
_READINESS = {"0": Readiness.DEAD, "1": Readiness.READY, "2": Readiness.DRAINING}
_UPDATE_KINDS = {
    "0": UpdateKind.CACHED,
    "2": UpdateKind.FULL_SNAPSHOT,
    "3": UpdateKind.DELTA,
    "4": UpdateKind.FAILED,
}
_IDEMPOTENCIES = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
_DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}

_KNOWN_SETTINGS = frozenset(
    """
    azs balancers classes.count classes.aimStretch classes.target classes.deadline classes.effect
    classes.keyScope classes.lateShare classes.name classes.stream classes.repeatWindow
    classes.worth clients.marksRetry discovery family familyInfo.passesDeadline familyInfo.warmKeys
    goal.logLossPart goal.fullAtNines goal.punctual goal.tailMiss
    goal.whole goal.worstClass goal.worstTenant goal.worstWindow kinds limits.mayCancel
    limits.connIdle limits.connectTimeout limits.cpuUsPerRequest limits.cpuUsPerS limits.attemptsCap
    limits.openCap limits.maxRetryAfter limits.peers limits.probes limits.retryAfter
    limits.mayDuplicate limits.streamsPerConn myNumber overShareWorth prices.connection
    prices.crossZone prices.discovery prices.fleet prices.handshake prices.lateFail prices.moves
    prices.origin prices.peer prices.probe prices.waste telemetry.fields telemetry.how
    contract.graceToAnswer contract.askWithin contract.coldFrom contract.cold contract.drainGrace
    contract.overloadFactor contract.tipAfter orgs orgs.count orgs.name orgs.quotaPerS orgs.portion
    tick tier stages weights worthBy zone
    """.split()
)
_ARRAY_INDEX = re.compile(r"\.\d+\.")


class WireError(ValueError):
    """A line violates the simulator's protocol; the text says how."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance has started."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """An instance has been killed."""


@dataclass(frozen=True, slots=True)
class EndpointListNotice:
    """An update of the endpoint list that names its entries by the ID of a ledger."""

    kind: UpdateKind
    ledger_id: int | None
    """None where the update has failed."""


HostEvent = Event | InstanceStarted | InstanceKilled | EndpointListNotice


def read_fields(parts: list[str]) -> Fields:
    """Return the name=value parts of a line by name."""
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError as error:
        malformed = next(part for part in parts if "=" not in part)
        raise WireError(f"{malformed!r} is not name=value") from error


def read_text(fields: Fields, name: str) -> str:
    """Return a required field."""
    try:
        return fields[name]
    except KeyError as error:
        raise WireError(f"field {name!r} is missing") from error


def read_number(fields: Fields, name: str, default: float | None = None) -> float:
    """Return a field that holds a finite number; it is required if there is no default."""
    text = fields.get(name)
    if text is None:
        if default is not None:
            return default
        text = read_text(fields, name)
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise WireError(f"field {name!r} holds {text!r}, which is not a finite number")
    return value


def read_integer(fields: Fields, name: str) -> int:
    """Return a required field that holds an integer."""
    text = read_text(fields, name)
    try:
        return int(text)
    except ValueError as error:
        raise WireError(f"field {name!r} holds {text!r}, which is not an integer") from error


def _read_flag(fields: Fields, name: str) -> bool:
    return fields.get(name) in ("1", "true")


def _read_load_report(fields: Fields) -> tuple[float, ...]:
    text = fields.get("gauge")
    if not text:
        return ()
    try:
        report = tuple([float(value) for value in text.split(",")])
    except ValueError:
        report = (math.nan,)
    if not all(map(math.isfinite, report)):
        raise WireError(f"field 'gauge' holds {text!r}, which is not a list of finite numbers")
    return report


def _read_enum(values: dict[str, Value], fields: Fields, name: str) -> Value:
    text = read_text(fields, name)
    try:
        return values[text]
    except KeyError as error:
        raise WireError(f"field {name!r} holds {text!r}, which is not a known value") from error


def _read_outcome(fields: Fields, note: Note) -> Outcome:
    code = read_text(fields, "verdict")
    outcome = _OUTCOMES.get(code)
    if outcome is None:
        note(f"outcome code {code!r} is unknown; assuming that the attempt may have run")
        return Outcome.UNKNOWN
    return outcome


def read_endpoint(fields: Fields) -> Endpoint:
    """Return the endpoint of one entry of a ledger."""
    return Endpoint(
        server=read_text(fields, "upstream"),
        readiness=_read_enum(_READINESS, fields, "readiness"),
        zone=fields.get("rackZone", ""),
        cell=int(read_number(fields, "cell", 0.0)),
        registered_capacity=read_number(fields, "nominal", 1.0),
        started_at_ms=read_number(fields, "upSince", 0.0),
    )


def _read_class(raw: Fields, prefix: str) -> RequestClass:
    return RequestClass(
        name=read_text(raw, prefix + "name"),
        latency_objective_ms=read_number(raw, prefix + "target"),
        deadline_ms=read_number(raw, prefix + "deadline"),
        idempotency=_read_enum(_IDEMPOTENCIES, raw, prefix + "effect"),
        deduplication_scope=_DEDUPLICATION_SCOPES.get(
            raw.get(prefix + "keyScope", "all"), DeduplicationScope.CELL
        ),
        deduplication_window_ms=read_number(raw, prefix + "repeatWindow", 0.0),
        priority_weight=read_number(raw, prefix + "worth", 1.0),
        late_value_fraction=read_number(raw, prefix + "lateShare", 0.0),
        is_streaming=_read_flag(raw, prefix + "stream"),
    )


def read_settings(raw: Fields, note: Note) -> Settings:
    """Return the settings from the start event of an instance; unknown ones are noted and ignored."""
    for name in raw:
        if _ARRAY_INDEX.sub(".", name) not in _KNOWN_SETTINGS:
            note(f"setting {name!r} is unknown and ignored")
    classes = [_read_class(raw, f"classes.{i}.") for i in range(read_integer(raw, "classes.count"))]
    tenants = [
        Tenant(read_text(raw, f"orgs.{i}.name"), read_number(raw, f"orgs.{i}.quotaPerS"))
        for i in range(int(read_number(raw, "orgs.count", 0.0)))
    ]
    retry_after = (
        read_number(raw, "limits.maxRetryAfter", 0.0) if _read_flag(raw, "limits.retryAfter") else 0.0
    )
    return Settings(
        classes=tuple(classes),
        tenants=tuple(tenants),
        balancer_count=int(read_number(raw, "balancers", 1.0)),
        balancer_index=int(read_number(raw, "myNumber", 0.0)),
        tier=int(read_number(raw, "tier", 0.0)),
        zone=raw.get("zone", ""),
        polls_endpoint_list=raw.get("discovery") == "ask",
        poll_interval_ms=read_number(raw, "contract.askWithin", 10_000.0),
        max_attempts=int(read_number(raw, "limits.attemptsCap", 1.0)),
        may_cancel=_read_flag(raw, "limits.mayCancel"),
        may_hedge=_read_flag(raw, "limits.mayDuplicate"),
        may_health_check=_read_flag(raw, "limits.probes"),
        max_retry_after_ms=retry_after,
        slow_start_ms=read_number(raw, "contract.cold", 0.0),
        slow_start_initial_fraction=read_number(raw, "contract.coldFrom", 1.0),
        slow_start_overload_factor=read_number(raw, "contract.overloadFactor", 1.0),
        slow_start_window_ms=read_number(raw, "contract.tipAfter", 1_000.0),
        over_quota_weight_factor=read_number(raw, "overShareWorth", 1.0),
        tick_ms=read_number(raw, "tick", 1.0),
        load_report_fields=tuple(f for f in raw.get("telemetry.fields", "").split(",") if f),
    )


def _read_request_arrived(fields: Fields, note: Note) -> RequestArrived:
    return RequestArrived(
        read_integer(fields, "corr"),
        read_text(fields, "grade"),
        read_number(fields, "remaining"),
        fields.get("customer"),
        fields.get("repeat") == "1",
        read_number(fields, "weightHint", 0.0),
    )


def _read_attempt_ended(fields: Fields, note: Note) -> AttemptEnded:
    return AttemptEnded(
        read_integer(fields, "corr"),
        read_integer(fields, "shot"),
        read_text(fields, "upstream"),
        _read_outcome(fields, note),
        fields.get("complete") == "1",
        _read_load_report(fields),
    )


def _read_timer_expired(fields: Fields, note: Note) -> TimerExpired:
    return TimerExpired(read_text(fields, "ctx"))


def _read_client_disconnected(fields: Fields, note: Note) -> ClientDisconnected:
    return ClientDisconnected(read_integer(fields, "corr"))


def _read_response_started(fields: Fields, note: Note) -> ResponseStarted:
    return ResponseStarted(read_integer(fields, "corr"), read_integer(fields, "shot"))


def _read_health_check_ended(fields: Fields, note: Note) -> HealthCheckEnded:
    return HealthCheckEnded(
        read_text(fields, "upstream"), _read_outcome(fields, note), _read_load_report(fields)
    )


def _read_endpoint_list_notice(fields: Fields, note: Note) -> EndpointListNotice:
    kind = _read_enum(_UPDATE_KINDS, fields, "mode")
    ledger_id = None if kind is UpdateKind.FAILED else read_integer(fields, "list")
    return EndpointListNotice(kind, ledger_id)


def _read_instance_started(fields: Fields, note: Note) -> InstanceStarted:
    raw = {name: value for name, value in fields.items() if name not in ("who", "prng")}
    return InstanceStarted(read_integer(fields, "prng"), read_settings(raw, note))


def _read_instance_killed(fields: Fields, note: Note) -> InstanceKilled:
    return InstanceKilled()


def _ignore_event(fields: Fields, note: Note) -> None:
    """Ignore an event that a balancer does not need."""


_EVENT_READERS: dict[str, Callable[[Fields, Note], HostEvent | None]] = {
    "knock": _read_request_arrived,
    "verdict": _read_attempt_ended,
    "reminder": _read_timer_expired,
    "client_gone": _read_client_disconnected,
    "established": _read_response_started,
    "check_result": _read_health_check_ended,
    "membership": _read_endpoint_list_notice,
    "up": _read_instance_started,
    "killed": _read_instance_killed,
    "note_from": _ignore_event,
}


def read_event(kind: str, fields: Fields, note: Note) -> HostEvent | None:
    """Return the event of one line, or None for a kind that is unknown or that a balancer does not need."""
    reader = _EVENT_READERS.get(kind)
    if reader is None:
        note(f"event {kind!r} is unknown and ignored")
        return None
    return reader(fields, note)


def resolve_endpoint_list(notice: EndpointListNotice, endpoints: tuple[Endpoint, ...]) -> EndpointListUpdate:
    """Return the update of the endpoint list with the entries of its ledger."""
    return EndpointListUpdate(notice.kind, endpoints)


def write_action(instance: str, action: Action) -> str:
    """Return the reply line of one action."""
    match action:
        case SendAttempt(request, server, timeout):
            return f"send who={instance} corr={request} upstream={server} timeout={timeout:.3f}"
        case SetTimer(at, token):
            return f"remind who={instance} moment={at:.3f} ctx={token}"
        case Reject(request, after):
            return f"reject who={instance} corr={request} stayAway={after:.3f}"
        case Fail(request):
            return f"abort who={instance} corr={request}"
        case CancelAttempt(request, attempt):
            return f"cancel who={instance} corr={request} shot={attempt}"
        case SendHealthCheck(server):
            return f"sound_out who={instance} upstream={server}"
        case CloseIdleConnections(server):
            return f"close_idle who={instance} upstream={server}"
        case WatchEndpointList():
            return f"follow who={instance} enable=1"
        case LogMessage(text):
            return f"say_log who={instance} bodyText={_join_lines(text)}"


def write_failure(instance: str, error: BaseException) -> str:
    """Return the reply line that reports an exception in an instance's decision code."""
    return f"give_in who={instance} bodyText={_join_lines(f'{type(error).__name__}: {error}')}"


def _join_lines(text: str) -> str:
    return " ".join(text.split())
