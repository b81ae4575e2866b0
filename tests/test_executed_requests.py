"""Which IDs are remembered of requests that may have run, for how long, and how many."""

from __future__ import annotations

import pytest

from loadbalancer.net.hot_restart.state_exchange import decode_executed, encode_executed
from loadbalancer.policy.executed_requests import (
    KEPT_MS,
    MAX_ID_BYTES,
    MAX_REMEMBERED,
    ExecutedRequest,
    ExecutedRequests,
)


def test_an_id_is_remembered_until_its_time_is_over() -> None:
    requests = ExecutedRequests()
    requests.record_sent(b"a", 1_000.0)
    assert requests.may_have_run(b"a", 1_000.0 + KEPT_MS - 1)
    assert not requests.may_have_run(b"a", 1_000.0 + KEPT_MS)
    assert not requests.may_have_run(b"b", 1_000.0)


def test_an_id_that_never_ran_is_forgotten() -> None:
    requests = ExecutedRequests()
    requests.record_sent(b"a", 0.0)
    requests.record_not_run(b"a")
    assert not requests.may_have_run(b"a", 1.0)


def test_ever_new_ids_take_no_more_memory_and_push_out_the_oldest() -> None:
    """Guards against memory that grows with the names that clients choose."""
    requests = ExecutedRequests()
    for number in range(3 * MAX_REMEMBERED):
        reported = requests.record_sent(b"%d" % number, float(number) / 1_000)
        assert len(reported) == 1
    assert len(requests) == MAX_REMEMBERED
    assert not requests.may_have_run(b"0", 20.0)
    assert requests.may_have_run(b"%d" % (3 * MAX_REMEMBERED - 1), 20.0)
    assert len(requests.export(20.0)) <= MAX_REMEMBERED


def test_long_ids_differ_by_their_ends_and_their_length() -> None:
    requests = ExecutedRequests()
    long_id = b"a" * 30_000
    requests.record_sent(long_id, 0.0)
    assert requests.may_have_run(long_id, 1.0)
    for other in (long_id + b"a", long_id[:-1] + b"b", b"b" + long_id[1:]):
        assert not requests.may_have_run(other, 1.0)
    assert max(len(r.client_id) for r in requests.export(1.0)) < MAX_ID_BYTES + 10


def test_another_process_learns_of_ids_with_their_age() -> None:
    first, second = ExecutedRequests(), ExecutedRequests()
    first.record_sent(b'\xe9\n"', 0.0)
    exported = decode_executed(encode_executed(first.export(10_000.0)))
    assert second.restore(exported, 500.0) == exported
    reported = first.record_sent(b"b", 10_000.0)
    assert second.restore(reported, 500.0) == reported
    assert second.may_have_run(b'\xe9\n"', 500.0 + KEPT_MS - 10_001)
    assert not second.may_have_run(b'\xe9\n"', 500.0 + KEPT_MS - 10_000)
    assert second.may_have_run(b"b", 501.0)
    assert second.restore(exported, 500.0) == []


@pytest.mark.parametrize("line", [b"[]", b"1", b'{"a": "x"}', b"{", b'{"a": null}'])
def test_malformed_messages_are_errors(line: bytes) -> None:
    with pytest.raises((ValueError, TypeError)):
        decode_executed(line)


def test_an_exported_request_has_its_age() -> None:
    requests = ExecutedRequests()
    requests.record_sent(b"a", 100.0)
    assert requests.export(350.0) == [ExecutedRequest(b"a", 250.0)]
