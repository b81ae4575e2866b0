"""The names of all seeded defects, and the module of this package that holds each."""

from __future__ import annotations

DRILL_DEFECTS = {
    "sends-twice": "proxy",
    "forgets-drain": "proxy",
    "keeps-dead-server": "proxy",
    "answers-from-nowhere": "proxy",
    "closes-unread": "proxy",
    "ends-on-second-reload": "proxy",
    "trusts-any-list": "endpoint_list",
    "deaf-to-peers": "membership",
    "never-gives-up": "membership",
    "forgets-returns": "membership",
    "forgets-snapshot": "stored_state",
    "believes-lapses": "registry",
    "reuses-versions": "registry",
    "lapses-unheard": "registry",
    "takes-drains-back": "registry",
    "keeps-old-starts": "registry",
    "obeys-lists": "endpoint_list",
    "stays-with-one": "endpoint_list",
    "never-compares": "endpoint_list",
    "asks-without-pause": "endpoint_list",
    "forgets-list": "endpoint_list",
    "moves-at-once": "zones",
    "never-returns": "zones",
    "forgets-zones": "stored_state",
}
"""The defects that drills find, by the name that `drill run --plant` takes."""

REGISTRY_DEFECTS = tuple(name for name, module in DRILL_DEFECTS.items() if module == "registry")
"""The defects of the registry's instances; all others are of first-tier balancers."""

SCALE_DEFECTS = {"polls": "scale", "quadratic-fan-out": "scale", "never-backs-off": "scale"}
"""The defects that scale runs find, by the name that `scale run --plant` takes."""
