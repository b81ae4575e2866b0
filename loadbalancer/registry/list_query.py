"""What a call for the list asks, from its query: one clear line for what can't be."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from loadbalancer.registry.catalog import WriteRejectedError
from loadbalancer.registry.entries import Name
from loadbalancer.registry.interests import Interest, Levels, SubsetSpec, decode, place_of

WAIT_MOST_MS = 60_000.0
SERVICES_MOST = 32  # of one watch
PART_MOST = 100_000
BALANCERS_MOST = 1_000_000
TEXT_MOST = 200
WHOLE = -1  # in place of a version that was seen: none, and so the whole list
ONLY_WITH = ("part", "of", "zone", "balancers", "held", "ticket", "waited_ms")


@dataclass(frozen=True, slots=True)
class ListQuery:
    """One call for the list."""

    interest: Interest
    after: int
    wait_ms: float
    held: Levels | None = None
    """What the watcher says it holds at its version; None if it does not say."""
    is_old: bool = False
    """It asks for one tier, by the call that knows of no interests."""
    ticket: int | None = None
    waited_ms: float = 0.0


def parse_list_query(query: Mapping[str, str]) -> ListQuery:
    """What a query asks; Refused, with 400, says what is wrong."""
    after, wait_ms = int(number(query, "after", WHOLE)), min(number(query, "wait_ms", 0.0), WAIT_MOST_MS)
    if "services" not in query:
        if extra := [key for key in ONLY_WITH if key in query]:
            raise WriteRejectedError(400, f"{extra[0]}: is only for a call with services=NAME,...")
        return ListQuery(Interest((query.get("tier", "first"),)), after, wait_ms, is_old=True)
    ticket = number(query, "ticket", -1.0)
    return ListQuery(
        Interest(_services(query["services"]), _shape(query), place_of(_text(query, "of"))), after, wait_ms,
        _held(query), ticket=int(ticket) if ticket >= 0 else None,
        waited_ms=max(number(query, "waited_ms", 0.0), 0.0),
    )  # fmt: skip


def number(query: Mapping[str, str], key: str, default: float) -> float:
    """A number of a query; Refused if it is none."""
    text = query.get(key)
    try:
        value = float(text) if text is not None else default
    except ValueError:
        value = math.nan
    if not -1 <= value < 1e16:
        raise WriteRejectedError(400, f"{key}={text!r} is no number that can be")
    return value


def _services(text: str) -> tuple[str, ...]:
    names = text.split(",")
    try:
        msgspec.convert(names, type=list[Name])
    except msgspec.ValidationError:
        raise WriteRejectedError(
            400, f"services={text[:80]!r}: must be names of services, commas between"
        ) from None
    if len(set(names)) < len(names) or len(names) > SERVICES_MOST:
        raise WriteRejectedError(
            400, f"services: {len(names)} names; allowed: {SERVICES_MOST} at most, each once"
        )
    return tuple(sorted(names))


def _shape(query: Mapping[str, str]) -> SubsetSpec | None:
    if "part" not in query:
        for key in ("of", "zone", "balancers"):
            if key in query:
                raise WriteRejectedError(400, f"{key}: is only for a call with part=SERVERS")
        return None
    part = _count(query, "part", 1, PART_MOST)
    if not query.get("of"):
        raise WriteRejectedError(400, "part: needs of=NAME, the watcher's own: it says which part is meant")
    balancers = _count(query, "balancers", 0, BALANCERS_MOST) if "balancers" in query else 0
    return SubsetSpec(part, _text(query, "zone"), balancers)


def _count(query: Mapping[str, str], key: str, least: int, most: int) -> int:
    text = query[key]
    if not text.isdecimal() or not least <= int(text[:20]) <= most:
        raise WriteRejectedError(400, f"{key}={text[:40]!r}; allowed: {least} to {most}")
    return int(text)


def _text(query: Mapping[str, str], key: str) -> str:
    text = query.get(key, "")
    if len(text) > TEXT_MOST:
        raise WriteRejectedError(400, f"{key}: longer than {TEXT_MOST}")
    return text


def _held(query: Mapping[str, str]) -> Levels | None:
    if "held" not in query:
        return None
    try:
        return decode(query["held"])
    except ValueError as error:
        raise WriteRejectedError(
            400, f"held: not what this service told: {' '.join(str(error).split())[:120]}"
        ) from None
