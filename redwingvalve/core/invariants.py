"""Invariants asserted inside the program, and safeguards that tests disable.

Each promise of the product is asserted where it could break. A safeguard has
a name, so that a proof can switch it off and show that the breach is found;
daemons refuse such a switch unless their settings say that they are in a test.
"""

import contextlib
import enum
from collections import abc as collections_abc


class InvariantBreachError(AssertionError):
    """A promise of the product was broken; the process reports and stops."""

    def __init__(self, invariant: str, details: str) -> None:
        """Name the invariant and the events that broke it."""
        super().__init__(f'{invariant}: {details}')
        self.invariant = invariant
        self.details = details


class Safeguard(enum.StrEnum):
    """Every safeguard that a proof may disable, by the promise it keeps."""

    EVIDENCE_REQUIRED = 'evidence-required'
    DOMAIN_CONDITIONAL_WRITE = 'domain-conditional-write'
    ANSWER_IDENTITY = 'answer-identity'
    ANSWER_COMPLETENESS = 'answer-completeness'
    TRUTHFUL_NOT_RUN = 'truthful-not-run'
    RUN_AT_MOST_ONCE = 'run-at-most-once'
    LEAVING_EXCLUDED = 'leaving-excluded'
    DRAIN_BEFORE_STOP = 'drain-before-stop'
    CONFIGURATION_ONLY_RISES = 'configuration-only-rises'
    LEASE_CHECKED_BEFORE_ORDER = 'lease-checked-before-order'
    STATE_READ_BACK = 'state-read-back'
    POISON_REFUSED = 'poison-refused'


class SafeguardSwitches:
    """Which safeguards are off; outside of tests none is."""

    def __init__(
        self, disabled: collections_abc.Iterable[Safeguard] = ()
    ) -> None:
        """Disable the given safeguards; for tests and proofs only."""
        self._disabled = frozenset(disabled)

    def enabled(self, safeguard: Safeguard) -> bool:
        """Tell whether a safeguard is in force."""
        return safeguard not in self._disabled


def require(holds: bool, invariant: str, details: str) -> None:
    """Raise InvariantBreachError unless holds."""
    if not holds:
        raise InvariantBreachError(invariant, details)


@contextlib.contextmanager
def unwrap_breaches() -> collections_abc.Iterator[None]:
    """Raise a breach itself out of the group that a task group makes of it.

    A daemon stops on a breach; inside a group it would look like any error.
    """
    try:
        yield
    except BaseExceptionGroup as group:
        found = group.subgroup(InvariantBreachError)
        if found is None:
            raise
        raise _first(found) from group


def _first(group: BaseException) -> BaseException:
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group
