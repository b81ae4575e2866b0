"""One entry of the list, held: registered, renewed when that is due, told anew when it was forgotten."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from loadbalancer.registry.client import RegistryCallError, RegistryClient
from loadbalancer.registry.entries import Registration

RENEWAL_RATIO = 0.3  # of the lease, after which it is renewed: two renewals may be lost


class Lease:
    """A server's place on the list; every call raises CallError if the service refuses or is not there."""

    def __init__(
        self,
        caller: RegistryClient,
        name: str,
        told: Registration,
        now_ms: Callable[[], float] = lambda: time.time() * 1_000,
    ) -> None:
        self._client, self._name, self._now_ms = caller, name, now_ms
        self.registration, self.is_registered = told, False
        self._last_renewal_ms = float("-inf")

    @property
    def renewal_interval_s(self) -> float:
        """How long `keep` may wait to be called again."""
        return RENEWAL_RATIO * self.registration.lease_ms / 1_000

    def begin_new_start(self) -> None:
        """The server has started just now: the list is to be told of a new start."""
        since_ms = max(self.registration.since_ms, self._now_ms())
        self.registration, self.is_registered = (
            msgspec.structs.replace(self.registration, since_ms=since_ms),
            False,
        )

    def register_or_renew(self, why: str = "") -> bool:
        """Register, or renew if that is due; whether it was registered."""
        if not self.is_registered:
            self._client.call_server("PUT", self._name, body=msgspec.to_builtins(self.registration), why=why)
            self.is_registered, self._last_renewal_ms = True, self._now_ms()
            return True
        if self._now_ms() - self._last_renewal_ms >= RENEWAL_RATIO * self.registration.lease_ms:
            self._renew()
        return False

    def _renew(self) -> None:
        try:
            self._client.call_server("POST", self._name, "/renew", {"since_ms": self.registration.since_ms})
            self._last_renewal_ms = self._now_ms()
        except RegistryCallError as error:
            if error.status == 404:  # it has lapsed, or the service has lost its memory
                self.is_registered = False
            raise

    def drain(self, why: str) -> None:
        """The server is to end what it has."""
        self._client.call_server("POST", self._name, "/drain", why=why)

    def deregister(self, why: str) -> None:
        """The server is gone."""
        self._client.call_server("DELETE", self._name, why=why)
        self.is_registered = False
