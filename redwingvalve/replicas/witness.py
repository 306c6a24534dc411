"""What the entries tell a controller: whom they see, when they have stopped."""

import abc

from redwingvalve.replicas import domain as domain_module

# An entry takes a changed configuration into force within 4 s, and one that
# is cut off has lost its evidence or its place in discovery well before 15 s.
SENDERS_STOPPED_AFTER_S = 15.0


class Witness(abc.ABC):
    """The entries as a controller hears of them."""

    @abc.abstractmethod
    def seen_by_entries(self, vm: str, now_s: float) -> bool:
        """Tell whether an entry saw the VM within the last seconds."""

    @abc.abstractmethod
    def all_stopped(
        self,
        replica: domain_module.DomainReplica,
        draining_since_s: float,
        now_s: float,
    ) -> bool:
        """Tell whether no entry sends new work to a draining replica."""


class BoundedWitness(Witness):
    """Hears of no entry, and waits for the stated bound instead."""

    def seen_by_entries(self, vm: str, now_s: float) -> bool:
        """Know of no sighting."""
        return False

    def all_stopped(
        self,
        replica: domain_module.DomainReplica,
        draining_since_s: float,
        now_s: float,
    ) -> bool:
        """Wait until even an entry that was cut off has stopped."""
        return now_s - draining_since_s >= SENDERS_STOPPED_AFTER_S
