"""Remembers replicas as last seen with all members.

Load pattern: entries of members expire while the store is out of reach, and
their replicas still serve. What is known of the missing members decides whether
the replica may be used.
"""

from collections import abc as collections_abc

import attrs

from redwingvalve.fleet import endpoints, evacuations


@attrs.define(eq=False)
class CompleteReplicas:
    """Replicas with all members, by name and epoch."""

    _evacuations: evacuations.Evacuations
    _known: dict[tuple[str, int], endpoints.Replica] = attrs.field(factory=dict)

    def find(self, key: tuple[str, int]) -> endpoints.Replica | None:
        """Return a replica with all members, None if it was never seen so."""
        return self._known.get(key)

    def is_evacuated(self, key: tuple[str, int]) -> bool:
        """Return whether any member of a replica is being evacuated."""
        if not self._evacuations.is_any_evacuated:
            return False
        known = self._known.get(key)
        return known is not None and any(
            self._evacuations.is_evacuated(member.data_centre)
            for member in known.members
        )

    def usable(
        self,
        observed: endpoints.Replica,
        size: int,
        by_id: collections_abc.Container[str],
    ) -> endpoints.Replica | None:
        """Return the replica if all its members may still serve, or None.

        by_id holds the ids of all usable endpoints. A member whose entry has
        only expired may be alive and cut off from the store; the replica is
        used until its head stalls. A member that reports another replica, or
        that has restarted, is lost for good.
        """
        if len(observed.members) == size:
            self._known[observed.key] = observed
            return observed
        known = self._known.get(observed.key)
        if known is None or observed.head is None:
            return None
        present = {member.endpoint_id for member in observed.members}
        for member in known.members:
            if member.endpoint_id in present:
                continue
            if member.endpoint_id in by_id or member.draining:
                # It stays lost once its entry lapses as well.
                self._known.pop(observed.key)
                return None
        return observed
