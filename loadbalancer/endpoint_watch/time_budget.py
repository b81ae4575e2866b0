"""The time budget of the endpoint list: how soon a change has to be known, and what a call may take of that.

A change counts as delivered `CHANGE_DEADLINE_S` after its service had it and could be reached, however calls
before had ended. In the worst case each of n instances is called in turn, and the one that can be reached was
just missed:

    a call that fails and the pause after it, n times      n x retry interval
    the call that is answered                              answer time
    a busy processor                                       SCHEDULING_SLACK_S

    n instances of one's own         1      2      3      8      the platform's
    retry interval                   4.5    2.25   1.5    0.56   2.75 s
      of it the call with connecting 2.0    2.0    1.35   0.51   2.25 s
    answer time                      0.5    0.5    0.5    0.5    2.25 s
    n intervals and an answer        5.0    5.0    5.0    5.0    5.0 s

A large tier shares the platform's discovery, which works through calls in turn and answers a limited number
a second. A call that was rejected after having waited has met congestion. Tiers of over 73 balancers, whose
limit (`retry_backoff.CONGESTED_RETRY_PER_BALANCER_MS`) is longer than the interval, then use longer
intervals, of 4.5 s at first: a service whose congestion has ended answers at once, as one's own does. While
congestion lasts, that limit goes before the 6 s.

A new process that has a list begins within a retry interval, like one whose call has just failed:
processes that start together are spread over up to that, by the size of their tier.

What a call did not use of its interval may be spent on the pause after it: balancers whose calls are refused
at once spread over all of it. The call that is answered may take longer than the answer time, up to its
timeout; what it takes longer comes out of the slack.
"""

from __future__ import annotations

CHANGE_DEADLINE_S = 6.0  # from the change to the balancer's knowing it, as the platform counts it
SCHEDULING_SLACK_S = 1.0  # of the deadline: the process shares its core, and calls and answers wait for it
MAX_CALL_FRACTION = 0.9  # of a retry interval: the rest is for the pause after a call that took all its time
SELF_HOSTED_CALL_TIMEOUT_S = 2.0  # a service of one's own that takes longer is down
PLATFORM_CALL_TIMEOUT_S = 2.25  # the platform works through calls in turn and ends those of over 2 s
SELF_HOSTED_ANSWER_TIME_S = 0.5  # a service of one's own answers at once
PLATFORM_ANSWER_TIME_S = PLATFORM_CALL_TIMEOUT_S  # any call may have to wait its turn


def retry_interval_s(instance_count: int, is_self_hosted: bool) -> float:
    """Return the seconds from a failed call's beginning to the next one's, at the most."""
    return (CHANGE_DEADLINE_S - SCHEDULING_SLACK_S - answer_time_s(is_self_hosted)) / instance_count


def call_timeout_s(instance_count: int, is_self_hosted: bool) -> float:
    """Return the seconds for a call that need not wait, with connecting, by the number of instances."""
    longest_s = SELF_HOSTED_CALL_TIMEOUT_S if is_self_hosted else PLATFORM_CALL_TIMEOUT_S
    return min(longest_s, MAX_CALL_FRACTION * retry_interval_s(instance_count, is_self_hosted))


def answer_time_s(is_self_hosted: bool) -> float:
    """Return the seconds in which a service that can be reached answers a call that need not wait."""
    return SELF_HOSTED_ANSWER_TIME_S if is_self_hosted else PLATFORM_ANSWER_TIME_S


CONGESTED_RETRY_INTERVAL_S = retry_interval_s(1, is_self_hosted=True)
"""The first retry interval of a large tier while the platform's service is congested."""
