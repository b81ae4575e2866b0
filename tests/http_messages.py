"""Hand-written HTTP messages for the socket tests, and a recorder of attempt outcomes."""

from __future__ import annotations

import asyncio
import itertools

from loadbalancer import interface
from loadbalancer.interface import Outcome
from tests.loopback import ProxyHarness

LONG_BODY = bytes(range(256)) * 4_096  # 1 MiB, which is streamed
HEAD_TEMPLATE = "Host: h\r\nX-Request-Id: 9b{1}\r\nX-Class: {0}\r\nX-Deadline: 4000m\r\n"
_request_numbers = itertools.count()


def head(method: str = "POST", path: str = "/pay/x", version: str = "1.1", more: str = "") -> bytes:
    """Return the head of a request; its class is the path's second-last segment."""
    class_name = path.split("/")[-2]
    fields = HEAD_TEMPLATE.format(class_name, next(_request_numbers))
    return f"{method} {path} HTTP/{version}\r\n{fields}{more}\r\n".encode()


def chunked(data: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    """Return a chunked body: chunks of `size`, each with this extension, and a trailer at the end."""
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    lines = [b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts]
    return b"".join(lines) + b"0\r\n" + trailer + b"\r\n"


async def write_in_parts(writer: asyncio.StreamWriter, data: bytes, size: int = 50_000) -> None:
    """Write in parts, no faster than the receiver reads."""
    for i in range(0, len(data), size):
        writer.write(data[i : i + size])
        await writer.drain()


def record_outcomes(harness: ProxyHarness) -> list[Outcome]:
    """Return the list to which the outcomes of all attempts are added from now on."""
    outcomes: list[Outcome] = []
    handle = harness.proxy.balancer.handle

    def record(event: interface.Event, now: float) -> list[interface.Action]:
        if isinstance(event, interface.AttemptEnded):
            outcomes.append(event.outcome)
        return handle(event, now)

    harness.proxy.balancer.handle = record  # type: ignore[method-assign]
    return outcomes
