"""The codec and the host of the simulator's wire."""

from __future__ import annotations

import io
import os
import subprocess
import sys

import pytest

from loadbalancer.interface import (
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    LogMessage,
    Reject,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    WatchEndpointList,
)
from loadbalancer.simhost import SimulatorHost
from loadbalancer.wire import write_action

SETTINGS = (
    "azs=a balancers=2 classes.count=1 classes.0.name=read classes.0.target=900.0 "
    "classes.0.deadline=2000.0 classes.0.effect=retryable limits.attemptsCap=3 discovery=push tick=5.0"
)
LEDGER = (
    "ledger list=3 membersList=2\nm upstream=u1 readiness=1 cell=0 rackZone=a\n"
    "m upstream=u2 readiness=1 cell=1 rackZone=a upSince=40.5\n"
)


def start_line(who: int, seed: int = 11) -> str:
    return f"up who={who} prng={seed} {SETTINGS}\n"


def start_batch(who: int = 1) -> str:
    notice = f"membership who={who} generation=1 mode=0 list=3\n"
    return f"sync time=100.0 batch=1\n{start_line(who)}{LEDGER}{notice}eob\n"


def run_host(text: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    status = SimulatorHost(err).run(io.StringIO(text), out)
    return status, out.getvalue(), err.getvalue()


def test_actions_are_written_as_lines() -> None:
    assert [
        write_action("4", a)
        for a in (
            SendAttempt(7, "u1", 80),
            SetTimer(12.5, "wait"),
            Reject(7, 250),
            Fail(7),
            CancelAttempt(7, 1),
            SendHealthCheck("u1"),
            WatchEndpointList(),
            CloseIdleConnections("u1"),
            LogMessage("two\nlines"),
        )
    ] == [
        "send who=4 corr=7 upstream=u1 timeout=80.000",
        "remind who=4 moment=12.500 ctx=wait",
        "reject who=4 corr=7 stayAway=250.000",
        "abort who=4 corr=7",
        "cancel who=4 corr=7 shot=1",
        "sound_out who=4 upstream=u1",
        "follow who=4 enable=1",
        "close_idle who=4 upstream=u1",
        "say_log who=4 bodyText=two lines",
    ]


def test_request_is_sent_and_every_batch_is_answered() -> None:
    status, out, _ = run_host(
        start_batch() + "\nsync time=105.0 batch=2\nknock who=1 corr=9 remaining=900.0 grade=read\neob\n"
    )
    assert status == 0
    lines = out.split("\n")
    assert lines[0] == "yield batch=1"
    assert any(line.startswith("send who=1 corr=9 upstream=u") for line in lines)
    assert lines[-2] == "yield batch=2"


def test_unknown_events_and_settings_are_noted_once_and_ignored() -> None:
    text = start_batch().replace("tick=5.0", "tick=5.0 moon.phase=3")
    text += "sync time=110.0 batch=2\nfrobnicate who=1\nfrobnicate who=1\neob\n"
    status, out, err = run_host(text)
    assert status == 0 and out.endswith("yield batch=2\n")
    assert err.count("frobnicate") == 1 and err.count("moon.phase") == 1


@pytest.mark.parametrize(
    ("bad", "reason"),
    [
        ("knock who=1 corr=9 grade=read", "'remaining' is missing"),
        ("knock who=1 corr=x remaining=9 grade=read", "is not an integer"),
        ("knock who=1 corr=9 remaining=soon grade=read", "is not a finite number"),
        ("knock who=1 corr=9 remaining=nan grade=read", "'nan', which is not a finite number"),
        (
            "verdict who=1 corr=9 shot=0 upstream=u1 verdict=1 gauge=1,inf",
            "'1,inf', which is not a list of finite numbers",
        ),
        ("membership who=1 generation=2 mode=8 list=3", "'mode' holds '8'"),
        ("knock who=5 corr=9 remaining=9.0 grade=read", "instance '5' is unknown"),
        ("membership who=1 generation=2 mode=2 list=9", "ledger 9 was never sent"),
        ("ledger list=1 membersList=2\nm upstream=u1 readiness=1", "fewer entries"),
        ("knock who=1 corr", "not name=value"),
        (
            start_line(2).strip().replace("classes.0.target=900.0", "classes.0.target=-1"),
            "latency_objective_ms is -1.0",
        ),
    ],
)
def test_malformed_line_is_named_in_one_message(bad: str, reason: str) -> None:
    status, _, err = run_host(start_batch() + f"sync time=110.0 batch=2\n{bad}\neob\n")
    assert status == 1
    assert reason in err and "batch 2" in err and err.count("\n") == 1


def test_input_may_end_between_batches_but_not_inside_one() -> None:
    assert run_host(start_batch())[0] == 0
    status, _, err = run_host(start_batch() + "sync time=110.0 batch=2\n")
    assert status == 1 and "inside a batch" in err


def test_failure_is_reported_for_its_instance_only() -> None:
    text = "sync time=90.0 batch=0\n" + start_line(2) + "eob\n" + start_batch(1)
    text += "sync time=110.0 batch=2\nknock who=1 corr=9 remaining=900.0 grade=nosuch\n"
    text += "knock who=2 corr=9 remaining=900.0 grade=read\neob\n"
    status, out, err = run_host(text)
    assert status == 0 and "give_in who=1 bodyText=ValueError" in out and "give_in who=2" not in out
    assert "Traceback" in err


def test_unknown_outcome_counts_as_one_that_may_have_run() -> None:
    unsafe = start_batch().replace("retryable", "fragile")
    text = unsafe + "sync time=105.0 batch=2\nknock who=1 corr=9 remaining=900.0 grade=read\neob\n"
    text += "sync time=110.0 batch=3\nverdict who=1 corr=9 shot=0 upstream=u1 verdict=42 timeTaken=5.0\neob\n"
    status, out, err = run_host(text)
    assert status == 0 and "abort who=1 corr=9" in out and out.count("send ") == 1
    assert "'42'" in err


def test_every_setting_of_the_wire_is_known() -> None:
    fields = (
        "classes.0.aimStretch=2 goal.logLossPart=0.4 goal.fullAtNines=3 goal.punctual=0.2 goal.tailMiss=0.02 "
        "limits.connIdle=30000.0 limits.streamsPerConn=1 familyInfo.passesDeadline=true prices.waste=0.02 "
        "worthBy=work weights=nominal myNumber=0 contract.drainGrace=2000.0 contract.graceToAnswer=8.0"
    )
    status, _, err = run_host(start_batch().replace("tick=5.0", f"tick=5.0 {fields}"))
    assert status == 0 and err == ""


def replies_of(instances: list[int], hash_seed: str) -> str:
    """Return the output of a process that hosts these instances."""
    text = "".join(["sync time=100.0 batch=1\n", LEDGER, *(start_line(i, 11 + i) for i in instances)])
    text += "".join(f"membership who={i} generation=1 mode=0 list=3\n" for i in instances) + "eob\n"
    for n in range(40):
        text += f"sync time={110.0 + 7 * n} batch={n + 2}\n"
        text += "".join(f"knock who={i} corr={n} remaining=900.0 grade=read\n" for i in instances) + "eob\n"
    env = os.environ | {"PYTHONHASHSEED": hash_seed}
    done = subprocess.run(
        [sys.executable, "-m", "loadbalancer.simhost"],
        input=text,
        text=True,
        capture_output=True,
        env=env,
        check=True,
    )
    return done.stdout


def test_actions_are_the_same_under_any_hash_seed_and_split_over_processes() -> None:
    together = replies_of([1, 2], "1")
    assert together == replies_of([1, 2], "2")
    for who in (1, 2):
        hosted_together = [line for line in together.split("\n") if f"who={who} " in line]
        alone = [line for line in replies_of([who], "3").split("\n") if f"who={who} " in line]
        assert hosted_together == alone and hosted_together
