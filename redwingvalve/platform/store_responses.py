"""Writes listings and changes as the platform's store does.

Nodes that pass on what the store told them use the same form, so that a node
reads from either with one client. They add how old it is: the node that asks
is held to a bound on its own knowledge, whoever passed it on.

Pages between nodes are compressed: a configuration shrinks to a tenth, and a
VM with a link of 20 Mbit/s may pass it on to twenty others several times a
second.
"""

import json
import zlib

import attrs

from redwingvalve.platform import names, store

# The fastest: more effort saves little of such pages.
_LEVEL = 1
# What goes with each page.
HEADERS = (
    (b'content-type', b'application/json'),
    store.DEFLATED,
)


@attrs.frozen
class StoreQuery:
    """What is asked of a kind: all objects, or changes after a revision."""

    kind: str
    # None asks for all objects.
    after_revision: int | None
    wait_s: float


def parse_query(target: str) -> StoreQuery | None:
    """Return what a target asks for, or None if it isn't such a question."""
    path, _, query_text = target.partition('?')
    if not path.startswith(names.OBJECTS_PATH):
        return None
    query = dict(part.partition('=')[::2] for part in query_text.split('&'))
    after = query.get('watch', '')
    wait_ms = query.get('wait_ms', '')
    return StoreQuery(
        kind=path.removeprefix(names.OBJECTS_PATH),
        after_revision=int(after) if after.isdecimal() else None,
        wait_s=int(wait_ms) / 1000 if wait_ms.isdecimal() else 0,
    )


def encode_listing(listing: store.Listing) -> bytes:
    """Return all objects of a kind at a revision."""
    page = {
        'items': listing.objects,
        'has_more': False,
        'store_revision': listing.revision,
        'age_s': listing.age_s,
    }
    return _compressed(page)


def encode_changes(found: store.Changes) -> bytes:
    """Return changes and the revision to go on from."""
    events = [
        {'object': change.stored, 'deleted': change.is_removed}
        for change in found.changes
    ]
    page = {
        'events': events,
        'store_revision': found.revision,
        'age_s': found.age_s,
    }
    return _compressed(page)


def _compressed(page: store.Document) -> bytes:
    return zlib.compress(json.dumps(page).encode(), _LEVEL)
