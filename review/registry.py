"""The service registry and its agents, started by the project's own command, and a client of the balancer."""

from __future__ import annotations

import http.client
import json
import os
import subprocess
import threading
import time
from pathlib import Path
from typing import Any

from standins import ROOT, CaseError, Process, Record, free_port, wait_until

COMMAND = ROOT / ".venv-make/bin/loadbalancer"  # as `review/build.sh` installs it
COMMAND_TIMEOUT_S = 40.0
CLIENT_INTERVAL_S = 0.05


class Registry(Process):
    """One instance of the registry: `loadbalancer directory serve FILE`."""

    def __init__(self, folder: Path, port: int | None = None) -> None:
        """Start it; a later one in the same folder, on the same port, has the same database."""
        if not COMMAND.exists():
            raise CaseError("review/build.sh has not been run")
        self.port = port or free_port()
        file = folder / "registry.toml"
        database = folder / "registry.sqlite"
        file.write_text(f'listen = "127.0.0.1:{self.port}"\ndatabase = "{database}"\n', encoding="utf-8")
        super().__init__([str(COMMAND), "directory", "serve", str(file)], folder / "registry.log")
        wait_until(lambda: self.has_ended() or self.is_ready(), "the registry answers")
        if self.has_ended():
            raise CaseError("the registry has ended")

    def is_ready(self) -> bool:
        """Return whether it answers."""
        try:
            return call("GET", self.port, "/healthz")[0] == http.client.OK
        except OSError:
            return False

    def statuses(self) -> dict[str, str]:
        """Return the status of each server on the list, as a balancer reads it."""
        status, answer = call("GET", self.port, "/v1/servers")
        if status != http.client.OK:
            raise CaseError(f"the list was answered with {status}")
        return {entry["name"]: entry["status"] for entry in json.loads(answer)["endpoints"]}

    def start_of(self, name: str) -> float | None:
        """Return when a server on the list was last started, by its own words; None if it is not listed."""
        _, answer = call("GET", self.port, "/v1/servers")
        starts = {entry["name"]: entry["since_ms"] for entry in json.loads(answer)["endpoints"]}
        return starts.get(name)


def call(method: str, port: int, path: str) -> tuple[int, bytes]:
    """Return the status and the body of an answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def operate(record: Record, registry_port: int, *arguments: str) -> int:
    """Run `loadbalancer directory ...` as an operator does, and return its exit status."""
    completed = subprocess.run(
        [str(COMMAND), "directory", *arguments, "--at", f"127.0.0.1:{registry_port}"],
        cwd=ROOT,
        env=os.environ | {"LC_ALL": "C.UTF-8", "LOGNAME": "operator"},
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    output = " ".join(f"{completed.stdout} {completed.stderr}".split())
    record.write(f"operator: directory {' '.join(arguments)}: exit {completed.returncode}: {output}")
    return completed.returncode


class Agent(Process):
    """The agent of one server: `loadbalancer directory agent NAME`."""

    def __init__(self, folder: Path, registry_port: int, name: str, port: int) -> None:
        """Start it with its usual lease."""
        arguments = ["agent", name, "--at", f"127.0.0.1:{registry_port}", "--address", f"127.0.0.1:{port}"]
        super().__init__([str(COMMAND), "directory", *arguments], folder / f"agent-{name}.log")


class Client(threading.Thread):
    """A client that sends one small request after another until it is stopped."""

    def __init__(self, record: Record, port: int) -> None:
        """Send to the balancer on this port."""
        super().__init__(daemon=True)
        self._record = record
        self._port = port
        self._is_stopped = threading.Event()
        self.sent_count = 0
        self.statuses: dict[str, int] = {}

    def run(self) -> None:
        """Send until stopped."""
        connection = http.client.HTTPConnection("127.0.0.1", self._port, timeout=5.0)
        while not self._is_stopped.wait(CLIENT_INTERVAL_S):
            self.sent_count += 1
            headers: dict[str, Any] = {"X-Request-Id": f"r{self.sent_count}", "X-Class": "karta"}
            headers |= {"X-Tenant": "grad-zagreb", "X-Deadline": "2000m"}
            try:
                connection.request("GET", f"/karta/{self.sent_count}", headers=headers)
                response = connection.getresponse()
                response.read()
                status = str(response.status)
            except (OSError, http.client.HTTPException) as error:
                connection.close()
                status = type(error).__name__
            self.statuses[status] = self.statuses.get(status, 0) + 1

    def stop(self) -> None:
        """Stop, and record what was answered."""
        self._is_stopped.set()
        self.join()
        self._record.write(f"client: {self.sent_count} sent, answers by status: {self.statuses}")


def runs_since(runs: Path, since_s: float) -> list[str]:
    """Return the requests of clients that an upstream has begun since a Unix time."""
    lines = [line.split(" ") for line in runs.read_text().splitlines()]
    return [f"{request_id} at {at}" for at, request_id, _ in lines if request_id and float(at) > since_s]


def sleep_until(unix_s: float) -> None:
    """Wait until a Unix time."""
    time.sleep(max(unix_s - time.time(), 0.0))
