"""Tells whether a change is in force on all live entries; pure.

Entries publish the versions that they use. A change counts as in force only
once every live entry has published its version. An entry that can't be
reached is reported as missing; it removes itself from discovery while it
hears from no other member.
"""

import json
from collections import abc as collections_abc

import attrs

from redwingvalve.membership import members
from redwingvalve.news import bus

# Published after each change, and periodically well before max_age_s.
VERSIONS_CHANNEL = bus.Channel(
    name='configuration',
    scope=bus.Scope.REGION,
    max_age_s=60.0,
    max_item_bytes=400,
)
VERSIONS_KEY = 'versions'
REPUBLISH_INTERVAL_S = 20.0


@attrs.frozen
class InForce:
    """The live entries, and those on which the change is not in force."""

    entries: int
    missing: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Tell whether the change is in force on every live entry."""
        return not self.missing


def encode_versions(versions: collections_abc.Mapping[str, int]) -> bytes:
    """Encode the versions that an entry publishes."""
    return json.dumps(versions, separators=(',', ':')).encode()


def missing_entries(
    present: collections_abc.Iterable[members.Member],
    published: collections_abc.Iterable[bus.NewsItem],
    kind: str,
    version: int,
) -> InForce:
    """Return the live entries that have not published a version."""
    up_to_date = {
        (item.owner, item.owner_incarnation)
        for item in published
        if _decode_versions(item.body).get(kind, 0) >= version
    }
    live_entries = [
        member
        for member in present
        if member.role == 'entry'
        and member.state is not members.MemberState.DEAD
    ]
    behind = [
        member.name
        for member in live_entries
        if (member.name, member.incarnation) not in up_to_date
    ]
    return InForce(len(live_entries), tuple(sorted(behind)))


def merge(answers: collections_abc.Iterable[InForce]) -> InForce:
    """Combine the results of several regions."""
    parts = tuple(answers)
    behind = sorted(name for part in parts for name in part.missing)
    return InForce(sum(part.entries for part in parts), tuple(behind))


def _decode_versions(body: bytes) -> dict[str, int]:
    try:
        decoded = json.loads(body)
    except ValueError:
        return {}
    return decoded if isinstance(decoded, dict) else {}
