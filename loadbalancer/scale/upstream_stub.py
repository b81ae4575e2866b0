"""All upstreams behind one socket that answers any request, and the light load on the real balancers.

python -m loadbalancer.scale.upstream_stub SPEC.json
"""

from __future__ import annotations

import asyncio
from typing import Any, cast

import aiohttp

from loadbalancer.drill.servers.specification import (
    ProcessSpecification,
    read_specification,
    receive_commands,
    request_arguments,
    send_message,
)
from loadbalancer.scale.second_counts import report_each_second, run_helper, start_critical_task

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"
HEAD_END = b"\r\n\r\n"
LISTEN_BACKLOG = 1_024
REQUEST_DEADLINE_MS = 1_000.0


class UpstreamStubSpecification(ProcessSpecification, kw_only=True, frozen=True):
    """Start parameters of the stub."""

    calls_per_s: float
    """At each real balancer that gets calls."""


class UpstreamConnection(asyncio.Protocol):
    """A connection on which each request without a body is answered at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._partial_head = b""

    def data_received(self, data: bytes) -> None:
        """Answer each request whose head is complete."""
        *heads, self._partial_head = (self._partial_head + data).split(HEAD_END)
        self._transport.write(RESPONSE * len(heads))


class BalancerLoad:
    """Calls to real balancers at a fixed rate each."""

    def __init__(self, spec: UpstreamStubSpecification) -> None:
        self._spec = spec
        self._served_count = 0
        self._failed_count = 0
        self._last_request_number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def handle_command(self, command: dict[str, Any]) -> None:
        """Start calling a balancer."""
        task = start_critical_task(asyncio.get_running_loop(), self._call_repeatedly(command["call"]))
        self._tasks.add(task)

    async def _call_repeatedly(self, address: str) -> None:
        async with aiohttp.ClientSession() as http:
            while True:
                await asyncio.sleep(1 / self._spec.calls_per_s)
                self._last_request_number += 1
                arguments = request_arguments(
                    f"{self._last_request_number}", "plain", REQUEST_DEADLINE_MS, is_unsafe=False
                )
                try:
                    async with http.request(url=f"http://{address}/", **arguments) as answer:
                        self._served_count += answer.status == 200
                        self._failed_count += answer.status != 200
                except (aiohttp.ClientError, OSError):
                    self._failed_count += 1

    def take_counts(self) -> dict[str, object]:
        """Return the counts of the last second, and reset them."""
        counts: dict[str, object] = {"served": self._served_count, "failed": self._failed_count}
        self._served_count = 0
        self._failed_count = 0
        return counts


async def serve() -> None:
    """Answer and make calls until the driver closes standard input."""
    spec, loop = read_specification(UpstreamStubSpecification), asyncio.get_running_loop()
    load = BalancerLoad(spec)
    server = await loop.create_server(UpstreamConnection, "127.0.0.1", 0, backlog=LISTEN_BACKLOG)
    task = start_critical_task(loop, report_each_second(load.take_counts))
    send_message(ready="{}:{}".format(*server.sockets[0].getsockname()))
    await receive_commands(load.handle_command)
    task.cancel()


if __name__ == "__main__":
    run_helper(serve())
