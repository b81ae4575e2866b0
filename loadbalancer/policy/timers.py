"""Format and parse the tokens of timers, which tell what an expired timer was set for."""

from __future__ import annotations

import enum
from typing import NamedTuple

LIST_TOKEN = "list"


class TimerKind(enum.Enum):
    """What a timer is for."""

    LIST_RETRY = LIST_TOKEN
    WAIT = "wait"
    HEDGE = "hedge"


class RequestTimer(NamedTuple):
    """A timer that was set for a request."""

    kind: TimerKind
    request_id: int


def wait_token(request_id: int) -> str:
    """Return the token of the timer that ends a request's wait for capacity."""
    return f"wait:{request_id}"


def hedge_token(request_id: int) -> str:
    """Return the token of the timer that hedges a request."""
    return f"hedge:{request_id}"


def parse_request_timer(token: str) -> RequestTimer | None:
    """Return the request timer of a token; None if it has another kind."""
    kind, _, number = token.partition(":")
    if kind == TimerKind.WAIT.value:
        return RequestTimer(TimerKind.WAIT, int(number))
    if kind == TimerKind.HEDGE.value:
        return RequestTimer(TimerKind.HEDGE, int(number))
    return None
