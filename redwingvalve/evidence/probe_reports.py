"""Encoding of probe reports as news, one item for each prober.

Load pattern: at the planned fleet size, a prober has 13 replicas and reports
to 72 members of its region every 0.7 s. One JSON item of 190 bytes for each
replica amounted to 350 KB per second to each member, against a budget of 20.
Here a replica takes a 6-byte fingerprint of its name and epoch, two bytes of
load and one byte for the age of each member; the reader knows names, epochs
and members from its configuration.

Ages are sent instead of times, since the clocks of two processes are
unrelated; the news bus adds the delivery delay.
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
# With 48 bits, two of the 480 replicas of a region collide once in two billion
# epochs, which has an effect only if the same two entries probe both.
FINGERPRINT_BYTES = 6
HEADER = struct.Struct(f'!{FINGERPRINT_BYTES}sHB')
MAX_IN_FLIGHT = 65_535
AGE_UNIT_S = 0.02
NOT_SEEN = 255
REPLICAS_PER_ITEM = 200


@attrs.frozen
class ReplicaProbeReport:
    """The report of one prober on one replica.

    ages holds the age of each member, head first, in AGE_UNIT_S or NOT_SEEN.
    in_flight is the head's number of requests, which routing uses as load.
    """

    fingerprint: bytes
    ages: bytes
    in_flight: int = 0


def fingerprint_of(replica: snapshot.Replica) -> bytes:
    """Return a hash that identifies a replica's name and epoch."""
    named = f'{replica.name}\0{replica.epoch}'.encode()
    return xxhash.xxh3_64_digest(named)[:FINGERPRINT_BYTES]


def encode_age(age_s: float | None) -> int:
    """Return the byte for an age, rounded up so that it is never too low."""
    if age_s is None:
        return NOT_SEEN
    return min(math.ceil(age_s / AGE_UNIT_S), NOT_SEEN)


def encode(reports: collections_abc.Iterable[ReplicaProbeReport]) -> bytes:
    """Return the body of one news item."""
    parts = []
    for report in reports:
        in_flight = min(report.in_flight, MAX_IN_FLIGHT)
        parts.append(
            HEADER.pack(report.fingerprint, in_flight, len(report.ages))
        )
        parts.append(report.ages)
    return b''.join(parts)


def decode(body: bytes) -> tuple[ReplicaProbeReport, ...]:
    """Return the reports before the first one that is truncated."""
    found = []
    start = 0
    while start + HEADER.size <= len(body):
        fingerprint, in_flight, count = HEADER.unpack_from(body, start)
        start += HEADER.size
        ages = body[start : start + count]
        if len(ages) < count:
            break
        found.append(ReplicaProbeReport(fingerprint, ages, in_flight))
        start += count
    return tuple(found)


def decode_observations(
    published: collections_abc.Iterable[bus.NewsItem],
    replicas: collections_abc.Iterable[snapshot.Replica],
    now_s: float,
) -> collections_abc.Iterator[table.Observation]:
    """Yield the observations of replicas in the local configuration."""
    known = {fingerprint_of(replica): replica for replica in replicas}
    for news in published:
        for report in decode(news.body):
            replica = known.get(report.fingerprint)
            if replica is None or len(report.ages) != len(replica.members):
                continue
            yield from _member_observations(replica, report, now_s - news.age_s)


def _member_observations(
    replica: snapshot.Replica, report: ReplicaProbeReport, reported_s: float
) -> collections_abc.Iterator[table.Observation]:
    for member, code in zip(replica.members, report.ages, strict=True):
        if code != NOT_SEEN:
            yield table.Observation(
                vm=member.vm,
                replica=replica.name,
                epoch=replica.epoch,
                seen_s=reported_s - code * AGE_UNIT_S,
                in_flight=report.in_flight,
            )
