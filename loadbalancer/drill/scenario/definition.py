"""What a drill is: processes, load, a timeline of faults, and checks with their bounds, in TOML.

A step comes so many requests after the one before (`after`), not so many seconds: on a busy machine all
that happens shifts together. The keys, their units and defaults are the fields of the classes here.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from loadbalancer.drill.links.tcp import Fault

EFFECTS = ("safe", "unsafe")
STATES = ("alive", "gone", "left")
MEMORIES = ("kept", "lost", "old")
FOLDERS = ("own", "full", "read-only")
DIRECTIONS = ("both", "there", "back")
LIST_STATES = {
    "down": "every call is refused",
    "up": "no longer down",
    "stale": "it tells the list as it was at the start, at version 1",
    "empty": "whole lists hold nobody",
    "halved": "whole lists leave out every other server",
    "failing": "every call gets 503",
    "garbled": "answers are no lists",
    "frozen": "watches are answered, and nothing ever changes",
    "fresh": "it tells the truth again",
}


class ScriptError(ValueError):
    """A drill that can't be used: one line that names file, key and what is allowed."""


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table in which no unknown key may stand."""


class Fleet(Part, frozen=True, forbid_unknown_fields=True):
    """How many of what. Balancers are b0, b1, ...; servers s0, ...; those that they call, t0, ..."""

    balancers: int = 2
    servers: int = 4
    inner: int = 0  # servers of the second tier; with some, each first-tier server has a balancer s0.b, ...
    zones: tuple[str, ...] = ("east", "west")
    peers: bool = False  # whether balancers of the first tier tell one another who is there
    directory: bool = False  # whether the list is the real service, in which servers hold leases
    instances: int = 1  # of it: directory, directory1, ..., which balancers reach as list, list1, ...
    doubt: bool = False  # whether balancers know of all instances, and doubt lists: the table `lists`
    interests: bool = False  # whether balancers ask for their service by name: `lists.services`
    part: int = 0  # and for a part of it: `lists.part`
    lease_s: float = 3.0
    snapshots: bool = False  # whether balancers keep what they learned, every half second
    folders: str = "own"  # what balancers find in $TMPDIR: `own`, or one that is `full` or `read-only`


class Model(Part, frozen=True, forbid_unknown_fields=True):
    """What every server is; see `loadbalancer.simulation.servers`."""

    cores: int = 4
    speed: float = 1.0
    slots: int = 64
    queue: int = 200
    cold_from: float = 0.4
    cold_s: float = 3.0


class Version(Part, frozen=True, forbid_unknown_fields=True):
    """What a version of a server does worse than it should."""

    slower: float = 1.0
    fails: dict[str, float] = {}  # the share of each class that it answers with 500
    leak_ms: float = 0.0  # more work for each request that it has served
    fails_past: int = 0  # calls held, from which on all fail; 0 for never
    ready: bool = True  # whether its health check ever says so


class Class(Part, frozen=True, forbid_unknown_fields=True):
    """A class of requests."""

    name: str
    share: float
    work_ms: float
    aim_ms: float
    deadline_ms: float
    effect: str = "safe"
    worth: float = 1.0


CLASSES = (
    Class("map", 0.5, 12.0, 400.0, 2_000.0),
    Class("ride", 0.3, 25.0, 1_000.0, 2_500.0),
    Class("unlock", 0.2, 25.0, 1_200.0, 4_000.0, "unsafe", 10.0),
)


class Load(Part, frozen=True, forbid_unknown_fields=True):
    """What clients ask for: requests that come whether or not earlier ones were answered."""

    rate: float = 120.0  # first tries a second
    requests: int = 1_500  # first tries of the whole drill
    retries: int = 2
    backoff_ms: float = 20.0
    heed: float = 1.0  # the share of clients that wait as Retry-After says
    classes: tuple[Class, ...] = CLASSES


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="do"):
    """Something that is done `after` so many more first tries than the step before."""

    after: int = 0


class Kill(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="kill"):
    """SIGKILL. What stands beside a server dies with it."""

    who: str


class Term(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="term"):
    """SIGTERM."""

    who: str


class Stop(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="stop"):
    """SIGSTOP, and SIGCONT `for_s` later: a process that is there and does nothing."""

    who: str
    for_s: float = 3.0


class Start(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="start"):
    """Start a process that has ended, of another version or from another folder if told."""

    who: str
    version: str = ""
    folder: str = ""
    memory: str = "kept"  # of the list service: `kept`, `lost`, or `old`, as it was when the load began


class Drain(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="drain"):
    """The list shows a server as terminating."""

    who: str


class Remove(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="remove"):
    """The list shows a server no more, and it gets SIGTERM if it still runs."""

    who: str


class Behave(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="behave"):
    """Change what a server does from now on."""

    who: str
    slower: float = 1.0
    fails: float = 0.0  # the share of all requests that it answers with 500
    paused: bool = False


class Break(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="break"):
    """Set a fault on links, under a name by which it is lifted."""

    name: str
    link: str  # such as `b0>s1`; `*` stands for any
    fault: Fault
    direction: str = "both"


class Lift(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="lift"):
    """Lift a fault."""

    name: str


class List(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="list"):
    """Change what the list service does: see `LIST_STATES`."""

    state: str
    who: str = "list"


class Pin(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="pin"):
    """Operators pin a server at one instance of the real list service: a write that says nothing else."""

    who: str
    at: str = "directory"


class Cordon(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="cordon"):
    """Operators take a server out at every balancer of its tier, or put it back."""

    who: str
    out: bool = True


class Zone(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="zone"):
    """Operators have all first-tier balancers leave a zone, or come back to it, over a time."""

    zone: str
    out: bool = True
    over_s: float = 2.0


class Replace(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="replace"):
    """Replace a balancer's process under load, by the console's way; from another folder if told."""

    who: str
    folder: str = ""


class Expect(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="expect"):
    """Wait until all balancers that run believe this of one of them: `alive`, `gone` or `left`."""

    who: str
    state: str
    within_s: float = 5.0  # the bound of the check `views`
    by: str = "b*"  # by whom


class Stranger(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="stranger"):
    """Garbage from somebody who is no balancer, and forged notes, to every balancer."""

    notes: int = 200


class Surge(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, tag="surge"):
    """Clients ask at another rate, with other retries, from now on."""

    rate: float
    retries: int = 2
    backoff_ms: float = 20.0


Steps = (
    Kill
    | Term
    | Stop
    | Start
    | Drain
    | Remove
    | Behave
    | Break
    | Lift
    | List
    | Cordon
    | Pin
    | Zone
    | Replace
    | Surge
    | Expect
    | Stranger
)


class Bounds(Part, frozen=True, forbid_unknown_fields=True):
    """What must hold. Shares are of first tries, by count."""

    served: float = 0.98  # at least this share, over the whole drill
    back_s: float = 8.0  # after each fault and its end, within 5% of the share before the first
    back_share: float = 0.05
    lost: int = 0  # requests with no whole answer, beyond those of balancers that were killed or stopped
    late: float = 0.02  # at most this share of answers past the caller's time
    attempts: float = 1.5  # for each request that a balancer took
    turns: int = 100  # of any zone's part of all calls, by the second
    asked: int = 20  # calls of one balancer for the list within a second, at most
    heard_s: float = 0.0  # every drain and removal is told to all balancers within so long; 0: not looked at
    drain_s: float = 1.0  # after which nothing is sent to a server that drains; the balancers' grace
    slack_s: float = 0.5  # more, for a machine that is busy
    cold_multiple: float = 2.5  # of a cold server's capacity, over `cold_window_s`
    cold_window_s: float = 2.0
    crossed: float = 1.0  # at most this share of calls goes to another zone


class Script(Part, frozen=True, forbid_unknown_fields=True):
    """A whole drill."""

    title: str = ""
    fleet: Fleet = Fleet()
    server: Model = Model()
    versions: dict[str, Version] = {}
    load: Load = Load()
    step: tuple[Steps, ...] = ()
    bounds: Bounds = Bounds()


def _allowed(where: str) -> str:
    """The keys that may stand at a place such as `$.fleet` or `$.step[...]`."""
    kind: Any = Script
    for name in [s for s in re.split(r"[.\[\]]+", where.removeprefix("$")) if s and s != "..."]:
        if kind is Script and name == "step":
            return "do, after and the keys of that step: see loadbalancer/drill/scenario/definition.py"
        if not hasattr(kind, "__struct_fields__"):
            break
        kind = next((f.type for f in msgspec.structs.fields(kind) if f.name == name), kind)
        kind = getattr(kind, "__args__", (kind,))[-1 if "dict" in str(kind) else 0]
    return ", ".join(kind.__struct_fields__) if hasattr(kind, "__struct_fields__") else ""


def parse(text: str, name: str = "drill") -> Script:
    """A drill from TOML; ScriptError tells in one line what is wrong where, and what is allowed."""
    try:
        script = msgspec.convert(tomllib.loads(text), type=Script)
    except tomllib.TOMLDecodeError as error:
        raise ScriptError(f"{name}: not TOML: {error}") from None
    except msgspec.ValidationError as error:
        told, _, where = str(error).partition(" - at `")
        place = where.rstrip("`") or "$"
        hint = f"; allowed: {_allowed(place)}" if "unknown field" in told else ""
        raise ScriptError(f"{name}: {place.removeprefix('$.')}: {told}{hint}") from None
    if trouble := _trouble(script):
        raise ScriptError(f"{name}: {trouble}")
    return script


def _trouble(script: Script) -> str:
    """What can't be played, in a line; empty if all can."""
    fleet, load = script.fleet, script.load
    for key, value, least in (
        ("fleet.balancers", fleet.balancers, 1),
        ("fleet.servers", fleet.servers, 1),
        ("fleet.inner", fleet.inner, 0),
        ("fleet.zones", len(fleet.zones), 1),
        ("fleet.instances", fleet.instances, 1),
        ("load.requests", load.requests, 1),
        ("load.classes", len(load.classes), 1),
    ):
        if not least <= value <= 100_000:
            return f"{key}: {value}; allowed: {least} or more"
    if fleet.instances > 1 and not (fleet.directory and fleet.doubt):
        return "fleet.instances: several need fleet.directory, and fleet.doubt for balancers to know of them"
    if (fleet.interests or fleet.part) and not (fleet.directory and fleet.doubt):
        return "fleet.interests: needs fleet.directory and fleet.doubt"
    if fleet.part and not fleet.interests:
        return f"fleet.part: {fleet.part}; allowed: only with fleet.interests"
    if fleet.folders not in FOLDERS:
        return f"fleet.folders: {fleet.folders!r}; allowed: {', '.join(FOLDERS)}"
    if not 0 < load.rate <= 10_000:
        return f"load.rate: {load.rate}; allowed: above 0, at most 10,000 a second"
    for item in load.classes:
        if item.effect not in EFFECTS:
            return f"load.classes: {item.name}: effect {item.effect!r}; allowed: {', '.join(EFFECTS)}"
        if item.deadline_ms <= 0 or item.work_ms <= 0 or item.share < 0:
            return f"load.classes: {item.name}: times must be above 0, the share 0 or more"
    if sum(item.share for item in load.classes) <= 0:
        return "load.classes: no class has a share"
    asked = 0
    for number, step in enumerate(script.step):
        asked += step.after
        if step.after < 0 or asked > load.requests:
            return f"step[{number}].after: {step.after}; all together may come to {load.requests} at most"
        if isinstance(step, Break) and step.direction not in DIRECTIONS:
            return f"step[{number}].direction: {step.direction!r}; allowed: {', '.join(DIRECTIONS)}"
        if isinstance(step, List) and step.state not in LIST_STATES:
            return f"step[{number}].state: {step.state!r}; allowed: {', '.join(LIST_STATES)}"
        if isinstance(step, Zone) and step.zone not in fleet.zones:
            return f"step[{number}].zone: {step.zone!r}; allowed: {', '.join(fleet.zones)}"
        if isinstance(step, Pin) and step.at not in services(fleet):
            return f"step[{number}].at: {step.at!r}; allowed: {', '.join(services(fleet))}"
        if isinstance(step, Expect | Stranger) and not fleet.peers:
            return f"step[{number}].do: fleet.peers is off, and there is nothing to look at"
        if isinstance(step, Expect) and step.state not in STATES:
            return f"step[{number}].state: {step.state!r}; allowed: {', '.join(STATES)}"
        if isinstance(step, Start) and step.memory not in MEMORIES:
            return f"step[{number}].memory: {step.memory!r}; allowed: {', '.join(MEMORIES)}"
        if isinstance(step, List) and fleet.directory and step.state == "stale":
            return f"step[{number}].state: {step.state!r}; the real service has no such fault"
        if isinstance(step, Start) and step.version and step.version not in script.versions:
            known = ", ".join(script.versions) or "none"
            return f"step[{number}].version: {step.version!r}; the versions are: {known}"
        who = getattr(step, "who", None)
        if who is not None and who not in names(script):
            return f"step[{number}].who: {who!r}; allowed: {', '.join(names(script))}"
    return ""


def names(script: Script) -> list[str]:
    """The processes that a step may name."""
    fleet = script.fleet
    first = [f"s{i}" for i in range(fleet.servers)]
    beside = [f"{name}.b" for name in first] if fleet.inner else []
    fronts = [f"b{i}" for i in range(fleet.balancers)]
    return [*fronts, *first, *beside, *[f"t{i}" for i in range(fleet.inner)], *services(fleet)]


def services(fleet: Fleet) -> list[str]:
    """The stand-ins for discovery, and the instances of the real service behind them."""
    kinds = ("list", "directory") if fleet.directory else ("list",)
    return [f"{kind}{number or ''}" for kind in kinds for number in range(fleet.instances)]


def load(path: Path) -> Script:
    """A drill from a file; ScriptError if it can't be read or used."""
    try:
        return parse(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise ScriptError(f"{path}: can't be read: {error}") from None
