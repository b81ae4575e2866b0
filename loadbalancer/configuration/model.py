"""The model of a configuration: its keys, with units, bounds and defaults.

The fields are named by the keys of the platform's JSON, since they are the keys; `net/config_reader.py` and
`wire.py` map them to the field's terms. The doc comments of tables are part of the published JSON Schema.
A duration is a number of milliseconds, or a text with a unit: "250ms", "1.5s", "2m".
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
    """When an answer should be there."""
    deadline: Duration
    """When it must be."""
    effect: Literal["retryable", "dedup", "fragile"]
    """Safe to repeat, dropped by servers when repeated, or never to be repeated."""
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
    """Whether balancers may send one another notes."""
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
    # The platform tells these too; no balancer uses them.
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
    """Further instances that hold the same list."""
    tier: str = ""
    """The tier that is asked for; empty for the service's first."""
    doubt: Annotated[float, Meta(gt=0, le=1)] = DEFAULT_SUSPECT_STALE_FRACTION
    """A whole list that leaves out more than this part of the ready servers is doubted."""
    services: tuple[ServiceName, ...] = ()
    """What is asked for in place of a tier, where the service knows interests; several are one pool."""
    part: Annotated[int, Meta(ge=0, le=MAX_SUBSET_SIZE)] = 0
    """Servers of each service that are held in each zone at the least; 0 for all."""


class Machine(Table, frozen=True, forbid_unknown_fields=True):
    """What the balancer's machine gives it."""

    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0)] = 192.0
    sockets: Annotated[int, Meta(ge=16)] = 1024


class Configuration(Table, frozen=True, forbid_unknown_fields=True):
    """All that a balancer is told at its start."""

    listen: Address
    """Where clients come."""
    discovery: Address
    """Where the list of servers is asked for."""
    settings: Settings
    name: str = ""
    console: AddressOrNone = ""
    """Where operators call; empty for nowhere."""
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]+$")] = "0"
    limits: Machine = Machine()
    known: Known = Known()
    membership: bool = False
    """Whether to tell the tier's other balancers who is there, where the settings allow notes."""
    peers: tuple[Address, ...] = ()
    """One for each balancer of the tier, by their numbers."""
    peers_all: AddressOrNone = ""
    peer_listen: AddressOrNone = ""
    snapshots: str = ""
    """A folder in which what was learned is kept over a restart; empty for none."""
    snapshotEvery: Duration = 10_000.0
    lists: ListService | None = None
    """Where the list is a service of one's own; left out for the platform's."""


def schema() -> dict[str, Any]:
    """The JSON Schema of a configuration."""
    return msgspec.json.schema(Configuration)
