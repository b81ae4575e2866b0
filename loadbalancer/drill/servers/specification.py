"""What the helper processes share: a specification file, and JSON lines for commands and messages."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.history import HistoryWriter

SpecificationType = TypeVar("SpecificationType", bound="ProcessSpecification")


class ProcessSpecification(msgspec.Struct, kw_only=True, frozen=True):
    """The specification of every helper process: its name, listen address and history folder."""

    name: str
    listen: str = ""
    """A loopback address; the system chooses the port unless `port` is set."""
    port: int = 0
    folder: str
    offset_ms: float
    """The driver's `unix_offset_ms()`."""
    seed: int

    def open_history(self) -> HistoryWriter:
        """Open the process's history."""
        return HistoryWriter(Path(self.folder), self.name, RealClock(self.offset_ms))


def read_specification(kind: type[SpecificationType]) -> SpecificationType:
    """Read the specification in the file that the command's last argument names."""
    return msgspec.json.decode(Path(sys.argv[-1]).read_bytes(), type=kind)


def request_arguments(
    request_id: str, request_class: str, deadline_ms: float, *, is_unsafe: bool
) -> dict[str, Any]:
    """Return the arguments of aiohttp's `request`, without the URL, for a request as PROTOCOL defines it."""
    headers = {
        "X-Request-Id": request_id,
        "X-Class": request_class,
        "X-Deadline": f"{deadline_ms:.0f}m",
    }
    if is_unsafe:
        return {"method": "POST", "data": b"{}", "headers": headers}
    return {"method": "GET", "headers": headers}


def send_message(**fields: Any) -> None:
    """Send the driver a message."""
    print(json.dumps(fields), flush=True)


async def receive_commands(on_command: Callable[[dict[str, Any]], None]) -> None:
    """Pass on the driver's commands until it closes standard input."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        on_command(json.loads(line))


def execution_id(body: bytes, request_id: str) -> str:
    """Return the execution ID in a response; empty if it has none, or answers another request."""
    try:
        response = json.loads(body)
        return str(response["run"]) if response["id"] == request_id else ""
    except (ValueError, KeyError, TypeError):
        return ""
