"""Make the balancer's decisions; the types of events and actions are in `loadbalancer.interface`.

`balancer.Balancer` takes one event at a time and returns the actions to carry out. No module here does
I/O; time and randomness are passed in. By subject:

- the life of a request: `request_lifecycle`, `requests`, `admission`, `wait_queue`; its attempts: `attempts`,
  `retries`, `hedging`, `deduplication`, `outcomes`, `timers`
- the server of an attempt: `server_selection`, `selection`, `weighted_sampling`, `limits`, `slow_start`,
  `zones`
- endpoint membership: `endpoint_membership`, `endpoints`, `ready_servers`, `list_validation`, `list_backoff`
- what is learned: `estimates`, `servers`, `capacity_estimates`, `latency_estimates`, `overload`,
  `idle_connections`; its transfer on a hot restart: `learned_state`
"""

from loadbalancer.policy.balancer import Balancer

__all__ = ["Balancer"]
