"""The operator commands, on a balancer that runs as its own process."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from loadbalancer.cli.console_client import call_console
from loadbalancer.drill.open_load import LoadError, check_load, parse_request_kind
from loadbalancer.drill.processes.addresses import find_free_port

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"


def irondrum(*args: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-c", "from loadbalancer.cli import main; main()", *args]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)


@dataclass
class Served:
    """A balancer that `irondrum serve` started."""

    process: subprocess.Popen[str]
    path: Path
    address: str
    console: str


def file_text(address: str, console: str, discovery: str) -> str:
    return (
        f'name = "b"\nlisten = "{address}"\nconsole = "{console}"\ndiscovery = "{discovery}"\n'
        '[[settings.classes]]\nname = "map"\ntarget = "400ms"\ndeadline = "2s"\neffect = "retryable"\n'
    )


@pytest.fixture
def served(tmp_path: Path) -> Iterator[Served]:
    address, console = (f"{HOST}:{find_free_port(HOST)}" for _ in range(2))
    path = tmp_path / "b.toml"
    path.write_text(file_text(address, console, f"{HOST}:{find_free_port(HOST)}"))
    command = [sys.executable, "-c", "from loadbalancer.cli import main; main()", "serve", str(path)]
    with subprocess.Popen(
        [*command, "--log", "json"], cwd=ROOT, stderr=subprocess.PIPE, text=True,
        env=os.environ | {"TMPDIR": str(tmp_path)},
    ) as process:  # fmt: skip
        try:
            while not call_console(console, "GET", "/admin/health").is_accepted:
                assert process.poll() is None
            yield Served(process, path, address, console)
        finally:
            process.kill()


def test_served_balancer_is_loaded_watched_and_stopped(served: Served) -> None:
    assert irondrum("health", "--console", served.console).stdout == f"{served.console}  ok\n"
    loaded = irondrum(
        "load", f"http://{served.address}", "--class", "map", "--rate", "100", "--seconds", "0.3", "--json"
    )
    endings = json.loads(loaded.stdout)["map"]["endings"]
    assert set(endings) == {"refused"}  # it knows no server
    stats = json.loads(irondrum("stats", "--console", served.console).stdout)[served.console]
    assert stats["declined"]["map"] == endings["refused"]
    shown = irondrum("top", "--console", served.console, "--looks", "2", "--every", "0.1").stdout
    assert "served/s" in shown and "0.0" in shown
    served.process.send_signal(signal.SIGTERM)
    assert served.process.wait(30) == 0


def test_reload_names_what_changed_and_an_invalid_file_changes_nothing(served: Served) -> None:
    assert served.process.stderr is not None

    def next_event(wanted: str) -> dict[str, str]:
        assert served.process.stderr is not None
        while (line := json.loads(served.process.stderr.readline()))["event"] != wanted:
            pass
        found: dict[str, str] = line
        return found

    served.path.write_text("listen = ")
    served.process.send_signal(signal.SIGHUP)
    assert "can't be read" in next_event("configuration_rejected")["text"]
    served.path.write_text(file_text(f"{HOST}:1", served.console, f"{HOST}:2"))
    served.process.send_signal(signal.SIGHUP)
    line = next_event("configuration_replaced")
    assert (line["took"], line["needs_restart"]) == ("discovery", "listen")


def test_command_to_several_balancers_names_those_that_did_not_accept_it(served: Served) -> None:
    closed = f"{HOST}:{find_free_port(HOST)}"
    done = irondrum("health", "--console", served.console, "--console", closed)
    assert done.returncode == 1
    assert done.stderr.splitlines()[-1] == f"irondrum: 1 of 2 did not accept: {closed}"
    unknown = irondrum("cordon", "no-such", "--console", served.console)
    assert unknown.returncode == 1 and "nobody has that ID" in unknown.stderr


@pytest.mark.parametrize(
    "args",
    [
        ("health", "--console", "nowhere"),
        ("load", "http://192.0.2.1:80", "--class", "map"),
        ("load", "http://127.0.0.1:80", "--class", "map:x"),
        ("check",),
        ("serve", "no-such.toml"),
        ("serve", "docs/irondrum.toml", "--log", "xml"),
    ],
)
def test_usage_error_is_one_line_and_status_2(args: tuple[str, ...]) -> None:
    done = irondrum(*args)
    assert (done.returncode, done.stderr.count("\n")) == (2, 1), done.stderr
    assert done.stderr.startswith("irondrum: ")


def test_load_stays_on_loopback_and_within_its_bounds() -> None:
    check_load("http://127.0.0.1:1", 1, 1, anywhere=False)
    check_load("http://192.0.2.1", 1, 1, anywhere=True)
    for url, rate, seconds in (("http://192.0.2.1", 1, 1), ("http://[::1]", 0, 1), ("http://[::1]", 1, 601)):
        with pytest.raises(LoadError):
            check_load(url, rate, seconds, anywhere=False)
    kind = parse_request_kind("pay:2:500:unsafe")
    assert (kind.name, kind.weight, kind.deadline_ms, kind.is_unsafe) == ("pay", 2.0, 500.0, True)
    assert parse_request_kind("map:3").deadline_ms == 2_000.0
    for text in ("", "a:0", "a:1:0", "a:1:1:safe", "a:1:1:unsafe:x"):
        with pytest.raises(LoadError):
            parse_request_kind(text)


def test_lists_command_shows_the_source_of_the_endpoint_list(served: Served) -> None:
    done = irondrum("lists", "--console", served.console)
    assert done.returncode == 0
    assert "configuration" in done.stdout
    assert "never" in done.stdout
    assert irondrum("lists", "--console", f"{HOST}:{find_free_port(HOST)}").returncode == 1
