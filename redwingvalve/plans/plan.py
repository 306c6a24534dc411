"""Plans: the changes, stops and risks that a declaration implies."""

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
    """The state of a plan; only PROPOSED plans can still be decided."""

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
    """Replicas that may be unable to serve, for how long, and the cost."""

    deployment: str
    replicas: int
    time_s: float
    price: float
    reason: str


@attrs.frozen
class SpareAdvice:
    """Spare VMs of a domain under the plan, and the most economic number.

    Prices are per minute over all domains, since domains lend each other VMs
    for whole replicas. They add the cost of idle spares to the cost of the
    downtime that missing spares cause.
    """

    domain: str
    spares: int
    advised: int
    price_per_minute: float
    advised_price_per_minute: float


@attrs.frozen
class Basis:
    """The versions that a plan was made from.

    domain_fingerprints covers VMs and replicas but not leases, which change
    every few seconds without any effect on the plan.
    """

    generation: int
    domain_fingerprints: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class Plan:
    """A plan with everything that an operator reviews before confirming."""

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
    """The fleet changed so that the plan no longer applies."""

    plan: str
    reason: str


@attrs.frozen
class PlanLost:
    """Another plan, winning_plan of confirmed_by, was confirmed first."""

    plan: str
    confirmed_by: str
    winning_plan: str
    generation: int
    changes: tuple[str, ...] = ()


@attrs.frozen
class PlanDecided:
    """The plan has already been confirmed or discarded."""

    plan: str
    state: str
    decided_by: str


@attrs.frozen
class PlanNotFound:
    """There is no plan with this name."""

    plan: str


@attrs.frozen
class StoreError:
    """The store failed; maybe_applied if a write may have taken effect."""

    message: str
    maybe_applied: bool = False


PlanError = PlanOutdated | PlanLost | PlanDecided | PlanNotFound | StoreError
