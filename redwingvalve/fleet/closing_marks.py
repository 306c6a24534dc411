"""Remembers which replicas were seen to close after their last answers.

Load pattern: a head that has finished reports like one that was closed at once,
and joins another replica within milliseconds.
"""

import attrs

from redwingvalve.fleet import endpoints

# Those that were marked first are forgotten first.
MAX_CLOSING = 1_000


@attrs.define(eq=False)
class ClosingMarks:
    """The last replica that each incarnation of a head was closing."""

    _keys: dict[tuple[str, int], tuple[str, int]] = attrs.field(factory=dict)

    def observe(self, endpoint: endpoints.Endpoint) -> None:
        """Mark an endpoint's replica if it closes; unmark one that broke."""
        membership = endpoint.membership
        if membership is None:
            return
        if membership.state is endpoints.MemberState.BROKEN:
            self._keys.pop(endpoint.incarnation, None)
        if membership.state is not endpoints.MemberState.CLOSING:
            return
        if len(self._keys) >= MAX_CLOSING:
            self._keys.pop(next(iter(self._keys)))
        self._keys[endpoint.incarnation] = membership.key

    def has(self, incarnation: tuple[str, int], key: tuple[str, int]) -> bool:
        """Return whether an endpoint was seen to close a replica."""
        return self._keys.get(incarnation) == key
