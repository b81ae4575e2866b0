"""What a balancer's calls for the list request, and what their answers hold of that.

    interest = InterestSubscription(config, has_full_list=False, log=print)
    interest.query_parameters(now)          # beside the version and the wait
    view = interest.read_view(answer)       # ValueError if it answers something else
    interest.record_answer(view)            # the answer has been taken

Without services it requests the tier that is configured, if any, and reads nothing of the answers.
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
    """What is held with an answer."""

    encoded_view: str
    """As the service encodes it."""
    supports_interests: bool
    """Whether its service knows interests."""


NO_VIEW = AnswerView(encoded_view="", supports_interests=True)
"""Where no services are requested."""


class InterestSubscription:
    """One balancer's interest in the list."""

    def __init__(self, config: Config, has_full_list: bool, log: Callable[[str], None]) -> None:
        """`has_full_list` if a list is at hand, for any interest; `log` takes unsupported requests."""
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
        """Return whether the answer of a call that was given up is of use.

        With interests it would depend on what was requested at that time.
        """
        return self._subscription is None and not request.is_long_poll

    def change_interest(self, registry: RegistryConfig | None) -> bool:
        """Follow a configuration; return whether it requests other services, or another subset, by name."""
        if self._subscription is None or registry is None or not registry.services:
            return False
        return self._subscription.change_interest(registry.services, registry.subset_size)

    def query_parameters(self, now: float) -> list[str]:
        """Return the query's parameters for what is requested and what is held."""
        if self._subscription is not None:
            return self._subscription.query_parameters(now)
        return [f"tier={self._tier}"] if self._tier else []

    def raise_if_rate_limited(self, status: int, body: bytes) -> None:
        """Raise RateLimitedError if an answer that is no list says when to retry."""
        if self._subscription is not None:
            self._subscription.raise_if_rate_limited(status, body)

    def read_view(self, answer: Mapping[str, Any]) -> AnswerView:
        """Return what is held with an answer; ValueError if it answers something else."""
        if self._subscription is None:
            return NO_VIEW
        return AnswerView(self._subscription.read_view(answer), "services" in answer)

    def record_answer(self, view: AnswerView) -> None:
        """Take over an answer's view."""
        if self._subscription is not None:
            self._subscription.record_answer(view.encoded_view, view.supports_interests)
            self._log_once("" if view.supports_interests else INTERESTS_UNSUPPORTED)

    def record_rate_limit(self, error: RateLimitedError) -> None:
        """Present the ticket with the next request."""
        if self._subscription is not None:
            self._subscription.record_rate_limit(error)

    def record_failure(self, address: Address, began: float, error: Exception) -> None:
        """Record that a call to an instance, which `began` at that time, has failed."""
        if self._subscription is not None:
            self._subscription.record_failure(address, began)
            if isinstance(error, ValueError):
                self._log_once(str(error))

    def _log_once(self, text: str) -> None:
        """Log what is wrong with a service's answers, unless that was logged last; empty for nothing."""
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
