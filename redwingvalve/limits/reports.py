"""Wire format of share reports: all accounts of an entry in one news item.

Accounts and entries are identified by the CRC-32 of their names. An account
takes 9 bytes and 8 for each grant; accounts without demand and grants are
omitted.
"""

import struct
import zlib
from collections import abc as collections_abc

from redwingvalve.limits import shares
from redwingvalve.news import bus

ACCOUNT = struct.Struct('>IfB')
GRANT = struct.Struct('>If')
KEY = 'shares'
MAX_BYTES = 16_000
NO_DEMAND_PER_S = 0.001

SHARES = bus.Channel(
    name='shares',
    scope=bus.Scope.EVERYWHERE,
    max_age_s=3.0,
    max_item_bytes=MAX_BYTES,
)


def hash_name(name: str) -> int:
    """Return the hash that identifies a name in reports."""
    return zlib.crc32(name.encode())


def encode(
    by_account: collections_abc.Mapping[str, shares.ShareReport],
) -> bytes:
    """Encode the reports of one entry."""
    parts: list[bytes] = []
    for account, report in by_account.items():
        grants = report.grants_per_s
        if not grants and report.demand_per_s < NO_DEMAND_PER_S:
            continue
        parts.append(
            ACCOUNT.pack(hash_name(account), report.demand_per_s, len(grants))
        )
        parts.extend(
            GRANT.pack(hash_name(entry), granted)
            for entry, granted in grants.items()
        )
    return b''.join(parts)


def decode(
    body: bytes,
    entry: str,
    age_s: float,
    names: collections_abc.Mapping[int, str],
) -> dict[int, shares.ShareReport]:
    """Decode the reports of one entry by account hash.

    names maps hashes to entries; grants to unknown entries are omitted.
    """
    decoded: dict[int, shares.ShareReport] = {}
    offset = 0
    while offset + ACCOUNT.size <= len(body):
        number, demand, count = ACCOUNT.unpack_from(body, offset)
        offset += ACCOUNT.size
        end = offset + count * GRANT.size
        if end > len(body):
            break
        grants = {
            names[to]: granted
            for to, granted in GRANT.iter_unpack(body[offset:end])
            if to in names
        }
        offset = end
        decoded[number] = shares.ShareReport(entry, demand, grants, age_s)
    return decoded
