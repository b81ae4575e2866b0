"""Encode learned state as JSON values, for the next process and for a snapshot.

    encoded = encode_learned_state(balancer.learned_state(now))
    balancer.restore(decode_learned_state(encoded, classes), now, age_ms)

Older and newer versions read the keys too: they are fixed, and differ from the fields' names.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from loadbalancer.interface import LearnedState, OverloadEvidence, ServerEvidence


def encode_learned_state(state: LearnedState) -> dict[str, Any]:
    """Return the state as JSON values."""
    return {
        "servers": {name: _encode_server(evidence) for name, evidence in state.servers.items()},
        "work": dict(state.latencies),
        "easy": dict(state.uncongested_latencies),
        "usual": dict(state.peak_rates),
        "pressure": [state.overload.lateness, state.overload.responses, state.overload.updated_at_ms],
        "median": state.median_capacity,
        "asked": state.recent_requests,
        "asked_then": dict(state.recent_requests_at_peak),
    }


def decode_learned_state(raw: Any, classes: Collection[str]) -> LearnedState:
    """Return the state that another process encoded.

    Raises ValueError if the values are malformed or concern other request classes.
    """
    try:
        servers = {str(name): _decode_server(numbers) for name, numbers in raw["servers"].items()}
        latencies = _numbers_by_name(raw["work"])
        uncongested_latencies = _numbers_by_name(raw["easy"])
        peak_rates = _numbers_by_name(raw["usual"])
        lateness, responses, updated_at_ms = _numbers(raw["pressure"])
        (median,) = _numbers([raw["median"]])
        (recent_requests,) = _numbers([raw.get("asked", 0.0)])  # older versions do not send it
        recent_requests_at_peak = _numbers_by_name(raw.get("asked_then", {}))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed learned state: {error!r}") from error
    if {*latencies, *uncongested_latencies} != {*classes}:
        raise ValueError("learned state concerns other request classes")
    return LearnedState(
        servers=servers,
        latencies=latencies,
        uncongested_latencies=uncongested_latencies,
        peak_rates=peak_rates,
        overload=OverloadEvidence(lateness, responses, updated_at_ms),
        median_capacity=median,
        recent_requests=recent_requests,
        recent_requests_at_peak=recent_requests_at_peak,
    )


def _encode_server(evidence: ServerEvidence) -> list[float]:
    return [
        evidence.started_at_ms,
        evidence.served_calls,
        evidence.in_flight_ms,
        *evidence.slow_start_sends,
    ]


def _decode_server(raw: Iterable[Any]) -> ServerEvidence:
    numbers = _numbers(raw)
    if len(numbers) < 3:
        raise ValueError("malformed learned state: a server has fewer than 3 numbers")
    started_at_ms, served_calls, in_flight_ms, *sends = numbers
    return ServerEvidence(started_at_ms, served_calls, in_flight_ms, tuple(sends))


def _numbers_by_name(raw: Mapping[str, Any]) -> dict[str, float]:
    return dict(zip(raw, _numbers(raw.values()), strict=True))


def _numbers(raw: Iterable[Any]) -> list[float]:
    numbers = [float(number) for number in raw]
    if not all(0 <= number < math.inf for number in numbers):
        raise ValueError("malformed learned state: a number is negative or not finite")
    return numbers
