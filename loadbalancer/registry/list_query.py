"""What a call for the list asks, from its query: one clear line for what can't be."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from loadbalancer.registry.catalog import WriteRejectedError
from loadbalancer.registry.entries import Name
from loadbalancer.registry.interests import Interest, Levels, SubsetSpec, decode_levels, watcher_position

MAX_WAIT_MS = 60_000.0
MAX_SERVICES = 32  # of one watch
MAX_SUBSET_SERVERS = 100_000
MAX_BALANCERS = 1_000_000
MAX_TEXT_LENGTH = 200
NO_REVISION = -1  # in place of a version that was seen: none, and so the whole list
INTEREST_KEYS = ("part", "of", "zone", "balancers", "held", "ticket", "waited_ms")


@dataclass(frozen=True, slots=True)
class ListQuery:
    """One call for the list."""

    interest: Interest
    after_revision: int
    wait_ms: float
    held_levels: Levels | None = None
    """What the watcher says it holds at its version; None if it does not say."""
    is_single_tier: bool = False
    """It asks for one tier, by the call that knows of no interests."""
    ticket: int | None = None
    waited_ms: float = 0.0


def parse_list_query(query: Mapping[str, str]) -> ListQuery:
    """What a query asks; Refused, with 400, says what is wrong."""
    after, wait_ms = (
        int(read_number(query, "after", NO_REVISION)),
        min(read_number(query, "wait_ms", 0.0), MAX_WAIT_MS),
    )
    if "services" not in query:
        if extra := [key for key in INTEREST_KEYS if key in query]:
            raise WriteRejectedError(400, f"{extra[0]}: is only for a call with services=NAME,...")
        return ListQuery(Interest((query.get("tier", "first"),)), after, wait_ms, is_single_tier=True)
    ticket = read_number(query, "ticket", -1.0)
    return ListQuery(
        Interest(
            _read_services(query["services"]), _read_subset(query), watcher_position(_read_text(query, "of"))
        ),
        after,
        wait_ms,
        _read_levels(query),
        ticket=int(ticket) if ticket >= 0 else None,
        waited_ms=max(read_number(query, "waited_ms", 0.0), 0.0),
    )


def read_number(query: Mapping[str, str], key: str, default: float) -> float:
    """A number of a query; Refused if it is none."""
    text = query.get(key)
    try:
        value = float(text) if text is not None else default
    except ValueError:
        value = math.nan
    if not -1 <= value < 1e16:
        raise WriteRejectedError(400, f"{key}={text!r} is no number that can be")
    return value


def _read_services(text: str) -> tuple[str, ...]:
    names = text.split(",")
    try:
        msgspec.convert(names, type=list[Name])
    except msgspec.ValidationError:
        raise WriteRejectedError(
            400, f"services={text[:80]!r}: must be names of services, commas between"
        ) from None
    if len(set(names)) < len(names) or len(names) > MAX_SERVICES:
        raise WriteRejectedError(
            400, f"services: {len(names)} names; allowed: {MAX_SERVICES} at most, each once"
        )
    return tuple(sorted(names))


def _read_subset(query: Mapping[str, str]) -> SubsetSpec | None:
    if "part" not in query:
        for key in ("of", "zone", "balancers"):
            if key in query:
                raise WriteRejectedError(400, f"{key}: is only for a call with part=SERVERS")
        return None
    part = _read_count(query, "part", 1, MAX_SUBSET_SERVERS)
    if not query.get("of"):
        raise WriteRejectedError(400, "part: needs of=NAME, the watcher's own: it says which part is meant")
    balancers = _read_count(query, "balancers", 0, MAX_BALANCERS) if "balancers" in query else 0
    return SubsetSpec(part, _read_text(query, "zone"), balancers)


def _read_count(query: Mapping[str, str], key: str, least: int, most: int) -> int:
    text = query[key]
    if not text.isdecimal() or not least <= int(text[:20]) <= most:
        raise WriteRejectedError(400, f"{key}={text[:40]!r}; allowed: {least} to {most}")
    return int(text)


def _read_text(query: Mapping[str, str], key: str) -> str:
    text = query.get(key, "")
    if len(text) > MAX_TEXT_LENGTH:
        raise WriteRejectedError(400, f"{key}: longer than {MAX_TEXT_LENGTH}")
    return text


def _read_levels(query: Mapping[str, str]) -> Levels | None:
    if "held" not in query:
        return None
    try:
        return decode_levels(query["held"])
    except ValueError as error:
        raise WriteRejectedError(
            400, f"held: not what this service told: {' '.join(str(error).split())[:120]}"
        ) from None
