"""A balancer's subscription to a self-hosted list service: some services, or a subset of each.

    subscription = Subscription(
        ("orders",), subset_size=8, name="b-17/3", zone="east", balancer_count=300, has_full_list=False
    )
    query = subscription.query_parameters(now)   # in addition to version and wait
    view = subscription.read_view(answer)        # AnswerMismatchError: not the services requested
    subscription.record_answer(view, supports_interests=True)  # makes that view the current one

Sans-I/O. The view describes which part of the list the balancer holds. It is sent back to the service with
the version, so that the service reports what entered or left it, even when the requested services change.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from loadbalancer.endpoint_watch.exceptions import AnswerMismatchError, RateLimitedError
from loadbalancer.endpoint_watch.instance_selection import Address

MAX_RATE_LIMITED_S = 5.0  # total delay by rate limits before a call counts as failed


class Subscription:
    """One balancer's interest, and the view that it currently holds."""

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
        """`subset_size` is the number of servers per zone, 0 for all; `has_full_list` if a list is known."""
        self._name = name
        self._zone = zone
        self._balancer_count = balancer_count
        self.services = services
        self.subset_size = subset_size
        self.encoded_view = _full_view(services) if has_full_list else None
        """The current view as encoded by the service; None if no list is held."""
        self.supports_interests = True
        """Whether the service supports interests, judging by its answers."""
        self._ticket: int | None = None
        self._rate_limited_s = 0.0  # since the last answer
        self._failed_calls: dict[Address, float] = {}  # start of the last failed call, by instance

    def change_interest(self, services: tuple[str, ...], subset_size: int) -> bool:
        """Set the requested services and subset size; return whether they changed."""
        is_changed = (services, subset_size) != (self.services, self.subset_size)
        self.services = services
        self.subset_size = subset_size
        return is_changed

    def query_parameters(self, now: float) -> list[str]:
        """Return the query parameters for the requested services and the current view."""
        parameters = [f"services={','.join(self.services)}"]
        if len(self.services) == 1:
            parameters.append(f"tier={self.services[0]}")  # for services without support for interests
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
        """Return the view that results from an answer; AnswerMismatchError if it was not requested.

        A service version without support for interests answers with the full list of one tier: a superset
        that is accepted for a request of one service, while several cannot be requested.
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
            raise AnswerMismatchError(f"the list service answered for {services} instead of {requested}")
        return view

    def record_answer(self, encoded_view: str, supports_interests: bool) -> None:
        """Adopt an answer's view, and reset the state of failures and rate limits."""
        self.encoded_view = encoded_view
        self.supports_interests = supports_interests
        self._ticket = None
        self._rate_limited_s = 0.0
        self._failed_calls = {}

    def record_failure(self, address: Address, began: float) -> None:
        """Record a failed call to an instance; an update may have been available since it `began`."""
        self._ticket = None
        self._failed_calls[address] = began

    def raise_if_rate_limited(self, status: int, body: bytes) -> None:
        """Raise RateLimitedError if an error response says when to retry, within the allowed total delay."""
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
        """Send the ticket with the next request, and add up the delay."""
        self._ticket = error.ticket
        self._rate_limited_s += error.retry_after_s


def _full_view(services: tuple[str, ...]) -> str:
    return json.dumps({service: {} for service in services}, separators=(",", ":"))
