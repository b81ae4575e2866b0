"""The steps of a scenario's timeline: actions on processes, links, the endpoint list and the load.

The value of `do` is the tag of a type here; the other keys are the type's fields, renamed in the file as
`rename` says.
"""

from __future__ import annotations

import msgspec

from loadbalancer.drill.links.faults import LinkFault

ENDPOINT_LIST_STATES = {
    "down": "every call is refused",
    "up": "calls are accepted again after `down`",
    "stale": "answers have the list as it was at the start, at version 1",
    "empty": "full snapshots list no servers",
    "halved": "full snapshots leave out every other server",
    "failing": "every call gets 503",
    "garbled": "answers are not valid lists",
    "frozen": "watches are answered without any change",
    "fresh": "answers have the true list again",
}


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="do"):
    """An action taken `after` so many first attempts since the step before."""

    after: int = 0


class TargetedStep(Step, frozen=True, forbid_unknown_fields=True, kw_only=True, rename={"target": "who"}):
    """A step that acts on one process."""

    target: str


class KillProcess(TargetedStep, frozen=True, kw_only=True, tag="kill"):
    """SIGKILL. The sidecar balancer of a server is killed with it."""


class TerminateProcess(TargetedStep, frozen=True, kw_only=True, tag="term"):
    """SIGTERM, and SIGKILL `kill_after_s` later if it still runs; 0 for never."""

    kill_after_s: float = 0.0


class ReloadConfiguration(TargetedStep, frozen=True, kw_only=True, tag="hup"):
    """SIGHUP to a balancer, with a configuration that moves the endpoint list to another address."""


class PauseProcess(
    TargetedStep, frozen=True, kw_only=True, tag="stop", rename={"target": "who", "duration_s": "for_s"}
):
    """SIGSTOP, and SIGCONT `duration_s` later: the process exists but makes no progress."""

    duration_s: float = 3.0


class StartProcess(TargetedStep, frozen=True, kw_only=True, tag="start"):
    """Start a process that has ended; `version` and `folder` select another version or program folder."""

    version: str = ""
    folder: str = ""
    memory: str = "kept"
    """A registry instance's database: `kept`, `lost`, or `old`, as it was when the load began."""


class DrainServer(TargetedStep, frozen=True, kw_only=True, tag="drain"):
    """Mark a server as terminating in the endpoint list."""


class RemoveServer(TargetedStep, frozen=True, kw_only=True, tag="remove"):
    """Remove a server from the endpoint list, and send it SIGTERM if it still runs."""


class ChangeServerBehavior(
    TargetedStep, frozen=True, kw_only=True, tag="behave",
    rename={"target": "who", "slowdown": "slower", "failure_rate": "fails", "is_paused": "paused"},
):  # fmt: skip
    """Change how a server behaves from now on."""

    slowdown: float = 1.0
    failure_rate: float = 0.0
    """The fraction of all requests that it answers with 500."""
    is_paused: bool = False


class SetLinkFault(Step, frozen=True, kw_only=True, tag="break"):
    """Set a fault on links, under a name with which it is cleared."""

    name: str
    link: str
    """A pattern such as `b0>s1`; `*` matches any process, `@east` any process in that zone."""
    fault: LinkFault
    direction: str = "both"


class ClearLinkFault(Step, frozen=True, kw_only=True, tag="lift"):
    """Clear a fault."""

    name: str


class ChangeEndpointList(Step, frozen=True, kw_only=True, tag="list", rename={"instance": "who"}):
    """Change how the endpoint list's server answers: see `ENDPOINT_LIST_STATES`."""

    state: str
    instance: str = "list"


class PinServer(
    TargetedStep, frozen=True, kw_only=True, tag="pin", rename={"target": "who", "instance": "at"}
):
    """Operators pin a server at one registry instance: a write without any other effect."""

    instance: str = "directory"


class CordonServer(
    TargetedStep, frozen=True, kw_only=True, tag="cordon", rename={"target": "who", "is_cordoned": "out"}
):
    """Operators cordon a server at every balancer of its tier, or uncordon it."""

    is_cordoned: bool = True


class EvacuateZone(
    Step, frozen=True, kw_only=True, tag="zone", rename={"is_evacuated": "out", "duration_s": "over_s"}
):
    """Operators have all first-tier balancers evacuate a zone, or return to it, over `duration_s`."""

    zone: str
    is_evacuated: bool = True
    duration_s: float = 2.0


class ReplaceBalancer(TargetedStep, frozen=True, kw_only=True, tag="replace"):
    """Replace a balancer's process under load by hot restart; `folder` selects another program folder."""

    folder: str = ""


class ExpectMemberState(
    TargetedStep, frozen=True, kw_only=True, tag="expect", rename={"target": "who", "observers": "by"}
):
    """Wait until all running balancers consider one of them `alive`, `gone` or `left`."""

    state: str
    within_s: float = 5.0
    """The bound of the check `views`."""
    observers: str = "b*"
    """A pattern for the names of the balancers that must agree."""


class SendForeignDatagrams(Step, frozen=True, kw_only=True, tag="stranger", rename={"count": "notes"}):
    """Send random datagrams to all balancers from a foreign address, and forged from balancers' addresses."""

    count: int = 200


class OpenIdleConnections(
    TargetedStep, frozen=True, kw_only=True, tag="crowd", rename={"target": "who", "duration_s": "for_s"}
):  # fmt: skip
    """Open idle connections to a balancer, kept for `duration_s` unless the balancer closes them."""

    count: int = 100
    duration_s: float = 3.0


class ChangeLoad(Step, frozen=True, kw_only=True, tag="surge"):
    """Change the clients' request rate and retries from now on."""

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
