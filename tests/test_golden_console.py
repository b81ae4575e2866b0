"""The console answers every call, the metrics included, exactly as commit d282128 did.

Masked: ports, times, loads, traffic fractions in transition, and counts of datagrams and of members by state.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import cast

from loadbalancer.net.console_service import ConsoleBackend, ConsoleService
from tests.golden import replay

GOLDEN = Path(__file__).parent / "golden"
PROGRAM = replay.Program(sys.executable, "loadbalancer", Path(__file__).parent.parent)


def test_console_answers_every_call_as_recorded(tmp_path: Path) -> None:
    session = replay.play_balancer(PROGRAM, tmp_path)
    recorded = replay.as_text(replay.read_answers(GOLDEN / "console.jsonl"))
    assert replay.mask_balancer(replay.as_text(session.console)) == replay.mask_balancer(recorded)


def test_console_of_a_tier_answers_as_recorded(tmp_path: Path) -> None:
    session = replay.play_gossip(PROGRAM, tmp_path)
    recorded = replay.as_text(replay.read_answers(GOLDEN / "console-membership.jsonl"))
    assert replay.mask_balancer(replay.as_text(session.console)) == replay.mask_balancer(recorded)


def test_recorded_session_makes_every_call_of_the_console() -> None:
    made = {line for line, _ in replay.CONSOLE_CALLS}
    service = ConsoleService(cast(ConsoleBackend, None))  # no call is made
    assert {f"{method} {path}" for path, method in service.methods().items()} <= made
