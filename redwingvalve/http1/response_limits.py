"""Decides when the bytes of an answer have gone on for too long.

Load pattern: a faulty peer sends bytes that are no answer and doesn't stop: a
head of ever more lines, a line without an end, one interim head after another,
trailers, chunk sizes and extensions without a body, or an answer to another
request. The parser accepts all of these, and some of them are kept in memory
as they come, so that a few connections would fill the memory of the node while
their requests wait until their deadlines.

Everything that isn't part of a body is counted together. Bodies may be long as
long as they are passed on; those that are held in memory have a limit.
"""

import enum
import math
import typing

import attrs

from redwingvalve.observability import node_metrics

# Bytes beside the body that each byte of a body allows. A chunk of one byte
# has five of them.
FRAMING_BYTES_PER_BODY_BYTE: typing.Final = 16
# The bytes themselves, and those beside them.
_ALLOWANCE = FRAMING_BYTES_PER_BODY_BYTE + 1
_HEAD_FACTOR = 4
_BODY_FACTOR = 4


class Limit(enum.Enum):
    """What an answer has too much of."""

    HEAD = 'head'
    # Heads before that of the answer.
    INTERIM = 'interim heads'
    # Chunk sizes, chunk extensions and trailers.
    FRAMING = 'framing'
    # Bodies of answers to other requests.
    SKIPPED = 'skipped body'
    # A body that is held in memory.
    BODY = 'body'
    # One event of a stream.
    EVENT = 'event'
    # A body after its compression is undone.
    INFLATED = 'inflated body'


@attrs.frozen
class ResponseLimits:
    """Limits on what may be received for one request."""

    # Of all heads together, and of the bytes beside a body.
    head_bytes: int
    # Of a body that is held in memory, and of skipped bodies together.
    body_bytes: int


# Of one event of a stream, which holds some tokens of an answer or all of them.
# A longer one is none.
MAX_EVENT_BYTES: typing.Final = 1_048_576
# For peers whose answers the configuration says nothing about.
DEFAULT: typing.Final = ResponseLimits(head_bytes=65_536, body_bytes=16_777_216)


@attrs.frozen
class Excess:
    """A limit that an answer exceeded."""

    limit: Limit
    max_bytes: int

    @property
    def reason(self) -> str:
        """Return the limit as a text."""
        return f'{self.limit.value} over {self.max_bytes} bytes'


def count(excess: Excess) -> None:
    """Count an answer that was broken off."""
    node_metrics.METRICS.count(
        'redwingvalve_answers_over_limit', limit=excess.limit.value
    )


class ResponseMeter:
    """Counts the bytes that are received for one request."""

    def __init__(self, limits: ResponseLimits) -> None:
        """Start before the first byte."""
        self.limits = limits
        self.interim_heads = 0
        self.skipped_responses = 0
        # Whether the bytes belong to the answer to another request.
        self.is_skipping = False
        self._has_head = False
        self._max_body_bytes = 0
        # What may still come of each kind.
        self._framing_left_bytes = limits.head_bytes
        self._skipped_left_bytes = limits.body_bytes
        self._body_left_bytes: float = math.inf

    def received(self, size_bytes: int) -> None:
        """Count bytes as they arrive, of whatever kind."""
        self._framing_left_bytes -= size_bytes

    def head_received(
        self, max_body_bytes: int | None, announced_bytes: int
    ) -> None:
        """Expect the body of the answer.

        max_body_bytes is None for a body that is passed on as it comes;
        announced_bytes is 0 without a length.
        """
        self._has_head = True
        if max_body_bytes is None:
            return
        self._max_body_bytes = max_body_bytes
        self._body_left_bytes = max_body_bytes
        if announced_bytes > max_body_bytes:
            self._body_left_bytes = -1

    def body_received(self, size_bytes: int) -> None:
        """Count a part of a body among the bytes received."""
        self._framing_left_bytes += _ALLOWANCE * size_bytes
        if self.is_skipping:
            self._skipped_left_bytes -= size_bytes
        else:
            self._body_left_bytes -= size_bytes

    def skipped_response_ended(self) -> None:
        """Count an answer to another request."""
        self.skipped_responses += 1
        self.is_skipping = False

    def excess(self) -> Excess | None:
        """Return the limit that is exceeded, None if all are kept."""
        if self._framing_left_bytes < 0:
            return Excess(self._framing_limit(), self.limits.head_bytes)
        if self._skipped_left_bytes < 0:
            return Excess(Limit.SKIPPED, self.limits.body_bytes)
        if self._body_left_bytes < 0:
            return Excess(Limit.BODY, self._max_body_bytes)
        return None

    def _framing_limit(self) -> Limit:
        if self._has_head or self.is_skipping:
            return Limit.FRAMING
        return Limit.INTERIM if self.interim_heads else Limit.HEAD


def excess_beside_body(
    received_bytes: int, body_bytes: int, limits: ResponseLimits
) -> Excess | None:
    """Return the limit that the bytes beside a body exceed, None if none.

    For parsers that don't tell heads from framing.
    """
    if received_bytes - _ALLOWANCE * body_bytes <= limits.head_bytes:
        return None
    limit = Limit.FRAMING if body_bytes else Limit.HEAD
    return Excess(limit, limits.head_bytes)


def default_limits() -> ResponseLimits:
    """Return the limits without a configuration."""
    return DEFAULT


def make_limits(head_bytes: int, body_bytes: int) -> ResponseLimits:
    """Return the limits where callers may send heads and bodies so long.

    Answers may repeat what a caller sent, and much more besides.
    """
    return ResponseLimits(
        head_bytes=max(DEFAULT.head_bytes, _HEAD_FACTOR * head_bytes),
        body_bytes=max(DEFAULT.body_bytes, _BODY_FACTOR * body_bytes),
    )
