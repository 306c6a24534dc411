"""Applies each new configuration that the store announces."""

import typing
from collections import abc as collections_abc

from redwingvalve.fleet import watch_handler
from redwingvalve.ingress import routes
from redwingvalve.ingress import state as state_module
from redwingvalve.observability import logs
from redwingvalve.platform import configuration as configuration_module
from redwingvalve.platform import names, store

LOG = logs.make_logger('configuration')
ConfigurationCallback: typing.TypeAlias = collections_abc.Callable[
    [routes.Configuration], None
]


class ConfigurationHandler(watch_handler.WatchHandler):
    """Applies configurations, never one older than the one in force."""

    def __init__(
        self,
        state: state_module.IngressState,
        on_configuration: ConfigurationCallback,
    ) -> None:
        """Call on_configuration with each newer configuration."""
        self._state = state
        self._on_configuration = on_configuration

    def on_list(self, listed: list[store.Document]) -> None:
        """Apply the configuration in a full listing."""
        for stored in listed:
            self._apply_if_newer(stored)

    def on_changes(self, changes: list[store.Change]) -> None:
        """Apply changes in order; removing the configuration has no effect."""
        for change in changes:
            if not change.is_removed:
                self._apply_if_newer(change.stored)

    def on_unavailable(self) -> None:
        """Do nothing: the configuration in force stays."""

    def _apply_if_newer(self, stored: store.Document) -> None:
        if store.name_of(stored) != names.CONFIGURATION_NAME:
            return
        try:
            found = configuration_module.decode_configuration(stored)
        except configuration_module.ConfigurationError as error:
            LOG.error('unusable configuration', extra={'error': str(error)})
            return
        current = self._state.configuration
        if current is not None and found.revision <= current.revision:
            return
        self._on_configuration(found)
