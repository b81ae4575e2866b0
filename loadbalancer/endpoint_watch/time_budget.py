"""How soon a change has to be known, and what that leaves for a call and for the pause after it.

A change counts as told `CHANGE_DEADLINE_S` after its service had it and could be reached, whatever calls
before had come to. In the worst case each of n instances is asked in turn, and the one that can be reached
was just missed:

    a call that fails and the pause after it, n times      n x round
    the call that tells                                    answer
    a busy processor                                       SLACK_S

    n instances of one's own         1      2      3      8      the platform's
    round                            4.5    2.25   1.5    0.56   2.75 s
      of it the call, dial and all   2.0    2.0    1.35   0.51   2.25 s
    answer                           0.5    0.5    0.5    0.5    2.25 s
    n rounds and an answer           5.0    5.0    5.0    5.0    5.0 s

A large tier shares the platform's discovery, which works through calls in turn and answers so many a
second and no more. A call that was turned away after having waited has met a crowd. Tiers of over 73
balancers, whose pace (`watch.PACE_MS`) is longer than the round, then go by longer rounds, of 4.5 s at first:
a service whose crowd has gone answers at once, as one's own does. In a crowd that stays the pace goes before
the 6 s.

What a call did not use of its round may be spent on the pause after it: balancers that are refused at once
spread over all of it. The call that tells may take longer than `answer`, up to its limit; what it takes
longer goes off the slack.
"""

from __future__ import annotations

CHANGE_DEADLINE_S = 6.0
SCHEDULING_SLACK_S = 1.0
MAX_CALL_FRACTION = (
    0.9  # of a round, at the most: the rest is for the pause after a call that took all its time
)
OWN_CALL_TIMEOUT_S, PLATFORM_CALL_TIMEOUT_S = (
    2.0,
    2.25,
)  # the platform works through calls in turn and ends those of over 2 s
OWN_ANSWER_TIME_S, PLATFORM_ANSWER_TIME_S = (
    0.5,
    PLATFORM_CALL_TIMEOUT_S,
)  # a service of one's own answers at once


def retry_interval_s(instance_count: int, is_own_service: bool) -> float:
    """Seconds from the beginning of a call that fails to the beginning of the next one, at the most."""
    return (CHANGE_DEADLINE_S - SCHEDULING_SLACK_S - answer_time_s(is_own_service)) / instance_count


def call_timeout_s(instance_count: int, is_own_service: bool) -> float:
    """Seconds for a call that need not wait, dial and all, where a list has so many instances."""
    return min(
        OWN_CALL_TIMEOUT_S if is_own_service else PLATFORM_CALL_TIMEOUT_S,
        MAX_CALL_FRACTION * retry_interval_s(instance_count, is_own_service),
    )


def answer_time_s(is_own_service: bool) -> float:
    """Seconds in which a service that can be reached answers a call that need not wait."""
    return OWN_ANSWER_TIME_S if is_own_service else PLATFORM_ANSWER_TIME_S


CONGESTED_RETRY_INTERVAL_S = retry_interval_s(
    1, is_own_service=True
)  # while the platform's is crowded, for large tiers
