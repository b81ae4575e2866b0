"""Cross-checks: periodically compares the watched list with another instance's."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loadbalancer.endpoint_watch import (
    FULL_SNAPSHOT,
    ContradictionDetector,
    ListRequest,
    ListVersion,
    RateLimitedError,
    Watch,
)
from loadbalancer.net.address import Address
from loadbalancer.net.discovery import connection as connections
from loadbalancer.net.discovery.call import request_list
from loadbalancer.net.discovery.list_content import ListContent, listed_state
from loadbalancer.net.interest_subscription import InterestSubscription

CROSS_CHECK_TIMEOUT_S = 2.0  # for reading another instance's full list, including connecting
CROSS_CHECK_POLL_INTERVAL_S = 1.0  # between checks whether a cross-check is due


class CrossChecker:
    """Compares the watched list with another instance's whenever the watch reports a cross-check as due."""

    def __init__(
        self,
        watch: Watch,
        interest: InterestSubscription,
        content: ListContent,
        contradictions: ContradictionDetector,
        on_stale: Callable[[], None],
    ) -> None:
        """`on_stale` is called after `watch` has switched away from a stale instance."""
        self._watch = watch
        self._interest = interest
        self._content = content
        self._contradictions = contradictions
        self._on_stale = on_stale
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start; further calls have no effect."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop permanently."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CROSS_CHECK_POLL_INTERVAL_S)
            is_contradicted = bool(self._contradictions.silent_servers(loop.time()))
            address = self._watch.next_cross_check(loop.time(), is_contradicted)
            if address is None:
                continue
            other = await read_version(address, self._interest)
            ours = self._content.version(self._watch.instances.address, self._watch.index)
            if other is not None and self._watch.record_cross_check(ours, other, is_contradicted):
                self._on_stale()


async def read_version(address: Address, interest: InterestSubscription) -> ListVersion | None:
    """Return the list of the instance at `address`; None if it cannot be read."""
    connection: connections.Connection | None = None
    request = ListRequest(address, FULL_SNAPSHOT, 0.0, CROSS_CHECK_TIMEOUT_S)
    try:
        async with asyncio.timeout(CROSS_CHECK_TIMEOUT_S):
            connection = await connections.connect(address)
            answer = await request_list(connection, request, interest)
    except (OSError, ValueError, TimeoutError, RateLimitedError):
        return None
    finally:
        if connection is not None:
            connection.close()
    content = frozenset(listed_state(entry) for entry in answer.update.endpoints)
    return ListVersion(address, answer.update.index, content)
