"""Interface for packages that add their data to membership exchanges."""

import abc

from redwingvalve.wire import messages

Exchange = messages.peer.Exchange


class ExchangeDelegate(abc.ABC):
    """Adds local state to each exchange and processes remote state."""

    @abc.abstractmethod
    def ask(self, request: Exchange, peer_region: str) -> None:
        """Add a digest of local state to a request."""

    @abc.abstractmethod
    def answer(self, received: Exchange, reply: Exchange) -> None:
        """Add to a reply what the requester lacks and what is lacking here."""

    @abc.abstractmethod
    def follow_up(
        self, received: Exchange, follow_up_message: Exchange
    ) -> bool:
        """Add what a reply asks for; return False if there is nothing."""

    @abc.abstractmethod
    def receive(
        self, received: Exchange, address: tuple[str, int], delay_s: float
    ) -> None:
        """Process the state in a message packed at most delay_s ago.

        delay_s is infinite if it can't be derived from the message.
        """
