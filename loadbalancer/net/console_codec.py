"""The JSON encoding of the console's answers; operators' tools rely on its names, which must not change."""

from __future__ import annotations

import json
from collections.abc import Mapping

from loadbalancer.net.reports import BalancerStats, EndpointListReport, MembershipReport
from loadbalancer.policy.zones import ZoneStatus


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


def encode_zones(zones: Mapping[str, ZoneStatus]) -> str:
    """Return the answer to `/admin/zones`."""
    return json.dumps(
        {
            zone: {
                "share": status.traffic_fraction,
                "ready": status.ready_servers,
                "out": status.calls_in_flight,
                "room": status.call_capacity,
            }
            for zone, status in zones.items()
        }
    )


def encode_membership(report: MembershipReport) -> str:
    """Return the answer to `/admin/peers`."""
    members = [
        {
            "number": member.index,
            "state": member.state,
            "since_s": member.state_age_s,
            "incarnation": member.incarnation,
            "heard_s": member.last_message_age_s,
        }
        for member in report.members
    ]
    messages = report.messages
    return json.dumps(
        {
            "me": report.own_index,
            "present": report.active_members,
            "takes_part": report.is_participating,
            "health": report.awareness_score,
            "members": members,
            "notes": {
                "sent": messages.sent,
                "sent_bytes": messages.sent_bytes,
                "taken": messages.received,
                "dropped": messages.dropped,
            },
        }
    )
