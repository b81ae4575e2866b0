"""A drill's history, read once into what its checks ask of it, and what a check says."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import cached_property

import msgspec

from loadbalancer.drill.history import Event

SECOND_MS = 1_000.0

ListNotification = tuple[float, str, int, bool, dict[str, str]]
"""A list as a balancer was told it: when, by whom, its index, whether it was whole, each entry's status."""


class CheckResult(
    msgspec.Struct, frozen=True, rename={"passed": "held", "first_violation": "first"}
):  # fmt: skip
    """One check: what was measured against which bound, and one event that broke it."""

    name: str
    passed: bool
    measured: float
    bound: float
    first_violation: str = ""


@dataclass
class ProcessLocation:
    """Where a process was."""

    name: str
    zone: str
    tier: str


class Timeline:
    """A history, read once into what the checks ask of it."""

    def __init__(self, events: list[Event]) -> None:
        self.events = events
        self.events_by_kind: dict[str, list[Event]] = defaultdict(list)
        for event in events:
            self.events_by_kind[event["what"]].append(event)
        places = self.events_by_kind["place"]
        self.location_by_host = {e["host"]: ProcessLocation(e["name"], e["zone"], e["tier"]) for e in places}
        self.location_by_name = {p.name: p for p in self.location_by_host.values()}
        self.requests = {e["id"]: e for e in self.events_by_kind["asked"]}
        self.start_ms = min((e["t"] for e in self.events_by_kind["asked"]), default=0.0)

    @cached_property
    def list_notifications(self) -> dict[str, list[ListNotification]]:
        """What each balancer was told by lists, as it came."""
        told: dict[str, list[ListNotification]] = defaultdict(list)
        for event in self.events_by_kind["told"]:
            place = self.location_by_host.get(event["to"])
            if place is not None:
                news = event["index"], event["snapshot"], event["entries"]
                told[place.name].append((event["t"], event["who"], *news))
        return told

    def arrivals(self) -> Iterator[tuple[Event, str]]:
        """Each request that reached a server, with the balancer that sent it."""
        for event in self.events_by_kind["arrived"]:
            place = self.location_by_host.get(event["from"])
            if place is not None:
                yield event, place.name

    def format_time(self, event: Event) -> str:
        """When an event was, in words."""
        return f"at {(event['t'] - self.start_ms) / SECOND_MS:.2f} s"

    def fault_intervals(self, kinds: Iterable[str], target: str) -> list[tuple[float, float]]:
        """When faults of some kinds befell a process: from, to."""
        spans: list[tuple[float, float]] = []
        for event in self.events_by_kind["fault"]:
            if event["kind"] in kinds and target in event["targets"]:
                if event["on"]:
                    spans.append((event["t"], float("inf")))
                elif spans:
                    spans[-1] = (spans[-1][0], event["t"])
        return spans


def count_violations(name: str, found: list[str], bound: float = 0) -> CheckResult:
    """A check on a count of events, none of which should be."""
    return CheckResult(name, len(found) <= bound, len(found), bound, found[0] if found else "")


def status_changes(lists: Iterable[ListNotification]) -> Iterator[tuple[float, str, str, str]]:
    """When a balancer was told what of whom, and by whom; what a whole list leaves out is `terminated`."""
    listed: set[str] = set()
    for when, by, _, whole, entries in lists:
        gone = dict.fromkeys(listed - set(entries), "terminated") if whole else {}
        for server, status in (entries | gone).items():
            yield when, by, server, status
            (listed.discard if status == "terminated" else listed.add)(server)


def without_outdated(lists: Iterable[ListNotification]) -> Iterator[ListNotification]:
    """The lists but for those that are older than one that the same service told before."""
    newest: dict[str, int] = {}
    for told in lists:
        _, by, index, _, _ = told
        if index >= newest.get(by, index):
            newest[by] = index
            yield told
