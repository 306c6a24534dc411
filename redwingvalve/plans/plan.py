"""A plan: what a declaration would change, stop or put at risk."""

import enum

import attrs

from redwingvalve.declaration import schema
from redwingvalve.replicas import shares


class ChangeKind(enum.StrEnum):
    """What happens to a replica or to a declared object."""

    FORMED = 'formed'
    CHANGED = 'changed'
    STOPPED = 'stopped'
    MOVED = 'moved'
    NOT_PLACED = 'not-placed'


class PlanState(enum.StrEnum):
    """A plan is decided once; only PROPOSED ones can change."""

    PROPOSED = 'proposed'
    CONFIRMED = 'confirmed'
    DISCARDED = 'discarded'


@attrs.frozen
class Change:
    """One change; count is a number of replicas, or 1 for an object."""

    kind: ChangeKind
    subject: str
    count: int
    details: str


@attrs.frozen
class Risk:
    """What may be unable to serve, for how long, at which price."""

    deployment: str
    replicas: int
    time_s: float
    price: float
    reason: str


@attrs.frozen
class SpareAdvice:
    """Spare VMs of a domain under the plan, and how many would pay.

    Prices are those of a minute in all domains, of idle spares and of downtime
    without them together: domains lend each other VMs for whole replicas.
    """

    domain: str
    spares: int
    advised: int
    price_per_minute: float
    advised_price_per_minute: float


@attrs.frozen
class Basis:
    """The versions that a plan was made from; it holds only with these.

    domain_fingerprints covers VMs and replicas but not leases, which move on
    their own every few seconds.
    """

    generation: int
    domain_fingerprints: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class Plan:
    """Everything that an operator reads before confirming."""

    name: str
    proposed_by: str
    proposed_at_s: float
    basis: Basis
    declaration: schema.Declaration
    allocation: shares.Allocation
    changes: tuple[Change, ...] = ()
    risks: tuple[Risk, ...] = ()
    spares: tuple[SpareAdvice, ...] = ()
    state: PlanState = PlanState.PROPOSED
    decided_by: str = ''


@attrs.frozen
class PlanOutdated:
    """The world moved, so the plan no longer holds; make another."""

    plan: str
    reason: str


@attrs.frozen
class PlanLost:
    """Another operator was faster; confirmed_by won with winning_plan."""

    plan: str
    confirmed_by: str
    winning_plan: str
    generation: int
    changes: tuple[str, ...] = ()


@attrs.frozen
class PlanDecided:
    """The plan was confirmed or discarded before."""

    plan: str
    state: str
    decided_by: str


@attrs.frozen
class PlanNotFound:
    """No plan has this name."""

    plan: str


@attrs.frozen
class StoreError:
    """The store gave no usable answer; unknown says what may have happened."""

    message: str
    maybe_applied: bool = False


PlanError = PlanOutdated | PlanLost | PlanDecided | PlanNotFound | StoreError
