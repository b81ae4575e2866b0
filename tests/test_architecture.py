"""Imports form no cycle and point one way, `run` loads only its own parts, and pages name what exists."""

from __future__ import annotations

import ast
import re
import subprocess
import sys
import tomllib
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "loadbalancer"
ALLOWED_IMPORTS = {  # the parts that each part may import beside itself
    "interface": set(),
    "policy": {"interface"},
    "wire": {"interface"},
    "membership": set(),
    "snapshots": set(),
    "registry": set(),
    "simulation": {"registry", "interface", "membership", "policy", "endpoint_watch"},
    "lab": {"interface", "policy", "simulation"},
    "endpoint_watch": {"interface"},
    "net": {"interface", "membership", "policy", "snapshots", "endpoint_watch", "wire"},
    "configuration": {"net"},
    # The seeded defects of a drill patch the program itself.
    "drill": {
        "interface",
        "simulation",
        "net",
        "policy",
        "endpoint_watch",
        "membership",
        "snapshots",
        "registry",
        "program",
    },
    "scale": {"interface", "drill", "net", "policy", "endpoint_watch", "registry"},
}


def name_of(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


FILES = {name_of(path): path for path in PACKAGE.rglob("*.py")}


def imports(path: Path) -> set[str]:
    """The files of the package that a file imports, those for its types alone included."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            inner = {f"{node.module}.{alias.name}" for alias in node.names} & FILES.keys()
            whole = len(inner) < len(node.names)
            found |= inner | ({node.module} if whole else set())
    return (found & FILES.keys()) - {name_of(path)}


def test_imports_form_no_cycle() -> None:
    TopologicalSorter({name: imports(path) for name, path in FILES.items()}).prepare()


def test_imports_point_one_way() -> None:
    for name, path in FILES.items():
        part = name.split(".")[1] if "." in name else ""
        if part in ALLOWED_IMPORTS:
            used = {other.split(".")[1] for other in imports(path)}
            assert used <= ALLOWED_IMPORTS[part] | {part}, f"{name} imports {used}"


def modules_of_the_program() -> list[str]:
    """Return the modules that the balancer's process has loaded before it serves."""
    code = (
        "import sys; from loadbalancer.lean_imports import import_event_loop_without_tls as lean; lean();"
        "import loadbalancer.program; print(*sys.modules)"
    )
    asked = [sys.executable, "-c", code]
    return subprocess.run(asked, cwd=ROOT, capture_output=True, text=True, check=True).stdout.split()


def test_run_loads_no_openssl() -> None:
    """Guards against 4.6 MB of memory for TLS, which the balancer does not speak."""
    assert not {"ssl", "_ssl", "hashlib", "_hashlib"} & set(modules_of_the_program())


def test_run_loads_no_tool() -> None:
    loaded = modules_of_the_program()
    tools = {"typer", "msgspec", "rich", "numpy", "aiohttp", "structlog", "prometheus_client", "jinja2"}
    assert not tools & {name.split(".")[0] for name in loaded}
    assert not [n for n in loaded if n.startswith(("loadbalancer.simulation", "loadbalancer.drill"))]


ENVIRONMENT = {"LB_CONFIG", "LB_CONSOLE"}
PAGES = ("architecture.md", "glossary.md")


def defined_names() -> dict[str, set[str]]:
    """Every class with its fields and methods, and under the empty name every module-level name."""
    names: dict[str, set[str]] = {"": set()}
    for path in FILES.values():
        for node in ast.parse(path.read_text(encoding="utf-8")).body:
            names[""] |= {name for name, _ in _definitions(node)}
            if isinstance(node, ast.ClassDef):
                members = {name for item in node.body for name, _ in _definitions(item)}
                names[node.name] = names.get(node.name, set()) | members
    return names


def _definitions(node: ast.stmt) -> list[tuple[str, ast.stmt]]:
    if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
        return [(node.name, node)]
    targets = node.targets if isinstance(node, ast.Assign) else [getattr(node, "target", None)]
    return [(target.id, node) for target in targets if isinstance(target, ast.Name)]


@pytest.mark.parametrize("page", PAGES)
def test_every_name_of_the_code_on_a_page_exists(page: str) -> None:
    """Paths, classes, `Class.member` and upper-case constants, wherever a page has them in backticks."""
    known = defined_names()
    text = (ROOT / "docs" / page).read_text(encoding="utf-8")
    quoted = set(re.findall(r"`([^`\n]+)`", text))
    paths = {name for name in quoted if re.fullmatch(r"[a-z_]+(/[a-z_]+)*(/|\.py)", name)}
    missing = {name for name in paths if not (PACKAGE / name).exists() and not (ROOT / name).exists()}
    for name in quoted - paths:
        owner, _, member = name.removesuffix("()").partition(".")
        if re.fullmatch(r"[A-Z][A-Za-z]+[a-z]", owner) and (not member or member.isidentifier()):
            found = owner in known and (not member or member in known[owner])
            missing |= set() if found else {name}
        elif re.fullmatch(r"[A-Z]+(_[A-Z]+)+", name):
            missing |= set() if name in known[""] or name in ENVIRONMENT else {name}
    assert not missing


def test_deploy_file_names_every_module_that_decides() -> None:
    """A new file of decisions was left out of it once."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    decides = sorted(str(path.relative_to(ROOT)) for path in (PACKAGE / "policy").glob("*.py"))
    assert sorted(deploy["policy"]) == decides
    lines = [line for name in decides for line in (ROOT / name).read_text(encoding="utf-8").splitlines()]
    assert max(map(len, lines)) <= 110
