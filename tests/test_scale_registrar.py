"""The registrar of a scale run: whoever falls silent and starts anew is spoken for again."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from loadbalancer.scale import registrar
from loadbalancer.scale.plan import Plan
from loadbalancer.scale.registrar import Registrar, RegistrarSpecification


class Taken:
    """In place of connections: each call is taken, and told."""

    def __init__(self) -> None:
        self._calls: asyncio.Queue[str] = asyncio.Queue()

    async def call(self, place: int, method: str, path: str, body: Any) -> int:
        self._calls.put_nowait(f"{method} {path.rpartition('/')[2]}")
        await asyncio.sleep(0)
        return 200

    async def until(self, what: str) -> None:
        while await self._calls.get() != what:
            pass


@pytest.mark.parametrize("ends", ["silent", "remove"])
def test_an_upstream_that_was_silent_and_starts_anew_is_renewed_again(
    ends: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its turn came while it was silent and was dropped: it registered, and lapsed a lease later."""

    async def scenario() -> None:
        taken = Taken()
        monkeypatch.setattr(registrar, "InstanceConnections", lambda ways, tally: taken)
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
        one = Registrar(spec)
        one.start()
        one.handle_command({"do": "register"})
        await taken.until("POST renew")
        if ends == "silent":
            one.handle_command({"do": "silent", "numbers": [0]})
        else:
            one.handle_command({"do": "write", "id": 1, "writes": [[0, "remove"]], "per_s": 100.0})
            await taken.until("DELETE s0")
        while not one._due:  # the renewal that is under way has its answer, and the next one is due
            await asyncio.sleep(0.001)
        while one._due or not one._jobs.empty():  # its turn has come and gone
            await asyncio.sleep(0.001)
        one.handle_command({"do": "write", "id": 2, "writes": [[0, "start"]], "per_s": 100.0})
        await taken.until("PUT s0")
        for _ in range(3):
            await taken.until("POST renew")

    async def within() -> None:
        await asyncio.wait_for(scenario(), 5.0)

    asyncio.run(within())
