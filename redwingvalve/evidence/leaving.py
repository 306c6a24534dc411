"""VMs that leave, told to the entries without the store.

Load pattern: 650 VMs a day are replaced, and each must get no new work within
seconds of the platform's list showing it as leaving. The way through the domain
object needs the store; while it is silent a leaving VM would go on getting work
until it is gone, and the requests that it then runs break off. Two controllers
tell what the list shows as news; entries stop at once, and the drain itself is
written down when the store answers again.
"""

import json
from collections import abc as collections_abc

from redwingvalve.news import bus

# A controller that dies must not make a leaving VM look live again before
# another has taken its duty over.
CHANNEL = bus.Channel(
    name='leaving',
    scope=bus.Scope.REGION,
    max_age_s=30.0,
    max_item_bytes=16_000,
    urgent=True,
)
KEY = 'vms'
MAX_VMS = 300


def publish(
    news: bus.NewsBus,
    leaving: collections_abc.Iterable[str],
    published: frozenset[str],
) -> frozenset[str]:
    """Publish which VMs leave; return what is now told.

    The same word is repeated, so that it does not grow too old. More than
    MOST_VMS leaving at once is the loss of a data centre, which evidence and
    healing answer; the item keeps its size.
    """
    listed = frozenset(sorted(leaving)[:MAX_VMS])
    if listed or published:
        body = json.dumps(sorted(listed)).encode() if listed else b''
        news.publish(CHANNEL, KEY, body)
    return listed


def read(news: bus.NewsBus) -> frozenset[str]:
    """Return the VMs that any controller says are leaving."""
    return frozenset(
        name
        for published in news.read(CHANNEL)
        for name in _names(published.body)
    )


def _names(body: bytes) -> list[str]:
    try:
        listed = json.loads(body)
    except ValueError:
        return []
    return [str(name) for name in listed] if isinstance(listed, list) else []
