"""Tables of several consoles' reports."""

from __future__ import annotations

import time
from collections.abc import Iterator, Mapping
from typing import Any

from rich.table import Table

from loadbalancer.cli.console_client import fetch_reports

Reports = Mapping[str, dict[str, Any]]
"""JSON reports, by console."""

RATE_HEADINGS = ("served/s", "refused/s", "failed/s", "attempts/s")
GAUGE_HEADINGS = ("open", "servers", "avoided")
MIN_INTERVAL_S = 1e-9  # avoids a division by zero in rates


def watch_tables(consoles: list[str], interval_s: float) -> Iterator[Table]:
    """Yield a table of all balancers at an interval, with rates since the last one."""
    before: Reports = {}
    last_at_s = time.monotonic()
    while True:
        reports, _ = fetch_reports(consoles, "/admin/stats")
        now_s = time.monotonic()
        yield stats_table(consoles, reports, before, max(now_s - last_at_s, MIN_INTERVAL_S))
        before = reports
        last_at_s = now_s
        time.sleep(interval_s)


def stats_table(consoles: list[str], reports: Reports, before: Reports, interval_s: float) -> Table:
    """Return a row for each balancer: rates per second if it has an earlier report, and gauges."""
    table = Table("balancer", *RATE_HEADINGS, *GAUGE_HEADINGS)
    for name in consoles:
        stats, last = reports.get(name), before.get(name)
        if stats is None:
            empty = [""] * (len(RATE_HEADINGS) + len(GAUGE_HEADINGS) - 1)
            table.add_row(name, "[red]no answer[/red]", *empty)
            continue
        rates = ["-"] * len(RATE_HEADINGS)
        if last is not None:
            pairs = zip(_counts(stats), _counts(last), strict=True)
            rates = [f"{max(count - earlier, 0) / interval_s:.1f}" for count, earlier in pairs]
        gauges = [str(stats[key]) for key in ("outstanding", "discovered", "ejected")]
        table.add_row(name, *rates, *gauges)
    return table


def membership_table(views: Reports) -> tuple[Table, bool]:
    """Return a row for each member, a column for each view, and whether all views agree."""
    table = Table("member", *views, "")
    do_agree = True
    for number in range(max((len(view["members"]) for view in views.values()), default=0)):
        members = [view["members"][number] for view in views.values() if number < len(view["members"])]
        states = {member["state"] for member in members}
        is_same = len(states) == 1 and len(members) == len(views)
        do_agree = do_agree and is_same
        cells = [f"{member['state']} {member['incarnation']}" for member in members]
        table.add_row(str(number), *cells, "" if is_same else "[red]differs[/red]")
    return table, do_agree


def endpoint_list_table(reports: Reports) -> Table:
    """Return a row for each balancer: ages in seconds, and the servers on which list and evidence differ."""
    table = Table(
        "balancer", "from", "version", "heard s", "changed s", "moves", "rewound", "doubted, silent"
    )
    for console, report in reports.items():
        ages = [
            "never" if report[key] is None else f"{report[key] / 1_000:.1f}"
            for key in ("heard_ms_ago", "changed_ms_ago")
        ]
        counts = [str(report["moves"]), str(report["rewound"])]
        servers = " ".join([*report["doubted"], *(f"{name} is silent" for name in report["contradicted"])])
        table.add_row(console, report["from"], str(report["index"]), *ages, *counts, servers)
    return table


def zone_table(reports: Reports) -> Table:
    """Return a row for each balancer and zone."""
    table = Table("balancer", "zone", "part drawn from", "ready", "calls out", "room")
    for console, zones in reports.items():
        for zone, status in zones.items():
            cells = [
                f"{status['share']:.0%}",
                str(status["ready"]),
                f"{status['out']:.1f}",
                f"{status['room']:.1f}",
            ]
            table.add_row(console, zone or "(none)", *cells)
    return table


def _counts(stats: dict[str, Any]) -> list[int]:
    by_class = [sum(stats[key].values()) for key in ("succeeded", "declined", "aborted")]
    return [*by_class, stats["forwards"]]
