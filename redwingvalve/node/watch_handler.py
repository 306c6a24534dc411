"""Interface for the receivers of a watch."""

import abc

from redwingvalve.platform import store


class WatchHandler(abc.ABC):
    """Receives the objects of one kind and their changes."""

    @abc.abstractmethod
    def on_list(self, listed: list[store.Document]) -> None:
        """Replace all objects of the kind with a listing."""

    @abc.abstractmethod
    def on_changes(self, changes: list[store.Change]) -> None:
        """Apply changes in order."""

    @abc.abstractmethod
    def on_unavailable(self) -> None:
        """Note that the store gives no usable answers."""
