"""Limit retries and hedged requests to a fraction of the first attempts."""

from __future__ import annotations

from loadbalancer.policy.requests import Request

RETRIES_PER_REQUEST = 0.2
"""Retries that each request adds to the budget."""
MAX_SAVED_RETRIES = 10.0
"""Retries that the budget accumulates for a burst of failures."""


class RetryBudget:
    """How many more retries and hedged requests may be sent."""

    def __init__(self) -> None:
        self._balance = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """Add the fraction of a retry that a new request allows."""
        self._balance = min(MAX_SAVED_RETRIES, self._balance + RETRIES_PER_REQUEST)

    def cost(self, request: Request) -> float:
        """Return the cost of another attempt: nothing if no earlier one can have run."""
        return float(request.may_have_run())

    def can_afford(self, cost: float) -> bool:
        """Return whether the budget covers a cost."""
        return self._balance >= cost

    def withdraw(self, cost: float) -> None:
        """Subtract the cost of an attempt that was sent."""
        self._balance -= cost
