"""The clients and their front end as a process: an open load on balancers, and each request's outcome.

    python -m loadbalancer.drill.servers.clients SPEC.json

First attempts arrive at random at a given rate, whether or not earlier ones were answered. The front end
rotates over the balancers that answer `GET /healthz`, and notices only after some checks that one has died.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any, NamedTuple

import aiohttp
import msgspec

from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.scenario.tables import ClientLoad, RequestClass
from loadbalancer.drill.servers.persistent_clients import IdleConnections, PersistentClients
from loadbalancer.drill.servers.specification import (
    ProcessSpecification,
    execution_id,
    read_specification,
    receive_commands,
    request_arguments,
    send_message,
)
from loadbalancer.net.request_counters import REJECTION_STATUSES

HEALTH_CHECK_INTERVAL_S = 0.3
HEALTH_CHECK_TIMEOUT_S = 1.0
UNHEALTHY_THRESHOLD = 2  # failed checks in a row
LATE_ANSWER_WINDOW_MS = 1_500.0  # after its deadline, in which a late response is still recorded
PROGRESS_INTERVAL_S = 0.1
MAX_CONNECT_ATTEMPTS = 3  # balancers tried when connections are refused


class ClientsSpecification(ProcessSpecification, kw_only=True, frozen=True):
    """The specification of the clients."""

    balancers: dict[str, str]
    """By name: host:port."""
    load: ClientLoad


class BalancerRotation:
    """Checks which balancers answer, and rotates requests over them."""

    def __init__(self, session: aiohttp.ClientSession, balancers: dict[str, str]) -> None:
        self._session = session
        self.balancers = balancers
        self._failure_counts = dict.fromkeys(balancers, UNHEALTHY_THRESHOLD)
        self._sequence = itertools.count()

    @property
    def healthy(self) -> list[str]:
        """The balancers that are not known to be dead."""
        return [name for name, count in self._failure_counts.items() if count < UNHEALTHY_THRESHOLD]

    def next_balancer(self) -> str:
        """Return the balancer for the next attempt."""
        candidates = self.healthy or list(self.balancers)
        return candidates[next(self._sequence) % len(candidates)]

    async def check_health(self, name: str) -> None:
        """Check one balancer's health periodically."""
        url = f"http://{self.balancers[name]}/healthz"
        timeout = aiohttp.ClientTimeout(total=HEALTH_CHECK_TIMEOUT_S)
        while True:
            try:
                async with self._session.get(url, timeout=timeout) as response:
                    is_healthy = response.status == 200
            except (aiohttp.ClientError, OSError, TimeoutError):
                is_healthy = False
            self._failure_counts[name] = 0 if is_healthy else self._failure_counts[name] + 1
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)


class AttemptResult(NamedTuple):
    """An attempt's outcome, and the wait in seconds that Retry-After asks for."""

    ending: str
    retry_after_s: float = 0.0


class LoadGenerator:
    """Makes all first attempts of a drill, and their retries."""

    def __init__(
        self, spec: ClientsSpecification, rotation: BalancerRotation, session: aiohttp.ClientSession
    ) -> None:
        self._load = spec.load
        self.rotation = rotation
        self._session = session
        self._clock = RealClock(spec.offset_ms)
        self.history = spec.open_history()
        self._random = random.Random(f"{spec.seed}/clients")
        self.started_count = 0
        self.completed_count = 0
        self._last_request_number = 0

    def handle_command(self, command: dict[str, Any]) -> None:
        """Change the rate or the retries."""
        self._load = msgspec.structs.replace(self._load, **command)

    async def run(self) -> None:
        """Make all first attempts, and wait until every request has ended."""
        classes = self._load.classes
        weights = [request_class.weight for request_class in classes]
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        async with asyncio.TaskGroup() as group:
            while self.started_count < self._load.requests:
                due_s += self._random.expovariate(self._load.rate)
                await asyncio.sleep(max(due_s - loop.time(), 0.0))
                self.started_count += 1
                request_class = self._random.choices(classes, weights)[0]
                group.create_task(self._perform(self.started_count, request_class))

    async def _perform(self, number: int, request_class: RequestClass) -> None:
        """Attempt a request until it is served, its deadline has passed, or no retry is allowed."""
        first_ms = self._clock.now
        attempts, retries = 0, self._load.retries
        ending = "gave up"
        while (remaining_ms := request_class.deadline_ms - (self._clock.now - first_ms)) > 0:
            attempts += 1
            ending, retry_after_s = await self._attempt(number, attempts, request_class, remaining_ms)
            is_safe = request_class.effect == "safe"
            may_retry = ending == "refused" or (ending in ("failed", "lost") and is_safe)
            if not may_retry or retries <= 0:
                break
            retries -= 1
            is_compliant = self._random.random() < self._load.retry_after_compliance
            await asyncio.sleep(max(retry_after_s if is_compliant else 0.0, self._load.backoff_ms / 1_000))
        took_ms = self._clock.now - first_ms
        if ending == "served" and took_ms > request_class.latency_objective_ms:
            ending = "late"
        self.history.write(
            "done", wish=number, cls=request_class.name, ending=ending, took=round(took_ms, 3),
            tries=attempts, first=first_ms,
        )  # fmt: skip
        self.completed_count += 1

    async def _attempt(
        self, number: int, attempt: int, request_class: RequestClass, remaining_ms: float
    ) -> AttemptResult:
        """Make one attempt, at another balancer if one refuses the connection."""
        for _ in range(MAX_CONNECT_ATTEMPTS):
            self._last_request_number += 1
            request_id = f"{self._last_request_number:x}-{self._random.randrange(1 << 48):012x}"
            name = self.rotation.next_balancer()
            sent = {"wish": number, "id": request_id, "try": attempt, "cls": request_class.name, "to": name}
            self.history.write("asked", **sent, deadline=round(remaining_ms, 3))
            began_ms = self._clock.now
            try:
                return await self._send(request_id, name, request_class, remaining_ms, is_retry=attempt > 1)
            except aiohttp.ClientConnectorError:
                self.history.write("lost", id=request_id, how="refused", sent=False)
            except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
                if not self._load.persistent_connections:
                    self.history.write("lost", id=request_id, how=type(error).__name__, sent=True)
                    return AttemptResult("lost")
                self._record_connection_loss(request_id, name, began_ms, error)
            except (aiohttp.ClientError, OSError) as error:
                self.history.write("lost", id=request_id, how=type(error).__name__, sent=True)
                return AttemptResult("lost")
            except TimeoutError:
                self.history.write("left", id=request_id)
                return AttemptResult("left")
        return AttemptResult("lost")

    def _record_connection_loss(
        self, request_id: str, balancer: str, began_ms: float, error: Exception
    ) -> None:
        """Record a connection that ended before the first byte of the response; the request is sent again.

        A check decides, by the time since the request was sent, whether it may have crossed the close.
        """
        self.history.write("lost", id=request_id, how="crossed", sent=False)
        after_ms = round(self._clock.now - began_ms, 3)
        self.history.write("crossed", id=request_id, to=balancer, after_ms=after_ms, how=type(error).__name__)

    async def _send(
        self, request_id: str, balancer: str, request_class: RequestClass, remaining_ms: float, *,
        is_retry: bool,
    ) -> AttemptResult:  # fmt: skip
        began_ms = self._clock.now
        is_unsafe = request_class.effect == "unsafe"
        arguments = request_arguments(request_id, request_class.name, remaining_ms, is_unsafe=is_unsafe)
        if is_retry:
            arguments["headers"]["X-Retry"] = "1"
        url = f"http://{self.rotation.balancers[balancer]}/{request_class.name}/{request_id}"
        timeout = aiohttp.ClientTimeout(total=(remaining_ms + LATE_ANSWER_WINDOW_MS) / 1_000)
        async with self._session.request(url=url, timeout=timeout, **arguments) as response:
            body = await response.read()
            status, retry_after = response.status, response.headers.get("Retry-After", "0")
        took_ms = round(self._clock.now - began_ms, 3)
        execution = execution_id(body, request_id)
        self.history.write("answered", id=request_id, status=status, took=took_ms, run=execution)
        if status == 200:
            return AttemptResult("served")
        return AttemptResult("refused" if status in REJECTION_STATUSES else "failed", float(retry_after))


def _send_progress(generator: LoadGenerator) -> None:
    send_message(
        asked=generator.started_count, ended=generator.completed_count, up=generator.rotation.healthy
    )


async def report_progress(generator: LoadGenerator) -> None:
    """Report progress to the driver periodically."""
    while True:
        _send_progress(generator)
        await asyncio.sleep(PROGRESS_INTERVAL_S)


async def main() -> None:
    """Wait for the `begin` command, make all attempts, and report the last progress."""
    spec = read_specification(ClientsSpecification)
    begin = asyncio.Event()
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
        aiohttp.ClientSession() as health_checks,
    ):
        rotation = BalancerRotation(health_checks, spec.balancers)
        generator = LoadGenerator(spec, rotation, session)

        idle_connections = IdleConnections(spec.balancers)

        def _handle_command(command: dict[str, Any]) -> None:
            if "begin" in command:
                begin.set()
            elif "crowd" in command:
                idle_connections.open(**command["crowd"])
            else:
                generator.handle_command(command)

        tasks = [asyncio.create_task(rotation.check_health(name)) for name in spec.balancers]
        tasks.append(asyncio.create_task(report_progress(generator)))
        tasks.append(asyncio.create_task(receive_commands(_handle_command)))
        send_message(ready=["", 0])
        await begin.wait()
        persistent = PersistentClients(
            spec.balancers, spec.load, spec.seed, generator.history, spec.offset_ms
        )
        persistent.start()
        await generator.run()
        await persistent.finish()
        idle_connections.close()
        for task in tasks:
            task.cancel()
        _send_progress(generator)
    generator.history.close()


if __name__ == "__main__":
    asyncio.run(main())
