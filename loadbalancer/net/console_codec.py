"""The JSON of the console: its names are those that operators' tools read, and stay as they are."""

from __future__ import annotations

import json
from collections.abc import Mapping

from loadbalancer.net.reports import BalancerStats, EndpointListReport


def encode_stats(stats: BalancerStats) -> str:
    """Return the answer to `/admin/stats`."""
    return json.dumps(
        {
            "succeeded": stats.succeeded,
            "declined": stats.rejected,
            "aborted": stats.failed,
            "forwards": stats.attempts,
            "outstanding": stats.requests_in_flight,
            "discovered": stats.listed_servers,
            "ejected": stats.ejected_servers,
        }
    )


def encode_endpoint_list(report: EndpointListReport) -> str:
    """Return the answer to `/admin/list`."""
    return json.dumps(
        {
            "from": report.source,
            "index": report.revision,
            "heard_ms_ago": report.last_response_age_ms,
            "changed_ms_ago": report.last_change_age_ms,
            "moves": report.source_changes,
            "rewound": report.rewinds,
            "stood_still": report.stalls,
            "contradicted": report.contradicted_servers,
            "doubted": report.suspected_servers,
        }
    )


def encode_zones(zones: Mapping[str, Mapping[str, float]]) -> str:
    """Return the answer to `/admin/zones`."""
    return json.dumps(zones)


def encode_membership(report: Mapping[str, object]) -> str:
    """Return the answer to `/admin/peers`."""
    return json.dumps(report)
