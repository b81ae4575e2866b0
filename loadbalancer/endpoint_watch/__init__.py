"""How the endpoint list is watched: which instance is sent which request and when, and what an answer means.

    watch = Watch(
        (first, second), balancer_index=0, balancer_count=2, drain_grace_ms=3_000, is_self_hosted=True, seed=1
    )
    request = watch.next_request(now)            # to which instance, after which version, with what timeout
    rewound = watch.record_answer(index, now)    # StaleListError: older than the list at hand, a failed call
    pause_s = watch.record_failure(duration_s, response_timed_out=False)  # None: all instances have failed

A sans-I/O core: `net/discovery/` runs it on sockets, `simulation/watches.py` in virtual time. Times are
seconds of a monotonic clock.
"""

from loadbalancer.endpoint_watch.contradictions import ContradictionDetector
from loadbalancer.endpoint_watch.exceptions import (
    AnswerMismatchError,
    EndpointWatchError,
    RateLimitedError,
    StaleListError,
)
from loadbalancer.endpoint_watch.instance_selection import Address, InstanceSelector, ListVersion
from loadbalancer.endpoint_watch.request_schedule import FULL_SNAPSHOT, ListRequest
from loadbalancer.endpoint_watch.subscription import Subscription
from loadbalancer.endpoint_watch.watch import Watch

__all__ = [
    "FULL_SNAPSHOT",
    "Address",
    "AnswerMismatchError",
    "ContradictionDetector",
    "EndpointWatchError",
    "InstanceSelector",
    "ListRequest",
    "ListVersion",
    "RateLimitedError",
    "StaleListError",
    "Subscription",
    "Watch",
]
