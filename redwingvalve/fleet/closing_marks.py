"""Remembers which replicas were seen to close after their last answers.

Load pattern: a head that has finished reports like one that was closed at once,
and joins another replica within milliseconds. One that has broken has finished
nothing, though it may be told to close then, and report that it does.
"""

import typing

import attrs

from redwingvalve.fleet import endpoints

# Those that were marked first are forgotten first.
MAX_MARKS = 1_000
_Key: typing.TypeAlias = tuple[str, int]


@attrs.define(eq=False)
class ClosingMarks:
    """The last replicas that each incarnation of a head closed, or broke."""

    _closing: dict[_Key, _Key] = attrs.field(factory=dict)
    _broken: dict[_Key, _Key] = attrs.field(factory=dict)

    def observe(self, endpoint: endpoints.Endpoint) -> None:
        """Mark an endpoint's replica if it closes, or if it has broken."""
        membership = endpoint.membership
        if membership is None:
            return
        if membership.state is endpoints.MemberState.BROKEN:
            _mark(self._broken, endpoint.incarnation, membership.key)
        if membership.state is endpoints.MemberState.CLOSING:
            _mark(self._closing, endpoint.incarnation, membership.key)

    def has_broken(self, incarnation: _Key, key: _Key) -> bool:
        """Return whether an endpoint's replica was seen broken."""
        return self._broken.get(incarnation) == key

    def has(self, incarnation: _Key, key: _Key) -> bool:
        """Return whether an endpoint was seen to close a whole replica."""
        is_whole = not self.has_broken(incarnation, key)
        return is_whole and self._closing.get(incarnation) == key


def _mark(marks: dict[_Key, _Key], incarnation: _Key, key: _Key) -> None:
    if len(marks) >= MAX_MARKS:
        marks.pop(next(iter(marks)))
    marks[incarnation] = key
