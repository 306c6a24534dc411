"""Runtime invariants, and the safeguards that tests can disable.

Each guarantee of the product is asserted where it could be violated. A
safeguard has a name, so that a test can disable it and verify that the
violation is detected. Daemons reject disabled safeguards unless their settings
enable test mode.
"""

import contextlib
import enum
from collections import abc as collections_abc


class InvariantBreachError(AssertionError):
    """An invariant was violated; the process logs it and stops."""

    def __init__(self, invariant: str, details: str) -> None:
        """Name the invariant and describe the events that violated it."""
        super().__init__(f'{invariant}: {details}')
        self.invariant = invariant
        self.details = details


class Safeguard(enum.StrEnum):
    """Every safeguard that tests may disable, by the guarantee it enforces."""

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
    """The set of disabled safeguards; empty outside of tests."""

    def __init__(
        self, disabled: collections_abc.Iterable[Safeguard] = ()
    ) -> None:
        """Disable the given safeguards; for tests only."""
        self._disabled = frozenset(disabled)

    def enabled(self, safeguard: Safeguard) -> bool:
        """Return whether a safeguard is enabled."""
        return safeguard not in self._disabled


def require(holds: bool, invariant: str, details: str) -> None:
    """Raise InvariantBreachError unless the invariant holds."""
    if not holds:
        raise InvariantBreachError(invariant, details)


@contextlib.contextmanager
def unwrap_breaches() -> collections_abc.Iterator[None]:
    """Re-raise an InvariantBreachError out of its exception group.

    A task group wraps every exception in a group. A daemon stops on a breach,
    but would treat one inside a group like any other error.
    """
    try:
        yield
    except BaseExceptionGroup as group:
        breaches = group.subgroup(InvariantBreachError)
        if breaches is None:
            raise
        raise _first_leaf(breaches) from group


def _first_leaf(group: BaseException) -> BaseException:
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group
