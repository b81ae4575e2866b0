"""Random plays of clients that send much and leave: `python -m tests.leaving_clients 4-9`.

The program has a quarter of a core; the servers are a process of their own, whose reading the clients do not
hold up. Each play prints the requests that a server got more than 0.1 s after their client's close.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import uvloop

from tests import real_processes
from tests.loopback import HttpMessage, Upstream, http_response
from tests.real_processes import RunningProgram, run_play, running_balancer

CLIENTS = 200
ARRIVAL_S = 3.0  # in which they all come
SETTLING_S = 2.5  # after the last close
MAX_LATE_START_S = 0.1
SEND_BUFFER_BYTES = 4_000_000
CLASSES = [
    {"name": "read", "target": 400.0, "deadline": 2_000.0, "effect": "retryable"},
    {"name": "pay", "target": 400.0, "deadline": 2_000.0, "effect": "fragile"},
]
SERVE = "serve"


def request(client: int, number: int, class_name: str, fields: bytes = b"", body: bytes = b"") -> bytes:
    """Return a request whose ID names its client."""
    method = "POST" if body else "GET"
    lines = f"X-Class: {class_name}\r\nX-Request-Id: {client}-{number}\r\nX-Deadline: 2000m\r\n"
    return f"{method} /{class_name}/x HTTP/1.1\r\n{lines}".encode() + fields + b"\r\n" + body


def pipelined(client: int, class_name: str) -> bytes:
    """Return many short requests."""
    return b"".join(request(client, number, class_name) for number in range(2_000))


def pipelined_with_long_heads(client: int, class_name: str) -> bytes:
    """Return many requests with long heads."""
    fields = b"X-Pad: " + b"p" * 8_000 + b"\r\n"
    return b"".join(request(client, number, class_name, fields) for number in range(300))


def one_long_body(client: int, class_name: str) -> bytes:
    """Return one request with a long body."""
    return request(client, 0, class_name, b"Content-Length: 1000000\r\n", bytes(1_000_000))


def chunked_bodies(client: int, class_name: str) -> bytes:
    """Return some requests with long chunked bodies."""
    body = (b"fff0\r\n" + bytes(0xFFF0) + b"\r\n") * 3 + b"0\r\n\r\n"
    fields = b"Transfer-Encoding: chunked\r\n"
    return b"".join(request(client, number, class_name, fields, body) for number in range(5))


def buffered_bodies(client: int, class_name: str) -> bytes:
    """Return many requests with bodies that are buffered."""
    fields = b"Content-Length: 60000\r\n"
    return b"".join(request(client, number, class_name, fields, bytes(60_000)) for number in range(30))


KINDS: tuple[Callable[[int, str], bytes], ...] = (
    pipelined, pipelined_with_long_heads, one_long_body, chunked_bodies, buffered_bodies,
)  # fmt: skip


@dataclass(frozen=True)
class Departure:
    """When a client closed its connection, and what it had sent."""

    closed_s: float
    kind: str


class RemoteUpstream:
    """An upstream in a process of its own, which writes down what it gets and when."""

    record: Path  # of the play

    def __init__(self, *_: object) -> None:
        self._process: subprocess.Popen[str] | None = None

    async def start(self) -> str:
        """Start the process; return the address."""
        command = [sys.executable, "-m", "tests.leaving_clients", SERVE, str(self.record)]
        self._process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        assert self._process.stdout is not None
        return self._process.stdout.readline().strip()


async def serve(record: Path) -> None:
    """Answer in all the ways that upstreams do, until the standard input ends."""
    choices = random.Random(1)

    async def script(received: HttpMessage, writer: asyncio.StreamWriter) -> None:
        with record.open("a") as file:
            file.write(f"{received.headers['x-request-id']} {time.monotonic()}\n")
        await asyncio.sleep(choices.choice([0.0, 0.01, 0.05, 0.2, 0.6]))
        outcome = choices.random()
        if outcome < 0.1:
            writer.transport.abort()
        elif outcome < 0.2:
            writer.write(http_response(503, b"", "X-Not-Run: 1"))
        elif outcome > 0.3:
            writer.write(http_response(200, bytes(choices.choice([4, 30_000, 200_000]))))

    print(await Upstream(script).start(), flush=True)
    await asyncio.to_thread(sys.stdin.read)


async def send_and_leave(program: RunningProgram, number: int, choices: random.Random) -> Departure:
    """Send as much as the kernel takes, and close the connection soon."""
    await asyncio.sleep(choices.random() * ARRIVAL_S)
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    connection.settimeout(0)
    await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", program.port))
    kind = choices.choice(KINDS)
    connection.send(kind(number, choices.choice(["read", "pay"])))
    await asyncio.sleep(choices.choice([0.0, 0.02, 0.1, 0.3]))
    connection.close()
    return Departure(time.monotonic(), kind.__name__)


async def play(seed: int) -> None:
    """Play one seed, and print what began late."""
    choices = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        RemoteUpstream.record = Path(folder, "record")
        RemoteUpstream.record.touch()
        async with running_balancer(Path(folder), upstream_count=6, classes=CLASSES) as program:
            departures = await asyncio.gather(*[send_and_leave(program, n, choices) for n in range(CLIENTS)])
            await asyncio.sleep(SETTLING_S)
        begun = [line.split() for line in RemoteUpstream.record.read_text().splitlines()]
    late = []
    for request_id, begun_s in begun:
        departure = departures[int(request_id.partition("-")[0])]
        if (after_s := float(begun_s) - departure.closed_s) > MAX_LATE_START_S:
            late.append(f"{departure.kind} {request_id} after {after_s:.3f} s")
    print(f"seed {seed}: {len(begun)} begun, {len(late)} late", *late, sep="; ", flush=True)


def main(first: int, last: int) -> None:
    """Play seeds."""
    real_processes.Upstream = RemoteUpstream  # type: ignore[assignment,attr-defined]
    for seed in range(first, last + 1):
        run_play(play(seed))


if __name__ == "__main__":
    if sys.argv[1] == SERVE:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(Path(sys.argv[2])))
        os._exit(0)
    first_seed, _, last_seed = sys.argv[1].partition("-")
    main(int(first_seed), int(last_seed or first_seed))
