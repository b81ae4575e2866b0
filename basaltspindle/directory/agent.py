"""Speaks for a server that can't: checks its health, renews its lease meanwhile, drains it at the end."""

from __future__ import annotations

import asyncio
import http.client
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from basaltspindle.directory.caller import Caller, CallError
from basaltspindle.directory.entries import Registration

RENEW_PART = 0.3  # of the lease, after which it is renewed: two renewals may be lost
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
        self, name: str, told: Registration, caller: Caller, is_well: Callable[[], bool],
        log: Callable[[str], None], now_ms: Callable[[], float] = lambda: time.time() * 1_000,
    ) -> None:  # fmt: skip
        self._name, self._told, self._caller = name, told, caller
        self._is_well, self._log, self._now_ms = is_well, log, now_ms
        self._health = Health()
        self._registered, self._renewed = False, float("-inf")
        self._said = ""

    def step(self) -> float:
        """Check, and register, renew or let go; seconds until the next step."""
        was = self._health.well
        well = self._health.note(self._is_well())
        if well and not was:
            # Whatever it was, it starts anew for the balancers: it may be cold.
            since_ms = max(self._told.since_ms, self._now_ms())
            self._told = msgspec.structs.replace(self._told, since_ms=since_ms)
            self._registered = False
        try:
            if well and not self._registered:
                told = msgspec.to_builtins(self._told)
                self._caller.on("PUT", self._name, body=told, why="health checks pass")
                self._registered, self._renewed = True, self._now_ms()
                self._say("registered")
            elif well and self._now_ms() - self._renewed >= RENEW_PART * self._told.lease_ms:
                self._renew()
            elif was and not well:
                self._caller.on("DELETE", self._name, why="health checks fail")
                self._registered = False
                self._say("health checks fail: removed")
        except CallError as error:
            self._say(f"the list service: {error}")
        return min(CHECK_S, RENEW_PART * self._told.lease_ms / 1_000)

    def _renew(self) -> None:
        try:
            self._caller.on("POST", self._name, "/renew", {"since_ms": self._told.since_ms})
            self._renewed = self._now_ms()
        except CallError as error:
            if error.status == 404:  # it has lapsed, or the service has lost its memory
                self._registered = False
            raise

    def drain(self) -> None:
        """The server is to end what it has."""
        if self._registered:
            try:
                self._caller.on("POST", self._name, "/drain", why="it is told to end")
                self._say("draining")
            except CallError as error:
                self._say(f"the list service: {error}")

    def remove(self) -> None:
        """The server is gone."""
        if self._registered:
            try:
                self._caller.on("DELETE", self._name, why="it has ended")
                self._say("removed")
            except CallError as error:
                self._say(f"the list service: {error}")

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
