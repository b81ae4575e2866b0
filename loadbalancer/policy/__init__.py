"""Decide everything that the balancer decides; the boundary's types are in `loadbalancer.interface`.

`balancer.Balancer` takes one event at a time and returns the actions to carry out. No module here does I/O,
or has a clock or randomness but what it is given. By subject:

- the life of a request: `request_lifecycle`, `requests`, `admission`, `wait_queue`; its attempts: `attempts`,
  `retries`, `hedging`, `deduplication`, `outcomes`, `timers`
- the server of an attempt: `server_selection`, `selection`, `weighted_sampling`, `limits`, `slow_start`,
  `zones`
- endpoint membership: `endpoint_membership`, `endpoints`, `ready_servers`, `list_validation`, `list_backoff`
- what is learned: `estimates`, `servers`, `capacity_estimates`, `latency_estimates`, `overload`,
  `idle_connections`; its hand-over on a hot restart: `learned_state`
"""

from loadbalancer.policy.balancer import Balancer

__all__ = ["Balancer"]
