"""Tells which statements of a head show that it serves no longer.

Load pattern: servers leave without notice while replicas are formed anew, so
that a head's entry goes in the moment in which the head opens. A report is some
hundred milliseconds old, and `ready` is also the state before a head opens:
taken for its end, it lets members join another replica while the head serves.

What can't be mistaken is the end of the process, a later epoch, and `broken`.
Any other report counts only if it is of a moment at which all orders to open
have been carried out. Orders that stayed unanswered may be carried out later
still: `departures.OrderedReplicas.may_open_late`.
"""

import math

import attrs

from redwingvalve.fleet import endpoints
from redwingvalve.ingress import routes
from redwingvalve.node import replica_spec
from redwingvalve.platform import endpoint_orders

# From the sending of an order to its execution, if it is answered at all, and
# for timers of a busy server that run late.
MAX_EXECUTION_DELAY_S = endpoint_orders.ORDER_TIMEOUT_S + 0.2
_MS_PER_S = 1000


@attrs.define(eq=False)
class OpenOrders:
    """When orders to open were sent, by the monotonic clock."""

    # Until the engine is configured, no order is sent.
    engine: routes.Engine | None = None
    _sent_s: dict[replica_spec.ReplicaKey, float] = attrs.field(factory=dict)

    def record(self, key: replica_spec.ReplicaKey, now_s: float) -> None:
        """Record that an order to open is sent."""
        self._sent_s[key] = now_s

    def settled_s(self, head: endpoints.Endpoint) -> float:
        """Return from when on a head's reports show whether it has opened."""
        if head.membership is None:
            return -math.inf
        sent_s = self._sent_s.get(head.membership.key)
        if sent_s is None or self.engine is None:
            return -math.inf
        lags_ms = self.engine.formation_ms + self.engine.report_lag_ms
        return sent_s + MAX_EXECUTION_DELAY_S + lags_ms / _MS_PER_S


def shows_stop(
    head: endpoints.Endpoint,
    report: endpoint_orders.Report | None,
    is_settled: bool,
) -> bool:
    """Return whether a report shows that a head doesn't serve its replica.

    is_settled: it was asked for after `OpenOrders.settled_s`.
    """
    if report is None or head.membership is None:
        return False
    if _is_certain(head, head.membership, report):
        return True
    return is_settled and not replica_spec.still_serves(head, report.membership)


def shows_departure(
    head: endpoints.Endpoint,
    report: endpoint_orders.Report,
    is_settled: bool,
) -> bool:
    """Return whether a report shows that a head has left its replica."""
    current = report.membership
    if current is not None and replica_spec.is_member(head, current.key):
        return False
    return shows_stop(head, report, is_settled)


def was_seen_serving(head: endpoints.Endpoint) -> bool:
    """Return whether an entry said that a head serves.

    Entries follow each other in order: a later one that says `ready` is about
    the time after that.
    """
    return replica_spec.still_serves(head, head.membership)


def _is_certain(
    head: endpoints.Endpoint,
    before: endpoints.Membership,
    report: endpoint_orders.Report,
) -> bool:
    # Servers without a start time answer under their id only.
    if report.born_ms not in {0, head.born_ms}:
        return True
    current = report.membership
    if current is None:
        return False
    if current.key == before.key:
        return current.state is endpoints.MemberState.BROKEN
    return current.epoch > before.epoch
