"""A client of the console of a proxy under test."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tests.loopback import HttpMessage, ProxyHarness, read_message, status_of


async def call_console(harness: ProxyHarness, method: str, path: str, body: bytes = b"") -> HttpMessage:
    """Return the console's answer to one call."""
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return await send_to_console(harness, head.encode() + body)


async def send_to_console(harness: ProxyHarness, data: bytes) -> HttpMessage:
    """Return the console's answer to these bytes, and check that the console closes the connection."""
    assert harness.proxy.console is not None
    reader, writer = await asyncio.open_connection(*harness.proxy.console.address[:2])
    writer.write(data)
    response = await read_message(reader)
    assert await reader.read() == b"", "one call per connection"
    writer.close()
    return response


async def read_stats(harness: ProxyHarness) -> dict[str, Any]:
    """Return the answer to `/admin/stats`."""
    response = await call_console(harness, "GET", "/admin/stats")
    assert (status_of(response), response.headers["content-type"]) == (200, "application/json")
    stats: dict[str, Any] = json.loads(response.body)
    return stats


async def set_cordon(harness: ProxyHarness, server: str, is_cordoned: bool = True) -> int:
    """Cordon or uncordon a server; return the status."""
    path = "/admin/cordon" if is_cordoned else "/admin/uncordon"
    return status_of(await call_console(harness, "POST", path, server.encode()))
