"""Keeps one server's lease: registers it, renews it when due, and registers it again if it was lost."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from loadbalancer.registry.client import RegistryCallError, RegistryClient
from loadbalancer.registry.entries import Registration

RENEWAL_RATIO = 0.3  # of the lease between renewals: two in a row may be lost


class Lease:
    """A server's entry in the registry; calls raise `RegistryCallError` if rejected or unanswered."""

    def __init__(
        self,
        client: RegistryClient,
        name: str,
        registration: Registration,
        now_ms: Callable[[], float] = lambda: time.time() * 1_000,
    ) -> None:
        """Create the lease; nothing is registered yet."""
        self._client = client
        self._name = name
        self._now_ms = now_ms
        self._last_renewal_ms = float("-inf")
        self.registration = registration
        self.is_registered = False

    @property
    def renewal_interval_s(self) -> float:
        """The longest time between calls of `register_or_renew`."""
        return RENEWAL_RATIO * self.registration.lease_ms / 1_000

    def begin_new_start(self) -> None:
        """Make the next call register a new start of the server, as of now."""
        since_ms = max(self.registration.since_ms, self._now_ms())
        self.registration = msgspec.structs.replace(self.registration, since_ms=since_ms)
        self.is_registered = False

    def register_or_renew(self, why: str = "") -> bool:
        """Register, or renew if due; return whether it was registered."""
        if not self.is_registered:
            body = msgspec.to_builtins(self.registration)
            self._client.call_server("PUT", self._name, body=body, why=why)
            self.is_registered = True
            self._last_renewal_ms = self._now_ms()
            return True
        if self._now_ms() - self._last_renewal_ms >= RENEWAL_RATIO * self.registration.lease_ms:
            self._renew()
        return False

    def _renew(self) -> None:
        try:
            self._client.call_server("POST", self._name, "/renew", {"since_ms": self.registration.since_ms})
            self._last_renewal_ms = self._now_ms()
        except RegistryCallError as error:
            if error.status == 404:  # it has expired, or the registry has lost its database
                self.is_registered = False
            raise

    def drain(self, why: str) -> None:
        """Drain the server, so that it only finishes its requests."""
        self._client.call_server("POST", self._name, "/drain", why=why)

    def deregister(self, why: str) -> None:
        """Remove the server from the list."""
        self._client.call_server("DELETE", self._name, why=why)
        self.is_registered = False
