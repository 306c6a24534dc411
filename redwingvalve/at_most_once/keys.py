"""Request keys: issued by an entry, or chosen by a caller.

An issued key names the entry and the incarnation that decide about it. A key
chosen by a caller may contain the time of its creation; voters that have been
voters since before that time need no earlier claims to decide about it.
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
    """A key issued by an entry; issued_ms is on the clock of that entry."""

    entry: str
    incarnation: int
    issued_ms: int
    number: int

    def __str__(self) -> str:
        """Return the key in the form that callers send."""
        return (
            f'rwk1.{self.entry}.{self.incarnation}'
            f'.{self.issued_ms}.{self.number}'
        )


def parse_issued(text: str) -> IssuedKey | None:
    """Parse an issued key; None for a key chosen by a caller."""
    matched = ISSUED_PATTERN.fullmatch(text)
    if matched is None:
        return None
    entry, incarnation, issued_ms, number = matched.groups()
    return IssuedKey(entry, int(incarnation), int(issued_ms), int(number))


def created_at_s(text: str) -> float | None:
    """Return the wall clock time in a key chosen by a caller, if any."""
    matched = DATED_PATTERN.fullmatch(text)
    return float(matched.group(1)) if matched else None
