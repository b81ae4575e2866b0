"""What stand-ins share: a specification in a file, commands as lines in, word of themselves as lines out."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from loadbalancer.drill.clock import RealClock
from loadbalancer.drill.history import Writer

Spec = TypeVar("Spec", bound="Place")


class Place(msgspec.Struct, kw_only=True, frozen=True):
    """What every stand-in is told: its name, where it listens, and where its history goes."""

    name: str
    listen: str = ""  # an address of the loopback; the port is the system's choice unless `port` is set
    port: int = 0
    folder: str
    offset_ms: float
    seed: int

    def writer(self) -> Writer:
        """Where it writes what happens."""
        return Writer(Path(self.folder), self.name, RealClock(self.offset_ms))


def read_spec(kind: type[Spec]) -> Spec:
    """The specification in the file that the first argument names."""
    return msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=kind)


def request_of(number: str, cls: str, deadline_ms: float, unsafe: bool) -> dict[str, Any]:
    """A request as PROTOCOL has it: what aiohttp's `request` takes beside the address."""
    headers = {"X-Request-Id": number, "X-Class": cls, "X-Deadline": f"{deadline_ms:.0f}m"}
    return (
        {"method": "POST", "data": b"{}", "headers": headers}
        if unsafe
        else {"method": "GET", "headers": headers}
    )


def say(**line: Any) -> None:
    """Tell the driver something."""
    print(json.dumps(line), flush=True)


async def follow(command: Callable[[dict[str, Any]], None]) -> None:
    """Carry out the driver's commands until it closes our input."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        command(json.loads(line))
