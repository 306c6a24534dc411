"""Takes each new configuration from the store."""

import typing
from collections import abc as collections_abc

from redwingvalve.ingress import routes
from redwingvalve.ingress import state as state_module
from redwingvalve.node import watch_handler
from redwingvalve.observability import logs
from redwingvalve.platform import configuration as configuration_module
from redwingvalve.platform import names, store

LOG = logs.make_logger('configuration')
Taker: typing.TypeAlias = collections_abc.Callable[[routes.Configuration], None]


class ConfigurationFollower(watch_handler.WatchHandler):
    """Takes configurations, never an older one than is in force."""

    def __init__(self, state: state_module.IngressState, taker: Taker) -> None:
        """Tell the taker of each new version."""
        self._state = state
        self._taker = taker

    def on_list(self, listed: list[store.Document]) -> None:
        """Take what the store lists."""
        for stored in listed:
            self._take(stored)

    def on_changes(self, changes: list[store.Change]) -> None:
        """Take the newest of some changes."""
        for change in changes:
            if not change.is_removed:
                self._take(change.stored)

    def on_unavailable(self) -> None:
        """Go on with the configuration in force."""

    def _take(self, stored: store.Document) -> None:
        if stored['metadata']['name'] != names.CONFIGURATION_NAME:
            return
        try:
            found = configuration_module.decode_configuration(stored)
        except configuration_module.ConfigurationError as error:
            LOG.error('unusable configuration', extra={'error': str(error)})
            return
        known = self._state.configuration
        if known is not None and found.revision <= known.revision:
            return
        self._taker(found)
