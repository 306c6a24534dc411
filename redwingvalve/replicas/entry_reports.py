"""What entries report to a controller: ready VMs and stopped traffic."""

import abc

from redwingvalve.replicas import domain as domain_module

# An entry applies a changed configuration within 4 s. The evidence of an entry
# that is cut off has expired, or it has left discovery, well before 15 s.
SENDERS_STOP_TIMEOUT_S = 15.0


class EntryReports(abc.ABC):
    """Reports of the entries as received by one controller."""

    @abc.abstractmethod
    def last_seen_s(self, vm: str, now_s: float) -> float | None:
        """Return when an entry last saw the VM ready, if any did."""

    def is_isolated(self) -> bool:
        """Tell whether this process has lost contact with all its peers."""
        return False

    def confirms_ready(
        self, vm: str, replica: domain_module.DomainReplica, now_s: float
    ) -> bool:
        """Tell whether an entry recently saw the VM ready in this epoch."""
        return False

    @abc.abstractmethod
    def senders_stopped(
        self,
        replica: domain_module.DomainReplica,
        draining_since_s: float,
        now_s: float,
    ) -> bool:
        """Tell whether no entry sends new requests to a draining replica."""


class NoEntryReports(EntryReports):
    """Receives no reports and relies on SENDERS_STOP_TIMEOUT_S instead."""

    def last_seen_s(self, vm: str, now_s: float) -> float | None:
        """Return None: no entry reports."""

    def senders_stopped(
        self,
        replica: domain_module.DomainReplica,
        draining_since_s: float,
        now_s: float,
    ) -> bool:
        """Wait until even an entry that is cut off has stopped sending."""
        return now_s - draining_since_s >= SENDERS_STOP_TIMEOUT_S
