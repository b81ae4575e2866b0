"""What is read from the kept figures: quantities by size, their fits, where they meet allowances."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from benchmarks.capacity_figures import Row
from benchmarks.capacity_fit import Slope, leave_out
from loadbalancer.membership import MAX_MESSAGE_BYTES
from loadbalancer.registry.service import EXPIRY_CHECK_INTERVAL_S

NOTES_S = 12.6  # of a member at 5% loss, the most of all plays: they don't grow with the tier
LOOKS = "looks back off since f1bd8e4"
INTEREST = "lists by interest, where `services` is set"
Assumed = dict[str, dict[str, float]]


@dataclass(frozen=True)
class Quantity:
    """A measured quantity by size."""

    part: str
    by: str
    what: str
    unit: str
    value: Callable[[Row], float]
    power: bool = False
    """Whether it grows by a power of the size, and not along a line."""
    most: float = math.inf
    """What it can't be above at any size."""

    def slope(self, figures: dict[str, Any]) -> Slope:
        """Its fit to all sizes but the largest, and that one beside it."""
        rows = figures[self.part]["rows"]
        return leave_out([row[self.by] for row in rows], [self.value(row) for row in rows], self.power)


def _of(key: str, scale: float = 1.0) -> Callable[[Row], float]:
    return lambda row: row[key] * scale


QUANTITIES = {
    "list_mb": Quantity(
        "balancer", "size", "what one whole list adds to a balancer", "MB",
        lambda row: row["rss_mb"] - row["idle_rss_mb"],
    ),
    "memory": Quantity("balancer", "size", "balancer's process after one whole list", "MB", _of("rss_mb")),
    "again": Quantity("balancer", "size", "the same after a second whole list", "MB", _of("again_rss_mb")),
    "looked": Quantity(
        "balancer", "size", "the same after looks at another instance", "MB", _of("looked_rss_mb")
    ),
    "most": Quantity("balancer", "size", "its highest memory until then", "MB", _of("looked_most_mb")),
    "pss": Quantity(
        "balancer", "size", "its proportional memory (PSS) after looks", "MB", _of("looked_pss_mb")
    ),
    "whole_kb": Quantity("balancer", "size", "a whole list", "KB", _of("whole_bytes", 1e-3)),
    "whole_ms": Quantity(
        "balancer", "size", "a first whole list taken", "ms of a core", _of("whole_ms"), power=True
    ),
    "again_ms": Quantity(
        "balancer", "size", "a further whole list taken", "ms of a core", _of("again_ms"), power=True
    ),
    "change_ms": Quantity("balancer", "size", "a change taken", "ms of a core", _of("change_ms")),
    "change_bytes": Quantity("balancer", "size", "a change and its call", "bytes", _of("change_bytes")),
    "quiet": Quantity("balancer", "size", "balancer without calls or changes", "ms a s", _of("quiet_ms_s")),
    "silent_kb_s": Quantity(
        "balancer", "size", "lists read while a server is silent", "KB a s",
        lambda row: row["look_bytes"] / row["look_every_s"] / 1e3,
        power=True,
    ),
    "silent_ms_s": Quantity(
        "balancer", "size", "processor time for them", "ms a s",
        lambda row: row["look_ms"] / row["look_every_s"],
        power=True,
    ),
    "list_shared": Quantity(
        "list", "size", "instance: a whole list told from shared bytes", "ms of a core",
        _of("whole_shared_ms"),
    ),
    "list_written": Quantity(
        "list", "size", "instance: a change, and a whole list written anew", "ms of a core",
        _of("whole_written_ms"),
    ),
    "list_drain": Quantity("list", "size", "instance: a drain kept", "ms of a core", _of("drain_ms")),
    "list_remove": Quantity("list", "size", "instance: a removal kept", "ms of a core", _of("remove_ms")),
    "list_quiet": Quantity("list", "size", "instance at rest", "ms a s", _of("quiet_ms_s")),
    "list_memory": Quantity("list", "size", "instance's process", "MB", _of("service_rss_mb")),
    "watch_change": Quantity(
        "watches", "watches", "instance: a change told to all watches", "ms of a core", _of("change_ms")
    ),
    "watch_memory": Quantity("watches", "watches", "instance: watches held", "MB", _of("watches_rss_mb")),
    "watch_last": Quantity(
        "watches", "watches", "until the last watch has heard", "ms", _of("last_heard_ms")
    ),
    "renewal": Quantity(
        "instances", "instances", "a renewal, at all instances together", "ms of a core",
        _of("renewal_all_ms"), power=True,
    ),
    "renewal_rate": Quantity(
        "renewals", "rate", "a renewal, at two instances together", "ms of a core", _of("renewal_all_ms"),
        power=True,
    ),
    "exchange": Quantity(
        "instances", "instances", "an instance at rest among others", "ms a s", _of("quiet_ms_s")
    ),
    "table": Quantity("member", "size", "membership's table", "MB", _of("table_mb")),
    "member": Quantity("member", "size", "membership, nothing lost", "ms a s", _of("member_ms_s")),
    "notes": Quantity("notes", "size", "membership's notes out, 5% lost", "bytes a s", _of("bytes_s"),
        most=NOTES_S * MAX_MESSAGE_BYTES,
    ),
    "tier": Quantity(
        "notes", "size", "membership, 5% lost (with the model's own share)", "ms a s", _of("tier_ms_s")
    ),
    "lapse_first": Quantity(
        "lapse", "size", "instance: a twelfth of the list runs out, looked at once", "ms of a core",
        _of("lapse_first_ms"),
    ),
    "lapse_again": Quantity(
        "lapse", "size", "instance: each further look, four a second, while it is away", "ms of a core",
        _of("lapse_again_ms"),
    ),
    "pause": Quantity(
        "pause", "size", "longest pause after failed calls of the platform's list", "s", _of("pause_most_s")
    ),
    "herd_whole": Quantity("herd", "size", "whole lists after an outage of 4 s", "lists", _of("whole_lists")),
    "herd_all": Quantity(
        "herd", "size", "whole lists after an outage of 4 s, those of the start with them", "lists",
        lambda row: row["whole_lists"] + row["size"],
    ),
    "herd_calls": Quantity(
        "herd", "size", "calls in the worst second of it", "calls", _of("worst_second_calls")
    ),
}  # fmt: skip


@dataclass(frozen=True)
class Limit:
    """An allowance that a quantity may break as the fleet grows."""

    what: str
    quantity: str
    allowed: Callable[[Assumed], float | Callable[[float], float]]
    """In the quantity's own unit; by size, where that is what counts."""
    said: Callable[[Assumed], str]
    carried_by: str


def _memory(told: Assumed) -> float:
    return told["allowance"]["memory_mb"]


def _said_memory(told: Assumed) -> str:
    return f"{_memory(told):g} MB"


def _core_ms_s(told: Assumed) -> float:
    return told["allowance"]["core_part"] * 1e3


def _said_core(told: Assumed) -> str:
    return f"{told['allowance']['core_part']:.1%} of a core"


def _said_kb(told: Assumed) -> str:
    return f"{told['allowance']['bytes_s'] / 1e3:g} KB a s"


def _return_ms(told: Assumed) -> Callable[[float], float]:
    """Of one whole list, so that all get theirs in time."""
    all_ms = told["allowance"]["in_force_s"] * told["assumed"]["instances"] * 1e3
    return lambda size: all_ms / size


LIMITS = (
    Limit(
        "bytes while a listed server is silent", "silent_kb_s",
        lambda told: told["allowance"]["bytes_s"] / 1e3, _said_kb, LOOKS,
    ),
    Limit(
        "bytes of the worst 10 s: one whole list", "whole_kb",
        lambda told: told["allowance"]["bytes_s"] * told["assumed"]["worst_s"] / 1e3, _said_kb, INTEREST,
    ),
    Limit(
        "processor time while a listed server is silent", "silent_ms_s", _core_ms_s, _said_core, LOOKS,
    ),
    Limit(
        "processor time of the worst 10 s: one whole list", "whole_ms",
        lambda told: _core_ms_s(told) * told["assumed"]["worst_s"], _said_core, INTEREST,
    ),
    Limit("highest memory", "most", _memory, _said_memory, INTEREST),
    Limit("memory after some whole lists", "looked", _memory, _said_memory, INTEREST),
    Limit("memory after one whole list", "memory", _memory, _said_memory, INTEREST),
    Limit(
        "processor time of membership, nothing lost", "member", _core_ms_s, _said_core,
        "off today; nothing rests on it",
    ),
    Limit(
        "bytes of membership, 5% lost", "notes", lambda told: told["allowance"]["bytes_s"], _said_kb,
        "off today; nothing rests on it",
    ),
    Limit(
        "list instance while a zone is away: a look for lapses, four a second", "lapse_again",
        lambda told: EXPIRY_CHECK_INTERVAL_S * told["assumed"]["instance_cores"] * 1e3,
        lambda told: f"{told['assumed']['instance_cores']:g} core", "`registry/self_preservation.py`",
    ),
    Limit(
        "longest pause after failed calls", "pause", lambda told: told["allowance"]["in_force_s"],
        lambda told: f"{told['allowance']['in_force_s']:g} s", "`endpoint_watch/time_budget.py`",
    ),
    Limit(
        "all back after an outage: the whole list to each, by a core of each instance", "list_shared",
        _return_ms,
        lambda told: f"{told['allowance']['in_force_s']:g} s, {told['assumed']['instances']:g} instances",
        "pace of those who return, lists by interest",
    ),
)  # fmt: skip


@dataclass(frozen=True)
class Earlier:
    """A figure that was told before this page was."""

    what: str
    quantity: str
    size: float
    value: float
    half: float = 0.0
    """Half of its last digit, where it was told with few."""


EARLIER = (
    Earlier("what a list adds to a balancer", "list_mb", 1_000, 1.1),
    Earlier("what a list adds to a balancer", "list_mb", 18_000, 19.5),
    Earlier("its process with a list", "memory", 2_400, 27.0),
    Earlier("its process with a list", "memory", 18_000, 46.7),
    Earlier("a whole list taken", "whole_ms", 1_000, 8.0),
    Earlier("a whole list taken", "whole_ms", 18_000, 357.0),
    Earlier("membership's table", "table", 1_000, 0.1, half=0.05),
    Earlier("membership's table", "table", 18_000, 1.3),
    Earlier("membership's notes, 5% lost", "notes", 1_000, 1_300.0),
    Earlier("membership's notes, 5% lost", "notes", 3_000, 1_500.0),
    Earlier("whole lists, at the start and after 4 s without the service", "herd_all", 4_000, 8_000.0),
    Earlier("whole lists, at the start and after 4 s without the service", "herd_all", 8_000, 18_798.0),
    Earlier("calls in the worst second of it", "herd_calls", 4_000, 6_403.0),
    Earlier("calls in the worst second of it", "herd_calls", 8_000, 10_084.0),
)
