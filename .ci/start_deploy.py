"""Check the deploy file: build, serve an empty batch of the simulator's wire, start `run` and stop it."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

DEPLOY_FILE = Path("deploy/balancer.toml")
EMPTY_BATCH = "sync time=1.0 batch=1\neob\n"
EMPTY_BATCH_REPLY = "yield batch=1\n"
SIM_TIMEOUT_S = 60
READY_TIMEOUT_S = 60
STOP_TIMEOUT_S = 30
HEALTH_TIMEOUT_S = 5
HEALTH_POLL_INTERVAL_S = 0.05


class DeployError(Exception):
    """The deploy file does not do what the platform expects of it."""


def shell(command: str) -> list[str]:
    """Return the arguments with which the platform runs a command of the deploy file."""
    return ["/bin/sh", "-c", command]


def check_files(deploy: dict[str, Any]) -> None:
    """Raise DeployError if the deploy file names files that do not exist."""
    missing = [name for name in deploy["policy"] + deploy["node"] if not Path(name).exists()]
    if missing:
        raise DeployError(f"the deploy file names files that do not exist: {missing}")


def check_sim(command: str) -> None:
    """Raise DeployError if the simulator's adapter does not answer an empty batch with an empty reply."""
    completed = subprocess.run(
        shell(command), input=EMPTY_BATCH, text=True, capture_output=True, check=True, timeout=SIM_TIMEOUT_S
    )
    if completed.stdout != EMPTY_BATCH_REPLY:
        raise DeployError(f"an empty batch was answered with {completed.stdout!r}")


def free_port() -> int:
    """Return a port that is currently free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def health(port: int) -> int:
    """Return the status of the balancer's health check; 0 while nothing listens."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=HEALTH_TIMEOUT_S)
    try:
        connection.request("GET", "/healthz")
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def configuration(port: int) -> dict[str, Any]:
    """Return the smallest configuration with which a balancer listens on a port."""
    read = {"name": "read", "target": 100.0, "deadline": 500.0, "effect": "retryable"}
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "1f",
        "settings": {"classes": [read], "discovery": "ask"},
    }


def wait_until_ready(process: subprocess.Popen[bytes], port: int) -> None:
    """Wait for the health check to answer 200; raise DeployError if the process ends or takes too long."""
    until = time.monotonic() + READY_TIMEOUT_S
    while (status := health(port)) != http.HTTPStatus.OK:
        if process.poll() is not None:
            raise DeployError(f"`run` ended with status {process.returncode}")
        if time.monotonic() >= until:
            raise DeployError(f"/healthz answers {status}")
        time.sleep(HEALTH_POLL_INTERVAL_S)


def check_run(command: str) -> None:
    """Raise DeployError if `run` does not become ready, or does not end with status 0 after SIGTERM."""
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(configuration(port)), encoding="utf-8")
        process = subprocess.Popen(shell(command), env=os.environ | {"LB_CONFIG": str(path)})
        try:
            wait_until_ready(process, port)
            process.send_signal(signal.SIGTERM)
            status = process.wait(timeout=STOP_TIMEOUT_S)
            if status != 0:
                raise DeployError(f"after SIGTERM `run` ended with status {status}")
        finally:
            process.kill()


def main() -> int:
    """Check the deploy file; return the exit status."""
    deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))
    subprocess.run(shell(deploy["build"]), check=True)
    try:
        check_files(deploy)
        check_sim(deploy["sim"])
        check_run(deploy["run"])
    except DeployError as error:
        print(f"start_deploy: {error}", file=sys.stderr)
        return 1
    print("the deploy file builds, and its commands respond")
    return 0


if __name__ == "__main__":
    sys.exit(main())
