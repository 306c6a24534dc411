"""Encodes listings and changes in the format of the platform's store.

Nodes that relay the store's data to other nodes use the store's format, so
that one client can read from either. They add the age of the data: the
requesting node must bound the age of what it knows, whichever node relayed it.

Pages sent between nodes are compressed: compression shrinks a configuration
to a tenth, and a VM with a 20 Mbit/s link may have to send it to twenty other
nodes several times a second.
"""

import json
import zlib

import attrs

from redwingvalve.core import steps
from redwingvalve.platform import json_answers, names, store

# The fastest level: higher levels make these pages hardly any smaller.
_COMPRESSION_LEVEL = 1
_STEP_ELEMENTS = 64
# Headers of every response.
HEADERS = (
    (b'content-type', b'application/json'),
    json_answers.DEFLATE_HEADER,
)


@attrs.frozen
class StoreQuery:
    """A list or watch request for a kind."""

    kind: str
    # None requests all objects.
    after_revision: int | None
    wait_s: float


def parse_query(target: str) -> StoreQuery | None:
    """Parse a request target; None if it is not a list or watch request."""
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


def encode_listing(listing: store.Listing) -> steps.Steps[bytes]:
    """Encode all objects of a kind at a revision."""
    rest = {
        'has_more': False,
        'store_revision': listing.revision,
        'age_s': listing.age_s,
    }
    return _compressed('items', listing.objects, rest)


def encode_changes(batch: store.Changes) -> steps.Steps[bytes]:
    """Encode changes and the revision to watch from next."""
    events = [
        {'object': change.stored, 'deleted': change.is_removed}
        for change in batch.changes
    ]
    rest = {'store_revision': batch.revision, 'age_s': batch.age_s}
    return _compressed('events', events, rest)


def _compressed(
    key: str, elements: list[store.Document], rest: store.Document
) -> steps.Steps[bytes]:
    """Return the compressed page; a step encodes some of its elements."""
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    page = [compressor.compress(f'{{"{key}": ['.encode())]
    separator = ''
    for start in range(0, len(elements), _STEP_ELEMENTS):
        part = json.dumps(elements[start : start + _STEP_ELEMENTS])
        page.append(compressor.compress(f'{separator}{part[1:-1]}'.encode()))
        separator = ', '
        yield
    # The fields behind the elements follow in the same object.
    end = f'], {json.dumps(rest)[1:]}'
    page.extend((compressor.compress(end.encode()), compressor.flush()))
    return b''.join(page)
