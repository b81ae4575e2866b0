"""The tables of a scenario's TOML file: processes, servers, load, timeline, and the checks' bounds.

A step's `after` counts requests since the step before, not seconds, so that on a busy machine the steps
shift together with the load. Keys, units and defaults are the fields of the types here; where a key differs
from its field's name, `rename` has it.
"""

from __future__ import annotations

import msgspec

from loadbalancer.drill.scenario.steps import AnyStep


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table that rejects unknown keys."""


class FleetTable(
    Table, frozen=True,
    rename={
        "second_tier_servers": "inner", "has_membership": "peers", "uses_registry": "directory",
        "registry_instances": "instances", "validates_lists": "doubt", "subscribes_by_service": "interests",
        "subset_size": "part", "stores_snapshots": "snapshots", "temp_folder": "folders",
    },
):  # fmt: skip
    """The processes: balancers b0, b1, ...; servers s0, ...; servers of the second tier t0, ..."""

    balancers: int = 2
    servers: int = 4
    second_tier_servers: int = 0
    """If above 0, each first-tier server has a sidecar balancer: s0.b, ..."""
    zones: tuple[str, ...] = ("east", "west")
    has_membership: bool = False
    """Whether balancers of the first tier gossip about their membership."""
    uses_registry: bool = False
    """Whether the endpoint list comes from the real registry, in which servers hold leases."""
    registry_instances: int = 1
    """Instances directory, directory1, ..., which balancers reach as list, list1, ..."""
    validates_lists: bool = False
    """Whether balancers know all registry instances and quarantine lists that are suspected stale."""
    subscribes_by_service: bool = False
    """Whether balancers subscribe to their service by name: `lists.services`."""
    subset_size: int = 0
    """Servers of the service that a balancer subscribes to: `lists.part`; 0 for all."""
    lease_s: float = 3.0
    stores_snapshots: bool = False
    """Whether balancers store snapshots of their learned state, every half second."""
    temp_folder: str = "own"
    """The $TMPDIR of balancers: a folder of their `own`, or one that is `full` or `read-only`."""


class ServerModel(
    Table, frozen=True, rename={"initial_capacity": "cold_from", "warm_up_s": "cold_s"}
):  # fmt: skip
    """The model of every server; see `loadbalancer.simulation.servers`."""

    cores: int = 4
    speed: float = 1.0
    slots: int = 64
    queue: int = 200
    initial_capacity: float = 0.4
    """The fraction of its capacity that a server starts with."""
    warm_up_s: float = 3.0


class ServerVersion(
    Table, frozen=True,
    rename={
        "slowdown": "slower", "failure_rates": "fails", "fails_above_in_flight": "fails_past",
        "is_ready": "ready",
    },
):  # fmt: skip
    """How a version of a server misbehaves."""

    slowdown: float = 1.0
    failure_rates: dict[str, float] = {}
    """By class, the fraction of requests that it answers with 500."""
    leak_ms: float = 0.0
    """Additional work for each request that it has served."""
    fails_above_in_flight: int = 0
    """The number of requests in flight above which all fail; 0 for never."""
    is_ready: bool = True
    """Whether its health check ever passes."""


class RequestClass(
    Table,
    frozen=True,
    rename={"weight": "share", "latency_objective_ms": "aim_ms", "priority_weight": "worth"},
):
    """A class of requests; `weight` is its relative share among all classes."""

    name: str
    weight: float
    work_ms: float
    latency_objective_ms: float
    deadline_ms: float
    effect: str = "safe"
    priority_weight: float = 1.0


DEFAULT_CLASSES = (
    RequestClass("map", 0.5, 12.0, 400.0, 2_000.0),
    RequestClass("ride", 0.3, 25.0, 1_000.0, 2_500.0),
    RequestClass("unlock", 0.2, 25.0, 1_200.0, 4_000.0, "unsafe", 10.0),
)


class ClientLoad(Table, frozen=True, rename={"retry_after_compliance": "heed"}):
    """Open load: requests arrive whether or not earlier ones were answered."""

    rate: float = 120.0
    """First attempts per second."""
    requests: int = 1_500
    """First attempts in the whole drill."""
    retries: int = 2
    backoff_ms: float = 20.0
    persistent_connections: int = 0
    """Connections to each balancer, reused for request after request until the balancer closes them."""
    retry_after_compliance: float = 1.0
    """The fraction of clients that honour Retry-After."""
    classes: tuple[RequestClass, ...] = DEFAULT_CLASSES


class Bounds(
    Table, frozen=True,
    rename={
        "min_served": "served", "max_recovery_s": "back_s", "recovery_tolerance": "back_share",
        "max_lost": "lost", "max_late": "late", "max_attempts": "attempts", "max_direction_changes": "turns",
        "max_list_requests": "asked", "max_notification_s": "heard_s", "drain_grace_s": "drain_s",
        "scheduling_slack_s": "slack_s", "max_overload_factor": "cold_multiple",
        "overload_window_s": "cold_window_s", "max_cross_zone": "crossed",
    },
):  # fmt: skip
    """Bounds of the checks. Fractions are of first attempts, by count."""

    min_served: float = 0.98
    """The least fraction served over the whole drill."""
    max_recovery_s: float = 8.0
    """Time from a fault, or its end, until within `recovery_tolerance` of the fraction before the first."""
    recovery_tolerance: float = 0.05
    max_lost: int = 0
    """Requests without a complete answer, not counting those at balancers that were killed or stopped."""
    max_late: float = 0.02
    """The greatest fraction of answers after the caller's deadline."""
    max_attempts: float = 1.5
    """Attempts for each request that a balancer admitted."""
    max_direction_changes: int = 100
    """Direction changes of any zone's fraction of all calls, second by second."""
    max_list_requests: int = 20
    """Calls of one balancer for the endpoint list within a second."""
    max_notification_s: float = 0.0
    """The time within which every drain and removal reaches all balancers; 0: not checked."""
    drain_grace_s: float = 1.0
    """The balancers' own grace, after which nothing is sent to a draining server."""
    scheduling_slack_s: float = 0.5
    """Added to the grace for scheduling delays on a busy machine."""
    max_overload_factor: float = 2.5
    """Work relative to the capacity of a server that warms up, over `overload_window_s`."""
    overload_window_s: float = 2.0
    max_cross_zone: float = 1.0
    """The greatest fraction of calls to another zone."""


class DrillScenario(Table, frozen=True):
    """The whole scenario of a drill."""

    title: str = ""
    fleet: FleetTable = FleetTable()
    server: ServerModel = ServerModel()
    versions: dict[str, ServerVersion] = {}
    load: ClientLoad = ClientLoad()
    step: tuple[AnyStep, ...] = ()
    bounds: Bounds = Bounds()


def process_names(scenario: DrillScenario) -> list[str]:
    """Return the names of the processes that a step may target."""
    fleet = scenario.fleet
    first_tier = [f"s{i}" for i in range(fleet.servers)]
    sidecars = [f"{name}.b" for name in first_tier] if fleet.second_tier_servers else []
    balancers = [f"b{i}" for i in range(fleet.balancers)]
    second_tier = [f"t{i}" for i in range(fleet.second_tier_servers)]
    return [*balancers, *first_tier, *sidecars, *second_tier, *discovery_names(fleet)]


def discovery_names(fleet: FleetTable) -> list[str]:
    """Return the names of the endpoint list's test servers, and of the registry instances behind them."""
    kinds = ("list", "directory") if fleet.uses_registry else ("list",)
    return [f"{kind}{number or ''}" for kind in kinds for number in range(fleet.registry_instances)]
