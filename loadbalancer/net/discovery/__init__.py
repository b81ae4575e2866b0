"""Discovery's endpoint list on sockets: the client that keeps it fresh, and what its parts raise.

`client` runs the watch of `loadbalancer.endpoint_watch`; `connection`, `call`, `late_answer`, `list_content`,
`cross_check` and `status` each hold one part of it.
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
