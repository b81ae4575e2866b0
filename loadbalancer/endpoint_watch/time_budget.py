"""The time budget for endpoint list updates, and the share of it that a single call may use.

A change counts as delivered `CHANGE_DEADLINE_S` after a reachable service has it, no matter how earlier calls
ended. In the worst case each of n instances is called in turn, and the reachable one became so just after its
last call:

    n failed calls, each with the pause after it           n x retry interval
    the answered call                                      answer time
    CPU contention                                         SCHEDULING_SLACK_S

    n self-hosted instances          1      2      3      8      platform
    retry interval                   4.5    2.25   1.5    0.56   2.75 s
      call including connecting      2.0    2.0    1.35   0.51   2.25 s
    answer time                      0.5    0.5    0.5    0.5    2.25 s
    n intervals and an answer        5.0    5.0    5.0    5.0    5.0 s

A large tier shares the platform's discovery service, which processes calls in turn and answers a limited
number per second. A call rejected after a wait has met congestion. Tiers of over 73 balancers, whose limit
(`retry_backoff.CONGESTED_RETRY_PER_BALANCER_MS`) exceeds the interval, then use longer intervals, starting at
4.5 s: once congestion has ended, the platform's service answers as fast as a self-hosted one. While
congestion lasts, that limit takes precedence over the 6 s.

A new process that has a list makes its first call within a retry interval, like one whose call has just
failed: processes that start together spread over at most that window, by the size of their tier.

Time left over from a call may be used for the pause after it: balancers whose calls are refused at once
spread over the whole interval. The answered call may exceed the answer time, up to its timeout, at the
expense of the slack.
"""

from __future__ import annotations

CHANGE_DEADLINE_S = 6.0  # from a change until the balancer has it, as the platform counts
SCHEDULING_SLACK_S = 1.0  # part of the deadline: the process shares its core, which delays calls and answers
MAX_CALL_FRACTION = 0.9  # of a retry interval; the rest is for the pause after a call that timed out
SELF_HOSTED_CALL_TIMEOUT_S = 2.0  # a self-hosted service that takes longer is considered down
PLATFORM_CALL_TIMEOUT_S = 2.25  # the platform processes calls in turn and aborts them after 2 s
SELF_HOSTED_ANSWER_TIME_S = 0.5  # a self-hosted service answers without queueing
PLATFORM_ANSWER_TIME_S = PLATFORM_CALL_TIMEOUT_S  # any call may be queued


def retry_interval_s(instance_count: int, is_self_hosted: bool) -> float:
    """Return the maximum number of seconds between the starts of a failed call and the next one."""
    return (CHANGE_DEADLINE_S - SCHEDULING_SLACK_S - answer_time_s(is_self_hosted)) / instance_count


def call_timeout_s(instance_count: int, is_self_hosted: bool) -> float:
    """Return the timeout in seconds of a call that is not a long poll, including connecting."""
    longest_s = SELF_HOSTED_CALL_TIMEOUT_S if is_self_hosted else PLATFORM_CALL_TIMEOUT_S
    return min(longest_s, MAX_CALL_FRACTION * retry_interval_s(instance_count, is_self_hosted))


def answer_time_s(is_self_hosted: bool) -> float:
    """Return the seconds within which a reachable service answers a call that is not a long poll."""
    return SELF_HOSTED_ANSWER_TIME_S if is_self_hosted else PLATFORM_ANSWER_TIME_S


CONGESTED_RETRY_INTERVAL_S = retry_interval_s(1, is_self_hosted=True)
"""The first retry interval of a large tier while the platform's service is congested."""
