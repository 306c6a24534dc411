"""Counts traffic on the connections between processes."""

import attrs


@attrs.define
class Traffic:
    """Counters of calls and of bytes, including frame headers, before TLS."""

    sent_bytes: int = 0
    received_bytes: int = 0
    calls_made: int = 0
    calls_answered: int = 0
