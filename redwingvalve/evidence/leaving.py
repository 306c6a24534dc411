"""Announces leaving VMs to the entries without the store.

Load pattern: 650 VMs a day are replaced, and each must receive no new work
within seconds after the platform's VM list shows it as leaving. The regular
path through the domain object needs the store. While that is unavailable, a
leaving VM would continue to receive work until it stops, and its requests
would be cut off. Two controllers therefore publish the leaving VMs as news;
entries stop sending at once, and the drain itself is stored when the store is
available again.
"""

import json
from collections import abc as collections_abc

from redwingvalve.news import bus

# Long enough that, when a controller dies, another one takes over before a
# leaving VM appears to be serving again.
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
    """Publish which VMs leave; return the published set.

    Callers repeat this even without a change, so that the item doesn't expire.
    More than MAX_VMS leaving VMs mean the loss of a data centre, which is
    handled by evidence and healing; the limit bounds the item size.
    """
    listed = frozenset(sorted(leaving)[:MAX_VMS])
    if listed or published:
        body = json.dumps(sorted(listed)).encode() if listed else b''
        news.publish(CHANNEL, KEY, body)
    return listed


def read(news: bus.NewsBus) -> frozenset[str]:
    """Return the VMs that any controller reports as leaving."""
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
