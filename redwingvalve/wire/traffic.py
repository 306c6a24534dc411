"""Counts what goes over the connections between our processes."""

import attrs


@attrs.define
class Traffic:
    """Bytes as sockets see them (under TLS before encryption), and calls."""

    sent_bytes: int = 0
    received_bytes: int = 0
    calls_made: int = 0
    calls_answered: int = 0
