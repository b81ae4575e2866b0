"""The calls of the console: their routes, what each does with the balancer, and their answers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from loadbalancer.net.console_codec import (
    encode_endpoint_list,
    encode_membership,
    encode_stats,
    encode_zones,
)
from loadbalancer.net.cordon_controller import InsufficientCapacityError, UnknownZoneError
from loadbalancer.net.http_framing import Headers
from loadbalancer.net.metrics import CONTENT_TYPE
from loadbalancer.net.reports import BalancerStats, EndpointListReport, MembershipReport
from loadbalancer.policy.zones import ZoneStatus

MAX_EVACUATION_MS = 3_600_000.0  # a longer one is more likely a mistake in the unit
TEXT_HEADERS: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
JSON_HEADERS: Headers = [(b"Content-Type", b"application/json")]
METRICS_HEADERS: Headers = [(b"Content-Type", CONTENT_TYPE)]


class ConsoleBackend(Protocol):
    """What the console needs of the balancer: queries and commands."""

    def is_serving(self) -> bool:
        """Return whether new clients are accepted."""

    def stats(self) -> BalancerStats:
        """Return the current counts."""

    def prometheus_metrics(self) -> str:
        """Return the metrics in Prometheus' text format."""

    def membership_report(self) -> MembershipReport | None:
        """Return the known state of the other balancers; None if membership is off."""

    def endpoint_list_report(self) -> EndpointListReport:
        """Return the source and age of the endpoint list."""

    def zones(self) -> Mapping[str, ZoneStatus]:
        """Return the status of each zone."""

    def evacuate_zone(self, zone: str, *, is_evacuating: bool, duration_ms: float, is_forced: bool) -> None:
        """Evacuate a zone, or return to it; raises ZoneEvacuationError."""

    def set_cordon(self, server: str, *, is_cordoned: bool) -> bool:
        """Cordon or uncordon a server; return False if no server has that ID."""


@dataclass(frozen=True, slots=True)
class ConsoleResponse:
    """The answer to one call."""

    status: int
    text: str
    headers: Headers


@dataclass(frozen=True, slots=True)
class _Route:
    method: str
    handle: Callable[[bytes], ConsoleResponse]


@dataclass(frozen=True, slots=True)
class _ZoneCommand:
    zone: str
    duration_ms: float
    is_forced: bool


class ConsoleService:
    """Answers calls from the balancer's state in memory."""

    def __init__(self, backend: ConsoleBackend) -> None:
        """Create a service that calls `backend`."""
        self._backend = backend
        self._routes = {
            "/admin/health": _Route("GET", self._get_health),
            "/admin/stats": _Route("GET", self._get_stats),
            "/admin/peers": _Route("GET", self._get_membership),
            "/admin/list": _Route("GET", self._get_endpoint_list),
            "/metrics": _Route("GET", self._get_metrics),
            "/admin/zones": _Route("GET", self._get_zones),
            "/admin/zone/leave": _Route("POST", lambda body: self._evacuate_zone(body, is_evacuating=True)),
            "/admin/zone/return": _Route("POST", lambda body: self._evacuate_zone(body, is_evacuating=False)),
            "/admin/cordon": _Route("POST", lambda body: self._set_cordon(body, is_cordoned=True)),
            "/admin/uncordon": _Route("POST", lambda body: self._set_cordon(body, is_cordoned=False)),
        }

    def methods(self) -> dict[str, str]:
        """Return the paths of all calls, each with its method."""
        return {path: route.method for path, route in self._routes.items()}

    def handle(self, method: str, target: bytes, body: bytes) -> ConsoleResponse:
        """Return the answer to one call."""
        path = target.partition(b"?")[0].decode("latin-1")
        route = self._routes.get(path)
        if route is None:
            return text_response(404, "no such call")
        if method != route.method:
            allow = (b"Allow", route.method.encode())
            return ConsoleResponse(405, f"only {route.method}", [allow, *TEXT_HEADERS])
        return route.handle(body)

    def _get_health(self, _: bytes) -> ConsoleResponse:
        return text_response(200, "ok") if self._backend.is_serving() else text_response(503, "not serving")

    def _get_stats(self, _: bytes) -> ConsoleResponse:
        return ConsoleResponse(200, encode_stats(self._backend.stats()), JSON_HEADERS)

    def _get_membership(self, _: bytes) -> ConsoleResponse:
        report = self._backend.membership_report()
        if report is None:
            return text_response(404, "membership is off")
        return ConsoleResponse(200, encode_membership(report), JSON_HEADERS)

    def _get_endpoint_list(self, _: bytes) -> ConsoleResponse:
        report = self._backend.endpoint_list_report()
        return ConsoleResponse(200, encode_endpoint_list(report), JSON_HEADERS)

    def _get_metrics(self, _: bytes) -> ConsoleResponse:
        return ConsoleResponse(200, self._backend.prometheus_metrics(), METRICS_HEADERS)

    def _get_zones(self, _: bytes) -> ConsoleResponse:
        return ConsoleResponse(200, encode_zones(self._backend.zones()), JSON_HEADERS)

    def _evacuate_zone(self, body: bytes, *, is_evacuating: bool) -> ConsoleResponse:
        command = _parse_zone_command(body)
        if command is None:
            return text_response(400, "the body must be a zone, then over=SECONDS and force at will")
        try:
            self._backend.evacuate_zone(
                command.zone,
                is_evacuating=is_evacuating,
                duration_ms=command.duration_ms,
                is_forced=command.is_forced,
            )
        except UnknownZoneError as error:
            return text_response(404, str(error))
        except InsufficientCapacityError as error:
            return text_response(409, str(error))
        return text_response(200, "ok")

    def _set_cordon(self, body: bytes, *, is_cordoned: bool) -> ConsoleResponse:
        server = _parse_server(body)
        if not server:
            return text_response(400, "the body must be the ID of one upstream")
        if not self._backend.set_cordon(server, is_cordoned=is_cordoned):
            return text_response(404, "nobody has that ID")
        return text_response(200, "ok")


def text_response(status: int, text: str) -> ConsoleResponse:
    """Return a plain text answer."""
    return ConsoleResponse(status, text, TEXT_HEADERS)


def _parse_zone_command(body: bytes) -> _ZoneCommand | None:
    """Parse a zone with the options `over=SECONDS` and `force`; return None if the body is invalid."""
    duration_ms = 0.0
    is_forced = False
    try:
        zone, *options = body.decode().split()
        for option in options:
            name, _, value = option.partition("=")
            if name == "over":
                duration_ms = float(value) * 1_000
            elif option == "force":
                is_forced = True
            else:
                return None
    except ValueError:
        return None
    return _ZoneCommand(zone, duration_ms, is_forced) if 0 <= duration_ms <= MAX_EVACUATION_MS else None


def _parse_server(body: bytes) -> str:
    """Return the body as a server's ID without surrounding white space; empty if it is not an ID."""
    try:
        text = body.decode().strip()
    except UnicodeDecodeError:
        return ""
    return text if text.isprintable() and " " not in text else ""
