"""Every decision of the balancer; its types, events and actions are in loadbalancer/interface.py.

`balancer.Balancer` takes one event at a time and returns what to do. Each concern is a part of its own, which
does no I/O and has no clock and no randomness but what it is given:

- `roster`: the list, operators' holds, and the servers that this balancer keeps to
- `servers`: what is known of each server, and the capacity learned from it
- `draw`: the ordinary path, from servers that may be sent to, to the one that is
- `sampler`: draws whose cost hardly grows with the fleet
- `limits`: limits at each server, and the queue of those who wait for room
- `admission`: which requests are let in while answers come late, by their worth
- `cold`: how much a newly started server gets
- `repeats`: where a further attempt does no harm, and how many are made
- `requests`: what is open
"""

from loadbalancer.policy.balancer import Balancer

__all__ = ["Balancer"]
