"""Membership as operators read it: the console's JSON, and the states' words in Prometheus' labels.

The keys and words are fixed; they differ from the names in `loadbalancer.membership`.
"""

from __future__ import annotations

from loadbalancer.membership import Membership, MemberState, MemberTable
from loadbalancer.membership.member_table import MemberRecord

STATE_LABELS = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECTED: "suspected",
    MemberState.DEAD: "gone",
    MemberState.LEFT: "left",
}


def count_by_state(table: MemberTable) -> dict[str, int]:
    """Return how many members are in each state, by the states' words."""
    return {label: len(table.members_in_state(state)) for state, label in STATE_LABELS.items()}


def encode_membership(
    member: Membership, now: float, *, takes_part: bool, unknown_sender_count: int
) -> dict[str, object]:
    """Return the console's report on the members and the messages sent, received and dropped; `now` in ms."""
    counts = member.counts
    return {
        "me": member.table.number,
        "present": len(member.table.active_members),
        "takes_part": takes_part,
        "health": member.awareness.score,
        "members": [
            _encode_record(number, record, now) for number, record in enumerate(member.table.records)
        ],
        "notes": {
            "sent": counts.sent,
            "sent_bytes": counts.sent_bytes,
            "taken": counts.received,
            "dropped": {**counts.dropped, "stranger": unknown_sender_count},
        },
    }


def _encode_record(number: int, record: MemberRecord, now: float) -> dict[str, object]:
    has_message = record.last_message_at_ms > 0
    return {
        "number": number,
        "state": STATE_LABELS[record.state],
        "since_s": round((now - record.state_since_ms) / 1_000, 3),
        "incarnation": record.incarnation,
        "heard_s": round((now - record.last_message_at_ms) / 1_000, 3) if has_message else None,
    }
