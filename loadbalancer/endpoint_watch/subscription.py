"""What a balancer asks a list service of its own for: some services, or a part of each; told in the query.

    subscription = Subscription(
        ("orders",), subset_size=8, name="b-17/3", zone="east", balancer_count=300, has_full_list=False
    )
    query = subscription.query_parameters(now)   # beside the version and the wait
    view = subscription.read_view(answer)        # ValueError: that answer is not what was asked for
    subscription.record_answer(view, True)       # it has been taken: from now on we hold that

A sans-I/O core. What is held goes back to the service with the version, so that the service tells what has
come into it and what has left it outright, also when the services that are wanted change.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from loadbalancer.endpoint_watch.instance_selection import Address

MAX_RATE_LIMITED_S = 5.0  # that a service may have us wait before we are let in; longer, and it has failed


class RateLimitedError(Exception):
    """The service is well, and has us come again later: with the ticket, after so many seconds."""

    def __init__(self, after_s: float, ticket: int) -> None:
        super().__init__(f"come again after {after_s:.3f} s")
        self.retry_after_s, self.ticket = after_s, ticket


class Subscription:
    """One balancer's interest, and what it holds of it."""

    def __init__(
        self,
        services: tuple[str, ...],
        subset_size: int,
        *,
        name: str,
        zone: str,
        balancer_count: int,
        has_full_list: bool,
    ) -> None:
        """`subset_size` counts servers of each zone, 0 for all; `has_full_list` if a list is at hand."""
        self._name, self._zone, self._balancer_count = name, zone, balancer_count
        self.services, self.subset_size = services, subset_size
        self.encoded_view = _whole(services) if has_full_list else None
        self.supports_interests = True
        """Whether the service knows of interests, as far as it has told."""
        self._ticket: int | None = None
        self._paced_s = 0.0
        self._failed_at: dict[Address, float] = {}  # by instance: when the last call there began

    def change_interest(self, services: tuple[str, ...], subset_size: int) -> bool:
        """Something else is wanted from now on; whether it is."""
        is_new = (services, subset_size) != (self.services, self.subset_size)
        self.services, self.subset_size = services, subset_size
        return is_new

    def query_parameters(self, now: float) -> list[str]:
        """The part of the query that says what is wanted and what is held."""
        told = [f"services={','.join(self.services)}"]
        if len(self.services) == 1:
            told.append(f"tier={self.services[0]}")  # what a service that knows no interests heeds
        if self.subset_size:
            told += [
                f"part={self.subset_size}",
                f"of={quote(self._name, safe='')}",
                f"balancers={self._balancer_count}",
            ]
            told += [f"zone={quote(self._zone, safe='')}"] if self._zone else []
        if self.encoded_view is not None:
            told.append(f"held={quote(self.encoded_view, safe=':,')}")
        if self._failed_at:
            told.append(f"waited_ms={max(now - min(self._failed_at.values()), 0) * 1_000:.0f}")
        return told if self._ticket is None else [*told, f"ticket={self._ticket}"]

    def read_view(self, answer: Mapping[str, Any]) -> str:
        """What we hold once an answer has been taken; ValueError if it is none to what was asked.

        A service of a version before interests tells the whole of one tier: of one service that is more than
        was asked for, and is taken; of several it can't be asked.
        """
        told = answer.get("services")
        if told is None and len(self.services) == 1:
            return _whole(self.services)
        if told is None:
            raise ValueError("the list service knows no interests, and can't be asked for several services")
        is_ours = isinstance(told, list) and sorted(map(str, told)) == sorted(self.services)
        if not is_ours or not isinstance(held := answer.get("held"), str):
            raise ValueError(f"the list service answers for {told}, not for {','.join(self.services)}")
        return held

    def record_answer(self, encoded_view: str, supports_interests: bool) -> None:
        """An answer has been taken."""
        self.encoded_view = encoded_view
        self.supports_interests = supports_interests
        self._ticket, self._paced_s, self._failed_at = None, 0.0, {}

    def record_failure(self, address: Address, began: float) -> None:
        """A call to an instance that began at a time has failed: it may have been there since."""
        self._ticket = None
        self._failed_at[address] = began

    def raise_if_rate_limited(self, status: int, body: bytes) -> None:
        """An answer that is no list: raises Paced if it says when to come again, in bounded time."""
        if status != 503:
            return
        try:
            told = json.loads(body)
            after_s, ticket = float(told["retry_ms"]) / 1_000, int(told["ticket"])
        except (ValueError, KeyError, TypeError):
            return
        if 0 <= after_s <= MAX_RATE_LIMITED_S - self._paced_s:
            raise RateLimitedError(after_s, ticket)

    def record_rate_limit(self, paced: RateLimitedError) -> None:
        """We come again as the service says."""
        self._ticket = paced.ticket
        self._paced_s += paced.retry_after_s


def _whole(services: tuple[str, ...]) -> str:
    return json.dumps({service: {} for service in services}, separators=(",", ":"))
