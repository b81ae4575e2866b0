"""The answer to a call that was given up: over a slow link it may be the next one to come."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loadbalancer.endpoint_watch import ListRequest
from loadbalancer.net.discovery.connection import Connection
from loadbalancer.net.upstream_response import UpstreamResponse

LATE_ANSWER_S = 2.0  # after its timeout a call's answer is still taken: what is sent counts as delivered


class LateAnswer:
    """Waits for the answer of the last call that was given up, and owns its connection."""

    def __init__(self, on_answer: Callable[[ListRequest, UpstreamResponse], None]) -> None:
        """`on_answer` may raise ValueError for an answer that can't be read."""
        self._on_answer = on_answer
        self._connection: Connection | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def is_pending(self) -> bool:
        """Whether a call was given up and its answer not dropped since."""
        return self._connection is not None

    def wait_for(self, connection: Connection, request: ListRequest) -> None:
        """Wait for this request's answer, and for no earlier one's."""
        self.drop()
        self._connection = connection
        self._task = asyncio.get_running_loop().create_task(self._wait(connection, request))

    def drop(self) -> None:
        """Take no answer any more."""
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
            pass  # the call has failed already
        finally:
            connection.close()
