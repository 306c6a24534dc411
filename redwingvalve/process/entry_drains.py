"""Publishes operators' drains of entries to the entries as news.

Load pattern: a few drains a day, which 360 entries must learn of. If each entry
read them from the store, that alone would be a hundred reads a second; two
controllers read the store instead and publish the names as news.
"""

from collections import abc as collections_abc

from redwingvalve.administration import drains
from redwingvalve.news import bus
from redwingvalve.observability import logs
from redwingvalve.process import dependencies as process_dependencies
from redwingvalve.process import duty_assignment

PUBLISH_INTERVAL_S = 2.0
READ_INTERVAL_S = 0.5
LOGGER = logs.make_logger('drains')
CHANNEL = bus.Channel(
    name='entry-drains',
    scope=bus.Scope.EVERYWHERE,
    max_age_s=10.0,
    max_item_bytes=100,
)


async def publish(
    dependencies: process_dependencies.ProcessDependencies,
    reader: drains.DrainReader,
) -> None:
    """Publish, until cancelled, the entries that operators drain."""
    published: set[str] = set()
    while True:
        if duty_assignment.is_assigned(dependencies, CHANNEL.name):
            drains_by_entry = reader.entries
            if drains_by_entry is not None:
                published = _publish_changes(
                    dependencies.node.news, published, drains_by_entry
                )
        await dependencies.clock.sleep(PUBLISH_INTERVAL_S)


async def follow(
    dependencies: process_dependencies.ProcessDependencies,
    leave: collections_abc.Callable[[], None],
) -> None:
    """Wait until an operator drains this entry, then call leave once.

    A member that has left does not rejoin under the same incarnation, so that
    delayed news cannot make it look alive; it takes work again after a restart.
    """
    own_name = dependencies.settings.node.name
    while not _is_drained(dependencies.node.news, own_name):
        await dependencies.clock.sleep(READ_INTERVAL_S)
    LOGGER.info('An operator drains this entry.')
    leave()


def _publish_changes(
    news: bus.NewsBus,
    published: set[str],
    drains_by_entry: dict[str, str],
) -> set[str]:
    for undrained in published - set(drains_by_entry):
        news.publish(CHANNEL, undrained, b'')
    for name, by in drains_by_entry.items():
        news.publish(CHANNEL, name, by.encode())
    return set(drains_by_entry)


def _is_drained(news: bus.NewsBus, name: str) -> bool:
    return any(item.key == name for item in news.read(CHANNEL))
