"""The fleet that a soak run attacks, behind one abstract base class."""

import abc

from redwingvalve.soak import comparing, schedule, work
from redwingvalve.standins import ledger


class Fleet(abc.ABC):
    """Entries, controllers and stand-ins, and the faults they can suffer."""

    @abc.abstractmethod
    def target(self) -> work.Target:
        """Return what the callers may ask for."""

    @abc.abstractmethod
    def entry_addresses(self) -> tuple[str, ...]:
        """Return the addresses that callers know from the start."""

    @abc.abstractmethod
    def api_addresses(self) -> tuple[str, ...]:
        """Return where administration APIs listen now."""

    @abc.abstractmethod
    def operator_bearer(self) -> str:
        """Return a token with the right to plan, confirm and drain."""

    @abc.abstractmethod
    def disturbed(self, entry: str, since_s: float) -> bool:
        """Tell whether a fault hit an entry at or after a wall time."""

    @abc.abstractmethod
    async def suffer(self, fault: schedule.Fault) -> str:
        """Begin a fault that ends by itself; return what was hit."""

    @abc.abstractmethod
    async def runs(self) -> list[ledger.LedgerEntry]:
        """Return the ledgers of all endpoints."""

    @abc.abstractmethod
    def leaving(self) -> tuple[comparing.Leaving, ...]:
        """Return which VMs were told to leave, and when."""
