"""Refactorings change no action: the same event streams give the recorded digests."""

from __future__ import annotations

import json
from typing import get_args

import pytest

from loadbalancer import interface
from tests.streams import DIGESTS_PATH, SEEDS, RandomEnvironment, digest

RECORDED = json.loads(DIGESTS_PATH.read_text(encoding="utf-8"))


@pytest.mark.parametrize("seed", SEEDS)
def test_decisions_match_the_recorded_digests(seed: int) -> None:
    """After an intended change, `python -m tests.streams --record` updates the digests."""
    assert digest(seed) == RECORDED[str(seed)]


def test_streams_contain_every_event_and_action_that_decisions_depend_on() -> None:
    steps = [step for seed in SEEDS for step in RandomEnvironment(seed, 600).run()]
    events = {type(event) for event, _ in steps}
    actions = {type(action) for _, actions_of_step in steps for action in actions_of_step}
    assert events == set(get_args(interface.Event)) - {
        interface.RequestCompleted,
        interface.HealthCheckEnded,
        interface.ZoneEvacuation,
    }
    assert actions == set(get_args(interface.Action)) - {interface.SendHealthCheck}
