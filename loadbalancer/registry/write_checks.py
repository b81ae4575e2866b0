"""Preconditions of writes to the registry; rejected writes get a one-line reason and are counted."""

from __future__ import annotations

from collections import Counter

from loadbalancer.registry.changes import RejectionCause, WriteRejectedError
from loadbalancer.registry.entries import Entry, Registration
from loadbalancer.registry.lease_expiry import is_lease_over


class WriteChecks:
    """The preconditions of writes; each check raises `WriteRejectedError` if its condition does not hold."""

    def __init__(self) -> None:
        self.rejection_counts: Counter[RejectionCause] = Counter()

    def require_listed(self, entry: Entry | None, name: str) -> Entry:
        """Return an entry after checking that it is listed."""
        if entry is None or not entry.is_listed:
            raise self.rejection(404, RejectionCause.NOT_LISTED, f"no server {name!r} is listed")
        return entry

    def check_revision(self, entry: Entry | None, if_match: int | None) -> None:
        """Check that an entry is still at the revision that the writer saw."""
        revision = entry.revision if entry else 0
        if if_match is not None and if_match != revision:
            raise self.rejection(
                412,
                RejectionCause.REVISION_MISMATCH,
                f"it is at version {revision}, not {if_match}: read it again",
            )

    def check_not_older(self, entry: Entry, registration: Registration) -> None:
        """Check that a registration is not of an earlier start than the known one."""
        if registration.since_ms < entry.registration.since_ms:
            raise self.rejection(
                409,
                RejectionCause.OLDER_START,
                f"{entry.name} started at {entry.registration.since_ms:.0f};"
                f" {registration.since_ms:.0f} is earlier",
            )

    def check_may_replace(self, entry: Entry, registration: Registration, now: float) -> None:
        """Check that a registration may replace a listed one."""
        known = entry.registration
        if known.owner != registration.owner and not is_lease_over(entry, now):
            raise self.rejection(
                409,
                RejectionCause.OTHER_OWNER,
                f"{entry.name} is held by {known.owner or 'nobody named'!r}",
            )
        self.check_not_older(entry, registration)
        if registration.tier != known.tier:
            raise self.rejection(
                409,
                RejectionCause.OTHER_TIER,
                f"{entry.name} is of tier {known.tier!r}; remove it there first",
            )

    def rejection(self, status: int, cause: RejectionCause, why: str) -> WriteRejectedError:
        """Count a rejection, and return the error to raise."""
        self.rejection_counts[cause] += 1
        return WriteRejectedError(status, why)
