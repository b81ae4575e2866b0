"""Faults of one direction of a link, and what they do to bytes and datagrams under way."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Protocol

import msgspec

RETRANSMISSION_DELAY_MS = 200.0  # a lost segment comes so much later: Linux' least retransmission time-out
MAX_DISORDER_S = 0.1  # by which a datagram that is out of order comes later


class LinkFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What may be wrong with a direction; several add up."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    """Up to so much more, drawn uniformly."""
    loss: float = 0.0
    """The fraction of segments, or of datagrams, that is lost."""
    rate_kb_s: float = 0.0
    """At most so many kB a second; 0 for no bound."""
    cut: bool = False
    """Nothing gets through, and neither end sees an error."""
    refuse: bool = False
    """New connections are refused."""
    reset_after: int | None = None
    """A connection is reset after so many bytes, counted from now."""
    short_after: int | None = None
    """It is closed, as if all had been sent, after so many bytes."""
    doubled: float = 0.0
    """The fraction of datagrams that come twice."""
    disorder: float = 0.0
    """The fraction of datagrams that come up to 100 ms later than the next ones."""


class FaultListener(Protocol):
    """Whoever has to follow a change of a direction's faults."""

    def on_faults_changed(self) -> None:
        """Follow the faults as they are now."""


class LinkDirection:
    """The faults of one direction of a link, and the random numbers they draw."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._faults: dict[str, LinkFault] = {}
        self.listeners: set[FaultListener] = set()

    def set(self, name: str, fault: LinkFault) -> None:
        """Add a fault under a name, in place of the one that had the name."""
        self._faults[name] = fault
        self._notify()

    def clear(self, name: str) -> None:
        """Remove a fault; nothing happens if there is none of the name."""
        if self._faults.pop(name, None) is not None:
            self._notify()

    def _notify(self) -> None:
        for listener in list(self.listeners):
            listener.on_faults_changed()

    @property
    def faults(self) -> Iterable[LinkFault]:
        """The faults that are set."""
        return self._faults.values()

    @property
    def is_cut(self) -> bool:
        """Whether nothing gets through."""
        return any(f.cut for f in self._faults.values())

    @property
    def is_refusing(self) -> bool:
        """Whether new connections are refused."""
        return any(f.refuse for f in self._faults.values())

    @property
    def reset_after(self) -> int | None:
        """The least number of bytes after which a connection is reset; None for never."""
        return min((f.reset_after for f in self.faults if f.reset_after is not None), default=None)

    @property
    def short_after(self) -> int | None:
        """The least number of bytes after which a connection is closed; None for never."""
        return min((f.short_after for f in self.faults if f.short_after is not None), default=None)

    def delay_s(self, size: int) -> float:
        """Return how long so many bytes take."""
        delay_ms = 0.0
        for fault in self._faults.values():
            delay_ms += fault.delay_ms + fault.jitter_ms * self._random.random()
            if fault.rate_kb_s:
                delay_ms += size / fault.rate_kb_s
            if fault.loss and self._random.random() < fault.loss:
                delay_ms += RETRANSMISSION_DELAY_MS
        return delay_ms / 1_000

    def delivery_delays_s(self) -> list[float]:
        """Return when a datagram is delivered, in s from now: once, twice, or not at all."""
        if self.is_cut or any(self._random.random() < f.loss for f in self.faults):
            return []
        delay_s = sum(f.delay_ms + f.jitter_ms * self._random.random() for f in self.faults) / 1_000
        disorder_s = sum(
            MAX_DISORDER_S * self._random.random() for f in self.faults if self._random.random() < f.disorder
        )
        is_doubled = any(self._random.random() < f.doubled for f in self.faults)
        return [delay_s + disorder_s] * (2 if is_doubled else 1)
