"""Publishes what each controller waits for as news.

The controller that holds a domain's lease knows best why the domain makes no
progress, above all while the store is unavailable and nothing can be written;
an operator may ask any other controller.
"""

import json

from redwingvalve.control import loop
from redwingvalve.news import bus
from redwingvalve.process import dependencies as process_dependencies

PUBLISH_INTERVAL_S = 2.0
CHANNEL = bus.Channel(
    name='waits',
    scope=bus.Scope.EVERYWHERE,
    max_age_s=10.0,
    max_item_bytes=400,
)


async def publish(
    control_loop: loop.ControlLoop,
    dependencies: process_dependencies.ProcessDependencies,
) -> None:
    """Publish, until cancelled, what this controller's domains wait for."""
    published: set[str] = set()
    while True:
        waiting = {
            status.domain: status.waiting_for
            for status in control_loop.status()
            if status.waiting_for
        }
        for domain in published - set(waiting):
            dependencies.node.news.publish(CHANNEL, domain, b'')
        for domain, reasons in waiting.items():
            dependencies.node.news.publish(CHANNEL, domain, _encode(reasons))
        published = set(waiting)
        await dependencies.clock.sleep(PUBLISH_INTERVAL_S)


def read(news: bus.NewsBus) -> list[str]:
    """Return one line for each domain that waits, sorted."""
    return sorted(
        f'{item.key} ({item.owner}): {_decode(item.body)}'
        for item in news.read(CHANNEL)
    )


def _encode(reasons: tuple[str, ...]) -> bytes:
    return json.dumps('; '.join(reasons)[:300]).encode()


def _decode(body: bytes) -> str:
    try:
        return str(json.loads(body))
    except ValueError:
        return 'unreadable'
