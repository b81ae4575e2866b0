"""The figures in Prometheus' text form (https://prometheus.io/docs/instrumenting/exposition_formats/).

Written by hand: prometheus_client costs every process 5 MB. A test reads what is written here with it.
"""

from __future__ import annotations

from collections.abc import Mapping

from loadbalancer.net.request_counters import RequestCounters

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
HELP = {
    "irondrum_requests_total": ("counter", "Requests ended, by class and ending; as in /admin/stats."),
    "irondrum_forwards_total": ("counter", "Attempts written whole to upstreams."),
    "irondrum_outstanding": ("gauge", "Requests taken whose answer is not out yet."),
    "irondrum_upstreams_discovered": ("gauge", "Upstreams in the list as this balancer has it."),
    "irondrum_upstreams_ejected": ("gauge", "Listed upstreams that this balancer avoids now."),
    "irondrum_peers": ("gauge", "Balancers of the tier by what this one believes of them."),
    "irondrum_log_lines_left_out_total": ("counter", "Log lines past the bound of the log."),
}


def _label(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def write(
    figures: RequestCounters, discovered: int, ejected: int, left_out: int, members: Mapping[str, int]
) -> str:
    """All figures, one sample a line; those of membership where it is on."""
    requests = [
        (f'{{class="{_label(name)}",ending="{ending}"}}', count)
        for ending, counts in figures.by_outcome().items()
        for name, count in counts.items()
    ]
    samples: dict[str, list[tuple[str, int]]] = {
        "irondrum_requests_total": requests,
        "irondrum_forwards_total": [("", figures.attempts)],
        "irondrum_outstanding": [("", figures.in_flight)],
        "irondrum_upstreams_discovered": [("", discovered)],
        "irondrum_upstreams_ejected": [("", ejected)],
        "irondrum_peers": [(f'{{state="{state}"}}', count) for state, count in members.items()],
        "irondrum_log_lines_left_out_total": [("", left_out)],
    }
    lines = []
    for name, (kind, text) in HELP.items():
        if not samples[name]:
            continue
        lines += [f"# HELP {name} {text}", f"# TYPE {name} {kind}"]
        lines += [f"{name}{labels} {value}" for labels, value in samples[name]]
    return "\n".join(lines)
