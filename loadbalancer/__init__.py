"""loadbalancer: the decision module of a load balancer for service-to-service calls."""

from loadbalancer.interface import Settings
from loadbalancer.policy import Balancer

__all__ = ["Balancer", "Settings"]
