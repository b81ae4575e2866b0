"""`irondrum demo` and `irondrum load`: a short drill in the terminal, and open-loop load on an address."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from loadbalancer.cli.console_client import fetch_reports
from loadbalancer.cli.console_tables import stats_table
from loadbalancer.cli.output import output_console
from loadbalancer.drill import history, open_load
from loadbalancer.drill.checks import judgement
from loadbalancer.drill.execution.player import DrillPlayer
from loadbalancer.drill.processes.placement import FIRST_TIER
from loadbalancer.drill.processes.topology import Topology
from loadbalancer.drill.scenario.loading import parse_scenario
from loadbalancer.drill.scenario.tables import DrillScenario

REFRESH_INTERVAL_S = 0.5
MAX_SHOWN_FAULTS = 5
EXIT_CHECK_FAILED = 1
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
DEMO_DRILL = """
title = "Two balancers, four servers; one is slowed, one is killed, removed, and comes back cold"

[load]
rate = 120
requests = 1_800

[[step]]
after = 360
do = "behave"
who = "s0"
slower = 6.0

[[step]]
after = 360
do = "behave"
who = "s0"

[[step]]
after = 120
do = "kill"
who = "s1"

[[step]]
after = 180
do = "remove"
who = "s1"

[[step]]
after = 300
do = "start"
who = "s1"

[bounds]
served = 0.97
"""


class Demo:
    """The demo's display: what balancers report, and the faults injected so far."""

    def __init__(self, console: Console, *, stays_up: bool) -> None:
        self._console = console
        self._stays_up = stays_up
        self._last_stats: dict[str, dict[str, Any]] = {}
        self._request_count = 0

    async def play(self, drill: DrillScenario, seed: int, out: Path) -> None:
        """Play the drill with a live table; with `stays_up`, go on until Ctrl-C."""
        player = DrillPlayer(
            drill, seed, out, on_progress=self._progress, on_load_completed=self._wait_for_interrupt
        )
        playing = asyncio.create_task(player.run())
        try:
            with Live(console=self._console, auto_refresh=False) as live:
                while not playing.done() and self._request_count < drill.load.requests:
                    await asyncio.wait([playing], timeout=REFRESH_INTERVAL_S)
                    if not playing.done() and self._request_count:
                        live.update(await self._render(player, drill), refresh=True)
            await playing
        except asyncio.CancelledError:
            playing.cancel()
            await asyncio.gather(playing, return_exceptions=True)
            if not self._stays_up:
                raise

    def _progress(self, line: dict[str, Any]) -> None:
        self._request_count = line["asked"]

    async def _render(self, player: DrillPlayer, drill: DrillScenario) -> Group:
        names = {spot.console: spot.name for spot in player.topology.balancers(FIRST_TIER)}
        reports, _ = await asyncio.to_thread(fetch_reports, list(names), "/admin/stats")
        stats = {names[console]: report for console, report in reports.items()}
        table = stats_table(list(names.values()), stats, self._last_stats, REFRESH_INTERVAL_S)
        self._last_stats = stats
        return Group(
            table,
            Text(f"{self._request_count} of {drill.load.requests} requests sent"),
            *self._faults(player),
        )

    def _faults(self, player: DrillPlayer) -> list[Text]:
        faults = [e for e in history.read_history(player.out) if e["what"] == "fault"]
        return [
            Text(f"  {e['kind']} {' '.join(e['targets'])} {'' if e['on'] else '(over)'}", style="yellow")
            for e in faults[-MAX_SHOWN_FAULTS:]
        ]

    async def _wait_for_interrupt(self, fleet: Topology) -> None:
        if not self._stays_up:
            return
        front = fleet.balancers(FIRST_TIER)[0]
        host, port = fleet.links[f"clients>{front.name}"].address
        self._console.print(
            "The fleet stays up until Ctrl-C. In another shell:\n"
            f"  curl -s -H 'X-Request-Id: 1' -H 'X-Class: map' -H 'X-Deadline: 2000m' http://{host}:{port}/map\n"
            f"  curl -s http://{front.console}/admin/stats\n"
            f"  curl -s http://{front.console}/metrics\n"
            f"  curl -s http://{front.console}/admin/cordon -d s2\n"
            f"  irondrum load http://{host}:{port} --class map --rate 50 --seconds 5",
            soft_wrap=True,
            highlight=False,
        )
        await asyncio.Event().wait()


def demo(
    keep: Annotated[bool, typer.Option(help="Stay up afterwards, and print curl commands.")] = False,
    seed: Annotated[int, typer.Option(help="Random seed of the load.")] = 1,
) -> None:
    """Start a fleet, slow one server, kill another, and print the checks; exit 0 only if nothing broke.

    Example: irondrum demo --keep
    """
    console, began = output_console(), time.monotonic()
    drill = parse_scenario(DEMO_DRILL, "demo")
    with tempfile.TemporaryDirectory() as folder:
        out = Path(folder) / "demo"
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(Demo(console, stays_up=keep).play(drill, seed, out))
        results = judgement.judge(drill, history.read_history(out))
    for check in results:
        mark = "[green]held[/green]" if check.passed else f"[red]broken: {check.first_violation}[/red]"
        console.print(
            f"  {check.name:<14}{check.measured:>8g}  bound {check.bound:<6g} {mark}", highlight=False
        )
    is_passed = all(check.passed for check in results)
    console.print(f"{'Nothing broke' if is_passed else 'Something broke'}, {time.monotonic() - began:.0f} s")
    if not is_passed:
        raise typer.Exit(EXIT_CHECK_FAILED)


def load_(
    url: Annotated[str, typer.Argument(help="Such as http://127.0.0.1:8080.")],
    kind: Annotated[list[str], typer.Option("--class", help="NAME[:SHARE[:DEADLINE_MS[:unsafe]]]")],
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 50.0,
    seconds: Annotated[float, typer.Option(help="How long.")] = 10.0,
    seed: Annotated[int, typer.Option(help="Random seed of the arrivals.")] = 1,
    anywhere: Annotated[bool, typer.Option(help="Allow an address that is not loopback.")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="One line of JSON.")] = False,
) -> None:
    """Send open-loop load at a steady rate, and print the outcome; latency is from the scheduled time.

    Example: irondrum load http://127.0.0.1:8080 --class map:3:500 --class unlock:1:4000:unsafe --rate 100
    """
    open_load.check_load(url, rate, seconds, anywhere=anywhere)
    kinds = [open_load.parse_request_kind(text) for text in kind]
    tallies = asyncio.run(open_load.run_load(url, kinds, rate, seconds, seed))
    if as_json:
        summary = {
            name: {"endings": dict(t.endings), "ms": {f"p{p:g}": t.percentile_ms(p) for p in PERCENTILES}}
            for name, t in tallies.items()
        }
        typer.echo(json.dumps(summary))
        return
    table = Table("class", "requests", "endings", *[f"p{part:g} ms" for part in PERCENTILES])
    for name, tally in tallies.items():
        endings = ", ".join(f"{count} {ending}" for ending, count in sorted(tally.endings.items()))
        times = [f"{tally.percentile_ms(part):.1f}" for part in PERCENTILES]
        table.add_row(name, str(sum(tally.endings.values())), endings, *times)
    output_console().print(table)
