"""Membership on real UDP sockets, its configuration, and its reports to operators."""

from __future__ import annotations

import asyncio
import json
import socket
from dataclasses import replace
from typing import Any

import pytest

from loadbalancer.cli.console_tables import membership_table
from loadbalancer.membership import MemberState
from loadbalancer.net.config import Config, ConfigError
from loadbalancer.net.config_reader import read_config
from loadbalancer.net.membership import MembershipHost
from tests.console_client import call_console
from tests.loopback import ProxyHarness, Upstream, config_text, run_scenario, status_of

HOST = "127.0.0.1"


def raw_config(**changes: Any) -> dict[str, Any]:
    raw: dict[str, Any] = json.loads(config_text(f"{HOST}:9", [])) | changes
    raw["settings"]["limits"]["peers"] = True
    return raw


def tier_configs(count: int) -> list[Config]:
    """Return the configurations of `count` members on free ports."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    addresses = [f"{HOST}:{sock.getsockname()[1]}" for sock in sockets]
    configs = []
    for number, address in enumerate(addresses):
        raw = raw_config(membership=True, peers=addresses, peer_listen=address)
        raw["settings"]["myNumber"] = number
        configs.append(read_config(json.dumps(raw), print))
    for sock in sockets:
        sock.close()
    return configs


def hosts(configs: list[Config]) -> list[MembershipHost]:
    loop = asyncio.get_running_loop()
    members = []
    for config in configs:
        assert config.peer_listen is not None
        members.append(MembershipHost(config, config.peer_listen, loop, lambda: loop.time() * 1_000))
    return members


async def wait_until_all_see(tier: list[MembershipHost], number: int, state: MemberState) -> None:
    while any(host.member.table.state(number) is not state for host in tier):
        await asyncio.sleep(0.01)


def test_members_detect_a_death_a_rejoin_and_a_leave() -> None:
    async def scenario() -> None:
        tier = hosts(tier_configs(4))
        assert [host.start() for host in tier] == [""] * 4
        tier[1].stop()
        others = [tier[0], *tier[2:]]
        await wait_until_all_see(others, 1, MemberState.DEAD)
        assert tier[1].start() == ""
        await wait_until_all_see(others, 1, MemberState.ALIVE)
        tier[3].leave()
        await wait_until_all_see(tier[:3], 3, MemberState.LEFT)
        for membership_host in tier:
            membership_host.stop()

    run_scenario(scenario())


def test_unknown_senders_and_invalid_datagrams_are_counted_and_change_nothing() -> None:
    async def scenario() -> None:
        one, other = hosts(tier_configs(2))
        assert one.start() == ""
        before = one.count_by_state()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
            unknown_sender.sendto(b"noise", one._listen)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as member:
            member.bind(other._listen)
            member.sendto(b"noise", one._listen)
            while not (one.unknown_sender_count and one.member.counts.dropped):
                await asyncio.sleep(0.01)
        assert one.count_by_state() == before
        assert one.report().messages.dropped == {"garbled": 1, "stranger": 1}
        one.stop()

    run_scenario(scenario())


def test_address_in_use_is_reported_as_an_error_message_and_not_raised() -> None:
    async def scenario() -> None:
        (config,) = tier_configs(1)
        first, second = hosts([config, config])
        assert first.start() == "" and first.start() == ""
        assert "cannot bind the gossip address" in second.start()
        first.stop()

    run_scenario(scenario())


@pytest.mark.parametrize(
    "changes", [{}, {"membership": True}, {"peers": [f"{HOST}:1"], "peer_listen": f"{HOST}:1"}]
)
def test_membership_is_off_unless_enabled_allowed_and_possible(changes: dict[str, Any]) -> None:
    config = read_config(json.dumps(raw_config(**changes)), print)
    assert (config.peers, config.peer_listen) == ((), None)


def test_membership_is_off_where_the_settings_forbid_gossip() -> None:
    raw = raw_config(membership=True, peers=[f"{HOST}:1"], peer_listen=f"{HOST}:1")
    raw["settings"]["limits"]["peers"] = False
    assert read_config(json.dumps(raw), print).peers == ()


@pytest.mark.parametrize("peers", [[f"{HOST}:1", f"{HOST}:1"], ["x"]])
def test_unusable_peer_addresses_are_a_configuration_error(peers: list[str]) -> None:
    raw = raw_config(membership=True, peers=peers, peer_listen=f"{HOST}:1")
    with pytest.raises(ConfigError):
        read_config(json.dumps(raw), print)


def test_console_shows_the_members_and_404_where_membership_is_off() -> None:
    async def scenario() -> None:
        async with ProxyHarness(Upstream()) as harness:
            assert status_of(await call_console(harness, "GET", "/admin/peers")) == 404
            (config,) = tier_configs(1)
            assert config.peer_listen is not None
            loop = asyncio.get_running_loop()
            harness.proxy.membership = MembershipHost(
                config, config.peer_listen, loop, harness.proxy.clock.now
            )
            assert not harness.proxy.membership.start()
            answer = json.loads((await call_console(harness, "GET", "/admin/peers")).body)
            assert (answer["me"], answer["present"], answer["takes_part"]) == (0, 1, True)
            assert b'irondrum_peers{state="alive"} 1' in (await call_console(harness, "GET", "/metrics")).body
            harness.proxy.announce_shutdown()
            assert (
                json.loads((await call_console(harness, "GET", "/admin/peers")).body)["takes_part"] is False
            )

    run_scenario(scenario())


def test_differing_views_are_reported_as_disagreement() -> None:
    alive, gone = ({"members": [{"state": s, "incarnation": 0}]} for s in ("alive", "gone"))
    assert membership_table({"a": alive, "b": alive})[1]
    assert not membership_table({"a": alive, "b": gone})[1]
    assert not membership_table({"a": alive, "b": {"members": []}})[1]


def test_fleet_tag_differs_by_tier() -> None:
    from loadbalancer.net.membership import fleet_tag

    (config,) = tier_configs(1)
    other = replace(config, settings=replace(config.settings, tier=1))
    assert fleet_tag(config) != fleet_tag(other)
