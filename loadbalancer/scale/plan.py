"""What a scale run is made of: sizes, steps, and what each balancer and each upstream is told."""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from typing import Any

import msgspec

from loadbalancer.drill.defects.names import SCALE_DEFECTS

STEPS = (
    "start", "quiet", "changes", "rack", "zone", "rolling", "replaced", "instance-killed", "away", "regions",
)  # fmt: skip
DEFAULT_STEPS = ("start", "quiet", "changes", "instance-killed", "away")
FIRST_SERVICE_FRACTION = 0.1  # of the upstreams that belong to the first service; the others are alike
CALLED_SERVICES = 8  # services that a balancer calls
MECHANISMS = ("whole", "interest")
RACK_SIZE = 40  # upstreams that go with a rack
MAX_PROCESSES, MAX_MEMORY_FRACTION = 300, 0.5
CLASSES = [{"name": "plain", "target": 100.0, "deadline": 1_000.0, "effect": "retryable", "worth": 1.0}]


class PlanError(ValueError):
    """A plan that can't be carried out: one line."""


class Plan(
    msgspec.Struct, frozen=True, kw_only=True,
    rename={"defect": "plant", "subset_size": "part", "convergence_timeout_s": "patience_s"},
):  # fmt: skip
    """A scale run; times in seconds."""

    balancers: int
    """Upstreams on the list, each with its balancer: the size."""
    hollow: int
    """Hollow balancers that are there; fewer than the size where the machine can't hold all."""
    real: int = 2
    """Real balancers; half of them are called, the rest are the fair comparison with hollow ones."""
    hosts: int = 2
    """Processes that hold the hollow ones."""
    instances: int = 2
    services: int = 1
    zones: int = 12
    lists: str = "whole"
    subset_size: int = 0
    """By interest: servers of each service that are held in each zone at the least; 0 for all."""
    shared_reading: bool = False
    """Hollow balancers of a host read an answer that they all get only once: for sizes that one machine
    can't read for all. Their processor time is then too small, and real ones tell it alone."""
    start_s: float = 0.0
    """All start at once, or spread over so long, where the machine can't take that."""
    steps: tuple[str, ...] = DEFAULT_STEPS
    seed: int = 1
    defect: str = ""
    lease_s: float = 10.0
    quiet_s: float = 20.0
    changes: int = 60
    changes_per_s: float = 3.0
    away_s: float = 30.0
    settle_s: float = 8.0
    """After each step, part of it; who is stale then is counted."""
    convergence_timeout_s: float = 0.0
    """So long past that, who is stale or untold is waited for: for checks on a machine of any speed."""
    calls_per_s: float = 20.0
    """At each real balancer that is called."""

    def check(self) -> None:
        """PlanError if it can't be carried out."""
        if unknown := [step for step in self.steps if step not in STEPS]:
            raise PlanError(f"no step {unknown[0]!r}; there are {', '.join(STEPS)}")
        if self.defect and self.defect not in SCALE_DEFECTS:
            raise PlanError(f"no defect {self.defect!r}; there are {', '.join(SCALE_DEFECTS)}")
        if self.lists not in MECHANISMS:
            raise PlanError(f"no lists {self.lists!r}; there are {', '.join(MECHANISMS)}")
        if self.lists == "interest" and self.shared_reading:
            raise PlanError("shared_reading: by interest no two balancers get the same answer")
        if not self.steps or self.steps[0] != "start":
            raise PlanError("steps: the first is start")
        if not 0 <= self.hollow <= self.balancers - self.real:
            raise PlanError(f"hollow: {self.hollow}; allowed: 0 to {self.balancers - self.real}")
        if not 1 <= self.instances <= 8:
            raise PlanError(f"instances: {self.instances}; allowed: 1 to 8")
        if self.hosts + self.instances + self.real + 2 > MAX_PROCESSES:
            raise PlanError(f"more than {MAX_PROCESSES} processes")
        if self.changes * 2 > self.balancers:
            raise PlanError(f"changes: {self.changes}; allowed: half of the upstreams at the most")

    def hollow_numbers(self) -> list[int]:
        """The numbers of the hollow balancers, spread over the tier."""
        room = self.balancers - self.real
        return [place * room // max(self.hollow, 1) for place in range(self.hollow)]

    def real_numbers(self) -> list[int]:
        """The numbers of the real ones."""
        return list(range(self.balancers - self.real, self.balancers))

    def is_called(self, number: int) -> bool:
        """Whether a real balancer gets calls: half of them, of either kind some at each of two instances."""
        return (self.balancers - 1 - number) % 4 in (1, 2)

    def zone(self, number: int) -> str:
        """The zone of an upstream and its balancer."""
        return f"z{number % self.zones}"

    def rack(self, zone: int) -> list[int]:
        """The upstreams of the first rack of a zone."""
        return list(range(zone, self.balancers, self.zones))[:RACK_SIZE]

    def service(self, number: int) -> int:
        """The service of an upstream, by its number: the first one is a large one."""
        first = round(self.balancers * FIRST_SERVICE_FRACTION) if self.services > 1 else self.balancers
        return 0 if number < first else 1 + number % (self.services - 1)

    def tier(self, number: int) -> str:
        """Where an upstream stands on the list: in its service, or with all."""
        return f"v{self.service(number)}" if self.lists == "interest" else "first"

    def subscribed_tiers(self, number: int) -> list[str]:
        """The tiers that a balancer asks for."""
        return [f"v{one}" for one in self.called_services(number)] if self.lists == "interest" else ["first"]

    def mean_list_size(self) -> float:
        """Upstreams on a hollow balancer's list, on average; a part is not taken off."""
        sizes = Counter(self.tier(number) for number in range(self.balancers))
        held = [
            sum(sizes[tier] for tier in self.subscribed_tiers(number)) for number in self.hollow_numbers()
        ]
        return sum(held) / len(held) if held else 0.0

    def called_services(self, number: int) -> list[int]:
        """The services that a balancer calls: one in ten balancers calls the first."""
        others = range(1, self.services)
        chance = random.Random(f"{self.seed}/{number}")
        drawn = chance.sample(others, min(CALLED_SERVICES, len(others)))
        return sorted([0, *drawn] if number % 10 == 0 or not drawn else drawn)


def upstream_name(number: int) -> str:
    """An upstream's name."""
    return f"s{number}"


def upstream_number(name: str) -> int:
    """Its number again."""
    return int(name.removeprefix("s"))


def registration(plan: Plan, number: int, address: str, since_ms: float) -> dict[str, Any]:
    """What an upstream tells the list service of itself."""
    return {
        "address": address, "zone": plan.zone(number), "type": "m", "weight": 4.0, "tier": plan.tier(number),
        "since_ms": since_ms, "lease_ms": plan.lease_s * 1_000,
    }  # fmt: skip


def list_settings(plan: Plan, number: int, ways: list[str]) -> dict[str, Any]:
    """How one balancer asks the list service: the one place that knows the mechanism (`Plan.lists`)."""
    lists: dict[str, Any] = {"others": ways[1:]}
    if plan.lists == "interest":
        lists |= {"services": plan.subscribed_tiers(number)} | (
            {"part": plan.subset_size} if plan.subset_size else {}
        )
    return {"discovery": ways[0], "lists": lists}


def balancer_config(plan: Plan, number: int, ways: list[str], listen: str) -> dict[str, Any]:
    """A balancer's configuration in the platform's form, for real and hollow ones alike.

    `ways` are the instances' addresses as this balancer reaches them.
    """
    seed = hashlib.blake2b(f"{plan.seed}/{number}".encode(), digest_size=7).hexdigest()
    settings = {
        "classes": CLASSES, "balancers": plan.balancers, "myNumber": number, "tier": 0, "discovery": "ask",
        "zone": plan.zone(number), "tick": 2.0,
        "limits": {
            "attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 250.0, "mayCancel": True,
            "retryAfter": True, "maxRetryAfter": 2_000.0,
        },
        "contract": {
            "drainGrace": 3_000.0, "askWithin": 10_000.0, "coldFrom": 0.3, "cold": 10_000.0,
            "overloadFactor": 2.0, "tipAfter": 1_000.0,
        },
    }  # fmt: skip
    told = {
        "name": f"b{number}", "listen": listen, "seed": seed, "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    }  # fmt: skip
    return told | list_settings(plan, number, ways)
