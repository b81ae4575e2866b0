"""How soon a change has to be known, and what that leaves for a call and for the pause after it.

A change counts as told `TOLD_S` after its service had it and could be reached, whatever calls before had come
to. In the worst case each of n instances is asked in turn, and the one that can be reached was just missed:

    a call that fails and the pause after it, n times      n x round
    the call that tells, dial and all                      call
    a busy processor                                       SLACK_S

    n instances of one's own         1      2      3      8      the platform's
    call                             1.25   1.25   1.13   0.5    2.25 s
    round                            3.75   1.88   1.29   0.56   2.75 s
    n rounds and a call              5.0    5.0    5.0    5.0    5.0 s

What a call did not use of its round may be spent on the pause after it: balancers that are refused at once
spread over all of it.
"""

from __future__ import annotations

TOLD_S = 6.0
SLACK_S = 1.0
CALL_PART = 0.9  # of an even share for each call: the rest is for pauses after calls that took all their time
OWN_CALL_S = 1.25  # at the most: a service of one's own answers at once, and room for pauses spreads its load


def call_s(instances: int, own: bool) -> float:
    """Seconds for a call that need not wait, dial and all, where a list has so many instances.

    The platform's discovery works through calls in turn and gives up on those that waited for 2 s.
    """
    share = CALL_PART * (TOLD_S - SLACK_S) / (instances + 1)
    return min(share, OWN_CALL_S) if own else share


def round_s(instances: int, own: bool) -> float:
    """Seconds from the beginning of a call that fails to the beginning of the next one, at the most."""
    return (TOLD_S - SLACK_S - call_s(instances, own)) / instances
