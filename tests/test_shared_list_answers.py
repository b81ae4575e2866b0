"""Cached answers are shared only by watchers with the same query.

Guards against a cache key without the requested services and without whether a watcher reports what it holds.
A full snapshot keeps services that a watcher holds and no longer requests, so that a watcher of "a,b,c" and
one of "a,c" that still held b had equal keys: the second was answered `"services": ["a", "b", "c"]`. And a
watcher that does not report what it holds, and so needs a full snapshot, was answered the empty delta of one
that does: it never learned of a server.
"""

from __future__ import annotations

import json

import pytest

from tests.test_interest_subscription import RULES_WITHOUT_COMPACTION, Instance, query

HELD_A = '{"a":{}}'


def instance_of_three_services() -> Instance:
    instance = Instance(rules=RULES_WITHOUT_COMPACTION)
    for name, service in (("s0", "a"), ("s1", "b"), ("s2", "c")):
        instance.register_server(name, service)
    return instance


@pytest.mark.parametrize("first", ["a,c", "a,b,c"])
def test_watcher_is_answered_for_the_services_that_it_requests(first: str) -> None:
    instance = instance_of_three_services()
    queries_by_services = {"a,c": query("a,c", held='{"a":{},"b":{}}'), "a,b,c": query("a,b,c")}
    order = sorted(queries_by_services, key=lambda services: services != first)
    answers = {services: instance.answer_now(queries_by_services[services]) for services in order}
    for services, answer in answers.items():
        assert answer["services"] == services.split(",")
        assert json.loads(answer["held"]) == {"a": {}, "b": {}, "c": {}}, "a snapshot drops nothing held"
        assert {endpoint["name"] for endpoint in answer["endpoints"]} == {"s0", "s1", "s2"}


@pytest.mark.parametrize("has_changed", [False, True])
@pytest.mark.parametrize("may_wait", [False, True])
@pytest.mark.parametrize("is_silent_first", [False, True])
def test_watcher_that_does_not_report_what_it_holds_gets_a_snapshot_beside_one_that_does(
    *, is_silent_first: bool, may_wait: bool, has_changed: bool
) -> None:
    instance = instance_of_three_services()
    revision = instance.catalog.revision
    if has_changed:
        instance.register_server("s3", "a")
    reporting, silent = query("a", revision, held=HELD_A), query("a", revision)
    bodies: dict[str, bytes | None] = {}
    queries = {"silent": silent, "reporting": reporting}
    for name in queries if is_silent_first else reversed(queries):
        bodies[name], _ = instance.query_evaluator.evaluate(queries[name], may_wait=may_wait)
    snapshot = bodies["silent"]
    assert snapshot is not None, "it would wait without knowing any server"
    answer = json.loads(snapshot)
    assert answer["snapshot"]
    assert {endpoint["name"] for endpoint in answer["endpoints"]} == {"s0"} | (
        {"s3"} if has_changed else set()
    )
    if may_wait:
        assert bodies["reporting"] is None, "a change is announced at the next wake"
    else:
        assert not json.loads(bodies["reporting"] or b"{}")["snapshot"], "history covers its revision"
