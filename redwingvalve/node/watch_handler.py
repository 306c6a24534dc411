"""What is told of the objects of a kind."""

import abc

from redwingvalve.platform import store


class WatchHandler(abc.ABC):
    """What is told of a kind's objects."""

    @abc.abstractmethod
    def on_list(self, listed: list[store.Document]) -> None:
        """Take all objects of the kind."""

    @abc.abstractmethod
    def on_changes(self, changes: list[store.Change]) -> None:
        """Take changes in their order."""

    @abc.abstractmethod
    def on_unavailable(self) -> None:
        """Note that the store gives no usable answers."""
