"""What membership and the return of watches cost, by the number of balancers: the cores, in virtual time.

Processor time is of one member's core alone, without its socket; bytes and calls are counted in virtual time.
"""

from __future__ import annotations

import os
import random
import time
import tracemalloc

import msgspec

from benchmarks.capacity_balancer import ZONES, cpu_ms
from loadbalancer import membership
from loadbalancer.endpoint_watch import Watch
from loadbalancer.interface import Idempotency, RequestClass, SetTimer, Settings
from loadbalancer.membership import Membership, SendMessage
from loadbalancer.membership.messages import GossipMessage, MessageKind, encode_message
from loadbalancer.membership.swim import PROBE_PERIOD_MS
from loadbalancer.policy.endpoints import EndpointSet
from loadbalancer.registry import Catalog, Registration, Rules, first_revision
from loadbalancer.registry.service import EXPIRY_CHECK_INTERVAL_S
from loadbalancer.simulation.gossip import FLEET_TAG, SimulatedTier
from loadbalancer.simulation.watches import ListServiceSimulation

SETTLE_MS, LOOK_MS = 4_000.0, 4_000.0
MEMBER_PERIODS = 200
LOSS = 0.05
START_MS, LEASE_MS = 1.8e12, 10_000.0
OUTAGE_MS, AFTER_MS = 4_000.0, 20_000.0
_decoder = msgspec.msgpack.Decoder(GossipMessage)
HOME = ("127.0.0.1", 1)
CLASSES = (RequestClass("read", 250.0, 1_000.0, Idempotency.IDEMPOTENT),)


def member(size: int, number: int) -> dict[str, float]:
    """One member of so many that all answer and ping it: its table's memory, processor time a second."""
    pid, chance = os.getpid(), random.Random(number)
    tracemalloc.start()
    one = Membership(0, size, FLEET_TAG, seed=number)
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    now, cpu = 0.0, cpu_ms(pid)
    todo = one.start(now)
    for _ in range(MEMBER_PERIODS):
        now = max(now, max(action.at_ms for action in todo if isinstance(action, membership.SetTimer)))
        sender = chance.randrange(1, size)
        one.handle_message(
            sender, encode_message(GossipMessage(FLEET_TAG, MessageKind.PING, 1, sender, 0, -1, ())), now
        )
        for action in one.handle_timer(now):
            if isinstance(action, SendMessage):
                asked = _decoder.decode(action.payload)
                answer = GossipMessage(
                    FLEET_TAG, MessageKind.ACK, asked.sequence, action.recipient, 0, -1, ()
                )
                todo = one.handle_message(action.recipient, encode_message(answer), now + 1.0)
    spent = (cpu_ms(pid) - cpu) / (MEMBER_PERIODS * PROBE_PERIOD_MS / 1_000)
    return {"size": size, "play": number, "table_mb": memory, "member_ms_s": spent}


def notes(size: int, number: int, loss: float = LOSS) -> dict[str, float]:
    """Bytes that a member sends a second, in virtual time."""
    pid = os.getpid()
    tier = SimulatedTier(size, seed=number, loss_rate=loss)
    tier.run(SETTLE_MS)
    sent, told, cpu = tier.byte_count, tier.message_count, cpu_ms(pid)
    tier.run(LOOK_MS)
    each_s = size * LOOK_MS / 1e3
    return {
        "size": size, "play": number, "loss": loss, "bytes_s": (tier.byte_count - sent) / each_s,
        "notes_s": (tier.message_count - told) / each_s, "tier_ms_s": (cpu_ms(pid) - cpu) / each_s,
    }  # fmt: skip


def herd(size: int, number: int) -> dict[str, float]:
    """All instances of two are away for 4 s while as many balancers watch as many servers."""
    fleet = ListServiceSimulation(size, size, 2, number)
    fleet.run(10_000)
    whole = fleet.full_snapshot_count
    fleet.outage(OUTAGE_MS)
    fleet.run(OUTAGE_MS + AFTER_MS)
    found = fleet.figures()
    return {
        "size": size, "play": number, "whole_lists": fleet.full_snapshot_count - whole,
        "worst_second_calls": found["calls_most_in_a_second"], "busiest": found["busiest_instance"],
    }  # fmt: skip


def lapse(size: int, number: int) -> dict[str, float]:
    """An instance's catalog while one of twelve zones renews nothing: processor time of a look for lapses."""
    now = START_MS + number
    catalog = Catalog(Rules(), first_revision(0, now))
    for one in range(size):
        told = Registration(address="127.0.0.1:1", zone=f"zone-{one % ZONES:02}", lease_ms=LEASE_MS)
        catalog.register(f"s{one}", told, now)
    now += LEASE_MS
    for one in range(size):
        if one % ZONES:
            catalog.renew(f"s{one}", 0.0, now)
    catalog.expire_leases(now + 1.0)
    now += Rules().settle_ms + 1.0
    began = time.process_time()
    gone = len(catalog.expire_leases(now))
    looked = time.process_time()
    catalog.expire_leases(now + EXPIRY_CHECK_INTERVAL_S * 1e3)
    return {
        "size": size, "play": number, "gone": gone, "lapse_first_ms": (looked - began) * 1e3,
        "lapse_again_ms": (time.process_time() - looked) * 1e3,
    }  # fmt: skip


def pause(size: int, number: int) -> dict[str, float]:
    """The longest pause after a failed call of the platform's list, in an outage of 30 s."""
    settings = Settings(
        classes=CLASSES, balancer_count=size, polls_endpoint_list=True, poll_interval_ms=30_000.0
    )
    watch = Watch(
        (HOME,),
        balancer_index=0,
        balancer_count=size,
        drain_grace_ms=5_000.0,
        is_self_hosted=False,
        seed=number,
    )
    roster, now, most = EndpointSet(settings, random.Random(number)), 0.0, 0.0
    while now < 30_000.0:
        at = next(
            a.at_ms
            for a in roster.handle_list_failure(now, watch.retry_within_s * 1e3)
            if isinstance(a, SetTimer)
        )
        most, now = max(most, at - now), at
    return {"size": size, "play": number, "pause_most_s": most / 1_000}
