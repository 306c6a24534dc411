"""Whether a change is in force on every live entry, and who lacks it.

Pure. An entry says which versions it serves by; a change counts as in force
only when every live entry has said so. One that can't be reached is named: it
takes itself out of discovery when it hears from nobody.
"""

import json
from collections import abc as collections_abc

import attrs

from redwingvalve.membership import members
from redwingvalve.news import bus

# Said again well before it is too old, and at once after each change.
VERSIONS_CHANNEL = bus.Channel(
    name='configuration',
    scope=bus.Scope.REGION,
    max_age_s=60.0,
    max_item_bytes=400,
)
VERSIONS_KEY = 'versions'
REPEAT_S = 20.0


@attrs.frozen
class InForce:
    """The answer: in force when no live entry is missing it."""

    entries: int
    missing: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Tell whether every live entry has said that it has the change."""
        return not self.missing


def pack_versions(versions: collections_abc.Mapping[str, int]) -> bytes:
    """Return what an entry says of its versions."""
    return json.dumps(versions, separators=(',', ':')).encode()


def missing_entries(
    present: collections_abc.Iterable[members.Member],
    said: collections_abc.Iterable[bus.NewsItem],
    kind: str,
    version: int,
) -> InForce:
    """Name the entries that have not said that they have a version."""
    having = {
        (item.owner, item.owner_incarnation)
        for item in said
        if _versions(item.body).get(kind, 0) >= version
    }
    live = [
        member
        for member in present
        if member.role == 'entry'
        and member.state is not members.MemberState.DEAD
    ]
    lacking = [
        member.name
        for member in live
        if (member.name, member.incarnation) not in having
    ]
    return InForce(len(live), tuple(sorted(lacking)))


def merge(answers: collections_abc.Iterable[InForce]) -> InForce:
    """Return the answer for several regions together."""
    parts = tuple(answers)
    lacking = sorted(name for part in parts for name in part.missing)
    return InForce(sum(part.entries for part in parts), tuple(lacking))


def _versions(body: bytes) -> dict[str, int]:
    try:
        read = json.loads(body)
    except ValueError:
        return {}
    return read if isinstance(read, dict) else {}
