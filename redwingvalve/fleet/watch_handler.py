"""Interface for the receivers of a watch."""

import abc
import functools
import typing
from collections import abc as collections_abc

from redwingvalve.core import steps
from redwingvalve.platform import store

# Applies what a watch has returned.
Apply: typing.TypeAlias = collections_abc.Callable[[], None]
_List = typing.TypeVar('_List')
_Changes = typing.TypeVar('_Changes')


class WatchHandler(abc.ABC):
    """Receives the objects of one kind and their changes."""

    @abc.abstractmethod
    def on_list(self, listed: list[store.Document]) -> None:
        """Replace all objects of the kind with a listing."""

    @abc.abstractmethod
    def on_changes(self, changes: list[store.Change]) -> None:
        """Apply changes in order."""

    async def prepare_list(self, listed: list[store.Document]) -> Apply:
        """Return what applies a listing; other tasks may run meanwhile."""
        return functools.partial(self.on_list, listed)

    async def prepare_changes(self, changes: list[store.Change]) -> Apply:
        """Return what applies changes, like prepare_list."""
        return functools.partial(self.on_changes, changes)

    @abc.abstractmethod
    def on_unavailable(self) -> None:
        """Note that the store gives no usable answers."""


class DecodingHandler(WatchHandler, typing.Generic[_List, _Changes]):
    """Decodes objects in steps, and applies all of them at once.

    For kinds with thousands of objects.
    """

    @abc.abstractmethod
    def decode_list(self, listed: list[store.Document]) -> steps.Steps[_List]:
        """Decode a listing."""

    @abc.abstractmethod
    def apply_list(self, decoded: _List) -> None:
        """Replace all objects of the kind with a decoded listing."""

    @abc.abstractmethod
    def decode_changes(
        self, changes: list[store.Change]
    ) -> steps.Steps[_Changes]:
        """Decode changes."""

    @abc.abstractmethod
    def apply_changes(self, decoded: _Changes) -> None:
        """Apply decoded changes in order."""

    def on_list(self, listed: list[store.Document]) -> None:
        """Replace all objects of the kind with a listing."""
        self.apply_list(steps.finish(self.decode_list(listed)))

    def on_changes(self, changes: list[store.Change]) -> None:
        """Apply changes in order."""
        self.apply_changes(steps.finish(self.decode_changes(changes)))

    async def prepare_list(self, listed: list[store.Document]) -> Apply:
        """Decode a listing; return what applies it."""
        decoded = await steps.run(self.decode_list(listed))
        return functools.partial(self.apply_list, decoded)

    async def prepare_changes(self, changes: list[store.Change]) -> Apply:
        """Decode changes; return what applies them."""
        decoded = await steps.run(self.decode_changes(changes))
        return functools.partial(self.apply_changes, decoded)
