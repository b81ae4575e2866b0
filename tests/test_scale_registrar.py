"""The registrar of a scale run: an upstream that falls silent and restarts is renewed again."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from loadbalancer.scale import registrar
from loadbalancer.scale.plan import Plan
from loadbalancer.scale.registrar import Registrar, RegistrarSpecification


class FakeConnections:
    """Replaces connections: each call is answered with 200 and can be awaited."""

    def __init__(self) -> None:
        self._calls: asyncio.Queue[str] = asyncio.Queue()

    async def call(self, instance: int, method: str, path: str, body: Any) -> int:
        self._calls.put_nowait(f"{method} {path.rpartition('/')[2]}")
        await asyncio.sleep(0)
        return 200

    async def wait_for(self, what: str) -> None:
        while await self._calls.get() != what:
            pass


@pytest.mark.parametrize("ends", ["silent", "remove"])
def test_upstream_that_was_silent_and_restarts_is_renewed_again(
    ends: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A renewal due while it was silent was dropped: it registered again and expired a lease later."""

    async def scenario() -> None:
        connections = FakeConnections()
        monkeypatch.setattr(registrar, "InstanceConnections", lambda instance_addresses, counts: connections)
        plan = Plan(balancers=1, hollow=0, real=1, lease_s=0.2)
        spec = RegistrarSpecification(
            name="registrar",
            folder="",
            offset_ms=0.0,
            seed=1,
            plan=plan,
            instance_addresses=[],
            address="127.0.0.1:2",
        )
        subject = Registrar(spec)
        subject.start()
        subject.handle_command({"do": "register"})
        await connections.wait_for("POST renew")
        if ends == "silent":
            subject.handle_command({"do": "silent", "numbers": [0]})
        else:
            subject.handle_command({"do": "write", "id": 1, "writes": [[0, "remove"]], "per_s": 100.0})
            await connections.wait_for("DELETE s0")
        while not subject._due:  # the renewal in flight is answered and the next one scheduled
            await asyncio.sleep(0.001)
        while subject._due or not subject._jobs.empty():  # its renewal has been dropped
            await asyncio.sleep(0.001)
        subject.handle_command({"do": "write", "id": 2, "writes": [[0, "start"]], "per_s": 100.0})
        await connections.wait_for("PUT s0")
        for _ in range(3):
            await connections.wait_for("POST renew")

    async def scenario_within_timeout() -> None:
        await asyncio.wait_for(scenario(), 5.0)

    asyncio.run(scenario_within_timeout())
