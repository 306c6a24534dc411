"""Holds suspicions back until this node is known not to be cut off.

A node that has lost its links to all endpoints suspects each of them. If it
told the others, endpoints that serve well would go out of use everywhere. So a
suspicion is shared once this node has connected to any endpoint after it, and
withdrawn if none can be reached.
"""

import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import serving
from redwingvalve.ingress import reachability
from redwingvalve.observability import logs

LOG = logs.make_logger('suspicions')


@attrs.define(eq=False)
class SuspicionSharing(reachability.ReachObserver):
    """Decides which of this node's suspicions other nodes are told of."""

    table: serving.ServingTable
    reach: reachability.EndpointReach
    # Called when a suspicion may be shared.
    on_confirmed: typing.Callable[[serving.Suspicion], None]
    _held: dict[str, serving.Suspicion] = attrs.field(factory=dict)

    def add(self, suspicion: serving.Suspicion) -> None:
        """Hold a new suspicion back until the links have been checked."""
        if self.reach.is_cut_off:
            self.table.clear_suspicion(suspicion.endpoint_id)
            return
        self._held[suspicion.endpoint_id] = suspicion
        self.reach.request_check()

    def confirmed(
        self, suspicions: collections_abc.Iterable[serving.Suspicion]
    ) -> list[serving.Suspicion]:
        """Return the suspicions that aren't held back."""
        return [one for one in suspicions if one.endpoint_id not in self._held]

    def reach_checked(self, began_s: float, *, is_cut_off: bool) -> None:
        """Share or withdraw the suspicions that the check can judge."""
        if is_cut_off:
            self._withdraw_all()
            return
        judged = [one for one in self._held.values() if one.since_s <= began_s]
        for suspicion in judged:
            self._held.pop(suspicion.endpoint_id)
            self.on_confirmed(suspicion)
        if self._held:
            self.reach.request_check()

    def _withdraw_all(self) -> None:
        withdrawn = list(self._held)
        self._held.clear()
        for endpoint_id in withdrawn:
            self.table.clear_suspicion(endpoint_id)
        if withdrawn:
            LOG.info('suspicions withdrawn', extra={'endpoints': withdrawn})
