"""loadbalancer: the decisions of a load balancer for services that call services."""

from loadbalancer.interface import Settings
from loadbalancer.policy import Balancer

__all__ = ["Balancer", "Settings"]
