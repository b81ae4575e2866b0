"""What a balancer's calls for the list ask for, and what their answers say of it.

    wants = Wants(config, has_list=False, log=print)
    wants.query(now)                        # beside the version and the wait
    held = wants.read(told)                 # ValueError if that is no answer to it
    wants.heard(held)                       # the answer has been taken

Without services it asks for the tier that is named, if any, and looks at nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from loadbalancer.endpoint_watch import ListRequest, RateLimitedError, Subscription
from loadbalancer.net.address import Address
from loadbalancer.net.config import Config, RegistryConfig

NO_INTERESTS = "the list service knows no interests: the whole of the service is taken"
Held = tuple[str, bool]
"""What is held with an answer, and whether its service knows of interests."""


class Wants:
    """One balancer's interest in the list."""

    def __init__(self, config: Config, has_list: bool, log: Callable[[str], None]) -> None:
        """`has_list` if a list is at hand, of whatever interest; `log` takes a line on what can't be told."""
        self._tier = config.registry.tier if config.registry else ""
        self._wanted = _subscription(config, has_list)
        self._log, self._said = log, ""

    @property
    def by_interest(self) -> bool:
        """Whether services are asked for by name."""
        return self._wanted is not None

    def may_be_late(self, ask: ListRequest) -> bool:
        """Whether the answer of a call that was given up is of use: by interests it would depend on what was
        wanted when it was asked."""
        return self._wanted is None and not ask.waits

    @property
    def is_known(self) -> bool:
        """Whether the service can tell what has left an interest that changes."""
        return self._wanted is None or self._wanted.is_known

    def move(self, lists: RegistryConfig | None) -> bool:
        """The configuration names other services, or another part; whether it does, and both name some."""
        if self._wanted is None or lists is None or not lists.services:
            return False
        return self._wanted.move(lists.services, lists.subset_size)

    def query(self, now: float) -> list[str]:
        """What is wanted, and what is held of it."""
        if self._wanted is not None:
            return self._wanted.query(now)
        return [f"tier={self._tier}"] if self._tier else []

    def look_for_pace(self, status: int, body: bytes) -> None:
        """An answer that is no list: raises Paced if it says when to come again."""
        if self._wanted is not None:
            self._wanted.look_for_pace(status, body)

    def read(self, told: Mapping[str, Any]) -> Held:
        """What is held with an answer; ValueError if it is none to what was asked."""
        return ("", True) if self._wanted is None else (self._wanted.check(told), "services" in told)

    def heard(self, held: Held) -> None:
        """An answer has been taken."""
        if self._wanted is not None:
            self._wanted.heard(*held)
            self._say("" if self._wanted.is_known else NO_INTERESTS)

    def paced(self, paced: RateLimitedError) -> None:
        """We come again as the service says."""
        if self._wanted is not None:
            self._wanted.paced(paced)

    def failed(self, address: Address, began: float, error: Exception) -> None:
        """A call has failed."""
        if self._wanted is not None:
            self._wanted.failed(address, began)
            if isinstance(error, ValueError):
                self._say(str(error))

    def _say(self, text: str) -> None:
        """Log what is wrong with what a service tells, once."""
        if text and text != self._said:
            self._log(text)
        self._said = text


def _subscription(config: Config, has_list: bool) -> Subscription | None:
    lists, settings = config.registry, config.settings
    if lists is None or not lists.services:
        return None
    return Subscription(
        lists.services, lists.subset_size, name=f"{config.name}/{settings.balancer_index}",
        zone=settings.zone, balancers=settings.balancer_count,
        holds_all=has_list or bool(config.initial_list.endpoints),
    )  # fmt: skip
