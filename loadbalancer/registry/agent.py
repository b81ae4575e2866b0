"""Registers a server that can't do so itself: checks its health, renews its lease, drains it on shutdown."""

from __future__ import annotations

import asyncio
import http.client
import time
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.registry.client import RegistryCallError, RegistryClient
from loadbalancer.registry.entries import Registration
from loadbalancer.registry.lease import Lease

HEALTH_CHECK_INTERVAL_S = 1.0
HEALTH_CHECK_TIMEOUT_S = 1.0
HEALTHY_THRESHOLD = 2  # checks in a row that must pass to register
UNHEALTHY_THRESHOLD = 3  # checks in a row that must fail to deregister


@dataclass
class Health:
    """The server's health, which changes only after several checks in a row."""

    is_healthy: bool = False
    _streak: int = 0

    def record_check(self, *, has_passed: bool) -> bool:
        """Record a check; return whether the server counts as healthy now."""
        self._streak = 0 if has_passed == self.is_healthy else self._streak + 1
        if self._streak >= (HEALTHY_THRESHOLD if has_passed else UNHEALTHY_THRESHOLD):
            self.is_healthy = has_passed
            self._streak = 0
        return self.is_healthy


def passes_health_check(address: str, path: str) -> bool:
    """Return whether a server answers its health check with 200 in time."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=HEALTH_CHECK_TIMEOUT_S)
    try:
        connection.request("GET", path)
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


class Agent:
    """The agent of one server; `step` is called repeatedly and returns the delay until the next call."""

    def __init__(
        self,
        name: str,
        registration: Registration,
        client: RegistryClient,
        passes_check: Callable[[], bool],
        log: Callable[[str], None],
        now_ms: Callable[[], float] = lambda: time.time() * 1_000,
    ) -> None:
        """`log` is called with a line whenever the outcome of a call differs from the last."""
        self._name = name
        self._passes_check = passes_check
        self._log = log
        self._lease = Lease(client, name, registration, now_ms)
        self._health = Health()
        self._last_message = ""

    def step(self) -> float:
        """Check, and register, renew or deregister; return the seconds until the next step."""
        was_healthy = self._health.is_healthy
        is_healthy = self._health.record_check(has_passed=self._passes_check())
        if is_healthy and not was_healthy:
            self._lease.begin_new_start()  # restarted or not, it may have to warm up
        if is_healthy:
            self._attempt(self._register_or_renew)
        elif was_healthy:
            self._attempt(lambda: self._lease.deregister("health checks fail"), "health checks fail: removed")
        return min(HEALTH_CHECK_INTERVAL_S, self._lease.renewal_interval_s)

    def _register_or_renew(self) -> None:
        if self._lease.register_or_renew("health checks pass"):
            self._log_once("registered")

    def drain(self) -> None:
        """Drain the server, so that it only finishes its requests."""
        if self._lease.is_registered:
            self._attempt(lambda: self._lease.drain("it is told to end"), "draining")

    def deregister(self) -> None:
        """Remove the server from the list."""
        if self._lease.is_registered:
            self._attempt(lambda: self._lease.deregister("it has ended"), "removed")

    def _attempt(self, call: Callable[[], None], message: str = "") -> None:
        """Make a call, and log its outcome."""
        try:
            call()
        except RegistryCallError as error:
            self._log_once(f"registry call failed: {error}")
        else:
            if message:
                self._log_once(message)

    def _log_once(self, text: str) -> None:
        if text != self._last_message:
            self._log(f"{self._name}: {text}")
        self._last_message = text


async def run(agent: Agent, stop: asyncio.Event, grace_s: float) -> None:
    """Run an agent until `stop`; then drain its server, wait for the grace period, and deregister it."""
    while not stop.is_set():
        wait_s = await asyncio.to_thread(agent.step)
        try:
            async with asyncio.timeout(wait_s):
                await stop.wait()
        except TimeoutError:
            continue
    await asyncio.to_thread(agent.drain)
    await asyncio.sleep(grace_s)
    await asyncio.to_thread(agent.deregister)
