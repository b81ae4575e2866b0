"""Every command's name, arguments, options and exit codes as at d282128, which a refactoring must keep."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from importlib.metadata import entry_points, version
from pathlib import Path
from typing import Any

import pytest
from typer.main import get_command

from loadbalancer.cli.main import app

ROOT = Path(__file__).parent.parent
CLOSED_ADDRESS = "127.0.0.1:1"  # a port on which nothing listens
TIMEOUT_S = 60.0


# `JOBS`: half of the machine's processors, one at least. An empty name is the program itself.
COMMANDS: dict[str, list[str]] = {
    "": ["--version bool default=False"],
    "check": ["argument Path default=None", "--schema bool default=False"],
    "cordon": ["argument str required", "--console list[str] required"],
    "demo": ["--keep --no-keep bool default=False", "--seed int default=1"],
    "directory": [],
    "directory agent": [
        "argument str required",
        "--address str required",
        "--at str env=IRONDRUM_DIRECTORY required",
        "--grace-s float default=5.0",
        "--health str default='/healthz'",
        "--lease-s float default=10.0",
        "--tier str default='first'",
        "--weight float default=1.0",
        "--zone str default=''",
    ],
    "directory drain": [
        "argument str required",
        "--at str env=IRONDRUM_DIRECTORY required",
        "--if-match int default=None",
        "--why str default=''",
    ],
    "directory export": ["--at str env=IRONDRUM_DIRECTORY required"],
    "directory history": [
        "argument str default=''",
        "--at str env=IRONDRUM_DIRECTORY required",
        "--most int default=50",
    ],
    "directory import": [
        "argument Path required",
        "--at str env=IRONDRUM_DIRECTORY required",
        "--why str default='import'",
    ],
    "directory list": ["--at str env=IRONDRUM_DIRECTORY required", "--json bool default=False"],
    "directory pin": [
        "argument str required",
        "--at str env=IRONDRUM_DIRECTORY required",
        "--off bool default=False",
        "--why str default=''",
    ],
    "directory register": [
        "argument str required",
        "--address str required",
        "--at str env=IRONDRUM_DIRECTORY required",
        "--if-match int default=None",
        "--lease-s float default=86400.0",
        "--since-ms float default=0.0",
        "--tier str default='first'",
        "--weight float default=1.0",
        "--why str default=''",
        "--zone str default=''",
    ],
    "directory remove": [
        "argument str required",
        "--at str env=IRONDRUM_DIRECTORY required",
        "--if-match int default=None",
        "--why str default=''",
    ],
    "directory serve": ["argument Path required"],
    "directory verify": ["argument Path required"],
    "directory watch": [
        "--at str env=IRONDRUM_DIRECTORY required",
        "--looks int min=0 default=0",
        "--tier str default='first'",
    ],
    "drill": [],
    "drill list": [],
    "drill report": ["argument Path required"],
    "drill run": [
        "argument list[str] required",
        "--json bool default=False",
        "--out Path default=None",
        "--plant str default=''",
        "--seed int default=1",
    ],
    "drill soak": [
        "--jobs int min=1 default=1",
        "--out Path default=None",
        "--plan bool default=False",
        "--plant str default=''",
        "--replay Path default=None",
        "--seeds str default='1'",
        "--shorten bool default=False",
    ],
    "health": ["--console list[str] required"],
    "lab": [],
    "lab compare": ["DIR_A Path required", "DIR_B Path required", "--json bool default=False"],
    "lab list": [],
    "lab run": [
        "SCENARIO... list[str] required",
        "--jobs int min=1 default=JOBS",
        "--json bool default=False",
        "--out Path required",
        "--policy str default='ours'",
        "--rev str default=''",
        "--seeds str default='1-4'",
        "--set list[str] default=None",
    ],
    "lists": ["--console list[str] required"],
    "load": [
        "argument str required",
        "--anywhere --no-anywhere bool default=False",
        "--class list[str] required",
        "--json bool default=False",
        "--rate float default=50.0",
        "--seconds float default=10.0",
        "--seed int default=1",
    ],
    "peers": ["--console list[str] required"],
    "scale": [],
    "scale keep": ["argument Path required", "argument Path required"],
    "scale report": ["argument Path required", "--sizes Path default=None"],
    "scale run": [
        "--away-s float default=30.0",
        "--balancers int required",
        "--changes int default=60",
        "--changes-per-s float default=3.0",
        "--hollow int default=-1",
        "--hosts int default=2",
        "--instances int default=2",
        "--lists str default='whole'",
        "--out Path required",
        "--part int default=0",
        "--patience-s float default=0.0",
        "--plant str default=''",
        "--quiet-s float default=20.0",
        "--real int default=2",
        "--seed int default=1",
        "--services int default=1",
        "--settle-s float default=8.0",
        "--shared-reading bool default=False",
        "--start-s float default=0.0",
        "--steps str default='start,quiet,changes,instance-killed,away'",
    ],
    "serve": ["argument Path required", "--log str default='text'"],
    "stats": ["--console list[str] required"],
    "top": [
        "--console list[str] required",
        "--every float min=0.1 default=1.0",
        "--looks int min=0 default=0",
    ],
    "uncordon": ["argument str required", "--console list[str] required"],
    "zone": [],
    "zone leave": [
        "argument str required",
        "--console list[str] required",
        "--force bool default=False",
        "--over str default='0s'",
    ],
    "zone return": ["argument str required", "--console list[str] required", "--over str default='30s'"],
    "zone status": ["--console list[str] required", "--json bool default=False"],
}

JOBS = max((os.cpu_count() or 2) // 2, 1)

EXIT_CODES = (
    ("", 2),
    ("--help", 0),
    ("--version", 0),
    ("nothing", 2),
    ("lab", 2),
    ("drill", 2),
    ("zone", 2),
    ("scale", 2),
    ("directory", 2),
    ("health", 2),
    ("health --console x", 2),
    (f"health --console {CLOSED_ADDRESS}", 1),
    (f"lists --console {CLOSED_ADDRESS}", 1),
    (f"peers --console {CLOSED_ADDRESS}", 1),
    (f"stats --console {CLOSED_ADDRESS}", 1),
    (f"top --console {CLOSED_ADDRESS} --looks 1", 0),
    ("cordon", 2),
    (f"cordon s-1 --console {CLOSED_ADDRESS}", 1),
    (f"uncordon s-1 --console {CLOSED_ADDRESS}", 1),
    ("check docs/irondrum.toml", 0),
    ("check nothing.toml", 2),
    ("serve nothing.toml", 2),
    ("serve docs/irondrum.toml --log xml", 2),
    ("load http://127.0.0.1:1", 2),
    ("load http://10.0.0.1:1 --class a", 2),
    ("load x --class a", 2),
    ("drill run nothing", 2),
    ("drill run calm --plant nothing", 2),
    ("drill list", 0),
    ("drill report nothing", 2),
    ("lab list", 0),
    ("lab run nothing", 2),
    ("lab compare a b", 2),
    ("scale run --balancers 1 --out nothing", 2),
    ("scale keep nothing nothing", 1),
    ("scale report nothing", 2),
    ("directory serve nothing.toml", 2),
    (f"directory list --at {CLOSED_ADDRESS}", 2),
    ("directory register s-1 --at x --address 127.0.0.1:1", 2),
    ("directory verify nothing", 2),
    (f"directory import nothing --at {CLOSED_ADDRESS}", 1),
    (f"directory history --at {CLOSED_ADDRESS}", 2),
    (f"directory export --at {CLOSED_ADDRESS}", 2),
    (f"directory watch --at {CLOSED_ADDRESS} --looks 1", 2),
    (f"directory drain s-1 --at {CLOSED_ADDRESS}", 2),
    (f"zone leave east --console {CLOSED_ADDRESS}", 1),
    (f"zone return east --console {CLOSED_ADDRESS} --over x", 2),
    (f"zone status --console {CLOSED_ADDRESS}", 1),
    ("demo --nothing", 2),
)


def run(command: list[str], stdin: str = "", **environment: str) -> subprocess.CompletedProcess[str]:
    inherited = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
    return subprocess.run(
        command,
        cwd=ROOT,
        env=inherited | environment,
        input=stdin,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def describe_parameter(parameter: Any) -> str:
    """Return a parameter as one line: an argument's name is not part of what operators type."""
    kind = parameter.type_descriptor.annotation
    names = " ".join([*parameter.opts, *parameter.secondary_opts])
    parts = [names if parameter.param_type_name == "option" else parameter.metavar or "argument"]
    parts.append(str(getattr(kind, "__name__", kind)) if "[" not in str(kind) else str(kind))
    parts += [f"min={parameter.min}"] if getattr(parameter, "min", None) is not None else []
    parts += [f"env={parameter.envvar}"] if parameter.envvar else []
    parts.append("required" if parameter.required else f"default={parameter.default!r}")
    return " ".join(parts)


def describe_commands(command: Any, path: str = "") -> Iterator[tuple[str, list[str]]]:
    """Yield every command's path and its parameters, arguments in their order and options by name."""
    parameters = [describe_parameter(parameter) for parameter in command.params]
    arguments = [line for line in parameters if not line.startswith("-")]
    yield path, arguments + sorted(line for line in parameters if line.startswith("-"))
    for name, inner in sorted(getattr(command, "commands", {}).items()):
        yield from describe_commands(inner, f"{path} {name}".strip())


def test_every_command_has_the_recorded_arguments_and_options() -> None:
    found = {
        path: [
            line.replace(f"default={JOBS}", "default=JOBS") if "--jobs" in line else line for line in lines
        ]
        for path, lines in describe_commands(get_command(app))
    }
    assert found == COMMANDS


@pytest.mark.parametrize(("arguments", "status"), EXIT_CODES)
def test_command_ends_with_the_recorded_status(arguments: str, status: int) -> None:
    command = [sys.executable, "-c", "from loadbalancer.cli import main; main()", *arguments.split()]
    assert run(command).returncode == status


@pytest.mark.parametrize("name", ["irondrum", "loadbalancer"])
def test_both_names_start_the_same_program(name: str) -> None:
    scripts = {script.name: script.value for script in entry_points(group="console_scripts")}
    assert scripts[name] == "loadbalancer.cli:main"


def test_version_is_told() -> None:
    done = run([sys.executable, "-c", "from loadbalancer.cli import main; main()", "--version"])
    assert done.stdout.split() == ["irondrum", version("loadbalancer")]


def test_interrupted_command_ends_with_130(monkeypatch: pytest.MonkeyPatch) -> None:
    def interrupted() -> None:
        raise KeyboardInterrupt

    module = sys.modules["loadbalancer.cli.main"]
    monkeypatch.setattr(module, "app", interrupted)
    with pytest.raises(SystemExit) as ended:
        module.main()
    assert ended.value.code == 130


@pytest.mark.parametrize("content", [None, "", "{}", "[]", "no JSON"])
def test_balancer_without_a_usable_configuration_ends_with_2(content: str | None, tmp_path: Path) -> None:
    path = tmp_path / "balancer.json"
    if content is not None:
        path.write_text(content)
    done = run([sys.executable, "-m", "loadbalancer"], LB_CONFIG=str(path))
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1


def test_balancer_that_is_given_no_configuration_ends_with_2() -> None:
    done = run([sys.executable, "-m", "loadbalancer"])
    assert done.returncode == 2
    assert "LB_CONFIG" in done.stderr


@pytest.mark.parametrize(
    ("batch", "status"),
    [("", 0), ("sync batch=1 time=5\neob\n", 0), ("nothing\n", 1), ("sync batch=1 time=5\n", 1)],
)
def test_simulators_host_ends_with_the_recorded_status(batch: str, status: int) -> None:
    done = run([sys.executable, "-m", "loadbalancer.simhost"], batch)
    assert done.returncode == status
    assert done.stdout == ("yield batch=1\n" if "eob" in batch else "")
