"""What each role spends at the target, put together from slopes and assumptions; peaks, and the machines.

Nothing here is measured: all of it is reckoned, and the page says so. Processor time is ms of
a core a second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from benchmarks.capacity_slopes import QUANTITIES, Assumed
from loadbalancer.endpoint_watch.contradictions import SILENCE_THRESHOLD_S
from loadbalancer.endpoint_watch.cross_check import (
    CONTRADICTION_BACKOFF_S,
    CROSS_CHECK_INTERVAL_PER_BALANCER_MS,
    CROSS_CHECK_INTERVAL_S,
)
from loadbalancer.endpoint_watch.request_schedule import MAX_WAIT_MS, WAIT_JITTER
from loadbalancer.policy.ready_servers import BALANCERS_PER_SERVER
from loadbalancer.registry.entries import Rules
from loadbalancer.registry.lease import RENEWAL_RATIO
from loadbalancer.registry.rate_limiter import ANSWER_COST_S, MAX_WAKE_CPU_FRACTION, MIN_WAKE_INTERVAL_S

DAY_S = 86_400.0
ENTRY_ROOM = 2  # changes that a failed machine makes: it lapses, and another one starts


@dataclass(frozen=True)
class Spent:
    """What a role spends: of a balancer, or of an instance."""

    bytes_s: float
    core_ms_s: float
    memory_mb: float


@dataclass(frozen=True)
class Peak:
    """What an event asks of one balancer in its worst span, and of one instance of the list service."""

    name: str
    changes: float
    """Of the list, in the worst span."""
    whole: float
    """Whole lists that a balancer takes in it."""
    readers: float
    """Balancers that take them."""
    how: str


class Fleet:
    """A fleet of some size by the assumptions, and what its parts spend by the fits."""

    def __init__(self, figures: dict[str, Any], told: Assumed, size: float | None = None) -> None:
        """`size` in place of the target's number of balancers."""
        self._figures, self.told = figures, told
        self.size = told["target"]["balancers"] if size is None else size
        self.assumed, self.allowed = told["assumed"], told["allowance"]
        self.instances = self.assumed["instances"]

    def has(self, part: str) -> bool:
        """Whether figures of a part are kept."""
        return part in self._figures

    def at(self, name: str, size: float) -> float:
        """A quantity at a size: as measured, if that was the largest measured, or else by its fit."""
        quantity = QUANTITIES[name]
        slope = quantity.slope(self._figures)
        return slope.measured if slope.largest == size else min(max(slope.line.at(size), 0.0), quantity.most)

    # ---- the mean day ---------------------------------------------------------------------------

    @property
    def changes_s(self) -> float:
        """Changes of the list a second, on the mean day."""
        of_one = self.assumed["changes_of_a_replacement"]
        target = self.told["target"]
        return (target["replaced_day"] * of_one + target["fails_day"] * ENTRY_ROOM) / DAY_S

    @property
    def entry_bytes(self) -> float:
        """Of a server on the list."""
        return self.at("whole_kb", self.size) * 1e3 / self.size

    @property
    def call_bytes(self) -> float:
        """Of a call for the list and its answer without any entry."""
        return self.at("change_bytes", self.size) - self.entry_bytes

    @property
    def look_s(self) -> float:
        """Between a balancer's looks at another instance."""
        return max(CROSS_CHECK_INTERVAL_S, CROSS_CHECK_INTERVAL_PER_BALANCER_MS * self.size / 1e3)

    @property
    def wait_s(self) -> float:
        """Of a watch without news, on average."""
        return MAX_WAIT_MS / 1e3 * (1 - WAIT_JITTER / 2)

    @property
    def renewals_s(self) -> float:
        """At all instances together."""
        return self.size / (RENEWAL_RATIO * self.assumed["lease_s"])

    def balancer(self) -> Spent:
        """A balancer's control on the mean day."""
        whole = self.at("whole_kb", self.size) * 1e3
        return Spent(
            self.changes_s * (self.entry_bytes + self.call_bytes)
            + self.call_bytes / self.wait_s
            + whole / self.look_s,
            self.at("quiet", self.size)
            + self.changes_s * self.at("change_ms", self.size)
            + self.at("again_ms", self.size) / self.look_s,
            self.at("looked", self.size),
        )

    def instance(self, instances: float | None = None) -> Spent:
        """An instance of the list service on the mean day, if so many are there."""
        count = instances or self.instances
        watches, whole = self.size / count, self.at("whole_kb", self.size) * 1e3
        looks_s = watches / self.look_s
        return Spent(
            watches * (self.changes_s * (self.entry_bytes + self.call_bytes) + self.call_bytes / self.wait_s)
            + looks_s * whole,
            self.renewals_ms_s(count)
            + self.changes_s * self.at("watch_change", watches)
            + looks_s * self.at("list_shared", self.size)
            + self.at("list_quiet", self.size)
            + self.at("exchange", count),
            self.at("list_memory", self.size) + self.at("watch_memory", watches),
        )

    def renewals_ms_s(self, instances: float) -> float:
        """Of an instance, for all renewals, its own and those that it hears of.

        What one costs all instances together is that of the highest rate measured, with two of them; more
        show no growth beyond the error.
        """
        return self.renewals_s * QUANTITIES["renewal_rate"].slope(self._figures).measured / instances

    def members(self, size: float) -> Spent:
        """Membership in a tier of some size, on a day that loses datagrams."""
        return Spent(self.at("notes", size), self.at("member", size), self.at("table", size))

    def carrier_bytes_s(self) -> float:
        """Of a balancer, if each change of configuration went to all."""
        return self.told["target"]["config_changes_day"] * self.assumed["config_bytes"] / DAY_S

    # ---- peaks ----------------------------------------------------------------------------------

    def looks(self, span_s: float) -> float:
        """Whole lists that a balancer reads while a server is silent for so long, each twice as late."""
        return math.floor(math.log2(span_s / CONTRADICTION_BACKOFF_S + 1)) + 1

    def peaks(self) -> list[Peak]:
        """The events of the letter."""
        worst, rules = self.assumed["worst_s"], Rules()
        until_gone = self.assumed["lease_s"] + rules.settle_ms / 1e3 - SILENCE_THRESHOLD_S
        of_one = self.assumed["changes_of_a_replacement"]
        rolling = self.size * of_one / self.assumed["restart_of_all_s"]
        service = self.assumed["service_replaced"] * of_one / self.assumed["service_replaced_s"]
        kept = "all of it stay listed while it is silent (the floor): looks, ever more rarely"
        rack, zone = self.assumed["rack_upstreams"], self.assumed["zone_upstreams"]
        looks = f"a look at another instance's list each {self.look_s:,.0f} s"
        silent, apart = self.looks(until_gone), self.size * (1 - 1 / self.told["target"]["regions"])
        return [
            Peak("mean day", self.changes_s * worst, 1.0, self.size * worst / self.look_s, looks),
            Peak(
                "a machine fails", ENTRY_ROOM, silent, self.callers(1), "looks while it is listed and silent"
            ),
            Peak("a rack", rack, silent, self.callers(rack), "the same, and all lapse at once"),
            Peak("a zone", 0.0, self.looks(worst), self.callers(zone), kept),
            Peak("rolling restart of all", rolling * worst, 0.0, 0.0, "drains, ends, starts"),
            Peak("a service replaced", service * worst, 0.0, 0.0, "the same, in one service"),
            Peak("regions apart", 0.0, 1.0, apart, "first choices are spread over all regions: whole lists"),
            Peak("regions together again", 0.0, 1.0, apart, "the way home within 60 s: whole lists"),
        ]

    def callers(self, servers: float) -> float:
        """Balancers that keep to any of so many servers, at the most."""
        return min(servers * BALANCERS_PER_SERVER, self.size)

    def peak_cores(self, peak: Peak) -> float:
        """Of an instance in the worst span, for changes and whole lists: if it could use so many."""
        watches, span = self.size / self.instances, self.assumed["worst_s"]
        wakes = min(peak.changes, span / self.wake_s)
        told = wakes * self.at("watch_change", watches)
        told += peak.readers / self.instances * peak.whole * self.at("list_shared", self.size)
        return told / span / 1e3

    def peak(self, peak: Peak) -> Spent:
        """A balancer's control in the worst span: a second's mean, and its memory."""
        span = self.assumed["worst_s"]
        wakes = min(peak.changes, span / self.wake_s)
        sent = peak.changes * self.entry_bytes + wakes * self.call_bytes
        sent += peak.whole * self.at("whole_kb", self.size) * 1e3
        spent = wakes * self.at("change_ms", self.size) + peak.whole * self.at("again_ms", self.size)
        memory = self.at("looked", self.size)
        return Spent(sent / span, spent / span + self.at("quiet", self.size), memory)

    @property
    def wake_s(self) -> float:
        """Between two wakes of an instance's watches: as it paces them, or as answering them takes."""
        watches = self.size / self.instances
        paced = max(ANSWER_COST_S * watches / MAX_WAKE_CPU_FRACTION, MIN_WAKE_INTERVAL_S)
        return max(paced, self.at("watch_change", watches) / 1e3)

    def return_s(self, instances: float) -> float:
        """Until so many instances have told all balancers the whole list, by a core each."""
        return self.size * self.at("list_shared", self.size) / 1e3 / instances

    def tell_bytes_s(self, instances: float) -> float:
        """Of an instance, to tell all of them within the time allowed."""
        whole = self.at("whole_kb", self.size) * 1e3
        return self.size / instances * whole / self.allowed["in_force_s"]
