"""What each controller waits for, told to all as news.

The controller that holds a domain's lease knows best why the domain does not
move on, above all while the store is away and nothing can be written; an
operator may ask any other controller.
"""

import json

from redwingvalve.control import loop
from redwingvalve.news import bus
from redwingvalve.process import dependencies as process_dependencies

PUBLISH_EVERY_S = 2.0
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
    """Tell, until cancelled, what this controller's domains wait for."""
    told: set[str] = set()
    while True:
        waiting = {
            status.domain: status.waiting_for
            for status in control_loop.status()
            if status.waiting_for
        }
        for domain in told - set(waiting):
            dependencies.node.news.publish(CHANNEL, domain, b'')
        for domain, reasons in waiting.items():
            dependencies.node.news.publish(CHANNEL, domain, _encode(reasons))
        told = set(waiting)
        await dependencies.clock.sleep(PUBLISH_EVERY_S)


def read(news: bus.NewsBus) -> list[str]:
    """Return a sentence for each domain that waits."""
    return sorted(
        f'{published.key} ({published.owner}): {_decode(published.body)}'
        for published in news.read(CHANNEL)
    )


def _encode(reasons: tuple[str, ...]) -> bytes:
    return json.dumps('; '.join(reasons)[:300]).encode()


def _decode(body: bytes) -> str:
    try:
        return str(json.loads(body))
    except ValueError:
        return 'unreadable'
