"""Tells which statements of a head prove that it serves no longer.

Load pattern: servers leave without notice while replicas are formed anew, so
that a head's entry goes in the moment in which the head opens. A report is of
an earlier time, and nothing bounds by how much. `ready`, no replica and an
earlier replica are also what a head reported before it opened: taken for its
end, they let members join another replica while the head serves.

What can't be older than the opening is the end of the process, a later epoch,
and `broken`. Any other report is a claim. A head that makes one is ordered to
leave, which takes effect at once: its answer is proof, whatever it was doing.
"""

from redwingvalve.fleet import endpoints
from redwingvalve.node import replica_spec
from redwingvalve.platform import endpoint_orders


def proves_stop(
    head: endpoints.Endpoint, report: endpoint_orders.Report | None
) -> bool:
    """Return whether a report proves that a head doesn't serve its replica."""
    before = head.membership
    if report is None or before is None:
        return False
    # Servers without a start time answer under their id only.
    if report.born_ms not in {0, head.born_ms}:
        return True
    current = report.membership
    if current is None:
        return False
    if current.key == before.key:
        return current.state is endpoints.MemberState.BROKEN
    return current.epoch > before.epoch


def claims_stop(
    head: endpoints.Endpoint, report: endpoint_orders.Report | None
) -> bool:
    """Return whether a head says that it doesn't serve, now or at some time."""
    if report is None:
        return False
    return not replica_spec.still_serves(head, report.membership)


def was_seen_serving(head: endpoints.Endpoint) -> bool:
    """Return whether an entry said that a head serves.

    Entries follow each other in order: a later one that says `ready` is about
    the time after that.
    """
    return replica_spec.still_serves(head, head.membership)
