"""Export and restoration of the state for a hot restart or snapshot: list, learned state and cordons."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from loadbalancer.net.clock import Clock
from loadbalancer.net.cordon_controller import CordonController
from loadbalancer.net.endpoint_list import EndpointListFollower
from loadbalancer.net.endpoint_list_codec import decode_endpoint_list, encode_endpoint_list
from loadbalancer.net.learned_state import decode_learned_state, encode_learned_state
from loadbalancer.net.log import Log
from loadbalancer.net.versioned_cordons import VersionedCordons
from loadbalancer.policy import Balancer


class StateTransfer:
    """Exports the state of this process, and restores that of an earlier one."""

    def __init__(
        self,
        balancer: Balancer,
        endpoint_list: EndpointListFollower,
        cordons: CordonController,
        clock: Clock,
        class_names: Collection[str],
        log: Log,
    ) -> None:
        """Create a transfer; evidence about other classes than `class_names` is not restored."""
        self._balancer = balancer
        self._endpoint_list = endpoint_list
        self._cordons = cordons
        self._clock = clock
        self._class_names = class_names
        self._log = log

    def handover_state(self) -> dict[str, object]:
        """Return the state for the next process, as JSON values."""
        learned = self._balancer.learned_state(self._clock.now())
        return {
            "list": encode_endpoint_list(self._endpoint_list.current()),
            "learned": encode_learned_state(learned),
            "cordons": self._cordons.handover_state(),
        }

    def restore_predecessor(self, state: dict[str, Any], saved_cordons: VersionedCordons) -> None:
        """Restore the predecessor's state as far as it is valid.

        `saved_cordons` were in the file before it was sent.
        """
        if "cordons" in state:  # older versions do not send them
            try:
                self._cordons.restore_cordons(state["cordons"], saved_cordons)
            except ValueError as error:
                self._log.event(
                    "cordons_unreadable",
                    "the cordons sent are malformed; those in the file apply",
                    error=str(error),
                )
        self.restore(state, 0.0)

    def restore(self, state: dict[str, Any], age_ms: float) -> None:
        """Restore an endpoint list and learned state of the given age, as far as they are valid.

        Evidence about servers that have restarted since is not restored.
        """
        try:
            self._endpoint_list.apply_cached(decode_endpoint_list(state["list"]))
            learned = decode_learned_state(state["learned"], self._class_names)
            self._balancer.restore(learned, self._clock.now(), age_ms)
        except (KeyError, ValueError) as error:
            self._log.event(
                "learned_state_unreadable", "this process starts without learned state", error=str(error)
            )
