"""The steps of a scale run: what is done to the fleet in each, and which changes came of it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import aiohttp

from loadbalancer.drill.errors import DrillError
from loadbalancer.scale.plan import Plan, upstream_number
from loadbalancer.scale.supervisor import ScaleSupervisor

START_TIMEOUT_S = 120.0  # until all hollow balancers have their first list
LEASE_EXPIRY_TIMEOUT_S = 30.0  # until leases that ran out are off the list
POLL_INTERVAL_S = 0.25
ROLLING_RESTART_S, BATCHES = 60.0, 30  # for a restart of all
SERVICE_REPLACEMENT_S = 15.0  # for all of a service
RESTORE_RATE_PER_S = 50.0
MAX_HISTORY_ROWS = 10_000
Changes = list[dict[str, Any]]


class ScaleSteps:
    """Each step returns its changes: name and state of the upstream, and `at_ms`, when it could be told."""

    def __init__(self, plan: Plan, crew: ScaleSupervisor, http: aiohttp.ClientSession) -> None:
        self._plan, self._supervisor, self._http = plan, crew, http
        self._random = random.Random(plan.seed)
        self._withdrawn: list[int] = []  # upstreams that are drained or removed, to be put back
        self.by_name: dict[str, Callable[[], Awaitable[Changes]]] = {
            "start": self._start, "quiet": self._quiet, "changes": self._changes, "rack": self._rack,
            "zone": self._zone, "rolling": self._rolling, "replaced": self._replaced,
            "instance-killed": self._instance_killed, "away": self._away, "regions": self._regions,
        }  # fmt: skip

    async def _start(self) -> Changes:
        """All balancers at once."""
        for number in self._plan.real_numbers():
            self._supervisor.start_real(number)
        numbers, parts = self._plan.hollow_numbers(), max(round(self._plan.start_s / POLL_INTERVAL_S), 1)
        for part in range(parts):
            self._supervisor.command_hollow_hosts(do="start", numbers=numbers[part::parts])
            if part < parts - 1:
                await asyncio.sleep(POLL_INTERVAL_S)
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until and not (
            self._ready_count() >= self._plan.hollow and self._have_real_balancers_called()
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
        for number in self._plan.real_numbers():
            if self._plan.is_called(number):
                self._supervisor.processes["edge"].process.send_command(
                    {"call": self._supervisor.listen_addresses[number]}
                )
        return []

    def _ready_count(self) -> int:
        """How many hollow balancers have a list."""
        rows = [self._supervisor.processes[host].rows for host in self._supervisor.hollow_hosts()]
        return sum(next((r["ready"] for r in reversed(some[-4:]) if "ready" in r), 0) for some in rows)

    def _have_real_balancers_called(self) -> bool:
        """Whether each real balancer has called for its list."""
        rows = [self._supervisor.processes[f"b{number}"].rows for number in self._plan.real_numbers()]
        return all(any(sum(row.get("calls", {}).values()) for row in some) for some in rows)

    async def _quiet(self) -> Changes:
        await asyncio.sleep(self._plan.quiet_s)
        return []

    async def _changes(self) -> Changes:
        """Drains, new starts and removals, each of another upstream."""
        numbers = self._random.sample(range(self._plan.balancers), self._plan.changes)
        return await self.write(numbers, ["drain", "start", "remove"], self._plan.changes_per_s)

    async def _rack(self) -> Changes:
        """The upstreams and balancers of a rack fall silent, lapse, and start anew."""
        return await self._silence_and_restart(self._plan.rack(0))

    async def _zone(self) -> Changes:
        """As a rack: a whole zone. The service takes half of it off the list at the most (`floor_part`)."""
        return await self._silence_and_restart(list(range(1, self._plan.balancers, self._plan.zones)))

    async def _silence_and_restart(self, numbers: list[int]) -> Changes:
        began_ms = time.time() * 1_000
        self._supervisor.processes["registrar"].process.send_command({"do": "silent", "numbers": numbers})
        self._supervisor.command_hollow_hosts(do="stop", numbers=numbers)
        await asyncio.sleep(self._plan.lease_s + 2.0)
        lapses = await self._expired_leases(began_ms)
        await asyncio.sleep(self._plan.settle_s)
        lapses = await self._expired_leases(began_ms) or lapses
        self._supervisor.command_hollow_hosts(do="start", numbers=numbers)
        return lapses + await self.write(numbers, ["start"], RESTORE_RATE_PER_S)

    async def _expired_leases(self, since_ms: float) -> Changes:
        """What the service itself has taken off the list, by the first account of any instance."""
        found: dict[str, float] = {}
        for at in self._supervisor.instances:
            async with self._http.get(f"http://{at}/v1/history?most={MAX_HISTORY_ROWS}") as answer:
                for row in await answer.json():
                    if row["what"] == "lapsed" and row["at_ms"] >= since_ms:
                        found[row["name"]] = min(found.get(row["name"], row["at_ms"]), row["at_ms"])
        return [
            {"name": name, "state": "gone", "at_ms": at_ms, "tier": self._plan.tier(upstream_number(name))}
            for name, at_ms in found.items()
        ]

    async def _rolling(self) -> Changes:
        """All upstreams and their balancers are started anew, in batches."""
        return await self._restart(list(range(self._plan.balancers)), [], ROLLING_RESTART_S)

    async def _replaced(self) -> Changes:
        """A service of a tenth of all is replaced cold, and all its callers with it."""
        callers = [n for n in self._plan.hollow_numbers() if 0 in self._plan.called_services(n)]
        numbers = [n for n in range(self._plan.balancers) if self._plan.service(n) == 0]
        return await self._restart(numbers, callers, SERVICE_REPLACEMENT_S)

    async def _restart(self, numbers: list[int], callers: list[int], over_s: float) -> Changes:
        """Start upstreams anew in batches, each with its balancer, and with them some callers."""
        batches, changes = min(BATCHES, len(numbers)), Changes()
        began = time.monotonic()
        for place in range(batches):
            own, also = numbers[place::batches], callers[place::batches]
            hollow = sorted({*own, *also})
            self._supervisor.command_hollow_hosts(do="stop", numbers=hollow)
            changes += await self.write(own, ["start"], len(own) / over_s * batches * 1.5)
            self._supervisor.command_hollow_hosts(do="start", numbers=hollow)
            due = began + (place + 1) * over_s / batches
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
        return changes

    async def _instance_killed(self) -> Changes:
        """The first instance is killed, changes go on, and it comes back."""
        if self._plan.instances < 2:
            raise DrillError("instance-killed: there is one instance only")
        self._supervisor.kill("list0")
        changes = await self._write_some(["start", "drain"], over_s=self._plan.settle_s)
        self._supervisor.start_instance(0)
        await self._supervisor.wait_for_instances([0])
        return changes

    async def _away(self) -> Changes:
        """No instance is there for a while; then all are, and changes come at once."""
        every = range(self._plan.instances)
        for number in every:
            self._supervisor.kill(f"list{number}")
        await asyncio.sleep(self._plan.away_s)
        for number in every:
            self._supervisor.start_instance(number)
        await self._supervisor.wait_for_instances(every)
        return await self._write_some(["start", "drain"], over_s=self._plan.settle_s / 2)

    async def _regions(self) -> Changes:
        """Instances can't reach one another while changes go on; those count from the cut's end."""
        self._supervisor.relays.set_partitioned(is_partitioned=True)
        changes = await self._write_some(["start", "drain"], over_s=self._plan.away_s / 2)
        self._supervisor.relays.set_partitioned(is_partitioned=False)
        healed_ms = time.time() * 1_000
        return [change | {"at_ms": max(change["at_ms"], healed_ms)} for change in changes]

    async def _write_some(self, kinds: list[str], over_s: float) -> Changes:
        """A few changes, spread over a time."""
        count = max(self._plan.changes // 4, 2)
        numbers = self._random.sample(range(self._plan.balancers), count)
        return await self.write(numbers, kinds, count / over_s)

    async def write(self, numbers: Iterable[int], kinds: list[str], per_s: float) -> Changes:
        """Have the registrar make changes; DriveError if one was not taken."""
        writes = [(number, kinds[place % len(kinds)]) for place, number in enumerate(numbers)]
        self._withdrawn += [number for number, what in writes if what != "start"]
        written = await self._supervisor.request(
            "registrar", {"do": "write", "writes": writes, "per_s": per_s}
        )
        if lost := [w for w in written["written"] if w["status"] != 200]:
            raise DrillError(f"{len(lost)} changes were not taken, the first is {lost[0]}")
        return [
            told | {"at_ms": told["sent_ms"], "tier": self._plan.tier(upstream_number(told["name"]))}
            for told in written["written"]
        ]

    async def restore(self) -> None:
        """Put back what a step has drained or removed."""
        numbers, self._withdrawn = sorted(set(self._withdrawn)), []
        if numbers:
            await self.write(numbers, ["start"], RESTORE_RATE_PER_S)
            await asyncio.sleep(self._plan.settle_s / 2)
