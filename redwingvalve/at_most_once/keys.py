"""Request keys: those that an entry issued, and those that callers chose.

An issued key names the entry and the incarnation that decide about it. A
caller's own key may carry the time at which it was first made; entries that
were started before that time need no memory of what came earlier.
"""

import re

import attrs

ISSUED_PATTERN = re.compile(
    r'rwk1\.([a-z0-9-]{1,63})\.([0-9]{1,19})\.([0-9]{1,19})\.([0-9]{1,19})'
)
DATED_PATTERN = re.compile('at-([0-9]{1,12})-.+')
MS_PER_S = 1000


@attrs.frozen
class IssuedKey:
    """A key of the system's own; issued_ms is on the issuer's own clock."""

    entry: str
    incarnation: int
    issued_ms: int
    number: int

    def __str__(self) -> str:
        """Return the key as callers send it."""
        return (
            f'rwk1.{self.entry}.{self.incarnation}'
            f'.{self.issued_ms}.{self.number}'
        )


def parse_issued(text: str) -> IssuedKey | None:
    """Return the issued key that text is, or None for a caller's own."""
    matched = ISSUED_PATTERN.fullmatch(text)
    if matched is None:
        return None
    entry, incarnation, issued_ms, number = matched.groups()
    return IssuedKey(entry, int(incarnation), int(issued_ms), int(number))


def made_at_s(text: str) -> float | None:
    """Return the wall clock time that a caller's key carries, if any."""
    matched = DATED_PATTERN.fullmatch(text)
    return float(matched.group(1)) if matched else None
