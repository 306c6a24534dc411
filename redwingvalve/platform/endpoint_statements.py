"""Reads what endpoints state about themselves in the heads of answers."""

import math
import typing

import attrs

from redwingvalve.http1 import messages
from redwingvalve.observability import logs
from redwingvalve.platform import names

LOG = logs.make_logger('statements')
_OTHER_ENDPOINT = 421
_LEAVES = b'1'
_TURNED_AWAY = frozenset((429, 503))
_MS_IN_S = 1000.0


class InvalidStatementError(ValueError):
    """A header whose value cannot be read."""


@attrs.frozen
class Statement:
    """What an endpoint states in one answer."""

    # Requests per second that it takes from all nodes together; None if it
    # states no limit.
    requests_per_s: float | None = None
    # How long it wants no request from this node; None if it asks for no rest.
    rest_s: float | None = None
    # Whether it is going to stop and takes no new requests.
    is_leaving: bool = False
    # Address of the endpoint because of which it turned the request away,
    # itself or another member of its replica; empty if not stated.
    at_fault: str = ''
    # How much longer it stays cold; None if it does not say so.
    cold_left_s: float | None = None


NOTHING: typing.Final = Statement()


def read_statement(head: messages.ResponseHead) -> Statement | None:
    """Return the statement in an answer, or None if there is no valid one.

    An answer from another endpoint, to which the address belongs now, says
    nothing about the one that was asked.
    """
    if head.status == _OTHER_ENDPOINT:
        return None
    try:
        return Statement(
            requests_per_s=_number(head, names.RATE_LIMIT_HEADER),
            rest_s=_rest_s(head),
            is_leaving=head.header(names.LEAVING_HEADER) == _LEAVES,
            at_fault=_text(head, names.ENDPOINT_AT_FAULT_HEADER),
            cold_left_s=_cold_left_s(head),
        )
    except InvalidStatementError as error:
        LOG.warning('unusable statement', extra={'error': str(error)})
        return None


def _text(head: messages.ResponseHead, name: bytes) -> str:
    return (head.header(name) or b'').decode('latin-1').strip()


def _rest_s(head: messages.ResponseHead) -> float | None:
    if head.status not in _TURNED_AWAY:
        return None
    return _number(head, names.RETRY_AFTER_HEADER)


def _cold_left_s(head: messages.ResponseHead) -> float | None:
    left_ms = _number(head, names.COLD_MS_HEADER)
    return None if left_ms is None else left_ms / _MS_IN_S


def _number(head: messages.ResponseHead, name: bytes) -> float | None:
    """Return a header's finite, non-negative number, None without one."""
    raw = head.header(name)
    if raw is None:
        return None
    text = raw.decode('latin-1')
    try:
        number = float(text)
    except ValueError as error:
        raise _invalid(name, text) from error
    if not math.isfinite(number) or number < 0:
        raise _invalid(name, text)
    return number


def _invalid(name: bytes, text: str) -> InvalidStatementError:
    return InvalidStatementError(f'{name.decode()}: {text!r} is no number >= 0')
