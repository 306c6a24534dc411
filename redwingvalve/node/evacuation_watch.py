"""Connects the watch of evacuations to the state that it feeds.

The kind has a time limit of its own, from the settings; without it, nothing is
watched. The watch goes through the same relays as those of other kinds.
"""

import typing
from collections import abc as collections_abc

from redwingvalve.fleet import evacuations as evacuations_module
from redwingvalve.node import kind_watch, watch_sources
from redwingvalve.node import status_exchange as status_exchange_module
from redwingvalve.platform import names, settings

_MS_IN_S = 1000.0
MakeSelector: typing.TypeAlias = collections_abc.Callable[
    [float], watch_sources.SourceSelector
]


def make_evacuations(bounds: settings.Bounds) -> evacuations_module.Evacuations:
    """Return the state of evacuations; disabled without a time limit."""
    limit_ms = bounds.evacuate_ms
    return evacuations_module.Evacuations(
        None if limit_ms is None else limit_ms / _MS_IN_S
    )


def make_watches(
    bounds: settings.Bounds,
    exchange: status_exchange_module.StatusExchange,
    make_selector: MakeSelector,
) -> list[kind_watch.KindWatch]:
    """Return the watch of evacuations, none without a time limit.

    make_selector takes the time limit in seconds.
    """
    if bounds.evacuate_ms is None:
        return []
    evacuations = exchange.table.evacuations
    selector = make_selector(bounds.evacuate_ms / _MS_IN_S)
    watch = kind_watch.KindWatch(
        names.EVACUATION_KIND, evacuations, selector.select
    )
    evacuations.watched_revision = lambda: watch.revision
    evacuations.refresh_now = watch.refresh_now
    evacuations.data_centres = lambda: _data_centres(exchange)
    return [watch]


def _data_centres(
    exchange: status_exchange_module.StatusExchange,
) -> set[str] | None:
    """Return the data centres of endpoints and nodes, None if not known."""
    registry, peers = exchange.registry, exchange.peers
    if not registry.is_synced:
        return None
    found = {endpoint.data_centre for endpoint in registry.usable()}
    found.update(peer.address.data_centre for peer in peers.known.values())
    return {*found, peers.local.data_centre}
