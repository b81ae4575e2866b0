"""Loading of scenarios from TOML, with one-line errors that say what is allowed."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from loadbalancer.drill.scenario import steps
from loadbalancer.drill.scenario.tables import (
    ClientLoad,
    DrillScenario,
    FleetTable,
    discovery_names,
    process_names,
)

REQUEST_EFFECTS = ("safe", "unsafe")
MEMBER_STATES = ("alive", "gone", "left")
REGISTRY_MEMORIES = ("kept", "lost", "old")
TEMP_FOLDERS = ("own", "full", "read-only")
LINK_DIRECTIONS = ("both", "there", "back")
MAX_COUNT = 100_000  # of anything in a scenario: more is a typing error
MAX_RATE_PER_S = 10_000  # what one client process can send


class DrillScenarioError(ValueError):
    """An invalid scenario; the message is one line that names file, key and what is allowed."""


def load_scenario(path: Path) -> DrillScenario:
    """Read a scenario from a file; DrillScenarioError if it can't be read or is invalid."""
    try:
        return parse_scenario(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise DrillScenarioError(f"{path}: can't be read: {error}") from error


def parse_scenario(text: str, name: str = "drill") -> DrillScenario:
    """Parse a scenario from TOML; DrillScenarioError says what is wrong where, and what is allowed."""
    try:
        scenario = msgspec.convert(tomllib.loads(text), type=DrillScenario)
    except tomllib.TOMLDecodeError as error:
        raise DrillScenarioError(f"{name}: not TOML: {error}") from error
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(" - at `")
        path = location.rstrip("`") or "$"
        hint = f"; allowed: {_allowed_keys(path)}" if "unknown field" in message else ""
        raise DrillScenarioError(f"{name}: {path.removeprefix('$.')}: {message}{hint}") from error
    if error_message := next(_find_errors(scenario), ""):
        raise DrillScenarioError(f"{name}: {error_message}")
    return scenario


def _allowed_keys(path: str) -> str:
    """Return the keys that are allowed at a path such as `$.fleet` or `$.step[...]`."""
    kind: Any = DrillScenario
    for name in [s for s in re.split(r"[.\[\]]+", path.removeprefix("$")) if s and s != "..."]:
        if kind is DrillScenario and name == "step":
            return "do, after and the keys of that step: see loadbalancer/drill/scenario/steps.py"
        if not hasattr(kind, "__struct_fields__"):
            break
        kind = next((f.type for f in msgspec.structs.fields(kind) if f.encode_name == name), kind)
        kind = getattr(kind, "__args__", (kind,))[-1 if "dict" in str(kind) else 0]
    return ", ".join(kind.__struct_encode_fields__) if hasattr(kind, "__struct_fields__") else ""


def _find_errors(scenario: DrillScenario) -> Iterator[str]:
    """Yield a one-line message for each error in a scenario."""
    yield from _count_errors(scenario)
    yield from _fleet_errors(scenario.fleet)
    yield from _load_errors(scenario.load)
    requests = 0
    for number, step in enumerate(scenario.step):
        requests += step.after
        if step.after < 0 or requests > scenario.load.requests:
            limit = scenario.load.requests
            yield f"step[{number}].after: {step.after}; allowed: 0 or more, in total {limit} at most"
        for key, error_message in _step_errors(step, scenario):
            yield f"step[{number}].{key}: {error_message}"


def _count_errors(scenario: DrillScenario) -> Iterator[str]:
    fleet, load = scenario.fleet, scenario.load
    for key, value, minimum in (
        ("fleet.balancers", fleet.balancers, 1),
        ("fleet.servers", fleet.servers, 1),
        ("fleet.inner", fleet.second_tier_servers, 0),
        ("fleet.zones", len(fleet.zones), 1),
        ("fleet.instances", fleet.registry_instances, 1),
        ("load.requests", load.requests, 1),
        ("load.classes", len(load.classes), 1),
    ):
        if not minimum <= value <= MAX_COUNT:
            yield f"{key}: {value}; allowed: {minimum} or more"


def _fleet_errors(fleet: FleetTable) -> Iterator[str]:
    has_validated_registry = fleet.uses_registry and fleet.validates_lists
    if fleet.registry_instances > 1 and not has_validated_registry:
        yield "fleet.instances: above 1 needs fleet.directory, and fleet.doubt so that balancers know them"
    if (fleet.subscribes_by_service or fleet.subset_size) and not has_validated_registry:
        yield "fleet.interests: needs fleet.directory and fleet.doubt"
    if fleet.subset_size and not fleet.subscribes_by_service:
        yield f"fleet.part: {fleet.subset_size}; allowed: only with fleet.interests"
    if fleet.temp_folder not in TEMP_FOLDERS:
        yield f"fleet.folders: {fleet.temp_folder!r}; allowed: {', '.join(TEMP_FOLDERS)}"


def _load_errors(load: ClientLoad) -> Iterator[str]:
    if not 0 < load.rate <= MAX_RATE_PER_S:
        yield f"load.rate: {load.rate}; allowed: above 0, at most {MAX_RATE_PER_S:,} a second"
    for item in load.classes:
        if item.effect not in REQUEST_EFFECTS:
            yield f"load.classes: {item.name}: effect {item.effect!r}; allowed: {', '.join(REQUEST_EFFECTS)}"
        if item.deadline_ms <= 0 or item.work_ms <= 0 or item.weight < 0:
            yield f"load.classes: {item.name}: work_ms and deadline_ms must be above 0, share 0 or more"
    if sum(item.weight for item in load.classes) <= 0:
        yield "load.classes: at least one class needs a share above 0"


def _step_errors(step: steps.AnyStep, scenario: DrillScenario) -> Iterator[tuple[str, str]]:
    """Yield, for each error in a step, the key and the message."""
    fleet = scenario.fleet
    instances = discovery_names(fleet)
    choices: list[tuple[type[steps.Step], str, Callable[[Any], str], Any]] = [
        (steps.SetLinkFault, "direction", lambda s: s.direction, LINK_DIRECTIONS),
        (steps.ChangeEndpointList, "state", lambda s: s.state, steps.ENDPOINT_LIST_STATES),
        (steps.EvacuateZone, "zone", lambda s: s.zone, fleet.zones),
        (steps.PinServer, "at", lambda s: s.instance, instances),
    ]
    yield from _choice_errors(step, choices)
    if isinstance(step, steps.ExpectMemberState | steps.SendForeignDatagrams) and not fleet.has_membership:
        yield "do", "this step needs fleet.peers"
    choices = [
        (steps.ExpectMemberState, "state", lambda s: s.state, MEMBER_STATES),
        (steps.StartProcess, "memory", lambda s: s.memory, REGISTRY_MEMORIES),
    ]
    yield from _choice_errors(step, choices)
    if isinstance(step, steps.ChangeEndpointList) and fleet.uses_registry and step.state == "stale":
        yield "state", f"{step.state!r}; not available with the real registry (fleet.directory)"
    if isinstance(step, steps.StartProcess) and step.version and step.version not in scenario.versions:
        known = ", ".join(scenario.versions) or "none"
        yield "version", f"{step.version!r}; allowed: {known}"
    name = step.instance if isinstance(step, steps.ChangeEndpointList) else getattr(step, "target", None)
    known_names = process_names(scenario)
    if name is not None and name not in known_names:
        yield "who", f"{name!r}; allowed: {', '.join(known_names)}"


def _choice_errors(
    step: steps.AnyStep, choices: list[tuple[type[steps.Step], str, Callable[[Any], str], Any]]
) -> Iterator[tuple[str, str]]:
    for step_type, key, read, allowed in choices:
        if isinstance(step, step_type) and read(step) not in allowed:
            yield key, f"{read(step)!r}; allowed: {', '.join(allowed)}"
