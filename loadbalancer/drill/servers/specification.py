"""What the helper processes share: a specification in a file, commands as lines in, messages as lines out."""

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
    """What every helper process is started with: its name, where it listens, where its history goes."""

    name: str
    listen: str = ""
    """An address of the loopback; the port is the system's choice unless `port` is set."""
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
    """Return a request as PROTOCOL has it: what aiohttp's `request` takes beside the URL."""
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
    """Hand on the driver's commands until it closes our input."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        on_command(json.loads(line))


def execution_id(body: bytes, request_id: str) -> str:
    """Return who made an answer, as it says; empty where it says nothing, or answers something else."""
    try:
        answer = json.loads(body)
        return str(answer["run"]) if answer["id"] == request_id else ""
    except (ValueError, KeyError, TypeError):
        return ""
