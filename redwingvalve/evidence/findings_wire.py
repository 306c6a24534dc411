"""Findings as they travel on the board of news.

A prober publishes one item for each replica that it probes: how old each
member's sighting is, in milliseconds. Ages and not times are sent, since the
clocks of two processes have nothing in common; the board adds the time spent
on the way.
"""

import json
from collections import abc as collections_abc

import attrs

from redwingvalve.evidence import table
from redwingvalve.news import board

CHANNEL = board.Channel(
    name='evidence',
    reach=board.Reach.REGION,
    max_age_s=table.MAX_AGE_S,
    max_item_bytes=8192,
)
MS_PER_S = 1000
NOT_SEEN = -1


@attrs.frozen
class MemberFinding:
    """One member: its age when published, or NOT_SEEN."""

    vm: str
    incarnation: str
    age_ms: int


@attrs.frozen
class ReplicaFinding:
    """What one prober found of one replica."""

    replica: str
    epoch: int
    model: str
    version: str
    members: tuple[MemberFinding, ...]


def encode(finding: ReplicaFinding) -> bytes:
    """Return the body of a news item; fields stand by position."""
    return json.dumps(
        [
            finding.replica,
            finding.epoch,
            finding.model,
            finding.version,
            [attrs.astuple(member) for member in finding.members],
        ],
        separators=(',', ':'),
    ).encode()


def decode(body: bytes) -> ReplicaFinding | None:
    """Return the finding, or None when it cannot be read."""
    try:
        *named, members = json.loads(body)
        found = tuple(MemberFinding(*member) for member in members)
        return ReplicaFinding(*named, found)
    except (ValueError, TypeError):
        return None


def sightings(
    finding: ReplicaFinding, age_s: float, now_s: float
) -> collections_abc.Iterator[table.Seen]:
    """Return the sightings of a finding that is age_s old."""
    for member in finding.members:
        if member.age_ms == NOT_SEEN:
            continue
        yield table.Seen(
            vm=member.vm,
            replica=finding.replica,
            epoch=finding.epoch,
            incarnation=member.incarnation,
            model=finding.model,
            version=finding.version,
            seen_s=now_s - age_s - member.age_ms / MS_PER_S,
        )
