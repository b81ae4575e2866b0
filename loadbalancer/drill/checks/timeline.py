"""A drill's history, indexed for its checks, and the result of a check."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import cached_property

import msgspec

from loadbalancer.drill.history import Event

SECOND_MS = 1_000.0


class CheckResult(msgspec.Struct, frozen=True, rename={"passed": "held", "first_violation": "first"}):
    """The result of one check: the measured value, its bound, and a violation."""

    name: str
    passed: bool
    measured: float
    bound: float
    first_violation: str = ""


@dataclass(frozen=True)
class ProcessLocation:
    """Where a process ran."""

    name: str
    zone: str
    tier: str


@dataclass(frozen=True, slots=True)
class ListNotification:
    """An endpoint list as a balancer received it, with each entry's status."""

    at_ms: float
    source: str
    index: int
    is_snapshot: bool
    statuses: dict[str, str]


@dataclass(frozen=True, slots=True)
class StatusChange:
    """The status of one server as a balancer was notified of it."""

    at_ms: float
    source: str
    server: str
    status: str


class Timeline:
    """A history, indexed for the checks."""

    def __init__(self, events: list[Event]) -> None:
        self.events = events
        self.events_by_kind: dict[str, list[Event]] = defaultdict(list)
        for event in events:
            self.events_by_kind[event["what"]].append(event)
        self.location_by_host = {
            e["host"]: ProcessLocation(e["name"], e["zone"], e["tier"]) for e in self.events_by_kind["place"]
        }
        self.location_by_name = {p.name: p for p in self.location_by_host.values()}
        self.requests = {e["id"]: e for e in self.events_by_kind["asked"]}
        self.start_ms = min((e["t"] for e in self.events_by_kind["asked"]), default=0.0)

    @cached_property
    def list_notifications(self) -> dict[str, list[ListNotification]]:
        """The endpoint lists that each balancer received, in order."""
        notifications: dict[str, list[ListNotification]] = defaultdict(list)
        for event in self.events_by_kind["told"]:
            location = self.location_by_host.get(event["to"])
            if location is not None:
                notifications[location.name].append(
                    ListNotification(
                        event["t"], event["who"], event["index"], event["snapshot"], event["entries"]
                    )
                )
        return notifications

    def arrivals(self) -> Iterator[tuple[Event, str]]:
        """Yield each request that reached a server, with the balancer that sent it."""
        for event in self.events_by_kind["arrived"]:
            location = self.location_by_host.get(event["from"])
            if location is not None:
                yield event, location.name

    def zone_of(self, name: str) -> str:
        """Return the zone of a process."""
        return self.location_by_name[name].zone

    def tier_of(self, name: str) -> str:
        """Return the tier of a process."""
        return self.location_by_name[name].tier

    def time_of(self, event: Event) -> str:
        """Return the time of an event, as a phrase for messages."""
        return f"at {self.seconds(event['t']):.2f} s"

    def seconds(self, at_ms: float) -> float:
        """Return a time as seconds since the first request."""
        return (at_ms - self.start_ms) / SECOND_MS

    def end_ms(self) -> float:
        """Return when the drill was completed; infinity if it never was."""
        return max((e["t"] for e in self.events_by_kind["over"]), default=float("inf"))

    def fault_intervals(self, kinds: Iterable[str], target: str) -> list[tuple[float, float]]:
        """Return the intervals of a process's faults of some kinds, as begin and end in ms."""
        intervals: list[tuple[float, float]] = []
        for event in self.events_by_kind["fault"]:
            if event["kind"] in kinds and target in event["targets"]:
                if event["on"]:
                    intervals.append((event["t"], float("inf")))
                elif intervals:
                    intervals[-1] = (intervals[-1][0], event["t"])
        return intervals


def count_violations(name: str, violations: list[str], bound: float = 0) -> CheckResult:
    """Return the result of a check that allows at most `bound` violations."""
    first = violations[0] if violations else ""
    return CheckResult(name, len(violations) <= bound, len(violations), bound, first)


def check_maximum(name: str, measured: float, bound: float, first_violation: str) -> CheckResult:
    """Return the result of a check that allows a measured value of at most `bound`."""
    passed = measured <= bound
    return CheckResult(name, passed, measured, bound, "" if passed else first_violation)


def status_changes(notifications: Iterable[ListNotification]) -> Iterator[StatusChange]:
    """Yield each server's status as a balancer was notified; one missing from a snapshot is `terminated`."""
    listed: set[str] = set()
    for update in notifications:
        missing = listed - set(update.statuses) if update.is_snapshot else ()
        for server, status in (update.statuses | dict.fromkeys(missing, "terminated")).items():
            yield StatusChange(update.at_ms, update.source, server, status)
            (listed.discard if status == "terminated" else listed.add)(server)


def without_outdated(notifications: Iterable[ListNotification]) -> Iterator[ListNotification]:
    """Yield the lists except those older than an earlier one from the same source."""
    newest: dict[str, int] = {}
    for update in notifications:
        if update.index >= newest.get(update.source, update.index):
            newest[update.source] = update.index
            yield update
