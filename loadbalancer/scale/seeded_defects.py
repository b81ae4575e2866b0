"""Defects that a scale run must flag by a figure over its allowance: the real parts, made worse in one place.

python -m loadbalancer.scale.seeded_defects polls hollow SPEC.json
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

POLL_MS = 100.0  # the wait of a watch that polls
AGAIN_S = 0.05  # between calls of a caller that never backs off


def polls() -> None:
    """Watches ask again and again, instead of waiting for news."""
    from loadbalancer.endpoint_watch import ListRequest, Watch

    real = Watch.next_request

    def ask(self: Watch, now: float = 0.0) -> ListRequest:
        told = real(self, now)
        return replace(told, wait_ms=min(told.wait_ms, POLL_MS))

    Watch.next_request = ask  # type: ignore[method-assign]


def quadratic_fan_out() -> None:
    """Each change tells each watch the whole list."""
    from loadbalancer.registry.query_evaluation import QueryEvaluator

    QueryEvaluator._can_resume = lambda self, query: False  # type: ignore[method-assign]


def never_backs_off() -> None:
    """A call that has failed is made again at once, whoever else does the same."""
    from loadbalancer import interface
    from loadbalancer.endpoint_watch import Watch
    from loadbalancer.policy.endpoints import EndpointSet

    real_failed, real_watch = EndpointSet.handle_list_failure, Watch.record_failure

    def failed(self: EndpointSet, now: float, retry_within_ms: float) -> list[interface.Action]:
        told = real_failed(self, now, retry_within_ms)
        return [
            replace(a, at_ms=now + AGAIN_S * 1_000) if isinstance(a, interface.SetTimer) else a for a in told
        ]

    def watch_failed(
        self: Watch, duration_s: float, response_timed_out: bool, rejected: bool = False
    ) -> float | None:
        pause_s = real_watch(self, duration_s, response_timed_out, rejected)
        return None if pause_s is None else AGAIN_S

    EndpointSet.handle_list_failure, Watch.record_failure = failed, watch_failed  # type: ignore[method-assign]


DEFECTS: dict[str, Callable[[], None]] = {
    "polls": polls, "quadratic-fan-out": quadratic_fan_out, "never-backs-off": never_backs_off,
}  # fmt: skip


def main() -> None:
    """Plant the defect that the first argument names, and be what the second one does."""
    defect, kind, path = sys.argv[1:]
    DEFECTS[defect]()
    if kind == "instance":
        from loadbalancer.registry import server

        told = server.read_configuration(Path(path))
        server.serve(told, server.open_service(told))
        return
    from loadbalancer.scale import hollow, registrar, upstream_stub
    from loadbalancer.scale.counting import run

    sys.argv = [kind, path]  # the specification is the first argument there
    run({"hollow": hollow, "registrar": registrar, "edge": upstream_stub}[kind].serve())


if __name__ == "__main__":
    main()
