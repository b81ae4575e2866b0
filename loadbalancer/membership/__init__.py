"""Tier membership: SWIM failure detection with messages of at most 256 bytes.

    member = Membership(number=0, count=12, fleet_tag=b"abcd", seed=7)
    for action in member.start(now=0.0): ...          # SendMessage(recipient, payload) and SetTimer(at_ms)
    for action in member.handle_message(sender=3, data=payload, now=12.0): ...

Sans-I/O: clock, datagrams and random seed come from the host. `net` hosts it on UDP, `simulation` in virtual
time. docs/membership.md describes its purpose and limits: no rule depends on it.
"""

from loadbalancer.membership.actions import Action, SendMessage, SetTimer
from loadbalancer.membership.member_table import MemberState, MemberTable
from loadbalancer.membership.messages import MAX_MESSAGE_BYTES
from loadbalancer.membership.swim import Membership

__all__ = [
    "MAX_MESSAGE_BYTES",
    "Action",
    "MemberState",
    "MemberTable",
    "Membership",
    "SendMessage",
    "SetTimer",
]
