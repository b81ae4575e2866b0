"""The metrics in Prometheus' text format (https://prometheus.io/docs/instrumenting/exposition_formats/).

It does not use prometheus_client, which costs every process 5 MB. A test parses the result with that package.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from loadbalancer.net.reports import BalancerStats, ResourceStats

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Metric:
    """The type and help text of a metric."""

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
    "irondrum_attempts_ended_total": Metric(
        "counter", "Attempts by outcome; others than served may be retried."
    ),
    "irondrum_requests_closed_total": Metric(
        "counter", "Requests closed without an attempt's end, by reason."
    ),
    "irondrum_inputs_rejected_total": Metric("counter", "Input that is no acceptable request, by status."),
    "irondrum_client_connections": Metric("gauge", "Connections of clients."),
    "irondrum_buffered_bytes": Metric("gauge", "Bytes held for clients and upstreams."),
    "irondrum_buffer_limit_bytes": Metric("gauge", "From so many bytes on, input is held back or rejected."),
    "irondrum_response_heads_shed_total": Metric(
        "counter", "Responses given up for the memory of their head or trailers."
    ),
    "irondrum_resident_bytes": Metric("gauge", "Resident memory of this process."),
}


def _escape(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _labelled(label: str, counts: Mapping[str, int]) -> list[tuple[str, int]]:
    return [(f'{{{label}="{_escape(name)}"}}', count) for name, count in sorted(counts.items())]


def render(
    stats: BalancerStats,
    dropped_log_lines: int,
    members_by_state: Mapping[str, int],
    resources: ResourceStats,
) -> str:
    """Return all metrics, one sample per line; those of membership are omitted if it is off."""
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
        "irondrum_attempts_ended_total": _labelled("outcome", stats.attempt_outcomes),
        "irondrum_requests_closed_total": _labelled("reason", stats.close_reasons),
        "irondrum_inputs_rejected_total": _labelled("status", stats.rejected_inputs),
        "irondrum_client_connections": [("", resources.client_connections)],
        "irondrum_buffered_bytes": [("", resources.buffered_bytes)],
        "irondrum_buffer_limit_bytes": [("", resources.buffer_limit_bytes)],
        "irondrum_response_heads_shed_total": [("", resources.shed_response_heads)],
        "irondrum_resident_bytes": [("", resources.resident_bytes)],
        "irondrum_log_lines_left_out_total": [("", dropped_log_lines)],
    }
    lines = []
    for name, metric in METRICS.items():
        if not samples[name]:
            continue
        lines += [f"# HELP {name} {metric.help}", f"# TYPE {name} {metric.kind}"]
        lines += [f"{name}{labels} {value}" for labels, value in samples[name]]
    return "\n".join(lines)
