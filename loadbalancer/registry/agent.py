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

CHECK_S = 1.0
CHECK_PATIENCE_S = 1.0
GOOD, BAD = 2, 3  # checks in a row that must pass to register, and fail to let go


@dataclass
class Health:
    """What the checks have shown: it takes some in a row to change it."""

    well: bool = False
    _row: int = 0

    def note(self, passed: bool) -> bool:
        """Take a check; whether the server counts as well now."""
        self._row = 0 if passed == self.well else self._row + 1
        if self._row >= (GOOD if passed else BAD):
            self.well, self._row = passed, 0
        return self.well


def check(address: str, path: str) -> bool:
    """Whether a server answers its health check with 200 in time."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CHECK_PATIENCE_S)
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
        self, name: str, told: Registration, caller: RegistryClient, is_well: Callable[[], bool],
        log: Callable[[str], None], now_ms: Callable[[], float] = lambda: time.time() * 1_000,
    ) -> None:  # fmt: skip
        self._name, self._is_well, self._log = name, is_well, log
        self._lease = Lease(caller, name, told, now_ms)
        self._health = Health()
        self._said = ""

    def step(self) -> float:
        """Check, and register, renew or let go; seconds until the next step."""
        was = self._health.well
        well = self._health.note(self._is_well())
        if well and not was:
            self._lease.start_anew()  # whatever it was, it may be cold
        if well:
            self._try(self._keep)
        elif was:
            self._try(lambda: self._lease.leave("health checks fail"), "health checks fail: removed")
        return min(CHECK_S, self._lease.step_s)

    def _keep(self) -> None:
        if self._lease.keep("health checks pass"):
            self._say("registered")

    def drain(self) -> None:
        """The server is to end what it has."""
        if self._lease.is_held:
            self._try(lambda: self._lease.drain("it is told to end"), "draining")

    def remove(self) -> None:
        """The server is gone."""
        if self._lease.is_held:
            self._try(lambda: self._lease.leave("it has ended"), "removed")

    def _try(self, call: Callable[[], None], done: str = "") -> None:
        """Make a call, and say what came of it."""
        try:
            call()
        except RegistryCallError as error:
            self._say(f"the list service: {error}")
        else:
            if done:
                self._say(done)

    def _say(self, text: str) -> None:
        if text != self._said:
            self._log(f"{self._name}: {text}")
        self._said = text


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
    await asyncio.to_thread(agent.remove)
