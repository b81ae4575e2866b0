"""The stats in Prometheus' text form (https://prometheus.io/docs/instrumenting/exposition_formats/).

Written by hand: prometheus_client costs every process 5 MB. A test parses the result with that package.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from loadbalancer.net.reports import BalancerStats

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Metric:
    """What Prometheus is told of a metric beside its samples."""

    kind: str
    help: str


METRICS = {
    "irondrum_requests_total": Metric("counter", "Requests ended, by class and ending; as in /admin/stats."),
    "irondrum_forwards_total": Metric("counter", "Attempts written whole to upstreams."),
    "irondrum_outstanding": Metric("gauge", "Requests taken whose answer is not out yet."),
    "irondrum_upstreams_discovered": Metric("gauge", "Upstreams in the list as this balancer has it."),
    "irondrum_upstreams_ejected": Metric("gauge", "Listed upstreams that this balancer avoids now."),
    "irondrum_peers": Metric("gauge", "Balancers of the tier by what this one believes of them."),
    "irondrum_log_lines_left_out_total": Metric("counter", "Log lines past the bound of the log."),
}


def _escape(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def render(stats: BalancerStats, dropped_log_lines: int, members_by_state: Mapping[str, int]) -> str:
    """Return all metrics, one sample a line; those of membership are omitted where it is off."""
    outcomes = {"succeeded": stats.succeeded, "declined": stats.rejected, "aborted": stats.failed}
    requests = [
        (f'{{class="{_escape(name)}",ending="{outcome}"}}', count)
        for outcome, counts in outcomes.items()
        for name, count in counts.items()
    ]
    samples: dict[str, list[tuple[str, int]]] = {
        "irondrum_requests_total": requests,
        "irondrum_forwards_total": [("", stats.attempts)],
        "irondrum_outstanding": [("", stats.requests_in_flight)],
        "irondrum_upstreams_discovered": [("", stats.listed_servers)],
        "irondrum_upstreams_ejected": [("", stats.ejected_servers)],
        "irondrum_peers": [(f'{{state="{state}"}}', count) for state, count in members_by_state.items()],
        "irondrum_log_lines_left_out_total": [("", dropped_log_lines)],
    }
    lines = []
    for name, metric in METRICS.items():
        if not samples[name]:
            continue
        lines += [f"# HELP {name} {metric.help}", f"# TYPE {name} {metric.kind}"]
        lines += [f"{name}{labels} {value}" for labels, value in samples[name]]
    return "\n".join(lines)
