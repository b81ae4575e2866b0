"""Snapshots: a start resumes from the newest readable file or from nothing, after any failed save."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.interface import Endpoint
from loadbalancer.net.log import Log
from loadbalancer.net.snapshot_writer import SnapshotWriter
from loadbalancer.snapshots import SnapshotDecodeError, SnapshotStore, decode_snapshot, encode_snapshot
from loadbalancer.snapshots.codec import FORMAT_VERSION
from tests.helpers import BalancerHost
from tests.loopback import run_scenario

STATE = {"list": {"index": 3}, "learned": {"median": 1.5}}
# Run in a child process: saves twice, then exits at the nth disk operation of a third save.
INTERRUPTED_SAVE = """
import os, sys
from pathlib import Path
from loadbalancer.snapshots import SnapshotStore, encode_snapshot
store, exits_at, calls = SnapshotStore(Path(sys.argv[1]), "b"), int(sys.argv[2]), 0
store.save(encode_snapshot({"save": 0}, 0.0))
store.save(encode_snapshot({"save": 1}, 1.0))
def exiting(real):
    def call(*args, **options):
        global calls
        calls += 1
        if calls == exits_at:
            os._exit(9)
        return real(*args, **options)
    return call
for name in ("fsync", "replace", "open", "close"):
    setattr(os, name, exiting(getattr(os, name)))
store.save(encode_snapshot({"save": 2}, 2.0))
"""


def test_last_snapshot_and_the_one_before_it_are_kept(tmp_path: Path) -> None:
    store = SnapshotStore(tmp_path, "front/1")
    assert store.load().snapshot is None
    for number in (1, 2):
        store.save(encode_snapshot({"save": number}, float(number)))
    newest = store.load()
    assert newest.snapshot is not None and newest.errors == ()
    assert (newest.snapshot.state, newest.snapshot.written_at_ms) == ({"save": 2}, 2.0)
    (tmp_path / "front_1.snapshot").write_bytes(b"garbled")
    previous = store.load()
    assert previous.snapshot is not None and previous.snapshot.state == {"save": 1}
    assert previous.errors == ("front_1.snapshot skipped: invalid header line",)


@pytest.mark.parametrize("step", range(1, 8))
def test_process_that_dies_at_any_step_of_a_save_leaves_a_complete_snapshot(
    tmp_path: Path, step: int
) -> None:
    process = subprocess.run([sys.executable, "-c", INTERRUPTED_SAVE, str(tmp_path), str(step)], check=False)
    assert process.returncode in (0, 9)
    found = SnapshotStore(tmp_path, "b").load()
    assert found.snapshot is not None and found.errors == ()
    assert found.snapshot.state["save"] in (1, 2)
    if process.returncode == 0:
        assert found.snapshot.state["save"] == 2 and step > 6  # the save has fewer steps
    SnapshotStore(tmp_path, "b").save(encode_snapshot({"save": 3}, 3.0))
    after = SnapshotStore(tmp_path, "b").load().snapshot
    assert after is not None and after.state == {"save": 3}


@given(st.integers(0, 400), st.integers(0, 255))
def test_changed_byte_or_truncation_is_detected(position: int, byte: int) -> None:
    data = encode_snapshot(STATE, 7.0)
    position %= len(data)
    with pytest.raises(SnapshotDecodeError):
        decode_snapshot(data[:position])
    changed = data[:position] + bytes([byte]) + data[position + 1 :]
    try:
        assert decode_snapshot(changed).state == STATE
    except SnapshotDecodeError:
        assert changed != data


def test_newer_format_version_is_rejected_and_an_unknown_header_field_is_not() -> None:
    first, _, body = encode_snapshot(STATE, 7.0).partition(b"\n")
    header = json.loads(first)
    assert decode_snapshot(json.dumps(header | {"more": 1}).encode() + b"\n" + body).state == STATE
    with pytest.raises(
        SnapshotDecodeError, match=f"format version {FORMAT_VERSION + 1}; expected {FORMAT_VERSION}"
    ):
        decode_snapshot(json.dumps(header | {"form": FORMAT_VERSION + 1}).encode() + b"\n" + body)


def test_unwritable_folder_is_logged_once_and_has_no_other_effect(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        writer = SnapshotWriter(tmp_path / "missing", "b", 1.0, Log("b"))
        assert writer.load() is None
        saves = 0

        def state() -> dict[str, object]:
            nonlocal saves
            saves += 1
            return {}

        writer.start(state)
        while saves < 5:
            await asyncio.sleep(0.001)
        writer.close()

    run_scenario(scenario())
    assert capsys.readouterr().err.count("failed to save a snapshot") == 1


def test_failed_save_keeps_the_earlier_generations(tmp_path: Path) -> None:
    store = SnapshotStore(tmp_path, "b")
    store.save(encode_snapshot({"save": 1}, 1.0))
    (tmp_path / "b.snapshot.draft").mkdir()  # makes writing the draft fail
    with pytest.raises(OSError, match="directory"):
        store.save(encode_snapshot({"save": 2}, 2.0))
    found = store.load().snapshot
    assert found is not None and found.state == {"save": 1}
    assert sorted(os.listdir(tmp_path)) == ["b.snapshot", "b.snapshot.draft"]


def test_evidence_decays_by_its_age_and_a_restarted_server_is_unknown() -> None:
    old = BalancerHost(2)
    for _ in range(40):
        old.serve_request(takes={"s0": 50.0, "s1": 400.0})
    learned = old.balancer.learned_state(old.now)

    def served(age_ms: float, *entries: Endpoint) -> dict[str, float]:
        new = BalancerHost(0)
        new.update_list(*entries)
        new.balancer.restore(learned, new.now, age_ms)
        found = new.balancer.learned_state(new.now).servers
        return {name: evidence.served_calls for name, evidence in found.items()}

    same = (Endpoint("s0", zone="z0", cell=0), Endpoint("s1", zone="z1", cell=0))
    fresh, stale = served(0.0, *same), served(6_000.0, *same)
    assert stale["s0"] == pytest.approx(fresh["s0"] / 2.71828, rel=1e-3)
    anew = served(0.0, same[0], Endpoint("s1", zone="z1", started_at_ms=500.0))
    assert (anew["s0"], anew["s1"]) == (fresh["s0"], 0.0)
