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

from loadbalancer.cli.misuse import Misuse, find_file
from loadbalancer.lab import plays, policies
from loadbalancer.lab.compare import compare as paired
from loadbalancer.simulation import scenario as scenarios

app = typer.Typer(no_args_is_help=True, help="Experiments on the decisions in virtual time.")
FOLDER = Path("scenarios")
MOST_SEEDS = 10_000
JOBS = max((os.cpu_count() or 2) // 2, 1)


def seeds_of(text: str) -> list[int]:
    """The seeds that a text such as `1-16` or `1,4,7-9` names; Misuse if it names none."""
    seeds: list[int] = []
    try:
        for part in text.split(","):
            first, _, last = part.partition("-")
            seeds += range(int(first), int(last or first) + 1)
    except ValueError:
        raise Misuse(f"--seeds {text!r}: give numbers such as 3, 1-16 or 1,4,7-9") from None
    if not 0 < len(seeds) <= MOST_SEEDS:
        raise Misuse(f"--seeds {text!r}: it names {len(seeds)} seeds; 1 to {MOST_SEEDS:,} can be played")
    return sorted(set(seeds))


def find(name: str, changes: list[str]) -> scenarios.Scenario:
    """A scenario by its name or its file, with changes such as `choke.at=5` made to it."""
    return scenarios.load(find_file(FOLDER, "scenario", name), [_change(text) for text in changes])


def _change(text: str) -> tuple[list[str], Any]:
    where, equals, value = text.partition("=")
    try:
        if not equals:
            raise tomllib.TOMLDecodeError
        return where.split("."), tomllib.loads(f"value = {value}")["value"]
    except tomllib.TOMLDecodeError:
        raise Misuse(f"--set {text!r}: give a key and a TOML value, such as choke.at=5") from None


@app.command("list")
def list_scenarios() -> None:
    """List the scenarios and policies there are: `irondrum lab list`."""
    for path in sorted(FOLDER.glob("*.toml")):
        typer.echo(f"{path.stem:16} {scenarios.load(path).title}")
    typer.echo(f"policies: {', '.join(policies.POLICY_NAMES)}")


@app.command()
def run(
    names: Annotated[list[str], typer.Argument(metavar="SCENARIO...", help="Names, or files in TOML.")],
    out: Annotated[Path, typer.Option(help="The folder for results; a run goes on behind what it holds.")],
    seeds: Annotated[str, typer.Option(help="Such as 1-16 or 1,4,7-9.")] = "1-4",
    policy: Annotated[str, typer.Option(help="Names, with commas between.")] = policies.OWN_POLICY,
    jobs: Annotated[int, typer.Option(min=1, help="Days played at once.")] = max(
        (os.cpu_count() or 2) // 2, 1
    ),
    rev: Annotated[str, typer.Option(help="Play `ours` as it was at this commit.")] = "",
    changes: Annotated[list[str] | None, typer.Option("--set", help="Such as choke.at=5.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="The summary as JSON.")] = False,
) -> None:
    """Play scenarios: `irondrum lab run crowd rush --seeds 1-16 --policy ours,oracle --out results`."""
    wanted = [name.strip() for name in policy.split(",")]
    for name in wanted:
        if name not in policies.POLICY_NAMES:
            raise policies.PolicyError(f"no policy {name!r}; there are {', '.join(policies.POLICY_NAMES)}")
    at_rev = f"@{rev}" if rev else ""
    todo = [
        plays.Job(Path(name).stem, seed, which, which + at_rev * (which == policies.OWN_POLICY), plan)
        for name in names
        for plan in [find(name, changes or [])]
        for seed in seeds_of(seeds)
        for which in wanted
    ]
    errors = Console(stderr=True)

    def tell(record: plays.Record) -> None:
        if not as_json:
            broken = f"  BROKEN {record.breaches[0]}" if record.breaches else ""
            typer.echo(
                f"{record.scenario:16} {record.seed:>5}  {record.policy:24} {record.figure:.3f}{broken}"
            )

    with tempfile.TemporaryDirectory() as folder:
        decisions = Path(folder) if rev else None
        if decisions:
            policies.extract_policy(rev, Path.cwd(), decisions)
        with errors.status(f"{len(todo)} days") if errors.is_terminal else nullcontext():
            records = plays.run(todo, out, jobs, decisions, tell)
    _summary(records, as_json)


def _summary(records: list[plays.Record], as_json: bool) -> None:
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
        raise Misuse(str(error)) from None
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
