"""How a list of servers is watched: whom to ask for what and when, and what to make of the answer.

    watch = Watch((one, other), number=0, balancers=2, grace_ms=3_000, own=True, seed=1)
    ask = watch.ask(now)                         # where, since which version, and how long it may take
    rewound = watch.answered(index, now)         # ValueError: that answer is no news; it has failed
    pause_s = watch.failed(took_s, False)        # until the next ask; None: the whole list has failed

A sans-I/O core: `net/discovery.py` hosts it on sockets, `simulation/watches.py` in virtual time. Times are
seconds of a clock that never goes back.
"""

from loadbalancer.endpoint_watch.instance_selection import (
    Address,
    ContradictionDetector,
    InstanceSelector,
    ListVersion,
)
from loadbalancer.endpoint_watch.subscription import RateLimitedError, Subscription
from loadbalancer.endpoint_watch.watch import ListRequest, Watch

__all__ = [
    "Address",
    "ContradictionDetector",
    "InstanceSelector",
    "ListRequest",
    "ListVersion",
    "RateLimitedError",
    "Subscription",
    "Watch",
]
