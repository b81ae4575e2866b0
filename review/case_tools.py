"""What the cases share: the record, ports, processes of the project, and HTTP calls."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
PORTS = (20_000, 32_000)
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HTTP_OK = 200
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run; the text says why."""


class Case:
    """One run of a case: its record, its folder and its processes, all ended at the end."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self._lock = threading.Lock()
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen[bytes]] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> None:
        """Write a line with its time to the record."""
        with self._lock:
            self._record.write(f"{self.now():8.3f} {text}\n")
            self._record.flush()

    def start(
        self, name: str, command: list[str] | list[bytes], environment: dict[str, str]
    ) -> subprocess.Popen[bytes]:
        """Start a process from the root; its output goes to a file in the case's folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=os.environ | environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.processes.append(process)
        self.note(f"started {name}")
        return process

    def close(self) -> None:
        """End all processes, and remove the folder; their logs go to the record."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        for log in sorted(self.folder.glob("*.log")):
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines()[-40:]:
                self._record.write(f"log of {log.stem}: {line}\n")
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(path: str, body: Callable[[Case], int]) -> None:
    """Play a case in the folder of `path`; exit with what `body` returns, or 2 if it could not run."""
    case = Case(Path(path).resolve().parent)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _stop)
    status = COULD_NOT_RUN
    try:
        case.note(f"trouble: {'on' if IS_TROUBLE else 'off'}")
        status = body(case)
    except BaseException:  # whatever else happens is no answer to whether the rule held
        case.note(f"the case could not run: {traceback.format_exc()}")
    try:
        case.note(
            f"exit status {status}: {['the rule held', 'the rule was broken', 'could not run'][status]}"
        )
        case.close()
    finally:
        os._exit(status)


def _stop(*_: object) -> None:
    """End the case, which then ends its processes."""
    raise CannotRunError("told to end")


def free_port() -> int:
    """Return a port that nobody uses, below those that systems give to outgoing connections.

    Each is drawn at random, so that cases that run side by side don't draw the same.
    """
    for _ in range(100):
        port = random.SystemRandom().randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port
    raise CannotRunError("no free port")


def wait_until_serving(process: subprocess.Popen[bytes], address: str, path: str = "/healthz") -> None:
    """Wait until a process that was just started answers; CannotRunError if it has ended, or does not."""

    def is_serving() -> bool:
        if process.poll() is not None:
            raise CannotRunError(f"a process that should serve {address} has ended")
        return call(address, "GET", path)[0] == HTTP_OK

    wait_until(f"{address} answers", 15.0, is_serving)
    time.sleep(0.1)  # one that can't listen there ends by then
    is_serving()


def wait_until(what: str, timeout_s: float, condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; CannotRunError if it does not in time."""
    ends_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_s:
            raise CannotRunError(f"not within {timeout_s} s: {what}")
        time.sleep(0.02)


def call(
    address: str, method: str, path: str, body: bytes | None = None, headers: dict[str, str] | None = None
) -> tuple[int, bytes]:
    """Make one call on a connection of its own; return status and body, or (0, reason) with no answer."""
    connection = http.client.HTTPConnection(address, timeout=5.0)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error).encode()
    finally:
        connection.close()


def call_json(
    address: str, method: str, path: str, body: object = None, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    """Make one call with a body of JSON; return the status and the answer's JSON."""
    data = None if body is None else json.dumps(body).encode()
    status, answer = call(address, method, path, data, headers)
    try:
        return status, json.loads(answer)
    except ValueError:
        return status, answer.decode(errors="replace")


def settings(classes: list[dict[str, Any]], balancers: int = 1) -> dict[str, Any]:
    """Return the settings of a small deployment, with the limits and the contract that WIRE shows."""
    return {
        "classes": classes,
        "balancers": balancers,
        "myNumber": 0,
        "tier": 0,
        "stages": ["ulaz"],
        "discovery": "ask",
        "zone": "a",
        "azs": ["a"],
        "tick": 2.0,
        "weights": "rough",
        "limits": {
            "attemptsCap": 5,
            "connIdle": 15_000.0,
            "connectTimeout": 120.0,
            "mayCancel": True,
            "mayDuplicate": True,
            "probes": False,
            "retryAfter": True,
            "maxRetryAfter": 2_000.0,
        },
        "contract": {
            "drainGrace": 3_000.0,
            "askWithin": 10_000.0,
            "graceToAnswer": 8.0,
            "cold": 8_700.0,
            "coldFrom": 0.32,
            "overloadFactor": 2.5,
            "tipAfter": 2_000.0,
        },
        "telemetry": {"how": "none"},
    }


READ_CLASS = {"name": "karta", "target": 400.0, "deadline": 2_000.0, "effect": "retryable", "worth": 1.0}


def start_balancer(case: Case, name: str, config: dict[str, Any], tmpdir: Path) -> subprocess.Popen[bytes]:
    """Start a balancer with the deploy file's command for `run`."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    path = case.folder / f"{name}.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    tmpdir.mkdir(exist_ok=True)
    environment = {
        "LB_CONFIG": str(path),
        "LB_NAME": config["name"],
        "LB_LISTEN": config["listen"],
        "LB_DISCOVERY": config["discovery"],
        "TMPDIR": str(tmpdir),
    }
    if config.get("console"):
        environment["LB_CONSOLE"] = config["console"]
    return case.start(name, ["/bin/sh", "-c", deploy["run"]], environment)
