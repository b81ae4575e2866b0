"""What a balancer's calls for the list ask for, and what their answers say of it.

    wants = Wants(config, has_full_list=False, log=print)
    wants.query(now)                        # beside the version and the wait
    held = wants.read(told)                 # ValueError if that is no answer to it
    wants.heard(held)                       # the answer has been taken

Without services it asks for the tier that is named, if any, and looks at nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from loadbalancer.endpoint_watch import ListRequest, RateLimitedError, Subscription
from loadbalancer.net.config import Address, Config, RegistryConfig

INTERESTS_UNSUPPORTED = "the list service knows no interests: the whole of the service is taken"
AnswerView = tuple[str, bool]
"""What is held with an answer, and whether its service knows of interests."""


class InterestSubscription:
    """One balancer's interest in the list."""

    def __init__(self, config: Config, has_full_list: bool, log: Callable[[str], None]) -> None:
        """`has_full_list` if a list is at hand, for any interest; `log` takes unsupported requests."""
        self._tier = config.registry.tier if config.registry else ""
        self._subscription = _subscription(config, has_full_list)
        self._log, self._last_logged = log, ""

    @property
    def names_services(self) -> bool:
        """Whether services are asked for by name."""
        return self._subscription is not None

    def accepts_late_answer(self, ask: ListRequest) -> bool:
        """Whether the answer of a call that was given up is of use: by interests it would depend on what was
        wanted when it was asked."""
        return self._subscription is None and not ask.is_long_poll

    @property
    def supports_interests(self) -> bool:
        """Whether the service can tell what has left an interest that changes."""
        return self._subscription is None or self._subscription.supports_interests

    def change_interest(self, lists: RegistryConfig | None) -> bool:
        """The configuration names other services, or another part; whether it does, and both name some."""
        if self._subscription is None or lists is None or not lists.services:
            return False
        return self._subscription.change_interest(lists.services, lists.subset_size)

    def query_parameters(self, now: float) -> list[str]:
        """What is wanted, and what is held of it."""
        if self._subscription is not None:
            return self._subscription.query_parameters(now)
        return [f"tier={self._tier}"] if self._tier else []

    def raise_if_rate_limited(self, status: int, body: bytes) -> None:
        """An answer that is no list: raises Paced if it says when to come again."""
        if self._subscription is not None:
            self._subscription.raise_if_rate_limited(status, body)

    def read_view(self, told: Mapping[str, Any]) -> AnswerView:
        """What is held with an answer; ValueError if it is none to what was asked."""
        return (
            ("", True)
            if self._subscription is None
            else (self._subscription.read_view(told), "services" in told)
        )

    def record_answer(self, held: AnswerView) -> None:
        """An answer has been taken."""
        if self._subscription is not None:
            self._subscription.record_answer(*held)
            self._log_once("" if self._subscription.supports_interests else INTERESTS_UNSUPPORTED)

    def record_rate_limit(self, paced: RateLimitedError) -> None:
        """We come again as the service says."""
        if self._subscription is not None:
            self._subscription.record_rate_limit(paced)

    def record_failure(self, address: Address, began: float, error: Exception) -> None:
        """A call has failed."""
        if self._subscription is not None:
            self._subscription.record_failure(address, began)
            if isinstance(error, ValueError):
                self._log_once(str(error))

    def _log_once(self, text: str) -> None:
        """Log what is wrong with what a service tells, once."""
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
