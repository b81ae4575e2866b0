"""Parsing of a list call's query string; an invalid one is rejected with 400 and a one-line error."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from loadbalancer.registry.changes import WriteRejectedError
from loadbalancer.registry.entries import Name
from loadbalancer.registry.interest import Interest, Levels, SubsetSpec, decode_levels, watcher_position

MAX_WAIT_MS = 60_000.0
MAX_SERVICES = 32  # per watch
MAX_SUBSET_SERVERS = 100_000
MAX_BALANCERS = 1_000_000
MAX_TEXT_LENGTH = 200
NO_REVISION = -1  # the watcher has seen no revision: the answer is a full snapshot
DEFAULT_TIER = "first"
INTEREST_KEYS = ("part", "of", "zone", "balancers", "held", "ticket", "waited_ms")  # only with `services`


@dataclass(frozen=True, slots=True)
class ListQuery:
    """A parsed list call."""

    interest: Interest
    after_revision: int
    """The revision that the watcher has seen, or `NO_REVISION`."""
    wait_ms: float
    known_levels: Levels | None = None
    """What the watcher reports to hold at its revision; None if it reports nothing."""
    is_single_tier: bool = False
    """It is the platform's call, which is for one tier and without an interest."""
    ticket: int | None = None
    """From an earlier answer that told it to retry later."""
    waited_ms: float = 0.0
    """How long the watcher has been retrying since a failed call."""

    @property
    def has_known_levels(self) -> bool:
        """Whether it is known what the watcher holds at its revision."""
        return self.is_single_tier or self.known_levels is not None


def parse_list_query(query: Mapping[str, str]) -> ListQuery:
    """Parse a list call's query string; an invalid one is rejected with 400."""
    after = int(read_number(query, "after", NO_REVISION))
    wait_ms = min(read_number(query, "wait_ms", 0.0), MAX_WAIT_MS)
    if "services" not in query:
        if extra := [key for key in INTEREST_KEYS if key in query]:
            raise WriteRejectedError(400, f"{extra[0]}: is only for a call with services=NAME,...")
        interest = Interest((query.get("tier", DEFAULT_TIER),))
        return ListQuery(interest, after, wait_ms, is_single_tier=True)
    ticket = read_number(query, "ticket", -1.0)
    return ListQuery(
        Interest(
            _read_services(query["services"]),
            _read_subset(query),
            watcher_position(_read_text(query, "of")),
        ),
        after,
        wait_ms,
        _read_levels(query),
        ticket=int(ticket) if ticket >= 0 else None,
        waited_ms=max(read_number(query, "waited_ms", 0.0), 0.0),
    )


def read_number(query: Mapping[str, str], key: str, default: float) -> float:
    """Return a query parameter as a number; an invalid one is rejected with 400."""
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
    except msgspec.ValidationError as error:
        raise WriteRejectedError(
            400, f"services={text[:80]!r}: must be names of services, commas between"
        ) from error
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
    min_servers = _read_count(query, "part", 1, MAX_SUBSET_SERVERS)
    if not query.get("of"):
        raise WriteRejectedError(400, "part: needs of=NAME, the watcher's own: it says which part is meant")
    balancer_count = _read_count(query, "balancers", 0, MAX_BALANCERS) if "balancers" in query else 0
    return SubsetSpec(min_servers, _read_text(query, "zone"), balancer_count)


def _read_count(query: Mapping[str, str], key: str, minimum: int, maximum: int) -> int:
    text = query[key]
    if not text.isdecimal() or not minimum <= int(text[:20]) <= maximum:
        raise WriteRejectedError(400, f"{key}={text[:40]!r}; allowed: {minimum} to {maximum}")
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
        ) from error
