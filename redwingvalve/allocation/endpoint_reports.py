"""Reports of what endpoints state, between nodes, and their encoding.

Moments are sent as ages, because the clocks of nodes differ.
"""

import itertools
import typing
from collections import abc as collections_abc

import attrs

from redwingvalve.allocation import rate_limits
from redwingvalve.wire import structs

# Keeps a report within one packet.
MAX_REPORTED_ENDPOINTS = 16
MAX_REPORTED_STARTS = 16
_MS_IN_S = 1000.0
# Fits into the milliseconds of a thrift field.
_MAX_LEFT_S = 1e6
_Type = structs.Type


@attrs.frozen
class StatedLimit:
    """A rate limit that an endpoint stated in an answer to a node."""

    endpoint_id: str
    # Over all nodes together; infinite if the limit is over.
    requests_per_s: float
    asked_ago_s: float
    stated_ago_s: float
    # Start of the endpoint's process, 0 if unknown.
    born_ms: int = 0

    def to_statement(self, now_s: float) -> rate_limits.LimitStatement:
        """Return the statement with times of the local clock."""
        return rate_limits.LimitStatement(
            self.endpoint_id,
            self.requests_per_s,
            now_s - self.asked_ago_s,
            now_s - self.stated_ago_s,
            self.born_ms,
        )


@attrs.frozen
class Start:
    """A request that a rate-limited endpoint gets."""

    endpoint_id: str
    # Number of the ask that got the slot.
    number: int
    ago_s: float
    # The node that sends it, empty for the sender of the report.
    vm: str = ''
    born_ms: int = 0
    # Start of the endpoint's process, 0 if unknown.
    endpoint_born_ms: int = 0


@attrs.frozen
class ColdMark:
    """An endpoint that said to a node that it is cold."""

    endpoint_id: str
    born_ms: int
    left_s: float


@attrs.frozen
class EndpointReport:
    """What a node was told by endpoints, and starts that it knows of."""

    limits: tuple[StatedLimit, ...] = ()
    starts: tuple[Start, ...] = ()
    # Endpoints that leave.
    leaving: tuple[str, ...] = ()
    cold: tuple[ColdMark, ...] = ()
    # The sender owns a pool, and asks whether this report has arrived.
    asks_confirmation: bool = False
    is_confirmation: bool = False
    # Starts of the processes that leave, in the same order, 0 if unknown.
    leaving_born_ms: tuple[int, ...] = ()

    def leaving_processes(self) -> collections_abc.Iterable[tuple[str, int]]:
        """Return the endpoints that leave, with the start of each."""
        return itertools.zip_longest(
            self.leaving, self.leaving_born_ms[: len(self.leaving)], fillvalue=0
        )


_LimitStruct: typing.Any = structs.make_struct(
    'StatedLimit',
    (_Type.STRING, 'endpoint_id'),
    (_Type.DOUBLE, 'requests_per_s'),
    (_Type.I32, 'asked_ago_ms'),
    (_Type.I32, 'stated_ago_ms'),
    (_Type.I64, 'born_ms'),
)
_StartStruct: typing.Any = structs.make_struct(
    'Start',
    (_Type.STRING, 'endpoint_id'),
    (_Type.I64, 'number'),
    (_Type.I32, 'ago_ms'),
    (_Type.STRING, 'vm'),
    (_Type.I64, 'born_ms'),
    (_Type.I64, 'endpoint_born_ms'),
)
_ColdStruct: typing.Any = structs.make_struct(
    'ColdMark',
    (_Type.STRING, 'endpoint_id'),
    (_Type.I64, 'born_ms'),
    (_Type.I32, 'left_ms'),
)
EndpointReportStruct: typing.Any = structs.make_struct(
    'EndpointReport',
    (_Type.LIST, 'limits', (_Type.STRUCT, _LimitStruct)),
    (_Type.LIST, 'starts', (_Type.STRUCT, _StartStruct)),
    (_Type.LIST, 'leaving', _Type.STRING),
    (_Type.LIST, 'cold', (_Type.STRUCT, _ColdStruct)),
    (_Type.BOOL, 'asks_confirmation'),
    (_Type.BOOL, 'is_confirmation'),
    (_Type.LIST, 'leaving_born_ms', _Type.I64),
)


def make_stated_limit(
    statement: rate_limits.LimitStatement, now_s: float
) -> StatedLimit:
    """Return a statement in the form in which it is sent."""
    return StatedLimit(
        statement.endpoint_id,
        statement.requests_per_s,
        now_s - statement.asked_s,
        now_s - statement.stated_s,
        statement.born_ms,
    )


def to_struct(report: EndpointReport) -> typing.Any:
    """Return the thrift form of a report."""
    return EndpointReportStruct(
        limits=[
            _LimitStruct(
                endpoint_id=limit.endpoint_id,
                requests_per_s=limit.requests_per_s,
                asked_ago_ms=int(limit.asked_ago_s * _MS_IN_S),
                stated_ago_ms=int(limit.stated_ago_s * _MS_IN_S),
                born_ms=limit.born_ms or None,
            )
            for limit in report.limits
        ],
        starts=[
            _StartStruct(
                endpoint_id=start.endpoint_id,
                number=start.number,
                ago_ms=int(start.ago_s * _MS_IN_S),
                vm=start.vm or None,
                born_ms=start.born_ms or None,
                endpoint_born_ms=start.endpoint_born_ms or None,
            )
            for start in report.starts
        ],
        leaving=list(report.leaving),
        cold=[
            _ColdStruct(
                endpoint_id=mark.endpoint_id,
                born_ms=mark.born_ms,
                left_ms=int(min(mark.left_s, _MAX_LEFT_S) * _MS_IN_S),
            )
            for mark in report.cold
        ],
        asks_confirmation=report.asks_confirmation or None,
        is_confirmation=report.is_confirmation or None,
        leaving_born_ms=list(report.leaving_born_ms),
    )


def from_struct(struct: typing.Any) -> EndpointReport:
    """Return the report in a thrift struct; raises TypeError."""
    return EndpointReport(
        tuple(_read_limit(one) for one in struct.limits or ()),
        tuple(_read_start(one) for one in struct.starts or ()),
        tuple(struct.leaving or ()),
        tuple(_read_cold_mark(one) for one in struct.cold or ()),
        bool(struct.asks_confirmation),
        bool(struct.is_confirmation),
        tuple(struct.leaving_born_ms or ()),
    )


def _read_limit(struct: typing.Any) -> StatedLimit:
    if not struct.endpoint_id or not struct.requests_per_s >= 0:
        raise TypeError('limit without an endpoint or a valid rate')
    return StatedLimit(
        struct.endpoint_id,
        struct.requests_per_s,
        struct.asked_ago_ms / _MS_IN_S,
        struct.stated_ago_ms / _MS_IN_S,
        struct.born_ms or 0,
    )


def _read_start(struct: typing.Any) -> Start:
    if not struct.endpoint_id or struct.number is None:
        raise TypeError('start without an endpoint or a number')
    return Start(
        struct.endpoint_id,
        struct.number,
        struct.ago_ms / _MS_IN_S,
        struct.vm or '',
        struct.born_ms or 0,
        struct.endpoint_born_ms or 0,
    )


def _read_cold_mark(struct: typing.Any) -> ColdMark:
    if not struct.endpoint_id or struct.left_ms is None:
        raise TypeError('cold mark without an endpoint or a time')
    return ColdMark(
        struct.endpoint_id, struct.born_ms or 0, struct.left_ms / _MS_IN_S
    )
