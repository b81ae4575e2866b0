"""Speaks for a server that can't: checks its health, renews its lease meanwhile, drains it at the end."""

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
HEALTHY_THRESHOLD, UNHEALTHY_THRESHOLD = (
    2,
    3,
)  # checks in a row that must pass to register, and fail to let go


@dataclass
class Health:
    """What the checks have shown: it takes some in a row to change it."""

    is_healthy: bool = False
    _streak: int = 0

    def record_check(self, passed: bool) -> bool:
        """Take a check; whether the server counts as well now."""
        self._streak = 0 if passed == self.is_healthy else self._streak + 1
        if self._streak >= (HEALTHY_THRESHOLD if passed else UNHEALTHY_THRESHOLD):
            self.is_healthy, self._streak = passed, 0
        return self.is_healthy


def passes_health_check(address: str, path: str) -> bool:
    """Whether a server answers its health check with 200 in time."""
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
    """The agent of one server: `step` is called again and again, and says when it wants to be next."""

    def __init__(
        self,
        name: str,
        told: Registration,
        caller: RegistryClient,
        is_well: Callable[[], bool],
        log: Callable[[str], None],
        now_ms: Callable[[], float] = lambda: time.time() * 1_000,
    ) -> None:
        self._name, self._passes_check, self._log = name, is_well, log
        self._lease = Lease(caller, name, told, now_ms)
        self._health = Health()
        self._last_message = ""

    def step(self) -> float:
        """Check, and register, renew or let go; seconds until the next step."""
        was = self._health.is_healthy
        well = self._health.record_check(self._passes_check())
        if well and not was:
            self._lease.begin_new_start()  # whatever it was, it may be cold
        if well:
            self._attempt(self._register_or_renew)
        elif was:
            self._attempt(lambda: self._lease.deregister("health checks fail"), "health checks fail: removed")
        return min(HEALTH_CHECK_INTERVAL_S, self._lease.renewal_interval_s)

    def _register_or_renew(self) -> None:
        if self._lease.register_or_renew("health checks pass"):
            self._log_once("registered")

    def drain(self) -> None:
        """The server is to end what it has."""
        if self._lease.is_registered:
            self._attempt(lambda: self._lease.drain("it is told to end"), "draining")

    def deregister(self) -> None:
        """The server is gone."""
        if self._lease.is_registered:
            self._attempt(lambda: self._lease.deregister("it has ended"), "removed")

    def _attempt(self, call: Callable[[], None], done: str = "") -> None:
        """Make a call, and say what came of it."""
        try:
            call()
        except RegistryCallError as error:
            self._log_once(f"the list service: {error}")
        else:
            if done:
                self._log_once(done)

    def _log_once(self, text: str) -> None:
        if text != self._last_message:
            self._log(f"{self._name}: {text}")
        self._last_message = text


async def run(agent: Agent, stop: asyncio.Event, grace_s: float) -> None:
    """Speak for a server until `stop`, then drain it, wait, and remove it."""
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
