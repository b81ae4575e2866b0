"""What a balancer requests of a list service of its own: some services, or a subset of each.

    subscription = Subscription(
        ("orders",), subset_size=8, name="b-17/3", zone="east", balancer_count=300, has_full_list=False
    )
    query = subscription.query_parameters(now)   # beside the version and the wait
    view = subscription.read_view(answer)        # AnswerMismatchError: for other services than requested
    subscription.record_answer(view, supports_interests=True)  # from now on we hold that view

A sans-I/O core. The view, which says what is held, goes back to the service with the version, so that the
service reports what has entered it and what has left it, also when the requested services change.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from loadbalancer.endpoint_watch.exceptions import AnswerMismatchError, RateLimitedError
from loadbalancer.endpoint_watch.instance_selection import Address

MAX_RATE_LIMITED_S = 5.0  # that a service may put us off in all before it answers; longer, and it has failed


class Subscription:
    """One balancer's interest, and the view of it that it holds."""

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
        self._name = name
        self._zone = zone
        self._balancer_count = balancer_count
        self.services = services
        self.subset_size = subset_size
        self.encoded_view = _full_view(services) if has_full_list else None
        """What is held, as the service encodes it; None for nothing."""
        self.supports_interests = True
        """Whether the service knows interests, as far as its answers show."""
        self._ticket: int | None = None
        self._rate_limited_s = 0.0  # since the last answer
        self._failed_calls: dict[Address, float] = {}  # by instance: when the last call there began

    def change_interest(self, services: tuple[str, ...], subset_size: int) -> bool:
        """Request other services or another subset from now on; return whether they differ."""
        is_changed = (services, subset_size) != (self.services, self.subset_size)
        self.services = services
        self.subset_size = subset_size
        return is_changed

    def query_parameters(self, now: float) -> list[str]:
        """Return the query's parameters for what is requested and what is held."""
        parameters = [f"services={','.join(self.services)}"]
        if len(self.services) == 1:
            parameters.append(f"tier={self.services[0]}")  # for a service that does not know interests
        if self.subset_size:
            parameters.append(f"part={self.subset_size}")
            parameters.append(f"of={quote(self._name, safe='')}")
            parameters.append(f"balancers={self._balancer_count}")
            if self._zone:
                parameters.append(f"zone={quote(self._zone, safe='')}")
        if self.encoded_view is not None:
            parameters.append(f"held={quote(self.encoded_view, safe=':,')}")
        if self._failed_calls:
            waited_ms = max(now - min(self._failed_calls.values()), 0) * 1_000
            parameters.append(f"waited_ms={waited_ms:.0f}")
        if self._ticket is not None:
            parameters.append(f"ticket={self._ticket}")
        return parameters

    def read_view(self, answer: Mapping[str, Any]) -> str:
        """Return the view that we hold with an answer; AnswerMismatchError if it is for something else.

        A service of a version before interests answers with the full list of one tier: of one service that is
        more than was requested, and is taken; several can't be requested of it.
        """
        services = answer.get("services")
        if services is None and len(self.services) == 1:
            return _full_view(self.services)
        if services is None:
            raise AnswerMismatchError(
                "the list service does not support interests: cannot request several services"
            )
        is_requested = isinstance(services, list) and sorted(map(str, services)) == sorted(self.services)
        if not is_requested or not isinstance(view := answer.get("held"), str):
            requested = ",".join(self.services)
            raise AnswerMismatchError(f"the list service answers for {services}, not for {requested}")
        return view

    def record_answer(self, encoded_view: str, supports_interests: bool) -> None:
        """Take over an answer's view, and end what failures and rate limits had set."""
        self.encoded_view = encoded_view
        self.supports_interests = supports_interests
        self._ticket = None
        self._rate_limited_s = 0.0
        self._failed_calls = {}

    def record_failure(self, address: Address, began: float) -> None:
        """Record that a call to an instance has failed: an update may have been there since it `began`."""
        self._ticket = None
        self._failed_calls[address] = began

    def raise_if_rate_limited(self, status: int, body: bytes) -> None:
        """Raise RateLimitedError if an answer that is no list says when to retry, within bounded time."""
        if status != 503:
            return
        try:
            answer = json.loads(body)
            retry_after_s = float(answer["retry_ms"]) / 1_000
            ticket = int(answer["ticket"])
        except (ValueError, KeyError, TypeError):
            return
        if 0 <= retry_after_s <= MAX_RATE_LIMITED_S - self._rate_limited_s:
            raise RateLimitedError(retry_after_s, ticket)

    def record_rate_limit(self, error: RateLimitedError) -> None:
        """Present the ticket with the next request, and count the pause."""
        self._ticket = error.ticket
        self._rate_limited_s += error.retry_after_s


def _full_view(services: tuple[str, ...]) -> str:
    return json.dumps({service: {} for service in services}, separators=(",", ":"))
