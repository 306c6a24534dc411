"""Share reports as bytes: all accounts of an entry in one news item.

An account is named by the CRC-32 of its name; 12 bytes an account. Accounts
without demand whose share is not above the floor are left out by the sender's
choice, and counted by readers with the equal share.
"""

import struct
import zlib
from collections import abc as collections_abc

from redwingvalve.limits import shares
from redwingvalve.news import board

RECORD = struct.Struct('>Iff')
KEY = 'shares'
MAX_ACCOUNTS = 500

SHARES = board.Channel(
    name='shares',
    reach=board.Reach.EVERYWHERE,
    max_age_s=3.0,
    max_item_bytes=MAX_ACCOUNTS * RECORD.size,
)


def account_number(account: str) -> int:
    """Return the number that stands for an account in reports."""
    return zlib.crc32(account.encode())


def encode(
    by_account: collections_abc.Mapping[str, shares.ShareReport],
) -> bytes:
    """Return the reports of one entry as bytes."""
    return b''.join(
        RECORD.pack(
            account_number(account), report.demand_per_s, report.held_per_s
        )
        for account, report in by_account.items()
    )


def decode(
    body: bytes, entry: str, age_s: float
) -> dict[int, shares.ShareReport]:
    """Return the reports of one entry by account number."""
    whole = len(body) - len(body) % RECORD.size
    return {
        number: shares.ShareReport(entry, demand, held, age_s)
        for number, demand, held in RECORD.iter_unpack(body[:whole])
    }
