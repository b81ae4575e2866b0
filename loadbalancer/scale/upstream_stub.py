"""All upstreams in one socket, which answers anything, and the light load on the real balancers.

python -m loadbalancer.scale.upstream_stub SPEC.json
"""

from __future__ import annotations

import asyncio
from typing import Any, cast

import aiohttp

from loadbalancer.drill.servers.specification import Place, follow, read_spec, request_of, say
from loadbalancer.scale.counting import in_background, run, tell_each_second

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"
END = b"\r\n\r\n"


class Spec(Place, kw_only=True, frozen=True):
    """What the edge is told."""

    calls_per_s: float


class Upstream(asyncio.Protocol):
    """A connection on which each request without a body is answered at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport, self._rest = cast(asyncio.Transport, transport), b""

    def data_received(self, data: bytes) -> None:
        """Answer all that is whole."""
        *whole, self._rest = (self._rest + data).split(END)
        self._transport.write(ANSWER * len(whole))


class Load:
    """Calls at the real balancers, so many a second at each."""

    def __init__(self, spec: Spec) -> None:
        self._spec, self.served, self.failed, self._last = spec, 0, 0, 0
        self._tasks: set[asyncio.Task[None]] = set()

    def command(self, line: dict[str, Any]) -> None:
        """Call a balancer from now on."""
        task = in_background(asyncio.get_running_loop(), self._call_on(line["call"]))
        self._tasks.add(task)

    async def _call_on(self, at: str) -> None:
        async with aiohttp.ClientSession() as http:
            while True:
                await asyncio.sleep(1 / self._spec.calls_per_s)
                self._last += 1
                asked = request_of(f"{self._last}", "plain", 1_000.0, False)
                try:
                    async with http.request(url=f"http://{at}/", **asked) as answer:
                        self.served += answer.status == 200
                        self.failed += answer.status != 200
                except (aiohttp.ClientError, OSError):
                    self.failed += 1

    def second(self) -> dict[str, object]:
        """The counts of a second."""
        told: dict[str, object] = {"served": self.served, "failed": self.failed}
        self.served = self.failed = 0
        return told


async def serve() -> None:
    """Answer, and call, until the driver closes our input."""
    spec, loop = read_spec(Spec), asyncio.get_running_loop()
    load = Load(spec)
    server = await loop.create_server(Upstream, "127.0.0.1", 0, backlog=1_024)
    task = in_background(loop, tell_each_second(load.second))
    say(ready="{}:{}".format(*server.sockets[0].getsockname()))
    await follow(load.command)
    task.cancel()


if __name__ == "__main__":
    run(serve())
