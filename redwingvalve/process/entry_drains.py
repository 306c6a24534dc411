"""Operators' drains of entries, told to the entries as news.

Load pattern: a few drains a day, and 360 entries that must hear of them. Were
each entry to read the store for them, that alone would be a hundred reads a
second; two controllers read, and news carries the names.
"""

from collections import abc as collections_abc

from redwingvalve.administration import drains
from redwingvalve.news import bus
from redwingvalve.observability import logs
from redwingvalve.process import dependencies as process_dependencies
from redwingvalve.process import duty_assignment

TELL_EVERY_S = 2.0
LISTEN_EVERY_S = 0.5
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
    """Tell, until cancelled, which entries operators want drained."""
    told: set[str] = set()
    while True:
        if duty_assignment.is_mine(dependencies, CHANNEL.name):
            wanted = reader.entries
            if wanted is not None:
                told = _tell(dependencies.node.news, told, wanted)
        await dependencies.clock.sleep(TELL_EVERY_S)


async def follow(
    dependencies: process_dependencies.ProcessDependencies,
    leave: collections_abc.Callable[[], None],
) -> None:
    """Call leave once when this entry is to be drained.

    A member that has left does not come back under its incarnation, so that
    late news cannot make it look alive; it takes work again after a restart.
    """
    mine = dependencies.settings.node.name
    while not _is_wanted(dependencies.node.news, mine):
        await dependencies.clock.sleep(LISTEN_EVERY_S)
    LOGGER.info('An operator drains this entry.')
    leave()


def _tell(
    news: bus.NewsBus,
    told: set[str],
    wanted: dict[str, str],
) -> set[str]:
    for gone in told - set(wanted):
        news.publish(CHANNEL, gone, b'')
    for name, by in wanted.items():
        news.publish(CHANNEL, name, by.encode())
    return set(wanted)


def _is_wanted(news: bus.NewsBus, name: str) -> bool:
    return any(published.key == name for published in news.read(CHANNEL))
