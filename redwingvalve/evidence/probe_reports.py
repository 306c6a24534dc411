"""Findings as they travel on the board of news: one item for each prober.

Load pattern: at the size to come a prober has 13 replicas and tells 72 members
of its region every 0.7 s. As one JSON item of 190 bytes for each replica that
was 350 KB a second to each member, against a budget of 20. Here a replica is
6 bytes that stand for its name and epoch, two for its load and one byte for
each member's age;
the reader knows names, epochs and members from its configuration.

Ages and not times are sent, since the clocks of two processes have nothing in
common; the board adds the time spent on the way.
"""

import math
import struct
from collections import abc as collections_abc

import attrs
import xxhash

from redwingvalve.configuration import snapshot
from redwingvalve.evidence import table
from redwingvalve.news import bus

CHANNEL = bus.Channel(
    name='evidence',
    scope=bus.Scope.REGION,
    max_age_s=table.MAX_AGE_S,
    max_item_bytes=8192,
)
# 48 bits: among 480 replicas of a region two share them once in two billion
# epochs, and then both would have to be probed by the same two entries.
MARK_BYTES = 6
HEAD = struct.Struct(f'!{MARK_BYTES}sHB')
MOST_IN_FLIGHT = 65_535
AGE_UNIT_S = 0.02
NOT_SEEN = 255
REPLICAS_PER_ITEM = 200


@attrs.frozen
class ReplicaFinding:
    """What one prober found: ages in AGE_UNIT_S or NOT_SEEN, head first.

    in_flight is the head's count of requests, which serves routing as load.
    """

    mark: bytes
    ages: bytes
    in_flight: int = 0


def fingerprint_of(replica: snapshot.Replica) -> bytes:
    """Return the bytes that stand for a replica's name and epoch."""
    named = f'{replica.name}\0{replica.epoch}'.encode()
    return xxhash.xxh3_64_digest(named)[:MARK_BYTES]


def age_code(age_s: float | None) -> int:
    """Return the byte for an age; rounded up, so that none grows younger."""
    if age_s is None:
        return NOT_SEEN
    return min(math.ceil(age_s / AGE_UNIT_S), NOT_SEEN)


def encode(findings: collections_abc.Iterable[ReplicaFinding]) -> bytes:
    """Return the body of one news item."""
    parts = []
    for finding in findings:
        in_flight = min(finding.in_flight, MOST_IN_FLIGHT)
        parts.append(HEAD.pack(finding.mark, in_flight, len(finding.ages)))
        parts.append(finding.ages)
    return b''.join(parts)


def decode(body: bytes) -> tuple[ReplicaFinding, ...]:
    """Return the findings up to the first part that cannot be read."""
    found = []
    start = 0
    while start + HEAD.size <= len(body):
        mark, in_flight, count = HEAD.unpack_from(body, start)
        start += HEAD.size
        ages = body[start : start + count]
        if len(ages) < count:
            break
        found.append(ReplicaFinding(mark, ages, in_flight))
        start += count
    return tuple(found)


def sightings(
    published: collections_abc.Iterable[bus.NewsItem],
    replicas: collections_abc.Iterable[snapshot.Replica],
    now_s: float,
) -> collections_abc.Iterator[table.Seen]:
    """Return what the items say of the replicas that this process knows."""
    known = {fingerprint_of(replica): replica for replica in replicas}
    for news in published:
        for finding in decode(news.body):
            replica = known.get(finding.mark)
            if replica is None or len(finding.ages) != len(replica.members):
                continue
            yield from _members_seen(replica, finding, now_s - news.age_s)


def _members_seen(
    replica: snapshot.Replica, finding: ReplicaFinding, said_s: float
) -> collections_abc.Iterator[table.Seen]:
    for member, code in zip(replica.members, finding.ages, strict=True):
        if code != NOT_SEEN:
            yield table.Seen(
                vm=member.vm,
                replica=replica.name,
                epoch=replica.epoch,
                seen_s=said_s - code * AGE_UNIT_S,
                in_flight=finding.in_flight,
            )
