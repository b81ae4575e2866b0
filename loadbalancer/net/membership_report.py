"""Membership for operators: the console report, and the state labels of Prometheus metrics."""

from __future__ import annotations

from loadbalancer.membership import Membership, MemberState, MemberTable
from loadbalancer.membership.member_table import MemberRecord
from loadbalancer.net.reports import GossipCounts, MemberReport, MembershipReport

STATE_LABELS = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECTED: "suspected",
    MemberState.DEAD: "gone",
    MemberState.LEFT: "left",
}
"""State labels on the console, in Prometheus metrics and in drills."""


def count_by_state(table: MemberTable) -> dict[str, int]:
    """Return the number of members in each state, by state label."""
    return {label: len(table.members_in_state(state)) for state, label in STATE_LABELS.items()}


def report_membership(
    member: Membership, now: float, *, is_participating: bool, unknown_sender_count: int
) -> MembershipReport:
    """Return the view of each member, and the message counts; `now` is in ms."""
    counts = member.counts
    return MembershipReport(
        own_index=member.table.number,
        active_members=len(member.table.active_members),
        is_participating=is_participating,
        awareness_score=member.awareness.score,
        members=tuple(
            _report_member(number, record, now) for number, record in enumerate(member.table.records)
        ),
        messages=GossipCounts(
            sent=counts.sent,
            sent_bytes=counts.sent_bytes,
            received=counts.received,
            dropped={**counts.dropped, "stranger": unknown_sender_count},
        ),
    )


def _report_member(number: int, record: MemberRecord, now: float) -> MemberReport:
    has_message = record.last_message_at_ms > 0
    return MemberReport(
        index=number,
        state=STATE_LABELS[record.state],
        state_age_s=round((now - record.state_since_ms) / 1_000, 3),
        incarnation=record.incarnation,
        last_message_age_s=round((now - record.last_message_at_ms) / 1_000, 3) if has_message else None,
    )
