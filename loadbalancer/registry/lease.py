"""One entry of the list, held: registered, renewed when that is due, told anew when it was forgotten."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from loadbalancer.registry.client import RegistryCallError, RegistryClient
from loadbalancer.registry.entries import Registration

RENEW_PART = 0.3  # of the lease, after which it is renewed: two renewals may be lost


class Lease:
    """A server's place on the list; every call raises CallError if the service refuses or is not there."""

    def __init__(
        self, caller: RegistryClient, name: str, told: Registration,
        now_ms: Callable[[], float] = lambda: time.time() * 1_000,
    ) -> None:  # fmt: skip
        self._caller, self._name, self._now_ms = caller, name, now_ms
        self.told, self.is_held = told, False
        self._renewed = float("-inf")

    @property
    def step_s(self) -> float:
        """How long `keep` may wait to be called again."""
        return RENEW_PART * self.told.lease_ms / 1_000

    def start_anew(self) -> None:
        """The server has started just now: the list is to be told of a new start."""
        since_ms = max(self.told.since_ms, self._now_ms())
        self.told, self.is_held = msgspec.structs.replace(self.told, since_ms=since_ms), False

    def keep(self, why: str = "") -> bool:
        """Register, or renew if that is due; whether it was registered."""
        if not self.is_held:
            self._caller.on("PUT", self._name, body=msgspec.to_builtins(self.told), why=why)
            self.is_held, self._renewed = True, self._now_ms()
            return True
        if self._now_ms() - self._renewed >= RENEW_PART * self.told.lease_ms:
            self._renew()
        return False

    def _renew(self) -> None:
        try:
            self._caller.on("POST", self._name, "/renew", {"since_ms": self.told.since_ms})
            self._renewed = self._now_ms()
        except RegistryCallError as error:
            if error.status == 404:  # it has lapsed, or the service has lost its memory
                self.is_held = False
            raise

    def drain(self, why: str) -> None:
        """The server is to end what it has."""
        self._caller.on("POST", self._name, "/drain", why=why)

    def leave(self, why: str) -> None:
        """The server is gone."""
        self._caller.on("DELETE", self._name, why=why)
        self.is_held = False
