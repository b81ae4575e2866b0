"""Errors of the endpoint watch: unusable or rate-limited answers."""

from __future__ import annotations


class EndpointWatchError(Exception):
    """Base class of errors about an answer from a list service."""


class StaleListError(EndpointWatchError, ValueError):
    """The received list is older than the current one; the call counts as failed."""


class AnswerMismatchError(EndpointWatchError, ValueError):
    """The answer is for services other than those requested."""


class RateLimitedError(EndpointWatchError):
    """The service is healthy but limits the rate; retry later with the ticket it issued."""

    def __init__(self, retry_after_s: float, ticket: int) -> None:
        """`retry_after_s` is the delay before the retry; `ticket` keeps our place in the service's queue."""
        super().__init__(f"rate limited: retry after {retry_after_s:.3f} s")
        self.retry_after_s = retry_after_s
        self.ticket = ticket
