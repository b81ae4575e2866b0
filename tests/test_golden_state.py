"""State stored or sent by version d282128 is read, and encoded again byte for byte."""

from __future__ import annotations

import json
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest

from loadbalancer import configuration
from loadbalancer.interface import EndpointListUpdate, UpdateKind
from loadbalancer.membership.messages import GossipMessage, decode_message, encode_message
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.cordon_file import CordonFile
from loadbalancer.net.endpoint_list_codec import decode_endpoint_list, encode_endpoint_list
from loadbalancer.net.learned_state import decode_learned_state, encode_learned_state
from loadbalancer.net.membership import fleet_tag
from loadbalancer.policy import Balancer
from loadbalancer.snapshots import SnapshotStore, decode_snapshot, encode_snapshot
from tests.golden import replay

GOLDEN = Path(__file__).parent / "golden"
ROOT = Path(__file__).parent.parent
PROGRAM = replay.Program(sys.executable, "loadbalancer", ROOT)
CLASSES = set(replay.REQUEST_CLASSES)
STATE = (GOLDEN / "hot-restart-state.json").read_bytes()
COUNTS = (GOLDEN / "hot-restart-counts.json").read_bytes()
MEMBERS = 3


def recorded_state() -> dict[str, Any]:
    state: dict[str, Any] = json.loads(STATE)
    return state


def balancer_config(folder: Path, **more: Any) -> Any:
    raw = replay.balancer_configuration("127.0.0.1:0", "127.0.0.1:0", ["127.0.0.1:5001"], folder, **more)
    return read_config(json.dumps(raw), pytest.fail)


def test_snapshot_is_found_in_its_folder_and_written_again_byte_for_byte(tmp_path: Path) -> None:
    data = (GOLDEN / "front-1.snapshot").read_bytes()
    (tmp_path / "front-1.snapshot").write_bytes(data)
    store = SnapshotStore(tmp_path, "front-1")
    snapshot = store.load().snapshot
    assert snapshot is not None
    assert encode_snapshot(snapshot.state, snapshot.written_at_ms) == data
    store.save(data)
    assert sorted(path.name for path in tmp_path.iterdir()) == ["front-1.snapshot", "front-1.snapshot.old"]
    assert (tmp_path / "front-1.snapshot").read_bytes() == data


@pytest.mark.parametrize("source", ["snapshot", "hot restart"])
def test_endpoint_list_of_the_last_process_is_read_and_written_again(source: str) -> None:
    snapshot = decode_snapshot((GOLDEN / "front-1.snapshot").read_bytes())
    state = snapshot.state if source == "snapshot" else recorded_state()
    endpoint_list = decode_endpoint_list(state["list"])
    assert [endpoint.endpoint.server for endpoint in endpoint_list.endpoints] == ["s0", "s1", "s2"]
    assert json.dumps(encode_endpoint_list(endpoint_list)) == json.dumps(state["list"])


@pytest.mark.parametrize("source", ["snapshot", "hot restart"])
def test_learned_state_is_read_and_written_again(source: str) -> None:
    snapshot = decode_snapshot((GOLDEN / "front-1.snapshot").read_bytes())
    recorded = (snapshot.state if source == "snapshot" else recorded_state())["learned"]
    assert json.dumps(encode_learned_state(decode_learned_state(recorded, CLASSES))) == json.dumps(recorded)


def test_balancer_that_restores_learned_state_passes_the_same_on(tmp_path: Path) -> None:
    state = recorded_state()
    now = state["learned"]["pressure"][2] + 1_000.0
    balancer = Balancer(balancer_config(tmp_path).settings, 1)
    members = tuple(endpoint.endpoint for endpoint in decode_endpoint_list(state["list"]).endpoints)
    balancer.handle(EndpointListUpdate(UpdateKind.CACHED, members), now)
    balancer.restore(decode_learned_state(state["learned"], CLASSES), now, 0.0)
    assert json.dumps(encode_learned_state(balancer.learned_state(now))) == json.dumps(state["learned"])


def test_cordon_file_is_read_and_written_again_byte_for_byte(tmp_path: Path) -> None:
    data = (GOLDEN / "cordons.json").read_bytes()
    (tmp_path / "cordons.json").write_bytes(data)
    file = CordonFile(tmp_path)
    assert file.refresh()
    assert json.dumps(file.encode()).encode() == data
    (tmp_path / "cordons.json").write_bytes(b"{}")  # unreadable: replaced by the cordons in memory
    assert file.set_cordon("s2", is_cordoned=True) == ""  # already cordoned
    assert (tmp_path / "cordons.json").read_bytes() == data


def test_cordons_of_the_predecessor_are_taken_over_and_passed_on() -> None:
    recorded = recorded_state()["cordons"]
    file = CordonFile(None)
    file.adopt(recorded)
    assert json.dumps(file.encode()) == json.dumps(recorded)


def test_successor_of_a_recorded_process_takes_over_all_that_it_sent(tmp_path: Path) -> None:
    """This process succeeds the recorded one, and hands over to a third one in turn."""
    then: dict[str, Any] = {}
    said = replay.hand_over(PROGRAM, tmp_path, STATE, COUNTS, then)
    assert said == (GOLDEN / "hot-restart-ready.txt").read_bytes()
    recorded, state = recorded_state(), json.loads(then["state"])
    assert json.dumps(state["list"]) == json.dumps(recorded["list"])
    assert json.dumps(state["cordons"]) == json.dumps(recorded["cordons"])
    assert list(state) == list(recorded)
    learned, recorded_learned = state["learned"], recorded["learned"]
    assert list(learned) == list(recorded_learned)
    for key in ("work", "easy", "pressure", "median", "usual", "asked_then"):  # these do not decay
        assert json.dumps(learned[key]) == json.dumps(recorded_learned[key])
    assert list(learned["servers"]) == list(recorded_learned["servers"])
    for name, figures in learned["servers"].items():  # start, served calls, in-flight time: last two decay
        before = recorded_learned["servers"][name]
        assert figures[0] == before[0]
        assert all(0 <= now <= then for now, then in zip(figures[1:], before[1:], strict=True))
    assert 0 < learned["asked"] <= recorded_learned["asked"]
    assert list(json.loads(then["counts"])) == list(json.loads(COUNTS))
    assert list(then["zones"]) == ["east", "west"]
    assert then["zones"]["west"]["ready"] == 1  # s2 is cordoned


def test_process_sends_its_successor_the_recorded_messages(tmp_path: Path) -> None:
    """Messages to a successor have the same lines, keys and types as those recorded."""
    session = replay.play_balancer(PROGRAM, tmp_path)
    assert session.ready == (GOLDEN / "hot-restart-ready.txt").read_bytes()
    assert session.counts == COUNTS
    assert _form(json.loads(session.state)) == _form(recorded_state())
    assert json.dumps(json.loads(session.state)) + "\n" == session.state.decode()
    snapshot = decode_snapshot((GOLDEN / "front-1.snapshot").read_bytes())
    head, _, body = session.snapshot.partition(b"\n")
    recorded_head = (GOLDEN / "front-1.snapshot").read_bytes().partition(b"\n")[0]
    assert list(json.loads(head)) == list(json.loads(recorded_head))
    assert _form(json.loads(body)) == _form(snapshot.state)
    assert _form(json.loads(session.cordons)) == _form(json.loads((GOLDEN / "cordons.json").read_bytes()))


def _form(value: Any) -> Any:
    """Return the ordered keys and the types of a JSON value, without numbers and ports."""
    if isinstance(value, dict):
        return [(key, _form(item)) for key, item in value.items()]
    if isinstance(value, list):
        return [_form(item) for item in value]
    return replay.mask_balancer(value) if isinstance(value, str) else type(value).__name__


@pytest.mark.parametrize("kind", replay.MESSAGE_KINDS)
def test_gossip_message_is_read_and_written_again_byte_for_byte(kind: str, tmp_path: Path) -> None:
    data = (GOLDEN / f"gossip-{kind}.msgpack").read_bytes()
    config = replace(balancer_config(tmp_path), peers=tuple(("127.0.0.1", port) for port in range(MEMBERS)))
    message: GossipMessage = decode_message(data, fleet_tag(config), MEMBERS)
    assert message.kind == replay.MESSAGE_KINDS.index(kind)
    assert encode_message(message) == data


def test_member_sends_the_recorded_messages(tmp_path: Path) -> None:
    """Only the sequence number is masked: it starts at a seeded random value and grows with each ping."""
    session = replay.play_gossip(PROGRAM, tmp_path)
    recorded = {kind: (GOLDEN / f"gossip-{kind}.msgpack").read_bytes() for kind in replay.MESSAGE_KINDS}
    assert session.datagrams["ack"] == recorded["ack"]
    for kind in ("ping", "relay"):
        assert _without_sequence(session.datagrams[kind]) == _without_sequence(recorded[kind])


def _without_sequence(data: bytes) -> list[Any]:
    fleet, kind, _, *rest = msgspec.msgpack.decode(data)
    return [fleet, kind, *rest]


def test_annotated_configuration_is_read_as_before() -> None:
    config = configuration.read(GOLDEN / "irondrum.toml", pytest.fail)
    recorded = json.loads((GOLDEN / "irondrum-toml.json").read_text(encoding="utf-8"))
    assert json.loads(json.dumps(replay.positions(config))) == recorded


def test_annotated_configuration_of_the_page_holds_the_recorded_keys_and_values() -> None:
    page = configuration.load_tables(ROOT / "docs" / "irondrum.toml")
    assert page == configuration.load_tables(GOLDEN / "irondrum.toml")
