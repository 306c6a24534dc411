"""What other slices put on the exchanges of membership."""

import abc

from redwingvalve.wire import messages

Exchange = messages.peer.Exchange


class ExchangeDelegate(abc.ABC):
    """Adds its part to each exchange and takes the other side's."""

    @abc.abstractmethod
    def ask(self, request: Exchange, peer_region: str) -> None:
        """Say in a question what this process has."""

    @abc.abstractmethod
    def answer(self, received: Exchange, reply: Exchange) -> None:
        """Give what the asker lacks and name what this process lacks."""

    @abc.abstractmethod
    def follow_up(
        self, received: Exchange, follow_up_message: Exchange
    ) -> bool:
        """Give what an answer named as lacking; False when nothing is."""

    @abc.abstractmethod
    def receive(
        self, received: Exchange, address: tuple[str, int], delay_s: float
    ) -> None:
        """Take what the other side gave, packed at most delay_s ago.

        delay_s is infinite when the message does not show it.
        """
