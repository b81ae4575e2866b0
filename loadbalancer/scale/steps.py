"""The steps of a scale run: what each does to the fleet, and which changes result."""

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
POLL_INTERVAL_S = 0.25
EXPIRY_MARGIN_S = 2.0  # past a lease, until the registry has noticed that it expired
ROLLING_RESTART_S = 60.0  # for a restart of all upstreams
SERVICE_REPLACEMENT_S = 15.0  # for all upstreams of a service
MAX_BATCHES = 30  # of a restart
WRITE_HEADROOM = 1.5  # factor by which a batch's writes are faster than the whole restart
RESTORE_RATE_PER_S = 50.0
MAX_HISTORY_ROWS = 10_000
RECENT_ROWS = 4  # of a host, searched for its latest report
Changes = list[dict[str, Any]]
"""Name, state and tier of the upstream, and `at_ms`, when the change could first be known."""


class ScaleSteps:
    """The steps by name; each returns its changes."""

    def __init__(self, plan: Plan, supervisor: ScaleSupervisor, http: aiohttp.ClientSession) -> None:
        self._plan = plan
        self._supervisor = supervisor
        self._http = http
        self._random = random.Random(plan.seed)
        self._withdrawn: list[int] = []  # drained or removed upstreams, to be restored
        self.by_name: dict[str, Callable[[], Awaitable[Changes]]] = {
            "start": self._start, "quiet": self._quiet, "changes": self._changes, "rack": self._rack,
            "zone": self._zone, "rolling": self._rolling, "replaced": self._replaced,
            "instance-killed": self._instance_killed, "away": self._away, "regions": self._regions,
        }  # fmt: skip

    # ---- start and quiet ------------------------------------------------------------------------

    async def _start(self) -> Changes:
        """Start all balancers at once, or spread over the plan's time."""
        supervisor = self._supervisor
        for number in self._plan.real_numbers():
            supervisor.start_real(number)
        numbers = self._plan.hollow_numbers()
        batches = max(round(self._plan.start_s / POLL_INTERVAL_S), 1)
        for batch in range(batches):
            supervisor.command_hollow_hosts(do="start", numbers=numbers[batch::batches])
            if batch < batches - 1:
                await asyncio.sleep(POLL_INTERVAL_S)
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until and not self._has_started():
            await asyncio.sleep(POLL_INTERVAL_S)
        for number in self._plan.real_numbers():
            if self._plan.is_called(number):
                command = {"call": supervisor.listen_addresses[number]}
                supervisor.processes["edge"].process.send_command(command)
        return []

    def _has_started(self) -> bool:
        """Return whether all hollow balancers have a list, and all real ones have called for theirs."""
        return self._ready_count() >= self._plan.hollow and self._have_real_balancers_called()

    def _ready_count(self) -> int:
        """Return how many hollow balancers have a list."""
        hosts = [
            self._supervisor.processes[host].rows[-RECENT_ROWS:] for host in self._supervisor.hollow_hosts()
        ]
        return sum(next((row["ready"] for row in reversed(rows) if "ready" in row), 0) for rows in hosts)

    def _have_real_balancers_called(self) -> bool:
        balancers = [self._supervisor.processes[f"b{number}"].rows for number in self._plan.real_numbers()]
        return all(any(sum(row.get("calls", {}).values()) for row in rows) for rows in balancers)

    async def _quiet(self) -> Changes:
        """Do nothing."""
        await asyncio.sleep(self._plan.quiet_s)
        return []

    # ---- upstreams ------------------------------------------------------------------------------

    async def _changes(self) -> Changes:
        """Drain, restart and remove upstreams, each a different one."""
        numbers = self._random.sample(range(self._plan.balancers), self._plan.changes)
        return await self.write(numbers, ["drain", "start", "remove"], self._plan.changes_per_s)

    async def _rack(self) -> Changes:
        """Silence the upstreams and balancers of a rack, let their leases expire, and restart them."""
        return await self._silence_and_restart(self._plan.rack(0))

    async def _zone(self) -> Changes:
        """Do the same to a zone, of which the registry removes at most half (`floor_part`)."""
        return await self._silence_and_restart(list(range(1, self._plan.balancers, self._plan.zones)))

    async def _silence_and_restart(self, numbers: list[int]) -> Changes:
        began_ms = time.time() * 1_000
        silence = {"do": "silent", "numbers": numbers}
        self._supervisor.processes["registrar"].process.send_command(silence)
        self._supervisor.command_hollow_hosts(do="stop", numbers=numbers)
        await asyncio.sleep(self._plan.lease_s + EXPIRY_MARGIN_S)
        expiries = await self._expired_leases(began_ms)
        await asyncio.sleep(self._plan.settle_s)
        expiries = await self._expired_leases(began_ms) or expiries
        self._supervisor.command_hollow_hosts(do="start", numbers=numbers)
        return expiries + await self.write(numbers, ["start"], RESTORE_RATE_PER_S)

    async def _expired_leases(self, since_ms: float) -> Changes:
        """Return the removals by the registry itself, at the earliest time that any instance recorded."""
        removed_at_ms: dict[str, float] = {}
        for address in self._supervisor.instances:
            url = f"http://{address}/v1/history?most={MAX_HISTORY_ROWS}"
            async with self._http.get(url) as answer:
                for row in await answer.json():
                    if row["what"] == "lapsed" and row["at_ms"] >= since_ms:
                        name, at_ms = row["name"], row["at_ms"]
                        removed_at_ms[name] = min(removed_at_ms.get(name, at_ms), at_ms)
        return [
            {"name": name, "state": "gone", "at_ms": at_ms, "tier": self._plan.tier(upstream_number(name))}
            for name, at_ms in removed_at_ms.items()
        ]

    async def _rolling(self) -> Changes:
        """Restart all upstreams and their balancers in batches."""
        return await self._restart(list(range(self._plan.balancers)), [], ROLLING_RESTART_S)

    async def _replaced(self) -> Changes:
        """Restart the first service, a tenth of all upstreams, and all balancers that call it."""
        callers = [n for n in self._plan.hollow_numbers() if 0 in self._plan.called_services(n)]
        numbers = [n for n in range(self._plan.balancers) if self._plan.service(n) == 0]
        return await self._restart(numbers, callers, SERVICE_REPLACEMENT_S)

    async def _restart(self, numbers: list[int], callers: list[int], duration_s: float) -> Changes:
        """Restart upstreams in batches, each with its balancer, and the given callers with them."""
        batches = min(MAX_BATCHES, len(numbers))
        changes: Changes = []
        began_s = time.monotonic()
        for batch in range(batches):
            batch_numbers = numbers[batch::batches]
            restarted = sorted({*batch_numbers, *callers[batch::batches]})
            self._supervisor.command_hollow_hosts(do="stop", numbers=restarted)
            changes += await self.write(
                batch_numbers, ["start"], len(batch_numbers) / duration_s * batches * WRITE_HEADROOM
            )
            self._supervisor.command_hollow_hosts(do="start", numbers=restarted)
            due_s = began_s + (batch + 1) * duration_s / batches
            await asyncio.sleep(max(due_s - time.monotonic(), 0.0))
        return changes

    # ---- the registry ---------------------------------------------------------------------------

    async def _instance_killed(self) -> Changes:
        """Kill the first instance, make changes while it is down, and restart it."""
        if self._plan.instances < 2:
            raise DrillError("instance-killed: needs at least two instances")
        self._supervisor.kill("list0")
        changes = await self._write_some(["start", "drain"], duration_s=self._plan.settle_s)
        self._supervisor.start_instance(0)
        await self._supervisor.wait_for_instances([0])
        return changes

    async def _away(self) -> Changes:
        """Kill all instances, restart them after `away_s`, and make changes at once."""
        numbers = range(self._plan.instances)
        for number in numbers:
            self._supervisor.kill(f"list{number}")
        await asyncio.sleep(self._plan.away_s)
        for number in numbers:
            self._supervisor.start_instance(number)
        await self._supervisor.wait_for_instances(numbers)
        return await self._write_some(["start", "drain"], duration_s=self._plan.settle_s / 2)

    async def _regions(self) -> Changes:
        """Make changes while the instances are partitioned; their times count from the partition's end."""
        self._supervisor.relays.set_partitioned(is_partitioned=True)
        changes = await self._write_some(["start", "drain"], duration_s=self._plan.away_s / 2)
        self._supervisor.relays.set_partitioned(is_partitioned=False)
        healed_ms = time.time() * 1_000
        return [change | {"at_ms": max(change["at_ms"], healed_ms)} for change in changes]

    # ---- writes ---------------------------------------------------------------------------------

    async def _write_some(self, kinds: list[str], duration_s: float) -> Changes:
        """Make a quarter of the plan's changes, at least two, spread over a duration."""
        count = max(self._plan.changes // 4, 2)
        numbers = self._random.sample(range(self._plan.balancers), count)
        return await self.write(numbers, kinds, count / duration_s)

    async def write(self, numbers: Iterable[int], kinds: list[str], rate_per_s: float) -> Changes:
        """Have the registrar make changes; DrillError if one was not accepted."""
        writes = [(number, kinds[index % len(kinds)]) for index, number in enumerate(numbers)]
        self._withdrawn += [number for number, kind in writes if kind != "start"]
        command = {"do": "write", "writes": writes, "per_s": rate_per_s}
        results = (await self._supervisor.request("registrar", command))["written"]
        if failures := [result for result in results if result["status"] != 200]:
            raise DrillError(f"{len(failures)} changes were not accepted, the first is {failures[0]}")
        return [
            result | {"at_ms": result["sent_ms"], "tier": self._plan.tier(upstream_number(result["name"]))}
            for result in results
        ]

    async def restore(self) -> None:
        """Register again the upstreams that a step drained or removed."""
        numbers, self._withdrawn = sorted(set(self._withdrawn)), []
        if numbers:
            await self.write(numbers, ["start"], RESTORE_RATE_PER_S)
            await asyncio.sleep(self._plan.settle_s / 2)
