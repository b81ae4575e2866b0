"""Defects in following the endpoint list: trusted too far, polled too often, or not cross-checked."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from loadbalancer import interface
from loadbalancer.drill.patching import replace_global
from loadbalancer.endpoint_watch.instance_selection import InstanceSelector
from loadbalancer.net.config import EndpointList
from loadbalancer.net.discovery import call, cross_check
from loadbalancer.net.endpoint_list import EndpointListFollower
from loadbalancer.policy import Balancer
from loadbalancer.policy.endpoints import EndpointSet


def trusts_any_list() -> None:
    """Apply a list that is older than the current one."""
    newest = 0

    def _decode_endpoint_list(response: Any) -> EndpointList:
        nonlocal newest
        update: EndpointList = real(response)
        newest = max(newest, update.index)
        return replace(update, index=newest)

    real = replace_global(call, "decode_endpoint_list", _decode_endpoint_list)


def obeys_lists() -> None:
    """Remove whatever a full snapshot leaves out, without validation."""
    Balancer.validate = lambda self, event: event  # type: ignore[method-assign]


def stays_with_one() -> None:
    """Stay with the first instance, even when it fails."""
    InstanceSelector.record_failure = lambda self: False  # type: ignore[method-assign]


def never_compares() -> None:
    """Never cross-check with another instance's list."""

    async def _run(self: cross_check.CrossChecker) -> None:
        return None

    cross_check.CrossChecker._run = _run  # type: ignore[method-assign]


def asks_without_pause() -> None:
    """Poll an unreachable list again at once, all balancers together."""

    def _failed(self: EndpointSet, now: float, retry_within_ms: float) -> list[interface.Action]:
        return [interface.SetTimer(now + 1.0, "list")]

    EndpointSet.handle_list_failure = _failed  # type: ignore[method-assign]


def forgets_list() -> None:
    """Forget all servers when the list does not answer."""
    real = EndpointListFollower.on_watch_failed

    def _on_watch_failed(self: EndpointListFollower) -> None:
        real(self)
        self.apply(interface.UpdateKind.FULL_SNAPSHOT, EndpointList(self.revision, True, ()))

    EndpointListFollower.on_watch_failed = _on_watch_failed  # type: ignore[method-assign]
    obeys_lists()
