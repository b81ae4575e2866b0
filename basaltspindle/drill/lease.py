"""A stand-in server's place on a real list service: registered, renewed, and left when it ends."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from basaltspindle.directory.caller import Caller, CallError
from basaltspindle.directory.entries import Registration

RENEW_PART = 0.3
RETRY_S = 0.3
PATIENCE_S = 1.0


class Lease:
    """Holds one entry for as long as the server lives."""

    def __init__(self, at: str, name: str, told: Registration) -> None:
        self._caller, self._name, self._told = Caller(at, who=name, patience_s=PATIENCE_S), name, told

    async def hold(self) -> None:
        """Register and renew for ever; what fails is tried again, and what was forgotten told anew."""
        known = False
        while True:
            try:
                if known:
                    body = {"since_ms": self._told.since_ms}
                    await asyncio.to_thread(self._caller.on, "POST", self._name, "/renew", body)
                else:
                    told = msgspec.to_builtins(self._told)
                    await asyncio.to_thread(self._caller.on, "PUT", self._name, body=told)
                known, wait_s = True, RENEW_PART * self._told.lease_ms / 1_000
            except CallError as error:
                known, wait_s = known and error.status != 404, RETRY_S
            await asyncio.sleep(wait_s)

    async def leave(self) -> None:
        """The server ends: it is gone from now on, as far as anybody can be told."""
        with contextlib.suppress(CallError):
            await asyncio.to_thread(self._caller.on, "DELETE", self._name, why="it ends")
