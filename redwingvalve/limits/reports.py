"""Share reports as bytes: all accounts of an entry in one news item.

Accounts and entries are named by the CRC-32 of their names. An account takes 9
bytes and 8 for each grant; accounts that nobody asks for and that lend nothing
are left out.
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


def number_of(name: str) -> int:
    """Return the number that stands for a name in reports."""
    return zlib.crc32(name.encode())


def encode(
    by_account: collections_abc.Mapping[str, shares.ShareReport],
) -> bytes:
    """Return the reports of one entry as bytes."""
    parts: list[bytes] = []
    for account, report in by_account.items():
        grants = report.grants_per_s
        if not grants and report.demand_per_s < NO_DEMAND_PER_S:
            continue
        parts.append(
            ACCOUNT.pack(number_of(account), report.demand_per_s, len(grants))
        )
        parts.extend(
            GRANT.pack(number_of(entry), granted)
            for entry, granted in grants.items()
        )
    return b''.join(parts)


def decode(
    body: bytes,
    entry: str,
    age_s: float,
    names: collections_abc.Mapping[int, str],
) -> dict[int, shares.ShareReport]:
    """Return the reports of one entry by account number.

    names are those behind the entries' numbers; grants to others are left out.
    """
    found: dict[int, shares.ShareReport] = {}
    place = 0
    while place + ACCOUNT.size <= len(body):
        number, demand, count = ACCOUNT.unpack_from(body, place)
        place += ACCOUNT.size
        end = place + count * GRANT.size
        if end > len(body):
            break
        grants = {
            names[to]: granted
            for to, granted in GRANT.iter_unpack(body[place:end])
            if to in names
        }
        place = end
        found[number] = shares.ShareReport(entry, demand, grants, age_s)
    return found
