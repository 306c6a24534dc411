"""Guarantees, their violations and the event log of a soak run."""

import enum
import time

import attrs

FEW_EVENTS = 12


class Guarantee(enum.StrEnum):
    """The guarantees of the system that a soak run checks."""

    ANSWERED = 'every request gets one final answer'
    WHOLE_AND_OWN = 'every answer is whole and belongs to its request'
    ORDER = 'what a broken stream delivered is the start of its answer'
    NOT_RUN = 'a request called not-run was not run'
    AT_MOST_ONCE = 'a non-idempotent request runs at most once'
    NO_VM_MISSING = 'no replica serves while one of its VMs is missing'
    VM_IN_ONE = 'no VM belongs to two replicas'
    LEAVING = 'a leaving endpoint receives no new work'
    PLANNED_STOP = 'a planned stop cuts off no request'
    CONFIGURATION = 'an accepted configuration never reverts'
    POISON = 'a poison request kills at most two endpoints'
    INVARIANT = 'the invariants asserted inside the program hold'
    RACE = 'of two racing operators exactly one wins'


@attrs.frozen
class Breach:
    """A violated guarantee: what violated it, and the wall-clock time."""

    guarantee: Guarantee
    subject: str
    details: str
    at_s: float


@attrs.frozen
class Event:
    """An action or observation of the run; at_s is wall-clock time."""

    at_s: float
    what: str


class Journal:
    """The event log of a run, in chronological order."""

    def __init__(self) -> None:
        """Create an empty log that starts now."""
        self.started_s = time.time()
        self.events: list[Event] = []

    def note(self, what: str) -> None:
        """Append an event with the current time."""
        self.events.append(Event(time.time(), what))

    def before(self, at_s: float) -> list[Event]:
        """Return the last events up to a point in time."""
        earlier = [event for event in self.events if event.at_s <= at_s]
        return earlier[-FEW_EVENTS:]
