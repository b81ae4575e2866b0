"""`irondrum lab`: run experiments in virtual time, and compare them."""

from __future__ import annotations

import os
import tempfile
import tomllib
from collections import defaultdict
from contextlib import nullcontext
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from loadbalancer.cli.usage_error import UsageError, find_file
from loadbalancer.lab import plays, policies
from loadbalancer.lab.compare import compare as paired
from loadbalancer.simulation import scenario as scenarios

app = typer.Typer(no_args_is_help=True, help="Experiments on the decisions in virtual time.")
SCENARIO_FOLDER = Path("scenarios")
MAX_SEEDS = 10_000
DEFAULT_JOBS = max((os.cpu_count() or 2) // 2, 1)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds that a text such as `1-16` or `1,4,7-9` names; UsageError if it names none."""
    seeds: list[int] = []
    try:
        for part in text.split(","):
            first, _, last = part.partition("-")
            seeds += range(int(first), int(last or first) + 1)
    except ValueError:
        raise UsageError(f"--seeds {text!r}: give numbers such as 3, 1-16 or 1,4,7-9") from None
    if not 0 < len(seeds) <= MAX_SEEDS:
        raise UsageError(f"--seeds {text!r}: it names {len(seeds)} seeds; 1 to {MAX_SEEDS:,} can be played")
    return sorted(set(seeds))


def load_scenario(name: str, changes: list[str]) -> scenarios.Scenario:
    """Return a scenario by its name or its file, with changes such as `choke.at=5` made to it."""
    return scenarios.load(
        find_file(SCENARIO_FOLDER, "scenario", name), [_parse_change(text) for text in changes]
    )


def _parse_change(text: str) -> tuple[list[str], Any]:
    where, equals, value = text.partition("=")
    try:
        if not equals:
            raise tomllib.TOMLDecodeError
        return where.split("."), tomllib.loads(f"value = {value}")["value"]
    except tomllib.TOMLDecodeError:
        raise UsageError(f"--set {text!r}: give a key and a TOML value, such as choke.at=5") from None


@app.command("list")
def list_scenarios() -> None:
    """List the available scenarios and policies: `irondrum lab list`."""
    for path in sorted(SCENARIO_FOLDER.glob("*.toml")):
        typer.echo(f"{path.stem:16} {scenarios.load(path).title}")
    typer.echo(f"policies: {', '.join(policies.POLICY_NAMES)}")


@app.command()
def run(
    names: Annotated[list[str], typer.Argument(metavar="SCENARIO...", help="Names, or files in TOML.")],
    out: Annotated[Path, typer.Option(help="Folder for results; plays that it holds are not repeated.")],
    seeds: Annotated[str, typer.Option(help="Such as 1-16 or 1,4,7-9.")] = "1-4",
    policy: Annotated[str, typer.Option(help="Comma-separated names.")] = policies.OWN_POLICY,
    jobs: Annotated[int, typer.Option(min=1, help="Plays run at once.")] = DEFAULT_JOBS,
    rev: Annotated[str, typer.Option(help="Play `ours` as it was at this commit.")] = "",
    changes: Annotated[list[str] | None, typer.Option("--set", help="Such as choke.at=5.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="The summary as JSON.")] = False,
) -> None:
    """Play scenarios: `irondrum lab run crowd rush --seeds 1-16 --policy ours,oracle --out results`."""
    jobs_to_run = _plan_jobs(names, seeds, policy, rev, changes or [])
    errors = Console(stderr=True)
    with tempfile.TemporaryDirectory() as folder:
        decisions = Path(folder) if rev else None
        if decisions:
            policies.extract_policy(rev, Path.cwd(), decisions)
        with errors.status(f"{len(jobs_to_run)} plays") if errors.is_terminal else nullcontext():
            on_record = _ignore_record if as_json else _print_record
            records = plays.run(jobs_to_run, out, jobs, decisions, on_record)
    _print_summary(records, as_json=as_json)


def _plan_jobs(names: list[str], seeds: str, policy: str, rev: str, changes: list[str]) -> list[plays.Job]:
    """Return a job for each scenario, seed and policy; UsageError or PolicyError if one does not exist."""
    wanted = [name.strip() for name in policy.split(",")]
    for name in wanted:
        if name not in policies.POLICY_NAMES:
            raise policies.PolicyError(f"no policy {name!r}; available: {', '.join(policies.POLICY_NAMES)}")
    at_rev = f"@{rev}" if rev else ""
    return [
        plays.Job(Path(name).stem, seed, which, which + at_rev * (which == policies.OWN_POLICY), scenario)
        for name in names
        for scenario in [load_scenario(name, changes)]
        for seed in parse_seeds(seeds)
        for which in wanted
    ]


def _print_record(record: plays.Record) -> None:
    broken = f"  BROKEN {record.breaches[0]}" if record.breaches else ""
    typer.echo(f"{record.scenario:16} {record.seed:>5}  {record.policy:24} {record.figure:.3f}{broken}")


def _ignore_record(record: plays.Record) -> None:
    """Print nothing: with `--json` the summary alone is printed."""


def _print_summary(records: list[plays.Record], *, as_json: bool) -> None:
    groups: dict[tuple[str, str], list[plays.Record]] = defaultdict(list)
    for record in records:
        groups[record.scenario, record.policy].append(record)
    rows = []
    for (scenario, policy), group in sorted(groups.items()):
        row: dict[str, Any] = {"scenario": scenario, "policy": policy, "days": len(group)}
        for part in ("figure", "whole", "worst_window", "worst_class", "worst_tenant"):
            row[part] = round(sum(getattr(r, part) for r in group) / len(group), 4)
        row["choked"] = round(sum(r.choked for r in group) / len(group), 2)
        row["broken"] = sum(len(r.breaches) for r in group)
        rows.append(row)
    if as_json:
        typer.echo(msgspec.json.encode(rows).decode())
        return
    table = Table(*rows[0]) if rows else Table()
    for row in rows:
        table.add_row(*(f"{v:.3f}" if isinstance(v, float) else str(v) for v in row.values()))
    Console(width=120).print(table)


@app.command()
def compare(
    before: Annotated[Path, typer.Argument(metavar="DIR_A")],
    after: Annotated[Path, typer.Argument(metavar="DIR_B")],
    as_json: Annotated[bool, typer.Option("--json", help="The rows as JSON.")] = False,
) -> None:
    """Compare two folders of plays, paired by scenario and seed: `irondrum lab compare before after`."""
    try:
        rows = paired(plays.read(before), plays.read(after))
    except (OSError, ValueError) as error:
        raise UsageError(str(error)) from error
    if as_json:
        typer.echo(msgspec.json.encode(rows).decode())
        return
    table = Table("scenario", "pairs", "before", "after", "change", "95 of 100", "won", "lost")
    for r in rows:
        table.add_row(
            r.scenario, str(r.pairs), f"{r.before:.3f}", f"{r.after:.3f}", f"{r.change:+.3f}",
            f"{r.low:+.3f} to {r.high:+.3f}", str(r.won), str(r.lost),
        )  # fmt: skip
    Console(width=100).print(table)
