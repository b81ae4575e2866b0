"""Helpers of the socket tests: scripted upstreams, a scripted list service and a client, all on loopback."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any, TypeVar

import pytest
import uvloop

from loadbalancer.net.config import EndpointList
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.endpoint_list_codec import decode_endpoint_list
from loadbalancer.net.hot_restart import Predecessor
from loadbalancer.net.proxy import Proxy
from loadbalancer.net.upstream_connection import UpstreamConnection
from loadbalancer.net.upstream_pool import ConnectionPool

T = TypeVar("T")
_request_ids = itertools.count(0x9B1F03AA)  # a new one with each request, as PROTOCOL requires
SCENARIO_TIMEOUT_S = 10.0  # reached only when a test fails
ResponseScript = Callable[["HttpMessage", asyncio.StreamWriter], Awaitable[None]]


class HttpMessage:
    """A request or a response as its receiver read it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        self.start_line, *rest = head.decode("latin-1").split("\r\n")
        self.headers = {n.lower(): v for n, _, v in (line.partition(": ") for line in rest if line)}
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read a request or a response whose length its head gives. Raises IncompleteReadError at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    request = HttpMessage(head[:-4], b"")
    if request.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            request.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        request.body = await reader.readexactly(int(request.headers.get("content-length", "0")))
    return request


def http_response(status_code: int = 200, body: bytes = b"tile", *headers: str) -> bytes:
    """Return a response with a Content-Length and these lines of headers."""
    lines = [f"HTTP/1.1 {status_code} Any", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Upstream:
    """A scripted upstream: it answers the nth request with the nth script, later ones with the last."""

    def __init__(self, *scripts: ResponseScript | bytes) -> None:
        self._scripts = scripts or (http_response(),)
        self.requests: list[HttpMessage] = []
        self.connection_count = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.request_received = asyncio.Event()
        self.connection_ended = asyncio.Event()  # a connection was closed by the balancer

    async def start(self) -> str:
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.writers.append(writer)
        try:
            while True:
                request = await read_message(reader)
                script = self._scripts[min(len(self.requests), len(self._scripts) - 1)]
                self.requests.append(request)
                self.request_received.set()
                if isinstance(script, bytes):
                    writer.write(script)
                else:
                    await script(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.connection_ended.set()
            writer.close()


async def never_answer(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """Never answer."""


async def reset_connection(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """Reset the connection instead of answering."""
    writer.transport.abort()


class ListServer:
    """A scripted list service: a request gets the next published response, or waits for one like a watch."""

    def __init__(self) -> None:
        self.responses: asyncio.Queue[bytes] = asyncio.Queue()
        self.request_lines: asyncio.Queue[str] = asyncio.Queue()

    async def start(self) -> str:
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                self.request_lines.put_nowait(request.start_line)
                writer.write(await self.responses.get())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def publish(self, index: int, *entries: dict[str, Any], snapshot: bool = False) -> None:
        """Answer the next request with these entries, as a delta or a full snapshot."""
        body = json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode()
        self.responses.put_nowait(http_response(200, body))


def endpoint_entry(name: str, address: str, **more: Any) -> dict[str, Any]:
    """Return an endpoint list's entry for a server whose weight lets it take all requests of a test."""
    base = {"name": name, "address": address, "zone": "a", "type": "m", "group": 0, "weight": 40.0}
    return base | {"status": "in_service", "since_ms": 0} | more


def endpoint_list(*entries: dict[str, Any], is_full_snapshot: bool = False) -> EndpointList:
    """Return an endpoint list of these entries, as it is decoded from a response of the list service."""
    return decode_endpoint_list({"index": 1, "snapshot": is_full_snapshot, "endpoints": list(entries)})


def config_text(
    address: str,
    entries: list[dict[str, Any]],
    /,
    console: str = "",
    lists: dict[str, Any] | None = None,
    **settings: Any,
) -> str:
    classes = [
        {"name": "read", "target": 2000.0, "deadline": 5000.0, "effect": "retryable", "worth": 2.0},
        {"name": "pay", "target": 2000.0, "deadline": 5000.0, "effect": "fragile", "worth": 1.0},
    ]
    base: dict[str, Any] = {
        "classes": classes,
        "balancers": 2,
        "discovery": "ask",
        "zone": "a",
        "tick": 2.0,
        "limits": {
            "attemptsCap": 3,
            "connIdle": 60_000.0,
            "connectTimeout": 500.0,
            "mayCancel": True,
            "mayDuplicate": True,
        },
        "contract": {"drainGrace": 500.0, "askWithin": 10_000.0},
    }
    return json.dumps(
        {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": address,
            "console": console,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"index": 7, "snapshot": True, "endpoints": entries},
            "settings": base | settings,
        }
        | ({} if lists is None else {"lists": lists})
    )


class PausedConnects:
    """Holds back connections to all upstreams, or to one, until `release`; `on_connected` runs after each."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, server: str = "") -> None:
        self.started = asyncio.Event()  # the first of them
        self._gate = asyncio.Event()
        self.on_connected: Callable[[], object] = lambda: None
        self.count = 0
        connect = ConnectionPool.connect

        async def gated_connect(pool: ConnectionPool, connection: UpstreamConnection) -> None:
            if server in ("", pool.server):
                self.count += 1
                self.started.set()
                await self._gate.wait()
            await connect(pool, connection)
            self.on_connected()

        monkeypatch.setattr(ConnectionPool, "connect", gated_connect)

    def release(self) -> None:
        """Let connections be established from now on."""
        self._gate.set()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Yield to the loop until the condition is true; the scenario's timeout bounds the wait."""
    while not condition():
        await asyncio.sleep(0)


async def wait_at_least(span_s: float) -> None:
    """Wait for a timer; a slow machine only makes the wait longer."""
    elapsed = asyncio.Event()
    asyncio.get_running_loop().call_later(span_s, elapsed.set)
    await elapsed.wait()


def unreleased_resources(proxy: Proxy) -> list[str]:
    """Return the resources that an idle balancer still holds, none if all were released."""
    counts = {
        "requests": len(proxy.requests.by_id),
        "the decision module's requests": len(proxy.balancer._requests.open_requests),
        "waiting": len(proxy.balancer._requests.wait_queue),
        "bytes": proxy.buffers.used_bytes,
        "attempts in flight": sum(s.in_flight for s in proxy.balancer._endpoints.servers.values()),
        "connections in use": proxy.upstreams.open_connections
        - sum(len(p.idle_connections) for p in proxy.upstreams._pools.values()),
    }
    return [f"{count} {name}" for name, count in counts.items() if count]


class ProxyHarness:
    """A balancer in this process, with its upstreams and its list service."""

    def __init__(
        self,
        *upstreams: Upstream,
        console: str = "127.0.0.1:0",
        folder: Path | None = None,
        memory_mb: float = 192,
        predecessor: Predecessor | None = None,
        **settings: Any,
    ) -> None:
        self.upstreams = upstreams
        self._settings = settings
        self._memory_mb = memory_mb
        self._console = console
        self._folder = folder
        self._predecessor = predecessor
        self.discovery = ListServer()
        self.entries: list[dict[str, Any]] = []
        self.proxy: Proxy

    async def __aenter__(self) -> ProxyHarness:
        for i, upstream in enumerate(self.upstreams):
            self.entries.append(endpoint_entry(f"s{i}", await upstream.start()))
        text = config_text(await self.discovery.start(), self.entries, self._console, **self._settings)
        config = replace(read_config(text, lambda note: None), memory_mb=self._memory_mb)
        self.proxy = Proxy(config, asyncio.get_running_loop(), self._folder, self._predecessor)
        self.proxy.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        return

    async def connect(self) -> HttpClient:
        """Return a client on a new connection to the balancer."""
        client = HttpClient()
        client.reader, client.writer = await asyncio.open_connection(*self.proxy.downstream.address[:2])
        return client

    async def request(self, *args: Any, **more: Any) -> HttpMessage:
        """Send one request on a connection of its own, and return the response."""
        client = await self.connect()
        client.send_request(*args, **more)
        response = await client.read_response()
        client.writer.close()
        return response


class HttpClient:
    """An HTTP client on one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send_request(
        self,
        path: str = "/read/x?y=1",
        body: bytes = b"",
        deadline: str = "4000m",
        **headers: str,
    ) -> None:
        """Write a request; `_` in a header's keyword stands for `-`, and an empty header is left out."""
        method = "POST" if body else "GET"
        request_id = f"{next(_request_ids):08x}"
        named = {"x-request-id": request_id, "x-class": path[1:].partition("/")[0], "x-deadline": deadline}
        named |= {n.replace("_", "-"): v for n, v in headers.items()}
        lines = [f"{method} {path} HTTP/1.1", "Host: h", *[f"{n}: {v}" for n, v in named.items() if v]]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def read_response(self) -> HttpMessage:
        """Read the next response."""
        return await read_message(self.reader)


def send_now(client: HttpClient, data: bytes) -> None:
    """Write bytes to the socket at once, without the event loop."""
    os.write(client.writer.get_extra_info("socket").fileno(), data)


@asynccontextmanager
async def running_program(config: Path) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run the program as the platform starts it; it is killed at the end if it still runs."""
    started = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "loadbalancer", env=os.environ | {"LB_CONFIG": str(config)}
    )
    try:
        yield started
    finally:
        if started.returncode is None:
            started.kill()
            await started.wait()


def run_scenario(scenario: Coroutine[Any, Any, T]) -> T:
    """Run a scenario on the loop that the program uses."""

    async def bounded() -> T:
        return await asyncio.wait_for(scenario, SCENARIO_TIMEOUT_S)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())


def status_of(response: HttpMessage) -> int:
    """Return the status of a response."""
    return int(response.start_line.split(" ")[1])
