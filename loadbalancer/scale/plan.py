"""The plan of a scale run: sizes, steps, and the configuration of each balancer and each upstream."""

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
FIRST_SERVICE_FRACTION = 0.1  # of the upstreams; the other services are of equal size
CALLED_SERVICES = 8  # services that a balancer calls
MECHANISMS = ("whole", "interest")
RACK_SIZE = 40  # upstreams that fail with a rack
MAX_PROCESSES = 300  # so that a mistyped plan does not fill the machine
MAX_MEMORY_FRACTION = 0.5  # of this machine's memory: other work runs on it too
MAX_INSTANCES = 8
CLASSES = [{"name": "plain", "target": 100.0, "deadline": 1_000.0, "effect": "retryable", "worth": 1.0}]


class PlanError(ValueError):
    """A plan that can't be carried out; the message is one line."""


class Plan(
    msgspec.Struct, frozen=True, kw_only=True,
    rename={"defect": "plant", "subset_size": "part", "convergence_timeout_s": "patience_s"},
):  # fmt: skip
    """A scale run; times in seconds."""

    balancers: int
    """The size of the run: upstreams on the list, each with its balancer."""
    hollow: int
    """Hollow balancers that run; fewer than the size if the machine can't hold all."""
    real: int = 2
    """Real balancers; half get calls; the rest, without calls, are the fair comparison with hollow ones."""
    hosts: int = 2
    """Processes that run the hollow balancers."""
    instances: int = 2
    services: int = 1
    zones: int = 12
    lists: str = "whole"
    subset_size: int = 0
    """With lists by interest: least number of servers held of each service and zone; 0 for all."""
    shared_reading: bool = False
    """Hollow balancers of a host decode an identical answer only once, for sizes at which one machine
    can't decode it for each. Their processor time is then too low: use that of the real ones."""
    start_s: float = 0.0
    """Time over which all start; 0 for at once, if the machine can take that."""
    steps: tuple[str, ...] = DEFAULT_STEPS
    seed: int = 1
    defect: str = ""
    lease_s: float = 10.0
    quiet_s: float = 20.0
    changes: int = 60
    changes_per_s: float = 3.0
    away_s: float = 30.0
    settle_s: float = 8.0
    """Time to settle at the end of each step, part of it; then stale balancers are counted."""
    convergence_timeout_s: float = 0.0
    """Further wait for balancers that are stale or miss a change, so that slow machines pass too."""
    calls_per_s: float = 20.0
    """At each real balancer that gets calls."""

    def check(self) -> None:
        """Raise PlanError if the plan can't be carried out."""
        if unknown := [step for step in self.steps if step not in STEPS]:
            raise PlanError(f"no step {unknown[0]!r}; there are {', '.join(STEPS)}")
        if self.defect and self.defect not in SCALE_DEFECTS:
            raise PlanError(f"no defect {self.defect!r}; there are {', '.join(SCALE_DEFECTS)}")
        if self.lists not in MECHANISMS:
            raise PlanError(f"no lists {self.lists!r}; there are {', '.join(MECHANISMS)}")
        if self.lists == "interest" and self.shared_reading:
            raise PlanError("shared_reading: by interest no two balancers get the same answer")
        if not self.steps or self.steps[0] != "start":
            raise PlanError("steps: the first must be start")
        if not 0 <= self.hollow <= self.balancers - self.real:
            raise PlanError(f"hollow: {self.hollow}; allowed: 0 to {self.balancers - self.real}")
        if not 1 <= self.instances <= MAX_INSTANCES:
            raise PlanError(f"instances: {self.instances}; allowed: 1 to {MAX_INSTANCES}")
        if self.hosts + self.instances + self.real + 2 > MAX_PROCESSES:
            raise PlanError(f"more than {MAX_PROCESSES} processes")
        if self.changes * 2 > self.balancers:
            raise PlanError(f"changes: {self.changes}; allowed: at most half of the upstreams")

    def hollow_numbers(self) -> list[int]:
        """Return the numbers of the hollow balancers, spread over the tier."""
        available = self.balancers - self.real
        return [index * available // max(self.hollow, 1) for index in range(self.hollow)]

    def real_numbers(self) -> list[int]:
        """Return the numbers of the real balancers."""
        return list(range(self.balancers - self.real, self.balancers))

    def is_called(self, number: int) -> bool:
        """Return whether a real balancer gets calls: half do, divided between two instances."""
        return (self.balancers - 1 - number) % 4 in (1, 2)

    def zone(self, number: int) -> str:
        """Return the zone of an upstream and its balancer."""
        return f"z{number % self.zones}"

    def rack(self, zone: int) -> list[int]:
        """Return the upstreams of the first rack of a zone."""
        return list(range(zone, self.balancers, self.zones))[:RACK_SIZE]

    def service(self, number: int) -> int:
        """Return the service of an upstream; the first service is a large one."""
        first = round(self.balancers * FIRST_SERVICE_FRACTION) if self.services > 1 else self.balancers
        return 0 if number < first else 1 + number % (self.services - 1)

    def tier(self, number: int) -> str:
        """Return the tier that lists an upstream: that of its service, or one for all."""
        return f"v{self.service(number)}" if self.lists == "interest" else "first"

    def subscribed_tiers(self, number: int) -> list[str]:
        """Return the tiers that a balancer subscribes to."""
        if self.lists != "interest":
            return ["first"]
        return [f"v{service}" for service in self.called_services(number)]

    def mean_list_size(self) -> float:
        """Return the mean number of upstreams on a hollow balancer's list, without regard to subsets."""
        sizes = Counter(self.tier(number) for number in range(self.balancers))
        list_sizes = [
            sum(sizes[tier] for tier in self.subscribed_tiers(number)) for number in self.hollow_numbers()
        ]
        return sum(list_sizes) / len(list_sizes) if list_sizes else 0.0

    def called_services(self, number: int) -> list[int]:
        """Return the services that a balancer calls: one in ten balancers calls the first."""
        others = range(1, self.services)
        rng = random.Random(f"{self.seed}/{number}")
        drawn = rng.sample(others, min(CALLED_SERVICES, len(others)))
        return sorted([0, *drawn] if number % 10 == 0 or not drawn else drawn)


def upstream_name(number: int) -> str:
    """Return an upstream's name."""
    return f"s{number}"


def upstream_number(name: str) -> int:
    """Return the number of an upstream's name."""
    return int(name.removeprefix("s"))


def registration(plan: Plan, number: int, address: str, started_at_ms: float) -> dict[str, Any]:
    """Return the body of an upstream's registration."""
    return {
        "address": address, "zone": plan.zone(number), "type": "m", "weight": 4.0, "tier": plan.tier(number),
        "since_ms": started_at_ms, "lease_ms": plan.lease_s * 1_000,
    }  # fmt: skip


def list_settings(plan: Plan, number: int, instance_addresses: list[str]) -> dict[str, Any]:
    """Return a balancer's list settings: the only place that depends on the mechanism (`Plan.lists`)."""
    lists: dict[str, Any] = {"others": instance_addresses[1:]}
    if plan.lists == "interest":
        lists["services"] = plan.subscribed_tiers(number)
        if plan.subset_size:
            lists["part"] = plan.subset_size
    return {"discovery": instance_addresses[0], "lists": lists}


def balancer_config(plan: Plan, number: int, instance_addresses: list[str], listen: str) -> dict[str, Any]:
    """Return a balancer's configuration as the platform writes it, the same for real and hollow ones.

    `instance_addresses` are those at which this balancer reaches the registry's instances.
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
    config = {
        "name": f"b{number}", "listen": listen, "seed": seed, "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    }  # fmt: skip
    return config | list_settings(plan, number, instance_addresses)
