"""What a soak run found, and the journal of what it did."""

import enum
import time

import attrs

FEW_EVENTS = 12


class Guarantee(enum.StrEnum):
    """The promises of the product, each attacked by the soak run."""

    ANSWERED = 'every request gets one final answer'
    WHOLE_AND_OWN = 'every answer is whole and belongs to its request'
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
    """A promise that was broken; at_s is a wall time, subject what broke."""

    guarantee: Guarantee
    subject: str
    details: str
    at_s: float


@attrs.frozen
class Event:
    """Something that the run did or saw; at_s is a wall time."""

    at_s: float
    what: str


class Journal:
    """All events of a run in the order of their time."""

    def __init__(self) -> None:
        """Start now, empty."""
        self.started_s = time.time()
        self.events: list[Event] = []

    def note(self, what: str) -> None:
        """Keep an event that happens now."""
        self.events.append(Event(time.time(), what))

    def before(self, at_s: float) -> list[Event]:
        """Return the few events that led to a moment."""
        earlier = [event for event in self.events if event.at_s <= at_s]
        return earlier[-FEW_EVENTS:]
