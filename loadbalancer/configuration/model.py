"""The configuration model: keys with types, bounds and defaults.

Fields are named after the keys of the platform's JSON; `net/config_reader.py` and `wire.py` map them to the
names used in the program. The docstrings of tables are part of the published JSON Schema. A duration is a
number of milliseconds, or a string with a unit: "250ms", "1.5s", "2m".
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from loadbalancer.net.config import DEFAULT_SUSPECT_STALE_FRACTION, MAX_SUBSET_SIZE, SERVICE_NAME_PATTERN

DURATION = r"^[0-9]+(\.[0-9]+)?(ms|s|m)$"
Duration = Annotated[float, Meta(ge=0)] | Annotated[str, Meta(pattern=DURATION)]
ADDRESS = r"(\[[0-9a-fA-F:.]+\]|[0-9]{1,3}(\.[0-9]{1,3}){3}):[0-9]{1,5}"
Address = Annotated[str, Meta(pattern=f"^{ADDRESS}$", description="host:port")]
AddressOrNone = Annotated[str, Meta(pattern=f"^({ADDRESS})?$", description="host:port, or empty")]
ServiceName = Annotated[str, Meta(pattern=SERVICE_NAME_PATTERN.pattern)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Amount = Annotated[float, Meta(ge=0)]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table in which no unknown key may stand."""


class Class(Table, frozen=True, forbid_unknown_fields=True):
    """One class of requests, and what its callers want."""

    name: str
    target: Duration
    """The latency objective."""
    deadline: Duration
    """The time by which an answer is required."""
    effect: Literal["retryable", "dedup", "fragile"]
    """Idempotent, deduplicated by servers, or not to be repeated."""
    worth: Amount = 1.0
    lateShare: Fraction = 0.0
    keyScope: Literal["all", "zone", "cell"] = "all"
    repeatWindow: Duration = 0.0
    stream: bool = False
    aimStretch: Any = None
    keyed: Any = None


class Org(Table, frozen=True, forbid_unknown_fields=True):
    """A tenant, and the requests a second that it may expect of all balancers."""

    name: str
    quotaPerS: Amount
    portion: Any = None


class Limits(Table, frozen=True, forbid_unknown_fields=True):
    """What a balancer may do."""

    attemptsCap: Count = 1
    mayCancel: bool = False
    mayDuplicate: bool = False
    probes: bool = False
    retryAfter: bool = False
    maxRetryAfter: Duration = 0.0
    connIdle: Duration = 15_000.0
    connectTimeout: Duration = 250.0
    openCap: Any = None
    peers: bool = False
    """Whether balancers may exchange gossip messages."""
    streamsPerConn: Any = None
    cpuUsPerRequest: Any = None
    cpuUsPerS: Any = None


class Contract(Table, frozen=True, forbid_unknown_fields=True):
    """What a balancer owes its servers."""

    drainGrace: Duration = 0.0
    askWithin: Duration = 10_000.0
    graceToAnswer: Duration = 0.0
    cold: Duration = 0.0
    coldFrom: Annotated[float, Meta(gt=0, le=1)] = 1.0
    overloadFactor: Annotated[float, Meta(gt=0)] = 1.0
    tipAfter: Duration = 1_000.0


class Settings(Table, frozen=True, forbid_unknown_fields=True):
    """What all balancers of a tier are told alike, and what this one is among them."""

    classes: Annotated[tuple[Class, ...], Meta(min_length=1)]
    discovery: Literal["ask", "push"] = "push"
    balancers: Count = 1
    myNumber: Annotated[int, Meta(ge=0)] = 0
    tier: Annotated[int, Meta(ge=0)] = 0
    zone: str = ""
    orgs: tuple[Org, ...] = ()
    overShareWorth: Fraction = 1.0
    tick: Annotated[float, Meta(gt=0)] = 1.0
    limits: Limits = Limits()
    contract: Contract = Contract()
    # Also sent by the platform, but not used by balancers.
    azs: Any = None
    family: Any = None
    familyInfo: Any = None
    goal: Any = None
    kinds: Any = None
    prices: Any = None
    stages: Any = None
    telemetry: Any = None
    weights: Any = None
    worthBy: Any = None


class Endpoint(Table, frozen=True, forbid_unknown_fields=True):
    """A server, as discovery lists it."""

    name: str
    address: Address
    zone: str = ""
    type: str = ""
    group: int = 0
    status: Literal["in_service", "terminating", "terminated"] = "in_service"
    weight: Annotated[float, Meta(gt=0)] = 1.0
    since_ms: Amount = 0.0


class Known(Table, frozen=True, forbid_unknown_fields=True):
    """The list that a balancer starts with."""

    index: Annotated[int, Meta(ge=0)] = 0
    snapshot: bool = True
    endpoints: tuple[Endpoint, ...] = ()


class ListService(Table, frozen=True, forbid_unknown_fields=True):
    """How a list service of one's own is asked (docs/registry.md)."""

    others: tuple[Address, ...] = ()
    """Addresses of further instances with the same list."""
    tier: str = ""
    """The requested tier; empty for the service's first."""
    doubt: Annotated[float, Meta(gt=0, le=1)] = DEFAULT_SUSPECT_STALE_FRACTION
    """A full list that omits more than this fraction of the ready servers is suspected stale."""
    services: tuple[ServiceName, ...] = ()
    """Services requested in place of a tier if the service supports interests; several form one pool."""
    part: Annotated[int, Meta(ge=0, le=MAX_SUBSET_SIZE)] = 0
    """Minimum number of servers of each service held per zone; 0 for all."""


class Machine(Table, frozen=True, forbid_unknown_fields=True):
    """What the balancer's machine gives it."""

    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0)] = 192.0
    sockets: Annotated[int, Meta(ge=16)] = 1024


class Configuration(Table, frozen=True, forbid_unknown_fields=True):
    """All that a balancer is told at its start."""

    listen: Address
    """Listen address for clients."""
    discovery: Address
    """Address of the service that provides the endpoint list."""
    settings: Settings
    name: str = ""
    console: AddressOrNone = ""
    """Listen address of the console; empty to disable it."""
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]+$")] = "0"
    limits: Machine = Machine()
    known: Known = Known()
    membership: bool = False
    """Whether to gossip membership with the tier's other balancers, if the settings allow gossip."""
    peers: tuple[Address, ...] = ()
    """The addresses of all balancers of the tier, in the order of their numbers."""
    peers_all: AddressOrNone = ""
    peer_listen: AddressOrNone = ""
    snapshots: str = ""
    """Folder in which learned state is stored across restarts; empty for none."""
    snapshotEvery: Duration = 10_000.0
    lists: ListService | None = None
    """Settings of a self-hosted list service; omitted for the platform's."""


def schema() -> dict[str, Any]:
    """Return the JSON Schema of a configuration."""
    return msgspec.json.schema(Configuration)
