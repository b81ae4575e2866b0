"""The interest part of list requests: query parameters of requests, and views in answers.

    interest = InterestSubscription(config, has_full_list=False, log=print)
    interest.query_parameters(now)          # in addition to version and wait
    view = interest.read_view(answer)       # ValueError if it was not requested
    interest.record_answer(view)            # after the answer was accepted

Without services it requests the configured tier, if any, and ignores views in answers.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from loadbalancer.endpoint_watch import ListRequest, RateLimitedError, Subscription
from loadbalancer.net.address import Address
from loadbalancer.net.config import Config, RegistryConfig

INTERESTS_UNSUPPORTED = "the list service does not support interests; receiving all servers of the service"


@dataclass(frozen=True, slots=True)
class AnswerView:
    """The view that results from an answer."""

    encoded_view: str
    """As encoded by the service."""
    supports_interests: bool
    """Whether the service supports interests."""


NO_VIEW = AnswerView(encoded_view="", supports_interests=True)
"""The view if no services are requested by name."""


class InterestSubscription:
    """One balancer's interest in the list."""

    def __init__(self, config: Config, has_full_list: bool, log: Callable[[str], None]) -> None:
        """`has_full_list` if a list is known for any interest; `log` reports unsupported requests."""
        self._tier = config.registry.tier if config.registry else ""
        self._subscription = _subscription(config, has_full_list)
        self._log = log
        self._last_logged = ""

    @property
    def names_services(self) -> bool:
        """Whether services are requested by name."""
        return self._subscription is not None

    @property
    def supports_interests(self) -> bool:
        """Whether the service can report what has left an interest that changes."""
        return self._subscription is None or self._subscription.supports_interests

    def accepts_late_answer(self, request: ListRequest) -> bool:
        """Return whether a late answer to a timed-out call can be used.

        With interests it cannot, because it depends on what was requested at that time.
        """
        return self._subscription is None and not request.is_long_poll

    def change_interest(self, registry: RegistryConfig | None) -> bool:
        """Apply a configuration; return whether it changes the named services or the subset size."""
        if self._subscription is None or registry is None or not registry.services:
            return False
        return self._subscription.change_interest(registry.services, registry.subset_size)

    def query_parameters(self, now: float) -> list[str]:
        """Return the query parameters for the interest and the current view."""
        if self._subscription is not None:
            return self._subscription.query_parameters(now)
        return [f"tier={self._tier}"] if self._tier else []

    def raise_if_rate_limited(self, status: int, body: bytes) -> None:
        """Raise RateLimitedError if an error response says when to retry."""
        if self._subscription is not None:
            self._subscription.raise_if_rate_limited(status, body)

    def read_view(self, answer: Mapping[str, Any]) -> AnswerView:
        """Return the view that results from an answer; ValueError if it was not requested."""
        if self._subscription is None:
            return NO_VIEW
        return AnswerView(self._subscription.read_view(answer), "services" in answer)

    def record_answer(self, view: AnswerView) -> None:
        """Adopt an answer's view."""
        if self._subscription is not None:
            self._subscription.record_answer(view.encoded_view, view.supports_interests)
            self._log_once("" if view.supports_interests else INTERESTS_UNSUPPORTED)

    def record_rate_limit(self, error: RateLimitedError) -> None:
        """Send the ticket with the next request."""
        if self._subscription is not None:
            self._subscription.record_rate_limit(error)

    def record_failure(self, address: Address, began: float, error: Exception) -> None:
        """Record the failure of a call to an instance that `began` at the given time."""
        if self._subscription is not None:
            self._subscription.record_failure(address, began)
            if isinstance(error, ValueError):
                self._log_once(str(error))

    def _log_once(self, text: str) -> None:
        """Log a problem with a service's answers unless it was logged last; empty if there is none."""
        if text and text != self._last_logged:
            self._log(text)
        self._last_logged = text


def _subscription(config: Config, has_full_list: bool) -> Subscription | None:
    registry = config.registry
    if registry is None or not registry.services:
        return None
    return Subscription(
        registry.services,
        registry.subset_size,
        name=f"{config.name}/{config.settings.balancer_index}",
        zone=config.settings.zone,
        balancer_count=config.settings.balancer_count,
        has_full_list=has_full_list or bool(config.initial_list.endpoints),
    )
