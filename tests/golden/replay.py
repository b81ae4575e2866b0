"""Play one fixed session against a balancer, a registry or a tier, and return what came over the wire.

The programs are started by their commands and reached by sockets alone, so that the same session runs against
any version. `record.py` wrote the golden files with it; the tests play it again and compare.
"""

from __future__ import annotations

import array
import http.client
import json
import os
import re
import socket
import subprocess
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import asdict, dataclass, fields, is_dataclass
from enum import Enum
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import msgspec

HOST = "127.0.0.1"
TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
REQUESTS_TO_PLAY = 6
REQUEST_CLASSES = ("read", "pay")
KEPT_HEADERS = ("content-type", "etag", "allow")


@dataclass(frozen=True)
class Program:
    """How a version is started: its interpreter, its package and the folder to start in."""

    python: str
    package: str
    cwd: Path

    def balancer(self) -> list[str]:
        """Return the command of a balancer that reads `LB_CONFIG`."""
        return [self.python, "-m", self.package]

    def command_line(self, *arguments: str) -> list[str]:
        """Return the command of one call of the command line."""
        return [self.python, "-c", f"from {self.package}.cli import main; main()", *arguments]


@dataclass(frozen=True)
class Response:
    """One answered call."""

    call: str
    status: int
    headers: dict[str, str]
    body: str


class _Upstream(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        body = b"tile"
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        """Keep the test's output free of access logs."""


def free_port() -> int:
    """Return a TCP port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
    return port


@contextmanager
def _upstream() -> Iterator[str]:
    server = ThreadingHTTPServer((HOST, 0), _Upstream)
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield f"{HOST}:{server.server_address[1]}"
    finally:
        server.shutdown()
        server.server_close()


@contextmanager
def started(command: list[str], cwd: Path, environment: dict[str, str]) -> Iterator[subprocess.Popen[bytes]]:
    """Run a program; kill it if it has not ended when the context does."""
    process = subprocess.Popen(
        command, cwd=cwd, env=os.environ | environment, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    try:
        yield process
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


def call(address: str, line: str, body: str = "", headers: dict[str, str] | None = None) -> Response:
    """Send one HTTP request and return its answer; `line` is the method and the target."""
    method, target = line.split(" ", 1)
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request(method, target, body=body or None, headers=headers or {})
        answer = connection.getresponse()
        text = answer.read().decode()
        kept = {name: value for name in KEPT_HEADERS if (value := answer.headers.get(name))}
        return Response(f"{line} {body}".strip(), answer.status, kept, text)
    finally:
        connection.close()


def await_status(address: str, line: str, status: int = 200) -> None:
    """Poll until a call is answered with a status; TimeoutError if it never is."""
    until = time.monotonic() + TIMEOUT_S
    while time.monotonic() < until:
        try:
            if call(address, line).status == status:
                return
        except OSError:
            pass
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{address}: {line} has not been answered with {status}")


# ---- a balancer -------------------------------------------------------------------------------------


def balancer_configuration(
    listen: str, console: str, upstreams: list[str], snapshots: Path | None = None, **more: Any
) -> dict[str, Any]:
    """Return the configuration of the balancer that the sessions play with."""
    endpoints = [
        {
            "name": f"s{number}",
            "address": address,
            "zone": "east" if number == 0 else "west",  # s1 and s2 are in the same zone
            "type": "m",
            "group": number,
            "weight": 40.0,
            "status": "in_service",
            "since_ms": 0,
        }
        for number, address in enumerate(upstreams)
    ]
    settings = {
        "classes": [
            {"name": "read", "target": 2000.0, "deadline": 5000.0, "effect": "retryable", "worth": 2.0},
            {"name": "pay", "target": 2000.0, "deadline": 5000.0, "effect": "fragile", "worth": 1.0},
        ],
        "balancers": 2,
        "discovery": "ask",
        "zone": "east",
        "tick": 2.0,
        "limits": {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 500.0},
        "contract": {"drainGrace": 500.0, "askWithin": 10_000.0},
    }
    settings |= more.pop("settings", {})
    configuration: dict[str, Any] = {
        "name": "front-1",
        "listen": listen,
        "discovery": f"{HOST}:{free_port()}",  # nobody: the known list stands
        "console": console,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 7, "snapshot": True, "endpoints": endpoints},
        "settings": settings,
    }
    if snapshots is not None:
        configuration |= {"snapshots": str(snapshots), "snapshotEvery": 100.0}
    return configuration | more


CONSOLE_CALLS = (
    ("GET /admin/health", ""),
    ("GET /admin/stats", ""),
    ("GET /admin/peers", ""),
    ("GET /admin/list", ""),
    ("GET /metrics", ""),
    ("GET /admin/zones", ""),
    ("POST /admin/cordon", "s1"),
    ("POST /admin/cordon", "nobody"),
    ("POST /admin/cordon", "s1 s2"),
    ("POST /admin/uncordon", "s1"),
    ("POST /admin/uncordon", "nobody"),
    ("POST /admin/cordon", "s2"),
    ("POST /admin/zone/leave", "west over=2.5"),
    ("POST /admin/zone/return", "west"),
    ("POST /admin/zone/leave", "nowhere"),
    ("POST /admin/zone/leave", "west over=x"),
    ("POST /admin/zone/leave", "west"),
    ("GET /admin/zones", ""),
    ("POST /admin/zone/leave", "east"),
    ("POST /admin/zone/leave", "east over=60 force"),
    ("POST /admin/zone/return", "west over=30"),
    ("GET /admin/zones", ""),
    ("GET /admin/cordon", ""),
    ("POST /admin/stats", "x"),
    ("GET /admin/nothing", ""),
    ("GET /metrics?x=1", ""),
)


@dataclass(frozen=True)
class BalancerSession:
    """What a balancer answered, stored and sent to its successor."""

    console: list[Response]
    cordons: bytes
    snapshot: bytes
    state: bytes
    """The line with the state that the successor gets, after its first byte with the socket."""
    counts: bytes
    """The line that follows once the successor has said that it is ready."""
    ready: bytes
    """What a successor says when it is ready."""


def play_balancer(program: Program, folder: Path) -> BalancerSession:
    """Serve a few requests, make every console call, take over from the process, then hand over to it."""
    shared, snapshots = folder / "shared", folder / "snapshots"
    shared.mkdir()
    snapshots.mkdir()
    listen, console = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
    with ExitStack() as stack:
        upstreams = [stack.enter_context(_upstream()) for _ in range(3)]
        path = folder / "balancer.json"
        path.write_text(json.dumps(balancer_configuration(listen, console, upstreams, snapshots)))
        environment = {"LB_CONFIG": str(path), "TMPDIR": str(shared)}
        stack.enter_context(started(program.balancer(), program.cwd, environment))
        await_status(console, "GET /admin/health")
        for number in range(REQUESTS_TO_PLAY):
            name = REQUEST_CLASSES[number % 2]
            headers = {"X-Request-Id": f"{number:08x}", "X-Class": name, "X-Deadline": "4000m"}
            assert call(listen, f"GET /{name}/x", headers=headers).status == 200
        answers = [call(console, line, body) for line, body in CONSOLE_CALLS]
        _await_change(snapshots / "front-1.snapshot")
        state, counts = take_over(shared)
        cordons, snapshot = (shared / "cordons.json").read_bytes(), _read_snapshot(snapshots)
    other = folder / "successor"
    other.mkdir()
    return BalancerSession(
        answers, cordons, snapshot, state, counts, hand_over(program, other, state, counts)
    )


def _read_snapshot(folder: Path) -> bytes:
    for name in ("front-1.snapshot", "front-1.snapshot.old"):
        if (folder / name).exists():
            return (folder / name).read_bytes()
    raise FileNotFoundError(folder)


def _await_change(path: Path) -> None:
    """Wait until a file has been written anew."""
    until = time.monotonic() + TIMEOUT_S
    before = path.stat().st_mtime_ns if path.exists() else 0
    while time.monotonic() < until:
        if path.exists() and path.stat().st_mtime_ns > before:
            return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{path} has not been written")


def take_over(shared: Path) -> tuple[bytes, bytes]:
    """Be the successor of the process that serves in a folder; return its state and its first counts."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as link:
        link.settimeout(TIMEOUT_S)
        link.connect(str(shared / "handover"))
        size = array.array("i").itemsize
        data, ancillary, _, _ = link.recvmsg(65_536, socket.CMSG_LEN(size))
        (descriptors,) = (content for _, _, content in ancillary)
        os.close(int.from_bytes(descriptors[:size], "little"))
        data = _read_line(link, data)
        assert data[:1] == b" "
        link.sendall(b"ready\n")
        return data[1:], _read_line(link, b"")


def hand_over(
    program: Program, folder: Path, state: bytes, counts: bytes, then: dict[str, Any] | None = None
) -> bytes:
    """Be the predecessor of a process: send a state and, when it is ready, counts; return what it said.

    With `then`, its own state and cordons are read once it serves, and put there.
    """
    listen, console = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
    path, link_path = folder / "balancer.json", folder / "handover"
    path.write_text(json.dumps(balancer_configuration(listen, console, [])))
    with ExitStack() as stack:
        listener = stack.enter_context(socket.create_server((HOST, int(listen.rpartition(":")[2]))))
        waiting = stack.enter_context(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
        waiting.settimeout(TIMEOUT_S)
        waiting.bind(str(link_path))
        waiting.listen(1)
        environment = {"LB_CONFIG": str(path), "TMPDIR": str(folder)}
        stack.enter_context(started(program.balancer(), program.cwd, environment))
        link = stack.enter_context(waiting.accept()[0])
        link.settimeout(TIMEOUT_S)
        socket.send_fds(link, [b" "], [listener.fileno()])
        link.sendall(state)
        said = _read_line(link, b"")
        link.sendall(counts)
        await_status(console, "GET /admin/health")
        if then is not None:
            then["list"] = json.loads(call(console, "GET /admin/list").body)
            then["zones"] = json.loads(call(console, "GET /admin/zones").body)
            link.close()
            then["state"], then["counts"] = take_over(folder)
        return said


def _read_line(link: socket.socket, data: bytes) -> bytes:
    while not data.endswith(b"\n"):
        more = link.recv(65_536)
        if not more:
            raise ConnectionError(f"the line was cut short after {data[:100]!r}")
        data += more
    return data


# ---- members of a tier ------------------------------------------------------------------------------


@dataclass(frozen=True)
class GossipSession:
    """The datagrams of one member of three, by kind, and what its console and metrics say of the tier."""

    datagrams: dict[str, bytes]
    console: list[Response]
    peers: list[str]
    """The members' addresses, from which the tag in each datagram is made."""


MESSAGE_KINDS = ("ping", "ack", "relay")
UPDATE = [2, 1, 5]  # member 2 is suspected at incarnation 5


def play_gossip(program: Program, folder: Path) -> GossipSession:
    """Be two of three members: answer no ping of one's own, send one, and collect a datagram of each kind."""
    listen, console = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
    with ExitStack() as stack:
        others = [stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(2)]
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        probe.bind((HOST, 0))
        own = probe.getsockname()
        probe.close()
        for other in others:
            other.bind((HOST, 0))
            other.settimeout(0.05)
        addresses = [own, *(other.getsockname() for other in others)]
        peers = [f"{host}:{port}" for host, port in addresses]
        configuration = balancer_configuration(
            listen,
            console,
            [f"{HOST}:{free_port()}"],
            membership=True,
            peers=peers,
            peer_listen=peers[0],
            settings={"balancers": 3, "myNumber": 0},
        )
        configuration["settings"]["limits"]["peers"] = True
        path = folder / "member.json"
        path.write_text(json.dumps(configuration))
        environment = {"LB_CONFIG": str(path), "TMPDIR": str(folder)}
        stack.enter_context(started(program.balancer(), program.cwd, environment))
        found: dict[str, bytes] = {}
        until = time.monotonic() + TIMEOUT_S
        while len(found) < len(MESSAGE_KINDS) and time.monotonic() < until:
            for number, other in enumerate(others, 1):
                try:
                    data = other.recv(65_536)
                except TimeoutError:
                    continue
                message = msgspec.msgpack.decode(data)
                kind = MESSAGE_KINDS[message[1]]
                if kind == "ping":
                    other.sendto(msgspec.msgpack.encode([message[0], 0, 77, number, 1, -1, [UPDATE]]), own)
                if message[6]:  # with an update of a member
                    found[kind] = data
        answers = [call(console, line) for line in ("GET /admin/peers", "GET /metrics")]
        return GossipSession(found, answers, peers)


# ---- the registry -----------------------------------------------------------------------------------

REGISTRATION = {
    "address": "127.0.0.1:5001",
    "zone": "east",
    "type": "m",
    "group": 3,
    "weight": 4.0,
    "tier": "first",
    "since_ms": 1_000.0,
    "version": "v7",
    "lease_ms": 86_400_000.0,
    "owner": "agent s-1",
}


def _registry_calls() -> list[tuple[str, object, dict[str, str]]]:
    by = {"X-Who": "operator", "X-Why": "a golden file"}
    one, two = REGISTRATION, REGISTRATION | {"address": "127.0.0.1:5002", "zone": "west", "owner": ""}
    three = {"address": "127.0.0.1:5003", "tier": "orders"}
    return [
        ("GET /healthz", "", {}),
        ("PUT /v1/servers/s-1", one, by),
        ("PUT /v1/servers/s-1", one, by),
        ("PUT /v1/servers/s-2", two, by),
        ("PUT /v1/servers/s-3", three, by),
        ("PUT /v1/servers/s-4", three | {"address": "127.0.0.1:5004"}, by),
        ("PUT /v1/servers/s-1", one | {"owner": "another"}, by),
        ("PUT /v1/servers/s-5", {"address": "nowhere"}, by),
        ("PUT /v1/servers/s-5", {"address": "127.0.0.1:5005", "what": 1}, by),
        ("PUT /v1/servers/-5", three, by),
        ("PUT /v1/servers/s-2", two, by | {"If-Match": "x"}),
        ("PUT /v1/servers/s-2", two | {"weight": 8.0}, by | {"If-Match": '"1"'}),
        ("POST /v1/servers/s-1/renew", {"since_ms": 1_000.0}, {}),
        ("POST /v1/servers/s-1/renew", {"since_ms": 5.0}, {}),
        ("POST /v1/servers/nobody/renew", "", {}),
        ("POST /v1/servers/s-2/drain", "", by),
        ("POST /v1/servers/s-3/pin", "", by),
        ("POST /v1/servers/s-3/unpin", "", by),
        ("POST /v1/servers/s-3/pin", "", by),
        ("DELETE /v1/servers/s-4", "", by),
        ("DELETE /v1/servers/nobody", "", by),
        ("GET /v1/servers", "", {}),
        ("GET /v1/servers?tier=orders", "", {}),
        ("GET /v1/servers?tier=first&after=-1&wait_ms=10", "", {}),
        ("GET /v1/servers?services=first,orders", "", {}),
        ("GET /v1/servers?services=first&part=1&of=front-1&zone=east&balancers=2", "", {}),
        ("GET /v1/servers?services=first&part=1", "", {}),
        ("GET /v1/servers?services=,", "", {}),
        ("GET /v1/servers?services=first,first", "", {}),
        ("GET /v1/servers?services=first&held=x", "", {}),
        ("GET /v1/servers?part=2", "", {}),
        ("GET /v1/servers?after=x", "", {}),
        ("GET /v1/history", "", {}),
        ("GET /v1/history?name=s-1&most=1", "", {}),
        ("GET /v1/state", "", {}),
        ("POST /v1/exchange", {"sender": 9}, {}),
        ("POST /v1/exchange", {"sender": 1, "life": 1, "after": 0, "moved": 0}, {}),
        ("GET /v1/nothing", "", {}),
        ("POST /v1/servers", "", {}),
    ]


@dataclass(frozen=True)
class RegistrySession:
    """What a registry answered, its export and its database."""

    answers: list[Response]
    export: str
    database: Path


def play_registry(program: Program, folder: Path) -> RegistrySession:
    """Make every call of the registry, export it and end it, so that its database is one file."""
    address, database = f"{HOST}:{free_port()}", folder / "list.sqlite"
    path = folder / "registry.toml"
    path.write_text(f'listen = "{address}"\ndatabase = "{database}"\n')
    with started(program.command_line("directory", "serve", str(path)), program.cwd, {}) as process:
        await_status(address, "GET /healthz")
        answers = []
        for line, body, headers in _registry_calls():
            text = json.dumps(body) if body else ""
            answers.append(call(address, line, text, headers))
        first = json.loads(answers[1].body)["index"]
        for query in (
            f"tier=first&after={first}",
            "tier=first&after=5",
            f"services=first,orders&after={first}&held=%7B%22first%22:%7B%7D,%22orders%22:%7B%7D%7D",
            f"services=first&after={first + 1_000_000}",
        ):
            answers.append(call(address, f"GET /v1/servers?{query}&wait_ms=10"))
        export = command_output(program, "directory", "export", "--at", address)
        process.terminate()
        process.wait(TIMEOUT_S)
    return RegistrySession(answers, export, database)


def command_output(program: Program, *arguments: str) -> str:
    """Return what one call of the command line prints; CalledProcessError if it fails."""
    done = subprocess.run(
        program.command_line(*arguments), cwd=program.cwd, check=True, capture_output=True, text=True
    )
    return done.stdout


@dataclass(frozen=True)
class ExchangeSession:
    """The messages between two instances of the registry."""

    question: str
    """What the instance asks, with an entry that the other one does not have."""
    answers: list[Response]


def play_exchange(program: Program, folder: Path) -> ExchangeSession:
    """Be the second of two instances: hear a question of the first, and ask it."""
    questions: list[str] = []

    class Other(BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            questions.append(self.rfile.read(int(self.headers["Content-Length"])).decode())
            self.send_response(503)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, format: str, *args: Any) -> None:
            """Keep the test's output free of access logs."""

    server = ThreadingHTTPServer((HOST, 0), Other)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    address, other = f"{HOST}:{free_port()}", f"{HOST}:{server.server_address[1]}"
    path = folder / "registry.toml"
    path.write_text(
        f'listen = "{address}"\ndatabase = "{folder}/list.sqlite"\ninstances = ["{address}", "{other}"]\n'
    )
    try:
        with started(program.command_line("directory", "serve", str(path)), program.cwd, {}):
            await_status(address, "GET /healthz")
            answers = [call(address, "GET /v1/servers")]  # until the other instance has been heard
            answers.append(call(address, "PUT /v1/servers/s-1", json.dumps(REGISTRATION)))
            until = time.monotonic() + TIMEOUT_S
            while not (questions and "s-1" in questions[-1]):
                if time.monotonic() > until:
                    raise TimeoutError("no question came")
                time.sleep(POLL_INTERVAL_S)
            question = {"sender": 1, "life": 5, "after": 0, "moved": 0}
            answers.append(call(address, "POST /v1/exchange", json.dumps(question)))
    finally:
        server.shutdown()
        server.server_close()
    return ExchangeSession(questions[-1], answers)


# ---- what differs from run to run -------------------------------------------------------------------

_PORT = re.compile(r"127\.0\.0\.1:(?!500\d\b)\d+")
_FIGURE = r"-?[0-9.]+(?:e-?\d+)?"
_BALANCER_TIMES = re.compile(
    rf'("(?:heard_ms_ago|changed_ms_ago|since_s|heard_s|incarnation|sent|sent_bytes|taken|out)": )'
    rf"(?:{_FIGURE}|null)"
)
_MOVING_SHARES = re.compile(r'("share": )(?!1\.0|0\.0[,}])[0-9.e-]+')
_MEMBER_STATES = re.compile(r'("state": )"(?:alive|suspected)"')
_MEMBER_COUNTS = re.compile(r'(irondrum_peers\{state="[a-z]+"\}) \d+')
_REGISTRY_TIMES = re.compile(
    rf'("(?:at_ms|renewed_ms|lease_left_ms|fingerprint)": ?){_FIGURE}(?=[,}}])|("life":)\d{{10,}}'
)
_REGISTRY_VERSIONS = re.compile(r"(?<![\d.])\d{14}(?![\d.])")


def mask_balancer(text: str) -> str:
    """Replace ports, times, calls in flight, shares on the way and counts of datagrams.

    These differ from run to run. A share that stands, 0.0 or 1.0, stays.
    """
    text = _BALANCER_TIMES.sub(r"\1#", _PORT.sub("HOST:PORT", text))
    return _MEMBER_COUNTS.sub(r"\1 #", _MEMBER_STATES.sub(r"\1#", _MOVING_SHARES.sub(r"\1#", text)))


def mask_registry(text: str) -> str:
    """Replace ports, times, leases left and random lives; a version becomes its distance from the first."""
    text = _REGISTRY_TIMES.sub(r"\1\2#", _PORT.sub("HOST:PORT", text))
    versions = [int(found.group()) for found in _REGISTRY_VERSIONS.finditer(text)]
    first = min(versions, default=0)
    return _REGISTRY_VERSIONS.sub(lambda found: f"first+{int(found.group()) - first}", text)


def as_text(answers: list[Response]) -> str:
    """Return calls and answers as plain text, for a comparison that shows where two sessions differ."""
    return "\n".join(f"{a.call}\n{a.status} {a.headers}\n{a.body}" for a in answers)


def write_answers(path: Path, answers: list[Response]) -> None:
    """Write a golden file: one JSON object a line, each a call and its answer."""
    path.write_text("".join(json.dumps(asdict(answer)) + "\n" for answer in answers), encoding="utf-8")


def read_answers(path: Path) -> list[Response]:
    """Read what `write_answers` wrote."""
    return [Response(**json.loads(line)) for line in path.read_text(encoding="utf-8").splitlines()]


def positions(value: object) -> object:
    """Return a record as nested lists of plain values in the order of its fields, free of their names."""
    if is_dataclass(value) and not isinstance(value, type):
        return [positions(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if isinstance(value, (tuple, list)):
        return [positions(item) for item in value]
    return str(value) if isinstance(value, Path) else value
