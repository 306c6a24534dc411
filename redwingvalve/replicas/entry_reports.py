"""What the entries tell a controller: whom they see, when they have stopped."""

import abc

from redwingvalve.replicas import domain as domain_module

# An entry takes a changed configuration into force within 4 s, and one that
# is cut off has lost its evidence or its place in discovery well before 15 s.
SENDERS_STOP_TIMEOUT_S = 15.0


class EntryReports(abc.ABC):
    """The entries as a controller hears of them."""

    @abc.abstractmethod
    def last_seen_s(self, vm: str, now_s: float) -> float | None:
        """Return when an entry last saw the VM ready, if any did."""

    def is_isolated(self) -> bool:
        """Tell whether this process has heard from nobody for too long."""
        return False

    def confirms_ready(
        self, vm: str, replica: domain_module.DomainReplica, now_s: float
    ) -> bool:
        """Tell whether an entry lately saw the VM ready in this epoch."""
        return False

    @abc.abstractmethod
    def senders_stopped(
        self,
        replica: domain_module.DomainReplica,
        draining_since_s: float,
        now_s: float,
    ) -> bool:
        """Tell whether no entry sends new work to a draining replica."""


class NoEntryReports(EntryReports):
    """Hears of no entry, and waits for the stated bound instead."""

    def last_seen_s(self, vm: str, now_s: float) -> float | None:
        """Know of no sighting."""

    def senders_stopped(
        self,
        replica: domain_module.DomainReplica,
        draining_since_s: float,
        now_s: float,
    ) -> bool:
        """Wait until even an entry that was cut off has stopped."""
        return now_s - draining_since_s >= SENDERS_STOP_TIMEOUT_S
