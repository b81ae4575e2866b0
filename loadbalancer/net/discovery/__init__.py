"""Client for the discovery service: keeps the endpoint list up to date over sockets.

`client` runs the watch of `loadbalancer.endpoint_watch`; `connection`, `call`, `late_answer`, `list_content`,
`cross_check` and `status` implement its parts.
"""

from loadbalancer.net.discovery.call import DiscoveryError, RequestRejectedError, ResponseTimeoutError
from loadbalancer.net.discovery.client import DiscoveryClient
from loadbalancer.net.discovery.status import ListStatus

__all__ = [
    "DiscoveryClient",
    "DiscoveryError",
    "ListStatus",
    "RequestRejectedError",
    "ResponseTimeoutError",
]
