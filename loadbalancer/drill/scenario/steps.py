"""The steps of a scenario's timeline: what is done to processes, links, the endpoint list and the load.

The value of `do` is the tag of a type here; its other keys are the type's fields, under the names that
`rename` gives them in the file.
"""

from __future__ import annotations

import msgspec

from loadbalancer.drill.links.faults import LinkFault

ENDPOINT_LIST_STATES = {
    "down": "every call is refused",
    "up": "no longer down",
    "stale": "it answers with the list as it was at the start, at version 1",
    "empty": "full snapshots list nobody",
    "halved": "full snapshots leave out every other server",
    "failing": "every call gets 503",
    "garbled": "answers are no lists",
    "frozen": "watches are answered, and nothing ever changes",
    "fresh": "it answers with the true list again",
}


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="do"):
    """Something that is done `after` so many more first attempts than the step before."""

    after: int = 0


class TargetedStep(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, rename={"target": "who"}):
    """A step that is done to one process."""

    target: str


class KillProcess(TargetedStep, frozen=True, kw_only=True, tag="kill"):
    """SIGKILL. The balancer beside a server dies with it."""


class TerminateProcess(TargetedStep, frozen=True, kw_only=True, tag="term"):
    """SIGTERM, and SIGKILL `kill_after_s` later if it still runs; 0 for never."""

    kill_after_s: float = 0.0


class ReloadConfiguration(TargetedStep, frozen=True, kw_only=True, tag="hup"):
    """SIGHUP to a balancer, with a configuration that moves the endpoint list to another address."""


class PauseProcess(
    TargetedStep, frozen=True, kw_only=True, tag="stop", rename={"target": "who", "duration_s": "for_s"}
):
    """SIGSTOP, and SIGCONT `duration_s` later: a process that is there and does nothing."""

    duration_s: float = 3.0


class StartProcess(TargetedStep, frozen=True, kw_only=True, tag="start"):
    """Start a process that has ended, of another version or from another folder if one is named."""

    version: str = ""
    folder: str = ""
    memory: str = "kept"
    """Of a registry instance: `kept`, `lost`, or `old`, its database as it was when the load began."""


class DrainServer(TargetedStep, frozen=True, kw_only=True, tag="drain"):
    """The list shows a server as terminating."""


class RemoveServer(TargetedStep, frozen=True, kw_only=True, tag="remove"):
    """The list shows a server no more, and it gets SIGTERM if it still runs."""


class ChangeServerBehavior(
    TargetedStep, frozen=True, kw_only=True, tag="behave",
    rename={"target": "who", "slowdown": "slower", "failure_rate": "fails", "is_paused": "paused"},
):  # fmt: skip
    """Change what a server does from now on."""

    slowdown: float = 1.0
    failure_rate: float = 0.0
    """The fraction of all requests that it answers with 500."""
    is_paused: bool = False


class SetLinkFault(Step, frozen=True, kw_only=True, tag="break"):
    """Set a fault on links, under a name by which it is cleared."""

    name: str
    link: str
    """A pattern such as `b0>s1`; `*` stands for any, `@east` for any process in that zone."""
    fault: LinkFault
    direction: str = "both"


class ClearLinkFault(Step, frozen=True, kw_only=True, tag="lift"):
    """Clear a fault."""

    name: str


class ChangeEndpointList(Step, frozen=True, kw_only=True, tag="list", rename={"instance": "who"}):
    """Change what the endpoint list's server does: see `ENDPOINT_LIST_STATES`."""

    state: str
    instance: str = "list"


class PinServer(
    TargetedStep, frozen=True, kw_only=True, tag="pin", rename={"target": "who", "instance": "at"}
):
    """Operators pin a server at one registry instance: a write that changes nothing else."""

    instance: str = "directory"


class CordonServer(
    TargetedStep, frozen=True, kw_only=True, tag="cordon", rename={"target": "who", "is_cordoned": "out"}
):
    """Operators cordon a server at every balancer of its tier, or uncordon it."""

    is_cordoned: bool = True


class EvacuateZone(
    Step, frozen=True, kw_only=True, tag="zone", rename={"is_evacuated": "out", "duration_s": "over_s"}
):
    """Operators have all first-tier balancers leave a zone, or come back to it, over a time."""

    zone: str
    is_evacuated: bool = True
    duration_s: float = 2.0


class ReplaceBalancer(TargetedStep, frozen=True, kw_only=True, tag="replace"):
    """Replace a balancer's process under load by hot restart, from another folder if one is named."""

    folder: str = ""


class ExpectMemberState(
    TargetedStep, frozen=True, kw_only=True, tag="expect", rename={"target": "who", "observers": "by"}
):
    """Wait until all balancers that run hold one of them for `alive`, `gone` or `left`."""

    state: str
    within_s: float = 5.0
    """The bound of the check `views`."""
    observers: str = "b*"
    """The balancers that are to agree, as a pattern of names."""


class SendForeignDatagrams(Step, frozen=True, kw_only=True, tag="stranger", rename={"count": "notes"}):
    """Send random bytes and forged gossip, from an address of no balancer, to every balancer."""

    count: int = 200


class OpenIdleConnections(
    TargetedStep, frozen=True, kw_only=True, tag="crowd", rename={"target": "who", "duration_s": "for_s"}
):  # fmt: skip
    """Idle clients connect to a balancer, and stay for a time unless they are closed."""

    count: int = 100
    duration_s: float = 3.0


class ChangeLoad(Step, frozen=True, kw_only=True, tag="surge"):
    """Clients send at another rate, with other retries, from now on."""

    rate: float
    retries: int = 2
    backoff_ms: float = 20.0


AnyStep = (
    KillProcess
    | TerminateProcess
    | PauseProcess
    | StartProcess
    | DrainServer
    | RemoveServer
    | ChangeServerBehavior
    | SetLinkFault
    | ClearLinkFault
    | ChangeEndpointList
    | CordonServer
    | PinServer
    | EvacuateZone
    | ReplaceBalancer
    | ChangeLoad
    | OpenIdleConnections
    | ReloadConfiguration
    | ExpectMemberState
    | SendForeignDatagrams
)
