"""The balancer's program: its exit status, configuration and clock."""

from __future__ import annotations

import http.client
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from loadbalancer.drill.processes.addresses import find_free_port
from loadbalancer.net.clock import Clock
from tests.loopback import SCENARIO_TIMEOUT_S, config_text

MAX_DESCRIPTORS = 40  # fewer than the configuration allows for
CLIENT_COUNT = 60  # more than there are descriptors
COMMAND = [sys.executable, "-m", "loadbalancer"]


def test_configuration_error_is_one_line_and_an_exit_status(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    environment = {n: v for n, v in os.environ.items() if not n.startswith("LB_")}
    for text in (None, "", "{}", "[]", config_text("nowhere", [])):
        if text is not None:
            path.write_text(text)
            environment["LB_CONFIG"] = str(path)
        done = subprocess.run(COMMAND, env=environment, capture_output=True, text=True, check=False)
        assert done.returncode != 0
        assert len(done.stderr.splitlines()) == 1, done.stderr


def get_health(port: int) -> int:
    """Return the status of the health check."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=SCENARIO_TIMEOUT_S)
    try:
        connection.request("GET", "/healthz")
        return connection.getresponse().status
    finally:
        connection.close()


def wait_until_healthy(port: int) -> None:
    """Wait until the program accepts connections; its first answer must be 200."""
    ends_at_s = time.monotonic() + SCENARIO_TIMEOUT_S
    while True:
        try:
            assert get_health(port) == 200
            return
        except ConnectionRefusedError:
            assert time.monotonic() < ends_at_s
            time.sleep(0.02)


def test_program_survives_running_out_of_descriptors(tmp_path: Path) -> None:
    """With fewer descriptors than the configuration allows for, accept fails; accepting must resume later."""
    port = find_free_port("127.0.0.1")
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", []).replace("127.0.0.1:0", f"127.0.0.1:{port}"))
    limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    process = subprocess.Popen(
        COMMAND,
        env=os.environ | {"LB_CONFIG": str(path)},
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
    )
    try:
        wait_until_healthy(port)
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(CLIENT_COUNT)]
        for client in clients:
            client.close()
        assert get_health(port) == 200
        process.send_signal(signal.SIGTERM)
        assert process.wait(SCENARIO_TIMEOUT_S) == 0
    finally:
        process.kill()


def test_clock_matches_unix_time_and_never_goes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    first = clock.now()
    assert abs(first - time.time() * 1000) < 1000
    monkeypatch.setattr(time, "time", lambda: 0.0)  # the wall clock is set back
    assert clock.now() >= first
