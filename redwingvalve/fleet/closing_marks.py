"""Remembers how replicas were seen to end: after their last answers, or not.

Load pattern: a head that has finished reports like one that was closed at once,
and joins another replica within milliseconds. One that has broken has finished
nothing, though it may be told to close then, and report that it does. One that
is told to leave while it closes cuts off what it hasn't finished.
"""

import enum
import typing

import attrs

from redwingvalve.fleet import endpoints

# Those that were marked first are forgotten first.
MAX_MARKS = 1_000
# Read for each entry of a listing.
_READY: typing.Final = endpoints.MemberState.READY
_CLOSING: typing.Final = endpoints.MemberState.CLOSING
_BROKEN: typing.Final = endpoints.MemberState.BROKEN
_Key: typing.TypeAlias = tuple[str, int]


class Past(enum.Enum):
    """What was seen of a replica before it stopped serving."""

    # It was not seen to close, as far as is known.
    UNKNOWN = 'unknown'
    CLOSING = 'closing'
    # It was ready again after it closed.
    FINISHED = 'finished'
    # It broke.
    CUT_OFF = 'cut off'


@attrs.define(eq=False)
class ClosingMarks:
    """The last replicas that each incarnation of a head closed, or broke."""

    _closing: dict[_Key, _Key] = attrs.field(factory=dict)
    _finished: dict[_Key, _Key] = attrs.field(factory=dict)
    _cut_off: dict[_Key, _Key] = attrs.field(factory=dict)

    def observe(self, endpoint: endpoints.Endpoint) -> None:
        """Mark an endpoint's replica if it closes, or if it was cut off."""
        membership = endpoint.membership
        if membership is None:
            return
        if membership.state is _BROKEN:
            _mark(self._cut_off, endpoint.incarnation, membership.key)
        if membership.state is _CLOSING:
            _mark(self._closing, endpoint.incarnation, membership.key)
            self._finished.pop(endpoint.incarnation, None)
            return
        # Most heads close nothing, and many nodes know of none that does.
        if self._closing:
            self._observe_after(endpoint.incarnation, membership)

    def past_of(self, incarnation: _Key, key: _Key) -> Past:
        """Return what was seen of an endpoint's replica."""
        if self._cut_off.get(incarnation) == key:
            return Past.CUT_OFF
        if self._closing.get(incarnation) != key:
            return Past.UNKNOWN
        if self._finished.get(incarnation) == key:
            return Past.FINISHED
        return Past.CLOSING

    def _observe_after(
        self, incarnation: _Key, membership: endpoints.Membership
    ) -> None:
        """Mark a replica that was closing if it is ready or open again."""
        if self._closing.get(incarnation) != membership.key:
            return
        if membership.state is _READY:
            _mark(self._finished, incarnation, membership.key)
        else:
            self._closing.pop(incarnation)
            self._finished.pop(incarnation, None)


def _mark(marks: dict[_Key, _Key], incarnation: _Key, key: _Key) -> None:
    if len(marks) >= MAX_MARKS:
        marks.pop(next(iter(marks)))
    marks[incarnation] = key
