"""Who of a tier's balancers is there: failure detection by notes of at most 256 bytes, after SWIM.

    member = Membership(number=0, count=12, fleet=b"abcd", seed=7)
    for action in member.start(now=0.0): ...          # Tell(to, note) and Wake(at_ms)
    for action in member.heard(sender=3, note=data, now=12.0): ...

A sans-I/O core: no clock, socket or chance but what it is given. `net` hosts it on UDP, `world` in virtual
time. What it is for and what it is not for stands in docs/membership.md: no rule rests on it.
"""

from loadbalancer.membership.member_table import MemberState, MemberTable
from loadbalancer.membership.messages import MAX_MESSAGE_BYTES
from loadbalancer.membership.swim import Action, Membership, SendMessage, SetTimer

__all__ = [
    "MAX_MESSAGE_BYTES",
    "Action",
    "MemberState",
    "MemberTable",
    "Membership",
    "SendMessage",
    "SetTimer",
]
