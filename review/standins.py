"""Stand-ins for clients, upstreams and discovery after PROTOCOL, and the start of the balancer.

Each script of `review/` uses this module; it needs the standard library alone. `python standins.py upstream`
serves as one upstream in a process of its own, which a script may stop and continue by signals.
"""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parent.parent
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
MAX_CASE_S = 115  # a script has 120 s
CROWDED_CALL_S = 2.0  # until discovery ends a call, as the site file has it (`timeout_ms`)
SECOND_ANSWER_S = 0.003  # from an answer to its repetition: "some milliseconds late"
RECEIVE_BUFFER_BYTES = 65_536  # of an upstream's connections: small machines hold many of them


class CaseError(Exception):
    """The case could not run."""


def is_troubled() -> bool:
    """Return whether the disruption is to be played: `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Record:
    """The lines of `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty record in the folder of the case."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Add one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
            self._file.flush()


class Discovery(threading.Thread):
    """Discovery as PROTOCOL describes it: the whole list, and a watch with `after` and `wait_ms`."""

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        """Serve these entries on a free port, each change with a higher index."""
        super().__init__(daemon=True)
        self.port = free_port()
        self.index = 41
        self._record = record
        self.ended_calls = 0
        """How many calls were ended because they had waited too long."""
        self._is_crowded = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._entries = {entry["name"]: entry for entry in entries}
        self._changed_at = dict.fromkeys(self._entries, self.index)
        self._loop = asyncio.new_event_loop()
        self._changed: asyncio.Event | None = None
        self._ready = threading.Event()
        self.start()
        self._ready.wait(START_TIMEOUT_S)

    def full_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self._entries.values())}

    def change(self, name: str, **fields: Any) -> None:
        """Change an entry, and answer the watches."""
        self._loop.call_soon_threadsafe(self._change, name, fields)

    def set_crowded(self, *, is_crowded: bool) -> None:
        """Have too many callers, so that each call waits too long and is ended, or answer again."""
        self._loop.call_soon_threadsafe(self._set_crowded, is_crowded)

    def _set_crowded(self, is_crowded: bool) -> None:  # noqa: FBT001 called by the event loop
        self._is_crowded = is_crowded
        self._record.write(
            f"discovery: {'has too many callers, and watches end' if is_crowded else 'is back'}"
        )
        for writer in self._writers if is_crowded else ():
            writer.transport.abort()

    def _change(self, name: str, fields: dict[str, Any]) -> None:
        self.index += 1
        self._entries[name] = self._entries[name] | fields
        self._changed_at[name] = self.index
        self._record.write(f"discovery: {name} changed, {fields}, index {self.index}")
        assert self._changed is not None
        self._changed.set()
        self._changed = asyncio.Event()

    def run(self) -> None:
        """Serve until the process ends."""
        asyncio.set_event_loop(self._loop)
        self._changed = asyncio.Event()
        self._loop.run_until_complete(asyncio.start_server(self._serve, "127.0.0.1", self.port))
        self._ready.set()
        self._loop.run_forever()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                self._record.write(f"discovery: called: {head.splitlines()[0]}")
                if self._is_crowded:
                    await asyncio.sleep(CROWDED_CALL_S)
                    self.ended_calls += 1
                    self._record.write("discovery: the call has waited too long: 503")
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                target = head.split(" ")[1]
                query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&") if part)
                body = json.dumps(await self._answer(query)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _answer(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query.get("after", "-1"))
        if after < 0:
            return self.full_list()
        deadline = self._loop.time() + float(query.get("wait_ms", "0")) / 1000
        while after >= self.index and (remaining := deadline - self._loop.time()) > 0:
            assert self._changed is not None
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                break
        changed = [self._entries[name] for name, index in self._changed_at.items() if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": changed}


def entry(name: str, port: int, **fields: Any) -> dict[str, Any]:
    """Return an entry of the list."""
    base = {
        "name": name,
        "address": f"127.0.0.1:{port}",
        "zone": "zagreb-dc",
        "type": "ulaz-b",
        "group": 0,
        "status": "in_service",
        "weight": 2.0,
        "since_ms": 0,
    }
    return base | fields


def settings(**fields: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, with the values of the example in WIRE, section 6."""
    classes = [("karta", 400.0, 2000.0, "retryable", 1.0), ("voznja", 1000.0, 2500.0, "retryable", 1.0)]
    classes.append(("otkljucaj", 1200.0, 4000.0, "fragile", 10.0))
    keys = ("name", "target", "deadline", "effect", "worth")
    common = {"keyScope": "all", "repeatWindow": 5000.0, "stream": False, "lateShare": 0.0}
    base: dict[str, Any] = {
        "azs": ["zagreb-dc", "split-dc"],
        "balancers": 1,
        "classes": [dict(zip(keys, values, strict=True)) | common for values in classes],
        "clients": {"marksRetry": True},
        "contract": {
            "askWithin": 10000.0,
            "cold": 8700.0,
            "coldFrom": 0.32,
            "drainGrace": 3000.0,
            "graceToAnswer": 8.0,
            "overloadFactor": 2.5,
            "tipAfter": 2000.0,
        },
        "discovery": "ask",
        "family": "chain",
        "familyInfo": {"passesDeadline": True},
        "goal": {"whole": 0.25, "worstClass": 0.2, "worstTenant": 0.4, "worstWindow": 0.15},
        "kinds": ["ulaz-a", "ulaz-b"],
        "limits": {
            "attemptsCap": 5,
            "connIdle": 15000.0,
            "connectTimeout": 120.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500000,
            "maxRetryAfter": 2000.0,
            "mayCancel": True,
            "mayDuplicate": True,
            "openCap": 20000,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "myNumber": 0,
        "orgs": [{"name": "grad-zagreb", "portion": 1.0, "quotaPerS": 175.0}],
        "overShareWorth": 0.05,
        "stages": ["ulaz", "jezgra"],
        "telemetry": {"fields": ["concurrent", "mean_ms"], "how": "probe"},
        "tick": 2.0,
        "tier": 0,
        "weights": "rough",
        "worthBy": "work",
        "zone": "zagreb-dc",
    }
    return base | fields


class Process:
    """A process that the case has started, in a session of its own."""

    started: ClassVar[list[Process]] = []
    """All of them, from their first moment on: each is ended with the case."""

    def __init__(self, arguments: list[str], log: Path, **environment: str) -> None:
        """Start it from the root of the repository; its output goes to a file."""
        with log.open("ab") as output:
            self._process = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env=os.environ | environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        self.pid = self._process.pid
        Process.started.append(self)

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether it has ended."""
        return self._process.poll() is not None

    def end(self) -> None:
        """End it at once."""
        self.send(signal.SIGKILL)
        self._process.wait()


class Balancer(Process):
    """One balancer, started by the command `run` of the deploy file."""

    def __init__(self, folder: Path, discovery: Discovery | int, name: str = "n1", **more: Any) -> None:
        """Start it with `known` as discovery's present list; `more` goes into the configuration.

        `discovery` may be the port of a list service, whose list is then not known yet.
        """
        self.port = free_port()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        configuration = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery if isinstance(discovery, int) else discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "known": None if isinstance(discovery, int) else discovery.full_list(),
            "settings": settings(),
        }
        path = folder / f"{name}.json"
        path.write_text(json.dumps(configuration | more), encoding="utf-8")
        temporary = folder / f"{name}.tmp"
        temporary.mkdir()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        command = ["/bin/sh", "-c", run]
        super().__init__(command, folder / f"{name}.log", LB_CONFIG=str(path), TMPDIR=str(temporary))
        wait_until(lambda: health(self.port) == http.client.OK or self.has_ended(), "the balancer is ready")
        if self.has_ended():
            raise CaseError("the balancer has ended")


class UpstreamProcess(Process):
    """One upstream in a process of its own."""

    def __init__(
        self,
        folder: Path,
        name: str,
        work_ms: float,
        *,
        repeated_share: float = 0.0,
        max_requests: int = 1_000_000,
    ) -> None:
        """Start it; it writes a line for each request that it has run to the file `runs`.

        So many of its answers come a second time, `SECOND_ANSWER_S` later. It turns away what comes while it
        has `max_requests`.
        """
        self.name = name
        self.port = free_port()
        self.runs = folder / f"{name}.runs"
        arguments = [sys.executable, str(Path(__file__).resolve()), "upstream", name, str(self.port)]
        arguments += [str(work_ms), str(self.runs), str(repeated_share), str(max_requests)]
        super().__init__(arguments, folder / f"{name}.log")
        wait_until(lambda: is_listening(self.port), "an upstream is ready")


def is_listening(port: int) -> bool:
    """Return whether a connection to a port comes up."""
    try:
        socket.create_connection(("127.0.0.1", port), 1.0).close()
    except OSError:
        return False
    return True


def health(port: int) -> int:
    """Return the status of a balancer's health check; 0 while nothing answers."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=2.0)
    try:
        connection.request("GET", "/healthz")
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def wait_until(condition: Any, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a condition holds; CaseError if it does not in time."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise CaseError(f"not in time: {what}")
        time.sleep(POLL_INTERVAL_S)


def _end_case(number: int, _: object) -> None:
    raise CaseError(f"ended by {signal.Signals(number).name}")


def run_case(folder: Path, play: Any) -> int:
    """Play a case in a temporary folder, end its processes and return its exit status.

    `play` gets the record, the temporary folder and a list to which it adds each process that it starts; it
    returns whether the rule has held.
    """
    record = Record(folder)
    processes: list[Process] = []
    status = COULD_NOT_RUN
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _end_case)
    signal.alarm(MAX_CASE_S)
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as temporary:
        try:
            status = HELD if play(record, Path(temporary), processes) else BROKEN
        except Exception as error:  # only a broken rule may end with 1
            record.write(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            signal.alarm(0)
            for process in Process.started:
                process.end()
            for log in sorted(Path(temporary).glob("*.log")):
                for line in log.read_text(errors="replace").splitlines()[-20:]:
                    record.write(f"log of {log.stem}: {line}")
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}
    record.write(f"{verdict[status]}: exit status {status}")
    print(verdict[status])
    return status


# ---- an upstream ------------------------------------------------------------------------------------


class Upstream:
    """An upstream after PROTOCOL: it begins a request when its last byte has come, and answers 200."""

    def __init__(
        self, name: str, work_s: float, runs: Path, repeated_share: float, max_requests: int
    ) -> None:
        """Work on each request for `work_s`; write a line to `runs` for each request that has run."""
        self._name = name
        self._work_s = work_s
        self._repeated_share = repeated_share
        self._max_requests = max_requests
        self._request_count = 0
        self._random = random.Random(name)
        self._runs = runs.open("a", encoding="utf-8")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, with the system's default of holding small writes back (no TCP_NODELAY)."""
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = [line.partition(":")[::2] for line in head.split("\r\n")[1:]]
                headers = {name.strip().lower(): value.strip() for name, value in lines if name}
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    received = await self._read_chunks(reader)
                else:
                    received = len(await reader.readexactly(int(headers.get("content-length", "0"))))
                request_id = headers.get("x-request-id", "")
                if self._request_count >= self._max_requests:
                    answer = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                else:
                    answer = await self._work(request_id, received)
                writer.write(answer)
                await writer.drain()
                if self._random.random() < self._repeated_share:
                    asyncio.get_running_loop().call_later(SECOND_ANSWER_S, writer.write, answer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _work(self, request_id: str, received: int) -> bytes:
        self._request_count += 1
        self._note(f"{request_id} {received}")
        await asyncio.sleep(self._work_s)
        self._request_count -= 1
        body = f"{request_id} by {self._name}\n".encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def _note(self, text: str) -> None:
        self._runs.write(f"{time.time():.3f} {text}\n")
        self._runs.flush()

    async def _read_chunks(self, reader: asyncio.StreamReader) -> int:
        received = 0
        while size := int(await reader.readuntil(b"\r\n"), 16):
            received += len(await reader.readexactly(size + 2)) - 2
        await reader.readuntil(b"\r\n")
        return received


async def _serve_upstream(  # noqa: PLR0913, PLR0917 the arguments of the command line
    name: str, port: str, work_ms: str, runs: str, repeated_share: str, max_requests: str
) -> None:
    upstream = Upstream(name, float(work_ms) / 1000, Path(runs), float(repeated_share), int(max_requests))
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(("127.0.0.1", int(port)))
    server = await asyncio.start_server(upstream.serve, sock=listener, backlog=128)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_serve_upstream(*sys.argv[2:]))
