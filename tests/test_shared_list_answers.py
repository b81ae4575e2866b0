"""Answers that watchers share: each is for those that asked the same, and only for them.

The registry keeps an encoded answer for all that ask the same at the same revision. Its key named what a
watcher holds, but neither the services that it asked for nor whether it had said what it holds. A full
snapshot keeps services that a watcher still holds and no longer wants, so that two watchers, one of "a,b,c"
and one of "a,c" that still held b, had one key: the second was answered `"services": ["a", "b", "c"]`. And
a watcher that did not say what it holds, and so has to get a full snapshot, was answered the empty delta of
one that had said it: it never learned of a server.
"""

from __future__ import annotations

import json

import pytest

from tests.test_interest_subscription import ROOMY, Instance, query

HELD_A = '{"a":{}}'


def instance_of_three_services() -> Instance:
    instance = Instance(rules=ROOMY)
    for name, service in (("s0", "a"), ("s1", "b"), ("s2", "c")):
        instance.put(name, service)
    return instance


@pytest.mark.parametrize("first", ["a,c", "a,b,c"])
def test_watcher_is_answered_for_the_services_that_it_asks_for_now(first: str) -> None:
    instance = instance_of_three_services()
    wanted = {"a,c": query("a,c", held='{"a":{},"b":{}}'), "a,b,c": query("a,b,c")}
    order = sorted(wanted, key=lambda services: services != first)
    answers = {services: instance.tell(wanted[services]) for services in order}
    for services, answer in answers.items():
        assert answer["services"] == services.split(",")
        assert json.loads(answer["held"]) == {"a": {}, "b": {}, "c": {}}, "a snapshot drops nothing held"
        assert {endpoint["name"] for endpoint in answer["endpoints"]} == {"s0", "s1", "s2"}


@pytest.mark.parametrize("has_changed", [False, True])
@pytest.mark.parametrize("may_wait", [False, True])
@pytest.mark.parametrize("is_asked_first", [False, True])
def test_watcher_that_does_not_say_what_it_holds_gets_a_snapshot_beside_one_that_does(
    *, is_asked_first: bool, may_wait: bool, has_changed: bool
) -> None:
    instance = instance_of_three_services()
    revision = instance.catalog.revision
    if has_changed:
        instance.put("s3", "a")
    saying, silent = query("a", revision, held=HELD_A), query("a", revision)
    bodies: dict[str, bytes | None] = {}
    queries = {"silent": silent, "saying": saying}
    for name in queries if is_asked_first else reversed(queries):
        bodies[name], _ = instance.reads.evaluate(queries[name], may_wait=may_wait)
    snapshot = bodies["silent"]
    assert snapshot is not None, "it waits, and knows of no server"
    answer = json.loads(snapshot)
    assert answer["snapshot"]
    assert {endpoint["name"] for endpoint in answer["endpoints"]} == {"s0"} | (
        {"s3"} if has_changed else set()
    )
    if may_wait:
        assert bodies["saying"] is None, "a change is announced at the next wake"
    else:
        assert not json.loads(bodies["saying"] or b"{}")["snapshot"], "history covers its revision"
