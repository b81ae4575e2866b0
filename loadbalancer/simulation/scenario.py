"""Scenarios as ranges of values in TOML, and the values drawn from them for a play.

Every value is a number or a pair `[lowest, highest]`, from which each play draws its own. Times are in ms
unless the name ends in `_s`. Defaults follow the operators' fleet; a file needs to name what differs.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

Range = float | tuple[float, float]
FAULT_KINDS = (
    "burst",
    "slow",
    "errors",
    "pauses",
    "replace",
    "zone_loss",
    "cut",
    "discovery_down",
    "balancers",
)


class ScenarioError(ValueError):
    """An unusable scenario; the message is one line that names file, key and allowed values."""


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of a scenario; unknown keys are rejected."""


class Load(Table, frozen=True, forbid_unknown_fields=True):
    """The offered load, as a fraction of the fleet's capacity."""

    seconds: Range = 30.0
    of_capacity: Range = (0.6, 0.7)
    swing: Range = (0.16, 0.37)  # amplitude of the sine wave over a play, as a fraction of the mean
    zone_skew: Range = (0.0, 0.15)


class Fleet(Table, frozen=True, forbid_unknown_fields=True):
    """The numbers of servers and balancers, and the zones."""

    servers: Range = (9.0, 12.0)
    balancers: Range = (2.0, 3.0)
    inner_per_server: Range = (2.0, 2.4)
    zones: tuple[str, ...] = ("zagreb-dc", "split-dc")


class Tier(Table, frozen=True, forbid_unknown_fields=True):
    """The servers of a tier; speeds are relative to the standard core."""

    work: Range = 0.54  # fraction of a class's work that is done in this tier
    calls: Range = 0.0  # to the next tier for each request, one after another
    cores: tuple[int, ...] = (1, 2)
    core_parts: tuple[float, ...] = (0.41, 0.59)
    speed: tuple[Range, ...] = ((0.85, 1.1), (0.64, 0.86))
    speed_cv: Range = (0.03, 0.25)
    slots_per_core: Range = (9.0, 22.0)
    queue_per_core: Range = (210.0, 800.0)
    thrash: Range = (0.12, 0.25)
    thrash_at: Range = (41.0, 62.0)
    error_rate: Range = (0.0, 0.002)
    cold_from: Range = (0.32, 0.57)
    cold_s: Range = (3.2, 8.7)
    connections_per_core: Range = (600.0, 900.0)


class First(Tier, frozen=True, forbid_unknown_fields=True):
    """The tier that the front balancers send to."""

    calls: Range = (1.5, 2.5)


class Inner(Tier, frozen=True, forbid_unknown_fields=True):
    """The tier that the first one calls: one request at a time on each core."""

    work: Range = 0.46
    cores: tuple[int, ...] = (1,)
    core_parts: tuple[float, ...] = (1.0,)
    speed: tuple[Range, ...] = ((0.85, 1.1),)
    slots_per_core: Range = 1.0
    thrash_at: Range = (9.4, 14.0)


class Choke(Table, frozen=True, forbid_unknown_fields=True):
    """Contention: more waiting requests per core than `at` for `over_s` make a server `slower`."""

    share: float = 0.6  # of plays that have it
    at: Range = (4.0, 7.0)
    over_s: Range = (1.5, 2.5)
    slower: Range = (2.4, 3.5)
    below: Range = (0.25, 0.4)  # waiting requests per core; recovery needs at most so many for `rest_s`
    rest_s: Range = (2.1, 4.1)
    most_s: Range = (16.0, 30.0)


class Network(Table, frozen=True, forbid_unknown_fields=True):
    """One-way delays, and the cost of connections."""

    same_ms: Range = (0.12, 0.35)
    cross_ms: Range = (2.8, 5.2)
    client_ms: Range = (0.23, 1.1)
    jitter: Range = (0.07, 0.28)
    handshake_rtts: Range = (1.0, 3.0)
    handshake_ms: Range = (1.4, 2.6)  # of the server's work
    idle_s: Range = 15.0
    connect_timeout_ms: Range = 120.0


class Discovery(Table, frozen=True, forbid_unknown_fields=True):
    """The endpoint list: its delays, and the calls per second that it answers."""

    notice_s: Range = (0.49, 3.8)
    silent_notice_s: Range = (5.6, 12.0)
    add_s: Range = (0.33, 1.6)
    calls_per_s: Range = (40.0, 60.0)
    timeout_ms: Range = 2_000.0


class Clients(Table, frozen=True, forbid_unknown_fields=True):
    """The behaviour of clients."""

    retries: Range = (3.0, 4.99)
    try_share: Range = (0.5, 0.6)  # of a class's deadline, after which an attempt times out
    backoff_ms: Range = (0.0, 2.0)
    honour: Range = (0.04, 0.26)  # fraction that honours Retry-After
    impatient: Range = (0.0, 0.02)  # fraction that disconnects after a tenth of its timeout
    notice_s: Range = (0.95, 3.6)  # after which no new attempt goes to a dead balancer


class Class(Table, frozen=True, forbid_unknown_fields=True):
    """A class of requests."""

    name: str
    share: Range
    work_ms: Range
    aim_ms: float
    deadline_ms: float
    cv: Range = (0.8, 1.4)
    worth: float = 1.0
    effect: str = "safe"


class Tenant(Table, frozen=True, forbid_unknown_fields=True):
    """A tenant; its quota is a fraction of the fleet's capacity."""

    name: str
    share: float
    usage: Range = 1.0


class Fault(Table, frozen=True, forbid_unknown_fields=True):
    """A fault or planned change; `part` is the fraction of servers, `size` its strength."""

    kind: str
    at_s: Range
    for_s: Range = 5.0
    part: Range = 0.1
    size: Range = 2.0
    zone: bool = False  # whether `part` is of the last zone's servers alone


class Goal(Table, frozen=True, forbid_unknown_fields=True):
    """The weights of the parts of the utility."""

    whole: float = 0.25
    worst_window: float = 0.15
    worst_class: float = 0.2
    worst_tenant: float = 0.4


class Prices(Table, frozen=True, forbid_unknown_fields=True):
    """Deductions from the utility per unit; `utility.Ledger` defines the units."""

    waste: float = 0.12
    late_fail: float = 0.059
    choke: float = 0.04
    cross_zone: float = 0.0061
    probe: float = 0.01


_CLASSES = (
    Class("karta", (0.38, 0.56), (38.0, 71.0), 400.0, 2_000.0),
    Class("voznja", (0.28, 0.42), (99.0, 170.0), 1_000.0, 2_500.0),
    Class("otkljucaj", (0.14, 0.22), (120.0, 210.0), 1_200.0, 4_000.0, worth=10.0, effect="unsafe"),
)
_TENANTS = (Tenant("grad-zagreb", 0.72, (0.78, 1.3)), Tenant("grad-split", 0.28, (0.52, 1.4)))


class Scenario(Table, frozen=True, forbid_unknown_fields=True):
    """The tables and keys of a scenario file."""

    title: str = ""
    load: Load = Load()
    fleet: Fleet = Fleet()
    tier: First = First()
    inner: Inner = Inner()
    choke: Choke = Choke()
    network: Network = Network()
    discovery: Discovery = Discovery()
    clients: Clients = Clients()
    classes: tuple[Class, ...] = _CLASSES
    tenants: tuple[Tenant, ...] = _TENANTS
    quota_of_capacity: Range = (0.7, 0.95)
    over_share_worth: float = 0.05
    trouble: tuple[Fault, ...] = ()
    goal: Goal = Goal()
    prices: Prices = Prices()


def _allowed(where: str) -> str:
    """Return the keys allowed at a path such as `$.tier` or `$.trouble[...]`."""
    kind: Any = Scenario
    for step in [s for s in re.split(r"[.\[\]]+", where.removeprefix("$")) if s and s != "..."]:
        kind = next(f.type for f in msgspec.structs.fields(kind) if f.name == step)
        kind = getattr(kind, "__args__", (kind,))[0]
    return ", ".join(f.name for f in msgspec.structs.fields(kind))


def parse(text: str, name: str = "scenario", changes: Iterable[tuple[list[str], Any]] = ()) -> Scenario:
    """Return the scenario of a TOML text, with changes (each a path of keys and its value) applied.

    Raises ScenarioError.
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: not TOML: {error}") from None
    for path, value in changes:
        table = tables
        for key in path[:-1]:
            table = table.setdefault(key, {})
            if not isinstance(table, dict):
                raise ScenarioError(f"{name}: {'.'.join(path)}: {key} is not a table")
        table[path[-1]] = value
    try:
        scenario = msgspec.convert(tables, type=Scenario)
    except msgspec.ValidationError as error:
        problem, _, where = str(error).partition(" - at `")
        place = where.rstrip("`") or "$"
        hint = f"; allowed: {_allowed(place)}" if "unknown field" in problem else ""
        raise ScenarioError(f"{name}: {place.removeprefix('$.')}: {problem}{hint}") from None
    for key, tier in (("tier", scenario.tier), ("inner", scenario.inner)):
        if not len(tier.cores) == len(tier.core_parts) == len(tier.speed):
            raise ScenarioError(f"{name}: {key}: cores, core_parts and speed must have the same length")
    for index, fault in enumerate(scenario.trouble):
        if fault.kind not in FAULT_KINDS:
            allowed = ", ".join(FAULT_KINDS)
            raise ScenarioError(f"{name}: trouble[{index}].kind: {fault.kind!r}; allowed: {allowed}")
    for item in scenario.classes:
        if item.effect not in ("safe", "unsafe"):
            raise ScenarioError(
                f"{name}: classes: {item.name}: effect {item.effect!r}; allowed: safe, unsafe"
            )
    return scenario


def load(path: Path, changes: Iterable[tuple[list[str], Any]] = ()) -> Scenario:
    """Return the scenario of a file; raises ScenarioError if it can't be read or is invalid."""
    try:
        return parse(path.read_text(encoding="utf-8"), str(path), changes)
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: can't be read: {error}") from None


@dataclass(frozen=True)
class DrawnScenario:
    """A scenario with a number drawn for each range, and the seed of its random streams."""

    scenario: Scenario
    seed: int

    def stream(self, part: str) -> np.random.Generator:
        """Return the random stream of one part of the model; the same name gives the same stream."""
        key = int.from_bytes(sha256(part.encode()).digest()[:8], "big")
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=(key,))))


def draw(scenario: Scenario, seed: int) -> DrawnScenario:
    """Draw a number for each range of a scenario."""
    rng = DrawnScenario(scenario, seed).stream("scenario")
    return DrawnScenario(_resolve_ranges(scenario, rng), seed)


def _resolve_ranges(value: Any, rng: np.random.Generator) -> Any:
    if isinstance(value, Table):
        unchanged = {"cores", "core_parts", "zones"}
        new = {
            f.name: (v if (f.name in unchanged) else _resolve_ranges(v, rng))
            for f, v in ((f, getattr(value, f.name)) for f in msgspec.structs.fields(type(value)))
        }
        return type(value)(**new)
    if isinstance(value, tuple):
        if len(value) == 2 and all(isinstance(v, int | float) for v in value):
            return float(rng.uniform(value[0], value[1]))
        return tuple(_resolve_ranges(v, rng) for v in value)
    return value


def drawn_value(value: Range) -> float:
    """Return a value of a drawn scenario as a number."""
    if isinstance(value, tuple):
        raise TypeError("a range from which no value was drawn")
    return float(value)
