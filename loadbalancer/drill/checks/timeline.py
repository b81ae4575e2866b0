"""A drill's history, read once into what its checks ask of it, and what a check says."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import cached_property

import msgspec

from loadbalancer.drill.history import Event

SECOND = 1_000.0

Told = tuple[float, str, int, bool, dict[str, str]]
"""A list as a balancer was told it: when, by whom, its index, whether it was whole, each entry's status."""


class Check(msgspec.Struct, frozen=True):
    """One check: what was measured against which bound, and one event that broke it."""

    name: str
    held: bool
    measured: float
    bound: float
    first: str = ""


@dataclass
class Place:
    """Where a process was."""

    name: str
    zone: str
    tier: str


class Story:
    """A history, read once into what the checks ask of it."""

    def __init__(self, events: list[Event]) -> None:
        self.events = events
        self.by_kind: dict[str, list[Event]] = defaultdict(list)
        for event in events:
            self.by_kind[event["what"]].append(event)
        places = self.by_kind["place"]
        self.by_host = {e["host"]: Place(e["name"], e["zone"], e["tier"]) for e in places}
        self.by_name = {p.name: p for p in self.by_host.values()}
        self.asked = {e["id"]: e for e in self.by_kind["asked"]}
        self.start = min((e["t"] for e in self.by_kind["asked"]), default=0.0)

    @cached_property
    def told(self) -> dict[str, list[Told]]:
        """What each balancer was told by lists, as it came."""
        told: dict[str, list[Told]] = defaultdict(list)
        for event in self.by_kind["told"]:
            place = self.by_host.get(event["to"])
            if place is not None:
                news = event["index"], event["snapshot"], event["entries"]
                told[place.name].append((event["t"], event["who"], *news))
        return told

    def arrivals(self) -> Iterator[tuple[Event, str]]:
        """Each request that reached a server, with the balancer that sent it."""
        for event in self.by_kind["arrived"]:
            place = self.by_host.get(event["from"])
            if place is not None:
                yield event, place.name

    def at(self, event: Event) -> str:
        """When an event was, in words."""
        return f"at {(event['t'] - self.start) / SECOND:.2f} s"

    def spans(self, kinds: Iterable[str], target: str) -> list[tuple[float, float]]:
        """When faults of some kinds befell a process: from, to."""
        spans: list[tuple[float, float]] = []
        for event in self.by_kind["fault"]:
            if event["kind"] in kinds and target in event["targets"]:
                if event["on"]:
                    spans.append((event["t"], float("inf")))
                elif spans:
                    spans[-1] = (spans[-1][0], event["t"])
        return spans


def most(name: str, found: list[str], bound: float = 0) -> Check:
    """A check on a count of events, none of which should be."""
    return Check(name, len(found) <= bound, len(found), bound, found[0] if found else "")


def states(lists: Iterable[Told]) -> Iterator[tuple[float, str, str, str]]:
    """When a balancer was told what of whom, and by whom; what a whole list leaves out is `terminated`."""
    listed: set[str] = set()
    for when, by, _, whole, entries in lists:
        gone = dict.fromkeys(listed - set(entries), "terminated") if whole else {}
        for server, status in (entries | gone).items():
            yield when, by, server, status
            (listed.discard if status == "terminated" else listed.add)(server)


def newer(lists: Iterable[Told]) -> Iterator[Told]:
    """The lists but for those that are older than one that the same service told before."""
    newest: dict[str, int] = {}
    for told in lists:
        _, by, index, _, _ = told
        if index >= newest.get(by, index):
            newest[by] = index
            yield told
