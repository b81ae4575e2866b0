"""Late answers to calls that timed out: over a slow link one may arrive before the next call's answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loadbalancer.endpoint_watch import ListRequest
from loadbalancer.net.discovery.connection import Connection
from loadbalancer.net.upstream_response import UpstreamResponse

LATE_ANSWER_S = 2.0  # after the timeout, answers are still accepted: what was sent counts as delivered


class LateAnswer:
    """Waits for the answer to the last call that timed out, and owns its connection."""

    def __init__(self, on_answer: Callable[[ListRequest, UpstreamResponse], None]) -> None:
        """`on_answer` may raise ValueError for an invalid answer."""
        self._on_answer = on_answer
        self._connection: Connection | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def is_pending(self) -> bool:
        """Whether a timed-out call has been registered and not dropped since."""
        return self._connection is not None

    def wait_for(self, connection: Connection, request: ListRequest) -> None:
        """Wait for the answer to this request instead of any earlier one."""
        self.drop()
        self._connection = connection
        self._task = asyncio.get_running_loop().create_task(self._wait(connection, request))

    def drop(self) -> None:
        """Stop waiting and close the connection."""
        if self._task is not None and self._connection is not None:
            self._task.cancel()
            self._connection.close()
        self._connection = None
        self._task = None

    async def _wait(self, connection: Connection, request: ListRequest) -> None:
        try:
            async with asyncio.timeout(LATE_ANSWER_S):
                self._on_answer(request, await connection.wait_for_late_response())
        except (OSError, ValueError, TimeoutError, RecursionError):
            pass  # the call already counts as failed
        finally:
            connection.close()
