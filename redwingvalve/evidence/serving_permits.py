"""Serving permits based on the evidence table."""

from redwingvalve.configuration import snapshot
from redwingvalve.core import invariants
from redwingvalve.evidence import permits, table

EVIDENCE_REQUIRED = invariants.Safeguard.EVIDENCE_REQUIRED
LEAVING_EXCLUDED = invariants.Safeguard.LEAVING_EXCLUDED


class EvidencePermits(permits.ServingPermits):
    """Permits a replica while every VM was recently seen in its epoch."""

    def __init__(
        self,
        evidence: table.EvidenceTable,
        switches: invariants.SafeguardSwitches,
    ) -> None:
        """Decide by an evidence table."""
        self._evidence = evidence
        self._switches = switches
        self._leaving: frozenset[str] = frozenset()

    def replace_leaving(self, vms: frozenset[str]) -> None:
        """Set the leaving VMs; their replicas receive no new work."""
        self._leaving = vms

    def permitted(self, replica: snapshot.Replica, now_s: float) -> bool:
        """Return whether every VM of this epoch was seen recently enough."""
        if not replica.members:
            return False
        if self._switches.enabled(LEAVING_EXCLUDED) and (
            not replica.serving or self._has_leaving_member(replica)
        ):
            return False
        shown = all(
            self._evidence.shows(member.vm, replica.name, replica.epoch, now_s)
            for member in replica.members
        )
        # A replica that lost a VM hangs instead of refusing requests, so
        # callers would wait for tokens that never arrive. Evidence expires
        # on its own: sending stops without any message to this process.
        if not shown and self._switches.enabled(EVIDENCE_REQUIRED):
            return False
        invariants.require(
            shown,
            'no replica serves while a VM of it is missing',
            f'{replica.name} epoch {replica.epoch}',
        )
        return True

    def _has_leaving_member(self, replica: snapshot.Replica) -> bool:
        # The store may be unavailable for hours. Meanwhile the domain object
        # still shows a replica as serving whose VM the platform removes.
        return not self._leaving.isdisjoint(
            member.vm for member in replica.members
        )

    def reported_load(
        self, replica: snapshot.Replica, now_s: float
    ) -> permits.ReportedLoad | None:
        """Return the head's number of requests in flight in this epoch."""
        if not replica.members:
            return None
        observation = self._evidence.fresh(replica.members[0].vm, now_s)
        if observation is None or observation.epoch != replica.epoch:
            return None
        return permits.ReportedLoad(observation.in_flight, observation.seen_s)

    def report_failure(
        self, replica: snapshot.Replica, vm: str, now_s: float
    ) -> None:
        """Record a failed request, which stops new work at once."""
        self._evidence.record_failure(vm, now_s)


def make_serving_permits(
    evidence: table.EvidenceTable, switches: invariants.SafeguardSwitches
) -> EvidencePermits:
    """Return permits based on an evidence table."""
    return EvidencePermits(evidence, switches)
