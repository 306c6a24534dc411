"""Writes listings and changes as the platform's store does.

Nodes that pass on what the store told them use the same form, so that a node
reads from either with one client.
"""

import json
import typing

import attrs

from redwingvalve.platform import names, store


@attrs.frozen
class PageRequest:
    """What is asked of a kind: all objects, or changes after a revision."""

    kind: str
    # None asks for all objects.
    after_revision: int | None
    wait_s: float


def read_request(target: str) -> PageRequest | None:
    """Return what a target asks for, or None if it isn't such a question."""
    path, _, query_text = target.partition('?')
    if not path.startswith(names.OBJECTS_PATH):
        return None
    query = dict(part.partition('=')[::2] for part in query_text.split('&'))
    after = query.get('watch', '')
    wait_ms = query.get('wait_ms', '')
    return PageRequest(
        kind=path.removeprefix(names.OBJECTS_PATH),
        after_revision=int(after) if after.isdecimal() else None,
        wait_s=int(wait_ms) / 1000 if wait_ms.isdecimal() else 0,
    )


def write_listing(objects: typing.Iterable[store.Document], at: int) -> bytes:
    """Return all objects of a kind at a revision."""
    page = {
        'items': list(objects),
        'has_more': False,
        'store_revision': at,
    }
    return json.dumps(page).encode()


def write_changes(found: store.Changes) -> bytes:
    """Return changes and the revision to go on from."""
    events = [
        {'object': change.stored, 'deleted': change.is_removed}
        for change in found.changes
    ]
    page = {'events': events, 'store_revision': found.revision}
    return json.dumps(page).encode()
