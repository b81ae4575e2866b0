"""Errors of the endpoint watch: an answer that can't be used, or one that puts the request off."""

from __future__ import annotations


class EndpointWatchError(Exception):
    """Base of what the watch raises about an answer of a list service."""


class StaleListError(EndpointWatchError, ValueError):
    """A list is older than the one at hand: the call has failed."""


class AnswerMismatchError(EndpointWatchError, ValueError):
    """An answer is for other services than were requested."""


class RateLimitedError(EndpointWatchError):
    """The service is healthy and limits the rate: repeat the request later, with its ticket."""

    def __init__(self, retry_after_s: float, ticket: int) -> None:
        """`retry_after_s` is the pause in seconds; `ticket` keeps our place in the service's queue."""
        super().__init__(f"rate limited: retry after {retry_after_s:.3f} s")
        self.retry_after_s = retry_after_s
        self.ticket = ticket
